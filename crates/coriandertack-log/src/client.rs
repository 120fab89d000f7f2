//! HTTP client of the log service.
//!
//! The service numbers the records of a stream from 1. A read requests the records from an offset
//! on and receives a page of them. The tail of a page is the offset that the next appended record
//! will get.

use std::{net::SocketAddr, time::Duration};

use {
    anyhow::{Context, bail, ensure},
    bytes::Bytes,
    coriandertack_core::keys::Offset,
    derive_more::{Display, Error},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request, Response, StatusCode, body::Incoming, http::HeaderValue},
    hyper_util::{
        client::legacy::{Client as HttpClient, connect::HttpConnector},
        rt::TokioExecutor,
    },
    prost::Message,
    serde::Deserialize,
    tokio::time::{Instant, timeout_at},
};

use crate::proto;

/// Offset of the first record of a stream.
pub const FIRST_OFFSET: Offset = Offset(1);

/// Limit on the bytes of record bodies in a page, as requested from the service.
const MAX_PAGE_BYTES: usize = 1 << 20;

/// Maximum size of a response body. It exceeds [`MAX_PAGE_BYTES`] because a page holds at least one
/// record of any size, and adds framing.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Time that a read may take in addition to its long poll.
///
/// With a long poll of 500 ms, a read that hangs is abandoned while the validity of 3 s from the
/// previous read still holds. A service that takes longer cannot keep a VM valid anyway.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);

/// Client of one stream of the log service.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    stream_url: String,
    /// Value of the `x-client` header.
    client_name: HeaderValue,
}

/// A record as stored by the log service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// Position in the stream.
    pub offset: Offset,
    /// Content, which the service does not interpret.
    pub body: Bytes,
}

/// Consecutive records of a stream, starting at the requested offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Lowest offset that the service still retains.
    pub earliest: Offset,
    /// Offset that the next appended record will get.
    pub tail: Offset,
    /// Records in offset order, without gaps; empty if the requested offset is the tail.
    pub records: Vec<StoredRecord>,
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// The records from the requested offset on.
    Page(Page),
    /// The requested offset is no longer retained. The page holds the offsets that are.
    Gone(Page),
}

/// Error of an append.
#[derive(Debug, Display, Error)]
pub enum AppendError {
    /// The record was certainly not appended.
    #[display("not appended: {_0:#}")]
    Refused(#[error(not(source))] anyhow::Error),
    /// The record may or may not have been appended.
    #[display("outcome unknown: {_0:#}")]
    Indeterminate(#[error(not(source))] anyhow::Error),
}

#[derive(Deserialize)]
struct AppendResponse {
    offset: u64,
}

impl Client {
    /// Returns a client of `stream` that identifies itself to the service as `name`.
    ///
    /// # Errors
    ///
    /// Fails if `name` is not a valid header value.
    pub fn new(address: SocketAddr, stream: &str, name: &str) -> anyhow::Result<Self> {
        let mut connector = HttpConnector::new();
        // Requests are small and each one is awaited, so Nagle's algorithm would only add latency.
        connector.set_nodelay(true);
        let http = HttpClient::builder(TokioExecutor::new()).build(connector);
        let stream_url = format!("http://{address}/streams/{stream}");
        let client_name = HeaderValue::from_str(name).context("invalid client name")?;
        Ok(Self { http, stream_url, client_name })
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// Fails if the service does not acknowledge the record by `deadline`. Unless the error is
    /// [`AppendError::Refused`], the record may have been appended.
    pub async fn append(&self, body: Bytes, deadline: Instant) -> Result<Offset, AppendError> {
        let request = self.request(Method::POST, self.stream_url.clone(), body);
        let request = request.map_err(AppendError::Refused)?;
        let response = match timeout_at(deadline, self.http.request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() => {
                return Err(AppendError::Refused(error.into()));
            }
            Ok(Err(error)) => return Err(AppendError::Indeterminate(error.into())),
            Err(elapsed) => return Err(AppendError::Indeterminate(elapsed.into())),
        };
        if response.status() == StatusCode::TOO_MANY_REQUESTS {
            return Err(AppendError::Refused(anyhow::anyhow!("append rate limit exceeded")));
        }
        decode_append(response, deadline).await.map_err(AppendError::Indeterminate)
    }

    /// Reads the records from offset `from` on, waiting up to `wait` for the first one if `from` is
    /// the tail.
    ///
    /// # Errors
    ///
    /// Fails if no valid page arrives in time.
    pub async fn read(&self, from: Offset, wait: Duration) -> anyhow::Result<Read> {
        let deadline = Instant::now() + wait + READ_TIMEOUT_MARGIN;
        let wait_ms = wait.as_millis();
        let uri =
            format!("{}?from={from}&max_bytes={MAX_PAGE_BYTES}&wait_ms={wait_ms}", self.stream_url);
        let request = self.request(Method::GET, uri, Bytes::new())?;
        let response = timeout_at(deadline, self.http.request(request)).await??;
        let status = response.status();
        let body = read_body(response, deadline).await?;
        match status {
            StatusCode::OK => {
                let page = decode_page(&body, from)?;
                // An empty page below the tail would make the reader retry in a busy loop.
                let progresses = page.tail == from || !page.records.is_empty();
                ensure!(progresses, "no record at offset {from}, below the tail {}", page.tail);
                Ok(Read::Page(page))
            }
            StatusCode::GONE => Ok(Read::Gone(decode_page(&body, from)?)),
            status => bail!("log service returned {status}"),
        }
    }

    fn request(
        &self,
        method: Method,
        uri: String,
        body: Bytes,
    ) -> anyhow::Result<Request<Full<Bytes>>> {
        let request = Request::builder().method(method).uri(uri);
        Ok(request.header("x-client", self.client_name.clone()).body(Full::new(body))?)
    }
}

async fn decode_append(response: Response<Incoming>, deadline: Instant) -> anyhow::Result<Offset> {
    let status = response.status();
    ensure!(status == StatusCode::OK, "log service returned {status}");
    let body = read_body(response, deadline).await?;
    let response: AppendResponse = serde_json::from_slice(&body)?;
    Ok(Offset(response.offset))
}

async fn read_body(response: Response<Incoming>, deadline: Instant) -> anyhow::Result<Bytes> {
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
    let collected = timeout_at(deadline, body.collect()).await?;
    Ok(collected.map_err(anyhow::Error::from_boxed)?.to_bytes())
}

/// Decodes a page and checks that its records follow `from` without a gap.
fn decode_page(body: &[u8], from: Offset) -> anyhow::Result<Page> {
    let page = proto::Page::decode(body)?;
    let records = page.records.into_iter();
    let stored = |record: proto::PageRecord| StoredRecord {
        offset: Offset(record.offset),
        body: record.body.into(),
    };
    let records: Vec<StoredRecord> = records.map(stored).collect();
    let mut next = from;
    for record in &records {
        ensure!(record.offset == next, "record at offset {}, expected {next}", record.offset);
        next = next.next();
    }
    ensure!(page.tail >= next.0, "tail {} is below offset {next}", page.tail);
    Ok(Page { earliest: Offset(page.earliest), tail: Offset(page.tail), records })
}
