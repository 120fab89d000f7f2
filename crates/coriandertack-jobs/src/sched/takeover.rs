//! Takeover from a previous leader.
//!
//! The progress records name every worker on which a task may run. Such a run counts as confirmed
//! at the time of the takeover: the first list that the worker returns raises its fencing token, so
//! that commands of a previous leader are no longer accepted, and shows the run, its end, or that
//! it never started. A worker that cannot be reached is given up once the previous leader can no
//! longer renew its leases.
//!
//! A record also names the incarnation of the worker to which a task is bound. The workers' entries
//! do not tell it: they may have been read before the worker started again.

use super::{
    JobKey, LEADERSHIP_TERM_MS, MAX_LEASE_MS, MAX_RENEWAL_MS, Placement, Scheduler,
    leases::{MAX_CALL_DELAY_MS, slowest_ms},
    worker::{Run, Worker},
};

use crate::{
    boot_time::{BootTime, WallTime},
    ids::TaskId,
    progress::JobProgress,
};

/// How long after a takeover an unreachable worker may still hold leases of a previous leader, in
/// milliseconds.
///
/// A leader sends starts for [`LEADERSHIP_TERM_MS`] after its leadership was last confirmed and
/// renews leases for [`MAX_RENEWAL_MS`]. The last lease then expires on a clock that may run slow.
const MAX_INHERITED_LEASE_MS: u64 = {
    let active_ms =
        if MAX_RENEWAL_MS > LEADERSHIP_TERM_MS { MAX_RENEWAL_MS } else { LEADERSHIP_TERM_MS };
    slowest_ms(active_ms + MAX_LEASE_MS) + INHERITED_MARGIN_MS
};

/// Allowance for the time between the confirmation of a leadership and the call that it permits, in
/// milliseconds.
const INHERITED_MARGIN_MS: u64 = 500;

impl Scheduler {
    /// Returns when the leases of a previous leader have expired on a worker that cannot be reached.
    ///
    /// The last start of that leader may have been meant for a former incarnation of the worker, and
    /// extend the lease to the longest that the worker accepts.
    fn inherited_lease_end(&self, now: BootTime) -> BootTime {
        let arrival = now.plus_ms(LEADERSHIP_TERM_MS + MAX_CALL_DELAY_MS + INHERITED_MARGIN_MS);
        now.plus_ms(MAX_INHERITED_LEASE_MS).max(self.longest_lease_end(arrival))
    }

    /// Restores the state of a job from its recorded progress.
    pub(super) fn restore_progress(
        &mut self,
        key: JobKey,
        known: &JobProgress,
        now: BootTime,
        wall: WallTime,
    ) {
        // Those of which no task had started are not in the record, and open with those that are due.
        if let Some(job) = self.jobs.get_mut(key) {
            let is_open = |number: &u32| !known.ended.contains(*number);
            let recorded = known.tasks.iter().map(|task| task.occurrence);
            recorded.filter(is_open).for_each(|number| job.open_unqueued(number, now, wall));
        }
        let Some(job) = self.jobs.get(key) else { return };
        let (id, spec) = (job.id, job.spec.clone());
        for task in &known.tasks {
            if task.step as usize >= spec.steps.len() {
                continue;
            }
            let task_id =
                TaskId { job: id, occurrence: task.occurrence, step: task.step, index: task.index };
            let placement = match (&task.worker, task.done) {
                (_, true) => Placement::Done,
                (None, false) => Placement::Waiting,
                (Some(worker), false) => {
                    let worker = self.inherit_worker(worker, now);
                    let lease_end = self.inherited_lease_end(now);
                    let cost = self.run_cost(task_id);
                    let mut run = Run::new(cost, self.run_profile(task_id), now);
                    run.confirmed_at = Some(now);
                    run.sent_at = Some(now);
                    run.born = task.born;
                    if let Some(worker) = self.workers.get_mut(worker) {
                        worker.inherit_leases(lease_end);
                        worker.add_run(&mut self.ledger, (task_id, task.attempt), run);
                    }
                    Placement::Bound(worker)
                }
            };
            let late_start = self.jobs.get(key).and_then(|job| self.inherit_late_start(job, task));
            let Some(step) =
                self.jobs.get_mut(key).and_then(|job| job.step_mut(task.occurrence, task.step))
            else {
                continue;
            };
            let Some(state) = step.tasks.get_mut(task.index as usize) else { continue };
            state.attempt = task.attempt;
            state.failures = task.failures;
            state.counted_attempt = task.counted_attempt;
            state.crashes = task.crashes;
            state.early_crashes = task.early_crashes;
            state.checkpoint = task.checkpoint.clone();
            state.placement = placement;
            if late_start.is_some() {
                self.late_tasks.push_back((self.starts_end, task_id));
            }
            state.late_start = late_start;
            step.waiting -= u32::from(placement != Placement::Waiting);
            step.unfinished -= u32::from(placement == Placement::Done);
        }
        self.repair_gangs(key, now);
    }

    /// Returns the key of a worker that a record names, adding the worker if it is unknown.
    ///
    /// An added worker is assumed to hold leases of a previous leader for the longest time possible.
    fn inherit_worker(&mut self, name: &std::sync::Arc<str>, now: BootTime) -> super::WorkerKey {
        if let Some(&key) = self.worker_index.get(name) {
            return key;
        }
        let token = self.raise_token();
        let mut worker = Worker::new(name.clone(), self.inherited_lease_end(now), token);
        worker.late_until = self.starts_end;
        let key = self.workers.insert(worker);
        self.worker_index.insert(name.clone(), key);
        key
    }

    /// Stops gangs of which only some members are bound, and queues the ready steps.
    fn repair_gangs(&mut self, key: JobKey, now: BootTime) {
        let Some(job) = self.jobs.get(key) else { return };
        let id = job.id;
        let mut occurrences = Vec::new();
        let mut gangs = Vec::new();
        for occurrence in &job.occurrences {
            occurrences.push(occurrence.number);
            for (step, state) in occurrence.steps.iter().enumerate() {
                if job.spec.steps[step].gang
                    && state.waiting > 0
                    && state.waiting < state.unfinished
                {
                    let step = step as u32;
                    gangs.push(TaskId { job: id, occurrence: occurrence.number, step, index: 0 });
                }
            }
        }
        for gang in gangs {
            self.stop_broken_gang(gang, now);
        }
        for number in occurrences {
            self.enqueue_ready(key, number, now);
        }
    }
}
