//! Workers as the leader sees them.

use std::{collections::HashMap, sync::Arc};

use {coriandertack_core::resources::Resources, slotmap::new_key_type};

use super::{MAX_CLOCK_DRIFT_PERMILLE, MAX_LEASE_MS, Scheduler, speed::Speed};

use crate::{boot_time::BootTime, ids::TaskId, report::WorkerEntry, spec::StepSpec};

new_key_type! {
    /// Key of one incarnation of a worker in the scheduler's arena.
    pub struct WorkerKey;
}

/// Longest pause between a worker's list and the next one, in milliseconds. Each list is priced.
const GAP_MS: u64 = 250;

/// Share of the predicted time until an urgent end that a list waits, in percent: predictions are off by a fifth.
const URGENT_SHARE: u64 = 60;

/// What matters of a task while it runs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Traits {
    /// Estimated run time, in milliseconds.
    pub(super) estimate_ms: u64,
    /// Whether its end should be noticed at once.
    pub(super) urgent: bool,
    /// Whether it uses what others leave, and so disturbs tasks with a response target.
    pub(super) fills: bool,
    /// Whether it has a response target.
    pub(super) serves: bool,
}

/// A run that a worker may hold. Its capacity counts until the worker lists its end.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// What it takes of the capacity.
    pub(super) charge: Resources,
    /// When the worker first answered an order about the run. A list that was asked for later shows the run or its
    /// end, unless the run never was.
    pub(super) confirmed: Option<BootTime>,
    /// When the last stop was ordered.
    pub(super) stopped: Option<BootTime>,
    /// Last progress listed, in percent.
    pub(super) percent: u32,
    /// When the progress last changed.
    pub(super) moved: BootTime,
    /// When the start was decided.
    pub(super) bound: BootTime,
    /// What matters of its task.
    pub(super) traits: Traits,
}

impl Run {
    /// Returns a run that was decided now.
    pub(super) fn new(charge: Resources, traits: Traits, now: BootTime) -> Self {
        Self { charge, confirmed: None, stopped: None, percent: 0, moved: now, bound: now, traits }
    }

    /// Notes that the worker answered an order about the run. The first answer counts: a stop that is repeated with each list
    /// would otherwise always be newer than the list.
    pub(super) fn confirm(&mut self, now: BootTime) {
        self.confirmed.get_or_insert(now);
    }

    /// Returns the milliseconds until the run should end, by its progress or its estimate.
    pub(super) fn left_ms(&self, now: BootTime) -> u64 {
        let elapsed = now.ms_since(self.bound);
        match u64::from(self.percent) {
            0 => self.traits.estimate_ms.saturating_sub(elapsed),
            percent => self.moved.ms_since(self.bound) * (100 - percent.min(100)) / percent,
        }
    }
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Name.
    pub name: Arc<str>,
    /// Its entry; nothing if only a record of progress names the worker.
    pub entry: Option<Arc<WorkerEntry>>,
    /// Whether the entry is missing from the list of workers.
    pub absent: bool,
    /// Whether the worker has listed its runs to this leader, which also raised its token.
    pub listed: bool,
    /// Last end that was processed.
    pub(super) processed_end: u64,
    /// Last end that was acknowledged in a list that the worker answered.
    pub acknowledged_end: u64,
    /// Last end that is recorded, and so may be acknowledged.
    pub recorded_end: u64,
    pub(super) used: Resources,
    pub(super) runs: HashMap<(TaskId, u32), Run>,
    /// When every lease on the worker has run out, unless it is extended again.
    lease_end: BootTime,
    /// The worker's clock at a moment of ours.
    clock: Option<(u64, BootTime)>,
    /// How fast it is, as far as its runs show.
    pub(super) speed: Speed,
    /// Whether its machine is about to go down.
    pub(super) leaving: bool,
    /// Until when the worker gets no new tasks because of its results.
    pub(super) avoided: BootTime,
    /// Failed runs of different jobs since the last one that was done.
    pub(super) failures: u32,
    /// Job whose run failed last.
    pub(super) failed_job: Option<crate::ids::JobId>,
    /// Times the worker was taken out of use in a row.
    pub(super) relapses: u32,
}

