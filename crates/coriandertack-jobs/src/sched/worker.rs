//! Workers as the leader knows them.

use std::sync::Arc;

use {coriandertack_core::resources::Resources, slotmap::new_key_type};

use super::{
    FencingToken, LossCause, MAX_CLOCK_DRIFT_PERMILLE, MAX_LEASE_MS, Scheduler,
    leases::slowest_ms,
    runs::RunTable,
    speed::{Speed, SpeedClass},
};

use crate::{
    boot_time::BootTime,
    ids::TaskId,
    ledger::{Charge, Ledger},
    report::WorkerEntry,
    spec::StepSpec,
};

new_key_type! {
    /// Key of one incarnation of a worker in the scheduler's arena.
    pub struct WorkerKey;
}

/// Maximum time between two requests for a worker's list of runs, in milliseconds. Each request has
/// a cost, so lists are not requested more often without need.
const MAX_LIST_INTERVAL_MS: u64 = 250;

/// Time between two lists of a worker on which a run is being stopped, in milliseconds.
const STOPPING_LIST_INTERVAL_MS: u64 = 100;

/// Maximum time for which a worker waits for a run to end before it returns its list, in
/// milliseconds.
const MAX_LIST_WAIT_MS: u64 = 1_000;

/// Shortest and longest time without progress after which a run counts as stalled, in milliseconds.
/// A run that takes several times its estimate, on a slow worker, still progresses by one percent
/// within it.
const STALL_TIMEOUT_MS: (u64, u64) = (1_000, 2_500);

/// Percentage of an urgent run's predicted remaining time after which the next list is requested.
/// Predictions are off by about a fifth.
const URGENT_LIST_PERCENT: u64 = 60;

/// Task and attempt of a run.
pub(super) type RunId = (TaskId, u32);

/// Maximum time by which a lease is shortened because of an old reading of the worker's clock, in
/// milliseconds.
const MAX_LEASE_CUT_MS: u64 = 3_000;

/// Allowance for the time that a reading of a worker's clock travels, in milliseconds.
const MAX_RESTART_SKEW_MS: u64 = 500;

/// Properties of a task that matter while it runs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunProfile {
    /// Estimated run time, in milliseconds.
    pub(super) estimate_ms: u64,
    /// Whether the end of the run should be noticed at once.
    pub(super) urgent: bool,
    /// Whether the task uses only spare processor time, and so disturbs tasks with a response
    /// target.
    pub(super) fills: bool,
    /// Whether the task has a response target.
    pub(super) serves: bool,
    /// Whether the task runs until its job is cancelled.
    pub(super) lasting: bool,
    /// Whether the task is a member of a gang, whose runs progress only together.
    pub(super) gang: bool,
}

impl RunProfile {
    /// Returns the time without progress after which the run counts as stalled, in milliseconds. The
    /// members of a gang stand still until the last of them has started.
    pub(super) fn stall_timeout_ms(&self) -> u64 {
        if self.gang {
            return STALL_TIMEOUT_MS.1;
        }
        (self.estimate_ms * 3 / 2).clamp(STALL_TIMEOUT_MS.0, STALL_TIMEOUT_MS.1)
    }
}

/// What a run occupies on its worker, and what its team is charged.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RunCost {
    /// Capacity that the run occupies; `None` if the job is unknown, and with it the need of its
    /// tasks.
    pub(super) capacity: Option<Resources>,
    /// Charge to the team; `None` if the job is unknown or if the configuration had no teams.
    pub(super) charge: Option<Charge>,
}

