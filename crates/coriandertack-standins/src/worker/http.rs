//! The HTTP interface of a worker: its control API and callers' requests.

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
    limiter::{Limiter, Permit},
    wire::{CommandBatch, CommandResults},
};

type HttpResponse = Response<Full<Bytes>>;

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
const WORK_MS: HeaderName = HeaderName::from_static("x-work-ms");
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
const LEAVING: HeaderName = HeaderName::from_static("x-leaving");

/// Upper bound on the time that an event poll waits, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Error that makes hyper close the connection without a response.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("response dropped by fault injection; closing the connection")]
struct ResponseDropped;

/// Accepts connections until the task is aborted, which also closes all connections.
pub(super) async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let connection_limiter = Limiter::new(CONNECTIONS);
    let slots = Limiter::new(SLOTS);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            biased;
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => match connection_limiter.try_acquire() {
                    Some(permit) => {
                        let shared = Arc::clone(&shared);
                        connections.spawn(serve_connection(shared, slots.clone(), stream, permit));
                    }
                    None => shared.with_engine(|engine| engine.audit.rejected_connections += 1),
                },
                Err(error) => log::warn!("event=worker_accept_failed error=\"{error}\""),
            }
        }
    }
}

async fn serve_connection(shared: Arc<Shared>, slots: Limiter, stream: TcpStream, permit: Permit) {
    shared.with_engine(|engine| {
        engine.audit.peak_connections = engine.audit.peak_connections.max(permit.use_count);
    });
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=worker_nodelay_failed error=\"{error}\"");
    }
    let service = service_fn(|request| handle(&shared, &slots, request));
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    let stream = TokioIo::new(shared.traffic.wrap(stream));
    if let Err(error) = builder.serve_connection(stream, service).await {
        log::debug!("event=worker_connection_ended error=\"{error}\"");
    }
    drop(permit);
}

/// Handles one request. An error closes the connection without a response.
async fn handle(
    shared: &Arc<Shared>,
    slots: &Limiter,
    request: Request<Incoming>,
) -> Result<HttpResponse, ResponseDropped> {
    let is_command = request.method() == Method::POST && request.uri().path() == "/v1/commands";
    let response = route(shared, slots, request).await;
    wait_while_paused(shared).await;
    let decrement = |count: usize| count.checked_sub(1);
    let drop_response = is_command
        && shared.drop_count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement).is_ok();
    if drop_response { Err(ResponseDropped) } else { Ok(response) }
}

async fn wait_while_paused(shared: &Arc<Shared>) {
    // `shared` keeps the sender alive, so the wait cannot fail.
    let _ = shared.paused.subscribe().wait_for(|paused| !paused).await;
}

