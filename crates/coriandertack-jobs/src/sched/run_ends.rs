//! Handling of the ends of runs.

use std::sync::Arc;

use super::{Placement, Scheduler, WorkerKey};

use crate::{
    boot_time::BootTime,
    ids::TaskId,
    progress::JobPhase,
    report::{EndCause, RunEnd},
};

/// How long the tasks of a step avoid a worker on which one of them failed, in milliseconds. The
/// number of attempts is small, and a worker that fails everything it runs does so for 4 to 8 s.
const STEP_EXCLUSION_MS: u64 = 5_000;

impl Scheduler {
    /// Processes the end of a run that a worker listed.
    pub(super) fn process_end(&mut self, key: WorkerKey, end: &RunEnd, now: BootTime) {
        let (task, attempt) = (end.task, end.attempt);
        let closed = self.closed_jobs.contains(&task.job);
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.processed_end = worker.processed_end.max(end.number);
        if closed {
            worker.held_end = Some(worker.held_end.map_or(end.number, |held| held.min(end.number)));
        }
        let run = worker.take_run(&mut self.ledger, (task, attempt));
        let in_flight = run.as_ref().is_some_and(|run| run.in_flight);
        let run_ms = run.map_or(0, |run| now.ms_since(run.bound_at));
        let (name, born) = (Arc::clone(&worker.name), worker.born.unwrap_or_default());
        self.stats.ends[end.cause as usize] += 1;
        log::info!(
            "event=run_ended task={task} attempt={attempt} worker={name} cause={} run_ms={run_ms} end={} \
             born={born} known={}",
            end.cause,
            end.number,
            self.knowledge_of(task, attempt)
        );
        match end.cause {
            EndCause::Done => self.record_success(key),
            EndCause::Failed => self.record_failure(key, task.job, now),
            EndCause::Stopped | EndCause::Lapsed | EndCause::Broken | EndCause::Alone => {}
        }
        self.record_begun(task, attempt, in_flight);
        let Some(known) = self.task(task) else { return };
        if known.placement == Placement::Done {
            return;
        }
        let latest = known.attempt == attempt;
        if latest && !end.checkpoint.is_empty() && end.cause != EndCause::Done {
            self.record_checkpoint(task, &end.checkpoint);
        }
        match end.cause {
            EndCause::Done => {
                if let Some(state) = self.task_mut(task) {
                    state.completed_run = Some((key, run_ms));
                }
                self.complete_task(key, task, attempt, now);
            }
            EndCause::Failed => self.fail_attempt(key, task, attempt, now),
            EndCause::Stopped | EndCause::Lapsed | EndCause::Broken | EndCause::Alone => {
                self.requeue_task(key, task, attempt, "ended", now);
            }
        }
    }

