//! HTTP interface of the log service.

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

/// Most bytes of a record.
const MAX_BODY: usize = 1 << 20;

/// Longest wait of a read.
const MAX_WAIT_MS: u64 = 30_000;

/// A request that ends without an answer: its connection is closed.
#[derive(Debug, Display, derive_more::Error)]
#[display("the connection closes without an answer")]
struct Unanswered;

type Answer = Response<Full<Bytes>>;

/// Parameters of a read.
#[derive(Debug)]
struct ReadQuery {
    from: u64,
    max_bytes: usize,
    wait_ms: u64,
}

/// Accepts connections until the task is aborted, which closes them as well.
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
    // Without it a small answer may wait for an acknowledgement; failure only costs that time.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|request| answer(request, &shared));
    let mut server = http1::Builder::new();
    server.timer(TokioTimer::new());
    // A client that goes away in the middle of a request is no fault of the service.
    let _ = server.serve_connection(TokioIo::new(shared.traffic.count(stream)), service).await;
}

async fn answer(request: Request<Incoming>, shared: &Shared) -> Result<Answer, Unanswered> {
    let client = request.headers().get("x-client").and_then(|name| name.to_str().ok());
    let client = client.unwrap_or_default().to_owned();
    let Some(stream) = request.uri().path().strip_prefix("/streams/").map(str::to_owned) else {
        return Ok(status(StatusCode::NOT_FOUND));
    };
    let slow = shared.lock().faults.slow;
    if !slow.is_zero() {
        sleep(slow).await;
    }
    match *request.method() {
        Method::POST => append(request, shared, &stream, &client).await,
        Method::GET => Ok(match parse_query(request.uri().query().unwrap_or_default()) {
            Some(query) => read(shared, &stream, &client, &query).await,
            None => status(StatusCode::BAD_REQUEST),
        }),
        _ => Ok(status(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

async fn append(
    request: Request<Incoming>,
    shared: &Shared,
    stream: &str,
    client: &str,
) -> Result<Answer, Unanswered> {
    let Ok(body) = Limited::new(request.into_body(), MAX_BODY).collect().await else {
        return Ok(status(StatusCode::PAYLOAD_TOO_LARGE));
    };
    if let Some(refusal) = refuse_append(shared, client) {
        return Ok(status(refusal));
    }
    let latency = shared.lock().faults.latency;
    sleep(latency).await;
    let offset = shared.append(stream, body.to_bytes(), client);
    if shared.lock().faults.loses_answer() {
        return Err(Unanswered);
    }
    let answer = serde_json::json!({ "offset": offset }).to_string();
    Ok(Response::new(Full::new(answer.into())))
}

fn refuse_append(shared: &Shared, client: &str) -> Option<StatusCode> {
    let mut inner = shared.lock();
    let refusal = if inner.faults.blocks_append(client) {
        StatusCode::SERVICE_UNAVAILABLE
    } else if !inner.faults.admits(Instant::now()) {
        StatusCode::TOO_MANY_REQUESTS
    } else {
        return None;
    };
    inner.refused += 1;
    drop(inner);
    shared.wake();
    Some(refusal)
}

async fn read(shared: &Shared, stream: &str, client: &str, query: &ReadQuery) -> Answer {
    let until = Instant::now() + Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
    let mut changed = shared.changed.subscribe();
    loop {
        if shared.lock().faults.blocks_read(client) {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let page = shared.with_stream(stream, |stream| stream.page(query.from, query.max_bytes));
        if query.from < page.earliest {
            return respond(StatusCode::GONE, &page);
        }
        if query.from > page.tail {
            return status(StatusCode::BAD_REQUEST);
        }
        let waited = timeout_at(until, changed.changed());
        if !page.records.is_empty() || waited.await.is_err() {
            return respond(StatusCode::OK, &page);
        }
    }
}

fn parse_query(query: &str) -> Option<ReadQuery> {
    let mut parsed = ReadQuery { from: 1, max_bytes: MAX_BODY, wait_ms: 0 };
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

fn respond(code: StatusCode, page: &Page) -> Answer {
    let mut response = Response::new(Full::new(page.encode_to_vec().into()));
    *response.status_mut() = code;
    response
}

fn status(code: StatusCode) -> Answer {
    let mut response = Response::new(Full::default());
    *response.status_mut() = code;
    response
}