impl Worker {
    pub(super) fn new(name: Arc<str>, lease_end: BootTime) -> Self {
        Self {
            name,
            entry: None,
            absent: true,
            listed: false,
            processed_end: 0,
            acknowledged_end: 0,
            recorded_end: 0,
            used: Resources::ZERO,
            runs: HashMap::new(),
            lease_end,
            clock: None,
            speed: Speed::default(),
            leaving: false,
            avoided: BootTime(0),
            failures: 0,
            failed_job: None,
            relapses: 0,
        }
    }

    /// Returns the capacity that no run takes.
    #[must_use]
    pub fn free(&self) -> Resources {
        let whole = self.entry.as_ref().map_or(Resources::ZERO, |entry| entry.capacity);
        whole.saturating_sub(self.used)
    }

    /// Tells whether a step's tasks can share the worker with what runs there: tasks that fill stay away from those
    /// with a response target, since how much they disturb is unknown and changes within seconds.
    pub(super) fn is_compatible(&self, spec: &StepSpec) -> bool {
        let serves = spec.target_ms > 0;
        let clash = |run: &Run| (spec.fills && run.traits.serves) || (serves && run.traits.fills);
        !(spec.fills || serves) || !self.runs.values().any(clash)
    }

    /// Returns the capacity of the runs that should end within `ahead_ms` milliseconds.
    pub(super) fn ending(&self, ahead_ms: u64, now: BootTime) -> Resources {
        let ending = self.runs.values().filter(|run| run.left_ms(now) <= ahead_ms);
        ending.fold(Resources::ZERO, |sum, run| sum.saturating_add(run.charge))
    }

    /// Returns the capacity that should be free `ahead_ms` milliseconds from now, if nothing else starts.
    pub(super) fn free_soon(&self, ahead_ms: u64, now: BootTime) -> Resources {
        self.free().saturating_add(self.ending(ahead_ms, now))
    }

    /// Returns for how long the next list can wait, in milliseconds: ends that come close together are in one list,
    /// but an urgent one is noticed at once.
    #[must_use]
    pub fn list_interval_ms(&self, now: BootTime) -> u64 {
        let urgent = self.runs.values().filter(|run| run.traits.urgent).map(|run| run.left_ms(now));
        urgent.map(|left| left * URGENT_SHARE / 100).min().unwrap_or(GAP_MS).min(GAP_MS)
    }

    /// Returns the number of runs that the worker may hold.
    #[must_use]
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Tells whether the worker still lists ends that it need not.
    #[must_use]
    pub const fn has_ends_to_acknowledge(&self) -> bool {
        self.processed_end > self.acknowledged_end
    }

    /// Tells whether ends were processed that are not recorded yet.
    #[must_use]
    pub const fn has_unrecorded_ends(&self) -> bool {
        self.processed_end > self.recorded_end
    }

    /// Tells whether the worker takes new tasks.
    pub(super) fn is_open(&self, now: BootTime) -> bool {
        let ready = self.entry.as_ref().is_some_and(|entry| !entry.draining);
        ready && self.listed && !self.absent && !self.leaving && self.avoided <= now
    }

    pub(super) fn has_label(&self, label: &str) -> bool {
        self.entry.as_ref().is_some_and(|entry| entry.labels.iter().any(|own| &**own == label))
    }

    /// Notes the worker's clock from an answer that arrived at `now`.
    pub fn record_clock(&mut self, clock_ms: u64, now: BootTime) {
        self.clock = Some((clock_ms, now));
    }

    /// Forgets the worker's clock, so that the next list brings it.
    pub(super) fn forget_clock(&mut self) {
        self.clock = None;
    }

    /// Returns the end of a lease that is granted now, on the worker's clock, and notes how long it may hold.
    ///
    /// The worker's clock is at least what it said plus the time since then. It may be slow, so that the lease can
    /// last longer on ours.
    pub fn grant_lease(&mut self, now: BootTime) -> Option<u64> {
        let (clock, at) = self.clock?;
        let term = now.ms_since(at) + MAX_LEASE_MS;
        let longest = term + term * MAX_CLOCK_DRIFT_PERMILLE / 1_000 + 1;
        self.lease_end = self.lease_end.max(at.plus_ms(longest));
        Some(clock + term)
    }

