//! Decisions of an owner of workers: grants, answers to homes, and notices that are still to be sent.
//!
//! Every function works on the shared state and returns without blocking. An owner acts only while its
//! validity lasts and the hold-off of the worker is over. It rejects requests of a home whose epoch is below
//! the highest epoch that it has seen, so that a former home can no longer bind tasks. See docs/design.md,
//! section 4.

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

/// How long an owner rejects a lease that its home has given up, in case the placement request arrives
/// late. This exceeds the lifetime of a request, which the link drops at its deadline after 3 s.
const BAR_DURATION: Duration = Duration::from_secs(60);

/// Interval at which an end is reported again until the home acknowledges it.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The end of a lease that the home has not acknowledged yet.
#[derive(Clone, Debug)]
struct UnacknowledgedEnd {
    notice: Notice,
    worker: WorkerKey,
    /// When the notice is sent next.
    report_at: Instant,
}

/// State of an owner beyond the grants of its pool.
#[derive(Clone, Debug, Default)]
pub struct OwnerState {
    unacknowledged_ends: BTreeMap<LeaseId, UnacknowledgedEnd>,
    /// Leases whose placement requests are rejected, each with the time until which it is barred.
    barred_leases: HashMap<LeaseId, Instant>,
    /// Highest home epoch seen for each team.
    home_epochs: HashMap<String, Epoch>,
    /// Notices of running tasks that have not been sent to their homes yet.
    unsent: Vec<Notice>,
    /// Usage intervals that are not charged yet.
    pub usage: UsageBuffer,
    /// Mean use of the tasks on the workers that this VM owns.
    usage_meter: UsageMeter,
}

/// Returns the team of a class, which is the part before the first dot.
#[must_use]
pub fn team_of(class: &str) -> &str {
    class.split_once('.').map_or(class, |(team, _)| team)
}

/// Updates the pool from the ownership table, and returns the owned workers that have no command queue yet.
pub fn sync_workers(shared: &mut SharedState, this_vm: VmKey) -> Vec<WorkerKey> {
    let owned: Vec<WorkerKey> = shared.state.workers_owned_by(this_vm).collect();
    let removed: Vec<WorkerKey> =
        shared.pool.workers().map(|(key, _)| key).filter(|key| !owned.contains(key)).collect();
    for key in removed {
        shared.pool.remove_worker(key);
        shared.worker_queues.remove(key);
        shared.owner_state.usage_meter.forget_worker(key);
        // The worker keeps its ends until they are acknowledged and reports them to the next owner.
        shared.owner_state.unacknowledged_ends.retain(|_, end| end.worker != key);
    }
    let mut added = Vec::new();
    for key in owned {
        let worker = &shared.state.workers[key].info;
        let mut owned_worker =
            OwnedWorker::new(&worker.name, &worker.zone, &worker.rack, worker.capacity);
        owned_worker.schedulable = shared.state.takes_work(key);
        shared.pool.upsert_worker(key, owned_worker);
        if !shared.worker_queues.contains_key(key) {
            added.push(key);
        }
    }
    added
}

/// Handles a placement request, and sends the start command unless the capacity is only to be held.
pub fn place(
    shared: &mut SharedState,
    this_vm: VmKey,
    request: &PlacementRequest,
    now: Instant,
) -> PlacementOutcome {
    let lease = request.spec.lease;
    if let Err(refused) = check_request(shared, request, now) {
        return refused;
    }
    let phase = if request.hold { GrantPhase::Held(request.until) } else { GrantPhase::Running };
    match shared.pool.place_filtered(&request.spec, phase, request.filter) {
        Ok(worker) if request.hold => {
            debug_assert!(shared.state.can_act(this_vm, worker, now));
            PlacementOutcome::Granted
        }
        Ok(worker) => send_start(shared, worker, lease),
        Err(PlacementError::Duplicate) => PlacementOutcome::Granted,
        Err(PlacementError::Full) if request.spec.urgent && !request.hold => {
            preempt(shared, request)
        }
        Err(PlacementError::Full) => PlacementOutcome::Full,
    }
}

/// Handles requests to hold capacity for the members of a gang.
///
/// If all members fit on the workers of this owner, they are placed close to each other. Otherwise each
/// request is handled on its own, and as many as possible are granted.
pub fn hold_all(
    shared: &mut SharedState,
    this_vm: VmKey,
    requests: &[PlacementRequest],
    now: Instant,
) -> Vec<PlacementOutcome> {
    let place_each = |shared: &mut SharedState| {
        requests.iter().map(|request| place(shared, this_vm, request, now)).collect()
    };
    let Some(first) = requests.first().filter(|first| first.hold && requests.len() > 1) else {
        return place_each(shared);
    };
    if requests.iter().any(|request| check_request(shared, request, now).is_err()) {
        return place_each(shared);
    }
    let specs: Vec<AttemptSpec> = requests.iter().map(|request| request.spec.clone()).collect();
    match shared.pool.place_all_filtered(&specs, GrantPhase::Held(first.until), first.filter) {
        Ok(_) => vec![PlacementOutcome::Granted; requests.len()],
        Err(_) => place_each(shared),
    }
}

