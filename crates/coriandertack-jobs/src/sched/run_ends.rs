//! Ends of runs.

use std::sync::Arc;

use super::{Place, Scheduler, WorkerKey};

use crate::{
    boot_time::BootTime,
    ids::TaskId,
    progress::JobPhase,
    report::{EndCause, RunEnd},
};

/// How long the tasks of a step stay away from a worker on which one of them failed, in milliseconds. Attempts are few, and
/// workers that fail what they run do so for some seconds (the sites' sheets: 4 to 8 s).
const EXCLUDED_MS: u64 = 5_000;

impl Scheduler {
    /// Notes the end of a run that a worker listed.
    pub(super) fn ended(&mut self, key: WorkerKey, end: &RunEnd, now: BootTime) {
        let (task, attempt) = (end.task, end.attempt);
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.processed_end = worker.processed_end.max(end.number);
        let run = worker.runs.remove(&(task, attempt));
        let run_ms = run.as_ref().map_or(0, |run| now.ms_since(run.bound));
        if let Some(run) = run {
            worker.used = worker.used.saturating_sub(run.charge);
        }
        self.stats.ends[end.cause as usize] += 1;
        log::info!(
            "event=run_ended task={task} attempt={attempt} worker={} cause={} run_ms={run_ms} end={}",
            worker.name,
            end.cause,
            end.number
        );
        match end.cause {
            EndCause::Done => self.note_done(key),
            EndCause::Failed => self.note_failed(key, task.job, now),
            EndCause::Stopped | EndCause::Lapsed | EndCause::Broken | EndCause::Alone => {}
        }
        if self.task(task).is_none_or(|known| known.place == Place::Done) {
            return;
        }
        if !end.checkpoint.is_empty() && end.cause != EndCause::Done {
            self.checkpoint(task, &end.checkpoint);
        }
        match end.cause {
            EndCause::Done => {
                if let Some(state) = self.task_mut(task) {
                    state.ran = Some((key, run_ms));
                }
                self.task_done(task, now);
            }
            EndCause::Failed => self.task_failed(key, task, attempt, now),
            EndCause::Stopped | EndCause::Lapsed | EndCause::Broken | EndCause::Alone => {
                self.release(key, task, attempt, "ended", now);
            }
        }
    }

    /// Notes that a task runs, so that its job is shown as running.
    pub(super) fn began(&mut self, task: TaskId) {
        let Some(&key) = self.names.get(&task.job) else { return };
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.phase == JobPhase::Queued {
            job.phase = JobPhase::Running;
            self.mark(key);
        }
    }

    /// Marks a task as done; one end stands for all members of a gang.
    fn task_done(&mut self, task: TaskId, now: BootTime) {
        let id = task.step_id();
        let Some((_, spec, _)) = self.step(id) else { return };
        let (gang, lasting, count) = (spec.gang, spec.lasting, spec.count);
        if lasting {
            // A task that lasts is started again however it ended.
            self.release_anywhere(task, now);
            return;
        }
        self.began(task);
        let members: Vec<u32> = match gang {
            true => (0..count).collect(),
            false => vec![task.index],
        };
        for index in members {
            self.finish(TaskId { index, ..task }, now);
        }
        let Some(&key) = self.names.get(&task.job) else { return };
        self.mark(key);
        if self.step(id).is_some_and(|(_, _, step)| step.waiting == 0) {
            self.dequeue(id);
        }
        if self.step(id).is_some_and(|(_, _, step)| step.open == 0) {
            self.learn_speeds(id);
        }
        self.advance(id, now);
    }

    /// Marks one task as done, and stops another run of it.
    fn finish(&mut self, task: TaskId, now: BootTime) {
        let Some(step) = self.step_mut(task.step_id()) else { return };
        let Some(state) = step.tasks.get_mut(task.index as usize) else { return };
        let (before, attempt) = (state.place, state.attempt);
        state.place = Place::Done;
        state.checkpoint = Arc::default();
        match before {
            Place::Done => return,
            Place::Waiting => step.waiting -= 1,
            Place::Bound(_) => {}
        }
        step.open -= 1;
        if let Place::Bound(worker) = before
            && self.step(task.step_id()).is_some_and(|(_, spec, _)| !spec.gang)
        {
            self.stop_run(worker, task, attempt, "done", now);
        }
    }

    fn task_failed(&mut self, worker: WorkerKey, task: TaskId, attempt: u32, now: BootTime) {
        let id = task.step_id();
        let Some((job, spec, _)) = self.step(id) else { return };
        let (gang, lasting) = (spec.gang, spec.lasting);
        let allowed = self.route_of(job).max_attempts.max(1);
        let Some(&key) = self.names.get(&task.job) else { return };
        let Some(step) = self.step_mut(id) else { return };
        let members: Vec<u32> = match gang {
            true => (0..step.tasks.len() as u32).collect(),
            false => vec![task.index],
        };
        let mut failures = 0;
        for index in members {
            let Some(state) = step.tasks.get_mut(index as usize) else { continue };
            state.failures += u32::from(state.counted < attempt);
            state.counted = state.counted.max(attempt);
            failures = failures.max(state.failures);
        }
        step.excluded.retain(|(_, until)| *until > now);
        step.excluded.push((worker, now.plus_ms(EXCLUDED_MS)));
        self.mark(key);
        log::info!(
            "event=run_failed task={task} attempt={attempt} failures={failures} allowed={allowed}"
        );
        self.release(worker, task, attempt, "failed", now);
        if failures >= allowed && !lasting {
            self.fail_job(key, now);
        }
    }

    /// Lets a task wait again after its run on a worker is gone. An older run than the last one changes nothing.
    pub(super) fn release(
        &mut self,
        worker: WorkerKey,
        task: TaskId,
        attempt: u32,
        reason: &'static str,
        now: BootTime,
    ) {
        let Some(state) = self.task_mut(task) else { return };
        if state.place != Place::Bound(worker) || state.attempt != attempt {
            return;
        }
        state.place = Place::Waiting;
        let id = task.step_id();
        let Some(step) = self.step_mut(id) else { return };
        step.waiting += 1;
        log::info!("event=task_waits task={task} attempt={attempt} reason={reason}");
        let Some(&key) = self.names.get(&task.job) else { return };
        self.mark(key);
        self.break_gang(task, now);
        self.enqueue_ready(key, task.occurrence, now);
    }

    fn release_anywhere(&mut self, task: TaskId, now: BootTime) {
        let Some(state) = self.task(task) else { return };
        if let Place::Bound(worker) = state.place {
            let attempt = state.attempt;
            self.release(worker, task, attempt, "restart", now);
        }
    }

    /// Stops the bound members of a gang of which one is not bound any more.
    pub(super) fn break_gang(&mut self, task: TaskId, now: BootTime) {
        let Some((_, spec, step)) = self.step(task.step_id()) else { return };
        if !spec.gang || step.waiting == 0 {
            return;
        }
        let bound: Vec<_> = step
            .tasks
            .iter()
            .enumerate()
            .filter_map(|(index, member)| match member.place {
                Place::Bound(worker) => Some((worker, index as u32, member.attempt)),
                Place::Waiting | Place::Done => None,
            })
            .collect();
        for (worker, index, attempt) in bound {
            self.stop_run(worker, TaskId { index, ..task }, attempt, "gang", now);
        }
    }
}
