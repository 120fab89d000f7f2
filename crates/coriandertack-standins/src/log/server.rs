//! The HTTP interface of the log service.

use std::{sync::Arc, time::Duration};

use {
    bytes::Bytes,
    derive_more::Display,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Method, Request, Response, StatusCode, body::Incoming, server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    prost::Message,
    tokio::{
        net::{TcpListener, TcpStream},
        task::JoinSet,
        time::{Instant, sleep, timeout_at},
    },
};

use super::{Shared, stream::Page};

/// Largest accepted record, in bytes.
const MAX_RECORD_BYTES: usize = 1 << 20;

/// Upper bound on the time that a read waits for records, in milliseconds.
const MAX_WAIT_MS: u64 = 30_000;

/// Error that makes hyper close the connection without a response.
#[derive(Debug, Display, derive_more::Error)]
#[display("response dropped by fault injection; closing the connection")]
struct ResponseDropped;

type HttpResponse = Response<Full<Bytes>>;

/// Query parameters of a read.
#[derive(Debug)]
struct ReadQuery {
    from: u64,
    max_bytes: usize,
    wait_ms: u64,
}

/// Accepts connections until the task is aborted, which also closes all connections.
pub(super) async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(stream, Arc::clone(&shared)));
                }
                Err(error) => log::warn!("event=accept_failed peer=log error={error}"),
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    // With Nagle's algorithm, a small response may wait for a TCP acknowledgement. If the option
    // cannot be set, responses are only slower.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| handle(request, &shared));
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new());
    // Errors are ignored: a client may disconnect in the middle of a request.
    let _ = server.serve_connection(TokioIo::new(shared.traffic.wrap(stream)), service).await;
}

async fn handle(
    request: Request<Incoming>,
    shared: &Shared,
) -> Result<HttpResponse, ResponseDropped> {
    let client = request.headers().get("x-client").and_then(|name| name.to_str().ok());
    let client = client.unwrap_or_default().to_owned();
    let Some(stream) = request.uri().path().strip_prefix("/streams/").map(str::to_owned) else {
        return Ok(empty_response(StatusCode::NOT_FOUND));
    };
    let delay = shared.lock().faults.delay;
    if !delay.is_zero() {
        sleep(delay).await;
    }
    match *request.method() {
        Method::POST => append(request, shared, &stream, &client).await,
        Method::GET => Ok(match parse_query(request.uri().query().unwrap_or_default()) {
            Some(query) => read(shared, &stream, &client, &query).await,
            None => empty_response(StatusCode::BAD_REQUEST),
        }),
        _ => Ok(empty_response(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

async fn append(
    request: Request<Incoming>,
    shared: &Shared,
    stream: &str,
    client: &str,
) -> Result<HttpResponse, ResponseDropped> {
    let Ok(body) = Limited::new(request.into_body(), MAX_RECORD_BYTES).collect().await else {
        return Ok(empty_response(StatusCode::PAYLOAD_TOO_LARGE));
    };
    if let Some(rejection) = check_append(shared, client) {
        return Ok(empty_response(rejection));
    }
    let latency = shared.lock().faults.latency;
    sleep(latency).await;
    let offset = shared.append(stream, body.to_bytes(), client);
    if shared.lock().faults.drops_response() {
        return Err(ResponseDropped);
    }
    let body = serde_json::json!({ "offset": offset }).to_string();
    Ok(Response::new(Full::new(body.into())))
}

fn check_append(shared: &Shared, client: &str) -> Option<StatusCode> {
    let mut state = shared.lock();
    let rejection = if state.faults.rejects_append(client) {
        StatusCode::SERVICE_UNAVAILABLE
    } else if !state.faults.try_admit(Instant::now()) {
        StatusCode::TOO_MANY_REQUESTS
    } else {
        return None;
    };
    state.refused += 1;
    drop(state);
    shared.notify_waiters();
    Some(rejection)
}

async fn read(shared: &Shared, stream: &str, client: &str, query: &ReadQuery) -> HttpResponse {
    let deadline = Instant::now() + Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
    let mut changed = shared.changed.subscribe();
    loop {
        if shared.lock().faults.rejects_read(client) {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        let page = shared.with_stream(stream, |stream| stream.page(query.from, query.max_bytes));
        if query.from < page.earliest {
            return page_response(StatusCode::GONE, &page);
        }
        if query.from > page.tail {
            return empty_response(StatusCode::BAD_REQUEST);
        }
        let waited = timeout_at(deadline, changed.changed());
        if !page.records.is_empty() || waited.await.is_err() {
            return page_response(StatusCode::OK, &page);
        }
    }
}

fn parse_query(query: &str) -> Option<ReadQuery> {
    let mut parsed = ReadQuery { from: 1, max_bytes: MAX_RECORD_BYTES, wait_ms: 0 };
    for pair in query.split('&').filter(|pair| !pair.is_empty()) {
        let (key, value) = pair.split_once('=')?;
        match key {
            "from" => parsed.from = value.parse().ok()?,
            "max_bytes" => parsed.max_bytes = value.parse().ok()?,
            "wait_ms" => parsed.wait_ms = value.parse().ok()?,
            _ => return None,
        }
    }
    Some(parsed)
}

fn page_response(code: StatusCode, page: &Page) -> HttpResponse {
    let mut response = Response::new(Full::new(page.encode_to_vec().into()));
    *response.status_mut() = code;
    response
}

fn empty_response(code: StatusCode) -> HttpResponse {
    let mut response = Response::new(Full::default());
    *response.status_mut() = code;
    response
}
