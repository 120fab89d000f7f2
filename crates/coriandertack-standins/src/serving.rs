//! A stand-in for a worker that only serves callers' requests.
//!
//! It runs `POST /serve/{service}` in one of its slots, and responds with 503 and `x-not-run: true`
//! if no slot is free. A closure decides for each request how long it runs and how the worker
//! responds, including faulty responses. [`Serving::tally`] returns what the worker really did.
//!
//! ```
//! use std::time::Duration;
//!
//! use coriandertack_standins::serving::{Action, Serving};
//!
//! # #[tokio::main]
//! # async fn main() -> std::io::Result<()> {
//! let act = |_: &[u8]| Action::after(Duration::from_millis(5));
//! let worker = Serving::start(8, act).await?;
//! assert_eq!(worker.tally().ran.len(), 0);
//! # Ok(())
//! # }
//! ```

use std::{
    collections::HashMap,
    convert::Infallible,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use {
    bytes::Bytes,
    futures::{StreamExt, stream},
    http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody},
    hyper::{
        Request, Response, StatusCode,
        body::{Frame, Incoming},
        header::{CONNECTION, CONTENT_LENGTH, HeaderValue},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    tokio::{
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        task::JoinHandle,
    },
};

const REQUEST_ID: &str = "x-request-id";

/// How the worker responds to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// With the content and id of the request.
    Echo,
    /// With the content of the request and a different id.
    WrongId,
    /// With half of the content announced by `content-length`, after which the connection is closed.
    Truncated,
    /// With a refusal although a slot is free. The request is not run.
    NotRun,
    /// With status 500.
    Fail,
    /// Not at all. The connection is closed after the request has run.
    NoResponse,
    /// With the content and id of the request, after which the connection is closed.
    EchoAndClose,
}

/// How the worker handles a request.
#[derive(Clone, Debug)]
pub struct Action {
    /// Time for which the request runs in its slot.
    pub delay: Duration,
    /// Semaphore from which the request takes a permit before it ends, so that a test can decide when.
    pub gate: Option<Arc<Semaphore>>,
    /// How the worker responds.
    pub reply: Reply,
}

impl Action {
    /// Runs the request for `delay` and responds with its content.
    #[must_use]
    pub fn after(delay: Duration) -> Self {
        Self { delay, gate: None, reply: Reply::Echo }
    }

    /// Sends `reply` without a delay.
    #[must_use]
    pub fn reply(reply: Reply) -> Self {
        Self { reply, ..Self::after(Duration::ZERO) }
    }

    /// Runs the request until `gate` has a permit, and responds with its content.
    #[must_use]
    pub fn behind(gate: &Arc<Semaphore>) -> Self {
        Self { gate: Some(Arc::clone(gate)), ..Self::after(Duration::ZERO) }
    }
}

/// Counters of what the worker did.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Slots in use.
    pub in_use: usize,
    /// Largest number of slots in use at the same time.
    pub most_in_use: usize,
    /// Open connections.
    pub connections: usize,
    /// Largest number of connections open at the same time.
    pub most_connections: usize,
    /// Requests refused for lack of a slot.
    pub refused: usize,
    /// Number of runs by request content.
    pub ran: HashMap<Vec<u8>, usize>,
}

#[derive(Debug)]
struct Shared<F> {
    slots: usize,
    act: F,
    stats: Arc<Mutex<Stats>>,
}

/// A running worker, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Serving {
    /// Address that the worker listens on.
    pub address: SocketAddr,
    stats: Arc<Mutex<Stats>>,
    listener: JoinHandle<()>,
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.listener.abort();
    }
}

impl Serving {
    /// Starts a worker on a free port of the loopback interface. `act` decides how to handle a request
    /// from its content.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start<F>(slots: usize, act: F) -> io::Result<Self>
    where
        F: Fn(&[u8]) -> Action + Send + Sync + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let stats = Arc::default();
        let shared = Arc::new(Shared { slots, act, stats: Arc::clone(&stats) });
        let listener = tokio::spawn(accept(listener, shared));
        Ok(Self { address, stats, listener })
    }

    /// Returns the counters so far.
    #[must_use]
    pub fn tally(&self) -> Stats {
        lock(&self.stats).clone()
    }
}

