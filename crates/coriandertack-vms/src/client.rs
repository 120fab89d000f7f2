//! HTTP client of the VM list.

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
    serde_json::value::RawValue,
    tokio::time::timeout,
};

use crate::{diff::VmListing, wire};

/// Time limit for one response. The list is read again soon, so there is no point in waiting for a slow one.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a response in bytes, several times that of a list for the target cluster size.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A response of the VM list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ListResponse {
    /// The entry VMs and workers that the response lists.
    pub listing: VmListing,
    /// Size of the response body in bytes.
    pub bytes: usize,
}

/// Client that reads the VM list over a persistent connection.
#[derive(Clone, Debug)]
pub struct Client {
    http: legacy::Client<HttpConnector, Empty<Bytes>>,
    uri: Uri,
}

impl Client {
    /// Returns a client of the VM list served at `address`.
    ///
    /// # Panics
    ///
    /// Never, because every socket address forms a valid URI.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let http = legacy::Client::builder(TokioExecutor::new()).build_http();
        let uri =
            format!("http://{address}/vms").parse().expect("a socket address forms a valid URI");
        Self { http, uri }
    }

    /// Requests the current list.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives in time, or if the response is not a list of VMs.
    pub async fn list(&self) -> anyhow::Result<ListResponse> {
        timeout(RESPONSE_TIMEOUT, self.read())
            .await
            .context("the VM list did not respond in time")?
    }

    async fn read(&self) -> anyhow::Result<ListResponse> {
        let response =
            self.http.get(self.uri.clone()).await.context("the request to the VM list failed")?;
        let status = response.status();
        ensure!(
            status == StatusCode::OK,
            "the VM list responded with status {status}, expected 200 OK"
        );
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
        let body = body
            .map_err(anyhow::Error::from_boxed)
            .context("the VM list response is incomplete or too large")?;
        let body = body.to_bytes();
        let items: Vec<Box<RawValue>> = serde_json::from_slice(&body)
            .context("the VM list response is not a JSON list of VMs")?;
        Ok(ListResponse { listing: wire::to_listing(&items), bytes: body.len() })
    }
}
