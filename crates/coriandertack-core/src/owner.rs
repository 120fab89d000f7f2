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
    cell::{Grant, Host, Phase, Refusal, Report},
    keys::{Epoch, LeaseId, Offset, VmKey, WorkerKey},
    message::{
        Ask, EndCause, Instance, Known, News, Notice, Place, Placed, Running, WorkerCommand,
        WorkerEvent,
    },
    meter::Meters,
    node::Inner,
    record::Kind,
    resources::Resources,
    usage::UsageBook,
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
pub struct Owner {
    ended: BTreeMap<LeaseId, Unacknowledged>,
    barred: HashMap<LeaseId, Instant>,
    epochs: HashMap<String, Epoch>,
    /// Leases whose worker has reported the start, with news that the home has not seen.
    started: Vec<Notice>,
    /// Usage that is not charged yet.
    pub usage: UsageBook,
    /// Use of the tasks on the workers owned here.
    meters: Meters,
}

/// Returns the team of a class.
#[must_use]
pub fn team_of(class: &str) -> &str {
    class.split_once('.').map_or(class, |(team, _)| team)
}

/// Brings the cell in line with the table of owners, and returns the workers that are new here.
pub fn sync(inner: &mut Inner, me: VmKey) -> Vec<WorkerKey> {
    let owned: Vec<WorkerKey> = inner.state.owned_by(me).collect();
    let lost: Vec<WorkerKey> =
        inner.cell.hosts().map(|(key, _)| key).filter(|key| !owned.contains(key)).collect();
    for key in lost {
        inner.cell.forget(key);
        inner.posts.remove(key);
        inner.owner.meters.forget_worker(key);
        // The next owner learns of these ends from the worker, which keeps them until acknowledged.
        inner.owner.ended.retain(|_, end| end.worker != key);
    }
    let mut fresh = Vec::new();
    for key in owned {
        let worker = &inner.state.workers[key].info;
        let mut host = Host::new(&worker.name, &worker.zone, &worker.rack, worker.capacity);
        host.open = inner.state.takes_work(key);
        inner.cell.track(key, host);
        if !inner.posts.contains_key(key) {
            fresh.push(key);
        }
    }
    fresh
}

/// Decides on a request to place a task, and sends the start unless the capacity is only to be held.
pub fn place(inner: &mut Inner, me: VmKey, place: &Place, now: Instant) -> Placed {
    let lease = place.ask.lease;
    if let Err(refused) = check(inner, place, now) {
        return refused;
    }
    let phase = if place.hold { Phase::Held(place.until) } else { Phase::Running };
    match inner.cell.place_within(&place.ask, phase, place.reach) {
        Ok(worker) if place.hold => {
            debug_assert!(inner.state.may_act(me, worker, now));
            Placed::Granted
        }
        Ok(worker) => start(inner, worker, lease),
        Err(Refusal::Duplicate) => Placed::Granted,
        Err(Refusal::Full) if place.ask.urgent && !place.hold => preempt(inner, place),
        Err(Refusal::Full) => Placed::Full,
    }
}

/// Decides on requests to hold capacity for a gang: near each other if all of them fit here, else as many
/// as there is room for.
pub fn hold_all(inner: &mut Inner, me: VmKey, places: &[Place], now: Instant) -> Vec<Placed> {
    let each = |inner: &mut Inner| places.iter().map(|one| place(inner, me, one, now)).collect();
    let Some(first) = places.first().filter(|first| first.hold && places.len() > 1) else {
        return each(inner);
    };
    if places.iter().any(|place| check(inner, place, now).is_err()) {
        return each(inner);
    }
    let asks: Vec<Ask> = places.iter().map(|place| place.ask.clone()).collect();
    match inner.cell.place_all_within(&asks, Phase::Held(first.until), first.reach) {
        Ok(_) => vec![Placed::Granted; places.len()],
        Err(_) => each(inner),
    }
}

/// Refuses what a former home asks, and everything while this VM may not act.
fn check(inner: &Inner, place: &Place, now: Instant) -> Result<(), Placed> {
    let lease = place.ask.lease;
    let team = team_of(&place.ask.class);
    let valid = inner.validity.holds(now) && now < place.until;
    let current =
        place.epoch >= inner.owner.fence(team) && place.epoch >= inner.state.home_epoch(team);
    let open = !inner.owner.barred.contains_key(&lease) && !inner.owner.ended.contains_key(&lease);
    if valid && current && open { Ok(()) } else { Err(Placed::Invalid) }
}

