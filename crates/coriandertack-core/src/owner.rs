//! Decisions of the owner of workers: what it grants, to whom it answers, what it still has to report.
//!
//! Every function takes what the tasks share and decides at once. An owner acts only while its validity
//! holds and the hold-off of the worker is over; it refuses a home whose epoch is below the highest that
//! it knows, so that a former home cannot bind tasks any more. See docs/design.md, section 4.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    keys::{Epoch, LeaseId, Offset, VmKey, WorkerKey},
    message::{
        AttemptSpec, EndCause, Instance, ListedTask, Notice, PlacementOutcome, PlacementRequest,
        RunningTask, TaskEvent, WorkerCommand, WorkerEvent,
    },
    node::SharedState,
    pool::{Grant, GrantPhase, OwnedWorker, PlacementError, QuarantineChange},
    record::Kind,
    resources::Resources,
    usage_buffer::UsageBuffer,
    usage_meter::UsageMeter,
};

/// How long an owner refuses a lease that its home has given up, in case the request to place it arrives
/// late. No request is under way for longer: the link drops it with its deadline of 3 s.
const BAR_FOR: Duration = Duration::from_secs(60);

/// Time after which an end that the home has not acknowledged is reported again.
const REPORT_AGAIN: Duration = Duration::from_secs(1);

/// An end that the home has not acknowledged.
#[derive(Clone, Debug)]
struct Unacknowledged {
    notice: Notice,
    worker: WorkerKey,
    report_at: Instant,
}

/// What an owner remembers beside the grants.
#[derive(Clone, Debug, Default)]
pub struct OwnerState {
    ended: BTreeMap<LeaseId, Unacknowledged>,
    barred: HashMap<LeaseId, Instant>,
    epochs: HashMap<String, Epoch>,
    /// Leases whose worker has reported the start, with news that the home has not seen.
    started: Vec<Notice>,
    /// Usage that is not charged yet.
    pub usage: UsageBuffer,
    /// Use of the tasks on the workers owned here.
    usage_meter: UsageMeter,
}

/// Returns the team of a class.
#[must_use]
pub fn team_of(class: &str) -> &str {
    class.split_once('.').map_or(class, |(team, _)| team)
}

/// Brings the pool in line with the table of owners, and returns the workers that are new here.
pub fn sync_workers(shared: &mut SharedState, me: VmKey) -> Vec<WorkerKey> {
    let owned: Vec<WorkerKey> = shared.state.workers_owned_by(me).collect();
    let lost: Vec<WorkerKey> =
        shared.pool.workers().map(|(key, _)| key).filter(|key| !owned.contains(key)).collect();
    for key in lost {
        shared.pool.remove_worker(key);
        shared.worker_queues.remove(key);
        shared.owner_state.usage_meter.forget_worker(key);
        // The next owner learns of these ends from the worker, which keeps them until acknowledged.
        shared.owner_state.ended.retain(|_, end| end.worker != key);
    }
    let mut fresh = Vec::new();
    for key in owned {
        let worker = &shared.state.workers[key].info;
        let mut owned_worker =
            OwnedWorker::new(&worker.name, &worker.zone, &worker.rack, worker.capacity);
        owned_worker.schedulable = shared.state.takes_work(key);
        shared.pool.upsert_worker(key, owned_worker);
        if !shared.worker_queues.contains_key(key) {
            fresh.push(key);
        }
    }
    fresh
}

/// Decides on a request to place a task, and sends the start unless the capacity is only to be held.
pub fn place(
    shared: &mut SharedState,
    me: VmKey,
    place: &PlacementRequest,
    now: Instant,
) -> PlacementOutcome {
    let lease = place.spec.lease;
    if let Err(refused) = check(shared, place, now) {
        return refused;
    }
    let phase = if place.hold { GrantPhase::Held(place.until) } else { GrantPhase::Running };
    match shared.pool.place_filtered(&place.spec, phase, place.filter) {
        Ok(worker) if place.hold => {
            debug_assert!(shared.state.can_act(me, worker, now));
            PlacementOutcome::Granted
        }
        Ok(worker) => start(shared, worker, lease),
        Err(PlacementError::Duplicate) => PlacementOutcome::Granted,
        Err(PlacementError::Full) if place.spec.urgent && !place.hold => preempt(shared, place),
        Err(PlacementError::Full) => PlacementOutcome::Full,
    }
}

