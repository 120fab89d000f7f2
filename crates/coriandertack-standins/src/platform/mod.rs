//! Small stand-ins for the platform on which the entry VMs run: its store, its workers, its advice and its
//! machines.
//!
//! They speak the platform's protocol on addresses of their own, keep everything in memory, and fail on demand
//! ([`store::Faults`], [`worker::Faults`], [`machines::Faults`]). Each worker notes what it ran, so that a test can tell whether a task ran twice.

pub mod advice;
pub mod machines;
pub mod store;
pub mod worker;

use std::{convert::Infallible, future::Future, net::SocketAddr, sync::Arc};

use {
    anyhow::Result,
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn,
    },
    hyper_util::rt::TokioIo,
    tokio::{net::TcpListener, task::JoinHandle},
};

/// Most bytes of a request.
const MAX_BODY_BYTES: usize = 4 << 20;

/// A request with its whole body.
pub(crate) struct Call {
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) instance: Option<String>,
    /// Token of the order, where it is a header.
    pub(crate) token: Option<u64>,
    pub(crate) body: Bytes,
}

impl Call {
    /// Returns a parameter of the query.
    pub(crate) fn parameter(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns a number of the query.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.parameter(name)?.parse().ok()
    }
}

/// Status and body of an answer; nothing to leave the request without one.
pub(crate) type Reply = Option<(u16, Bytes)>;

/// Serves calls at an address of this machine until the handle is aborted.
pub(crate) async fn serve<F>(
    answer: impl Fn(Call) -> F + Clone + Send + Sync + 'static,
) -> Result<(SocketAddr, JoinHandle<()>)>
where
    F: Future<Output = Reply> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let accept = async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { return };
            let answer = answer.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| respond(answer.clone(), request));
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
    answer: impl Fn(Call) -> F,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible>
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
    match answer(Call { path, query, instance, token, body }).await {
        Some((status, body)) => {
            let mut response = Response::new(Full::new(body));
            *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
            Ok(response)
        }
        None => std::future::pending().await,
    }
}

pub(crate) fn json(status: u16, value: &serde_json::Value) -> Reply {
    Some((status, Bytes::from(value.to_string())))
}

/// State that the tasks of a stand-in share.
pub(crate) type Shared<T> = Arc<std::sync::Mutex<T>>;

pub(crate) fn lock<T>(shared: &Shared<T>) -> std::sync::MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
