//! Simulated links between VMs and simulated control tasks of workers.
//!
//! A request in transit while a VM is paused arrives after the pause, as it would from a paused process.

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
    coriandertack_workers::update::WorkerUpdate,
    coriandertackd::{
        members::{PeerTasks, UpdateSender},
        peers,
        routes::{self, LastSent},
    },
    tokio::{
        sync::mpsc,
        time::{Instant, interval, sleep, timeout},
    },
};

use crate::world::{Switches, World};

/// One-way latency of a message between two VMs.
const LATENCY: Duration = Duration::from_millis(2);

/// Interval of the heartbeats on each link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between two rounds of a control task.
const ROUND_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of lease renewals. It is shorter than the validity that limits the first lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_000);

/// Returns the constructors of simulated tasks for the VM with this index.
pub fn peer_tasks(world: &World, index: usize) -> PeerTasks {
    let (links, workers) = (world.clone(), world.clone());
    PeerTasks {
        link: Box::new(move |node, target, queue| {
            Box::pin(link(links.clone(), index, node, target, queue))
        }),
        worker: Box::new(move |node, worker, commands, updates| {
            Box::pin(control(workers.clone(), index, node, worker, commands, updates))
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
    let mut reset = true;
    let mut heartbeat_ticks = interval(HEARTBEAT_INTERVAL);
    while node.with(|shared| shared.state.vms.contains_key(target.vm)) {
        tokio::select! {
            outgoing = queue.recv() => {
                let Some(outgoing) = outgoing else { return };
                let (world, node) = (world.clone(), Arc::clone(&node));
                let name = target.identity.name.clone();
                tokio::spawn(forward(world, from, node, name, outgoing));
            }
            _ = heartbeat_ticks.tick() => {
                let heartbeat = routes::build_heartbeat(&node, reset, &mut sent);
                let request = PeerRequest::Heartbeat(heartbeat);
                let name = target.identity.name.clone();
                reset = deliver(&world, from, &node, &name, request).await.is_none();
            }
        }
    }
}

async fn forward(
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

/// Delivers a request to a VM and returns its answer, unless the link is broken or either process has ended.
async fn deliver(
    world: &World,
    from: usize,
    node: &Arc<Node>,
    name: &str,
    request: PeerRequest,
) -> Option<coriandertack_core::message::PeerReply> {
    let session = session_of(node);
    sleep(LATENCY + world.random(LATENCY)).await;
    world.switches(from).wait_while_paused().await;
    let (to, other, router) = world.find(name)?;
    world.switches(to).wait_while_paused().await;
    if is_broken(world, from, to) {
        return None;
    }
    let reply = peers::handle(other, router, session, request).await;
    sleep(LATENCY).await;
    world.switches(to).wait_while_paused().await;
    world.switches(from).wait_while_paused().await;
    (!is_broken(world, from, to)).then_some(reply)
}

fn is_broken(world: &World, first: usize, second: usize) -> bool {
    let broken_links = world.broken_links.lock().expect("no panic while locked");
    broken_links.contains(&(first, second)) || broken_links.contains(&(second, first))
}

/// Returns whether the node may send commands to a worker now.
fn may_act(node: &Node, worker: WorkerKey) -> bool {
    let now = Instant::now();
    node.with(|shared| {
        let own_key = shared.state.vm_of(node.author);
        shared.validity.is_valid(now)
            && own_key.is_some_and(|own_key| shared.state.can_act(own_key, worker, now))
    })
}

async fn control(
    world: World,
    vm: usize,
    node: Arc<Node>,
    worker: WorkerKey,
    mut commands: mpsc::UnboundedReceiver<WorkerCommand>,
    updates: UpdateSender,
) {
    let assignment = node.with(|shared| {
        let worker = shared.state.workers.get(worker)?;
        Some((worker.info.name.clone(), worker.owner.epoch))
    });
    let Some((name, epoch)) = assignment else { return };
    let Some(machine) = world.workers.iter().find(|machine| machine.name == name) else { return };
    let switches = world.switches(vm);
    let is_owned = || {
        node.with(|shared| {
            let own_key = shared.state.vm_of(node.author);
            let owner = shared.state.workers.get(worker).map(|worker| worker.owner);
            own_key.is_some()
                && owner.is_some_and(|owner| owner.vm == own_key && owner.epoch == epoch)
        })
    };
    while is_owned() && !may_act(&node, worker) {
        sleep(ROUND_INTERVAL).await;
    }
    let mut is_connected = false;
    let mut lease_end = Instant::now() + LEASE_TERM * 240;
    let mut renew_at = Instant::now();
    let mut cursor = 0;
    // Leases that were sent or listed, and were not reported as ended.
    let mut sent: BTreeSet<LeaseId> = BTreeSet::new();
    while is_owned() {
        if !machine.is_reachable() {
            if is_connected {
                let _ = updates.send((worker, WorkerUpdate::Unreachable { lease_end })).await;
            }
            is_connected = false;
            sleep(ROUND_INTERVAL).await;
            continue;
        }
        if !is_connected {
            if !may_act(&node, worker) {
                sleep(ROUND_INTERVAL).await;
                continue;
            }
            let running = machine.list();
            let listed: BTreeSet<LeaseId> = running.iter().map(|task| task.lease).collect();
            let lost: Vec<LeaseId> = sent.difference(&listed).copied().collect();
            let list = WorkerUpdate::Listed { running, ended: Vec::new() };
            if updates.send((worker, list)).await.is_err() {
                return;
            }
            cursor = 0;
            for event in machine.events(&mut cursor) {
                let _ = updates.send((worker, WorkerUpdate::Event(event))).await;
            }
            // A lease that is no longer listed has ended, or its start never ran.
            for lease in lost {
                let (cause, peak) = (EndCause::LeaseExpired, Resources::ZERO);
                let end = WorkerEvent::Ended { lease, cause, run_ms: 0, peak };
                let _ = updates.send((worker, WorkerUpdate::Event(end))).await;
            }
            sent = listed;
            is_connected = true;
        }
        let now = Instant::now();
        if now >= renew_at {
            renew_at = now + RENEW_INTERVAL;
            lease_end = now + LEASE_TERM;
            deliver_late(&switches, || machine.renew(lease_end)).await;
        }
        if may_act(&node, worker) {
            while let Ok(command) = commands.try_recv() {
                // The command can still arrive after the validity that was just checked has expired.
                let until = node.valid_until();
                if let WorkerCommand::Start { spec, .. } = &command {
                    sent.insert(spec.lease);
                }
                deliver_late(&switches, || machine.command(&command, until)).await;
            }
        }
        for event in machine.events(&mut cursor) {
            switches.wait_while_paused().await;
            if let WorkerEvent::Ended { lease, .. } = &event {
                sent.remove(lease);
            }
            if updates.send((worker, WorkerUpdate::Event(event))).await.is_err() {
                return;
            }
        }
        let _ = timeout(ROUND_INTERVAL, machine.changed()).await;
    }
}

/// Runs `send` after the latency of the network and, if the VM is paused, after the pause.
async fn deliver_late<T>(switches: &Switches, send: impl FnOnce() -> T) -> T {
    sleep(Duration::from_millis(1)).await;
    switches.wait_while_paused().await;
    send()
}
