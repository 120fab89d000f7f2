//! The HTTP server of a VM: one task for each connection, with bounds on what it may cost.
//!
//! The routes bound bodies and queries. The server bounds what comes before a route is known: the
//! number of connections, the size of a request's head and the time in which it must arrive. The same
//! time bounds an idle connection, because the server then waits for a head. All connections end when the
//! server is dropped.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use {
    hyper::server::conn::http1::Builder,
    hyper_util::rt::{TokioIo, TokioTimer},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{OwnedSemaphorePermit, Semaphore},
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

/// Serves the routes until it is dropped.
pub async fn serve(listener: TcpListener, routes: Router) {
    let tree = Arc::new(Tree::from(routes));
    let room = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        let Ok(permit) = Arc::clone(&room).acquire_owned().await else { return };
        match accept(&listener, &mut connections).await {
            Ok((stream, from)) => {
                connections.spawn(connection(stream, from, Arc::clone(&tree), permit));
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

/// Serves one connection to its end.
async fn connection(
    stream: TcpStream,
    from: SocketAddr,
    tree: Arc<Tree>,
    _permit: OwnedSemaphorePermit,
) {
    // Answers are small, and a caller waits for each.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=http_connection_failed from={from} error=\"{error}\"");
    }
    let responder = Responder::new(tree, Some(from));
    let served = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIME)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), responder)
        .await;
    if let Err(error) = served {
        log::debug!("event=http_connection_failed from={from} error=\"{error}\"");
    }
}
