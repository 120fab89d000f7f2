//! Fakes of the links between VMs and of the workers' control tasks.
//!
//! A request that is under way while a VM is paused arrives late, as it would from a paused process.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use {
    coriandertack_core::{
        keys::{LeaseId, Session, WorkerKey},
        message::{EndCause, OutgoingRequest, PeerRequest, WorkerCommand, WorkerEvent},
        node::Node,
        resources::Resources,
        validity::LEASE_TERM,
    },
    coriandertack_peers::dial::Target,
    coriandertack_workers::news::WorkerNews,
    coriandertackd::{
        members::{NewsSender, PeerTasks},
        peers,
        routes::{self, LastSent},
    },
    tokio::{
        sync::mpsc,
        time::{Instant, interval, sleep, timeout},
    },
};

use crate::world::{Switches, World};

/// One way of a message between two VMs.
const LATENCY: Duration = Duration::from_millis(2);

/// Time between heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// Time between rounds of a control task.
const ROUND: Duration = Duration::from_millis(20);

/// Time between renewals, shorter than the validity that bounds the first lease.
const RENEW: Duration = Duration::from_millis(1_000);

/// Returns the fakes for the VM with this index.
pub fn openers(world: &World, index: usize) -> PeerTasks {
    let (links, workers) = (world.clone(), world.clone());
    PeerTasks {
        link: Box::new(move |node, target, queue| {
            Box::pin(link(links.clone(), index, node, target, queue))
        }),
        worker: Box::new(move |node, worker, commands, news| {
            Box::pin(control(workers.clone(), index, node, worker, commands, news))
        }),
    }
}

fn session_of(node: &Node) -> Session {
    node.session().unwrap_or(Session(0))
}

async fn link(
    world: World,
    from: usize,
    node: Arc<Node>,
    target: Target,
    mut queue: mpsc::Receiver<OutgoingRequest>,
) {
    let mut sent = LastSent::default();
    let mut fresh = true;
    let mut beat = interval(HEARTBEAT);
    while node.with(|shared| shared.state.vms.contains_key(target.vm)) {
        tokio::select! {
            outgoing = queue.recv() => {
                let Some(outgoing) = outgoing else { return };
                let (world, node) = (world.clone(), Arc::clone(&node));
                let name = target.identity.name.clone();
                tokio::spawn(carry(world, from, node, name, outgoing));
            }
            _ = beat.tick() => {
                let heartbeat = routes::build_heartbeat(&node, fresh, &mut sent);
                let request = PeerRequest::Heartbeat(heartbeat);
                let name = target.identity.name.clone();
                fresh = deliver(&world, from, &node, &name, request).await.is_none();
            }
        }
    }
}

async fn carry(
    world: World,
    from: usize,
    node: Arc<Node>,
    name: String,
    outgoing: OutgoingRequest,
) {
    let OutgoingRequest { request, until, reply } = outgoing;
    let _ = until;
    if let Some(answer) = deliver(&world, from, &node, &name, request).await {
        let _ = reply.send(answer);
    }
}

/// Brings a request to a VM and its answer back, unless the two are cut off or one of them is gone.
async fn deliver(
    world: &World,
    from: usize,
    node: &Arc<Node>,
    name: &str,
    request: PeerRequest,
) -> Option<coriandertack_core::message::PeerReply> {
    let session = session_of(node);
    sleep(LATENCY + world.random(LATENCY)).await;
    world.switches(from).thawed().await;
    let (to, other, router) = world.find(name)?;
    world.switches(to).thawed().await;
    if is_cut(world, from, to) {
        return None;
    }
    let reply = peers::handle(other, router, session, request).await;
    sleep(LATENCY).await;
    world.switches(to).thawed().await;
    world.switches(from).thawed().await;
    (!is_cut(world, from, to)).then_some(reply)
}

fn is_cut(world: &World, one: usize, two: usize) -> bool {
    let cuts = world.cuts.lock().expect("no panic while locked");
    cuts.contains(&(one, two)) || cuts.contains(&(two, one))
}