/// Decides on requests to hold capacity for a gang: near each other if all of them fit here, else as many
/// as there is room for.
pub fn hold_all(
    shared: &mut SharedState,
    me: VmKey,
    places: &[PlacementRequest],
    now: Instant,
) -> Vec<PlacementOutcome> {
    let each =
        |shared: &mut SharedState| places.iter().map(|one| place(shared, me, one, now)).collect();
    let Some(first) = places.first().filter(|first| first.hold && places.len() > 1) else {
        return each(shared);
    };
    if places.iter().any(|place| check(shared, place, now).is_err()) {
        return each(shared);
    }
    let specs: Vec<AttemptSpec> = places.iter().map(|place| place.spec.clone()).collect();
    match shared.pool.place_all_filtered(&specs, GrantPhase::Held(first.until), first.filter) {
        Ok(_) => vec![PlacementOutcome::Granted; places.len()],
        Err(_) => each(shared),
    }
}

/// Refuses what a former home asks, and everything while this VM may not act.
fn check(
    shared: &SharedState,
    place: &PlacementRequest,
    now: Instant,
) -> Result<(), PlacementOutcome> {
    let lease = place.spec.lease;
    let team = team_of(&place.spec.class);
    let valid = shared.validity.is_valid(now) && now < place.until;
    let current = place.epoch >= shared.owner_state.fence(team)
        && place.epoch >= shared.state.home_epoch(team);
    let open = !shared.owner_state.barred.contains_key(&lease)
        && !shared.owner_state.ended.contains_key(&lease);
    if valid && current && open { Ok(()) } else { Err(PlacementOutcome::Invalid) }
}

/// Stops batch work for urgent work, which starts as soon as the room is free.
fn preempt(shared: &mut SharedState, place: &PlacementRequest) -> PlacementOutcome {
    let Some(victims) = shared.pool.preempt(&place.spec) else { return PlacementOutcome::Full };
    let Some(post) = shared.worker_queues.get(victims.worker) else {
        shared.pool.release(place.spec.lease);
        return PlacementOutcome::Full;
    };
    for &lease in &victims.leases {
        // The worker handles commands in order, so the progress is saved before the stop.
        let _ = post.send(WorkerCommand::Checkpoint(lease));
        let _ = post.send(WorkerCommand::Stop(lease));
    }
    PlacementOutcome::Granted
}

/// Starts urgent work whose room has become free.
fn start_claimed(shared: &mut SharedState) {
    for grant in shared.pool.grant_claims() {
        start(shared, grant.worker, grant.spec.lease);
    }
}

/// Hands the start of a granted lease to the worker's task.
fn start(shared: &mut SharedState, worker: WorkerKey, lease: LeaseId) -> PlacementOutcome {
    let until = shared.validity.deadline();
    let spec = shared.pool.grant(lease).map(|grant| grant.spec.clone());
    let (Some(post), Some(spec)) = (shared.worker_queues.get(worker), spec) else {
        shared.pool.release(lease);
        return PlacementOutcome::Full;
    };
    if post.send(WorkerCommand::Start { spec, until }).is_err() {
        shared.pool.release(lease);
        return PlacementOutcome::Full;
    }
    PlacementOutcome::Granted
}

/// Starts tasks whose capacity is held.
pub fn commit(shared: &mut SharedState, leases: &[LeaseId], now: Instant) -> Vec<PlacementOutcome> {
    leases.iter().map(|&lease| commit_one(shared, lease, now)).collect()
}

fn commit_one(shared: &mut SharedState, lease: LeaseId, now: Instant) -> PlacementOutcome {
    let Some(&Grant { worker, phase, .. }) = shared.pool.grant(lease) else {
        return PlacementOutcome::Full;
    };
    match phase {
        GrantPhase::Held(until) if now < until && shared.validity.is_valid(now) => {
            shared.pool.set_phase(lease, GrantPhase::Running);
            start(shared, worker, lease)
        }
        GrantPhase::Held(_) => {
            shared.pool.release(lease);
            PlacementOutcome::Invalid
        }
        _ => PlacementOutcome::Granted,
    }
}