async fn route(shared: &Arc<Shared>, slots: &Limiter, request: Request<Incoming>) -> HttpResponse {
    wait_while_paused(shared).await;
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/commands") => handle_commands(shared, request).await,
        (&Method::GET, "/v1/events") => {
            poll_events(shared, request.uri().query().unwrap_or("")).await
        }
        (&Method::GET, "/v1/tasks") => {
            json_response(&shared.with_engine(|engine| engine.list_tasks()))
        }
        (&Method::POST, path) => match path.strip_prefix("/serve/") {
            Some(service) => serve_request(shared, slots, service, request).await,
            None => empty_response(StatusCode::NOT_FOUND),
        },
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

async fn handle_commands(shared: &Arc<Shared>, request: Request<Incoming>) -> HttpResponse {
    let Ok(body) = request.into_body().collect().await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let batch: CommandBatch = match serde_json::from_slice(&body.to_bytes()) {
        Ok(batch) => batch,
        Err(error) => {
            log::warn!("event=worker_command_malformed error=\"{error}\"");
            return empty_response(StatusCode::BAD_REQUEST);
        }
    };
    match execute_batch(shared, batch).await {
        Some(results) => json_response(&results),
        None => empty_response(StatusCode::CONFLICT),
    }
}

async fn execute_batch(shared: &Arc<Shared>, batch: CommandBatch) -> Option<CommandResults> {
    let delay = match batch.commands.is_empty() {
        true => None,
        false => shared.command_delay.lock().unwrap_or_else(PoisonError::into_inner).take(),
    };
    let Some(delay) = delay else {
        return shared.update_engine(|engine| engine.execute_all(batch));
    };
    let shared = Arc::clone(shared);
    let crash_count = shared.with_engine(|engine| engine.crash_count);
    // A separate task continues when the connection is closed, but has no effect after a crash.
    let execution = tokio::spawn(async move {
        sleep(delay).await;
        shared.update_engine(|engine| {
            (engine.crash_count == crash_count).then(|| engine.execute_all(batch)).flatten()
        })
    });
    execution.await.ok().flatten()
}

async fn poll_events(shared: &Arc<Shared>, query: &str) -> HttpResponse {
    let after = query_number(query, "after");
    let deadline =
        Instant::now() + Duration::from_millis(query_number(query, "wait_ms").min(MAX_WAIT_MS));
    let mut last_event = shared.last_event.subscribe();
    loop {
        last_event.mark_unchanged();
        let events = shared.with_engine(|engine| engine.events(after));
        let timed_out = Instant::now() >= deadline;
        if timed_out || !events.events.is_empty() {
            return json_response(&events);
        }
        // After a timeout, the next iteration ends the poll with an empty response.
        let _ = timeout_at(deadline, last_event.changed()).await;
    }
}

fn query_number(query: &str, name: &str) -> u64 {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).find_map(|(_, value)| value.parse().ok()).unwrap_or(0)
}

/// Runs a caller's request in a slot.
async fn serve_request(
    shared: &Arc<Shared>,
    slots: &Limiter,
    service: &str,
    request: Request<Incoming>,
) -> HttpResponse {
    let header = |name: &HeaderName| {
        request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let (id, key) = (header(&REQUEST_ID), header(&IDEMPOTENCY_KEY));
    let requested_ms = header(&WORK_MS).and_then(|text| text.parse().ok());
    let Some(default_ms) = shared.with_engine(|engine| engine.request_work_ms(service)) else {
        return refuse(shared, id.as_deref());
    };
    let Some(slot) = slots.try_acquire() else {
        return refuse(shared, id.as_deref());
    };
    let slowdown = shared.with_engine(|engine| {
        let audit = &mut engine.audit;
        audit.peak_slots = audit.peak_slots.max(slot.use_count);
        if let Some(id) = &id {
            *audit.request_runs.entry(id.clone()).or_default() += 1;
        }
        *audit.services.entry(service.to_owned()).or_default() += 1;
        if let Some(key) = key {
            *audit.keys.entry(key).or_default() += 1;
        }
        engine.config.slowdown_percent
    });
    let Ok(body) = request.into_body().collect().await else {
        return empty_response(StatusCode::BAD_REQUEST);
    };
    sleep(Duration::from_millis(requested_ms.unwrap_or(default_ms) * slowdown / 100)).await;
    drop(slot);
    with_common_headers(shared, Response::new(Full::new(body.to_bytes())), id.as_deref())
}

fn refuse(shared: &Arc<Shared>, id: Option<&str>) -> HttpResponse {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert(NOT_RUN, "true".parse().expect("`true` is a valid header value"));
    with_common_headers(shared, response, id)
}

/// Adds the headers that every response to a caller's request carries.
fn with_common_headers(
    shared: &Arc<Shared>,
    mut response: HttpResponse,
    id: Option<&str>,
) -> HttpResponse {
    if let Some(id) = id.and_then(|id| id.parse().ok()) {
        response.headers_mut().insert(REQUEST_ID, id);
    }
    if shared.with_engine(|engine| engine.leaving) {
        response
            .headers_mut()
            .insert(LEAVING, "true".parse().expect("`true` is a valid header value"));
    }
    response
}

fn empty_response(code: StatusCode) -> HttpResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = code;
    response
}

fn json_response<T: Serialize>(body: &T) -> HttpResponse {
    let bytes = serde_json::to_vec(body).expect("response bodies serialize to JSON");
    Response::new(Full::new(bytes.into()))
}