/// Tells whether the node may send commands to a worker now.
fn may_act(node: &Node, worker: WorkerKey) -> bool {
    let now = Instant::now();
    node.with(|shared| {
        let me = shared.state.vm_of(node.author);
        shared.validity.is_valid(now) && me.is_some_and(|me| shared.state.can_act(me, worker, now))
    })
}

async fn control(
    world: World,
    vm: usize,
    node: Arc<Node>,
    worker: WorkerKey,
    mut commands: mpsc::UnboundedReceiver<WorkerCommand>,
    news: NewsSender,
) {
    let known = node.with(|shared| {
        let worker = shared.state.workers.get(worker)?;
        Some((worker.info.name.clone(), worker.owner.epoch))
    });
    let Some((name, epoch)) = known else { return };
    let Some(machine) = world.workers.iter().find(|machine| machine.name == name) else { return };
    let switches = world.switches(vm);
    let owned = || {
        node.with(|shared| {
            let me = shared.state.vm_of(node.author);
            let holding = shared.state.workers.get(worker).map(|worker| worker.owner);
            me.is_some()
                && holding.is_some_and(|holding| holding.vm == me && holding.epoch == epoch)
        })
    };
    while owned() && !may_act(&node, worker) {
        sleep(ROUND).await;
    }
    let mut contact = false;
    let mut lease_end = Instant::now() + LEASE_TERM * 240;
    let mut renew_at = Instant::now();
    let mut told = 0;
    // Leases that were sent or listed, and have not been reported as ended.
    let mut sent: BTreeSet<LeaseId> = BTreeSet::new();
    while owned() {
        if !machine.is_reachable() {
            if contact {
                let _ = news.send((worker, WorkerNews::Unreachable { lease_end })).await;
            }
            contact = false;
            sleep(ROUND).await;
            continue;
        }
        if !contact {
            if !may_act(&node, worker) {
                sleep(ROUND).await;
                continue;
            }
            let running = machine.list();
            let listed: BTreeSet<LeaseId> = running.iter().map(|task| task.lease).collect();
            let lost: Vec<LeaseId> = sent.difference(&listed).copied().collect();
            let list = WorkerNews::Listed { running, ended: Vec::new() };
            if news.send((worker, list)).await.is_err() {
                return;
            }
            told = 0;
            for event in machine.events(&mut told) {
                let _ = news.send((worker, WorkerNews::Event(event))).await;
            }
            // A start without an answer that is not listed did not run; a listed task that is gone ended.
            for lease in lost {
                let (cause, peak) = (EndCause::LeaseExpired, Resources::ZERO);
                let end = WorkerEvent::Ended { lease, cause, run_ms: 0, peak };
                let _ = news.send((worker, WorkerNews::Event(end))).await;
            }
            sent = listed;
            contact = true;
        }
        let now = Instant::now();
        if now >= renew_at {
            renew_at = now + RENEW;
            lease_end = now + LEASE_TERM;
            late(&switches, || machine.renew(lease_end)).await;
        }
        if may_act(&node, worker) {
            while let Ok(command) = commands.try_recv() {
                // The check has been made; the command may still arrive late.
                let until = node.valid_until();
                if let WorkerCommand::Start { spec, .. } = &command {
                    sent.insert(spec.lease);
                }
                late(&switches, || machine.command(&command, until)).await;
            }
        }
        for event in machine.events(&mut told) {
            switches.thawed().await;
            if let WorkerEvent::Ended { lease, .. } = &event {
                sent.remove(lease);
            }
            if news.send((worker, WorkerNews::Event(event))).await.is_err() {
                return;
            }
        }
        let _ = timeout(ROUND, machine.changed()).await;
    }
}

/// Runs `send` after the network's delay, and after a pause of the VM.
async fn late<T>(switches: &Switches, send: impl FnOnce() -> T) -> T {
    sleep(Duration::from_millis(1)).await;
    switches.thawed().await;
    send()
}