fn lock(stats: &Mutex<Stats>) -> MutexGuard<'_, Stats> {
    stats.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept<F>(listener: TcpListener, shared: Arc<Shared<F>>)
where
    F: Fn(&[u8]) -> Action + Send + Sync + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(stream, Arc::clone(&shared)));
    }
}

async fn serve_connection<F>(stream: TcpStream, shared: Arc<Shared<F>>)
where
    F: Fn(&[u8]) -> Action + Send + Sync + 'static,
{
    {
        let mut stats = lock(&shared.stats);
        stats.connections += 1;
        stats.most_connections = stats.most_connections.max(stats.connections);
    }
    // Nagle's algorithm would add delays that a real service does not have.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| handle(request, &shared));
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    if let Err(error) = served {
        log::debug!("event=serving_connection_ended error=\"{error}\"");
    }
    lock(&shared.stats).connections -= 1;
}

/// A slot in use, which is freed on drop.
struct Slot<'a>(&'a Mutex<Stats>);

impl<'a> Slot<'a> {
    fn try_acquire(slots: usize, stats: &'a Mutex<Stats>) -> Option<Self> {
        let mut counters = lock(stats);
        if counters.in_use >= slots {
            counters.refused += 1;
            return None;
        }
        counters.in_use += 1;
        counters.most_in_use = counters.most_in_use.max(counters.in_use);
        Some(Self(stats))
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        lock(self.0).in_use -= 1;
    }
}

type ResponseBody = BoxBody<Bytes, io::Error>;

async fn handle<F>(
    request: Request<Incoming>,
    shared: &Shared<F>,
) -> Result<Response<ResponseBody>, io::Error>
where
    F: Fn(&[u8]) -> Action,
{
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let id = head.headers.get(REQUEST_ID).cloned();
    let id = id.unwrap_or_else(|| HeaderValue::from_static("none"));
    let act = (shared.act)(&body);
    if act.reply == Reply::NotRun {
        return Ok(refusal(id));
    }
    let Some(slot) = Slot::try_acquire(shared.slots, &shared.stats) else {
        return Ok(refusal(id));
    };
    *lock(&shared.stats).ran.entry(body.to_vec()).or_default() += 1;
    tokio::time::sleep(act.delay).await;
    if let Some(gate) = act.gate {
        gate.acquire().await.map_err(io::Error::other)?.forget();
    }
    drop(slot);
    respond(act.reply, id, body)
}

fn respond(
    reply: Reply,
    id: HeaderValue,
    body: Bytes,
) -> Result<Response<ResponseBody>, io::Error> {
    let mut response = Response::new(full_body(body.clone()));
    let headers = response.headers_mut();
    headers.insert(REQUEST_ID, id);
    match reply {
        Reply::Echo | Reply::NotRun => {}
        Reply::EchoAndClose => {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Reply::WrongId => {
            headers.insert(REQUEST_ID, HeaderValue::from_static("another"));
        }
        Reply::Fail => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
        Reply::Truncated => {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
            *response.body_mut() = truncated_body(body.slice(..body.len() / 2));
        }
        Reply::NoResponse => return Err(io::ErrorKind::ConnectionAborted.into()),
    }
    Ok(response)
}

fn refusal(id: HeaderValue) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(REQUEST_ID, id);
    response.headers_mut().insert("x-not-run", HeaderValue::from_static("true"));
    response
}

fn full_body(body: Bytes) -> ResponseBody {
    Full::new(body).map_err(|never: Infallible| match never {}).boxed()
}

fn truncated_body(prefix: Bytes) -> ResponseBody {
    let abort = async {
        // The server only sends the first half if the rest of the stream is not ready yet.
        tokio::time::sleep(Duration::from_millis(1)).await;
        Err(io::Error::from(io::ErrorKind::ConnectionAborted))
    };
    let data = stream::iter([Ok(Frame::data(prefix))]);
    BodyExt::boxed(StreamBody::new(data.chain(stream::once(abort))))
}