/// Lets go of held capacity and stops tasks.
pub fn release(shared: &mut SharedState, leases: &[LeaseId]) {
    for &lease in leases {
        if let Some(worker) = shared.pool.claim(lease).map(|claim| claim.worker) {
            // It has not started, so there is nothing to stop, but its home waits for the end.
            end(shared, worker, lease, ended_without_use(EndCause::Stopped), Instant::now());
            continue;
        }
        let Some(&Grant { worker, phase, .. }) = shared.pool.grant(lease) else { continue };
        if matches!(phase, GrantPhase::Held(_)) {
            shared.pool.release(lease);
            continue;
        }
        shared.pool.set_phase(lease, GrantPhase::Stopping);
        if let Some(post) = shared.worker_queues.get(worker) {
            // A closed queue means that the worker has another owner by now.
            let _ = post.send(WorkerCommand::Stop(lease));
        }
    }
}

/// Tells which leases have capacity, and refuses the others from now on.
pub fn settle_leases(
    shared: &mut SharedState,
    leases: &[LeaseId],
    now: Instant,
) -> Vec<PlacementOutcome> {
    shared.owner_state.barred.retain(|_, until| *until > now);
    let answer = |lease: &LeaseId| {
        let granted = shared.pool.grant(*lease).is_some() || shared.pool.claim(*lease).is_some();
        if granted || shared.owner_state.ended.contains_key(lease) {
            return PlacementOutcome::Granted;
        }
        shared.owner_state.barred.insert(*lease, now + BAR_FOR);
        PlacementOutcome::Full
    };
    leases.iter().map(answer).collect()
}

/// Lists the tasks of a team, and refuses its former homes from now on.
///
/// The list is complete if this VM is valid, has applied `offset`, and has read the list of every
/// worker that it owns, and if no worker that the VM list dropped may still run leases.
pub fn list_tasks(
    shared: &mut SharedState,
    team: &str,
    epoch: Epoch,
    offset: Offset,
    now: Instant,
) -> (Vec<ListedTask>, bool) {
    let fence = shared.owner_state.epochs.entry(team.to_owned()).or_default();
    *fence = epoch.max(*fence);
    let granted = shared.pool.grants().filter(|grant| team_of(&grant.spec.class) == team);
    let running = granted.map(|grant| (grant.spec.lease, grant.worker));
    // Urgent work that waits for preempted tasks starts later, so no other home may place it.
    let claimed = shared.pool.claims().filter(|claim| team_of(&claim.spec.class) == team);
    let running = running.chain(claimed.map(|claim| (claim.spec.lease, claim.worker)));
    let running = running.map(|(lease, worker)| ListedTask {
        lease,
        worker: owned_worker_name(shared, worker),
        ended: None,
    });
    let job_team =
        |lease: &LeaseId| shared.state.jobs.get(lease.task.job).map(|job| &job.spec.team);
    let over = shared
        .owner_state
        .ended
        .iter()
        .filter(|(lease, _)| job_team(lease).is_some_and(|t| t == team));
    let ended = over.map(|(&lease, end)| ListedTask {
        lease,
        worker: end.notice.worker.clone(),
        ended: match end.notice.event {
            TaskEvent::Ended { cause, .. } => Some(cause),
            TaskEvent::Running => None,
        },
    });
    let known = running.chain(ended).collect();
    let current = shared.validity.is_valid(now)
        && shared.state.offset >= offset
        && !shared.state.has_departing_workers(now);
    (known, current && shared.pool.is_reconciled())
}

fn owned_worker_name(shared: &SharedState, worker: WorkerKey) -> String {
    shared.pool.worker(worker).map(|owned_worker| owned_worker.name.to_string()).unwrap_or_default()
}

