//! Takeover from a former leader.
//!
//! The records name every worker on which a task may run. Such a run counts as answered at the moment of the takeover:
//! the first list of the worker raises its token, so that no order of a former leader is carried out any more, and
//! shows the run or its end, or that it never was. A worker that cannot be reached is given up when the former
//! leader can no longer renew its leases.

use super::{
    JobKey, LEADERSHIP_TERM_MS, MAX_CLOCK_DRIFT_PERMILLE, MAX_LEASE_MS, MAX_RENEWAL_MS, Place,
    Scheduler,
    worker::{Run, Worker},
};

use crate::{boot_time::BootTime, ids::TaskId, progress::JobProgress};

/// How long after a takeover an unreachable worker may still hold leases of a former leader, in milliseconds.
///
/// A former leader sends starts for a while after its last proof of leadership and renews for longer. Its last lease
/// then runs on a clock that may be slow.
pub const MAX_INHERITED_LEASE_MS: u64 = {
    let act = if MAX_RENEWAL_MS > LEADERSHIP_TERM_MS { MAX_RENEWAL_MS } else { LEADERSHIP_TERM_MS };
    act + MAX_LEASE_MS + (act + MAX_LEASE_MS) * MAX_CLOCK_DRIFT_PERMILLE / 1_000 + 500
};

impl Scheduler {
    /// Puts the recorded progress of a job into its state.
    pub(super) fn adopt(&mut self, key: JobKey, known: &JobProgress, now: BootTime) {
        let mut numbers: Vec<u32> = known.tasks.iter().map(|task| task.occurrence).collect();
        numbers.sort_unstable();
        numbers.dedup();
        for number in numbers {
            self.open_quietly(key, number, now);
        }
        let Some(job) = self.jobs.get(key) else { return };
        let (id, spec) = (job.id, job.spec.clone());
        for task in &known.tasks {
            let Some(step) = spec.steps.get(task.step as usize) else { continue };
            let name =
                TaskId { job: id, occurrence: task.occurrence, step: task.step, index: task.index };
            let place = match (&task.worker, task.done) {
                (_, true) => Place::Done,
                (None, false) => Place::Waiting,
                (Some(worker), false) => {
                    let worker = self.inherited(worker, now);
                    let mut run = Run::new(step.capacity_charge(), self.traits(name), now);
                    run.confirmed = Some(now);
                    if let Some(worker) = self.workers.get_mut(worker) {
                        worker.inherit_leases(now.plus_ms(MAX_INHERITED_LEASE_MS));
                        worker.used += run.charge;
                        worker.runs.insert((name, task.attempt), run);
                    }
                    Place::Bound(worker)
                }
            };
            let Some(step) =
                self.jobs.get_mut(key).and_then(|job| job.step_mut(task.occurrence, task.step))
            else {
                continue;
            };
            let Some(state) = step.tasks.get_mut(task.index as usize) else { continue };
            state.attempt = task.attempt;
            state.failures = task.failures;
            state.counted = task.counted_attempt;
            state.checkpoint = task.checkpoint.clone();
            state.place = place;
            step.waiting -= u32::from(place != Place::Waiting);
            step.open -= u32::from(place == Place::Done);
        }
        self.mend_gangs(key, now);
    }

    /// Opens an occurrence without queueing its steps.
    fn open_quietly(&mut self, key: JobKey, number: u32, now: BootTime) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.upcoming = job.upcoming.max(number + 1);
        let steps = job.spec.steps.iter().map(|step| super::Step::new(step, now)).collect();
        job.occurrences.push(super::Occurrence { number, steps });
    }

    /// Returns the worker that a record names, with room for late leases if nothing else is known of it.
    fn inherited(&mut self, name: &std::sync::Arc<str>, now: BootTime) -> super::WorkerKey {
        if let Some(&key) = self.worker_names.get(name) {
            return key;
        }
        let worker = Worker::new(name.clone(), now.plus_ms(MAX_INHERITED_LEASE_MS));
        let key = self.workers.insert(worker);
        self.worker_names.insert(name.clone(), key);
        key
    }

    /// Stops gangs of which only some members are bound, and queues what is ready.
    fn mend_gangs(&mut self, key: JobKey, now: BootTime) {
        let Some(job) = self.jobs.get(key) else { return };
        let id = job.id;
        let mut numbers = Vec::new();
        let mut gangs = Vec::new();
        for open in &job.occurrences {
            numbers.push(open.number);
            for (step, state) in open.steps.iter().enumerate() {
                if job.spec.steps[step].gang && state.waiting > 0 && state.waiting < state.open {
                    let step = step as u32;
                    gangs.push(TaskId { job: id, occurrence: open.number, step, index: 0 });
                }
            }
        }
        for gang in gangs {
            self.break_gang(gang, now);
        }
        for number in numbers {
            self.enqueue_ready(key, number, now);
        }
    }
}