/// A run that a worker may hold. It occupies capacity until the worker lists its end.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// What the run occupies and is charged. It never changes, so that the same is released later.
    cost: RunCost,
    /// Incarnation of the worker that holds the run; `None` if it is unknown.
    pub(super) born: Option<u64>,
    /// When the worker first answered a command about the run. A list requested later shows the run
    /// or its end, unless the run never started.
    pub(super) confirmed_at: Option<BootTime>,
    /// When the start was sent to the worker; `None` if it was not.
    pub(super) sent_at: Option<BootTime>,
    /// Fencing token of the start that was sent; the lowest for one that a former leader sent.
    pub(super) token: FencingToken,
    /// Whether the worker is known to have started the run.
    pub(super) started: bool,
    /// Whether a start was sent that has not been answered or given up.
    pub(super) in_flight: bool,
    /// Whether an earlier start of the run was not carried out, and the next has not been sent.
    pub(super) repeats: bool,
    /// Whether the incarnation that returned the last list is known to hold the run. A start names the
    /// worker only, and may have reached the next incarnation.
    pub(super) attributed: bool,
    /// Whether the task is suspected of crashing its workers.
    pub(super) probation: bool,
    /// When the last stop was commanded; `None` if none was.
    pub(super) stopped_at: Option<BootTime>,
    /// Last listed progress, in percent.
    pub(super) percent: u32,
    /// When the progress last changed.
    pub(super) progressed_at: BootTime,
    /// When the task was bound to the worker.
    pub(super) bound_at: BootTime,
    /// Properties of the task.
    pub(super) profile: RunProfile,
}

impl Run {
    /// Creates a run that is bound now.
    pub(super) fn new(cost: RunCost, profile: RunProfile, now: BootTime) -> Self {
        Self {
            cost,
            born: None,
            confirmed_at: None,
            sent_at: None,
            token: FencingToken::default(),
            started: false,
            in_flight: false,
            repeats: false,
            attributed: false,
            probation: false,
            stopped_at: None,
            percent: 0,
            progressed_at: now,
            bound_at: now,
            profile,
        }
    }

    /// Returns what the run occupies and is charged.
    pub(super) const fn cost(&self) -> RunCost {
        self.cost
    }

    /// Records that the worker answered a command about the run.
    ///
    /// Only the first answer counts: a stop is repeated with each list, so its latest answer would
    /// always be newer than the list.
    pub(super) fn confirm(&mut self, now: BootTime) {
        self.confirmed_at.get_or_insert(now);
        self.sent_at.get_or_insert(now);
    }

    /// Returns the predicted remaining time of the run in milliseconds, by its progress or else by
    /// its estimate. A long-running task does not end by itself.
    pub(super) fn remaining_ms(&self, now: BootTime) -> u64 {
        if self.profile.lasting {
            return u64::MAX;
        }
        let elapsed = now.ms_since(self.bound_at);
        match u64::from(self.percent) {
            0 => self.profile.estimate_ms.saturating_sub(elapsed),
            percent => {
                self.progressed_at.ms_since(self.bound_at) * (100 - percent.min(100)) / percent
            }
        }
    }
}

