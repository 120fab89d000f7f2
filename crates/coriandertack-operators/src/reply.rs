//! Replies and errors of the resource API.
//!
//! A handler returns an [`ApiResult`]: a [`Reply`] or an [`ApiError`], both with a numbered code. Only
//! [`Reply::into_response`] and [`ApiError::into_response`] depend on the encoding as JSON over HTTP.

use {
    coriandertack_core::{code::Code, keys::Version},
    http_body_util::Full,
    serde::Serialize,
    serde_json::{Map, Value, json},
    viz::{Body, Response, StatusCode, header},
};

/// Time after which a client that was refused for room may return, in seconds.
const RETRY_AFTER_S: &str = "1";

/// Result of a handler.
pub type ApiResult = Result<Reply, ApiError>;

/// Content of a reply.
#[derive(Clone, Debug, PartialEq)]
enum Content {
    /// JSON fields in addition to the code.
    Fields(Map<String, Value>),
    /// A complete body in another media type.
    Table { media_type: &'static str, body: Vec<u8> },
}

/// Reply to a successful request.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Result code.
    pub code: Code,
    /// Version of the object, sent in the `ETag` header.
    version: Option<Version>,
    content: Content,
}

impl Reply {
    /// Returns a reply with no fields besides the code.
    #[must_use]
    pub fn new(code: Code) -> Self {
        Self { code, version: None, content: Content::Fields(Map::new()) }
    }

    /// Returns a reply whose body is a table of type `media_type`.
    #[must_use]
    pub fn table(media_type: &'static str, body: Vec<u8>) -> Self {
        Self { code: Code::Done, version: None, content: Content::Table { media_type, body } }
    }

    /// Adds a field. A value that cannot be encoded as JSON becomes null.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl Serialize) -> Self {
        if let Content::Fields(fields) = &mut self.content {
            let value = serde_json::to_value(value).unwrap_or(Value::Null);
            fields.insert(name.to_owned(), value);
        }
        self
    }

    /// Sets the version of the object, which a client can send back as `If-Match`.
    #[must_use]
    pub fn with_etag(mut self, version: Version) -> Self {
        self.version = Some(version);
        self
    }

    /// Returns the HTTP response.
    #[must_use]
    pub fn into_response(self) -> Response {
        let mut response = match self.content {
            Content::Fields(fields) => json_response(self.code, fields),
            Content::Table { media_type, body } => build_response(self.code, media_type, body),
        };
        let tag = self.version.map(|version| format!("\"{version}\""));
        if let Some(tag) = tag.and_then(|tag| header::HeaderValue::try_from(tag).ok()) {
            response.headers_mut().insert(header::ETAG, tag);
        }
        response
    }
}

/// Error of a request that was refused or failed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{code}: {reason}")]
pub struct ApiError {
    /// Result code.
    pub code: Code,
    /// Human-readable reason.
    pub reason: String,
    /// Current version of the object, set on a version conflict.
    pub version: Option<Version>,
    /// Whether the change reached the log and was rejected there, so that the audit trail has it already.
    pub was_logged: bool,
}

impl ApiError {
    /// Returns an error with a reason.
    #[must_use]
    pub fn new(code: Code, reason: impl Into<String>) -> Self {
        Self { code, reason: reason.into(), version: None, was_logged: false }
    }

    /// Adds the current version of the object.
    #[must_use]
    pub fn with_version(mut self, version: Version) -> Self {
        self.version = Some(version);
        self
    }

    /// Marks the change as one that reached the log and was rejected there.
    #[must_use]
    pub fn logged(mut self) -> Self {
        self.was_logged = true;
        self
    }

    /// Returns the HTTP response.
    #[must_use]
    pub fn into_response(self) -> Response {
        let mut fields = Map::new();
        fields.insert("reason".into(), json!(self.reason));
        if let Some(version) = self.version {
            fields.insert("version".into(), json!(version));
        }
        let mut response = json_response(self.code, fields);
        if self.code == Code::Overloaded {
            let pause = header::HeaderValue::from_static(RETRY_AFTER_S);
            response.headers_mut().insert(header::RETRY_AFTER, pause);
        }
        response
    }
}

impl From<Code> for ApiError {
    fn from(code: Code) -> Self {
        Self::new(code, code.text())
    }
}

fn json_response(code: Code, mut fields: Map<String, Value>) -> Response {
    fields.insert("code".into(), json!(code.number()));
    fields.insert("text".into(), json!(code.text()));
    build_response(code, "application/json", Value::Object(fields).to_string().into_bytes())
}

/// Returns a response with the HTTP status of `code`.
pub(crate) fn build_response(code: Code, media_type: &'static str, body: Vec<u8>) -> Response {
    let mut response = Response::new(Body::Full(Full::new(body.into())));
    *response.status_mut() =
        StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let media_type = header::HeaderValue::from_static(media_type);
    response.headers_mut().insert(header::CONTENT_TYPE, media_type);
    response
}
