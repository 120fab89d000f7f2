//! Incoming connections from the other VMs, with one task for each.
//!
//! Requests of a connection are handled concurrently, so that a slow one, such as a submission that
//! waits for the log, does not delay the others. Each reply carries the id of its request.

use std::{future::Future, sync::Arc, time::Duration};

use {
    anyhow::{Context, Result, bail},
    coriandertack_core::{
        keys::Session,
        message::{PeerReply, PeerRequest},
    },
    futures::{SinkExt, StreamExt, stream::FuturesUnordered},
    tokio::{
        net::{TcpListener, TcpStream},
        task::JoinSet,
        time::{Instant, timeout},
    },
};

use crate::{
    codec, frames,
    handshake::{self, Identity, SharedKey},
    proto::frame::Body,
};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of concurrent requests of one connection. At the limit the connection is not
/// read, which applies backpressure to the sender.
const MAX_CONCURRENT_REQUESTS: usize = 4_096;

/// Accepts connections for as long as the future is polled.
///
/// `local` returns the current identity of this VM, and `handle` answers a request from the VM with
/// the given session. The reply to a heartbeat is not sent.
///
/// # Errors
///
/// Fails if accepting a connection fails.
pub async fn run<H, F>(
    listener: TcpListener,
    key: SharedKey,
    local: impl Fn() -> Identity + Clone + Send + 'static,
    handle: H,
) -> Result<()>
where
    H: Fn(Session, PeerRequest) -> F + Send + Sync + 'static,
    F: Future<Output = PeerReply> + Send,
{
    let handle = Arc::new(handle);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (stream, _) = accepted.context("cannot accept a connection")?;
                let (key, local, handle) = (key.clone(), local.clone(), Arc::clone(&handle));
                connections.spawn(async move {
                    if let Err(error) = serve_connection(stream, &key, &local(), &*handle).await {
                        log::debug!("event=link_ended error=\"{error:#}\"");
                    }
                });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    key: &SharedKey,
    local: &Identity,
    handle: &H,
) -> Result<()>
where
    H: Fn(Session, PeerRequest) -> F,
    F: Future<Output = PeerReply>,
{
    let mut connection = frames::framed(stream)?;
    let peer_proof = handshake::as_listener(&mut connection, key, local);
    let peer = timeout(HANDSHAKE_TIMEOUT, peer_proof).await.context("handshake timed out")??;
    let mut replies = FuturesUnordered::new();
    loop {
        tokio::select! {
            Some((id, reply)) = replies.next(), if !replies.is_empty() => {
                let reply: PeerReply = reply;
                let body = Body::Reply(codec::encode_reply(reply, Instant::now()));
                connection.send(frames::encode(id, body)).await?;
            }
            frame = connection.next(), if replies.len() < MAX_CONCURRENT_REQUESTS => {
                let Some(frame) = frame else { return Ok(()) };
                let (id, body) = frames::decode(&frame?)?;
                let Body::Request(request) = body else {
                    bail!("expected a Request frame from the peer")
                };
                let request = codec::decode_request(request, Instant::now())?;
                let reply = handle(peer.session, request);
                if id == 0 {
                    reply.await;
                } else {
                    replies.push(async move { (id, reply.await) });
                }
            }
        }
    }
}