/// One incarnation of a worker.
#[derive(Debug)]
pub struct Worker {
    /// Name in the list of workers.
    pub name: Arc<str>,
    /// Entry in the list of workers; `None` if the worker is known only from a progress record.
    pub entry: Option<Arc<WorkerEntry>>,
    /// Incarnation that returned a list of runs to this leader; `None` if none did, or if it does not
    /// report one. Entries may be older, or from the next incarnation.
    pub born: Option<u64>,
    /// Whether the worker is missing from the list of workers.
    pub absent: bool,
    /// Whether the worker has returned a list of runs to this leader, which also raised the fencing
    /// token that the worker accepts.
    pub listed: bool,
    /// Fencing token of the commands that are sent now.
    pub(super) token: FencingToken,
    /// Lowest token of a list whose answer bars all calls that got no answer.
    pub(super) barrier: FencingToken,
    /// Highest token of a list that the incarnation has answered; `None` if it has answered none.
    pub(super) listed_token: Option<FencingToken>,
    /// Whether the last request for a list acknowledged ends or renewed the lease.
    pub(super) changing: bool,
    /// Until when a call without an answer may be carried out.
    pub(super) late_until: BootTime,
    /// Number of the last end that was processed.
    pub(super) processed_end: u64,
    /// Number of the first end of a run of a closed job, before which acknowledgements end; `None` if there is none.
    pub(super) held_end: Option<u64>,
    /// Number of the last end that was acknowledged in a request for a list that the worker
    /// answered.
    pub acknowledged_end: u64,
    /// Number of the last end whose record is durable, up to which ends may be acknowledged.
    pub recorded_end: u64,
    pub(super) runs: RunTable,
    /// When every lease on the worker has expired, unless one is extended again.
    lease_end: BootTime,
    /// When a lease was last granted.
    pub(super) granted_at: Option<BootTime>,
    /// Latest end of a lease that was granted, on the worker's clock.
    granted_end: u64,
    /// Last reading of the worker's clock in milliseconds, and when it arrived.
    clock: Option<(u64, BootTime)>,
    /// When the worker last answered a request.
    pub(super) answered_at: BootTime,
    /// When the worker is assumed to have failed; `None` while it answers.
    pub(super) silent_since: Option<BootTime>,
    /// Time until which the worker gets no new tasks because it did not return its list.
    pub(super) silent_until: BootTime,
    /// Number of consecutive refused connections.
    pub(super) refusals: u32,
    /// Speed as estimated from completed runs.
    pub(super) speed: Speed,
    /// Class of that speed.
    pub(super) speed_class: SpeedClass,
    /// Whether the worker is being evacuated because its machine is to go down.
    pub(super) evacuating: bool,
    /// Time until which the worker gets no new tasks because of failures or refusals.
    pub(super) avoided_until: BootTime,
    /// Number of failed runs of different jobs since the last run that completed.
    pub(super) failures: u32,
    /// Job whose run failed last.
    pub(super) failed_job: Option<crate::ids::JobId>,
    /// Number of quarantines since the last run that completed.
    pub(super) quarantines: u32,
}

impl Worker {
    /// Creates a worker whose calls have a higher fencing token than any to a worker of this name before.
    pub(super) fn new(name: Arc<str>, lease_end: BootTime, token: FencingToken) -> Self {
        Self {
            name,
            entry: None,
            born: None,
            absent: true,
            listed: false,
            token,
            barrier: token,
            listed_token: None,
            changing: false,
            late_until: BootTime(0),
            processed_end: 0,
            held_end: None,
            acknowledged_end: 0,
            recorded_end: 0,
            runs: RunTable::default(),
            lease_end,
            granted_at: None,
            granted_end: 0,
            clock: None,
            answered_at: BootTime(0),
            silent_since: None,
            silent_until: BootTime(0),
            refusals: 0,
            speed: Speed::default(),
            speed_class: SpeedClass::default(),
            evacuating: false,
            avoided_until: BootTime(0),
            failures: 0,
            failed_job: None,
            quarantines: 0,
        }
    }

    /// Returns the capacity that no run occupies. A worker with a run of unknown need has none.
    #[must_use]
    pub fn free(&self) -> Resources {
        if self.runs.has_unsized() {
            Resources::ZERO
        } else {
            self.capacity().saturating_sub(self.runs.used())
        }
    }

    /// Returns the capacity of the empty worker.
    pub(super) fn capacity(&self) -> Resources {
        self.entry.as_ref().map_or(Resources::ZERO, |entry| entry.capacity)
    }

    /// Returns true if the runs on the worker exceed its capacity, or if the need of any is unknown.
    pub(super) fn is_overcommitted(&self) -> bool {
        self.runs.has_unsized() || !self.runs.used().fits(self.capacity())
    }

    /// Returns the capacity that would be free once all runs but the long-running ones have ended.
    pub(super) fn drainable_capacity(&self) -> Resources {
        let lasting = self.runs.values().filter(|run| run.profile.lasting);
        let charges = lasting.filter_map(|run| run.cost.capacity);
        self.capacity().saturating_sub(charges.fold(Resources::ZERO, Resources::saturating_add))
    }

    /// Adds a run, which occupies its capacity and is charged to its team from now on.
    pub(super) fn add_run(&mut self, ledger: &mut Ledger, id: RunId, run: Run) {
        self.runs.add(ledger, id, run);
    }

    /// Removes a run and releases what it occupied.
    pub(super) fn take_run(&mut self, ledger: &mut Ledger, id: RunId) -> Option<Run> {
        self.runs.take(ledger, id)
    }

