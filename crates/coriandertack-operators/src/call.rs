//! From an HTTP request to a handler and back.
//!
//! `serve` finds out who calls, checks the rate, reads the input within its bounds, runs the
//! handler, counts the answer and notes a refused change for the audit trail. Handlers see a [`Call`]
//! and nothing of HTTP.

use std::{collections::BTreeMap, future::Future, sync::Arc};

use {
    bytes::Bytes,
    coriandertack_core::{
        code::Code,
        keys::{JobId, Version},
        state::ApplyResult,
    },
    http_body_util::{BodyExt, Limited},
    serde::de::DeserializeOwned,
    tokio::time::{Duration, Instant, timeout_at},
    viz::{Method, Request, RequestExt, Response, header},
};

use crate::{
    access::{Principal, authenticate, read_token},
    api::Api,
    refusals::{ANONYMOUS, Refused},
    reply::{Answer, Fault, Reply},
    routes::Endpoint,
};

/// The most bytes of a request body.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// The most bytes of a query string.
pub const MAX_QUERY_BYTES: usize = 2_048;

/// The most characters of a name in a path or in an object.
pub const MAX_NAME_CHARS: usize = 63;

/// Time in which the body of a request must arrive.
const READ_TIME: Duration = Duration::from_secs(5);

/// Time that a change may take until it is applied; a longer wait is answered with 5002.
///
/// The log task gives up a record that was never sent after 10 s. Its "not run" is the better answer, so this
/// is longer.
const CHANGE_TIME: Duration = Duration::from_secs(12);

/// Objects of a page if the request names no limit.
const PAGE_DEFAULT: u64 = 100;

/// The most objects of a page.
const PAGE_MAX: u64 = 500;

/// A request as the handlers see it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Who calls.
    pub principal: Principal,
    /// The name or the identifier in the path, or nothing.
    pub name: String,
    /// Parameters of the query.
    query: BTreeMap<String, String>,
    /// Version that the principal expects, from `expect` or `If-Match`.
    pub expect: Option<Version>,
    /// Idempotency key of the header, if any.
    pub key: Option<String>,
    /// Content.
    body: Bytes,
}

impl Call {
    /// Returns a parameter of the query.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        self.query.get(name).map(String::as_str)
    }

    /// Returns a parameter of the query that must be a whole number.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Malformed`] for another value.
    pub fn number(&self, name: &str) -> Result<Option<u64>, Fault> {
        self.text(name).map(|text| parse(name, text)).transpose()
    }

    /// Returns a parameter of the query that must be `true` or `false`.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Malformed`] for another value.
    pub fn flag(&self, name: &str) -> Result<bool, Fault> {
        Ok(self.text(name).map(|text| parse(name, text)).transpose()?.unwrap_or(false))
    }

    /// Tells whether the change is only to be checked.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Malformed`] for a value that is neither `true` nor `false`.
    pub fn dry_run(&self) -> Result<bool, Fault> {
        self.flag("dry_run")
    }

    /// Returns the number of objects to answer with.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::OutOfRange`] beyond the bounds of a page.
    pub fn limit(&self) -> Result<usize, Fault> {
        match self.number("limit")?.unwrap_or(PAGE_DEFAULT) {
            limit @ 1..=PAGE_MAX => Ok(limit as usize),
            _ => Err(Fault::new(Code::OutOfRange, format!("limit must be 1 to {PAGE_MAX}"))),
        }
    }

    /// Returns the identifier in the path.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Malformed`] if it is not one.
    pub fn job(&self) -> Result<JobId, Fault> {
        parse("job", &self.name)
    }

    /// Returns the version that the principal expects; 0 for a new object.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Malformed`] if the request does not say.
    pub fn expected(&self) -> Result<Version, Fault> {
        let reason = "say which version you have seen: `?expect=VERSION` or `If-Match` (0: none)";
        self.expect.ok_or_else(|| Fault::new(Code::Malformed, reason))
    }

    /// Returns the content.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Malformed`] if it does not have the form.
    pub fn content<T: DeserializeOwned>(&self) -> Result<T, Fault> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Fault::new(Code::Malformed, format!("body: {error}")))
    }
}

fn parse<T: std::str::FromStr>(name: &str, text: &str) -> Result<T, Fault> {
    let reason = || Fault::new(Code::Malformed, format!("`{name}` has no valid value"));
    text.parse().map_err(|_| reason())
}

/// Checks a name of an object.
///
/// # Errors
///
/// Fails with [`Code::OutOfRange`] if it is empty, too long or has other characters than letters of
/// ASCII, digits, `-`, `_` and `.`.
pub fn check_name(what: &str, name: &str) -> Result<(), Fault> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if !name.is_empty() && name.len() <= MAX_NAME_CHARS && name.bytes().all(is_allowed) {
        return Ok(());
    }
    let reason =
        format!("{what} must be 1 to {MAX_NAME_CHARS} letters of ASCII, digits, `-`, `_` or `.`");
    Err(Fault::new(Code::OutOfRange, reason))
}

/// Waits for the verdict of a change for as long as a change may take.
///
/// # Errors
///
/// Fails with the code of the verdict, and with [`Code::OutcomeUnknown`] after the time is over.
pub(crate) async fn in_time(change: impl Future<Output = ApplyResult>) -> ApplyResult {
    let until = Instant::now() + CHANGE_TIME;
    timeout_at(until, change).await.unwrap_or(Err(Code::OutcomeUnknown))
}