    /// Returns what the leader knows of a run that ended, for the log.
    fn knowledge_of(&self, task: TaskId, attempt: u32) -> &'static str {
        match self.task(task) {
            Some(known) if known.placement == Placement::Done => "done",
            Some(known) if known.attempt == attempt => "latest",
            Some(_) => "other_attempt",
            None if self.closed_jobs.contains(&task.job) => "job_closed",
            None if self.ended_jobs.contains_key(&task.job) => "job_ended",
            None => "job_unknown",
        }
    }

    /// Processes the ends again that were held, with the next list of their worker.
    pub(super) fn process_held_ends(&mut self) {
        for worker in self.workers.values_mut() {
            if let Some(held) = worker.held_end.take() {
                worker.processed_end = held - 1;
            }
        }
    }

    /// Changes the phase of a queued job to running.
    pub(super) fn mark_running(&mut self, task: TaskId) {
        let Some(&key) = self.job_index.get(&task.job) else { return };
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.phase == JobPhase::Queued {
            job.phase = JobPhase::Running;
            self.mark_changed(key);
        }
    }

    /// Completes a task after a run on a worker; the end of one member completes a whole gang.
    fn complete_task(&mut self, key: WorkerKey, task: TaskId, attempt: u32, now: BootTime) {
        let id = task.step_id();
        let Some((_, spec, _)) = self.step(id) else { return };
        let (gang, lasting, count) = (spec.gang, spec.lasting, spec.count);
        if lasting {
            // Long-running tasks restart whatever the cause of their end. A worker that was cut off
            // may list the end of a former attempt beside which the latest one runs on.
            self.requeue_task(key, task, attempt, "restart", now);
            return;
        }
        self.mark_running(task);
        let members: Vec<u32> = match gang {
            true => (0..count).collect(),
            false => vec![task.index],
        };
        for index in members {
            self.mark_done(TaskId { index, ..task }, now);
        }
        let Some(&key) = self.job_index.get(&task.job) else { return };
        self.mark_changed(key);
        if self.step(id).is_some_and(|(_, _, step)| step.waiting == 0) {
            self.dequeue(id);
        }
        if self.step(id).is_some_and(|(_, _, step)| step.unfinished == 0) {
            self.learn_speeds(id);
        }
        self.advance_job(id, now);
    }

    /// Marks one task as done and stops any other run of it.
    fn mark_done(&mut self, task: TaskId, now: BootTime) {
        let Some(step) = self.step_mut(task.step_id()) else { return };
        let Some(state) = step.tasks.get_mut(task.index as usize) else { return };
        let (before, attempt) = (state.placement, state.attempt);
        state.placement = Placement::Done;
        state.checkpoint = Arc::default();
        match before {
            Placement::Done => return,
            Placement::Waiting => step.waiting -= 1,
            Placement::Bound(_) => {}
        }
        step.unfinished -= 1;
        if let Placement::Bound(worker) = before
            && self.step(task.step_id()).is_some_and(|(_, spec, _)| !spec.gang)
        {
            self.stop_run(worker, task, attempt, "done", now);
        }
    }

    /// Counts a failed attempt and returns the task to the waiting state. The job fails when the
    /// route allows no further attempt, unless the task is long-running.
    fn fail_attempt(&mut self, worker: WorkerKey, task: TaskId, attempt: u32, now: BootTime) {
        let id = task.step_id();
        let Some((job, spec, _)) = self.step(id) else { return };
        let (gang, lasting) = (spec.gang, spec.lasting);
        let max_attempts = self.route_of(job).max_attempts.max(1);
        let Some(&key) = self.job_index.get(&task.job) else { return };
        let Some(step) = self.step_mut(id) else { return };
        let members: Vec<u32> = match gang {
            true => (0..step.tasks.len() as u32).collect(),
            false => vec![task.index],
        };
        let mut failures = 0;
        for index in members {
            let Some(state) = step.tasks.get_mut(index as usize) else { continue };
            state.failures += u32::from(state.counted_attempt < attempt);
            state.counted_attempt = state.counted_attempt.max(attempt);
            failures = failures.max(state.failures);
        }
        step.excluded.retain(|(_, until)| *until > now);
        step.excluded.push((worker, now.plus_ms(STEP_EXCLUSION_MS)));
        self.mark_changed(key);
        log::info!(
            "event=run_failed task={task} attempt={attempt} failures={failures} allowed={max_attempts}"
        );
        self.requeue_task(worker, task, attempt, "failed", now);
        if failures >= max_attempts && !lasting {
            self.fail_job(key, now);
        }
    }

    /// Returns a task to the waiting state after its run on a worker has gone. Has no effect unless
    /// the run is the latest one.
    pub(super) fn requeue_task(
        &mut self,
        worker: WorkerKey,
        task: TaskId,
        attempt: u32,
        reason: &'static str,
        now: BootTime,
    ) {
        let Some(state) = self.task_mut(task) else { return };
        if state.placement != Placement::Bound(worker) || state.attempt != attempt {
            return;
        }
        state.placement = Placement::Waiting;
        let id = task.step_id();
        let Some(step) = self.step_mut(id) else { return };
        step.waiting += 1;
        log::info!("event=task_waits task={task} attempt={attempt} reason={reason}");
        let Some(&key) = self.job_index.get(&task.job) else { return };
        self.mark_changed(key);
        self.stop_broken_gang(task, now);
        self.enqueue_ready(key, task.occurrence, now);
    }

    /// Stops the remaining bound members of a gang once any member is no longer bound.
    pub(super) fn stop_broken_gang(&mut self, task: TaskId, now: BootTime) {
        let Some((_, spec, step)) = self.step(task.step_id()) else { return };
        if !spec.gang || step.waiting == 0 {
            return;
        }
        let bound: Vec<_> = step
            .tasks
            .iter()
            .enumerate()
            .filter_map(|(index, member)| match member.placement {
                Placement::Bound(worker) => Some((worker, index as u32, member.attempt)),
                Placement::Waiting | Placement::Done => None,
            })
            .collect();
        for (worker, index, attempt) in bound {
            self.stop_run(worker, TaskId { index, ..task }, attempt, "gang", now);
        }
    }
}
