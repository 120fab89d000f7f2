//! The home's task: hands queued work to owners.
//!
//! One loop for the process. It picks what the quotas allow, places what fits on the workers owned
//! here at once, and asks other owners for the rest. Each request to another VM is a task of its own, so that
//! a silent VM holds up only what was asked of it.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use {
    coriandertack_core::{
        cell::Reach,
        code::Code,
        home::Pick,
        home_choice::Choice,
        keys::{Epoch, LeaseId, Offset, VmKey},
        message::{Ask, PeerReply, PeerRequest, Place, Placed},
        node::{Inner, Node, Stage},
        owner,
        record::{Kind, Record, TaskEnd},
    },
    tokio::time::{Instant, sleep},
};

use crate::{gang, owners, recover};

/// Picks of one round; a round holds the lock for the local placements, at some microseconds each.
const MAX_PICKS: usize = 256;

/// Longest pause between rounds: the resolution of stored deadlines such as a lane's next try.
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
            () = node.work.notified() => {}
            () = sleep(ROUND_EVERY) => {}
            changed = stage.changed() => if changed.is_err() { return },
        }
    }
}

/// Brings the queues in line with the state if it has changed since `synced`.
fn sync(node: &Node, synced: Offset) -> Offset {
    let now = Instant::now();
    node.with(|inner| {
        let Some(me) = inner.state.vm_of(node.author) else { return synced };
        if inner.state.moved > synced {
            let capacities = inner.state.workers.values().map(|worker| worker.info.capacity);
            inner.learner.set_workers(capacities);
            let vms = &inner.state.vms;
            inner.homes.unbind(|vm| vms.contains_key(vm), now);
            inner.homes.set_stale();
        }
        // A hold-off ends without a record, so the homes are compared in every round.
        inner.homes.sync(&inner.state, me, now);
        inner.state.offset
    })
}

/// Runs one round. Returns whether there may be more to place at once.
fn round(node: &Arc<Node>) -> bool {
    let now = Instant::now();
    let (ends, stops) = node.with(|inner| (inner.homes.cancelled(now), inner.homes.stops(now)));
    if !ends.is_empty() {
        tokio::spawn(end_tasks(Arc::clone(node), ends, None));
    }
    for (vm, leases) in by_vm(stops) {
        tokio::spawn(stop(Arc::clone(node), vm, leases));
    }
    let Some(me) = node.me().filter(|_| node.is_valid()) else { return false };
    let picks = node.with(|inner| inner.homes.pick(&inner.learner, now, MAX_PICKS));
    let more = picks.len() == MAX_PICKS;
    let (gangs, singles): (Vec<Pick>, Vec<Pick>) =
        picks.into_iter().partition(|pick| pick.asks[0].kind == Kind::Gang);
    for pick in gangs {
        // Only tasks that are being asked for can be put back when the gang finds no room.
        node.with(|inner| {
            pick.asks.iter().for_each(|ask| inner.homes.asked(ask.lease, me, now));
        });
        tokio::spawn(gang::place(Arc::clone(node), me, pick));
    }
    let remote = node.with(|inner| place_here(inner, me, singles, now));
    for (vm, places) in remote {
        tokio::spawn(place_there(Arc::clone(node), vm, places));
    }
    more
}

/// Places what fits here, and returns the rest by the VM to ask.
fn place_here(
    inner: &mut Inner,
    me: VmKey,
    picks: Vec<Pick>,
    now: Instant,
) -> BTreeMap<VmKey, Vec<Place>> {
    let mut remote: BTreeMap<VmKey, Vec<Place>> = BTreeMap::new();
    let until = inner.validity.until();
    for pick in picks {
        for ask in pick.asks {
            let lease = ask.lease;
            let here = Choice { vm: me, reach: Reach::Any };
            let Choice { vm, reach } = choose(inner, me, &ask, &[], now).unwrap_or(here);
            let place = Place { ask, epoch: pick.epoch, until, reach, hold: false };
            inner.homes.asked(lease, vm, now);
            if vm == me {
                let began = Instant::now();
                let placed = owner::place(inner, me, &place, now);
                inner.stats.decisions.note(began.elapsed());
                note_wait(inner, lease, placed);
                inner.homes.placed(lease, me, placed, until, now);
            } else {
                remote.entry(vm).or_default().push(place);
            }
        }
    }
    remote
}

/// Notes how long a task has waited, once it has its place.
fn note_wait(inner: &mut Inner, lease: LeaseId, placed: Placed) {
    let queued = inner.homes.task(lease.task).map(|task| task.queued);
    if let Some(queued) = queued.filter(|_| placed == Placed::Granted) {
        inner.stats.waits.note(queued.elapsed());
        inner.stats.granted += 1;
    }
}

/// Chooses the owner to ask next.
fn choose(
    inner: &mut Inner,
    me: VmKey,
    ask: &Ask,
    tried: &[Choice],
    now: Instant,
) -> Option<Choice> {
    let found = owners::choose(inner, me, std::slice::from_ref(ask), tried, now);
    if found.is_none() && ask.urgent {
        return owners::choose_for_urgent(inner, me, tried, now);
    }
    found
}

