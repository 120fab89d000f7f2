//! HTTP client of the list.

use std::{net::SocketAddr, time::Duration};

use {
    anyhow::{Context, ensure},
    bytes::Bytes,
    http_body_util::{BodyExt, Empty, Limited},
    hyper::{StatusCode, Uri},
    hyper_util::{
        client::legacy::{self, connect::HttpConnector},
        rt::TokioExecutor,
    },
    tokio::time::timeout,
};

use crate::{diff::Listing, wire};

/// Time for one answer. The list is read again soon, so a slow answer is not worth waiting for.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer, which holds the list of the target size several times over.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// An answer of the list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// What it says.
    pub listing: Listing,
    /// Its size.
    pub bytes: usize,
}

/// Reads the list over a connection that is kept open.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Empty<Bytes>>,
    uri: Uri,
}

impl Client {
    /// Returns a client of the list at `address`.
    ///
    /// # Panics
    ///
    /// Never, because every socket address forms a valid URI.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let http = legacy::Client::builder(TokioExecutor::new()).build_http();
        let uri = format!("http://{address}/vms").parse().expect("an address forms a valid URI");
        Self { http, uri }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails if there is no answer in time, or if it is not a list of VMs.
    pub async fn list(&self) -> anyhow::Result<Answer> {
        timeout(ANSWER_TIMEOUT, self.read()).await.context("no answer in time")?
    }

    async fn read(&self) -> anyhow::Result<Answer> {
        let answer = self.http.get(self.uri.clone()).await.context("no answer")?;
        let status = answer.status();
        ensure!(status == StatusCode::OK, "unexpected status {status}");
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(anyhow::Error::from_boxed).context("incomplete answer")?;
        let body = body.to_bytes();
        let vms = serde_json::from_slice(&body).context("not a list of VMs")?;
        Ok(Answer { listing: wire::listing(vms), bytes: body.len() })
    }
}