/// Stops batch work for urgent work, which starts as soon as the room is free.
fn preempt(inner: &mut Inner, place: &Place) -> Placed {
    let Some(victims) = inner.cell.preempt(&place.ask) else { return Placed::Full };
    let Some(post) = inner.posts.get(victims.worker) else {
        inner.cell.release(place.ask.lease);
        return Placed::Full;
    };
    for &lease in &victims.leases {
        // The worker handles commands in order, so the progress is saved before the stop.
        let _ = post.send(WorkerCommand::Checkpoint(lease));
        let _ = post.send(WorkerCommand::Stop(lease));
    }
    Placed::Granted
}

/// Starts urgent work whose room has become free.
fn start_claimed(inner: &mut Inner) {
    for grant in inner.cell.settle() {
        start(inner, grant.worker, grant.ask.lease);
    }
}

/// Hands the start of a granted lease to the worker's task.
fn start(inner: &mut Inner, worker: WorkerKey, lease: LeaseId) -> Placed {
    let until = inner.validity.until();
    let ask = inner.cell.grant(lease).map(|grant| grant.ask.clone());
    let (Some(post), Some(ask)) = (inner.posts.get(worker), ask) else {
        inner.cell.release(lease);
        return Placed::Full;
    };
    if post.send(WorkerCommand::Start { ask, until }).is_err() {
        inner.cell.release(lease);
        return Placed::Full;
    }
    Placed::Granted
}

/// Starts tasks whose capacity is held.
pub fn commit(inner: &mut Inner, leases: &[LeaseId], now: Instant) -> Vec<Placed> {
    leases.iter().map(|&lease| commit_one(inner, lease, now)).collect()
}

fn commit_one(inner: &mut Inner, lease: LeaseId, now: Instant) -> Placed {
    let Some(&Grant { worker, phase, .. }) = inner.cell.grant(lease) else { return Placed::Full };
    match phase {
        Phase::Held(until) if now < until && inner.validity.holds(now) => {
            inner.cell.set_phase(lease, Phase::Running);
            start(inner, worker, lease)
        }
        Phase::Held(_) => {
            inner.cell.release(lease);
            Placed::Invalid
        }
        _ => Placed::Granted,
    }
}

/// Lets go of held capacity and stops tasks.
pub fn release(inner: &mut Inner, leases: &[LeaseId]) {
    for &lease in leases {
        if let Some(worker) = inner.cell.claim(lease).map(|claim| claim.worker) {
            // It has not started, so there is nothing to stop, but its home waits for the end.
            end(inner, worker, lease, ended_without_use(EndCause::Stopped), Instant::now());
            continue;
        }
        let Some(&Grant { worker, phase, .. }) = inner.cell.grant(lease) else { continue };
        if matches!(phase, Phase::Held(_)) {
            inner.cell.release(lease);
            continue;
        }
        inner.cell.set_phase(lease, Phase::Stopping);
        if let Some(post) = inner.posts.get(worker) {
            // A closed queue means that the worker has another owner by now.
            let _ = post.send(WorkerCommand::Stop(lease));
        }
    }
}

/// Tells which leases have capacity, and refuses the others from now on.
pub fn settle(inner: &mut Inner, leases: &[LeaseId], now: Instant) -> Vec<Placed> {
    inner.owner.barred.retain(|_, until| *until > now);
    let answer = |lease: &LeaseId| {
        let granted = inner.cell.grant(*lease).is_some() || inner.cell.claim(*lease).is_some();
        if granted || inner.owner.ended.contains_key(lease) {
            return Placed::Granted;
        }
        inner.owner.barred.insert(*lease, now + BAR_FOR);
        Placed::Full
    };
    leases.iter().map(answer).collect()
}

