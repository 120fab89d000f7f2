//! Connections of the other VMs.
//!
//! One task a connection. Requests of one connection are handled side by side, so that a slow one (a
//! submission that waits for the log) does not hold up the others; each reply carries the number of its
//! request.

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

/// Requests of one connection that may be handled at once; beyond it the connection is not read, which
/// slows the sender down.
const MAX_CONCURRENT: usize = 4_096;

/// Accepts connections for as long as the future is polled.
///
/// `me` gives the current identity, and `handle` answers a request of the VM with the given session.
/// A heartbeat gets no reply.
pub async fn run<H, F>(
    listener: TcpListener,
    key: SharedKey,
    me: impl Fn() -> Identity + Clone + Send + 'static,
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
                let (stream, _) = accepted.context("cannot accept a link")?;
                let (key, me, handle) = (key.clone(), me.clone(), Arc::clone(&handle));
                connections.spawn(async move {
                    if let Err(error) = serve(stream, &key, &me(), &*handle).await {
                        log::debug!("event=link_ended error=\"{error:#}\"");
                    }
                });
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve<H, F>(stream: TcpStream, key: &SharedKey, me: &Identity, handle: &H) -> Result<()>
where
    H: Fn(Session, PeerRequest) -> F,
    F: Future<Output = PeerReply>,
{
    let mut connection = frames::wrap(stream)?;
    let proof = handshake::as_listener(&mut connection, key, me);
    let other = timeout(HANDSHAKE_TIMEOUT, proof).await.context("no handshake in time")??;
    let mut replies = FuturesUnordered::new();
    loop {
        tokio::select! {
            Some((id, reply)) = replies.next(), if !replies.is_empty() => {
                let reply: PeerReply = reply;
                let body = Body::Reply(codec::reply_out(reply, Instant::now()));
                connection.send(frames::encode(id, body)).await?;
            }
            frame = connection.next(), if replies.len() < MAX_CONCURRENT => {
                let Some(frame) = frame else { return Ok(()) };
                let (id, body) = frames::decode(&frame?)?;
                let Body::Request(request) = body else { bail!("the peer sent no request") };
                let request = codec::request_in(request, Instant::now())?;
                let reply = handle(other.session, request);
                if id == 0 {
                    reply.await;
                } else {
                    replies.push(async move { (id, reply.await) });
                }
            }
        }
    }
}
