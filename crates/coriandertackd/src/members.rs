//! Supervision of the tasks for peers: a link for each other VM, and a control task for each worker that this VM owns.
//! Also fences VMs that no longer send heartbeats.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use {
    coriandertack_core::{
        keys::{Session, VmKey, WorkerKey},
        message::{OutgoingRequest, WorkerCommand},
        node::{Node, Stage},
        owner,
        peer_link::PeerLink,
        record::Record,
    },
    coriandertack_peers::{
        SharedKey,
        dial::{self, Target},
        handshake::Identity,
    },
    coriandertack_workers::{control, update::WorkerUpdate},
    futures::future::BoxFuture,
    tokio::{
        sync::mpsc,
        task::JoinSet,
        time::{Instant, sleep},
    },
};

use crate::routes::{self, LastSent};

/// Capacity of a link's request queue. A full queue refuses requests, which senders treat as not sent.
const LINK_QUEUE_CAPACITY: usize = 4_096;

/// Longest time between two checks of the links and of hold-offs that have ended.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Silence after which a VM is fenced although others still receive its heartbeats. Without this limit, a broken path
/// between two VMs would block the recovery of teams for ever.
const LONE_SUSPICION_TIMEOUT: Duration = Duration::from_secs(15);

/// Time after which the fence record is appended again if it has not taken effect.
const FENCE_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// A fence record that was submitted and has not taken effect yet.
#[derive(Clone, Copy)]
struct PendingFence {
    session: Session,
    retry_at: Instant,
}

/// Creates the task that keeps a connection to another VM until that VM is no longer a member.
pub type NewLinkTask = Box<
    dyn Fn(Arc<Node>, Target, mpsc::Receiver<OutgoingRequest>) -> BoxFuture<'static, ()> + Send,
>;

/// Creates the control task of a worker, which runs until this VM no longer owns the worker.
pub type NewWorkerTask = Box<
    dyn Fn(
            Arc<Node>,
            WorkerKey,
            mpsc::UnboundedReceiver<WorkerCommand>,
            UpdateSender,
        ) -> BoxFuture<'static, ()>
        + Send,
>;

/// Channel on which the workers' control tasks report to the owner's task.
pub type UpdateSender = mpsc::Sender<(WorkerKey, WorkerUpdate)>;

/// Constructors of the tasks for peers. Tests supply their own, with simulated peers.
pub struct PeerTasks {
    /// Constructor of link tasks.
    pub link: NewLinkTask,
    /// Constructor of worker control tasks.
    pub worker: NewWorkerTask,
}

impl PeerTasks {
    /// Returns the constructors used in production: links over TCP, and worker control over HTTP.
    ///
    /// `heartbeat_interval` is that of the links.
    #[must_use]
    pub fn new(key: SharedKey, heartbeat_interval: Duration) -> Self {
        let link: NewLinkTask = Box::new(move |node, target, queue| {
            let (key, own_identity) = (key.clone(), identity(&node));
            let heartbeat_node = Arc::clone(&node);
            let sent = Mutex::new(LastSent::default());
            let heartbeat = move |reset| {
                let mut sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
                routes::build_heartbeat(&heartbeat_node, reset, &mut sent)
            };
            Box::pin(dial::run(
                node,
                key,
                own_identity,
                target,
                queue,
                heartbeat_interval,
                heartbeat,
            ))
        });
        let worker: NewWorkerTask = Box::new(|node, worker, commands, updates| {
            Box::pin(async move {
                control::run(node, worker, commands, updates).await;
            })
        });
        Self { link, worker }
    }
}

/// Starts tasks for new members and newly owned workers, and fences silent VMs, until the process stops.
pub async fn run(node: Arc<Node>, peer_tasks: PeerTasks, updates: UpdateSender) {
    let mut tasks = JoinSet::new();
    let mut applied = node.applied_offset.subscribe();
    let mut pending = None;
    while *node.stage.borrow() != Stage::Stopped {
        if let Some(own_key) = node.own_key() {
            start_links(&node, own_key, &peer_tasks.link, &mut tasks);
            start_worker_tasks(&node, own_key, &peer_tasks.worker, &updates, &mut tasks);
            fence_silent(&node, own_key, &mut pending);
        }
        tokio::select! {
            changed = applied.changed() => if changed.is_err() { return },
            () = sleep(CHECK_INTERVAL) => {}
            Some(_) = tasks.join_next() => {}
        }
    }
}

