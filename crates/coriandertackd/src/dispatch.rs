//! The home's task: hands queued work to owners.
//!
//! One loop for the process. It picks what the quotas allow, places what fits on the workers owned
//! here at once, and asks other owners for the rest. Each request to another VM is a task of its own, so that
//! a silent VM holds up only what was asked of it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use {
    coriandertack_core::{
        code::Code,
        home::PickedWork,
        keys::{Epoch, LeaseId, Offset, VmKey},
        message::{AttemptSpec, PeerReply, PeerRequest, PlacementOutcome, PlacementRequest},
        node::{Node, SharedState, Stage},
        owner,
        owner_selection::OwnerChoice,
        pool::WorkerFilter,
        record::{Kind, Record, TaskEnd},
    },
    tokio::time::{Instant, sleep},
};

use crate::{gang, owners, recover};

/// Picks of one round; a round holds the lock for the local placements, at some microseconds each.
const MAX_PICKS: usize = 256;

/// Longest pause between rounds: the resolution of stored deadlines such as a class queue's next try.
const ROUND_EVERY: Duration = Duration::from_millis(50);

/// Places queued work for as long as the process serves.
pub async fn run(node: Arc<Node>) {
    let mut stage = node.stage.subscribe();
    let mut synced = Offset(0);
    let mut recovering = recover::Recovering::default();
    while *stage.borrow_and_update() != Stage::Stopped {
        synced = sync(&node, synced);
        recovering.start(&node);
        let more = round(&node);
        if more {
            tokio::task::yield_now().await;
            continue;
        }
        tokio::select! {
            () = node.work_available.notified() => {}
            () = sleep(ROUND_EVERY) => {}
            changed = stage.changed() => if changed.is_err() { return },
        }
    }
}

/// Brings the queues in line with the state if it has changed since `synced`.
fn sync(node: &Node, synced: Offset) -> Offset {
    let now = Instant::now();
    node.with(|shared| {
        let Some(me) = shared.state.vm_of(node.author) else { return synced };
        if shared.state.moved_offset > synced {
            let capacities = shared.state.workers.values().map(|worker| worker.info.capacity);
            shared.profiles.set_capacities(capacities);
            let vms = &shared.state.vms;
            shared.team_queues.unbind_departed(|vm| vms.contains_key(vm), now);
            shared.team_queues.mark_stale();
        }
        // A hold-off ends without a record, so the homes are compared in every round.
        shared.team_queues.sync(&shared.state, me, now);
        shared.state.offset
    })
}

/// Runs one round. Returns whether there may be more to place at once.
fn round(node: &Arc<Node>) -> bool {
    let now = Instant::now();
    let (ends, stops) = node
        .with(|shared| (shared.team_queues.take_cancelled(now), shared.team_queues.due_stops(now)));
    if !ends.is_empty() {
        tokio::spawn(end_tasks(Arc::clone(node), ends, None));
    }
    for (vm, leases) in by_vm(stops) {
        tokio::spawn(stop(Arc::clone(node), vm, leases));
    }
    let Some(me) = node.own_key().filter(|_| node.is_valid()) else { return false };
    let picks = node.with(|shared| shared.team_queues.pick_work(&shared.profiles, now, MAX_PICKS));
    let more = picks.len() == MAX_PICKS;
    let (gangs, singles): (Vec<PickedWork>, Vec<PickedWork>) =
        picks.into_iter().partition(|pick| pick.specs[0].kind == Kind::Gang);
    for pick in gangs {
        // Only tasks that are being asked for can be put back when the gang finds no room.
        node.with(|shared| {
            pick.specs.iter().for_each(|spec| shared.team_queues.mark_asked(spec.lease, me, now));
        });
        tokio::spawn(gang::place(Arc::clone(node), me, pick));
    }
    let remote = node.with(|shared| place_here(shared, me, singles, now));
    for (vm, places) in remote {
        tokio::spawn(place_there(Arc::clone(node), vm, places));
    }
    more
}