    /// Returns true if a step's tasks can share the worker with its current runs.
    ///
    /// Tasks that use only spare processor time stay away from tasks with a response target, since
    /// how much they disturb them is unknown and changes within seconds.
    fn is_compatible(&self, spec: &StepSpec) -> bool {
        let serves = spec.target_ms > 0;
        let conflicts =
            |run: &Run| (spec.fills && run.profile.serves) || (serves && run.profile.fills);
        !(spec.fills || serves) || !self.runs.values().any(conflicts)
    }

    /// Returns true if the worker may run a step's tasks, regardless of its free capacity.
    pub(super) fn is_suitable(&self, spec: &StepSpec, service: &str) -> bool {
        let of_service = self.entry.as_ref().is_some_and(|entry| &*entry.service == service);
        of_service
            && self.is_compatible(spec)
            && spec.label.as_ref().is_none_or(|label| self.has_label(label))
    }

    /// Returns the capacity that the runs predicted to end within `ahead_ms` milliseconds leave to
    /// others. On a worker that has shrunk, what the runs occupy beyond its capacity is left to
    /// nobody.
    pub(super) fn ending_capacity(&self, ahead_ms: u64, now: BootTime) -> Resources {
        let ending = self.runs.values().filter(|run| run.remaining_ms(now) <= ahead_ms);
        let charges = ending.filter_map(|run| run.cost.capacity);
        let excess = self.runs.used().saturating_sub(self.capacity());
        charges.fold(Resources::ZERO, Resources::saturating_add).saturating_sub(excess)
    }

    /// Returns the capacity that is predicted to be free in `ahead_ms` milliseconds if nothing else
    /// starts.
    pub(super) fn free_within(&self, ahead_ms: u64, now: BootTime) -> Resources {
        self.free().saturating_add(self.ending_capacity(ahead_ms, now))
    }

    /// Returns how long to wait before the next list is requested, in milliseconds. Waiting
    /// collects several ends in one list, but the end of an urgent run should be noticed at once.
    #[must_use]
    pub fn list_interval_ms(&self, now: BootTime) -> u64 {
        if self.is_stopping() || self.has_open_starts() {
            return STOPPING_LIST_INTERVAL_MS;
        }
        let urgent =
            self.runs.values().filter(|run| run.profile.urgent).map(|run| run.remaining_ms(now));
        urgent
            .map(|remaining_ms| remaining_ms * URGENT_LIST_PERCENT / 100)
            .min()
            .unwrap_or(MAX_LIST_INTERVAL_MS)
            .min(MAX_LIST_INTERVAL_MS)
    }

    /// Returns true if a run was told to stop and the worker has not listed its end, or its absence.
    fn is_stopping(&self) -> bool {
        self.runs.values().any(|run| run.stopped_at.is_some())
    }

    /// Returns for how long the worker should wait for a run to end before it returns its list, in
    /// milliseconds. Two lists show whether a run has stalled.
    ///
    /// A run that never started has no end to wait for: only its absence from a list lets the task
    /// start elsewhere.
    #[must_use]
    pub fn list_wait_ms(&self) -> u64 {
        if self.is_stopping() || self.has_open_starts() {
            return 0;
        }
        let timeouts = self.runs.values().map(|run| run.profile.stall_timeout_ms() / 2);
        timeouts.min().unwrap_or(MAX_LIST_WAIT_MS).min(MAX_LIST_WAIT_MS)
    }

