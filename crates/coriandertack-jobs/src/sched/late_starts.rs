//! Starts that got no answer, and may still be carried out.
//!
//! A list with a higher fencing token bars such a start on the incarnation that answers, but the next one has seen no token
//! and may carry it out before its first list. Nothing that can be sent then makes a run on another worker safe, nor one under
//! another attempt: a start may reach the next incarnation as well, beside the late one. So until the start can no longer be
//! carried out, it is only repeated, on the same worker and under the same attempt. A crash ends the run there, and a late
//! copy finds the run, or is it. Once the attempt may have begun, the task waits. See docs/design.md, "When a run has
//! ended".

use std::sync::Arc;

use super::{
    Job, Placement, Scheduler, StartCommand, Task, WorkerCommand, WorkerKey,
    calls::late_until,
    worker::{Run, RunId},
};

use crate::{boot_time::BootTime, ids::TaskId, progress::TaskProgress, spec::StepSpec};

/// Time within which the first list of an incarnation that carries out a start as late as possible is answered, in
/// milliseconds. Its worker is listed without pause by then.
const FIRST_LIST_MS: u64 = 600;

/// Time after which a task is checked again if its worker holds a run of it or may carry out a newer start, in milliseconds.
const HELD_CHECK_MS: u64 = 1_000;

/// Starts of a task that a worker may still carry out, in any of its incarnations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LateStart {
    /// Name of the worker.
    worker: Arc<str>,
    /// Until when they may be carried out.
    until: BootTime,
    /// Number of starts that got no answer, including one that is under way.
    copies: u32,
    /// Whether the latest attempt may have begun or is barred, so that the next start needs another number.
    spent: bool,
}

/// Where a task may be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Destination {
    /// On any worker.
    Any,
    /// On one worker only.
    Only(WorkerKey),
    /// On none at present.
    Nowhere,
}

impl Destination {
    /// Returns true if the task may be started on the worker.
    pub(super) fn includes(self, key: WorkerKey) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == key,
            Self::Nowhere => false,
        }
    }
}

impl Task {
    /// Returns the number of the next start.
    pub(super) fn next_attempt(&self, now: BootTime) -> u32 {
        let late = self.late_start.as_ref().filter(|late| late.until > now);
        let repeats = late.is_some_and(|late| !late.spent);
        if repeats { self.attempt } else { self.attempt + 1 }
    }

    /// Returns the name of the worker that may carry out a start other than the latest one. `is_open` tells whether it may
    /// carry out that as well.
    pub(super) fn late_worker(&self, is_open: bool) -> Option<&Arc<str>> {
        let late = self.late_start.as_ref()?;
        (late.copies > u32::from(is_open)).then_some(&late.worker)
    }

    /// Records that one start fewer may be carried out.
    fn settle_start(&mut self) {
        if let Some(late) = &mut self.late_start {
            late.copies = late.copies.saturating_sub(1);
        }
        self.late_start.take_if(|late| late.copies == 0);
    }
}

impl Run {
    /// Returns true if the start was sent, and neither an answer nor a list has told its outcome.
    pub(super) const fn is_open(&self) -> bool {
        self.sent_at.is_some() && !self.repeats && !self.started
    }
}

impl Scheduler {
    /// Records that a start is sent. Unless it is answered, it may be carried out later.
    pub(super) fn expect_late_start(&mut self, key: WorkerKey, task: TaskId, now: BootTime) {
        let Some((job, ..)) = self.step(task.step_id()) else { return };
        if !self.may_start_late(job, task.step) {
            return;
        }
        let Some(worker) = self.workers.get(key).map(|worker| Arc::clone(&worker.name)) else {
            return;
        };
        let Some(state) = self.task_mut(task) else { return };
        let former = state.late_start.take().filter(|late| late.until > now);
        let copies = former.map_or(0, |late| late.copies) + 1;
        let until = late_until(now).plus_ms(FIRST_LIST_MS);
        state.late_start = Some(LateStart { worker, until, copies, spent: false });
        self.late_tasks.push_back((until, task));
    }