/// Places what fits here, and returns the rest by the VM to ask.
fn place_here(
    shared: &mut SharedState,
    me: VmKey,
    picks: Vec<PickedWork>,
    now: Instant,
) -> BTreeMap<VmKey, Vec<PlacementRequest>> {
    let mut remote: BTreeMap<VmKey, Vec<PlacementRequest>> = BTreeMap::new();
    let until = shared.validity.deadline();
    for pick in picks {
        for spec in pick.specs {
            let lease = spec.lease;
            let here = OwnerChoice { vm: me, filter: WorkerFilter::Any };
            let OwnerChoice { vm, filter } = choose(shared, me, &spec, &[], now).unwrap_or(here);
            let place = PlacementRequest { spec, epoch: pick.epoch, until, filter, hold: false };
            shared.team_queues.mark_asked(lease, vm, now);
            if vm == me {
                let began = Instant::now();
                let placed = owner::place(shared, me, &place, now);
                shared.stats.decision_times.record(began.elapsed());
                note_wait(shared, lease, placed);
                shared.team_queues.handle_placement(lease, me, placed, until, now);
            } else {
                remote.entry(vm).or_default().push(place);
            }
        }
    }
    remote
}

/// Notes how long a task has waited, once it has its place.
fn note_wait(shared: &mut SharedState, lease: LeaseId, placed: PlacementOutcome) {
    let queued = shared.team_queues.task(lease.task).map(|task| task.queued_at);
    if let Some(queued) = queued.filter(|_| placed == PlacementOutcome::Granted) {
        shared.stats.wait_times.record(queued.elapsed());
        shared.stats.placed_tasks += 1;
    }
}

/// Chooses the owner to ask next.
fn choose(
    shared: &mut SharedState,
    me: VmKey,
    spec: &AttemptSpec,
    tried: &[OwnerChoice],
    now: Instant,
) -> Option<OwnerChoice> {
    let found = owners::choose(shared, me, std::slice::from_ref(spec), tried, now);
    if found.is_none() && spec.urgent {
        return owners::choose_for_urgent(shared, me, tried, now);
    }
    found
}

/// Asks another VM, and then the others in turn for what it has no room for.
async fn place_there(node: Arc<Node>, vm: VmKey, places: Vec<PlacementRequest>) {
    let placed = ask(&node, vm, places.clone()).await;
    let mut again = Vec::new();
    let now = Instant::now();
    node.with(|shared| {
        for (place, placed) in places.into_iter().zip(placed) {
            owners::answered(shared, OwnerChoice { vm, filter: place.filter }, &place.spec, placed);
            if placed == PlacementOutcome::Full && now < place.until {
                again.push(place);
            } else {
                note_wait(shared, place.spec.lease, placed);
                shared.team_queues.handle_placement(place.spec.lease, vm, placed, place.until, now);
            }
        }
    });
    for place in again {
        let tried = vec![OwnerChoice { vm, filter: place.filter }];
        place_anywhere(&node, place, tried).await;
    }
    node.work_available.notify_one();
}

/// Asks one owner after another until one has room.
async fn place_anywhere(node: &Node, mut place: PlacementRequest, mut tried: Vec<OwnerChoice>) {
    let Some(me) = node.own_key() else { return };
    let mut last = tried[0].vm;
    loop {
        let now = Instant::now();
        let lease = place.spec.lease;
        let next = node.with(|shared| choose(shared, me, &place.spec, &tried, now));
        let Some(choice) = next.filter(|_| now < place.until) else {
            node.with(|shared| {
                shared.team_queues.handle_placement(
                    lease,
                    last,
                    PlacementOutcome::Full,
                    place.until,
                    now,
                )
            });
            return;
        };
        let vm = choice.vm;
        place.filter = choice.filter;
        node.with(|shared| shared.team_queues.mark_asked(lease, vm, now));
        let placed = place_at(node, me, vm, place.clone()).await;
        node.with(|shared| owners::answered(shared, choice, &place.spec, placed));
        if placed != PlacementOutcome::Full {
            let now = Instant::now();
            node.with(|shared| {
                shared.team_queues.handle_placement(lease, vm, placed, place.until, now)
            });
            return;
        }
        tried.push(choice);
        last = vm;
    }
}

/// Asks one owner, which may be this VM, to place one task.
pub async fn place_at(
    node: &Node,
    me: VmKey,
    vm: VmKey,
    place: PlacementRequest,
) -> PlacementOutcome {
    if vm == me {
        return node.with(|shared| owner::place(shared, me, &place, Instant::now()));
    }
    ask(node, vm, vec![place]).await[0]
}