/// Lists the tasks of a team, and refuses its former homes from now on.
///
/// The list is complete if this VM is valid, has applied `offset`, and has read the list of every
/// worker that it owns, and if no worker that the VM list dropped may still run leases.
pub fn list(
    inner: &mut Inner,
    team: &str,
    epoch: Epoch,
    offset: Offset,
    now: Instant,
) -> (Vec<Known>, bool) {
    let fence = inner.owner.epochs.entry(team.to_owned()).or_default();
    *fence = epoch.max(*fence);
    let granted = inner.cell.grants().filter(|grant| team_of(&grant.ask.class) == team);
    let running = granted.map(|grant| (grant.ask.lease, grant.worker));
    // Urgent work that waits for preempted tasks starts later, so no other home may place it.
    let claimed = inner.cell.claims().filter(|claim| team_of(&claim.ask.class) == team);
    let running = running.chain(claimed.map(|claim| (claim.ask.lease, claim.worker)));
    let running = running.map(|(lease, worker)| Known {
        lease,
        worker: host_name(inner, worker),
        ended: None,
    });
    let job_team = |lease: &LeaseId| inner.state.jobs.get(lease.task.job).map(|job| &job.spec.team);
    let over =
        inner.owner.ended.iter().filter(|(lease, _)| job_team(lease).is_some_and(|t| t == team));
    let ended = over.map(|(&lease, end)| Known {
        lease,
        worker: end.notice.worker.clone(),
        ended: match end.notice.news {
            News::Ended { cause, .. } => Some(cause),
            News::Running => None,
        },
    });
    let known = running.chain(ended).collect();
    let current = inner.validity.holds(now)
        && inner.state.offset >= offset
        && !inner.state.has_departing(now);
    (known, current && inner.cell.is_resolved())
}

fn host_name(inner: &Inner, worker: WorkerKey) -> String {
    inner.cell.host(worker).map(|host| host.name.to_string()).unwrap_or_default()
}

/// Handles the list that a worker gave of itself.
pub fn on_list(inner: &mut Inner, worker: WorkerKey, running: &[Running]) {
    inner.cell.resolve(worker, running);
    let name = host_name(inner, worker);
    let notices = running.iter().map(|task| Notice {
        lease: task.lease,
        worker: name.clone(),
        news: News::Running,
    });
    inner.owner.started.extend(notices);
}

/// Handles one event of a worker. Returns whether capacity became free.
pub fn on_event(inner: &mut Inner, worker: WorkerKey, event: WorkerEvent, now: Instant) -> bool {
    match event {
        WorkerEvent::Started(lease) => {
            let notice = Notice { lease, worker: host_name(inner, worker), news: News::Running };
            inner.owner.started.push(notice);
            false
        }
        WorkerEvent::Ended { lease, cause, run_ms, peak } => {
            end(inner, worker, lease, News::Ended { cause, run_ms, peak }, now);
            true
        }
        WorkerEvent::Usage { lease, interval, usage, end_ms, .. } => {
            report_usage(inner, worker, lease, interval, usage, end_ms);
            false
        }
        WorkerEvent::Checkpointed(lease) => {
            inner.cell.checkpointed(lease, now);
            false
        }
        WorkerEvent::Leaving => {
            inner.cell.set_leaving(worker);
            false
        }
    }
}

fn report_usage(
    inner: &mut Inner,
    worker: WorkerKey,
    lease: LeaseId,
    interval: u32,
    usage: crate::record::Usage,
    end_ms: u64,
) {
    let sample = inner.owner.meters.sample(worker, lease, interval, usage, end_ms);
    if let Some(used) = sample {
        meter(inner, worker, lease, used);
    }
    let mark = inner.state.ledger.mark(lease);
    if interval >= mark {
        inner.owner.usage.report(lease, interval, usage, end_ms);
    } else if let Some(post) = inner.posts.get(worker) {
        // It is charged already: the acknowledgement was lost, or the former owner charged it.
        let _ = post.send(WorkerCommand::AckUsage { lease, to: mark });
    }
}

/// Learns from the use of a service, which may never end by itself, and limits tasks that use more than their share
/// of a busy worker.
fn meter(inner: &mut Inner, worker: WorkerKey, lease: LeaseId, used: Resources) {
    let service = inner.cell.grant(lease).filter(|grant| grant.ask.kind == Kind::Service);
    if let Some(class) = service.map(|grant| Arc::clone(&grant.ask.class)) {
        inner.learner.observe_use(&class, used);
    }
    let uses = inner.owner.meters.uses(worker);
    let commands = inner.cell.throttles(worker, &uses);
    if let Some(post) = inner.posts.get(worker) {
        for command in commands {
            // A closed queue means that the worker has another owner by now.
            let _ = post.send(command);
        }
    }
}

fn end(inner: &mut Inner, worker: WorkerKey, lease: LeaseId, news: News, now: Instant) {
    inner.owner.meters.forget(lease);
    let released = inner.cell.release(lease);
    if let (Some(grant), News::Ended { cause, run_ms, .. }) = (released, news) {
        let report = inner.cell.report(worker, &grant.ask.class, cause, run_ms, now);
        if let Report::Closed(_) = report {
            log::warn!("event=worker_quarantined worker={}", host_name(inner, worker));
        }
    }
    start_claimed(inner);
    let notice = Notice { lease, worker: host_name(inner, worker), news };
    let report = Unacknowledged { notice, worker, report_at: now };
    inner.owner.ended.entry(lease).or_insert(report);
}