    /// Forgets starts that can no longer be carried out. Their jobs are recorded again, because a successor can't tell from a
    /// record how old a start is.
    pub(super) fn forget_late_starts(&mut self, now: BootTime) {
        while self.late_tasks.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, task)) = self.late_tasks.pop_front() else { return };
            let Some((_, spec, step)) = self.step(task.step_id()) else { continue };
            let Some(state) = step.tasks.get(task.index as usize) else { continue };
            if state.late_start.is_none() {
                continue;
            }
            match self.destination(task, spec, state, now) {
                Destination::Any => {
                    if let Some(state) = self.task_mut(task) {
                        state.late_start = None;
                    }
                    if let Some(&job) = self.job_index.get(&task.job) {
                        self.mark_changed(job);
                    }
                }
                // A newer start may still be carried out, or the worker holds a run of the task.
                Destination::Only(_) | Destination::Nowhere => {
                    self.late_tasks.push_back((now.plus_ms(HELD_CHECK_MS), task));
                }
            }
        }
    }

    /// Records that a start was answered or was not sent, so that it is not carried out later.
    pub(super) fn settle_start(&mut self, task: TaskId) {
        if let Some(state) = self.task_mut(task) {
            state.settle_start();
        }
    }

    /// Records that a start got no answer. If it is the only one, a list that has shown the run tells that it was carried out.
    pub(super) fn extend_late_start(&mut self, task: TaskId, shown: bool, now: BootTime) {
        let Some(state) = self.task_mut(task) else { return };
        let Some(late) = &mut state.late_start else { return };
        late.until = late_until(now).plus_ms(FIRST_LIST_MS);
        if shown && late.copies == 1 {
            state.late_start = None;
        }
    }

    /// Records that a run of the latest attempt has begun. `in_flight` tells whether a start awaits its answer.
    pub(super) fn record_begun(&mut self, task: TaskId, attempt: u32, in_flight: bool) {
        let Some(state) = self.task_mut(task).filter(|state| state.attempt == attempt) else {
            return;
        };
        let Some(late) = &mut state.late_start else { return };
        if !late.spent && late.copies == 1 && !in_flight {
            state.late_start = None;
        } else {
            late.spent = true;
        }
    }

    /// Records that the latest attempt is barred on the worker to which its task is bound, or may have run on a former
    /// incarnation of it.
    pub(super) fn record_barred(&mut self, task: TaskId, attempt: u32) {
        let state = self.task_mut(task).filter(|state| state.attempt == attempt);
        if let Some(late) = state.and_then(|state| state.late_start.as_mut()) {
            late.spent = true;
        }
    }

    /// Restores which worker may carry out starts of a task that a former leader sent: that of the last one, if the record
    /// binds the task to it, and that of earlier ones.
    pub(super) fn inherit_late_start(&self, job: &Job, task: &TaskProgress) -> Option<LateStart> {
        if !self.may_start_late(job, task.step) {
            return None;
        }
        let bound = task.worker.as_ref().filter(|_| !task.done);
        let earlier = task.late_worker.as_ref();
        let worker = Arc::clone(earlier.or(bound)?);
        let copies = u32::from(bound.is_some()) + u32::from(earlier.is_some());
        Some(LateStart { worker, until: self.starts_end, copies, spent: task.born.is_none() })
    }

    /// Returns true if a late start of a step may run beside another run of its task, and must not.
    ///
    /// Copies of a speculative task may run in parallel, and the next incarnation refuses the ticket of a former one.
    fn may_start_late(&self, job: &Job, step: u32) -> bool {
        let speculative = job.spec.steps.get(step as usize).is_none_or(|step| step.speculative);
        !speculative && self.route_of(job).advice.is_none()
    }

    /// Returns where a task may be started. While a worker may carry out an earlier start, the task is not started elsewhere,
    /// nor under another attempt. A long-running task is started under another attempt, on the same worker, because the
    /// rules count an outage of that length as a lost task (rules, LOST).
    pub(super) fn destination(
        &self,
        id: TaskId,
        spec: &StepSpec,
        task: &Task,
        now: BootTime,
    ) -> Destination {
        let Some(late) = &task.late_start else { return Destination::Any };
        let waits = (late.spent || spec.gang) && !spec.lasting;
        let worker = self.worker_index.get(&late.worker).copied();
        let is_held = worker.is_some_and(|key| {
            let bound = (task.placement == Placement::Bound(key)).then_some((id, task.attempt));
            let mut runs = self.workers.get(key).into_iter().flat_map(|worker| worker.runs.keys());
            runs.any(|run| run.0 == id && Some(*run) != bound)
        });
        match worker {
            _ if is_held => Destination::Nowhere,
            _ if late.until <= now => Destination::Any,
            _ if waits => Destination::Nowhere,
            Some(key) => Destination::Only(key),
            None => Destination::Nowhere,
        }
    }

    /// Repeats a start that was not carried out but still may be. Returns false if the run is to be removed.
    ///
    /// The run keeps the capacity that it occupies. On a worker that gets no more tasks, the start is not repeated.
    pub(super) fn repeat_start(&mut self, key: WorkerKey, id: RunId, now: BootTime) -> bool {
        let (task, attempt) = id;
        let Some((job, spec, _)) = self.step(task.step_id()) else { return false };
        let (payload, service) =
            (Arc::clone(&job.spec.payload), self.route_of(job).service.clone());
        let held = self.held_jobs.contains(&task.job);
        let Some(state) = self.task(task) else { return false };
        let may_be_late =
            state.late_start.as_ref().is_some_and(|late| !late.spent && late.until > now);
        let is_bound = state.placement == Placement::Bound(key) && state.attempt == attempt;
        let Some(worker) = self.workers.get(key) else { return false };
        let is_alone = !worker.runs.keys().any(|(other, run)| *other == task && *run != attempt);
        if held || !(may_be_late && is_bound && is_alone) {
            return false;
        }
        if !worker.stays_in_service() || !worker.is_suitable(spec, &service) {
            return false;
        }
        let (checkpoint, name) = (Arc::clone(&state.checkpoint), Arc::clone(&worker.name));
        let Some(run) = self.workers.get_mut(key).and_then(|worker| worker.runs.get_mut(id)) else {
            return false;
        };
        (run.confirmed_at, run.repeats) = (None, true);
        let waited_ms = now.ms_since(run.bound_at);
        log::info!("event=start_repeated task={task} attempt={attempt} worker={name}");
        self.stats.repeated += 1;
        if let Some(&job) = self.job_index.get(&task.job) {
            self.mark_changed(job);
        }
        self.commands.push(WorkerCommand::Start(StartCommand {
            worker: key,
            task,
            attempt,
            payload,
            checkpoint,
            ticket: None,
            waited_ms,
        }));
        true
    }

    /// Binds a waiting task to the worker that has carried out its latest start late. The run is the task's only one.
    pub(super) fn adopt_late_run(&mut self, key: WorkerKey, task: TaskId, attempt: u32) {
        let Some((_, spec, _)) = self.step(task.step_id()) else { return };
        let Some(worker) = self.workers.get(key) else { return };
        let is_late = |state: &Task| {
            let late = state.late_start.as_ref().is_some_and(|late| late.worker == worker.name);
            // A second failure of an attempt would not be counted.
            let counts = state.counted_attempt < attempt;
            late && counts && state.placement == Placement::Waiting && state.attempt == attempt
        };
        if spec.gang || !self.task(task).is_some_and(is_late) {
            return;
        }
        log::info!("event=late_run_adopted task={task} attempt={attempt} worker={}", worker.name);
        let Some(step) = self.step_mut(task.step_id()) else { return };
        let Some(state) = step.tasks.get_mut(task.index as usize) else { return };
        state.placement = Placement::Bound(key);
        step.waiting -= 1;
        if step.waiting == 0 {
            self.dequeue(task.step_id());
        }
        if let Some(&job) = self.job_index.get(&task.job) {
            self.mark_changed(job);
        }
    }
}
