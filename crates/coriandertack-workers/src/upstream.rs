//! Connections on which workers answer callers' requests.
//!
//! One task runs each connection. It takes an [`Exchange`] from its channel, sends it, checks the
//! answer and reports how it went. A connection carries one request at a time, so an answer can only
//! belong to the request before it; the id in `x-request-id` is checked all the same. Any answer that
//! is not complete, carries another id or comes after the deadline is dropped and counted.
//!
//! The task connects when it gets its first exchange and again after a fault, and it ends when its
//! channel is closed.

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
    /// Handle of a connection to a worker.
    pub struct ConnectionKey;
}

/// Longest time to wait for a connection. Within a region it takes 3 ms, so a worker that needs this
/// long is as good as gone.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// How long after the deadline a late answer is awaited. Until then the worker's slot counts as used.
const LINGER: Duration = Duration::from_secs(10);

/// Largest answer that is passed on.
const MOST_ANSWER_BYTES: usize = 4 << 20;

const REQUEST_ID: &str = "x-request-id";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const DEADLINE: &str = "x-deadline-ms";
const NOT_RUN: &str = "x-not-run";

/// A request to send on a connection.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The request, as the router knows it.
    pub request: RequestKey,
    /// Address of the worker, which changes when the worker is replaced under its name.
    pub address: SocketAddr,
    /// Class of the service, `team.name`.
    pub service: Arc<str>,
    /// Idempotency key, which the service may keep too.
    pub key: Option<Arc<str>>,
    /// Content.
    pub body: Arc<[u8]>,
    /// When the caller stops waiting.
    pub until: Instant,
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No byte was sent.
    NotSent,
    /// The worker said that it did not run the request.
    NotRun,
    /// Bytes may have been sent, so the request may have run.
    MayHaveRun,
    /// A complete answer came after the deadline and was dropped.
    Late,
}

/// What a connection's task reports.
#[derive(Clone, Debug)]
pub enum News {
    /// The deadline of the request has passed; it may have run and still uses the worker.
    Overdue(RequestKey),
    /// The request no longer uses the worker, and the connection is free.
    Ended(RequestKey, Result<CallResponse, Fault>),
    /// The task has ended and its connection is closed.
    Closed,
}

/// News of a connection.
#[derive(Clone, Debug)]
pub struct Report {
    /// The connection.
    pub connection: ConnectionKey,
    /// What happened.
    pub news: News,
}

/// Numbers of exchanges by how they went.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests sent.
    pub sent: AtomicU64,
    /// Answers passed on.
    pub answered: AtomicU64,
    /// Refusals of workers that did not run the request.
    pub not_run: AtomicU64,
    /// Answers with another request's id.
    pub mismatched: AtomicU64,
    /// Answers that were not complete, or too large.
    pub incomplete: AtomicU64,
    /// Answers after the deadline.
    pub late: AtomicU64,
    /// Connections that could not be opened, or failed before an answer.
    pub broken: AtomicU64,
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// What a connection's task needs.
#[derive(Debug)]
pub struct Line {
    /// Handle that its reports carry.
    pub key: ConnectionKey,
    /// Prefix of request ids that no other process uses.
    pub prefix: u64,
    /// Requests to send; the router sends the next one after the report on the one before.
    pub queue: mpsc::Receiver<Exchange>,
    /// Where to report.
    pub reports: mpsc::UnboundedSender<Report>,
    /// Where to count.
    pub counters: Arc<Counters>,
}

type Driver = Pin<Box<http1::Connection<TokioIo<TcpStream>, Full<Bytes>>>>;

/// An open connection: its sending half, and the half that carries the bytes while it is polled.
struct Open {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    driver: Option<Driver>,
}

/// Runs `work` together with the connection that it needs.
async fn drive<T>(driver: &mut Option<Driver>, work: impl Future<Output = T>) -> T {
    let mut work = pin!(work);
    while let Some(running) = driver {
        tokio::select! {
            biased;
            out = &mut work => return out,
            _ = running => *driver = None,
        }
    }
    work.await
}

/// Runs a connection until its channel is closed.
pub async fn run(mut line: Line) {
    let mut open: Option<Open> = None;
    let mut seq: u64 = 0;
    while let Some(exchange) = next(&mut line.queue, &mut open).await {
        seq += 1;
        let result = perform(&line, &mut open, &exchange, seq).await;
        if matches!(result, Err(Fault::NotSent | Fault::MayHaveRun)) {
            open = None;
        }
        report(&line, News::Ended(exchange.request, result));
    }
    drop(open);
    report(&line, News::Closed);
}

/// Waits for the next exchange and meanwhile notices when the worker closes the connection.
async fn next(queue: &mut mpsc::Receiver<Exchange>, open: &mut Option<Open>) -> Option<Exchange> {
    let Some(known) = open else {
        return queue.recv().await;
    };
    let exchange = drive(&mut known.driver, queue.recv()).await;
    if known.driver.is_none() {
        *open = None;
    }
    exchange
}

fn report(line: &Line, news: News) {
    // The router has stopped if nobody listens; then nobody waits for an answer either.
    let _ = line.reports.send(Report { connection: line.key, news });
}

