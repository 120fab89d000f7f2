//! HTTP client for the requests of operators and callers, and the outcomes that they observe.

use std::net::SocketAddr;

use {
    bytes::Bytes,
    coriandertack_core::code::Code,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request},
    hyper_util::{
        client::legacy::{Client as Http, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::Value,
};

use crate::cluster::TOKEN;

/// Outcome of a request, as far as the client can tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Success, with the complete body of the answer.
    Done(Bytes),
    /// A refusal whose code guarantees that nothing ran.
    NotRun(Code),
    /// Any other outcome, including a broken connection.
    Unknown(String),
}

/// A client that can send requests through every VM.
#[derive(Clone)]
pub struct Client {
    http: Http<HttpConnector, Full<Bytes>>,
    pub vms: Vec<SocketAddr>,
}

impl Client {
    pub fn new(vms: Vec<SocketAddr>) -> Self {
        Self { http: Http::builder(TokioExecutor::new()).build_http(), vms }
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Outcome {
        let response = match self.http.request(request).await {
            Ok(response) => response,
            Err(error) => return Outcome::Unknown(format!("{error:?}")),
        };
        let status = response.status();
        let body = match response.into_body().collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => return Outcome::Unknown(format!("{error:?}")),
        };
        if status.is_success() {
            return Outcome::Done(body);
        }
        let failure: Value = serde_json::from_slice(&body).unwrap_or_default();
        let number = failure["code"].as_u64().and_then(|number| u16::try_from(number).ok());
        match number.and_then(|number| Code::try_from(number).ok()) {
            Some(code) if code.guarantees_not_run() => Outcome::NotRun(code),
            _ => Outcome::Unknown(format!("{status} {failure}")),
        }
    }

    /// Sends an operator's request through a VM, without a body if `body` is null.
    pub async fn operate(&self, vm: usize, method: Method, path: &str, body: &Value) -> Outcome {
        let body = if body.is_null() { Bytes::new() } else { body.to_string().into() };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.vms[vm]))
            .header("authorization", format!("Bearer {TOKEN}"))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .expect("a valid request");
        self.send(request).await
    }

    /// Sends a caller's request through a VM. A keyed request is marked as not repeatable.
    pub async fn call(&self, vm: usize, service: &str, key: Option<&str>, body: &str) -> Outcome {
        let mut request = Request::post(format!("http://{}/call/{service}", self.vms[vm]))
            .header("x-deadline-ms", "20000");
        if let Some(key) = key {
            request = request.header("idempotency-key", key).header("x-repeatable", "false");
        }
        let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
        self.send(request.body(body).expect("a valid request")).await
    }
}
