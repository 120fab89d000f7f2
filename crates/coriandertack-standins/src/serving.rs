//! A worker that only answers callers' requests.
//!
//! It runs `POST /serve/{service}` in one of its slots and answers 503 with `x-not-run: true` when
//! none is free. A closure decides for each request how long it takes and how it is answered, wrongly
//! if a test asks for it. The tally shows what really happened at the worker.
//!
//! ```
//! use std::time::Duration;
//!
//! use coriandertack_standins::serving::{Act, Serving};
//!
//! # #[tokio::main]
//! # async fn main() -> std::io::Result<()> {
//! let act = |_: &[u8]| Act::after(Duration::from_millis(5));
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

/// How a request is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// With its own content and id.
    Echo,
    /// With another id.
    WrongId,
    /// With half of the content that the header announces; then the connection is closed.
    Cut,
    /// With a refusal, although a slot is free; the request is not run.
    NotRun,
    /// With status 500.
    Fail,
    /// Not at all; the connection is closed after the request has run.
    Nothing,
    /// With its own content and id, after which the connection is closed.
    EchoAndClose,
}

/// What the worker does with a request.
#[derive(Clone, Debug)]
pub struct Act {
    /// How long it runs in its slot.
    pub delay: Duration,
    /// Where it takes a permit before it ends, so that a test decides when.
    pub gate: Option<Arc<Semaphore>>,
    /// How it is answered.
    pub reply: Reply,
}

impl Act {
    /// Runs for a time and answers with the request's content.
    #[must_use]
    pub fn after(delay: Duration) -> Self {
        Self { delay, gate: None, reply: Reply::Echo }
    }

    /// Answers at once.
    #[must_use]
    pub fn reply(reply: Reply) -> Self {
        Self { reply, ..Self::after(Duration::ZERO) }
    }

    /// Runs until `gate` has a permit.
    #[must_use]
    pub fn behind(gate: &Arc<Semaphore>) -> Self {
        Self { gate: Some(Arc::clone(gate)), ..Self::after(Duration::ZERO) }
    }
}

/// What happened at the worker.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Slots in use.
    pub in_use: usize,
    /// Most slots in use at a time.
    pub most_in_use: usize,
    /// Open connections.
    pub connections: usize,
    /// Most open connections at a time.
    pub most_connections: usize,
    /// Requests refused for lack of a slot.
    pub refused: usize,
    /// Times that each content was run.
    pub ran: HashMap<Vec<u8>, usize>,
}

#[derive(Debug)]
struct Shared<F> {
    slots: usize,
    act: F,
    tally: Arc<Mutex<Tally>>,
}

/// A running worker, which stops when this is dropped.
#[derive(Debug)]
pub struct Serving {
    /// Where it answers.
    pub address: SocketAddr,
    tally: Arc<Mutex<Tally>>,
    listener: JoinHandle<()>,
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.listener.abort();
    }
}

impl Serving {
    /// Starts a worker on a free port of the loopback interface. `act` decides on each request by its
    /// content.
    ///
    /// # Errors
    ///
    /// Fails if no port can be opened.
    pub async fn start<F>(slots: usize, act: F) -> io::Result<Self>
    where
        F: Fn(&[u8]) -> Act + Send + Sync + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let tally = Arc::default();
        let shared = Arc::new(Shared { slots, act, tally: Arc::clone(&tally) });
        let listener = tokio::spawn(accept(listener, shared));
        Ok(Self { address, tally, listener })
    }

    /// Returns what happened so far.
    #[must_use]
    pub fn tally(&self) -> Tally {
        lock(&self.tally).clone()
    }
}

fn lock(tally: &Mutex<Tally>) -> MutexGuard<'_, Tally> {
    tally.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept<F>(listener: TcpListener, shared: Arc<Shared<F>>)
where
    F: Fn(&[u8]) -> Act + Send + Sync + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(converse(stream, Arc::clone(&shared)));
    }
}

async fn converse<F>(stream: TcpStream, shared: Arc<Shared<F>>)
where
    F: Fn(&[u8]) -> Act + Send + Sync + 'static,
{
    {
        let mut tally = lock(&shared.tally);
        tally.connections += 1;
        tally.most_connections = tally.most_connections.max(tally.connections);
    }
    // Nagle's algorithm would add delays that a service does not have.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| serve(request, &shared));
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
    if let Err(error) = served {
        log::debug!("event=serving_connection_ended error=\"{error}\"");
    }
    lock(&shared.tally).connections -= 1;
}

/// A slot in use.
struct Slot<'a>(&'a Mutex<Tally>);

impl<'a> Slot<'a> {
    fn take(slots: usize, tally: &'a Mutex<Tally>) -> Option<Self> {
        let mut known = lock(tally);
        if known.in_use >= slots {
            known.refused += 1;
            return None;
        }
        known.in_use += 1;
        known.most_in_use = known.most_in_use.max(known.in_use);
        Some(Self(tally))
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        lock(self.0).in_use -= 1;
    }
}

type Content = BoxBody<Bytes, io::Error>;

async fn serve<F>(
    request: Request<Incoming>,
    shared: &Shared<F>,
) -> Result<Response<Content>, io::Error>
where
    F: Fn(&[u8]) -> Act,
{
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let id = head.headers.get(REQUEST_ID).cloned();
    let id = id.unwrap_or_else(|| HeaderValue::from_static("none"));
    let act = (shared.act)(&body);
    if act.reply == Reply::NotRun {
        return Ok(refusal(id));
    }
    let Some(slot) = Slot::take(shared.slots, &shared.tally) else {
        return Ok(refusal(id));
    };
    *lock(&shared.tally).ran.entry(body.to_vec()).or_default() += 1;
    tokio::time::sleep(act.delay).await;
    if let Some(gate) = act.gate {
        gate.acquire().await.map_err(io::Error::other)?.forget();
    }
    drop(slot);
    answer(act.reply, id, body)
}

fn answer(reply: Reply, id: HeaderValue, body: Bytes) -> Result<Response<Content>, io::Error> {
    let mut response = Response::new(whole(body.clone()));
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
        Reply::Cut => {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
            *response.body_mut() = cut(body.slice(..body.len() / 2));
        }
        Reply::Nothing => return Err(io::ErrorKind::ConnectionAborted.into()),
    }
    Ok(response)
}

fn refusal(id: HeaderValue) -> Response<Content> {
    let mut response = Response::new(whole(Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(REQUEST_ID, id);
    response.headers_mut().insert("x-not-run", HeaderValue::from_static("true"));
    response
}

fn whole(body: Bytes) -> Content {
    Full::new(body).map_err(|never: Infallible| match never {}).boxed()
}

fn cut(part: Bytes) -> Content {
    let end = async {
        // The server sends the part only if the stream makes it wait.
        tokio::time::sleep(Duration::from_millis(1)).await;
        Err(io::Error::from(io::ErrorKind::ConnectionAborted))
    };
    let start = stream::iter([Ok(Frame::data(part))]);
    BodyExt::boxed(StreamBody::new(start.chain(stream::once(end))))
}
