//! Conversion of HTTP requests to handler calls.
//!
//! `serve` authenticates the sender, applies the rate limit, reads the bounded input, runs the handler,
//! counts the response and queues a refused change for the audit trail. Handlers get a [`Call`] and do
//! not depend on HTTP.

use std::{collections::BTreeMap, future::Future, sync::Arc};

use {
    bytes::Bytes,
    coriandertack_callers::bodies::{BODY_TIME, BodyError, Receiver},
    coriandertack_core::{
        code::Code,
        keys::{JobId, Version},
        state::ApplyResult,
    },
    serde::de::DeserializeOwned,
    tokio::time::{Duration, Instant, timeout_at},
    viz::{Method, Request, RequestExt, Response, header},
};

use crate::{
    access::{Principal, authenticate, read_token},
    api::Api,
    refusals::{ANONYMOUS, RefusedChange},
    reply::{ApiError, ApiResult, Reply},
    routes::Endpoint,
};

/// Maximum size of a request body in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Maximum length of a query string in bytes.
pub const MAX_QUERY_BYTES: usize = 2_048;

/// Maximum length of a name in a path or an object.
pub const MAX_NAME_CHARS: usize = 63;

/// Time limit for a change to be applied, after which the result is 5002 (outcome unknown).
///
/// The log task reports a record that it could not send as not run after 10 s. This limit is longer so that
/// the client gets that definite result.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(12);

/// Number of objects in a page if the request has no `limit`.
const DEFAULT_PAGE_SIZE: u64 = 100;

/// Maximum number of objects in a page.
const MAX_PAGE_SIZE: u64 = 500;

/// A request as passed to the handlers.
#[derive(Debug)]
pub struct Call {
    /// Authenticated sender of the request.
    pub principal: Principal,
    /// Name or identifier from the path; empty if the route has none.
    pub name: String,
    /// Query parameters by name.
    query: BTreeMap<String, String>,
    /// Version the sender expects the object to have, from `expect` or `If-Match`.
    pub expect: Option<Version>,
    /// Value of the `Idempotency-Key` header.
    pub idempotency_key: Option<String>,
    /// Request body; empty for `GET`.
    body: Bytes,
    /// Keeps the bytes of the body reserved.
    _held: Option<Receiver>,
}

impl Call {
    /// Returns a query parameter.
    #[must_use]
    pub fn param(&self, name: &str) -> Option<&str> {
        self.query.get(name).map(String::as_str)
    }

    /// Returns an integer query parameter.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Malformed`] if the value is not an unsigned integer.
    pub fn int_param(&self, name: &str) -> Result<Option<u64>, ApiError> {
        self.param(name).map(|text| parse_param(name, text)).transpose()
    }

    /// Returns a boolean query parameter; `false` if it is absent.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Malformed`] for a value other than `true` or `false`.
    pub fn bool_param(&self, name: &str) -> Result<bool, ApiError> {
        Ok(self.param(name).map(|text| parse_param(name, text)).transpose()?.unwrap_or(false))
    }

    /// Returns whether the request is a dry run, which validates the change without making it.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Malformed`] for a value of `dry_run` other than `true` or `false`.
    pub fn dry_run(&self) -> Result<bool, ApiError> {
        self.bool_param("dry_run")
    }

    /// Returns the maximum number of objects in the response page.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::OutOfRange`] if `limit` is zero or above the maximum page size.
    pub fn limit(&self) -> Result<usize, ApiError> {
        match self.int_param("limit")?.unwrap_or(DEFAULT_PAGE_SIZE) {
            limit @ 1..=MAX_PAGE_SIZE => Ok(limit as usize),
            limit => Err(ApiError::new(
                Code::OutOfRange,
                format!("limit is {limit}; it must be 1 to {MAX_PAGE_SIZE}"),
            )),
        }
    }

    /// Returns the job identifier in the path.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Malformed`] if the path has no valid job identifier.
    pub fn job_id(&self) -> Result<JobId, ApiError> {
        parse_param("job", &self.name)
    }

    /// Returns the version the sender expects the object to have; 0 if it must not exist yet.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Malformed`] if the request states no version.
    pub fn expected_version(&self) -> Result<Version, ApiError> {
        let reason = "missing version; send the last version read as `?expect=VERSION` or `If-Match` (0 if none)";
        self.expect.ok_or_else(|| ApiError::new(Code::Malformed, reason))
    }