    /// Returns the number of runs that the worker may hold.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns the task and attempt of each run that the worker may hold.
    pub fn run_ids(&self) -> impl Iterator<Item = (TaskId, u32)> + '_ {
        self.runs.keys().copied()
    }

    /// Returns true if ends were processed that the worker keeps listing because they are not
    /// acknowledged yet.
    #[must_use]
    pub fn has_ends_to_acknowledge(&self) -> bool {
        self.end_to_record() > self.acknowledged_end
    }

    /// Returns the number of the last end to acknowledge with the next request for a list; 0 if there
    /// is none.
    pub(super) const fn end_to_acknowledge(&self) -> u64 {
        if self.recorded_end > self.acknowledged_end { self.recorded_end } else { 0 }
    }

    /// Returns the number of the last end that may be acknowledged once what was processed is recorded.
    pub(super) fn end_to_record(&self) -> u64 {
        self.held_end.map_or(self.processed_end, |held| self.processed_end.min(held - 1))
    }

    /// Returns true if ends were processed whose records are not durable yet.
    #[must_use]
    pub fn has_unrecorded_ends(&self) -> bool {
        self.end_to_record() > self.recorded_end
    }

    /// Returns true if the worker is in service and neither leaves nor has been replaced.
    pub(super) fn stays_in_service(&self) -> bool {
        let in_service = self.entry.as_ref().is_some_and(|entry| !entry.draining);
        in_service && !self.has_new_entry() && self.listed && !self.absent && !self.evacuating
    }

    /// Returns true if the worker accepts new tasks.
    pub(super) fn accepts_tasks(&self, now: BootTime) -> bool {
        self.stays_in_service()
            && self.avoided_until <= now
            && self.silent_until <= now
            && !self.has_probation(now)
    }

    pub(super) fn has_label(&self, label: &str) -> bool {
        self.entry.as_ref().is_some_and(|entry| entry.labels.iter().any(|own| &**own == label))
    }

    /// Records the worker's clock from an answer that arrived at `now`.
    pub fn record_clock(&mut self, clock_ms: u64, now: BootTime) {
        self.clock = Some((clock_ms, now));
    }

    /// Discards the reading of the worker's clock. The next list provides a new one.
    pub(super) fn forget_clock(&mut self) {
        self.clock = None;
    }

    /// Returns the expiry of a lease granted now, on the worker's clock, and records how long the
    /// lease may last. Returns `None` while the worker's clock is unknown.
    ///
    /// The worker's clock may have run slow since its last reading. The lease counts from the earliest
    /// time that it can show, so that it is no longer than other leases; if the worker has been idle,
    /// the first list renews it. Beyond `MAX_LEASE_CUT_MS` the lease would expire at once on a clock
    /// that is not slow, and can last longer on the leader's clock instead.
    pub fn grant_lease(&mut self, now: BootTime) -> Option<u64> {
        let (clock_ms, at) = self.clock?;
        let since_ms = now.ms_since(at);
        let lag_ms = since_ms * MAX_CLOCK_DRIFT_PERMILLE / 1_000;
        let term_ms = since_ms + MAX_LEASE_MS - lag_ms.min(MAX_LEASE_CUT_MS);
        self.lease_end = self.lease_end.max(at.plus_ms(slowest_ms(term_ms)));
        self.granted_at = Some(now);
        self.granted_end = self.granted_end.max(clock_ms + term_ms);
        Some(clock_ms + term_ms)
    }

    /// Counts the leases that were granted from a reading of the worker's clock that arrived at `now`.
    ///
    /// The clock of the next incarnation starts anew, and the worker then takes their ends for times far
    /// ahead, up to `limit_ms` from the arrival of a call.
    pub(super) fn count_leases(&mut self, clock_ms: u64, limit_ms: u64, now: BootTime) {
        let rest_ms = self.granted_end.saturating_sub(clock_ms).min(limit_ms);
        self.lease_end = self.lease_end.max(now.plus_ms(slowest_ms(rest_ms)));
    }

    /// Returns true if a reading of the worker's clock that arrived at `now` is of the incarnation that
    /// returned the last list: one that started since would show less than that list did.
    pub(super) fn has_continued(&self, clock_ms: u64, now: BootTime) -> bool {
        self.clock.is_some_and(|(listed_ms, at)| {
            let since_ms = now.ms_since(at) + MAX_RESTART_SKEW_MS;
            self.listed && clock_ms >= listed_ms && since_ms < listed_ms
        })
    }

    /// Records that the worker may hold leases until `end` that this leader did not grant.
    pub(super) fn inherit_leases(&mut self, end: BootTime) {
        self.lease_end = self.lease_end.max(end);
    }

    /// Returns when every lease on the worker has expired.
    #[must_use]
    pub const fn lease_end(&self) -> BootTime {
        self.lease_end
    }
}

