//! The HTTP server of a VM, with one task per connection and limits on the resources of each.
//!
//! The routes limit bodies and queries. The server limits what precedes routing: the number of connections, the bytes
//! and the time of an unfinished head, and the time without a request. The limits are those of callers on the platform,
//! see [`connections`] and docs/design/body-limits.md.
//!
//! A planned stop waits for requests in flight. When the server is dropped, all connections end at once, as in a
//! crash, so that none of them outlives the session of the VM.

use std::{io, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use {
    coriandertack_callers::bodies::Limit,
    coriandertack_jobs::config::Limits,
    hyper::{
        Request,
        body::Incoming,
        server::conn::http1::{self, Builder},
        service::{Service, service_fn},
    },
    hyper_util::rt::TokioIo,
    nix::sys::resource::{Resource, getrlimit},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinSet,
        time::sleep,
    },
    viz::{Responder, Router, Tree},
};

use crate::connections::{self, Activity, Connections, TrackedStream};

/// Limits on requests. The routes limit bodies.
///
/// The time without a request exceeds the 60 s after which load balancers close idle connections: if the server closed
/// first, a request already on its way would be lost.
pub const LIMITS: Limits =
    Limits { header_bytes: 32 * 1_024, body_bytes: 0, header_ms: 10_000, idle_ms: 75_000 };

/// Most concurrent connections, if the file descriptors of the process suffice.
const MAX_CONNECTIONS: usize = 4_096;

/// File descriptors that are kept for files, and for connections to workers, other VMs and the platform.
const RESERVED_FDS: usize = 256;

/// Lowest limit of connections, however few descriptors the process may open.
const MIN_CONNECTIONS: usize = 16;

/// Delay after a failed accept, for example because the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Returns the most concurrent connections for which this process has file descriptors.
#[must_use]
pub fn max_connections() -> usize {
    // Without a known limit, connections are refused one by one once there are no descriptors.
    let (descriptors, _) = getrlimit(Resource::RLIMIT_NOFILE).unwrap_or((u64::MAX, u64::MAX));
    let spare = usize::try_from(descriptors).unwrap_or(usize::MAX).saturating_sub(RESERVED_FDS);
    spare.clamp(MIN_CONNECTIONS, MAX_CONNECTIONS)
}

/// Serves the routes until `stop` resolves, and then waits until every request in flight is answered.
///
/// The caller limits the time of the second phase by dropping the future.
pub async fn serve(
    listener: TcpListener,
    routes: Router,
    open: Arc<Connections>,
    limits: Limits,
    stop: impl Future<Output = ()>,
) {
    let closing = watch::Sender::new(false);
    let mut connections = JoinSet::new();
    tokio::select! {
        () = accept_connections(&listener, routes, &open, limits, &closing, &mut connections) => {}
        () = stop => {}
    }
    drop(listener);
    closing.send_replace(true);
    while connections.join_next().await.is_some() {}
}

async fn accept_connections(
    listener: &TcpListener,
    routes: Router,
    open: &Arc<Connections>,
    limits: Limits,
    closing: &watch::Sender<bool>,
    connections: &mut JoinSet<()>,
) {
    let tree = Arc::new(Tree::from(routes));
    loop {
        match accept(listener, connections).await {
            Ok((stream, from)) => {
                let Some((key, activity)) = open.add() else {
                    open.bodies().record_refusal(Limit::Connections);
                    continue;
                };
                let (tree, closing, open) =
                    (Arc::clone(&tree), closing.subscribe(), Arc::clone(open));
                connections.spawn(async move {
                    if let Some(limit) =
                        serve_connection(stream, from, tree, &activity, limits, closing).await
                    {
                        open.bodies().record_close(limit);
                    }
                    open.remove(key);
                });
            }
            Err(error) => {
                log::warn!("event=http_accept_failed error=\"{error}\"");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts a connection. While waiting, it reaps the tasks of connections that have ended.
async fn accept(
    listener: &TcpListener,
    connections: &mut JoinSet<()>,
) -> io::Result<(TcpStream, SocketAddr)> {
    loop {
        tokio::select! {
            accepted = listener.accept() => return accepted,
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Serves one connection until it ends, exceeds a limit or, once the server is closing, until its current request is
/// answered. Returns the limit because of which it was closed, unless that is already counted.
async fn serve_connection(
    stream: TcpStream,
    from: SocketAddr,
    tree: Arc<Tree>,
    activity: &Arc<Activity>,
    limits: Limits,
    closing: watch::Receiver<bool>,
) -> Option<Limit> {
    // Answers are small and a caller waits for each, so Nagle's algorithm would only add latency.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=http_connection_failed from={from} error=\"{error}\"");
    }
    let responder = Responder::new(tree, Some(from));
    let service = service_fn(|request: Request<Incoming>| {
        activity.begin();
        let (answer, activity) = (responder.call(request), activity.clone());
        async move {
            let answer = answer.await;
            activity.end();
            answer
        }
    });
    let connection = Builder::new()
        .max_buf_size(limits.header_bytes)
        .serve_connection(TokioIo::new(TrackedStream::new(stream, activity.clone())), service);
    let shut_down = |connection: Pin<&mut http1::Connection<_, _>>| connection.graceful_shutdown();
    let closing = wait_for_close(closing);
    let ended = connections::serve(connection, shut_down, activity, limits, closing).await;
    if let Some(Err(error)) = ended.result {
        log::debug!("event=http_connection_failed from={from} error=\"{error}\"");
    }
    ended.limit
}

/// Waits until the server is closing.
async fn wait_for_close(mut closing: watch::Receiver<bool>) {
    // An error means that the sender was dropped, either after it announced the close or together with this task.
    let _ = closing.wait_for(|closing| *closing).await;
}
