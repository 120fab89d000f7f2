//! Keeps one task for each peer that this VM is responsible for: a link for each other VM, and a control
//! task for each worker that it owns. Fences VMs that have fallen silent.

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
    coriandertack_workers::{control, news::WorkerNews},
    futures::future::BoxFuture,
    tokio::{
        sync::mpsc,
        task::JoinSet,
        time::{Instant, sleep},
    },
};

use crate::routes::{self, Sent};

/// Requests that wait for a link. A full queue refuses, which the sender treats as not sent.
const LINK_QUEUE: usize = 4_096;

/// Longest time between two looks at the links and at hold-offs that have ended.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Silence after which a VM is fenced although others still hear it: a cut between two VMs must not stop
/// the recovery of teams for ever.
const FENCE_ALONE_AFTER: Duration = Duration::from_secs(15);

/// Time after which a fence that has not taken effect is appended again.
const FENCE_AGAIN: Duration = Duration::from_secs(2);

/// A fence under way.
#[derive(Clone, Copy)]
struct Fencing {
    session: Session,
    again_at: Instant,
}

/// Opens the connection to another VM and keeps it until the VM is no longer a member.
pub type OpenLink = Box<
    dyn Fn(Arc<Node>, Target, mpsc::Receiver<OutgoingRequest>) -> BoxFuture<'static, ()> + Send,
>;

/// Runs the control task of a worker until it is no longer owned here.
pub type OpenWorker = Box<
    dyn Fn(
            Arc<Node>,
            WorkerKey,
            mpsc::UnboundedReceiver<WorkerCommand>,
            News,
        ) -> BoxFuture<'static, ()>
        + Send,
>;

/// Where the workers' tasks report.
pub type News = mpsc::Sender<(WorkerKey, WorkerNews)>;

/// How the peers' tasks are made. Tests put fakes in their place.
pub struct Openers {
    /// Makes the task of a link.
    pub link: OpenLink,
    /// Makes the task of a worker.
    pub worker: OpenWorker,
}

impl Openers {
    /// Returns the product's own: links over TCP, and control over HTTP.
    #[must_use]
    pub fn new(key: SharedKey, every: Duration) -> Self {
        let link: OpenLink = Box::new(move |node, target, queue| {
            let (key, me) = (key.clone(), identity(&node));
            let maker = Arc::clone(&node);
            let sent = Mutex::new(Sent::default());
            let heartbeat = move |fresh| {
                let mut sent = sent.lock().unwrap_or_else(PoisonError::into_inner);
                routes::heartbeat(&maker, fresh, &mut sent)
            };
            Box::pin(dial::run(node, key, me, target, queue, every, heartbeat))
        });
        let worker: OpenWorker = Box::new(|node, worker, commands, news| {
            Box::pin(async move {
                control::run(node, worker, commands, news).await;
            })
        });
        Self { link, worker }
    }
}

/// Follows the tables of members and owners until the process stops.
pub async fn run(node: Arc<Node>, openers: Openers, news: News) {
    let mut tasks = JoinSet::new();
    let mut applied = node.applied_offset.subscribe();
    let mut fencing = None;
    while *node.stage.borrow() != Stage::Stopped {
        if let Some(me) = node.own_key() {
            open_links(&node, me, &openers.link, &mut tasks);
            open_workers(&node, me, &openers.worker, &news, &mut tasks);
            fence_silent(&node, me, &mut fencing);
        }
        tokio::select! {
            changed = applied.changed() => if changed.is_err() { return },
            () = sleep(LOOK_EVERY) => {}
            Some(_) = tasks.join_next() => {}
        }
    }
}

/// Opens a link to each member that has none, and drops those of former members.
fn open_links(node: &Arc<Node>, me: VmKey, open: &OpenLink, tasks: &mut JoinSet<()>) {
    let now = Instant::now();
    let opened = node.with(|shared| {
        let vms = &shared.state.vms;
        shared.links.retain(|vm, _| vms.contains_key(vm));
        let mut opened = Vec::new();
        for (vm, other) in vms.iter().filter(|(vm, _)| *vm != me) {
            if shared.links.contains_key(vm) {
                continue;
            }
            let (sender, queue) = mpsc::channel(LINK_QUEUE);
            shared.links.insert(vm, PeerLink::new(sender, now));
            let identity = Identity { name: other.info.name.clone(), session: other.session };
            opened.push((Target { vm, address: other.info.link, identity }, queue));
        }
        opened
    });
    for (target, queue) in opened {
        tasks.spawn(open(Arc::clone(node), target, queue));
    }
}

/// Returns this VM's name and session.
pub fn identity(node: &Node) -> Identity {
    let session = node.with(|shared| {
        let me = shared.state.vm_of(node.author);
        me.map_or(Session(0), |vm| shared.state.vms[vm].session)
    });
    Identity { name: node.info.name.clone(), session }
}

/// Starts the control task of each worker that has become this VM's.
fn open_workers(
    node: &Arc<Node>,
    me: VmKey,
    open: &OpenWorker,
    news: &News,
    tasks: &mut JoinSet<()>,
) {
    let opened = node.with(|shared| {
        let mut opened = Vec::new();
        for worker in owner::sync_workers(shared, me) {
            let (post, commands) = mpsc::unbounded_channel();
            shared.worker_queues.insert(worker, post);
            opened.push((worker, commands));
        }
        opened
    });
    for (worker, commands) in opened {
        let control = open(Arc::clone(node), worker, commands, news.clone());
        let node = Arc::clone(node);
        tasks.spawn(async move {
            control.await;
            // The worker may have come back under a new epoch, which needs a new task.
            node.with(|shared| {
                shared.worker_queues.remove(worker);
                shared.pool.remove_worker(worker);
            });
        });
    }
}

/// Appends a fence for a VM that has been silent for too long, one at a time.
fn fence_silent(node: &Arc<Node>, me: VmKey, fencing: &mut Option<Fencing>) {
    let now = Instant::now();
    let silent = node.with(|shared| {
        if !shared.validity.is_valid(now) {
            return None;
        }
        let links = &shared.links;
        let suspected = |vm: VmKey| links.get(vm).is_some_and(|link| link.is_suspected(now));
        // The lowest session that is heard writes the fence, so that one silence gives one record.
        let writer = shared.state.sessions.values().copied().find(|&vm| !suspected(vm));
        let members = shared.state.sessions.iter();
        let (&session, &vm) = members.into_iter().find(|&(_, &vm)| suspected(vm))?;
        let heard =
            links.values().any(|link| !link.is_suspected(now) && !link.suspects.contains(&session));
        let long = links.get(vm).is_some_and(|link| now >= link.suspect_at + FENCE_ALONE_AFTER);
        // A VM that is silent here and gone from the list has no use for the others' doubt.
        let listed = !node.unlisted_members.borrow().contains(&session);
        ((writer == Some(me) && !(heard && listed)) || long).then_some(session)
    });
    let under_way = |session| fencing.is_some_and(|f| f.session == session && now < f.again_at);
    let Some(session) = silent.filter(|&session| !under_way(session)) else { return };
    *fencing = Some(Fencing { session, again_at: now + FENCE_AGAIN });
    let node = Arc::clone(node);
    log::warn!("event=fence session={session} reason=silent");
    tokio::spawn(async move {
        if let Err(code) = node.submit_one("system", Record::Fence(session)).await {
            log::warn!("event=fence_failed session={session} code={}", code.number());
        }
    });
}
