//! HTTP client of one worker's control interface.

use std::{net::SocketAddr, time::Duration};

use {
    anyhow::{Context, anyhow},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request, StatusCode},
    hyper_util::{
        client::legacy::{self, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::de::DeserializeOwned,
    tokio::time::{Instant, timeout},
};

use crate::{
    clock::Clock,
    wire::{Effect, Event, Events, Order, Orders, Results, Tasks},
};

/// Time for an answer. A worker answers in milliseconds; one that takes longer counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a worker holds a poll for events that do not come. Each empty poll costs traffic for every
/// worker, and a worker that is lost is noticed by the next renewal anyway.
const POLL_MS: u64 = 60_000;

/// Idle time after which the kernel probes a connection, so that a poll on a dead one fails early.
const PROBE_AFTER: Duration = Duration::from_secs(10);

/// Largest answer: a full page of events takes about 200 KB.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Why a request failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The worker has seen a higher epoch.
    Stale,
    /// No usable answer came; the request may have been carried out.
    Lost(anyhow::Error),
}

/// Client of the worker at one address. It keeps one connection for commands and one for events.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    pub address: SocketAddr,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_keepalive(Some(PROBE_AFTER));
        connector.set_keepalive_interval(Some(PROBE_AFTER));
        connector.set_connect_timeout(Some(ANSWER_TIMEOUT));
        let http = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Self { address, http }
    }

    /// Sends commands. Returns one result for each, and a reading of the worker's clock.
    pub async fn command(
        &self,
        epoch: u64,
        commands: Vec<Order<'_>>,
    ) -> Result<(Clock, Vec<Effect>), Failure> {
        let count = commands.len();
        let body = serde_json::to_vec(&Orders { epoch, commands })
            .map_err(|error| Failure::Lost(error.into()))?;
        let answer: Results = self.ask(Method::POST, "/v1/commands", body, ANSWER_TIMEOUT).await?;
        if answer.results.len() != count {
            let got = answer.results.len();
            return Err(Failure::Lost(anyhow!("{got} results for {count} commands")));
        }
        Ok((Clock::new(answer.now_ms, Instant::now()), answer.results))
    }

    /// Reads the list of tasks.
    pub async fn tasks(&self) -> Result<(Clock, Tasks), Failure> {
        let tasks: Tasks = self.ask(Method::GET, "/v1/tasks", Vec::new(), ANSWER_TIMEOUT).await?;
        Ok((Clock::new(tasks.now_ms, Instant::now()), tasks))
    }

    /// Waits for events after `after`. The answer is empty if none came for a while.
    pub async fn events(&self, after: u64) -> Result<Vec<Event>, Failure> {
        let path = format!("/v1/events?after={after}&wait_ms={POLL_MS}");
        let limit = Duration::from_millis(POLL_MS) + ANSWER_TIMEOUT;
        let answer: Events = self.ask(Method::GET, &path, Vec::new(), limit).await?;
        Ok(answer.events)
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<T, Failure> {
        match timeout(limit, self.exchange(method, path, body)).await {
            Ok(Ok(Some(answer))) => Ok(answer),
            Ok(Ok(None)) => Err(Failure::Stale),
            Ok(Err(error)) => Err(Failure::Lost(error)),
            Err(_) => Err(Failure::Lost(anyhow!("no answer in time"))),
        }
    }

    /// Sends one request. Returns nothing if the worker refused the epoch.
    async fn exchange<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> anyhow::Result<Option<T>> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::from(body))?;
        let answer = self.http.request(request).await.context("no answer")?;
        let status = answer.status();
        if status == StatusCode::CONFLICT {
            return Ok(None);
        }
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(anyhow::Error::from_boxed).context("incomplete answer")?;
        if status != StatusCode::OK {
            return Err(anyhow!("unexpected status {status}"));
        }
        let answer = serde_json::from_slice(&body.to_bytes()).context("malformed answer")?;
        Ok(Some(answer))
    }
}
