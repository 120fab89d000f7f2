//! Answers of the resource API.
//!
//! A handler returns an [`Answer`]: a [`Reply`] or a [`Fault`], both with a numbered code. Only
//! [`Reply::response`] and [`Fault::response`] know that answers travel as JSON over HTTP.

use {
    coriandertack_core::{code::Code, keys::Version},
    http_body_util::Full,
    serde::Serialize,
    serde_json::{Map, Value, json},
    viz::{Body, Response, StatusCode, header},
};

/// What a handler returns.
pub type Answer = Result<Reply, Fault>;

/// Content of a reply.
#[derive(Clone, Debug, PartialEq)]
enum Content {
    /// Fields beside the code.
    Fields(Map<String, Value>),
    /// A table in another format.
    Table { media: &'static str, body: Vec<u8> },
}

/// An answer to a request that was carried out.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Result code.
    pub code: Code,
    /// Version of the object, for the header `ETag`.
    version: Option<Version>,
    content: Content,
}

impl Reply {
    /// Returns a reply without fields.
    #[must_use]
    pub fn new(code: Code) -> Self {
        Self { code, version: None, content: Content::Fields(Map::new()) }
    }

    /// Returns a reply that is a table in the format `media`.
    #[must_use]
    pub fn table(media: &'static str, body: Vec<u8>) -> Self {
        Self { code: Code::Done, version: None, content: Content::Table { media, body } }
    }

    /// Adds a field. A value that has no JSON form becomes null.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl Serialize) -> Self {
        if let Content::Fields(fields) = &mut self.content {
            let value = serde_json::to_value(value).unwrap_or(Value::Null);
            fields.insert(name.to_owned(), value);
        }
        self
    }

    /// Says which version the object has, so that a client can send it back as `If-Match`.
    #[must_use]
    pub fn tagged(mut self, version: Version) -> Self {
        self.version = Some(version);
        self
    }

    /// Returns the HTTP response.
    #[must_use]
    pub fn response(self) -> Response {
        let mut response = match self.content {
            Content::Fields(fields) => json_response(self.code, fields),
            Content::Table { media, body } => respond(self.code, media, body),
        };
        let tag = self.version.map(|version| format!("\"{version}\""));
        if let Some(tag) = tag.and_then(|tag| header::HeaderValue::try_from(tag).ok()) {
            response.headers_mut().insert(header::ETAG, tag);
        }
        response
    }
}

/// A request that was refused or failed.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("{code}: {reason}")]
pub struct Fault {
    /// Result code.
    pub code: Code,
    /// What was wrong, for a person.
    pub reason: String,
    /// Version of the object, if it would help the next attempt.
    pub version: Option<Version>,
    /// Whether the log made the change void, so that the audit trail has it already.
    pub is_void: bool,
}

impl Fault {
    /// Returns a fault with its reason.
    #[must_use]
    pub fn new(code: Code, reason: impl Into<String>) -> Self {
        Self { code, reason: reason.into(), version: None, is_void: false }
    }

    /// Adds the version that the object has now.
    #[must_use]
    pub fn with_version(mut self, version: Version) -> Self {
        self.version = Some(version);
        self
    }

    /// Marks a change that reached the log and is void there.
    #[must_use]
    pub fn void(mut self) -> Self {
        self.is_void = true;
        self
    }

    /// Returns the HTTP response.
    #[must_use]
    pub fn response(self) -> Response {
        let mut fields = Map::new();
        fields.insert("reason".into(), json!(self.reason));
        if let Some(version) = self.version {
            fields.insert("version".into(), json!(version));
        }
        json_response(self.code, fields)
    }
}

impl From<Code> for Fault {
    fn from(code: Code) -> Self {
        Self::new(code, code.text())
    }
}

fn json_response(code: Code, mut fields: Map<String, Value>) -> Response {
    fields.insert("code".into(), json!(code.number()));
    fields.insert("text".into(), json!(code.text()));
    respond(code, "application/json", Value::Object(fields).to_string().into_bytes())
}

/// Returns a response with the status that goes with `code`.
pub(crate) fn respond(code: Code, media: &'static str, body: Vec<u8>) -> Response {
    let mut response = Response::new(Body::Full(Full::new(body.into())));
    *response.status_mut() =
        StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let media = header::HeaderValue::from_static(media);
    response.headers_mut().insert(header::CONTENT_TYPE, media);
    response
}
