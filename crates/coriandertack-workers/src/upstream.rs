//! Connections on which workers respond to callers' requests.
//!
//! Each connection has one task, [`run`]. It takes an [`Exchange`] from its channel, sends the
//! request, checks the response and reports the result. A connection carries one request at a time,
//! so a response can only belong to the request before it; the ID in `x-request-id` is checked
//! nevertheless. A response that is incomplete, carries another ID or arrives after the deadline is
//! dropped and counted.
//!
//! The task connects when it receives its first exchange and again after a failure. It ends when
//! its channel is closed.

use std::{
    future::Future,
    net::SocketAddr,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use {
    anyhow::Context,
    bytes::Bytes,
    coriandertack_core::{message::CallResponse, routing::RequestKey},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        HeaderMap, Request, Response, StatusCode,
        body::{Body, Incoming},
        client::conn::http1,
        header::{CONTENT_LENGTH, HOST, TRANSFER_ENCODING},
    },
    hyper_util::rt::TokioIo,
    slotmap::{Key, new_key_type},
    tokio::{
        net::TcpStream,
        sync::mpsc,
        time::{Instant, sleep_until, timeout_at},
    },
};

new_key_type! {
    /// Key of a connection to a worker.
    pub struct ConnectionKey;
}

/// Longest wait for a connection to open. Within a region it takes 3 ms, so a worker that needs
/// longer than this is treated as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long after the deadline a late response is awaited. Until it arrives or this time has
/// passed, the worker's slot counts as used.
const LATE_RESPONSE_LIMIT: Duration = Duration::from_secs(10);

/// Largest response body that is passed on.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

const REQUEST_ID_HEADER: &str = "x-request-id";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const DEADLINE_HEADER: &str = "x-deadline-ms";
const NOT_RUN_HEADER: &str = "x-not-run";

/// Request to send on a connection.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Key of the request in the router.
    pub request: RequestKey,
    /// Address of the worker. It changes when the worker is replaced by another one of the same
    /// name.
    pub address: SocketAddr,
    /// Class of the service, `team.name`.
    pub service: Arc<str>,
    /// Idempotency key, passed on so that the service can also use it. `None` if the caller gave
    /// none.
    pub key: Option<Arc<str>>,
    /// Body of the request.
    pub body: Arc<[u8]>,
    /// Deadline, after which the caller no longer waits for a response.
    pub until: Instant,
}

/// Why a request got no valid response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    NotSent,
    /// The worker responded that it did not run the request.
    NotRun,
    /// Part of the request may have been sent, so it may have run.
    MayHaveRun,
    /// A complete response arrived after the deadline and was dropped.
    Late,
}

/// Event on a connection.
#[derive(Clone, Debug)]
pub enum ConnectionEvent {
    /// The deadline of the request has passed. It may have run, and still uses a slot of the
    /// worker.
    Overdue(RequestKey),
    /// The request no longer uses a slot of the worker, and the connection is idle.
    Ended(RequestKey, Result<CallResponse, ExchangeError>),
    /// The task has ended and its connection is closed.
    Closed,
}

/// Report of a connection's task to the router.
#[derive(Clone, Debug)]
pub struct ConnectionReport {
    /// Connection that the event occurred on.
    pub connection: ConnectionKey,
    /// Event that is reported.
    pub event: ConnectionEvent,
}

/// Numbers of requests and responses by their result, summed over all connections that share the
/// counters.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests handed to a connection for sending.
    pub sent: AtomicU64,
    /// Responses passed on to the router.
    pub answered: AtomicU64,
    /// Responses of workers that did not run the request.
    pub not_run: AtomicU64,
    /// Responses without the ID of their request.
    pub mismatched: AtomicU64,
    /// Responses that were incomplete, too large or without a recognisable end.
    pub incomplete: AtomicU64,
    /// Responses that arrived after the deadline.
    pub late: AtomicU64,
    /// Connections that could not be opened, or that failed before a response.
    pub broken: AtomicU64,
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Parameters of a connection's task.
#[derive(Debug)]
pub struct ConnectionConfig {
    /// Key of the connection, which its reports carry.
    pub key: ConnectionKey,
    /// Prefix of the request IDs, which no other process uses.
    pub prefix: u64,
    /// Requests to send. The router queues the next one only after the report on the previous one.
    pub exchanges: mpsc::Receiver<Exchange>,
    /// Channel for the reports.
    pub reports: mpsc::UnboundedSender<ConnectionReport>,
    /// Counters to update.
    pub counters: Arc<Counters>,
}