/// Handles the list that a worker gave of itself.
pub fn on_worker_list(shared: &mut SharedState, worker: WorkerKey, running: &[RunningTask]) {
    shared.pool.reconcile(worker, running);
    let name = owned_worker_name(shared, worker);
    let notices = running.iter().map(|task| Notice {
        lease: task.lease,
        worker: name.clone(),
        event: TaskEvent::Running,
    });
    shared.owner_state.started.extend(notices);
}

/// Handles one event of a worker. Returns whether capacity became free.
pub fn on_worker_event(
    shared: &mut SharedState,
    worker: WorkerKey,
    event: WorkerEvent,
    now: Instant,
) -> bool {
    match event {
        WorkerEvent::Started(lease) => {
            let notice = Notice {
                lease,
                worker: owned_worker_name(shared, worker),
                event: TaskEvent::Running,
            };
            shared.owner_state.started.push(notice);
            false
        }
        WorkerEvent::Ended { lease, cause, run_ms, peak } => {
            end(shared, worker, lease, TaskEvent::Ended { cause, run_ms, peak }, now);
            true
        }
        WorkerEvent::Usage { lease, interval, usage, end_ms, .. } => {
            report_usage(shared, worker, lease, interval, usage, end_ms);
            false
        }
        WorkerEvent::Checkpointed(lease) => {
            shared.pool.record_checkpoint(lease, now);
            false
        }
        WorkerEvent::Leaving => {
            shared.pool.set_leaving(worker);
            false
        }
    }
}

fn report_usage(
    shared: &mut SharedState,
    worker: WorkerKey,
    lease: LeaseId,
    interval: u32,
    usage: crate::record::Usage,
    end_ms: u64,
) {
    let sample = shared.owner_state.usage_meter.sample(worker, lease, interval, usage, end_ms);
    if let Some(used) = sample {
        meter(shared, worker, lease, used);
    }
    let mark = shared.state.ledger.watermark(lease);
    if interval >= mark {
        shared.owner_state.usage.record(lease, interval, usage, end_ms);
    } else if let Some(post) = shared.worker_queues.get(worker) {
        // It is charged already: the acknowledgement was lost, or the former owner charged it.
        let _ = post.send(WorkerCommand::AckUsage { lease, to: mark });
    }
}

/// Learns from the use of a service, which may never end by itself, and limits tasks that use more than their share
/// of a busy worker.
fn meter(shared: &mut SharedState, worker: WorkerKey, lease: LeaseId, used: Resources) {
    let service = shared.pool.grant(lease).filter(|grant| grant.spec.kind == Kind::Service);
    if let Some(class) = service.map(|grant| Arc::clone(&grant.spec.class)) {
        shared.profiles.record_usage(&class, used);
    }
    let uses = shared.owner_state.usage_meter.task_usage(worker);
    let commands = shared.pool.throttle_commands(worker, &uses);
    if let Some(post) = shared.worker_queues.get(worker) {
        for command in commands {
            // A closed queue means that the worker has another owner by now.
            let _ = post.send(command);
        }
    }
}

fn end(
    shared: &mut SharedState,
    worker: WorkerKey,
    lease: LeaseId,
    event: TaskEvent,
    now: Instant,
) {
    shared.owner_state.usage_meter.forget(lease);
    let released = shared.pool.release(lease);
    if let (Some(grant), TaskEvent::Ended { cause, run_ms, .. }) = (released, event) {
        let report = shared.pool.record_end(worker, &grant.spec.class, cause, run_ms, now);
        if let QuarantineChange::Quarantined(_) = report {
            log::warn!("event=worker_quarantined worker={}", owned_worker_name(shared, worker));
        }
    }
    start_claimed(shared);
    let notice = Notice { lease, worker: owned_worker_name(shared, worker), event };
    let report = Unacknowledged { notice, worker, report_at: now };
    shared.owner_state.ended.entry(lease).or_insert(report);
}

/// Returns the news of a lease whose use is not known or nothing.
fn ended_without_use(cause: EndCause) -> TaskEvent {
    TaskEvent::Ended { cause, run_ms: 0, peak: Resources::ZERO }
}