    /// Decodes the JSON body.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Malformed`] if the body is not JSON or does not match `T`.
    pub fn json_body<T: DeserializeOwned>(&self) -> Result<T, ApiError> {
        serde_json::from_slice(&self.body)
            .map_err(|error| ApiError::new(Code::Malformed, format!("invalid JSON body: {error}")))
    }
}

fn parse_param<T: std::str::FromStr>(name: &str, text: &str) -> Result<T, ApiError> {
    let error = || {
        let text = truncate(text);
        let reason = format!(
            "invalid value `{text}` for `{name}`; expected a whole number, or `true` or `false` for a flag"
        );
        ApiError::new(Code::Malformed, reason)
    };
    text.parse().map_err(|_| error())
}

/// Validates the name of an object; `what` names the field in the error.
///
/// # Errors
///
/// Fails with [`Code::OutOfRange`] if the name is empty, longer than [`MAX_NAME_CHARS`], or has characters
/// other than ASCII letters, digits, `-`, `_` and `.`.
pub fn check_name(what: &str, name: &str) -> Result<(), ApiError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if !name.is_empty() && name.len() <= MAX_NAME_CHARS && name.bytes().all(is_allowed) {
        return Ok(());
    }
    let reason = format!(
        "{what} `{}` is invalid; it must be 1 to {MAX_NAME_CHARS} ASCII letters, digits, `-`, `_` or `.`",
        truncate(name)
    );
    Err(ApiError::new(Code::OutOfRange, reason))
}

/// Waits for the result of a change for at most `CHANGE_TIMEOUT`.
///
/// # Errors
///
/// Fails with the code of the result, or with [`Code::OutcomeUnknown`] when the time limit expires.
pub(crate) async fn with_change_timeout(change: impl Future<Output = ApplyResult>) -> ApplyResult {
    let until = Instant::now() + CHANGE_TIMEOUT;
    timeout_at(until, change).await.unwrap_or(Err(Code::OutcomeUnknown))
}

/// Handles one HTTP request to an endpoint.
pub(crate) async fn serve(
    api: Arc<Api>,
    endpoint: &'static Endpoint,
    mut request: Request,
) -> Response {
    let refused = RefusedChange {
        actor: ANONYMOUS.into(),
        action: format!("{} {}", endpoint.operation, truncate(request.path())),
        code: Code::Done,
    };
    let is_dry = request.query_string().is_some_and(|query| query.contains("dry_run=true"));
    let is_change = endpoint.method != Method::GET && !is_dry;
    let (actor, result) = match admit_request(&api, &request) {
        Ok(principal) => {
            (principal.to_string(), run_handler(&api, endpoint, &mut request, principal).await)
        }
        Err(error) => (refused.actor.clone(), Err(error)),
    };
    api.metrics
        .record_response(result.as_ref().map_or_else(|error| error.code, |reply| reply.code));
    if let Err(error) = &result
        && is_change
        && !should_skip_audit(error)
    {
        api.refusals.enqueue(RefusedChange { actor, code: error.code, ..refused });
    }
    result.map_or_else(ApiError::into_response, Reply::into_response)
}

/// Authenticates the sender and applies the rate limit.
fn admit_request(api: &Api, request: &Request) -> Result<Principal, ApiError> {
    api.require_readable()?;
    let header = request.headers().get(header::AUTHORIZATION);
    let header = header.and_then(|value| value.to_str().ok());
    // Hash the token before locking the state.
    let digest = read_token(header)?;
    let principal = api.node.with(|shared| authenticate(&digest, &api.operators, &shared.state))?;
    if !api.allow_request(&principal) {
        return Err(Code::TooManyRequests.into());
    }
    Ok(principal)
}

/// Checks access to the endpoint, reads the request and runs the handler.
async fn run_handler(
    api: &Arc<Api>,
    endpoint: &'static Endpoint,
    request: &mut Request,
    principal: Principal,
) -> ApiResult {
    if endpoint.operator_only {
        principal.require_operator()?;
    }
    let call = read_call(api, request, endpoint, principal).await?;
    (endpoint.handler)(Arc::clone(api), call).await
}

