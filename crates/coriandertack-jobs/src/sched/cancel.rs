//! Cancellation of jobs.

use super::{Placement, Scheduler};

use crate::{
    access::{Caller, Cancellers},
    boot_time::BootTime,
    ids::{JobId, StepId, TaskId},
    progress::JobPhase,
};

impl Scheduler {
    /// Cancels a job on the request of callers, if one of them may use it.
    ///
    /// A cancellation that a VM forwards may arrive before the submission is read from another
    /// stream, so one of an unknown job is kept until the job is admitted.
    pub fn cancel_by(&mut self, id: JobId, callers: &Cancellers, now: BootTime) {
        match self.spec_of(id) {
            Some(spec) if callers.may_cancel(spec.team.as_deref()) => self.cancel_known(id, now),
            Some(_) => log::info!("event=cancel_ignored job={id} reason=other_team"),
            None => self.early_cancels.entry(id).or_default().add(callers),
        }
    }

    /// Cancels a job of any team, like [`Self::cancel_by`].
    pub fn cancel(&mut self, id: JobId, now: BootTime) {
        self.cancel_by(id, &Caller::Unchecked.into(), now);
    }

    /// Cancels an admitted job. Waiting tasks are dropped and running ones stopped.
    fn cancel_known(&mut self, id: JobId, now: BootTime) {
        let Some(&key) = self.job_index.get(&id) else { return };
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.phase.is_final() {
            return;
        }
        job.cancelled = true;
        job.phase = JobPhase::Cancelled;
        log::info!("event=job_cancelled job={id} waited_ms={}", now.ms_since(job.admitted_at));
        self.mark_changed(key);
        self.stop_job(id, now);
    }

    /// Stops every run of a job and removes its steps from the queue.
    pub(super) fn stop_job(&mut self, id: JobId, now: BootTime) {
        let Some(job) = self.job_index.get(&id).and_then(|&key| self.jobs.get(key)) else { return };
        let mut steps = Vec::new();
        let mut runs = Vec::new();
        for occurrence in &job.occurrences {
            for (step, state) in occurrence.steps.iter().enumerate() {
                let step = step as u32;
                steps.push(StepId { job: id, occurrence: occurrence.number, step });
                for (index, task) in state.tasks.iter().enumerate() {
                    let Placement::Bound(worker) = task.placement else { continue };
                    let index = index as u32;
                    let task_id = TaskId { job: id, occurrence: occurrence.number, step, index };
                    runs.push((worker, task_id, task.attempt));
                }
            }
        }
        for step in steps {
            self.dequeue(step);
        }
        for (worker, task, attempt) in runs {
            self.stop_run(worker, task, attempt, "ended_job", now);
        }
    }
}