impl Scheduler {
    /// Returns the worker of a key, or `None` if it was removed.
    #[must_use]
    pub fn worker(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// Returns the worker of a key, or `None` if it was removed.
    pub fn worker_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.workers.get_mut(key)
    }

    /// Returns the keys of all workers.
    pub fn worker_keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().collect()
    }

    /// Adds or updates a worker from its entry and returns its key.
    ///
    /// An entry of a new incarnation replaces a worker without runs. If there are runs, only a list
    /// proves that they are lost: the entry may be older than the incarnation that holds them.
    pub fn upsert_worker(
        &mut self,
        name: &Arc<str>,
        entry: Arc<WorkerEntry>,
        now: BootTime,
    ) -> WorkerKey {
        if let Some(&key) = self.worker_index.get(name) {
            self.update_worker(key, entry.clone(), now);
            let Some(worker) = self.workers.get(key) else { return key };
            if !worker.has_new_entry() || worker.run_count() > 0 {
                return key;
            }
            self.remove_lost_worker(key, LossCause::Reborn, now);
            if let Some(&key) = self.worker_index.get(name) {
                return key;
            }
        }
        let mut worker = self.next_incarnation(name, now);
        worker.absent = false;
        log_joined(name, &entry);
        self.crash_history.record_join(&entry.service);
        worker.entry = Some(entry);
        let key = self.workers.insert(worker);
        self.worker_index.insert(Arc::clone(name), key);
        key
    }

    fn update_worker(&mut self, key: WorkerKey, entry: Arc<WorkerEntry>, now: BootTime) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let was_draining = worker.entry.as_ref().is_some_and(|known| known.draining);
        worker.absent = false;
        let begins_draining = entry.draining && !was_draining;
        let remaining = entry.remaining_ms;
        match &worker.entry {
            None => log_joined(&worker.name, &entry),
            Some(known) if known.capacity != entry.capacity => log::info!(
                "event=worker_resized worker={} former={} capacity={} used={}",
                worker.name,
                known.capacity,
                entry.capacity,
                worker.runs.used()
            ),
            Some(_) => {}
        }
        let was_current = !worker.has_new_entry();
        worker.entry = Some(entry);
        if was_current && worker.has_new_entry() {
            log::info!("event=worker_reborn worker={} runs={}", worker.name, worker.runs.len());
        }
        if begins_draining {
            log::info!("event=worker_drains worker={} remaining_ms={remaining}", worker.name);
            self.stop_runs_for_drain(key, remaining, now);
        }
    }

    /// Marks a worker as missing from the list of workers. It gets no new tasks; its runs are kept
    /// while it answers.
    pub fn mark_worker_absent(&mut self, name: &str) {
        if let Some(worker) = self.worker_index.get(name).and_then(|&key| self.workers.get_mut(key))
        {
            worker.absent = true;
            log::info!("event=worker_absent worker={name} runs={}", worker.runs.len());
        }
    }

    /// Stops the runs of a draining worker that cannot end before it leaves, so that they resume
    /// elsewhere.
    fn stop_runs_for_drain(&mut self, key: WorkerKey, remaining_ms: u64, now: BootTime) {
        let Some(worker) = self.workers.get(key) else { return };
        let runs: Vec<_> = worker.runs.iter().map(|(id, run)| (*id, run.percent)).collect();
        for ((task, attempt), percent) in runs {
            let Some((_, spec, _)) = self.step(task.step_id()) else { continue };
            let left_ms = spec.estimate_ms * u64::from(100 - percent.min(100)) / 100;
            if spec.lasting || left_ms > remaining_ms {
                self.stop_run(key, task, attempt, "drain", now);
            }
        }
    }
}

fn log_joined(name: &str, entry: &WorkerEntry) {
    log::info!(
        "event=worker_joined worker={name} service={} zone={} labels={} capacity={} born={} draining={}",
        entry.service,
        entry.zone,
        entry.labels.join("/"),
        entry.capacity,
        entry.born.unwrap_or_default(),
        entry.draining
    );
}
