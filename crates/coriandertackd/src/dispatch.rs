//! The home's dispatch loop, which assigns queued tasks to owners.
//!
//! There is one loop per process. Each round picks tasks within the quotas, places what fits on local workers at once
//! and asks other owners for the rest. Each request to another VM runs in a task of its own, so that an unresponsive
//! VM delays only the tasks it was asked for.

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

/// Most picks in one round. The shared state stays locked during local placements, which take some microseconds each.
const MAX_PICKS_PER_ROUND: usize = 256;

/// Longest time between rounds, and so the resolution of stored deadlines such as a class queue's `retry_at`.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Dispatches queued work until the node has stopped.
pub async fn run(node: Arc<Node>) {
    let mut stage = node.stage.subscribe();
    let mut synced = Offset(0);
    let mut recovering = recover::RecoveryTracker::default();
    while *stage.borrow_and_update() != Stage::Stopped {
        synced = sync_queues(&node, synced);
        recovering.start(&node);
        let more = run_round(&node);
        if more {
            tokio::task::yield_now().await;
            continue;
        }
        tokio::select! {
            () = node.work_available.notified() => {}
            () = sleep(ROUND_INTERVAL) => {}
            changed = stage.changed() => if changed.is_err() { return },
        }
    }
}

/// Synchronizes the queues with the replicated state. Returns the offset up to which they are synchronized.
fn sync_queues(node: &Node, synced: Offset) -> Offset {
    let now = Instant::now();
    node.with(|shared| {
        let Some(own_key) = shared.state.vm_of(node.author) else { return synced };
        if shared.state.ownership_offset > synced {
            let capacities = shared.state.workers.values().map(|worker| worker.info.capacity);
            shared.profiles.set_capacities(capacities);
            let vms = &shared.state.vms;
            shared.team_queues.unbind_departed(|vm| vms.contains_key(vm), now);
            shared.team_queues.mark_stale();
        }
        // A hold-off ends without a log record, so the homes of teams are checked in every round.
        shared.team_queues.sync(&shared.state, own_key, now);
        shared.state.offset
    })
}

/// Runs one round. Returns whether the round was full, so that the next one should follow at once.
fn run_round(node: &Arc<Node>) -> bool {
    let now = Instant::now();
    let (ends, stops) = node
        .with(|shared| (shared.team_queues.take_cancelled(now), shared.team_queues.due_stops(now)));
    if !ends.is_empty() {
        tokio::spawn(log_ends(Arc::clone(node), ends, None));
    }
    for (vm, leases) in group_by_owner(stops) {
        tokio::spawn(stop_tasks(Arc::clone(node), vm, leases));
    }
    let Some(own_key) = node.own_key().filter(|_| node.is_valid()) else { return false };
    let picks = node
        .with(|shared| shared.team_queues.pick_work(&shared.profiles, now, MAX_PICKS_PER_ROUND));
    let more = picks.len() == MAX_PICKS_PER_ROUND;
    let (gangs, singles): (Vec<PickedWork>, Vec<PickedWork>) =
        picks.into_iter().partition(|pick| pick.specs[0].kind == Kind::Gang);
    for pick in gangs {
        // A gang that does not fit is queued again, which is possible only for tasks marked as asked.
        node.with(|shared| {
            pick.specs
                .iter()
                .for_each(|spec| shared.team_queues.mark_asked(spec.lease, own_key, now));
        });
        tokio::spawn(gang::place(Arc::clone(node), own_key, pick));
    }
    let remote = node.with(|shared| place_local(shared, own_key, singles, now));
    for (vm, requests) in remote {
        tokio::spawn(place_remote(Arc::clone(node), vm, requests));
    }
    more
}

