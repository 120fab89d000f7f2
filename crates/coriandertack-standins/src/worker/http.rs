//! HTTP interface of a worker.

use std::{
    sync::{Arc, PoisonError, atomic::Ordering},
    time::Duration,
};

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        Method, Request, Response, StatusCode, body::Incoming, header::HeaderName,
        server::conn::http1, service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    serde::Serialize,
    tokio::{
        net::{TcpListener, TcpStream},
        task::JoinSet,
        time::{Instant, sleep, timeout_at},
    },
};

use super::{
    CONNECTIONS, SLOTS, Shared,
    limiter::{Slot, Slots},
    wire::{Orders, Results},
};

type Answer = Response<Full<Bytes>>;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const WORK_MS: HeaderName = HeaderName::from_static("x-work-ms");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
const LEAVING: HeaderName = HeaderName::from_static("x-leaving");

/// Longest wait of an event poll.
const MAX_WAIT_MS: u64 = 60_000;

/// The stand-in was told to lose the answer.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the answer is lost on purpose")]
struct AnswerLost;

/// Accepts connections until aborted, which closes all of them.
pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let places = Slots::new(CONNECTIONS);
    let slots = Slots::new(SLOTS);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => match places.take() {
                    Some(place) => {
                        let shared = Arc::clone(&shared);
                        connections.spawn(connection(shared, slots.clone(), stream, place));
                    }
                    None => shared.with(|engine| engine.audit.closed += 1),
                },
                Err(error) => log::warn!("event=worker_accept_failed error=\"{error}\""),
            }
        }
    }
}

async fn connection(shared: Arc<Shared>, slots: Slots, stream: TcpStream, place: Slot) {
    shared.with(|engine| {
        engine.audit.connections = engine.audit.connections.max(place.count);
    });
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=worker_nodelay_failed error=\"{error}\"");
    }
    let service = service_fn(|request| answer(&shared, &slots, request));
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    let stream = TokioIo::new(shared.traffic.count(stream));
    if let Err(error) = builder.serve_connection(stream, service).await {
        log::debug!("event=worker_connection_ended error=\"{error}\"");
    }
    drop(place);
}

/// Answers one request. An error closes the connection without an answer.
async fn answer(
    shared: &Arc<Shared>,
    slots: &Slots,
    request: Request<Incoming>,
) -> Result<Answer, AnswerLost> {
    let commands = request.method() == Method::POST && request.uri().path() == "/v1/commands";
    let answer = route(shared, slots, request).await;
    resumed(shared).await;
    let fewer = |count: usize| count.checked_sub(1);
    let lose =
        commands && shared.lost.fetch_update(Ordering::SeqCst, Ordering::SeqCst, fewer).is_ok();
    if lose { Err(AnswerLost) } else { Ok(answer) }
}

/// Waits while the worker is paused.
async fn resumed(shared: &Arc<Shared>) {
    // The sender lives as long as the connection, so the wait cannot fail.
    let _ = shared.paused.subscribe().wait_for(|paused| !paused).await;
}

async fn route(shared: &Arc<Shared>, slots: &Slots, request: Request<Incoming>) -> Answer {
    resumed(shared).await;
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/commands") => commands(shared, request).await,
        (&Method::GET, "/v1/events") => events(shared, request.uri().query().unwrap_or("")).await,
        (&Method::GET, "/v1/tasks") => json(&shared.with(|engine| engine.list())),
        (&Method::POST, path) => match path.strip_prefix("/serve/") {
            Some(service) => run(shared, slots, service, request).await,
            None => status(StatusCode::NOT_FOUND),
        },
        _ => status(StatusCode::NOT_FOUND),
    }
}

async fn commands(shared: &Arc<Shared>, request: Request<Incoming>) -> Answer {
    let Ok(body) = request.into_body().collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let orders: Orders = match serde_json::from_slice(&body.to_bytes()) {
        Ok(orders) => orders,
        Err(error) => {
            log::warn!("event=worker_command_malformed error=\"{error}\"");
            return status(StatusCode::BAD_REQUEST);
        }
    };
    match carry_out(shared, orders).await {
        Some(results) => json(&results),
        None => status(StatusCode::CONFLICT),
    }
}

