//! Tasks that crash the workers on which they start.
//!
//! A lost worker held many runs, and nothing tells which of them caused the loss. A run that had
//! just started is the likeliest cause. Its task becomes a suspect: it starts again on probation,
//! on a worker that takes no other task until the run has survived [`PROBATION_MS`]. A second crash
//! is then the task's own, and its job fails. A task that is only near the crashes of others ends
//! its probation alone. The counts are part of the progress record that precedes each start, so a
//! new leader continues them. See docs/notes/crashes.md.

use std::{collections::HashSet, sync::Arc};

use super::{LossCause, Placement, Scheduler, Task, Worker, WorkerKey, worker::Run};

use crate::{
    boot_time::BootTime,
    ids::{StepId, TaskId},
};

/// Time after its start within which a run is suspected of a crash, and for which a suspect's next
/// run is on probation, in milliseconds.
pub(super) const PROBATION_MS: u64 = 500;

/// Number of crashes soon after its start with which a task is given up if no other run can have
/// caused the last one.
const PROVEN_CRASHES: u32 = 2;

/// Time for which a suspect waits for a worker without young runs, in milliseconds. Beside such a
/// run, a crash would prove nothing.
const ISOLATION_WAIT_MS: u64 = 1_000;

/// Number of crashes at any time of a run with which its task is given up. A task may be started
/// twice more after three crashes (rules, BUDGET).
const MAX_CRASHES: u32 = 5;

/// Duration after which a long-running task is not related to the loss of its worker, in
/// milliseconds. Without it, such a task would be given up after the losses of a few weeks. A task
/// that has an end is on few workers, so each loss counts: it may crash them late in its run.
const STABLE_MS: u64 = 10_000;

/// A loss that was counted against a task although its worker may run on behind a cut.
#[derive(Clone, Debug)]
pub(super) struct Lapse {
    worker: Arc<str>,
    /// Incarnation of the worker that held the run.
    born: u64,
    task: TaskId,
}

/// What the loss of its worker says about one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// The run did not cause the loss.
    None,
    /// The run is of a long-running task, and has worked for so long that it does not crash workers.
    Stable,
    /// The run may have been on the worker, but is not known to have just started.
    Present,
    /// The worker had just started the run.
    Early,
}

impl Task {
    /// Returns true if the next run of the task is to be on probation.
    pub(super) fn is_suspect(&self) -> bool {
        self.early_crashes > 0 || self.crashes >= PROVEN_CRASHES
    }

    fn record_crash(&mut self, evidence: Evidence) {
        match evidence {
            Evidence::None => {}
            Evidence::Stable => (self.crashes, self.early_crashes) = (0, 0),
            Evidence::Present => self.crashes += 1,
            Evidence::Early => {
                self.crashes += 1;
                self.early_crashes += 1;
            }
        }
    }

    /// Returns true if the task is not started again. `alone` is set if no other run can have caused
    /// the last crash.
    fn is_given_up(&self, alone: bool) -> bool {
        (alone && self.early_crashes >= PROVEN_CRASHES) || self.crashes >= MAX_CRASHES
    }
}

impl Run {
    /// Returns true until the run has survived its probation, if it has one.
    fn is_on_probation(&self, now: BootTime) -> bool {
        self.probation && self.is_young(now)
    }

    /// Returns true until the worker has had the run for [`PROBATION_MS`].
    fn is_young(&self, now: BootTime) -> bool {
        self.confirmed_at.is_none_or(|at| now.ms_since(at) < PROBATION_MS)
    }

    /// Returns what the loss of the worker at `failed_at` says about the run. `lasting` is set if its
    /// task is long-running.
    fn evidence(&self, cause: LossCause, lasting: bool, failed_at: BootTime) -> Evidence {
        let Some(sent_at) = self.sent_at else { return Evidence::None };
        let age_ms = failed_at.ms_since(sent_at);
        match cause {
            _ if lasting && age_ms >= STABLE_MS => Evidence::Stable,
            // The worker may be cut off and run on.
            LossCause::LeaseExpired => Evidence::Present,
            LossCause::Reborn | LossCause::Replaced | LossCause::Refused | LossCause::Unhosted => {
                let early = self.started && age_ms < PROBATION_MS;
                if early { Evidence::Early } else { Evidence::Present }
            }
        }
    }
}

impl Worker {
    /// Returns true while a run on the worker is on probation.
    pub(super) fn has_probation(&self, now: BootTime) -> bool {
        self.runs.has_probations() && self.runs.values().any(|run| run.is_on_probation(now))
    }

    /// Returns true if a crash of the worker would put other tasks under suspicion too.
    pub(super) fn has_young_runs(&self, now: BootTime) -> bool {
        self.runs.values().any(|run| run.is_young(now))
    }

    /// Returns true if the worker was about to end its runs anyway.
    fn is_leaving(&self) -> bool {
        self.evacuating || self.entry.as_ref().is_some_and(|entry| entry.draining)
    }
}

impl Scheduler {
    /// Returns true if any task of a step is a suspect.
    pub(super) fn has_suspects(&self, id: StepId) -> bool {
        self.step(id).is_some_and(|(.., step)| step.tasks.iter().any(Task::is_suspect))
    }

    /// Returns true if a task of a step is a suspect, and no other has survived a start.
    ///
    /// The tasks of a step are alike, so if one crashes its workers, the others probably do as well.
    /// All of them start on probation until one of them has survived it.
    pub(super) fn is_unproven(&self, id: StepId, now: BootTime) -> bool {
        let Some((.., step)) = self.step(id) else { return false };
        let survived = |(index, task): (usize, &Task)| match task.placement {
            Placement::Waiting => false,
            Placement::Bound(_) => {
                self.bound_run(id, index, task).is_some_and(|run| !run.is_young(now))
            }
            Placement::Done => true,
        };
        step.tasks.iter().any(Task::is_suspect) && !step.tasks.iter().enumerate().any(survived)
    }