    /// Notes that a former leader may have granted leases until `end`.
    pub(super) fn inherit_leases(&mut self, end: BootTime) {
        self.lease_end = self.lease_end.max(end);
    }

    /// Returns when every lease on the worker has run out.
    #[must_use]
    pub const fn lease_end(&self) -> BootTime {
        self.lease_end
    }
}

impl Scheduler {
    /// Returns a worker.
    #[must_use]
    pub fn worker(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    /// Returns a worker.
    pub fn worker_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.workers.get_mut(key)
    }

    /// Returns the keys of all workers.
    pub fn worker_keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().collect()
    }

    /// Notes a worker's entry and returns its key. Another incarnation gets another key, and the runs of the former
    /// one are lost.
    pub fn upsert_worker(
        &mut self,
        name: &Arc<str>,
        entry: Arc<WorkerEntry>,
        now: BootTime,
    ) -> WorkerKey {
        if let Some(&key) = self.worker_names.get(name) {
            let known = self.workers.get(key).and_then(|worker| worker.entry.as_ref());
            let reborn = known.is_some_and(|known| known.born != entry.born);
            if !reborn {
                self.update_worker(key, entry, now);
                return key;
            }
            log::info!("event=worker_reborn worker={name} born={}", entry.born);
            self.remove_lost_worker(key, now);
        }
        let mut worker = Worker::new(Arc::clone(name), now);
        worker.absent = false;
        log::info!(
            "event=worker_joined worker={name} service={} zone={} labels={} capacity={} born={} draining={}",
            entry.service,
            entry.zone,
            entry.labels.join("/"),
            entry.capacity,
            entry.born,
            entry.draining
        );
        worker.entry = Some(entry);
        let key = self.workers.insert(worker);
        self.worker_names.insert(Arc::clone(name), key);
        key
    }

    fn update_worker(&mut self, key: WorkerKey, entry: Arc<WorkerEntry>, now: BootTime) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let was_draining = worker.entry.as_ref().is_some_and(|known| known.draining);
        worker.absent = false;
        let drains = entry.draining && !was_draining;
        let remaining = entry.remaining_ms;
        worker.entry = Some(entry);
        if drains {
            log::info!("event=worker_drains worker={} remaining_ms={remaining}", worker.name);
            self.leave_draining(key, remaining, now);
        }
    }

    /// Notes that a worker has no entry any more. It gets no new tasks; its runs are kept while it answers.
    pub fn mark_worker_absent(&mut self, name: &str) {
        if let Some(worker) = self.worker_names.get(name).and_then(|&key| self.workers.get_mut(key))
        {
            worker.absent = true;
            log::info!("event=worker_absent worker={name} runs={}", worker.runs.len());
        }
    }

    /// Forgets a worker whose runs certainly are gone. Its tasks wait again.
    pub fn remove_lost_worker(&mut self, key: WorkerKey, now: BootTime) {
        let Some(worker) = self.workers.remove(key) else { return };
        self.worker_names.remove(&worker.name);
        self.acks.remove(&key);
        log::info!("event=worker_lost worker={} runs={}", worker.name, worker.runs.len());
        for (task, attempt) in worker.runs.into_keys() {
            self.stats.lost += 1;
            self.release(key, task, attempt, "lost", now);
        }
    }

    /// Stops the runs of a draining worker that cannot end before it leaves, so that they resume elsewhere.
    fn leave_draining(&mut self, key: WorkerKey, remaining_ms: u64, now: BootTime) {
        let Some(worker) = self.workers.get(key) else { return };
        let runs: Vec<_> = worker.runs.iter().map(|(id, run)| (*id, run.percent)).collect();
        for ((task, attempt), percent) in runs {
            let Some((_, spec, _)) = self.step(task.step_id()) else { continue };
            let left = spec.estimate_ms * u64::from(100 - percent.min(100)) / 100;
            if spec.lasting || left > remaining_ms {
                self.stop_run(key, task, attempt, "drain", now);
            }
        }
    }
}