/// Places tasks on local workers where the local VM is the best owner. Returns the other requests by the VM to ask.
fn place_local(
    shared: &mut SharedState,
    own_key: VmKey,
    picks: Vec<PickedWork>,
    now: Instant,
) -> BTreeMap<VmKey, Vec<PlacementRequest>> {
    let mut remote: BTreeMap<VmKey, Vec<PlacementRequest>> = BTreeMap::new();
    let until = shared.validity.deadline();
    for pick in picks {
        for spec in pick.specs {
            let lease = spec.lease;
            let local = OwnerChoice { vm: own_key, filter: WorkerFilter::Any };
            let OwnerChoice { vm, filter } =
                choose_owner(shared, own_key, &spec, &[], now).unwrap_or(local);
            let request = PlacementRequest { spec, epoch: pick.epoch, until, filter, hold: false };
            shared.team_queues.mark_asked(lease, vm, now);
            if vm == own_key {
                let start = Instant::now();
                let outcome = owner::place(shared, own_key, &request, now);
                shared.stats.decision_times.record(start.elapsed());
                record_wait(shared, lease, outcome);
                shared.team_queues.handle_placement(lease, own_key, outcome, until, now);
            } else {
                remote.entry(vm).or_default().push(request);
            }
        }
    }
    remote
}

/// Records how long a task has waited in its queue, if it was granted capacity.
fn record_wait(shared: &mut SharedState, lease: LeaseId, outcome: PlacementOutcome) {
    let queued_at = shared.team_queues.task(lease.task).map(|task| task.queued_at);
    if let Some(queued_at) = queued_at.filter(|_| outcome == PlacementOutcome::Granted) {
        shared.stats.wait_times.record(queued_at.elapsed());
        shared.stats.placed_tasks += 1;
    }
}

/// Returns the owner to ask next. For urgent work without room anywhere, this is an owner that can preempt.
fn choose_owner(
    shared: &mut SharedState,
    own_key: VmKey,
    spec: &AttemptSpec,
    tried: &[OwnerChoice],
    now: Instant,
) -> Option<OwnerChoice> {
    let found = owners::choose(shared, own_key, std::slice::from_ref(spec), tried, now);
    if found.is_none() && spec.urgent {
        return owners::choose_for_urgent(shared, own_key, tried, now);
    }
    found
}

/// Asks another VM to place tasks, and tries the remaining owners for those that it has no room for.
async fn place_remote(node: Arc<Node>, vm: VmKey, requests: Vec<PlacementRequest>) {
    let outcomes = request_placement(&node, vm, requests.clone()).await;
    let mut refused = Vec::new();
    let now = Instant::now();
    node.with(|shared| {
        for (request, outcome) in requests.into_iter().zip(outcomes) {
            owners::record_answer(
                shared,
                OwnerChoice { vm, filter: request.filter },
                &request.spec,
                outcome,
            );
            if outcome == PlacementOutcome::Full && now < request.until {
                refused.push(request);
            } else {
                record_wait(shared, request.spec.lease, outcome);
                shared.team_queues.handle_placement(
                    request.spec.lease,
                    vm,
                    outcome,
                    request.until,
                    now,
                );
            }
        }
    });
    for request in refused {
        let tried = vec![OwnerChoice { vm, filter: request.filter }];
        place_at_remaining(&node, request, tried).await;
    }
    node.work_available.notify_one();
}

/// Asks the owners that were not tried yet, one after another, until one has room or the request expires.
async fn place_at_remaining(
    node: &Node,
    mut request: PlacementRequest,
    mut tried: Vec<OwnerChoice>,
) {
    let Some(own_key) = node.own_key() else { return };
    let mut last = tried[0].vm;
    loop {
        let now = Instant::now();
        let lease = request.spec.lease;
        let next = node.with(|shared| choose_owner(shared, own_key, &request.spec, &tried, now));
        let Some(choice) = next.filter(|_| now < request.until) else {
            node.with(|shared| {
                shared.team_queues.handle_placement(
                    lease,
                    last,
                    PlacementOutcome::Full,
                    request.until,
                    now,
                )
            });
            return;
        };
        let vm = choice.vm;
        request.filter = choice.filter;
        node.with(|shared| shared.team_queues.mark_asked(lease, vm, now));
        let outcome = place_at(node, own_key, vm, request.clone()).await;
        node.with(|shared| owners::record_answer(shared, choice, &request.spec, outcome));
        if outcome != PlacementOutcome::Full {
            let now = Instant::now();
            node.with(|shared| {
                shared.team_queues.handle_placement(lease, vm, outcome, request.until, now)
            });
            return;
        }
        tried.push(choice);
        last = vm;
    }
}