/// Rejects requests of a former home or for a barred or ended lease, and all requests while this VM may not act.
fn check_request(
    shared: &SharedState,
    request: &PlacementRequest,
    now: Instant,
) -> Result<(), PlacementOutcome> {
    let lease = request.spec.lease;
    let team = team_of(&request.spec.class);
    let valid = shared.validity.is_valid(now) && now < request.until;
    let current = request.epoch >= shared.owner_state.min_epoch(team)
        && request.epoch >= shared.state.home_epoch(team);
    let placeable = !shared.owner_state.barred_leases.contains_key(&lease)
        && !shared.owner_state.unacknowledged_ends.contains_key(&lease);
    if valid && current && placeable { Ok(()) } else { Err(PlacementOutcome::Invalid) }
}

/// Preempts batch tasks for an urgent task, which starts as soon as their capacity is free.
fn preempt(shared: &mut SharedState, request: &PlacementRequest) -> PlacementOutcome {
    let Some(victims) = shared.pool.preempt(&request.spec) else { return PlacementOutcome::Full };
    let Some(queue) = shared.worker_queues.get(victims.worker) else {
        shared.pool.release(request.spec.lease);
        return PlacementOutcome::Full;
    };
    for &lease in &victims.leases {
        // The worker handles commands in order, so the checkpoint is taken before the stop.
        let _ = queue.send(WorkerCommand::Checkpoint(lease));
        let _ = queue.send(WorkerCommand::Stop(lease));
    }
    PlacementOutcome::Granted
}

/// Starts the urgent tasks whose claimed capacity is free now.
fn start_claimed(shared: &mut SharedState) {
    for grant in shared.pool.grant_claims() {
        send_start(shared, grant.worker, grant.spec.lease);
    }
}

/// Queues the start command of a granted lease for its worker.
fn send_start(shared: &mut SharedState, worker: WorkerKey, lease: LeaseId) -> PlacementOutcome {
    let until = shared.validity.deadline();
    let spec = shared.pool.grant(lease).map(|grant| grant.spec.clone());
    let (Some(queue), Some(spec)) = (shared.worker_queues.get(worker), spec) else {
        shared.pool.release(lease);
        return PlacementOutcome::Full;
    };
    if queue.send(WorkerCommand::Start { spec, until }).is_err() {
        shared.pool.release(lease);
        return PlacementOutcome::Full;
    }
    PlacementOutcome::Granted
}

/// Starts the tasks whose capacity is held.
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
            send_start(shared, worker, lease)
        }
        GrantPhase::Held(_) => {
            shared.pool.release(lease);
            PlacementOutcome::Invalid
        }
        _ => PlacementOutcome::Granted,
    }
}

/// Releases held capacity and drops claims, and stops the tasks of other grants.
pub fn release(shared: &mut SharedState, leases: &[LeaseId]) {
    for &lease in leases {
        if let Some(worker) = shared.pool.claim(lease).map(|claim| claim.worker) {
            // The task has not started, so there is nothing to stop, but its home expects a notice of the end.
            end_lease(shared, worker, lease, ended_without_use(EndCause::Stopped), Instant::now());
            continue;
        }
        let Some(&Grant { worker, phase, .. }) = shared.pool.grant(lease) else { continue };
        if matches!(phase, GrantPhase::Held(_)) {
            shared.pool.release(lease);
            continue;
        }
        shared.pool.set_phase(lease, GrantPhase::Stopping);
        if let Some(queue) = shared.worker_queues.get(worker) {
            // The queue is closed if the worker has another owner by now.
            let _ = queue.send(WorkerCommand::Stop(lease));
        }
    }
}

/// Returns whether each lease has capacity or has ended here, and bars the others for a while in case
/// their placement request arrives late.
pub fn settle_leases(
    shared: &mut SharedState,
    leases: &[LeaseId],
    now: Instant,
) -> Vec<PlacementOutcome> {
    shared.owner_state.barred_leases.retain(|_, until| *until > now);
    let answer = |lease: &LeaseId| {
        let granted = shared.pool.grant(*lease).is_some() || shared.pool.claim(*lease).is_some();
        if granted || shared.owner_state.unacknowledged_ends.contains_key(lease) {
            return PlacementOutcome::Granted;
        }
        shared.owner_state.barred_leases.insert(*lease, now + BAR_DURATION);
        PlacementOutcome::Full
    };
    leases.iter().map(answer).collect()
}

