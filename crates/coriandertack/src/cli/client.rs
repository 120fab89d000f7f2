//! HTTP client of the resource API.

use std::{env, time::Duration};

use {
    bytes::Bytes,
    clap::ArgMatches,
    coriandertack_core::code::Code,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Method, Request, StatusCode,
        header::{AUTHORIZATION, CONTENT_TYPE},
    },
    hyper_util::{
        client::legacy::{Client as HttpClient, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::Value,
    tokio::time::{Instant, timeout_at},
};

use crate::cli::{
    Failure, args,
    failure::{FAILED, OUTCOME_UNKNOWN, RETRYABLE},
};

/// Server address if neither `--server` nor `CORIANDERTACK_SERVER` is set.
const DEFAULT_SERVER: &str = "127.0.0.1:8080";

/// Timeout of a whole response, which error messages name. It exceeds the 30 s for which the server may hold a
/// watch request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(40);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Client of one server.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    server: String,
    token: String,
}

impl Client {
    /// Returns a client for the server and token given by flags or, failing those, by the environment.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, Failure> {
        let flag_or_env = |id, variable| {
            let flag = args::string_value(matches, id).map(str::to_owned);
            flag.or_else(|| env::var(variable).ok())
        };
        let server = flag_or_env("server", "CORIANDERTACK_SERVER");
        let token = flag_or_env("token", "CORIANDERTACK_TOKEN");
        let missing = "no token given; set CORIANDERTACK_TOKEN or pass --token TOKEN";
        let token = token.ok_or_else(|| Failure::new(crate::cli::failure::NOT_ALLOWED, missing))?;
        let server = server.unwrap_or_else(|| DEFAULT_SERVER.to_owned());
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        Ok(Self { http, server: server.trim_start_matches("http://").to_owned(), token })
    }

    /// Returns a client for a server that runs as part of a demo or a benchmark.
    pub fn new(server: &str, token: &str) -> Self {
        let http = HttpClient::builder(TokioExecutor::new()).build_http();
        Self { http, server: server.to_owned(), token: token.to_owned() }
    }

    /// Returns a client for another server with the same token.
    pub fn with_server(&self, server: &str) -> Self {
        Self { server: server.to_owned(), ..self.clone() }
    }

    /// Sends a GET request and parses the response as JSON.
    pub async fn get(&self, path: &str, query: &[(&str, &str)]) -> Result<Value, Failure> {
        let body = self.send(Method::GET, path, query, None).await?;
        parse_json(&body)
    }

    /// Sends a GET request and returns the body as text, for formats other than JSON.
    pub async fn get_text(&self, path: &str, query: &[(&str, &str)]) -> Result<String, Failure> {
        let body = self.send(Method::GET, path, query, None).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Sends a request that changes state and parses the response as JSON.
    pub async fn change(
        &self,
        method: Method,
        path: &str,
        query: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<Value, Failure> {
        let body = self.send(method, path, query, body).await?;
        parse_json(&body)
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        query: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<Bytes, Failure> {
        let is_read = method == Method::GET;
        let request = self.request(method, path, query, body)?;
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        let response = match timeout_at(deadline, self.http.request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() || is_read => {
                let server = &self.server;
                let cause = anyhow::Error::from(error);
                let message = format!(
                    "cannot reach {server}: {cause:#}\nnothing was changed; check --server and retry"
                );
                return Err(Failure::new(RETRYABLE, message));
            }
            Ok(Err(error)) => return Err(response_lost(&error.to_string())),
            Err(_) => return Err(response_lost("no response within 40 s")),
        };
        let status = response.status();
        let collected = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
        let body = match timeout_at(deadline, collected).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => return Err(response_lost(&error.to_string())),
            Err(_) => return Err(response_lost("response incomplete after 40 s")),
        };
        if status.is_success() { Ok(body) } else { Err(error_from_response(status, &body)) }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        query: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let mut uri = format!("http://{}{path}", self.server);
        if !query.is_empty() {
            let mut encoded = form_urlencoded::Serializer::new(String::new());
            encoded.extend_pairs(query);
            uri = format!("{uri}?{}", encoded.finish());
        }
        let body = body.map(ToString::to_string).unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header(AUTHORIZATION, format!("Bearer {}", self.token))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)));
        request.map_err(|error| Failure::usage(format!("invalid request: {error}; check --server")))
    }
}

fn response_lost(reason: &str) -> Failure {
    let advice = "the change may have been made; check its state before you retry";
    Failure::new(OUTCOME_UNKNOWN, format!("no complete response: {reason}\n{advice}"))
}

fn error_from_response(status: StatusCode, body: &[u8]) -> Failure {
    let answer: Value = serde_json::from_slice(body).unwrap_or_default();
    let number = answer["code"].as_u64().and_then(|number| u16::try_from(number).ok());
    let Some(code) = number.and_then(|number| Code::try_from(number).ok()) else {
        return Failure::new(
            FAILED,
            format!("unexpected response: HTTP {status} without a result code"),
        );
    };
    let reason = answer["reason"].as_str().unwrap_or_default();
    Failure::from_response(code, reason, answer["version"].as_u64())
}

fn parse_json(body: &[u8]) -> Result<Value, Failure> {
    serde_json::from_slice(body)
        .map_err(|error| Failure::new(FAILED, format!("unexpected response, not JSON: {error}")))
}