/// Lets go of held capacity whose deadline has passed, and tells the homes, since a home that took over
/// may count on it.
pub fn expire_holds(shared: &mut SharedState, now: Instant) {
    let over = |grant: &&Grant| matches!(grant.phase, GrantPhase::Held(until) if until <= now);
    let held = shared.pool.grants().filter(over).map(|grant| (grant.spec.lease, grant.worker));
    for (lease, worker) in held.collect::<Vec<_>>() {
        end(shared, worker, lease, ended_without_use(EndCause::LeaseExpired), now);
    }
    shared.pool.expire_holds(now);
}

/// Ends every lease on a worker that cannot be reached and whose leases are over.
pub fn expire_worker(shared: &mut SharedState, worker: WorkerKey, now: Instant) {
    let on_worker = shared.pool.grants().filter(|grant| grant.worker == worker);
    // Claims go first: the ends of the others would start them on the worker.
    let claimed = shared.pool.claims().filter(|claim| claim.worker == worker);
    let claimed = claimed.map(|claim| claim.spec.lease);
    let leases: Vec<LeaseId> = claimed.chain(on_worker.map(|grant| grant.spec.lease)).collect();
    let event = ended_without_use(EndCause::LeaseExpired);
    for lease in leases {
        end(shared, worker, lease, event, now);
    }
    shared.pool.set_leases_expired(worker);
}

/// Returns the notices that are due, by the home that they go to.
pub fn due_notices(shared: &mut SharedState, now: Instant) -> Vec<(VmKey, Vec<Notice>)> {
    let mut due = std::mem::take(&mut shared.owner_state.started);
    for end in shared.owner_state.ended.values_mut().filter(|end| end.report_at <= now) {
        end.report_at = now + REPORT_AGAIN;
        due.push(end.notice.clone());
    }
    let mut by_home: BTreeMap<VmKey, Vec<Notice>> = BTreeMap::new();
    for notice in due {
        match home_of(shared, notice.lease) {
            Some(home) => by_home.entry(home).or_default().push(notice),
            // The job is not known here yet, or the team has no home for a moment.
            None if notice.event == TaskEvent::Running => shared.owner_state.started.push(notice),
            None => {}
        }
    }
    by_home.into_iter().collect()
}

fn home_of(shared: &SharedState, lease: LeaseId) -> Option<VmKey> {
    let job = shared.state.jobs.get(lease.task.job)?;
    shared.state.team(&job.spec.team)?.home.vm
}

/// Forgets ends that the home has dealt with, here and at the worker.
pub fn acknowledge_ends(shared: &mut SharedState, leases: &[LeaseId]) {
    for lease in leases {
        let Some(end) = shared.owner_state.ended.remove(lease) else { continue };
        if let Some(post) = shared.worker_queues.get(end.worker) {
            let _ = post.send(WorkerCommand::AckEnd(*lease));
        }
    }
}

/// Returns the services on the workers owned here.
#[must_use]
pub fn service_instances(shared: &SharedState) -> Vec<Instance> {
    let services = shared.pool.grants().filter(|grant| grant.spec.kind == Kind::Service);
    let running = services.filter(|grant| grant.phase == GrantPhase::Running);
    let mut instances: Vec<Instance> = running
        .filter_map(|grant| {
            let worker = shared.state.workers.get(grant.worker)?;
            let owned_worker = shared.pool.worker(grant.worker)?;
            Some(Instance {
                service: Arc::clone(&grant.spec.class),
                worker: Arc::clone(&owned_worker.name),
                address: worker.address(),
                zone: Arc::clone(&owned_worker.zone),
                open: owned_worker.schedulable,
            })
        })
        .collect();
    instances.sort_by(|one, two| (&one.service, &one.worker).cmp(&(&two.service, &two.worker)));
    instances
}

impl OwnerState {
    fn fence(&self, team: &str) -> Epoch {
        self.epochs.get(team).copied().unwrap_or_default()
    }

    /// Returns how many ends no home has acknowledged yet.
    #[must_use]
    pub fn unacknowledged(&self) -> usize {
        self.ended.len()
    }
}