/// Returns the tasks of a team and whether the list is complete, and rejects lower home epochs from now on.
///
/// The list is complete if this VM is valid, has applied the log up to `offset` and has reconciled every
/// worker that it owns, and if no worker that was removed from the VM list may still run leases.
pub fn list_tasks(
    shared: &mut SharedState,
    team: &str,
    epoch: Epoch,
    offset: Offset,
    now: Instant,
) -> (Vec<ListedTask>, bool) {
    let min_epoch = shared.owner_state.home_epochs.entry(team.to_owned()).or_default();
    *min_epoch = epoch.max(*min_epoch);
    let granted = shared.pool.grants().filter(|grant| team_of(&grant.spec.class) == team);
    let running = granted.map(|grant| (grant.spec.lease, grant.worker));
    // An urgent task that waits for preempted tasks will start here, so no other home may place it again.
    let claimed = shared.pool.claims().filter(|claim| team_of(&claim.spec.class) == team);
    let running = running.chain(claimed.map(|claim| (claim.spec.lease, claim.worker)));
    let running = running.map(|(lease, worker)| ListedTask {
        lease,
        worker: owned_worker_name(shared, worker),
        ended: None,
    });
    let team_of_job =
        |lease: &LeaseId| shared.state.jobs.get(lease.task.job).map(|job| &job.spec.team);
    let unacknowledged = shared
        .owner_state
        .unacknowledged_ends
        .iter()
        .filter(|(lease, _)| team_of_job(lease).is_some_and(|owner| owner == team));
    let ended = unacknowledged.map(|(&lease, end)| ListedTask {
        lease,
        worker: end.notice.worker.clone(),
        ended: match end.notice.event {
            TaskEvent::Ended { cause, .. } => Some(cause),
            TaskEvent::Running => None,
        },
    });
    let known = running.chain(ended).collect();
    let up_to_date = shared.validity.is_valid(now)
        && shared.state.offset >= offset
        && !shared.state.has_departing_workers(now);
    (known, up_to_date && shared.pool.is_reconciled())
}

fn owned_worker_name(shared: &SharedState, worker: WorkerKey) -> String {
    shared.pool.worker(worker).map(|owned_worker| owned_worker.name.to_string()).unwrap_or_default()
}

/// Handles the list of running tasks that a worker sent.
pub fn on_worker_list(shared: &mut SharedState, worker: WorkerKey, running: &[RunningTask]) {
    shared.pool.reconcile(worker, running);
    let name = owned_worker_name(shared, worker);
    let notices = running.iter().map(|task| Notice {
        lease: task.lease,
        worker: name.clone(),
        event: TaskEvent::Running,
    });
    shared.owner_state.unsent.extend(notices);
}

