//! HTTP client of one worker's control interface.

use std::{net::SocketAddr, time::Duration};

use {
    anyhow::{Context, anyhow},
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Method, Request, Response, StatusCode, Uri,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        header::HOST,
    },
    hyper_util::{
        client::legacy::{self, connect::HttpConnector},
        rt::TokioExecutor,
    },
    serde::de::DeserializeOwned,
    tokio::{
        sync::Mutex,
        time::{Instant, timeout},
    },
    tokio_util::task::AbortOnDropHandle,
    tower_service::Service,
};

use crate::{
    clock::Clock,
    wire::{Command, CommandRequest, CommandResponse, CommandResult, Event, EventList, TaskList},
};

/// Longest wait for a response. A worker responds within milliseconds, so one that needs longer
/// counts as lost.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a worker holds a poll while there are no events, in milliseconds. Each empty poll costs
/// traffic for every worker, and the next renewal notices a lost worker anyway.
const POLL_WAIT_MS: u64 = 60_000;

/// Idle time after which the kernel probes a connection, and time between probes. Without them, a
/// poll on a dead connection would fail only at its time limit.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Largest response body that is read. A full page of events takes about 200 KB.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Why a request failed.
#[derive(Debug)]
pub(crate) enum RequestError {
    /// The worker has seen a higher epoch.
    StaleEpoch,
    /// No valid response arrived. The request may have been carried out.
    Unanswered(anyhow::Error),
}

/// Client of the worker at one address. Its connection for commands is opened again when the worker has closed it.
#[derive(Clone, Debug)]
pub(crate) struct Client {
    pub address: SocketAddr,
    connector: HttpConnector,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// Connection for events to one life of a worker.
///
/// It is never opened again, since it is the only sign of a restart: requests name the worker by its address, and
/// events are numbered anew in each life. See docs/notes/late-commands.md.
#[derive(Debug)]
pub(crate) struct EventConnection {
    address: SocketAddr,
    /// Locked by one poll at a time.
    sender: Mutex<SendRequest<Full<Bytes>>>,
    _connection: AbortOnDropHandle<()>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_connect_timeout(Some(RESPONSE_TIMEOUT));
        let http = legacy::Client::builder(TokioExecutor::new()).build(connector.clone());
        Self { address, connector, http }
    }

    /// Opens a connection for events. A list that is read afterwards is of the same life of the worker, or of a later one
    /// if polls on this connection fail.
    pub async fn open_events(&self) -> Result<EventConnection, RequestError> {
        let opening = async {
            let uri = Uri::try_from(format!("http://{}/", self.address))?;
            let stream = self.connector.clone().call(uri).await.context("cannot connect")?;
            anyhow::Ok(http1::handshake(stream).await?)
        };
        let opened = timeout(RESPONSE_TIMEOUT, opening).await.context("connecting timed out");
        let (sender, connection) =
            opened.and_then(|opened| opened).map_err(RequestError::Unanswered)?;
        let connection = tokio::spawn(async move {
            // An error also fails the poll in progress, or the next one.
            let _closed = connection.await;
        });
        let _connection = AbortOnDropHandle::new(connection);
        Ok(EventConnection { address: self.address, sender: Mutex::new(sender), _connection })
    }

    /// Sends commands. Returns a reading of the worker's clock and one result for each command.
    pub async fn send_commands(
        &self,
        epoch: u64,
        commands: Vec<Command<'_>>,
    ) -> Result<(Clock, Vec<CommandResult>), RequestError> {
        let count = commands.len();
        let body = serde_json::to_vec(&CommandRequest { epoch, commands })
            .map_err(|error| RequestError::Unanswered(error.into()))?;
        let response: CommandResponse =
            self.request_json(Method::POST, "/v1/commands", body, RESPONSE_TIMEOUT).await?;
        if response.results.len() != count {
            let got = response.results.len();
            return Err(RequestError::Unanswered(anyhow!(
                "got {got} results for {count} commands"
            )));
        }
        Ok((Clock::new(response.now_ms, Instant::now()), response.results))
    }

    /// Reads the worker's list of running and ended tasks.
    pub async fn list_tasks(&self) -> Result<(Clock, TaskList), RequestError> {
        let tasks: TaskList =
            self.request_json(Method::GET, "/v1/tasks", Vec::new(), RESPONSE_TIMEOUT).await?;
        Ok((Clock::new(tasks.now_ms, Instant::now()), tasks))
    }

    /// Sends one request and decodes the response, which must arrive within `limit`.
    async fn request_json<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<T, RequestError> {
        within(limit, async {
            let request = Request::builder()
                .method(method)
                .uri(format!("http://{}{path}", self.address))
                .body(Full::from(body))?;
            decode(self.http.request(request).await.context("request failed")?).await
        })
        .await
    }
}

impl EventConnection {
    /// Waits for events with a sequence number above `after`. Returns no events if none came within
    /// [`POLL_WAIT_MS`].
    pub async fn poll(&self, after: u64) -> Result<Vec<Event>, RequestError> {
        let limit = Duration::from_millis(POLL_WAIT_MS) + RESPONSE_TIMEOUT;
        let events: EventList = within(limit, async {
            let request = Request::get(format!("/v1/events?after={after}&wait_ms={POLL_WAIT_MS}"))
                .header(HOST, self.address.to_string())
                .body(Full::default())?;
            let mut sender = self.sender.lock().await;
            sender.ready().await.context("the connection for events has ended")?;
            decode(sender.send_request(request).await.context("request failed")?).await
        })
        .await?;
        Ok(events.events)
    }
}

/// Waits up to `limit` for a response that is `None` if the worker refused the request because of its epoch.
async fn within<T>(
    limit: Duration,
    response: impl Future<Output = anyhow::Result<Option<T>>>,
) -> Result<T, RequestError> {
    match timeout(limit, response).await {
        Ok(Ok(Some(response))) => Ok(response),
        Ok(Ok(None)) => Err(RequestError::StaleEpoch),
        Ok(Err(error)) => Err(RequestError::Unanswered(error)),
        Err(_) => Err(RequestError::Unanswered(anyhow!("no response within {limit:?}"))),
    }
}

/// Decodes a response. Returns `None` if the worker refused the request because of its epoch.
async fn decode<T: DeserializeOwned>(response: Response<Incoming>) -> anyhow::Result<Option<T>> {
    let status = response.status();
    if status == StatusCode::CONFLICT {
        return Ok(None);
    }
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(anyhow::Error::from_boxed).context("incomplete response")?;
    if status != StatusCode::OK {
        return Err(anyhow!("unexpected status {status}"));
    }
    let response = serde_json::from_slice(&body.to_bytes()).context("malformed response")?;
    Ok(Some(response))
}