    /// Returns how many tasks of a step may start on probation now. In a step of which none has
    /// survived a start, only one does at a time.
    pub(super) fn probation_limit(&self, id: StepId, now: BootTime) -> usize {
        let Some((.., step)) = self.step(id) else { return 0 };
        if !self.is_unproven(id, now) {
            return step.tasks.len();
        }
        let on_probation = |(index, task): (usize, &Task)| {
            self.bound_run(id, index, task).is_some_and(|run| run.is_on_probation(now))
        };
        usize::from(!step.tasks.iter().enumerate().any(on_probation))
    }

    /// Returns the run of a task of a step on the worker that it is bound to.
    pub(super) fn bound_run(&self, id: StepId, index: usize, task: &Task) -> Option<&Run> {
        let Placement::Bound(key) = task.placement else { return None };
        self.workers.get(key)?.runs.get(&(id.task(index as u32), task.attempt))
    }

    /// Returns true while the suspects of a step wait for workers without young runs.
    pub(super) fn awaits_isolation(&self, id: StepId, now: BootTime) -> bool {
        self.step(id).is_some_and(|(.., step)| now.ms_since(step.ready_at) < ISOLATION_WAIT_MS)
    }

    /// Counts the loss of a worker, which failed at `failed_at`, against the tasks that ran there.
    /// Returns the tasks that are not to be started again.
    pub(super) fn record_crash(
        &mut self,
        worker: &Worker,
        cause: LossCause,
        failed_at: BootTime,
    ) -> Vec<TaskId> {
        if worker.is_leaving() {
            return Vec::new();
        }
        let evidence: Vec<(TaskId, Option<u64>, Evidence)> = worker
            .runs
            .iter()
            .map(|((task, _), run)| {
                let lasting = self.step(task.step_id()).is_some_and(|(_, spec, _)| spec.lasting);
                (*task, run.born, run.evidence(cause, lasting, failed_at))
            })
            .collect();
        let early = evidence.iter().filter(|(.., evidence)| *evidence == Evidence::Early);
        // The tasks of a step are alike, and a job fails with any of them.
        let causes: HashSet<StepId> = early.map(|(task, ..)| task.step_id()).collect();
        if let Some(entry) = &worker.entry
            && !causes.is_empty()
        {
            let of_step = |id: &StepId| {
                let (job, _, step) = self.step(*id)?;
                let known = step.tasks.iter().any(Task::is_suspect);
                (!known).then(|| Arc::clone(&job.spec.route.name))
            };
            let routes: HashSet<Option<Arc<str>>> = causes.iter().map(of_step).collect();
            let route = routes.iter().next().filter(|_| routes.len() == 1).cloned().flatten();
            self.crash_history.record_crash(&entry.service, route.as_ref(), failed_at);
        }
        let mut lapses = std::mem::take(&mut self.lapses);
        lapses.retain(|lapse| self.task(lapse.task).is_some());
        let mut given_up = Vec::new();
        for (id, born, evidence) in evidence {
            let alone = causes.len() == 1 && evidence == Evidence::Early;
            let Some(task) = self.task_mut(id) else { continue };
            task.record_crash(evidence);
            match (evidence, born) {
                // Lapses before a reset must not reduce the count after it.
                (Evidence::Stable, _) => lapses.retain(|lapse| lapse.task != id),
                (Evidence::Present, Some(born)) if cause == LossCause::LeaseExpired => {
                    lapses.push(Lapse { worker: Arc::clone(&worker.name), born, task: id });
                }
                _ => {}
            }
            if evidence != Evidence::None && task.is_given_up(alone) {
                given_up.push(id);
            }
        }
        self.lapses = lapses;
        given_up
    }

    /// Removes the lapses of a worker from the counts of crashes if the incarnation that held the runs
    /// has returned a list: it was cut off or suspended, and did not crash. See docs/notes/crashes.md.
    pub(super) fn retract_lapses(&mut self, key: WorkerKey, born: u64) {
        let Some(worker) = self.workers.get(key) else { return };
        let is_of_worker = |lapse: &mut Lapse| lapse.worker == worker.name;
        let settled: Vec<Lapse> = self.lapses.extract_if(.., is_of_worker).collect();
        for lapse in settled.into_iter().filter(|lapse| lapse.born == born) {
            let Some(task) = self.task_mut(lapse.task) else { continue };
            task.crashes = task.crashes.saturating_sub(1);
            log::info!(
                "event=crash_retracted task={} worker={} crashes={}",
                lapse.task,
                lapse.worker,
                task.crashes
            );
            if let Some(&job) = self.job_index.get(&lapse.task.job) {
                self.mark_changed(job);
            }
        }
    }

    /// Fails the job of a task that crashes its workers.
    pub(super) fn give_up_task(&mut self, id: TaskId, now: BootTime) {
        let Some(task) = self.task(id) else { return };
        log::info!(
            "event=task_given_up task={id} attempt={} crashes={} early={}",
            task.attempt,
            task.crashes,
            task.early_crashes
        );
        if let Some((job, ..)) = self.step(id.step_id()) {
            let route = Arc::clone(&job.spec.route.name);
            self.crash_history.record_given_up(&route, now);
        }
        let Some(&key) = self.job_index.get(&id.job) else { return };
        if self.jobs.get(key).is_some_and(|job| !job.phase.is_final()) {
            self.stats.given_up += 1;
            self.fail_job(key, now);
        }
    }
}