/// Handles an event from a worker. Returns whether capacity was freed.
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
            shared.owner_state.unsent.push(notice);
            false
        }
        WorkerEvent::Ended { lease, cause, run_ms, peak } => {
            end_lease(shared, worker, lease, TaskEvent::Ended { cause, run_ms, peak }, now);
            true
        }
        WorkerEvent::Usage { lease, interval, usage, end_ms, .. } => {
            handle_usage(shared, worker, lease, interval, usage, end_ms);
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

fn handle_usage(
    shared: &mut SharedState,
    worker: WorkerKey,
    lease: LeaseId,
    interval: u32,
    usage: crate::record::Usage,
    end_ms: u64,
) {
    let sample = shared.owner_state.usage_meter.sample(worker, lease, interval, usage, end_ms);
    if let Some(used) = sample {
        apply_usage_sample(shared, worker, lease, used);
    }
    let watermark = shared.state.ledger.watermark(lease);
    if interval >= watermark {
        shared.owner_state.usage.record(lease, interval, usage, end_ms);
    } else if let Some(queue) = shared.worker_queues.get(worker) {
        // The interval is charged already: the acknowledgement was lost, or a former owner charged it.
        let _ = queue.send(WorkerCommand::AckUsage { lease, to: watermark });
    }
}

/// Adds the use of a service to its class profile, since a service may never end by itself, and throttles tasks
/// that exceed their share of a busy worker.
fn apply_usage_sample(
    shared: &mut SharedState,
    worker: WorkerKey,
    lease: LeaseId,
    used: Resources,
) {
    let service = shared.pool.grant(lease).filter(|grant| grant.spec.kind == Kind::Service);
    if let Some(class) = service.map(|grant| Arc::clone(&grant.spec.class)) {
        shared.profiles.record_usage(&class, used);
    }
    let usages = shared.owner_state.usage_meter.task_usage(worker);
    let commands = shared.pool.throttle_commands(worker, &usages);
    if let Some(queue) = shared.worker_queues.get(worker) {
        for command in commands {
            // The queue is closed if the worker has another owner by now.
            let _ = queue.send(command);
        }
    }
}

/// Releases a lease, records how it ended, and queues the notice for its home.
fn end_lease(
    shared: &mut SharedState,
    worker: WorkerKey,
    lease: LeaseId,
    event: TaskEvent,
    now: Instant,
) {
    shared.owner_state.usage_meter.forget(lease);
    let released = shared.pool.release(lease);
    if let (Some(grant), TaskEvent::Ended { cause, run_ms, .. }) = (released, event) {
        let change = shared.pool.record_end(worker, &grant.spec.class, cause, run_ms, now);
        if let QuarantineChange::Quarantined(_) = change {
            log::warn!("event=worker_quarantined worker={}", owned_worker_name(shared, worker));
        }
    }
    start_claimed(shared);
    let notice = Notice { lease, worker: owned_worker_name(shared, worker), event };
    let unacknowledged = UnacknowledgedEnd { notice, worker, report_at: now };
    shared.owner_state.unacknowledged_ends.entry(lease).or_insert(unacknowledged);
}

/// Returns the end event of a lease whose run time and use are zero or not known.
fn ended_without_use(cause: EndCause) -> TaskEvent {
    TaskEvent::Ended { cause, run_ms: 0, peak: Resources::ZERO }
}

/// Releases holds whose deadline has passed, and reports the ends, since a new home may have adopted the leases.
pub fn expire_holds(shared: &mut SharedState, now: Instant) {
    let expired = |grant: &&Grant| matches!(grant.phase, GrantPhase::Held(until) if until <= now);
    let held = shared.pool.grants().filter(expired).map(|grant| (grant.spec.lease, grant.worker));
    for (lease, worker) in held.collect::<Vec<_>>() {
        end_lease(shared, worker, lease, ended_without_use(EndCause::LeaseExpired), now);
    }
    shared.pool.expire_holds(now);
}

/// Ends all leases on an unreachable worker after they have expired.
pub fn expire_worker(shared: &mut SharedState, worker: WorkerKey, now: Instant) {
    let on_worker = shared.pool.grants().filter(|grant| grant.worker == worker);
    // Claims come first, because releasing the grants would start the claimed tasks on the worker.
    let claims = shared.pool.claims().filter(|claim| claim.worker == worker);
    let claimed = claims.map(|claim| claim.spec.lease);
    let leases: Vec<LeaseId> = claimed.chain(on_worker.map(|grant| grant.spec.lease)).collect();
    let event = ended_without_use(EndCause::LeaseExpired);
    for lease in leases {
        end_lease(shared, worker, lease, event, now);
    }
    shared.pool.set_leases_expired(worker);
}

/// Returns the notices that are due, grouped by the home that they are sent to.
pub fn due_notices(shared: &mut SharedState, now: Instant) -> Vec<(VmKey, Vec<Notice>)> {
    let mut due = std::mem::take(&mut shared.owner_state.unsent);
    for end in
        shared.owner_state.unacknowledged_ends.values_mut().filter(|end| end.report_at <= now)
    {
        end.report_at = now + REPORT_INTERVAL;
        due.push(end.notice.clone());
    }
    let mut by_home: BTreeMap<VmKey, Vec<Notice>> = BTreeMap::new();
    for notice in due {
        match home_of(shared, notice.lease) {
            Some(home) => by_home.entry(home).or_default().push(notice),
            // The job is not known here yet, or the team currently has no home.
            None if notice.event == TaskEvent::Running => shared.owner_state.unsent.push(notice),
            None => {}
        }
    }
    by_home.into_iter().collect()
}

/// Returns the home of a lease's team.
fn home_of(shared: &SharedState, lease: LeaseId) -> Option<VmKey> {
    let job = shared.state.jobs.get(lease.task.job)?;
    shared.state.team(&job.spec.team)?.home.vm
}

/// Removes ends that the home has acknowledged, and acknowledges them to the workers.
pub fn acknowledge_ends(shared: &mut SharedState, leases: &[LeaseId]) {
    for lease in leases {
        let Some(end) = shared.owner_state.unacknowledged_ends.remove(lease) else { continue };
        if let Some(queue) = shared.worker_queues.get(end.worker) {
            let _ = queue.send(WorkerCommand::AckEnd(*lease));
        }
    }
}

/// Returns the service instances on the workers that this VM owns, ordered by service and worker.
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
    instances.sort_by(|a, b| (&a.service, &a.worker).cmp(&(&b.service, &b.worker)));
    instances
}

impl OwnerState {
    /// Returns the lowest epoch that a home of the team must have.
    fn min_epoch(&self, team: &str) -> Epoch {
        self.home_epochs.get(team).copied().unwrap_or_default()
    }

    /// Returns the number of ends that no home has acknowledged yet.
    #[must_use]
    pub fn unacknowledged(&self) -> usize {
        self.unacknowledged_ends.len()
    }
}