async fn carry_out(shared: &Arc<Shared>, orders: Orders) -> Option<Results> {
    let delay = match orders.commands.is_empty() {
        true => None,
        false => shared.delay.lock().unwrap_or_else(PoisonError::into_inner).take(),
    };
    let Some(delay) = delay else {
        return shared.change(|engine| engine.command(orders));
    };
    let shared = Arc::clone(shared);
    let boot = shared.with(|engine| engine.boot);
    // A task of its own goes on when the connection is closed, but not after a crash.
    let late = tokio::spawn(async move {
        sleep(delay).await;
        shared.change(|engine| (engine.boot == boot).then(|| engine.command(orders)).flatten())
    });
    late.await.ok().flatten()
}

async fn events(shared: &Arc<Shared>, query: &str) -> Answer {
    let after = parameter(query, "after");
    let until =
        Instant::now() + Duration::from_millis(parameter(query, "wait_ms").min(MAX_WAIT_MS));
    let mut news = shared.news.subscribe();
    loop {
        news.mark_unchanged();
        let events = shared.with(|engine| engine.events(after));
        let over = Instant::now() >= until;
        if over || !events.events.is_empty() {
            return json(&events);
        }
        // A timeout ends the poll with an empty answer in the next round.
        let _ = timeout_at(until, news.changed()).await;
    }
}

fn parameter(query: &str, name: &str) -> u64 {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok()).unwrap_or(0)
}

/// Runs one request of a caller in a slot.
async fn run(
    shared: &Arc<Shared>,
    slots: &Slots,
    service: &str,
    request: Request<Incoming>,
) -> Answer {
    let header = |name: &HeaderName| {
        request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let (id, key) = (header(&REQUEST_ID), header(&IDEMPOTENCY_KEY));
    let asked = header(&WORK_MS).and_then(|text| text.parse().ok());
    let Some(usual) = shared.with(|engine| engine.serving(service)) else {
        return not_run(shared, id.as_deref());
    };
    let Some(slot) = slots.take() else {
        return not_run(shared, id.as_deref());
    };
    let slowdown = shared.with(|engine| {
        let audit = &mut engine.audit;
        audit.slots = audit.slots.max(slot.count);
        if let Some(id) = &id {
            *audit.requests.entry(id.clone()).or_default() += 1;
        }
        *audit.services.entry(service.to_owned()).or_default() += 1;
        if let Some(key) = key {
            *audit.keys.entry(key).or_default() += 1;
        }
        engine.config.slowdown_percent
    });
    let Ok(body) = request.into_body().collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    sleep(Duration::from_millis(asked.unwrap_or(usual) * slowdown / 100)).await;
    drop(slot);
    marked(shared, Response::new(Full::new(body.to_bytes())), id.as_deref())
}

fn not_run(shared: &Arc<Shared>, id: Option<&str>) -> Answer {
    let mut answer = status(StatusCode::SERVICE_UNAVAILABLE);
    answer.headers_mut().insert(NOT_RUN, "true".parse().expect("a valid header value"));
    marked(shared, answer, id)
}

/// Adds the headers that every answer to a caller's request carries.
fn marked(shared: &Arc<Shared>, mut answer: Answer, id: Option<&str>) -> Answer {
    if let Some(id) = id.and_then(|id| id.parse().ok()) {
        answer.headers_mut().insert(REQUEST_ID, id);
    }
    if shared.with(|engine| engine.leaving) {
        answer.headers_mut().insert(LEAVING, "true".parse().expect("a valid header value"));
    }
    answer
}

fn status(code: StatusCode) -> Answer {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = code;
    answer
}

fn json<T: Serialize>(body: &T) -> Answer {
    let bytes = serde_json::to_vec(body).expect("plain data is always valid JSON");
    Response::new(Full::new(bytes.into()))
}
