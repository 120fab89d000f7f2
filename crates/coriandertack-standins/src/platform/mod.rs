//! Stand-ins for the platform on which the entry VMs run: its store, its workers, its advice service
//! and its machine API.
//!
//! Each stand-in speaks the platform's protocol on an address of its own, keeps its state in memory,
//! and injects faults on demand ([`store::Faults`], [`worker::Faults`], [`machines::Faults`],
//! [`link::Link`] for the connections of a worker, [`worker::held_calls::Hold`] for calls that arrive late at a worker, and
//! [`pace::Pace`] for the link of a client of the store). Each worker records every run, so that a test can detect a task
//! that ran twice.

pub mod advice;
mod lease;
pub mod link;
pub mod machines;
pub mod pace;
pub mod store;
pub mod worker;

use std::{
    convert::Infallible,
    future::Future,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use {
    anyhow::Result,
    bytes::Bytes,
    http_body_util::{BodyExt, Limited, combinators::UnsyncBoxBody},
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::rt::TokioIo,
    tokio::{
        net::TcpListener,
        task::{JoinHandle, JoinSet},
    },
};

use self::pace::{Cut, Pace};

/// Largest accepted request body, in bytes. A larger body is treated as empty.
const MAX_BODY_BYTES: usize = 4 << 20;

/// A request whose body has been read completely.
pub(crate) struct ApiCall {
    pub(crate) path: String,
    pub(crate) query: String,
    /// Instance that the request is meant for, from the `expect-instance` header.
    pub(crate) instance: Option<String>,
    /// Fencing token from the `fencing-token` header. Some requests carry it in the body instead.
    pub(crate) token: Option<u64>,
    pub(crate) body: Bytes,
}

impl ApiCall {
    /// Returns a query parameter.
    pub(crate) fn query_param(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns a numeric query parameter.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        self.query_param(name)?.parse().ok()
    }
}

/// Status and body of a response, or `None` to leave the request without a response.
pub(crate) type Reply = Option<(u16, Bytes)>;

/// Serves calls on a free port of 127.0.0.1 until the returned task is aborted, which also closes
/// the connections.
pub(crate) async fn serve<F>(
    handler: impl Fn(ApiCall) -> F + Clone + Send + Sync + 'static,
) -> Result<(SocketAddr, JoinHandle<()>)>
where
    F: Future<Output = Reply> + Send + 'static,
{
    serve_at_pace(Shared::<Pace>::default(), handler).await
}

/// Like [`serve`], with responses whose bodies are sent as `pace` has it.
pub(crate) async fn serve_at_pace<F>(
    pace: Shared<Pace>,
    handler: impl Fn(ApiCall) -> F + Clone + Send + Sync + 'static,
) -> Result<(SocketAddr, JoinHandle<()>)>
where
    F: Future<Output = Reply> + Send + 'static,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let accept = async move {
        let mut connections = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else { return };
            while connections.try_join_next().is_some() {}
            let (handler, pace) = (handler.clone(), pace.clone());
            connections.spawn(async move {
                let service =
                    service_fn(move |request| respond(pace.clone(), handler.clone(), request));
                let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                if let Err(error) = serving.await {
                    log::debug!("event=connection_ended peer=platform error=\"{error}\"");
                }
            });
        }
    };
    Ok((address, tokio::spawn(accept)))
}

async fn respond<F>(
    pace: Shared<Pace>,
    handler: impl Fn(ApiCall) -> F,
    request: Request<Incoming>,
) -> Result<Response<UnsyncBoxBody<Bytes, Cut>>, Infallible>
where
    F: Future<Output = Reply>,
{
    let instance = request.headers().get("expect-instance");
    let instance = instance.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let token = request.headers().get("fencing-token");
    let token = token.and_then(|value| value.to_str().ok()).and_then(|value| value.parse().ok());
    let path = request.uri().path().to_owned();
    let query = request.uri().query().unwrap_or_default().to_owned();
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect().await;
    let body = body.map(|body| body.to_bytes()).unwrap_or_else(|_| Bytes::new());
    match handler(ApiCall { path, query, instance, token, body }).await {
        Some((status, body)) => {
            let mut response = Response::new(pace::body(pace, body));
            *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            Ok(response)
        }
        None => std::future::pending().await,
    }
}

pub(crate) fn json_reply(status: u16, value: &serde_json::Value) -> Reply {
    Some((status, Bytes::from(value.to_string())))
}

/// State shared by the tasks of a stand-in.
pub(crate) type Shared<T> = Arc<std::sync::Mutex<T>>;

pub(crate) fn lock<T>(shared: &Shared<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