type Driver = Pin<Box<http1::Connection<TokioIo<TcpStream>, Full<Bytes>>>>;

/// Open connection: the handle that sends requests, and the future that does the I/O while it is
/// polled.
struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    /// `None` once the connection is closed.
    driver: Option<Driver>,
}

/// Runs `future` while polling the connection that it needs.
async fn drive<T>(driver: &mut Option<Driver>, future: impl Future<Output = T>) -> T {
    let mut future = pin!(future);
    while let Some(running) = driver {
        tokio::select! {
            biased;
            output = &mut future => return output,
            _ = running => *driver = None,
        }
    }
    future.await
}

/// Runs the task of a connection until its channel is closed.
pub async fn run(mut config: ConnectionConfig) {
    let mut open: Option<Connection> = None;
    let mut seq: u64 = 0;
    while let Some(exchange) = next_exchange(&mut config.exchanges, &mut open).await {
        seq += 1;
        let result = send_request(&config, &mut open, &exchange, seq).await;
        if matches!(result, Err(ExchangeError::NotSent | ExchangeError::MayHaveRun)) {
            open = None;
        }
        report(&config, ConnectionEvent::Ended(exchange.request, result));
    }
    drop(open);
    report(&config, ConnectionEvent::Closed);
}

/// Waits for the next exchange, and drops the connection if the worker closes it in the meantime.
async fn next_exchange(
    queue: &mut mpsc::Receiver<Exchange>,
    open: &mut Option<Connection>,
) -> Option<Exchange> {
    let Some(connection) = open else {
        return queue.recv().await;
    };
    let exchange = drive(&mut connection.driver, queue.recv()).await;
    if connection.driver.is_none() {
        *open = None;
    }
    exchange
}

fn report(config: &ConnectionConfig, event: ConnectionEvent) {
    // Without a receiver the router has stopped, and no caller waits for the response.
    let _ = config.reports.send(ConnectionReport { connection: config.key, event });
}

/// Sends one request, connecting first if necessary, and waits for its response.
///
/// After the deadline it reports [`ConnectionEvent::Overdue`] and keeps waiting for at most
/// [`LATE_RESPONSE_LIMIT`].
async fn send_request(
    config: &ConnectionConfig,
    open: &mut Option<Connection>,
    exchange: &Exchange,
    seq: u64,
) -> Result<CallResponse, ExchangeError> {
    let until = exchange.until;
    let ready = match open {
        Some(Connection { address, sender, driver }) if *address == exchange.address => {
            drive(driver, sender.ready()).await.is_ok()
        }
        _ => false,
    };
    if !ready {
        // The worker may close an idle connection at any time. No part of this request has been
        // sent on it.
        *open = Some(connect(config, exchange.address, until).await?);
    }
    let Some(Connection { sender, driver, .. }) = open else {
        return Err(ExchangeError::NotSent);
    };
    if Instant::now() >= until {
        return Err(ExchangeError::NotSent);
    }
    let id = format!("{:016x}-{:x}-{seq:x}", config.prefix, config.key.data().as_ffi());
    let mut messages = pin!(exchange_messages(sender, exchange, &id, &config.counters));
    tokio::select! {
        biased;
        result = drive(driver, &mut messages) => return check_deadline(config, exchange, result),
        () = sleep_until(until) => report(config, ConnectionEvent::Overdue(exchange.request)),
    }
    match timeout_at(until + LATE_RESPONSE_LIMIT, drive(driver, &mut messages)).await {
        Ok(result) => check_deadline(config, exchange, result),
        Err(_) => Err(ExchangeError::MayHaveRun),
    }
}