/// Returns the news of a lease whose use is not known or nothing.
fn ended_without_use(cause: EndCause) -> News {
    News::Ended { cause, run_ms: 0, peak: Resources::ZERO }
}

/// Lets go of held capacity whose deadline has passed, and tells the homes, since a home that took over
/// may count on it.
pub fn expire_holds(inner: &mut Inner, now: Instant) {
    let over = |grant: &&Grant| matches!(grant.phase, Phase::Held(until) if until <= now);
    let held = inner.cell.grants().filter(over).map(|grant| (grant.ask.lease, grant.worker));
    for (lease, worker) in held.collect::<Vec<_>>() {
        end(inner, worker, lease, ended_without_use(EndCause::LeaseExpired), now);
    }
    inner.cell.expire(now);
}

/// Ends every lease on a worker that cannot be reached and whose leases are over.
pub fn expire_worker(inner: &mut Inner, worker: WorkerKey, now: Instant) {
    let on_worker = inner.cell.grants().filter(|grant| grant.worker == worker);
    // Claims go first: the ends of the others would start them on the worker.
    let claimed = inner.cell.claims().filter(|claim| claim.worker == worker);
    let claimed = claimed.map(|claim| claim.ask.lease);
    let leases: Vec<LeaseId> = claimed.chain(on_worker.map(|grant| grant.ask.lease)).collect();
    let news = ended_without_use(EndCause::LeaseExpired);
    for lease in leases {
        end(inner, worker, lease, news, now);
    }
    inner.cell.set_expired(worker);
}

/// Returns the notices that are due, by the home that they go to.
pub fn due_notices(inner: &mut Inner, now: Instant) -> Vec<(VmKey, Vec<Notice>)> {
    let mut due = std::mem::take(&mut inner.owner.started);
    for end in inner.owner.ended.values_mut().filter(|end| end.report_at <= now) {
        end.report_at = now + REPORT_AGAIN;
        due.push(end.notice.clone());
    }
    let mut by_home: BTreeMap<VmKey, Vec<Notice>> = BTreeMap::new();
    for notice in due {
        match home_of(inner, notice.lease) {
            Some(home) => by_home.entry(home).or_default().push(notice),
            // The job is not known here yet, or the team has no home for a moment.
            None if notice.news == News::Running => inner.owner.started.push(notice),
            None => {}
        }
    }
    by_home.into_iter().collect()
}

fn home_of(inner: &Inner, lease: LeaseId) -> Option<VmKey> {
    let job = inner.state.jobs.get(lease.task.job)?;
    inner.state.team(&job.spec.team)?.home.vm
}

/// Forgets ends that the home has dealt with, here and at the worker.
pub fn acknowledge(inner: &mut Inner, leases: &[LeaseId]) {
    for lease in leases {
        let Some(end) = inner.owner.ended.remove(lease) else { continue };
        if let Some(post) = inner.posts.get(end.worker) {
            let _ = post.send(WorkerCommand::AckEnd(*lease));
        }
    }
}

/// Returns the services on the workers owned here.
#[must_use]
pub fn instances(inner: &Inner) -> Vec<Instance> {
    let services = inner.cell.grants().filter(|grant| grant.ask.kind == Kind::Service);
    let running = services.filter(|grant| grant.phase == Phase::Running);
    let mut instances: Vec<Instance> = running
        .filter_map(|grant| {
            let worker = inner.state.workers.get(grant.worker)?;
            let host = inner.cell.host(grant.worker)?;
            Some(Instance {
                service: Arc::clone(&grant.ask.class),
                worker: Arc::clone(&host.name),
                address: worker.address(),
                zone: Arc::clone(&host.zone),
                open: host.open,
            })
        })
        .collect();
    instances.sort_by(|one, two| (&one.service, &one.worker).cmp(&(&two.service, &two.worker)));
    instances
}

impl Owner {
    fn fence(&self, team: &str) -> Epoch {
        self.epochs.get(team).copied().unwrap_or_default()
    }

    /// Returns how many ends no home has acknowledged yet.
    #[must_use]
    pub fn unacknowledged(&self) -> usize {
        self.ended.len()
    }
}
