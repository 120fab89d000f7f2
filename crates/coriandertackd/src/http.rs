//! The HTTP server of a VM, with one task per connection and limits on the resources of each.
//!
//! The routes limit bodies and queries. The server limits what precedes routing: the number of connections, the size
//! of a request's headers and the time in which they must arrive. The same timeout closes idle connections, because
//! an idle connection waits for the headers of its next request.
//!
//! A planned stop waits for requests in flight. When the server is dropped, all connections end at once, as in a
//! crash, so that none of them outlives the session of the VM.

use std::{io, net::SocketAddr, pin::pin, sync::Arc, time::Duration};

use {
    hyper::server::conn::http1::Builder,
    hyper_util::rt::{TokioIo, TokioTimer},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore, watch},
        task::JoinSet,
        time::sleep,
    },
    viz::{Responder, Router, Tree},
};

/// Time in which the headers of a request must arrive. It exceeds the 60 s after which load balancers close idle
/// connections: if the server closed first, a request already on its way would be lost.
pub const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(75);

/// Most bytes buffered for incomplete headers. Bytes that arrive in a single read can exceed it slightly.
pub const MAX_HEADER_BYTES: usize = 32 * 1_024;

/// Most concurrent connections. Further ones wait in the listener's backlog.
pub const MAX_CONNECTIONS: usize = 4_096;

/// Delay after a failed accept, for example because the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves the routes until `stop` resolves, and then waits until every request in flight is answered.
///
/// The caller limits the time of the second phase by dropping the future.
pub async fn serve(listener: TcpListener, routes: Router, stop: impl Future<Output = ()>) {
    let closing = watch::Sender::new(false);
    let mut connections = JoinSet::new();
    tokio::select! {
        () = accept_connections(&listener, routes, &closing, &mut connections) => {}
        () = stop => {}
    }
    drop(listener);
    closing.send_replace(true);
    while connections.join_next().await.is_some() {}
}

async fn accept_connections(
    listener: &TcpListener,
    routes: Router,
    closing: &watch::Sender<bool>,
    connections: &mut JoinSet<()>,
) {
    let tree = Arc::new(Tree::from(routes));
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&slots).acquire_owned().await else { return };
        match accept(listener, connections).await {
            Ok((stream, from)) => {
                let (tree, closing) = (Arc::clone(&tree), closing.subscribe());
                connections.spawn(serve_connection(stream, from, tree, closing, permit));
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

/// Serves one connection until it ends or, once the server is closing, until its current request is answered.
async fn serve_connection(
    stream: TcpStream,
    from: SocketAddr,
    tree: Arc<Tree>,
    closing: watch::Receiver<bool>,
    _permit: OwnedSemaphorePermit,
) {
    // Answers are small and a caller waits for each, so Nagle's algorithm would only add latency.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=http_connection_failed from={from} error=\"{error}\"");
    }
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_READ_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .serve_connection(TokioIo::new(stream), Responder::new(tree, Some(from)));
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = wait_for_close(closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("event=http_connection_failed from={from} error=\"{error}\"");
    }
}

/// Waits until the server is closing.
async fn wait_for_close(mut closing: watch::Receiver<bool>) {
    // An error means that the sender was dropped, either after it announced the close or together with this task.
    let _ = closing.wait_for(|closing| *closing).await;
}