/// Starts a link task for each member that has none, and drops the links of former members.
fn start_links(node: &Arc<Node>, own_key: VmKey, new_task: &NewLinkTask, tasks: &mut JoinSet<()>) {
    let now = Instant::now();
    let new_peers = node.with(|shared| {
        let vms = &shared.state.vms;
        shared.links.retain(|vm, _| vms.contains_key(vm));
        let mut new_peers = Vec::new();
        for (vm, other) in vms.iter().filter(|(vm, _)| *vm != own_key) {
            if shared.links.contains_key(vm) {
                continue;
            }
            let (sender, queue) = mpsc::channel(LINK_QUEUE_CAPACITY);
            shared.links.insert(vm, PeerLink::new(sender, now));
            let identity = Identity { name: other.info.name.clone(), session: other.session };
            new_peers.push((Target { vm, address: other.info.link, identity }, queue));
        }
        new_peers
    });
    for (target, queue) in new_peers {
        tasks.spawn(new_task(Arc::clone(node), target, queue));
    }
}

/// Returns this VM's name and session, as sent in link handshakes. The session is 0 before the VM has joined.
pub fn identity(node: &Node) -> Identity {
    let session = node.with(|shared| {
        let own_key = shared.state.vm_of(node.author);
        own_key.map_or(Session(0), |vm| shared.state.vms[vm].session)
    });
    Identity { name: node.info.name.clone(), session }
}

/// Starts a control task for each worker that this VM has come to own.
fn start_worker_tasks(
    node: &Arc<Node>,
    own_key: VmKey,
    new_task: &NewWorkerTask,
    updates: &UpdateSender,
    tasks: &mut JoinSet<()>,
) {
    let new_peers = node.with(|shared| {
        let mut new_peers = Vec::new();
        for worker in owner::sync_workers(shared, own_key) {
            let (sender, commands) = mpsc::unbounded_channel();
            shared.worker_queues.insert(worker, sender);
            new_peers.push((worker, commands));
        }
        new_peers
    });
    for (worker, commands) in new_peers {
        let control = new_task(Arc::clone(node), worker, commands, updates.clone());
        let node = Arc::clone(node);
        tasks.spawn(async move {
            control.await;
            // The worker may be owned again under a new epoch. Without its queue, it gets a new control task.
            node.with(|shared| {
                shared.worker_queues.remove(worker);
                shared.pool.remove_worker(worker);
            });
        });
    }
}

/// Submits a fence record for a VM that has been silent for too long. At most one fence is pending at a time.
fn fence_silent(node: &Arc<Node>, own_key: VmKey, pending: &mut Option<PendingFence>) {
    let now = Instant::now();
    let silent = node.with(|shared| {
        if !shared.validity.is_valid(now) {
            return None;
        }
        let links = &shared.links;
        let is_suspected = |vm: VmKey| links.get(vm).is_some_and(|link| link.is_suspected(now));
        // Only the VM with the lowest session that is not suspected writes the fence, so that one silent VM leads to
        // one record.
        let writer = shared.state.sessions.values().copied().find(|&vm| !is_suspected(vm));
        let members = shared.state.sessions.iter();
        let (&session, &vm) = members.into_iter().find(|&(_, &vm)| is_suspected(vm))?;
        let heard_by_others =
            links.values().any(|link| !link.is_suspected(now) && !link.suspects.contains(&session));
        let timed_out =
            links.get(vm).is_some_and(|link| now >= link.suspect_at + LONE_SUSPICION_TIMEOUT);
        // A VM that is silent here and has left the VM list is fenced even if others still receive its heartbeats.
        let listed = !node.unlisted_members.borrow().contains(&session);
        ((writer == Some(own_key) && !(heard_by_others && listed)) || timed_out).then_some(session)
    });
    let is_pending =
        |session| pending.is_some_and(|fence| fence.session == session && now < fence.retry_at);
    let Some(session) = silent.filter(|&session| !is_pending(session)) else { return };
    *pending = Some(PendingFence { session, retry_at: now + FENCE_RETRY_INTERVAL });
    let node = Arc::clone(node);
    log::warn!("event=fence session={session} reason=silent");
    tokio::spawn(async move {
        if let Err(code) = node.submit_one("system", Record::Fence(session)).await {
            log::warn!("event=fence_failed session={session} code={}", code.number());
        }
    });
}