/// Asks one owner, which may be the local VM, to place one task.
pub async fn place_at(
    node: &Node,
    own_key: VmKey,
    vm: VmKey,
    request: PlacementRequest,
) -> PlacementOutcome {
    if vm == own_key {
        return node.with(|shared| owner::place(shared, own_key, &request, Instant::now()));
    }
    request_placement(node, vm, vec![request]).await[0]
}

/// Asks another VM to place tasks. Without an answer their outcomes are unknown, unless the request was never sent.
pub async fn request_placement(
    node: &Node,
    vm: VmKey,
    requests: Vec<PlacementRequest>,
) -> Vec<PlacementOutcome> {
    let count = requests.len();
    let until = requests[0].until;
    match node.request(vm, PeerRequest::Place(requests), until).await {
        Ok(PeerReply::Placed(outcomes)) if outcomes.len() == count => outcomes,
        Ok(PeerReply::Refused(_)) | Err(Code::NotReady) => vec![PlacementOutcome::Full; count],
        Ok(_) | Err(_) => vec![PlacementOutcome::Unknown; count],
    }
}

/// Asks an owner, which may be the local VM, to stop tasks.
pub async fn stop_tasks(node: Arc<Node>, vm: VmKey, leases: Vec<LeaseId>) {
    if node.own_key() == Some(vm) {
        node.with(|shared| owner::release(shared, &leases));
        return;
    }
    let until = Instant::now() + Duration::from_secs(2);
    // The result is ignored, because the home repeats the stop until the task is reported as ended.
    let _ = node.request(vm, PeerRequest::Release(leases), until).await;
}

/// Appends the ends of tasks to the log, and then acknowledges them to the owner that reported them, if any.
///
/// If the append fails, the ends are retried.
pub async fn log_ends(node: Arc<Node>, ends: Vec<TaskEnd>, vm: Option<(VmKey, Vec<LeaseId>)>) {
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
    let reporter = vm.map(|(vm, _)| vm).or_else(|| node.own_key());
    if let Some(vm) = reporter {
        node.with(|shared| {
            tasks.iter().for_each(|&task| shared.team_queues.retry_end(task, vm, now))
        });
    }
}

/// Acknowledges ends to an owner, which then stops reporting them.
pub async fn acknowledge(node: &Node, vm: VmKey, leases: Vec<LeaseId>) {
    if node.own_key() == Some(vm) {
        node.with(|shared| owner::acknowledge_ends(shared, &leases));
        return;
    }
    let until = Instant::now() + Duration::from_secs(2);
    // The result is ignored, because an owner that misses the acknowledgement reports the end again.
    let _ = node.request(vm, PeerRequest::AckEnds(leases), until).await;
}

fn group_by_owner(leases: Vec<(VmKey, LeaseId)>) -> BTreeMap<VmKey, Vec<LeaseId>> {
    let mut sorted: BTreeMap<VmKey, Vec<LeaseId>> = BTreeMap::new();
    for (vm, lease) in leases {
        sorted.entry(vm).or_default().push(lease);
    }
    sorted
}

/// Asks an owner whether it granted leases whose placement request was not answered. From then on it refuses those that
/// it did not grant.
pub async fn settle(node: Arc<Node>, vm: VmKey, leases: Vec<LeaseId>) {
    let outcomes = if node.own_key() == Some(vm) {
        node.with(|shared| owner::settle_leases(shared, &leases, Instant::now()))
    } else {
        let until = Instant::now() + Duration::from_secs(2);
        match node.request(vm, PeerRequest::Settle(leases.clone()), until).await {
            Ok(PeerReply::Placed(outcomes)) => outcomes,
            _ => return,
        }
    };
    let now = Instant::now();
    node.with(|shared| {
        for (lease, outcome) in leases.into_iter().zip(outcomes) {
            shared.team_queues.settle_lease(lease, vm, outcome == PlacementOutcome::Granted, now);
        }
    });
    node.work_available.notify_one();
}

/// Returns requests that hold capacity for `specs` until a deadline, without starting the tasks.
pub fn hold_requests(specs: &[AttemptSpec], epoch: Epoch, until: Instant) -> Vec<PlacementRequest> {
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
