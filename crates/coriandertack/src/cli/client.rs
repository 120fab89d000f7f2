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
        client::legacy::{Client as Http, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde_json::Value,
    tokio::time::{Instant, timeout_at},
};

use crate::cli::{
    Failure, args,
    failure::{FAILED, TRY_AGAIN, UNKNOWN},
};

/// Address of the server if none is given.
const DEFAULT_SERVER: &str = "127.0.0.1:8080";

/// Time for an answer: longer than the 30 s that a watch waits.
const ANSWER_TIME: Duration = Duration::from_secs(40);

/// The most bytes of an answer.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// A client of one server.
#[derive(Clone, Debug)]
pub struct Client {
    http: Http<HttpConnector, Full<Bytes>>,
    server: String,
    token: String,
}

impl Client {
    /// Returns a client of the server that the command line or the environment names.
    pub fn of(matches: &ArgMatches) -> Result<Self, Failure> {
        let given = |id, variable| {
            let flag = args::text(matches, id).map(str::to_owned);
            flag.or_else(|| env::var(variable).ok())
        };
        let server = given("server", "CORIANDERTACK_SERVER");
        let token = given("token", "CORIANDERTACK_TOKEN");
        let missing = "no token: set CORIANDERTACK_TOKEN, or give --token TOKEN";
        let token = token.ok_or_else(|| Failure::new(crate::cli::failure::NOT_ALLOWED, missing))?;
        let server = server.unwrap_or_else(|| DEFAULT_SERVER.to_owned());
        let http = Http::builder(TokioExecutor::new()).build_http();
        Ok(Self { http, server: server.trim_start_matches("http://").to_owned(), token })
    }

    /// Returns a client of a server of this program.
    pub fn new(server: &str, token: &str) -> Self {
        let http = Http::builder(TokioExecutor::new()).build_http();
        Self { http, server: server.to_owned(), token: token.to_owned() }
    }

    /// Returns a client of another server with the same token.
    pub fn at(&self, server: &str) -> Self {
        Self { server: server.to_owned(), ..self.clone() }
    }

    /// Reads.
    pub async fn get(&self, path: &str, query: &[(&str, &str)]) -> Result<Value, Failure> {
        let body = self.send(Method::GET, path, query, None).await?;
        parse(&body)
    }

    /// Reads what is not JSON.
    pub async fn get_text(&self, path: &str, query: &[(&str, &str)]) -> Result<String, Failure> {
        let body = self.send(Method::GET, path, query, None).await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }

    /// Changes something.
    pub async fn change(
        &self,
        method: Method,
        path: &str,
        query: &[(&str, &str)],
        body: Option<&Value>,
    ) -> Result<Value, Failure> {
        let body = self.send(method, path, query, body).await?;
        parse(&body)
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
        let until = Instant::now() + ANSWER_TIME;
        let response = match timeout_at(until, self.http.request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() || is_read => {
                let server = &self.server;
                let cause = anyhow::Error::from(error);
                let message = format!(
                    "cannot reach {server}: {cause:#}\nnothing was changed; check --server and try again"
                );
                return Err(Failure::new(TRY_AGAIN, message));
            }
            Ok(Err(error)) => return Err(lost(&error.to_string())),
            Err(_) => return Err(lost("no answer in time")),
        };
        let status = response.status();
        let read = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
        let body = match timeout_at(until, read).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => return Err(lost(&error.to_string())),
            Err(_) => return Err(lost("no complete answer in time")),
        };
        if status.is_success() { Ok(body) } else { Err(refused(status, &body)) }
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
        request.map_err(|error| Failure::usage(format!("not a request: {error}")))
    }
}

fn lost(reason: &str) -> Failure {
    let advice = "the change may have been made; look before you try again";
    Failure::new(UNKNOWN, format!("the answer was lost: {reason}\n{advice}"))
}

fn refused(status: StatusCode, body: &[u8]) -> Failure {
    let answer: Value = serde_json::from_slice(body).unwrap_or_default();
    let number = answer["code"].as_u64().and_then(|number| u16::try_from(number).ok());
    let Some(code) = number.and_then(|number| Code::try_from(number).ok()) else {
        return Failure::new(FAILED, format!("unexpected answer: HTTP {status}"));
    };
    let reason = answer["reason"].as_str().unwrap_or_default();
    Failure::answered(code, reason, answer["version"].as_u64())
}

fn parse(body: &[u8]) -> Result<Value, Failure> {
    serde_json::from_slice(body)
        .map_err(|error| Failure::new(FAILED, format!("unexpected answer: {error}")))
}
