//! HTTP interface for callers.
//!
//! Serves `POST /call/{service}` with the optional headers `x-deadline-ms`, `idempotency-key`,
//! `x-repeatable` and `x-class`. The response is that of the service, or `{"code": .., "text": ..}`
//! with a numbered result code.

use std::{sync::Arc, time::Duration};

use {
    bytes::Bytes,
    coriandertack_core::{
        code::Code,
        message::{Call, CallResponse},
        node::Node,
    },
    http_body_util::Full,
    hyper::{
        HeaderMap,
        header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    serde::Serialize,
    tokio::time::Instant,
    viz::{Body, Request, RequestExt, Response, StatusCode},
};

use crate::{
    bodies::{BODY_TIME, BodyError, Receiver},
    router::{Router, check_stage},
};

/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Longest name of a service or class and longest header value, the idempotency key included, in
/// bytes.
const MAX_NAME_BYTES: usize = 128;

/// Time reserved for the network transit of the request and its response, about 1 ms each way: the
/// caller's deadline counts from when it sent the request.
const TRANSIT_TIME: Duration = Duration::from_millis(2);

/// Time after which a refused caller may return, in seconds: the shortest that the header can state. A body that takes
/// room without going on is closed within it.
const RETRY_AFTER_S: &str = "1";

/// Body of a response that does not come from a service.
#[derive(Debug, Serialize)]
struct ErrorBody {
    code: u16,
    text: &'static str,
}

/// Returns the routes for callers.
#[must_use]
pub fn routes(node: Arc<Node>, router: Arc<Router>) -> viz::Router {
    viz::Router::new().post("/call/:service", move |request: Request| {
        let (node, router) = (Arc::clone(&node), Arc::clone(&router));
        async move { Ok::<_, viz::Error>(handle_request(&node, &router, request).await) }
    })
}

async fn handle_request(node: &Node, router: &Arc<Router>, request: Request) -> Response {
    let result = match check_stage(node) {
        // Refuses the request before its body is read.
        Err(code) => Err(code),
        Ok(()) => run_call(router, request).await,
    };
    let code = result.as_ref().map_or_else(|code| *code, |_| Code::Done);
    node.with(|shared| shared.stats.record_call(code));
    match result {
        Ok(response) => service_response(response),
        Err(code) => error_response(code),
    }
}

/// Decodes a request and runs it.
async fn run_call(router: &Arc<Router>, request: Request) -> Result<CallResponse, Code> {
    let arrived = Instant::now();
    let service: String = request.param("service").map_err(|_| Code::Malformed)?;
    if !is_name(&service) || !service.contains('.') {
        return Err(Code::Malformed);
    }
    let (head, body) = request.into_parts();
    let headers = &head.headers;
    let until = arrived + parse_deadline(headers, router.config.deadline_ms)?;
    let class = header(headers, "x-class")?.unwrap_or_default();
    if !class.is_empty() && !is_name(class) {
        return Err(Code::Malformed);
    }
    let repeatable = match header(headers, "x-repeatable")? {
        None | Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(Code::Malformed),
    };
    check_length(headers, router.config.body_bytes)?;
    let key = header(headers, "idempotency-key")?.map(Arc::from);
    let body_until = until.min(arrived + BODY_TIME);
    // The bytes are held until the call ends. A body that does not fit within the budget is refused instead of delayed.
    let (body, _held) = read_body(router, body, body_until).await?;
    let call = Call { service: service.into(), class: class.into(), key, repeatable, until, body };
    router.call(call).await
}

/// Returns the value of a header that may occur at most once.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Code> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Code::Malformed)?;
    if values.next().is_some() || text.len() > MAX_NAME_BYTES {
        return Err(Code::Malformed);
    }
    Ok(Some(text))
}

/// Returns how long the request may take within this VM and at the worker.
fn parse_deadline(headers: &HeaderMap, default_ms: u64) -> Result<Duration, Code> {
    let ms = match header(headers, "x-deadline-ms")? {
        None => default_ms,
        Some(text) => text.parse().map_err(|_| Code::Malformed)?,
    };
    let total = Duration::from_millis(ms);
    if total.is_zero() || total > MAX_DEADLINE {
        return Err(Code::OutOfRange);
    }
    Ok(total - TRANSIT_TIME.min(total / 4))
}

/// Returns whether `text` is a valid name of a service or class.
fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

/// Checks the announced length of the body, if there is one.
fn check_length(headers: &HeaderMap, max: usize) -> Result<(), Code> {
    let Some(text) = header(headers, CONTENT_LENGTH.as_str())? else {
        return Ok(());
    };
    let length: usize = text.parse().map_err(|_| Code::Malformed)?;
    if length > max { Err(Code::TooLarge) } else { Ok(()) }
}

/// Reads a body, which must arrive before the deadline. The receiver keeps its bytes reserved.
async fn read_body(
    router: &Router,
    body: Body,
    until: Instant,
) -> Result<(Arc<[u8]>, Receiver), Code> {
    let read = router.bodies.read(body, router.config.body_bytes, until).await;
    let (bytes, held) = read
        .map_err(|error| match error {
            BodyError::TooLong => Code::TooLarge,
            BodyError::Broken(_) => Code::Malformed,
            BodyError::Late | BodyError::NoRoom => Code::Overloaded,
        })?
        .into_parts();
    Ok((Arc::from(&bytes[..]), held))
}

fn service_response(call: CallResponse) -> Response {
    let body = Body::from(Full::new(Bytes::from_owner(call.body)));
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(call.status).unwrap_or(StatusCode::BAD_GATEWAY);
    response
}

fn error_response(code: Code) -> Response {
    let error = ErrorBody { code: code.number(), text: code.text() };
    // Serializing a number and a string cannot fail.
    let body = serde_json::to_vec(&error).unwrap_or_default();
    let mut response = Response::new(Body::from(Full::new(Bytes::from(body))));
    *response.status_mut() =
        StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    if code == Code::Overloaded {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_S));
    }
    response
}
