//! Requests to the log service.
//!
//! The service numbers the records of a stream from 1. A read names the first offset that it wants
//! and gets a page; the page's tail is the offset that the next record will get.

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
pub const FIRST: Offset = Offset(1);

/// Most bytes of record bodies that a page should hold.
const PAGE_BYTES: usize = 1 << 20;

/// Most bytes of a response. A page holds at least one record, whatever its size, and some framing.
const MAX_RESPONSE: usize = 4 << 20;

/// Time that a read may take beyond its long poll.
///
/// With a long poll of 500 ms, a read that hangs is given up while the validity of 3 s from the read
/// before it still holds. A service that takes longer cannot keep a VM valid anyway.
const READ_GRACE: Duration = Duration::from_millis(1_500);

/// Client of one stream of the log service.
#[derive(Clone, Debug)]
pub struct Client {
    http: HttpClient<HttpConnector, Full<Bytes>>,
    base: String,
    name: HeaderValue,
}

/// A record as the log service keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Its position.
    pub offset: Offset,
    /// Its bytes.
    pub body: Bytes,
}

/// Records of a stream from the requested offset on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Lowest offset that is kept.
    pub earliest: Offset,
    /// Offset that the next record will get.
    pub tail: Offset,
    /// Consecutive records.
    pub records: Vec<Stored>,
}

/// Answer to a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Read {
    /// The records from the requested offset on.
    Page(Page),
    /// The requested offset is no longer kept; the page says what is.
    Gone(Page),
}

/// Why an append has no offset.
#[derive(Debug, Display, Error)]
pub enum AppendError {
    /// The service certainly did not take the record.
    #[display("not appended: {_0:#}")]
    Refused(#[error(not(source))] anyhow::Error),
    /// The service may have taken the record.
    #[display("outcome unknown: {_0:#}")]
    Unclear(#[error(not(source))] anyhow::Error),
}

#[derive(Deserialize)]
struct Appended {
    offset: u64,
}

impl Client {
    /// Returns a client of `stream`. `name` tells the service who asks.
    ///
    /// # Errors
    ///
    /// Fails if `name` cannot be the value of a header.
    pub fn new(address: SocketAddr, stream: &str, name: &str) -> anyhow::Result<Self> {
        let mut connector = HttpConnector::new();
        // Requests are small, and each is waited for.
        connector.set_nodelay(true);
        let http = HttpClient::builder(TokioExecutor::new()).build(connector);
        let base = format!("http://{address}/streams/{stream}");
        let name = HeaderValue::from_str(name).context("client name")?;
        Ok(Self { http, base, name })
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// Fails if there is no offset by `until`. Unless the error says that the record was refused, it
    /// may have been appended.
    pub async fn append(&self, body: Bytes, until: Instant) -> Result<Offset, AppendError> {
        let request = self.request(Method::POST, self.base.clone(), body);
        let request = request.map_err(AppendError::Refused)?;
        let response = match timeout_at(until, self.http.request(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_connect() => {
                return Err(AppendError::Refused(error.into()));
            }
            Ok(Err(error)) => return Err(AppendError::Unclear(error.into())),
            Err(elapsed) => return Err(AppendError::Unclear(elapsed.into())),
        };
        if response.status() == StatusCode::TOO_MANY_REQUESTS {
            return Err(AppendError::Refused(anyhow::anyhow!("over the rate limit")));
        }
        appended(response, until).await.map_err(AppendError::Unclear)
    }

    /// Reads from `from` on, and waits up to `wait` for a record if there is none yet.
    ///
    /// # Errors
    ///
    /// Fails if no sound page arrives in time.
    pub async fn read(&self, from: Offset, wait: Duration) -> anyhow::Result<Read> {
        let until = Instant::now() + wait + READ_GRACE;
        let wait_ms = wait.as_millis();
        let uri = format!("{}?from={from}&max_bytes={PAGE_BYTES}&wait_ms={wait_ms}", self.base);
        let request = self.request(Method::GET, uri, Bytes::new())?;
        let response = timeout_at(until, self.http.request(request)).await??;
        let status = response.status();
        let body = collect(response, until).await?;
        match status {
            StatusCode::OK => {
                let page = decode_page(&body, from)?;
                // Without this check, a reader would ask again and again without a pause.
                let complete = page.tail == from || !page.records.is_empty();
                ensure!(complete, "no record at offset {from}, before the tail {}", page.tail);
                Ok(Read::Page(page))
            }
            StatusCode::GONE => Ok(Read::Gone(decode_page(&body, from)?)),
            status => bail!("the log service answered {status}"),
        }
    }

    fn request(
        &self,
        method: Method,
        uri: String,
        body: Bytes,
    ) -> anyhow::Result<Request<Full<Bytes>>> {
        let request = Request::builder().method(method).uri(uri);
        Ok(request.header("x-client", self.name.clone()).body(Full::new(body))?)
    }
}

async fn appended(response: Response<Incoming>, until: Instant) -> anyhow::Result<Offset> {
    let status = response.status();
    ensure!(status == StatusCode::OK, "the log service answered {status}");
    let body = collect(response, until).await?;
    let appended: Appended = serde_json::from_slice(&body)?;
    Ok(Offset(appended.offset))
}

async fn collect(response: Response<Incoming>, until: Instant) -> anyhow::Result<Bytes> {
    let body = Limited::new(response.into_body(), MAX_RESPONSE);
    let collected = timeout_at(until, body.collect()).await?;
    Ok(collected.map_err(anyhow::Error::from_boxed)?.to_bytes())
}

/// Decodes a page and checks that it leaves no gap after the offset that was asked for.
fn decode_page(body: &[u8], from: Offset) -> anyhow::Result<Page> {
    let page = proto::Page::decode(body)?;
    let records = page.records.into_iter();
    let stored = |record: proto::PageRecord| Stored {
        offset: Offset(record.offset),
        body: record.body.into(),
    };
    let records: Vec<Stored> = records.map(stored).collect();
    let mut next = from;
    for record in &records {
        ensure!(record.offset == next, "offset {} in place of {next}", record.offset);
        next = next.next();
    }
    ensure!(page.tail >= next.0, "the tail {} is before offset {next}", page.tail);
    Ok(Page { earliest: Offset(page.earliest), tail: Offset(page.tail), records })
}