/// Asks another VM, and then the others in turn for what it has no room for.
async fn place_there(node: Arc<Node>, vm: VmKey, places: Vec<Place>) {
    let placed = ask(&node, vm, places.clone()).await;
    let mut again = Vec::new();
    let now = Instant::now();
    node.with(|inner| {
        for (place, placed) in places.into_iter().zip(placed) {
            owners::answered(inner, Choice { vm, reach: place.reach }, &place.ask, placed);
            if placed == Placed::Full && now < place.until {
                again.push(place);
            } else {
                note_wait(inner, place.ask.lease, placed);
                inner.homes.placed(place.ask.lease, vm, placed, place.until, now);
            }
        }
    });
    for place in again {
        let tried = vec![Choice { vm, reach: place.reach }];
        place_anywhere(&node, place, tried).await;
    }
    node.work.notify_one();
}

/// Asks one owner after another until one has room.
async fn place_anywhere(node: &Node, mut place: Place, mut tried: Vec<Choice>) {
    let Some(me) = node.me() else { return };
    let mut last = tried[0].vm;
    loop {
        let now = Instant::now();
        let lease = place.ask.lease;
        let next = node.with(|inner| choose(inner, me, &place.ask, &tried, now));
        let Some(choice) = next.filter(|_| now < place.until) else {
            node.with(|inner| inner.homes.placed(lease, last, Placed::Full, place.until, now));
            return;
        };
        let vm = choice.vm;
        place.reach = choice.reach;
        node.with(|inner| inner.homes.asked(lease, vm, now));
        let placed = place_at(node, me, vm, place.clone()).await;
        node.with(|inner| owners::answered(inner, choice, &place.ask, placed));
        if placed != Placed::Full {
            let now = Instant::now();
            node.with(|inner| inner.homes.placed(lease, vm, placed, place.until, now));
            return;
        }
        tried.push(choice);
        last = vm;
    }
}

/// Asks one owner, which may be this VM, to place one task.
pub async fn place_at(node: &Node, me: VmKey, vm: VmKey, place: Place) -> Placed {
    if vm == me {
        return node.with(|inner| owner::place(inner, me, &place, Instant::now()));
    }
    ask(node, vm, vec![place]).await[0]
}

/// Asks another VM to place tasks. Answers that do not come are unknown, unless nothing was sent.
async fn ask(node: &Node, vm: VmKey, places: Vec<Place>) -> Vec<Placed> {
    let count = places.len();
    let until = places[0].until;
    match node.ask(vm, PeerRequest::Place(places), until).await {
        Ok(PeerReply::Placed(placed)) if placed.len() == count => placed,
        Ok(PeerReply::Refused(_)) | Err(Code::NotReady) => vec![Placed::Full; count],
        Ok(_) | Err(_) => vec![Placed::Unknown; count],
    }
}

/// Lets the owner stop tasks, which may be this VM.
pub async fn stop(node: Arc<Node>, vm: VmKey, leases: Vec<LeaseId>) {
    if node.me() == Some(vm) {
        node.with(|inner| owner::release(inner, &leases));
        return;
    }
    let until = Instant::now() + Duration::from_secs(2);
    // The home sends a stop again for as long as the task is not reported as ended.
    let _ = node.ask(vm, PeerRequest::Release(leases), until).await;
}

/// Brings ends to the log, and acknowledges them to the owner that reported them.
pub async fn end_tasks(node: Arc<Node>, ends: Vec<TaskEnd>, vm: Option<(VmKey, Vec<LeaseId>)>) {
    let tasks: Vec<_> = ends.iter().map(|end| end.task).collect();
    let verdict = node.submit_one("system", Record::Ended(ends)).await;
    let now = Instant::now();
    if verdict.is_ok() {
        node.with(|inner| {
            for task in tasks {
                inner.homes.finished(task);
            }
            inner.homes.retry_now(now);
        });
        node.work.notify_one();
        if let Some((vm, leases)) = vm {
            acknowledge(&node, vm, leases).await;
        }
        return;
    }
    log::warn!("event=ends_not_logged tasks={} verdict={verdict:?}", tasks.len());
    let back = vm.map(|(vm, _)| vm).or_else(|| node.me());
    if let Some(vm) = back {
        node.with(|inner| tasks.iter().for_each(|&task| inner.homes.not_ended(task, vm, now)));
    }
}

/// Lets an owner forget ends.
pub async fn acknowledge(node: &Node, vm: VmKey, leases: Vec<LeaseId>) {
    if node.me() == Some(vm) {
        node.with(|inner| owner::acknowledge(inner, &leases));
        return;
    }
    let until = Instant::now() + Duration::from_secs(2);
    // An owner that misses this reports the end again.
    let _ = node.ask(vm, PeerRequest::AckEnds(leases), until).await;
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
    let placed = if node.me() == Some(vm) {
        node.with(|inner| owner::settle(inner, &leases, Instant::now()))
    } else {
        let until = Instant::now() + Duration::from_secs(2);
        match node.ask(vm, PeerRequest::Settle(leases.clone()), until).await {
            Ok(PeerReply::Placed(placed)) => placed,
            _ => return,
        }
    };
    let now = Instant::now();
    node.with(|inner| {
        for (lease, placed) in leases.into_iter().zip(placed) {
            inner.homes.settled(lease, vm, placed == Placed::Granted, now);
        }
    });
    node.work.notify_one();
}

/// Returns the epoch and the needs of a pick as requests to hold capacity.
pub fn holds(asks: &[Ask], epoch: Epoch, until: Instant) -> Vec<Place> {
    asks.iter()
        .map(|ask| Place { ask: ask.clone(), epoch, until, reach: Reach::Any, hold: true })
        .collect()
}