/// Drops a response whose deadline has passed. The deadline's timer can fire after the response was
/// received.
fn check_deadline(
    config: &ConnectionConfig,
    exchange: &Exchange,
    result: Result<CallResponse, ExchangeError>,
) -> Result<CallResponse, ExchangeError> {
    let response = result?;
    if Instant::now() > exchange.until {
        increment(&config.counters.late);
        log::info!("event=late_answer_dropped address={}", exchange.address);
        return Err(ExchangeError::Late);
    }
    increment(&config.counters.answered);
    Ok(response)
}

/// Opens a connection within [`CONNECT_TIMEOUT`], and not later than `until`.
async fn connect(
    config: &ConnectionConfig,
    address: SocketAddr,
    until: Instant,
) -> Result<Connection, ExchangeError> {
    let limit = until.min(Instant::now() + CONNECT_TIMEOUT);
    let handshake = async {
        let stream = TcpStream::connect(address).await.context("connect")?;
        stream.set_nodelay(true).context("set TCP_NODELAY")?;
        let halves = http1::handshake(TokioIo::new(stream)).await.context("handshake")?;
        anyhow::Ok(halves)
    };
    let opened = match timeout_at(limit, handshake).await {
        Ok(opened) => opened,
        Err(elapsed) => Err(elapsed.into()),
    };
    match opened {
        Ok((sender, driver)) => Ok(Connection { address, sender, driver: Some(Box::pin(driver)) }),
        Err(error) => {
            increment(&config.counters.broken);
            log::info!("event=connect_failed address={address} error=\"{error:#}\"");
            Err(ExchangeError::NotSent)
        }
    }
}

/// Sends the request on an open connection and checks the response.
async fn exchange_messages(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    exchange: &Exchange,
    id: &str,
    counters: &Counters,
) -> Result<CallResponse, ExchangeError> {
    let request = encode_request(exchange, id).ok_or(ExchangeError::NotSent)?;
    increment(&counters.sent);
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            increment(&counters.broken);
            // hyper returns the request only if it wrote no part of it.
            return Err(if error.take_message().is_some() {
                ExchangeError::NotSent
            } else {
                ExchangeError::MayHaveRun
            });
        }
    };
    check_response(response, id, counters).await
}

/// Builds the HTTP request. Returns `None` if the name of the service or the key cannot be encoded.
fn encode_request(exchange: &Exchange, id: &str) -> Option<Request<Full<Bytes>>> {
    let remaining = exchange.until.saturating_duration_since(Instant::now());
    let body = Bytes::from_owner(Arc::clone(&exchange.body));
    let mut request = Request::post(format!("/serve/{}", exchange.service))
        .header(HOST, "worker")
        .header(REQUEST_ID_HEADER, id)
        .header(DEADLINE_HEADER, remaining.as_millis().to_string());
    if let Some(key) = &exchange.key {
        request = request.header(IDEMPOTENCY_KEY_HEADER, &**key);
    }
    request.body(Full::new(body)).ok()
}

/// Reads a response, and checks that it is complete and belongs to the request `id`.
async fn check_response(
    response: Response<Incoming>,
    id: &str,
    counters: &Counters,
) -> Result<CallResponse, ExchangeError> {
    let (head, body) = response.into_parts();
    if head.headers.get(REQUEST_ID_HEADER).is_none_or(|value| value.as_bytes() != id.as_bytes()) {
        increment(&counters.mismatched);
        log::warn!("event=answer_mismatched request={id}");
        return Err(ExchangeError::MayHaveRun);
    }
    if !is_framed(&head.headers) && !body.is_end_stream() {
        // The end of such a body is the end of the connection, so a truncated body would pass as
        // complete.
        increment(&counters.incomplete);
        log::warn!("event=answer_unframed request={id}");
        return Err(ExchangeError::MayHaveRun);
    }
    let body = match Limited::new(body, MAX_RESPONSE_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            increment(&counters.incomplete);
            log::warn!("event=answer_incomplete request={id} error=\"{error}\"");
            return Err(ExchangeError::MayHaveRun);
        }
    };
    if head.status == StatusCode::SERVICE_UNAVAILABLE
        && head.headers.get(NOT_RUN_HEADER).is_some_and(|value| value == "true")
    {
        increment(&counters.not_run);
        return Err(ExchangeError::NotRun);
    }
    Ok(CallResponse { status: head.status.as_u16(), body: Arc::from(&body[..]) })
}

/// Returns whether the headers determine where the body ends.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