/// Returns whether a refused change must not be queued for the audit trail.
///
/// A change that reached the log is in the trail already. Requests above the rate limit are rejected before
/// they are read. The other codes mean that the log cannot accept records.
fn should_skip_audit(error: &ApiError) -> bool {
    let cannot_append = matches!(
        error.code,
        Code::TooManyRequests
            | Code::LogUnavailable
            | Code::NotReady
            | Code::Stopping
            | Code::Fenced
    );
    error.was_logged || cannot_append
}

fn truncate(text: &str) -> &str {
    text.char_indices().nth(MAX_NAME_CHARS * 2).map_or(text, |(end, _)| &text[..end])
}

async fn read_call(
    api: &Api,
    request: &mut Request,
    endpoint: &Endpoint,
    principal: Principal,
) -> Result<Call, ApiError> {
    let query = read_query(request)?;
    if let Some(name) = query.keys().find(|name| !endpoint.query.contains(&name.as_str())) {
        let known = match endpoint.query {
            [] => "none".into(),
            names => names.join(", "),
        };
        let reason =
            format!("unknown query parameter `{}`; supported parameters: {known}", truncate(name));
        return Err(ApiError::new(Code::Malformed, reason));
    }
    let expect = read_expected_version(request, &query)?;
    let name = read_path_param(request)?;
    let idempotency_key = request.header::<_, String>("idempotency-key");
    let (body, held) = match endpoint.method {
        Method::GET => (Bytes::new(), None),
        _ => read_body(api, request).await.map(|(body, held)| (body, Some(held)))?,
    };
    Ok(Call { principal, name, query, expect, idempotency_key, body, _held: held })
}

fn read_query(request: &Request) -> Result<BTreeMap<String, String>, ApiError> {
    if request.query_string().is_some_and(|query| query.len() > MAX_QUERY_BYTES) {
        let reason = format!("the query string exceeds the limit of {MAX_QUERY_BYTES} bytes");
        return Err(ApiError::new(Code::TooLarge, reason));
    }
    if request.query_string().is_none() {
        return Ok(BTreeMap::new());
    }
    request.query().map_err(|_| {
        ApiError::new(
            Code::Malformed,
            "malformed query string; send URL-encoded `name=value` pairs",
        )
    })
}

fn read_expected_version(
    request: &Request,
    query: &BTreeMap<String, String>,
) -> Result<Option<Version>, ApiError> {
    if let Some(text) = query.get("expect") {
        return parse_param("expect", text).map(Some);
    }
    let Some(text) = request.header::<_, String>(header::IF_MATCH) else {
        return Ok(None);
    };
    parse_param("If-Match", text.trim_matches('"')).map(Some)
}

/// Returns the path parameter, or an empty string. No route has more than one.
fn read_path_param(request: &Request) -> Result<String, ApiError> {
    let params = &request.route_info().params;
    let name = params.first().map(|(_, value)| value.clone()).unwrap_or_default();
    if name.len() > MAX_NAME_CHARS {
        let reason =
            format!("the name in the path has {} bytes; the limit is {MAX_NAME_CHARS}", name.len());
        return Err(ApiError::new(Code::TooLarge, reason));
    }
    Ok(name)
}

async fn read_body(api: &Api, request: &mut Request) -> Result<(Bytes, Receiver), ApiError> {
    let body = std::mem::take(request.body_mut());
    let read = api.bodies.read(body, MAX_BODY_BYTES, Instant::now() + BODY_TIME).await;
    let body = read.map_err(|error| match error {
        BodyError::TooLong => ApiError::new(
            Code::TooLarge,
            format!("the request body exceeds the limit of {MAX_BODY_BYTES} bytes"),
        ),
        BodyError::Broken(_) => ApiError::new(
            Code::Malformed,
            "the request body could not be read; send the request again",
        ),
        BodyError::Late => ApiError::new(
            Code::Malformed,
            format!("the request body did not arrive within {} s", BODY_TIME.as_secs()),
        ),
        BodyError::NoRoom => ApiError::new(
            Code::Overloaded,
            "there is no room for the request body; send the request again after a second",
        ),
    })?;
    Ok(body.into_parts())
}