/// Asks another VM to place tasks. Answers that do not come are unknown, unless nothing was sent.
async fn ask(node: &Node, vm: VmKey, places: Vec<PlacementRequest>) -> Vec<PlacementOutcome> {
    let count = places.len();
    let until = places[0].until;
    match node.request(vm, PeerRequest::Place(places), until).await {
        Ok(PeerReply::Placed(placed)) if placed.len() == count => placed,
        Ok(PeerReply::Refused(_)) | Err(Code::NotReady) => vec![PlacementOutcome::Full; count],
        Ok(_) | Err(_) => vec![PlacementOutcome::Unknown; count],
    }
}

/// Lets the owner stop tasks, which may be this VM.
pub async fn stop(node: Arc<Node>, vm: VmKey, leases: Vec<LeaseId>) {
    if node.own_key() == Some(vm) {
        node.with(|shared| owner::release(shared, &leases));
        return;
    }
    let until = Instant::now() + Duration::from_secs(2);
    // The home sends a stop again for as long as the task is not reported as ended.
    let _ = node.request(vm, PeerRequest::Release(leases), until).await;
}

/// Brings ends to the log, and acknowledges them to the owner that reported them.
pub async fn end_tasks(node: Arc<Node>, ends: Vec<TaskEnd>, vm: Option<(VmKey, Vec<LeaseId>)>) {
    let tasks: Vec<_> = ends.iter().map(|end| end.task).collect();
    let result = node.submit_one("system", Record::Ended(ends)).await;
    let now = Instant::now();
    if result.is_ok() {
        node.with(|shared| {
            for task in tasks {
                shared.team_queues.remove_finished(task);
            }
            shared.team_queues.retry_now(now);
        });
        node.work_available.notify_one();
        if let Some((vm, leases)) = vm {
            acknowledge(&node, vm, leases).await;
        }
        return;
    }
    log::warn!("event=ends_not_logged tasks={} verdict={result:?}", tasks.len());
    let back = vm.map(|(vm, _)| vm).or_else(|| node.own_key());
    if let Some(vm) = back {
        node.with(|shared| {
            tasks.iter().for_each(|&task| shared.team_queues.retry_end(task, vm, now))
        });
    }
}

/// Lets an owner forget ends.
pub async fn acknowledge(node: &Node, vm: VmKey, leases: Vec<LeaseId>) {
    if node.own_key() == Some(vm) {
        node.with(|shared| owner::acknowledge_ends(shared, &leases));
        return;
    }
    let until = Instant::now() + Duration::from_secs(2);
    // An owner that misses this reports the end again.
    let _ = node.request(vm, PeerRequest::AckEnds(leases), until).await;
}

fn by_vm(leases: Vec<(VmKey, LeaseId)>) -> BTreeMap<VmKey, Vec<LeaseId>> {
    let mut sorted: BTreeMap<VmKey, Vec<LeaseId>> = BTreeMap::new();
    for (vm, lease) in leases {
        sorted.entry(vm).or_default().push(lease);
    }
    sorted
}

/// Asks the owners again for leases whose first request was not answered.
pub async fn settle(node: Arc<Node>, vm: VmKey, leases: Vec<LeaseId>) {
    let placed = if node.own_key() == Some(vm) {
        node.with(|shared| owner::settle_leases(shared, &leases, Instant::now()))
    } else {
        let until = Instant::now() + Duration::from_secs(2);
        match node.request(vm, PeerRequest::Settle(leases.clone()), until).await {
            Ok(PeerReply::Placed(placed)) => placed,
            _ => return,
        }
    };
    let now = Instant::now();
    node.with(|shared| {
        for (lease, placed) in leases.into_iter().zip(placed) {
            shared.team_queues.settle_lease(lease, vm, placed == PlacementOutcome::Granted, now);
        }
    });
    node.work_available.notify_one();
}

/// Returns the epoch and the needs of a pick as requests to hold capacity.
pub fn holds(specs: &[AttemptSpec], epoch: Epoch, until: Instant) -> Vec<PlacementRequest> {
    specs
        .iter()
        .map(|spec| PlacementRequest {
            spec: spec.clone(),
            epoch,
            until,
            filter: WorkerFilter::Any,
            hold: true,
        })
        .collect()
}
