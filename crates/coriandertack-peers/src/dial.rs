//! Outgoing connection to another VM.
//!
//! One task for each VM ([`run`]) connects, sends periodic heartbeats and the requests from its
//! queue, and matches replies to requests by id. When the connection breaks, pending requests are
//! dropped, which tells their senders that the outcome is unknown. They are not retried here.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use {
    anyhow::{Context, Result, bail, ensure},
    coriandertack_core::{
        keys::VmKey,
        message::{Heartbeat, OutgoingRequest, PeerReply, PeerRequest},
        node::Node,
    },
    futures::{SinkExt, StreamExt},
    slab::Slab,
    tokio::{
        net::TcpStream,
        sync::{mpsc, oneshot},
        time::{Instant, MissedTickBehavior, interval, sleep, timeout},
    },
};

use crate::{
    codec,
    frames::{self, FrameStream},
    handshake::{self, Identity, SharedKey},
    proto::frame::Body,
};

/// Timeout of connecting, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Size of the length prefix of each frame.
const LENGTH_PREFIX_BYTES: usize = 4;

const RECONNECT_DELAY: Duration = Duration::from_millis(200);

/// VM to connect to.
pub struct Target {
    /// Key of the VM in the replicated state.
    pub vm: VmKey,
    /// Address on which the VM accepts links.
    pub address: SocketAddr,
    /// Identity that the VM must prove; another session is a different process.
    pub identity: Identity,
}

/// A request that has been sent and waits for its reply.
struct PendingRequest {
    id: u64,
    deadline: Instant,
    reply: oneshot::Sender<PeerReply>,
}

/// Keeps the connection to `target` until the VM is no longer a member.
///
/// Sends a heartbeat each `heartbeat_interval`. `heartbeat` returns the next one. Its argument is
/// true for the first heartbeat of a connection, which must include all fields.
pub async fn run(
    node: Arc<Node>,
    key: SharedKey,
    local: Identity,
    target: Target,
    mut queue: mpsc::Receiver<OutgoingRequest>,
    heartbeat_interval: Duration,
    heartbeat: impl Fn(bool) -> Heartbeat,
) {
    let name = &target.identity.name;
    while is_member(&node, target.vm) && !queue.is_closed() {
        match connect(&key, &local, &target).await {
            Ok(mut connection) => {
                log::info!("event=link_up vm={name}");
                let end = exchange(
                    &node,
                    &target,
                    &mut connection,
                    &mut queue,
                    heartbeat_interval,
                    &heartbeat,
                )
                .await;
                match end {
                    Ok(()) => log::info!("event=link_closed vm={name}"),
                    Err(error) => log::warn!("event=link_down vm={name} error=\"{error:#}\""),
                }
            }
            Err(error) => log::debug!("event=link_refused vm={name} error=\"{error:#}\""),
        }
        // Drops the requests that were queued while disconnected; they were not sent.
        while queue.try_recv().is_ok() {}
        sleep(RECONNECT_DELAY).await;
    }
}

fn is_member(node: &Node, vm: VmKey) -> bool {
    node.with(|shared| shared.state.vms.contains_key(vm))
}

async fn connect(key: &SharedKey, local: &Identity, target: &Target) -> Result<FrameStream> {
    let connecting = async {
        let stream = TcpStream::connect(target.address).await.context("cannot connect")?;
        let mut frames = frames::framed(stream)?;
        let peer = handshake::as_dialer(&mut frames, key, local).await?;
        ensure!(
            peer == target.identity,
            "unexpected peer {} with session {}",
            peer.name,
            peer.session
        );
        Ok(frames)
    };
    timeout(CONNECT_TIMEOUT, connecting).await.context("connecting timed out")?
}

/// Exchanges requests and replies until the connection ends or the VM is no longer a member.
async fn exchange(
    node: &Node,
    target: &Target,
    connection: &mut FrameStream,
    queue: &mut mpsc::Receiver<OutgoingRequest>,
    heartbeat_interval: Duration,
    heartbeat: &impl Fn(bool) -> Heartbeat,
) -> Result<()> {
    let mut pending: Slab<PendingRequest> = Slab::new();
    let mut generation = 0_u32;
    let mut heartbeat_timer = interval(heartbeat_interval);
    heartbeat_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut first_heartbeat = true;
    loop {
        tokio::select! {
            outgoing = queue.recv() => {
                let Some(outgoing) = outgoing else { return Ok(()) };
                let now = Instant::now();
                if outgoing.until <= now {
                    continue;
                }
                let reply = outgoing.reply;
                let entry = pending.vacant_entry();
                generation = generation.wrapping_add(1);
                let id = request_id(entry.key(), generation);
                entry.insert(PendingRequest { id, deadline: outgoing.until, reply });
                let request = codec::encode_request(outgoing.request, now);
                let frame = frames::encode(id, Body::Request(request));
                count_bytes(node, &frame);
                connection.feed(frame).await?;
                if queue.is_empty() {
                    frames::flush(connection).await?;
                }
            }
            _ = heartbeat_timer.tick() => {
                if !is_member(node, target.vm) {
                    return Ok(());
                }
                let request = PeerRequest::Heartbeat(heartbeat(first_heartbeat));
                first_heartbeat = false;
                let request = codec::encode_request(request, Instant::now());
                let frame = frames::encode(0, Body::Request(request));
                count_bytes(node, &frame);
                connection.send(frame).await?;
                drop_expired(&mut pending, Instant::now());
            }
            frame = connection.next() => {
                let bytes = frame.context("the peer closed the connection")??;
                count_bytes(node, &bytes);
                let (id, body) = frames::decode(&bytes)?;
                let Body::Reply(reply) = body else {
                    bail!("expected a Reply frame from the peer")
                };
                let reply = codec::decode_reply(reply, Instant::now())?;
                // A late reply is dropped: its slot is empty or holds a request of another
                // generation.
                let slot = slot_index(id);
                if pending.get(slot).is_some_and(|found| found.id == id) {
                    let _ = pending.remove(slot).reply.send(reply);
                }
            }
        }
    }
}

/// Adds the size of a frame and its length prefix to the metric.
fn count_bytes(node: &Node, frame: &[u8]) {
    node.frame_bytes.fetch_add((frame.len() + LENGTH_PREFIX_BYTES) as u64, Ordering::Relaxed);
}

/// Drops requests whose deadline has passed.
fn drop_expired(pending: &mut Slab<PendingRequest>, now: Instant) {
    pending.retain(|_, request| request.deadline > now);
}

/// Combines a slot and its generation into a request id. Id 0 is reserved for heartbeats.
fn request_id(slot: usize, generation: u32) -> u64 {
    (u64::from(generation) << 32) | (slot as u64 + 1)
}

/// Returns the slot of a request id.
fn slot_index(id: u64) -> usize {
    usize::try_from((id & u64::from(u32::MAX)).wrapping_sub(1)).unwrap_or(usize::MAX)
}
