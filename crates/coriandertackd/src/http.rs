//! The HTTP server of a VM: one task for each connection, with bounds on what it may cost.
//!
//! The routes bound bodies and queries. The server bounds what comes before a route is known: the
//! number of connections, the size of a request's head and the time in which it must arrive. The same
//! time bounds an idle connection, because the server then waits for a head.
//!
//! A planned stop lets every request in flight finish. When the server is dropped, all connections end at
//! once, as in a crash, so that none of them outlives the session of the VM.

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

/// Time in which the head of a request must arrive. Load balancers close idle connections after 60 s, and must do
/// so before this end of the connection does; otherwise a request could meet the close.
pub const HEAD_TIME: Duration = Duration::from_secs(75);

/// The most bytes that are kept of a head which is not complete. What arrives in one piece can exceed it a little.
pub const MAX_HEAD_BYTES: usize = 32 * 1_024;

/// The most connections at a time. Further ones wait in the queue of the listener.
pub const MAX_CONNECTIONS: usize = 4_096;

/// Pause after a connection could not be accepted, as when the process has no descriptor left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Serves the routes until `stop` resolves, and then until every request in flight has its answer.
///
/// The caller bounds the time of the second part by dropping the future.
pub async fn serve(listener: TcpListener, routes: Router, stop: impl Future<Output = ()>) {
    let closing = watch::Sender::new(false);
    let mut connections = JoinSet::new();
    tokio::select! {
        () = accept_all(&listener, routes, &closing, &mut connections) => {}
        () = stop => {}
    }
    drop(listener);
    closing.send_replace(true);
    while connections.join_next().await.is_some() {}
}

async fn accept_all(
    listener: &TcpListener,
    routes: Router,
    closing: &watch::Sender<bool>,
    connections: &mut JoinSet<()>,
) {
    let tree = Arc::new(Tree::from(routes));
    let room = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&room).acquire_owned().await else { return };
        match accept(listener, connections).await {
            Ok((stream, from)) => {
                let (tree, closing) = (Arc::clone(&tree), closing.subscribe());
                connections.spawn(connection(stream, from, tree, closing, permit));
            }
            Err(error) => {
                log::warn!("event=http_accept_failed error=\"{error}\"");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Accepts a connection, and forgets those that have ended meanwhile.
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

/// Serves one connection to its end, or to the end of its request once the server is closing.
async fn connection(
    stream: TcpStream,
    from: SocketAddr,
    tree: Arc<Tree>,
    closing: watch::Receiver<bool>,
    _permit: OwnedSemaphorePermit,
) {
    // Answers are small, and a caller waits for each.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=http_connection_failed from={from} error=\"{error}\"");
    }
    let served = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), Responder::new(tree, Some(from)));
    let mut served = pin!(served);
    let ended = tokio::select! {
        ended = &mut served => ended,
        () = closed(closing) => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = ended {
        log::debug!("event=http_connection_failed from={from} error=\"{error}\"");
    }
}

/// Waits until the server is closing.
async fn closed(mut closing: watch::Receiver<bool>) {
    // The sender is dropped only after it has said so, or together with this connection.
    let _ = closing.wait_for(|closing| *closing).await;
}