/// Sends one request and waits for its answer, beyond the deadline if need be.
async fn perform(
    line: &Line,
    open: &mut Option<Open>,
    exchange: &Exchange,
    seq: u64,
) -> Result<CallResponse, Fault> {
    let until = exchange.until;
    let ready = match open {
        Some(Open { address, sender, driver }) if *address == exchange.address => {
            drive(driver, sender.ready()).await.is_ok()
        }
        _ => false,
    };
    if !ready {
        // The worker may close an idle connection at any time; nothing has been sent on it since.
        *open = Some(connect(line, exchange.address, until).await?);
    }
    let Some(Open { sender, driver, .. }) = open else {
        return Err(Fault::NotSent);
    };
    if Instant::now() >= until {
        return Err(Fault::NotSent);
    }
    let id = format!("{:016x}-{:x}-{seq:x}", line.prefix, line.key.data().as_ffi());
    let mut work = pin!(converse(sender, exchange, &id, &line.counters));
    tokio::select! {
        biased;
        result = drive(driver, &mut work) => return in_time(line, exchange, result),
        () = sleep_until(until) => report(line, News::Overdue(exchange.request)),
    }
    match timeout_at(until + LINGER, drive(driver, &mut work)).await {
        Ok(result) => in_time(line, exchange, result),
        Err(_) => Err(Fault::MayHaveRun),
    }
}

/// Passes an answer on unless its deadline has passed, which the timer may tell only later.
fn in_time(
    line: &Line,
    exchange: &Exchange,
    result: Result<CallResponse, Fault>,
) -> Result<CallResponse, Fault> {
    let answer = result?;
    if Instant::now() > exchange.until {
        count(&line.counters.late);
        log::info!("event=late_answer_dropped address={}", exchange.address);
        return Err(Fault::Late);
    }
    count(&line.counters.answered);
    Ok(answer)
}

async fn connect(line: &Line, address: SocketAddr, until: Instant) -> Result<Open, Fault> {
    let limit = until.min(Instant::now() + CONNECT_LIMIT);
    let opening = async {
        let stream = TcpStream::connect(address).await.context("connect")?;
        stream.set_nodelay(true).context("set TCP_NODELAY")?;
        let shaken = http1::handshake(TokioIo::new(stream)).await.context("handshake")?;
        anyhow::Ok(shaken)
    };
    let opened = match timeout_at(limit, opening).await {
        Ok(opened) => opened,
        Err(elapsed) => Err(elapsed.into()),
    };
    match opened {
        Ok((sender, driver)) => Ok(Open { address, sender, driver: Some(Box::pin(driver)) }),
        Err(error) => {
            count(&line.counters.broken);
            log::info!("event=connect_failed address={address} error=\"{error:#}\"");
            Err(Fault::NotSent)
        }
    }
}

/// Sends the request and checks the answer.
async fn converse(
    sender: &mut http1::SendRequest<Full<Bytes>>,
    exchange: &Exchange,
    id: &str,
    counters: &Counters,
) -> Result<CallResponse, Fault> {
    let request = encode(exchange, id).ok_or(Fault::NotSent)?;
    count(&counters.sent);
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            count(&counters.broken);
            // The library returns the request only if it wrote no part of it.
            return Err(if error.take_message().is_some() {
                Fault::NotSent
            } else {
                Fault::MayHaveRun
            });
        }
    };
    receive(response, id, counters).await
}

fn encode(exchange: &Exchange, id: &str) -> Option<Request<Full<Bytes>>> {
    let left = exchange.until.saturating_duration_since(Instant::now());
    let body = Bytes::from_owner(Arc::clone(&exchange.body));
    let mut request = Request::post(format!("/serve/{}", exchange.service))
        .header(HOST, "worker")
        .header(REQUEST_ID, id)
        .header(DEADLINE, left.as_millis().to_string());
    if let Some(key) = &exchange.key {
        request = request.header(IDEMPOTENCY_KEY, &**key);
    }
    request.body(Full::new(body)).ok()
}

async fn receive(
    response: Response<Incoming>,
    id: &str,
    counters: &Counters,
) -> Result<CallResponse, Fault> {
    let (head, body) = response.into_parts();
    if head.headers.get(REQUEST_ID).is_none_or(|value| value.as_bytes() != id.as_bytes()) {
        count(&counters.mismatched);
        log::warn!("event=answer_mismatched request={id}");
        return Err(Fault::MayHaveRun);
    }
    if !is_framed(&head.headers) && !body.is_end_stream() {
        // Such a body ends with the connection, so a cut one could not be told from a whole one.
        count(&counters.incomplete);
        log::warn!("event=answer_unframed request={id}");
        return Err(Fault::MayHaveRun);
    }
    let body = match Limited::new(body, MOST_ANSWER_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            count(&counters.incomplete);
            log::warn!("event=answer_incomplete request={id} error=\"{error}\"");
            return Err(Fault::MayHaveRun);
        }
    };
    if head.status == StatusCode::SERVICE_UNAVAILABLE
        && head.headers.get(NOT_RUN).is_some_and(|value| value == "true")
    {
        count(&counters.not_run);
        return Err(Fault::NotRun);
    }
    Ok(CallResponse { status: head.status.as_u16(), body: Arc::from(&body[..]) })
}

/// Tells whether the end of the body can be recognised.
fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
