//! The HTTP interface for callers.
//!
//! `POST /call/{service}` with the headers `x-deadline-ms`, `idempotency-key`, `x-repeatable` and
//! `x-class`. The answer is the service's own, or `{"code": .., "text": ..}` with a numbered code.

use std::{sync::Arc, time::Duration};

use {
    bytes::Bytes,
    coriandertack_core::{
        code::Code,
        message::{Call, CallResponse},
        node::Node,
    },
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{
        HeaderMap,
        header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue},
    },
    serde::Serialize,
    tokio::time::{Instant, timeout_at},
    viz::{Body, Request, RequestExt, Response, StatusCode},
};

use crate::router::{Router, check_stage};

/// Longest deadline that a caller may set.
const LONGEST_DEADLINE: Duration = Duration::from_secs(600);

/// Longest name of a service or a class, and longest key, in bytes.
const MOST_NAME_BYTES: usize = 128;

/// Time kept for the answer's way back to the caller, whose deadline counts from when it sent the
/// request: about 1 ms each way.
const WAY_BACK: Duration = Duration::from_millis(2);

/// Body of an answer that does not come from a service.
#[derive(Debug, Serialize)]
struct Failure {
    code: u16,
    text: &'static str,
}

/// Returns the routes for callers.
#[must_use]
pub fn routes(node: Arc<Node>, router: Arc<Router>) -> viz::Router {
    viz::Router::new().post("/call/:service", move |request: Request| {
        let (node, router) = (Arc::clone(&node), Arc::clone(&router));
        async move { Ok::<_, viz::Error>(respond(&node, &router, request).await) }
    })
}

async fn respond(node: &Node, router: &Arc<Router>, request: Request) -> Response {
    let result = match check_stage(node) {
        // A request that will not be accepted is refused before its content is read.
        Err(code) => Err(code),
        Ok(()) => carry_out(router, request).await,
    };
    let code = result.as_ref().map_or_else(|code| *code, |_| Code::Done);
    node.with(|shared| shared.stats.record_call(code));
    match result {
        Ok(answer) => content(answer),
        Err(code) => failure(code),
    }
}

async fn carry_out(router: &Arc<Router>, request: Request) -> Result<CallResponse, Code> {
    let arrived = Instant::now();
    let service: String = request.param("service").map_err(|_| Code::Malformed)?;
    if !is_name(&service) || !service.contains('.') {
        return Err(Code::Malformed);
    }
    let (head, body) = request.into_parts();
    let headers = &head.headers;
    let until = arrived + deadline(headers, router.config.deadline_ms)?;
    let class = header(headers, "x-class")?.unwrap_or_default();
    if !class.is_empty() && !is_name(class) {
        return Err(Code::Malformed);
    }
    let repeatable = match header(headers, "x-repeatable")? {
        None | Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(Code::Malformed),
    };
    let length = content_length(headers, router.config.body_bytes)?;
    // Held until the call ends. What does not fit now is refused rather than read slowly.
    let kib = u32::try_from(length.div_ceil(1 << 10)).map_err(|_| Code::TooLarge)?;
    let _permit = router.content.try_acquire_many(kib).map_err(|_| Code::Overloaded)?;
    let call = Call {
        service: service.into(),
        class: class.into(),
        key: header(headers, "idempotency-key")?.map(Arc::from),
        repeatable,
        until,
        body: read(body, length, until).await?,
    };
    router.call(call).await
}

/// Reads a header that may occur once.
fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Code> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| Code::Malformed)?;
    if values.next().is_some() || text.len() > MOST_NAME_BYTES {
        return Err(Code::Malformed);
    }
    Ok(Some(text))
}

/// Returns how long the request may take on this side.
fn deadline(headers: &HeaderMap, default_ms: u64) -> Result<Duration, Code> {
    let ms = match header(headers, "x-deadline-ms")? {
        None => default_ms,
        Some(text) => text.parse().map_err(|_| Code::Malformed)?,
    };
    let whole = Duration::from_millis(ms);
    if whole.is_zero() || whole > LONGEST_DEADLINE {
        return Err(Code::OutOfRange);
    }
    Ok(whole - WAY_BACK.min(whole / 4))
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !text.is_empty() && text.len() <= MOST_NAME_BYTES && text.bytes().all(allowed)
}

/// Returns the length of the content, or the most allowed if it is not announced.
fn content_length(headers: &HeaderMap, most: usize) -> Result<usize, Code> {
    let Some(text) = header(headers, CONTENT_LENGTH.as_str())? else {
        return Ok(most);
    };
    let length: usize = text.parse().map_err(|_| Code::Malformed)?;
    if length > most { Err(Code::TooLarge) } else { Ok(length) }
}

/// Reads the content, which must arrive before the deadline.
async fn read(body: Body, most: usize, until: Instant) -> Result<Arc<[u8]>, Code> {
    let collected = timeout_at(until, Limited::new(body, most).collect()).await;
    match collected.map_err(|_| Code::Overloaded)? {
        Ok(content) => Ok(Arc::from(&content.to_bytes()[..])),
        Err(error) if error.is::<LengthLimitError>() => Err(Code::TooLarge),
        Err(_) => Err(Code::Malformed),
    }
}

fn content(answer: CallResponse) -> Response {
    let body = Body::from(Full::new(Bytes::from_owner(answer.body)));
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    response
}

fn failure(code: Code) -> Response {
    let failure = Failure { code: code.number(), text: code.text() };
    // Serializing two plain fields cannot fail.
    let body = serde_json::to_vec(&failure).unwrap_or_default();
    let mut response = Response::new(Body::from(Full::new(Bytes::from(body))));
    *response.status_mut() =
        StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