/// Serves one request at an endpoint.
pub(crate) async fn serve(
    api: Arc<Api>,
    endpoint: &'static Endpoint,
    mut request: Request,
) -> Response {
    let refused = Refused {
        actor: ANONYMOUS.into(),
        action: format!("{} {}", endpoint.operation, shorten(request.path())),
        code: Code::Done,
    };
    let is_dry = request.query_string().is_some_and(|query| query.contains("dry_run=true"));
    let is_change = endpoint.method != Method::GET && !is_dry;
    let (actor, answer) = match admit(&api, &request) {
        Ok(principal) => {
            (principal.to_string(), run(&api, endpoint, &mut request, principal).await)
        }
        Err(fault) => (refused.actor.clone(), Err(fault)),
    };
    api.metrics.answered(answer.as_ref().map_or_else(|fault| fault.code, |reply| reply.code));
    if let Err(fault) = &answer
        && is_change
        && !is_audited(fault)
    {
        api.refusals.note(Refused { actor, code: fault.code, ..refused });
    }
    answer.map_or_else(Fault::response, Reply::response)
}

/// Finds out who calls and whether the rate allows the request.
fn admit(api: &Api, request: &Request) -> Result<Principal, Fault> {
    api.require_state()?;
    let header = request.headers().get(header::AUTHORIZATION);
    let header = header.and_then(|value| value.to_str().ok());
    // The token is hashed before the state is locked.
    let digest = read_token(header)?;
    let principal = api.node.with(|shared| authenticate(&digest, &api.operators, &shared.state))?;
    if !api.allow(&principal) {
        return Err(Code::TooManyRequests.into());
    }
    Ok(principal)
}

/// Reads the request and runs the handler, if the principal may use the endpoint.
async fn run(
    api: &Arc<Api>,
    endpoint: &'static Endpoint,
    request: &mut Request,
    principal: Principal,
) -> Answer {
    if endpoint.operator_only {
        principal.require_operator()?;
    }
    let call = read(request, endpoint, principal).await?;
    (endpoint.handler)(Arc::clone(api), call).await
}

/// Tells whether the trail has a refused change already, or should not have it.
///
/// A request beyond the rate was not looked at. The other codes mean that the log cannot take records
/// now.
fn is_audited(fault: &Fault) -> bool {
    let is_unfit = matches!(
        fault.code,
        Code::TooManyRequests
            | Code::LogUnavailable
            | Code::NotReady
            | Code::Stopping
            | Code::Fenced
    );
    fault.is_void || is_unfit
}

fn shorten(path: &str) -> &str {
    path.char_indices().nth(MAX_NAME_CHARS * 2).map_or(path, |(at, _)| &path[..at])
}

async fn read(
    request: &mut Request,
    endpoint: &Endpoint,
    principal: Principal,
) -> Result<Call, Fault> {
    let query = read_query(request)?;
    if let Some(name) = query.keys().find(|name| !endpoint.query.contains(&name.as_str())) {
        let known = match endpoint.query {
            [] => "none".into(),
            names => names.join(", "),
        };
        let reason = format!("unknown parameter `{}`; known: {known}", shorten(name));
        return Err(Fault::new(Code::Malformed, reason));
    }
    let expect = read_expect(request, &query)?;
    let name = read_name(request)?;
    let key = request.header::<_, String>("idempotency-key");
    let body =
        if endpoint.method == Method::GET { Bytes::new() } else { read_body(request).await? };
    Ok(Call { principal, name, query, expect, key, body })
}

fn read_query(request: &Request) -> Result<BTreeMap<String, String>, Fault> {
    if request.query_string().is_some_and(|query| query.len() > MAX_QUERY_BYTES) {
        let reason = format!("the query is longer than {MAX_QUERY_BYTES} bytes");
        return Err(Fault::new(Code::TooLarge, reason));
    }
    if request.query_string().is_none() {
        return Ok(BTreeMap::new());
    }
    request.query().map_err(|_| Fault::new(Code::Malformed, "malformed query"))
}

fn read_expect(
    request: &Request,
    query: &BTreeMap<String, String>,
) -> Result<Option<Version>, Fault> {
    if let Some(text) = query.get("expect") {
        return parse("expect", text).map(Some);
    }
    let Some(text) = request.header::<_, String>(header::IF_MATCH) else {
        return Ok(None);
    };
    parse("If-Match", text.trim_matches('"')).map(Some)
}

/// Returns the last parameter of the path. No route has more than one.
fn read_name(request: &Request) -> Result<String, Fault> {
    let params = &request.route_info().params;
    let name = params.first().map(|(_, value)| value.clone()).unwrap_or_default();
    if name.len() > MAX_NAME_CHARS {
        return Err(Fault::new(Code::TooLarge, "the name in the path is too long"));
    }
    Ok(name)
}

async fn read_body(request: &mut Request) -> Result<Bytes, Fault> {
    let too_large =
        || Fault::new(Code::TooLarge, format!("the body is larger than {MAX_BODY_BYTES} bytes"));
    let limit = MAX_BODY_BYTES as u64;
    if request.content_length().is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let body = std::mem::take(request.body_mut());
    let read = Limited::new(body, MAX_BODY_BYTES).collect();
    match timeout_at(Instant::now() + READ_TIME, read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => Err(too_large()),
        Ok(Err(_)) => Err(Fault::new(Code::Malformed, "the body could not be read")),
        Err(_) => Err(Fault::new(Code::Malformed, "the body did not arrive in time")),
    }
}
