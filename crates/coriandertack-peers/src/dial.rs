//! The outgoing connection to one other VM.
//!
//! One task a VM ([`run`]): it connects, sends requests from its queue and regular heartbeats, and
//! matches replies to requests by their number. When the connection breaks, requests without a reply
//! are dropped, which tells their senders that the outcome is unknown; they are never sent again here.

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
    frames::{self, Frames},
    handshake::{self, Identity, SharedKey},
    proto::frame::Body,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bytes of the length before each frame.
const LENGTH_BYTES: usize = 4;

const RECONNECT_AFTER: Duration = Duration::from_millis(200);

/// What a link needs to know.
pub struct Target {
    /// The other VM.
    pub vm: VmKey,
    /// Where it listens.
    pub address: SocketAddr,
    /// Name and session that it must have.
    pub identity: Identity,
}

struct Pending {
    id: u64,
    until: Instant,
    reply: oneshot::Sender<PeerReply>,
}

/// Keeps the connection to `target` until the VM is no longer a member.
///
/// A heartbeat goes out each `every`. `heartbeat` makes the next one; its argument tells whether the connection is new, in which
/// case everything must be included.
pub async fn run(
    node: Arc<Node>,
    key: SharedKey,
    me: Identity,
    target: Target,
    mut queue: mpsc::Receiver<OutgoingRequest>,
    every: Duration,
    heartbeat: impl Fn(bool) -> Heartbeat,
) {
    let name = &target.identity.name;
    while is_member(&node, target.vm) && !queue.is_closed() {
        match connect(&key, &me, &target).await {
            Ok(mut connection) => {
                log::info!("event=link_up vm={name}");
                let end =
                    exchange(&node, &target, &mut connection, &mut queue, every, &heartbeat).await;
                match end {
                    Ok(()) => log::info!("event=link_closed vm={name}"),
                    Err(error) => log::warn!("event=link_down vm={name} error=\"{error:#}\""),
                }
            }
            Err(error) => log::debug!("event=link_refused vm={name} error=\"{error:#}\""),
        }
        // Requests that came while there was no connection were not sent.
        while queue.try_recv().is_ok() {}
        sleep(RECONNECT_AFTER).await;
    }
}

fn is_member(node: &Node, vm: VmKey) -> bool {
    node.with(|shared| shared.state.vms.contains_key(vm))
}

async fn connect(key: &SharedKey, me: &Identity, target: &Target) -> Result<Frames> {
    let work = async {
        let stream = TcpStream::connect(target.address).await.context("cannot connect")?;
        let mut frames = frames::wrap(stream)?;
        let other = handshake::as_dialer(&mut frames, key, me).await?;
        ensure!(other == target.identity, "the peer is {} session {}", other.name, other.session);
        Ok(frames)
    };
    timeout(CONNECT_TIMEOUT, work).await.context("no answer to the handshake")?
}

/// Carries requests and replies until the connection ends or the VM is no longer a member.
async fn exchange(
    node: &Node,
    target: &Target,
    connection: &mut Frames,
    queue: &mut mpsc::Receiver<OutgoingRequest>,
    every: Duration,
    heartbeat: &impl Fn(bool) -> Heartbeat,
) -> Result<()> {
    let mut pending: Slab<Pending> = Slab::new();
    let mut generation = 0_u32;
    let mut beat = interval(every);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut fresh = true;
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
                let id = number(entry.key(), generation);
                entry.insert(Pending { id, until: outgoing.until, reply });
                let request = codec::request_out(outgoing.request, now);
                let frame = frames::encode(id, Body::Request(request));
                count(node, &frame);
                connection.feed(frame).await?;
                if queue.is_empty() {
                    frames::flush(connection).await?;
                }
            }
            _ = beat.tick() => {
                if !is_member(node, target.vm) {
                    return Ok(());
                }
                let request = PeerRequest::Heartbeat(heartbeat(fresh));
                fresh = false;
                let request = codec::request_out(request, Instant::now());
                let frame = frames::encode(0, Body::Request(request));
                count(node, &frame);
                connection.send(frame).await?;
                forget_late(&mut pending, Instant::now());
            }
            frame = connection.next() => {
                let bytes = frame.context("the peer closed the connection")??;
                count(node, &bytes);
                let (id, body) = frames::decode(&bytes)?;
                let Body::Reply(reply) = body else { bail!("the peer sent no reply") };
                let reply = codec::reply_in(reply, Instant::now())?;
                // A reply after its deadline finds its place empty, or taken by a request of another
                // generation, and is dropped.
                let slot = slot_of(id);
                if pending.get(slot).is_some_and(|found| found.id == id) {
                    let _ = pending.remove(slot).reply.send(reply);
                }
            }
        }
    }
}

/// Counts the bytes of a frame and its length.
fn count(node: &Node, frame: &[u8]) {
    node.frame_bytes.fetch_add((frame.len() + LENGTH_BYTES) as u64, Ordering::Relaxed);
}

/// Drops requests whose senders no longer wait.
fn forget_late(pending: &mut Slab<Pending>, now: Instant) {
    pending.retain(|_, request| request.until > now);
}

fn number(slot: usize, generation: u32) -> u64 {
    (u64::from(generation) << 32) | (slot as u64 + 1)
}

fn slot_of(id: u64) -> usize {
    usize::try_from((id & u64::from(u32::MAX)).wrapping_sub(1)).unwrap_or(usize::MAX)
}
