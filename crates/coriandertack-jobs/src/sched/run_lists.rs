//! What a worker's list of runs changes.

use std::sync::Arc;

use super::{Place, Scheduler, WorkerKey, worker::Run};

use crate::{
    boot_time::BootTime,
    ids::TaskId,
    report::{ActiveRun, RunList},
};

/// Time without progress after which a task counts as stalled, in milliseconds. A task seven times as long as
/// its estimate still moves by a percent within it.
const STALLED_MS: u64 = 2_500;

impl Scheduler {
    /// Applies a worker's list that was asked for at `sent`. Returns nothing if the list is of another incarnation.
    pub fn apply_run_list(
        &mut self,
        key: WorkerKey,
        sent: BootTime,
        run_list: &RunList,
        now: BootTime,
    ) -> Option<()> {
        let worker = self.workers.get_mut(key)?;
        if worker.entry.as_ref().is_some_and(|entry| entry.born != run_list.born) {
            return None;
        }
        worker.record_clock(run_list.clock_ms, now);
        worker.listed = true;
        for end in &run_list.ended {
            if self.workers.get(key).is_some_and(|worker| end.number > worker.processed_end) {
                self.ended(key, end, now);
            }
        }
        if let Some(worker) = self.workers.get(key)
            && worker.processed_end > worker.recorded_end
        {
            let seen = worker.processed_end;
            self.acks.insert(key, seen);
        }
        for running in &run_list.running {
            self.runs_there(key, running, now);
        }
        self.drop_unlisted(key, sent, run_list, now);
        self.stop_again(key, now);
        Some(())
    }

    /// Notes a run that a worker listed. A run that should not be there is stopped.
    fn runs_there(&mut self, key: WorkerKey, running: &ActiveRun, now: BootTime) {
        let (task, attempt) = (running.task, running.attempt);
        let wanted = self
            .task(task)
            .is_some_and(|known| known.place == Place::Bound(key) && known.attempt == attempt);
        let (charge, traits) = (self.charge(task), self.traits(task));
        let Some(worker) = self.workers.get_mut(key) else { return };
        if !worker.runs.contains_key(&(task, attempt)) {
            // A run of a job that nobody knows takes the whole worker until it is gone.
            let charge = charge.unwrap_or_else(|| worker.free());
            worker.used += charge;
            let mut run = Run::new(charge, traits, now);
            run.confirmed = Some(now);
            worker.runs.insert((task, attempt), run);
        }
        let Some(run) = worker.runs.get_mut(&(task, attempt)) else { return };
        if run.confirmed.is_none() {
            run.confirmed = Some(now);
            run.moved = now;
        }
        if run.percent != running.percent {
            run.percent = running.percent;
            run.moved = now;
        }
        let stalled = running.percent < 100 && now.ms_since(run.moved) > STALLED_MS;
        if !wanted {
            self.stop_run(key, task, attempt, "unknown", now);
            return;
        }
        self.began(task);
        if !running.checkpoint.is_empty() {
            self.checkpoint(task, &running.checkpoint);
        }
        if stalled {
            self.stalled(key, task, attempt, now);
        }
    }

    /// Stops a run that makes no progress, unless the members of its gang are still assembling.
    fn stalled(&mut self, key: WorkerKey, task: TaskId, attempt: u32, now: BootTime) {
        // A task that lasts makes no progress once it is at work, and stopping it would make it unavailable.
        if self.step(task.step_id()).is_some_and(|(_, spec, _)| spec.lasting) {
            return;
        }
        let fresh = self.workers.get(key).and_then(|worker| worker.runs.get(&(task, attempt)));
        if fresh.is_some_and(|run| run.stopped.is_some()) {
            return;
        }
        self.stats.stalled += 1;
        self.note_failed(key, task.job, now);
        self.stop_run(key, task, attempt, "stalled", now);
    }

    /// Keeps the newest checkpoint of a task; one of any member holds for a whole gang.
    pub(super) fn checkpoint(&mut self, task: TaskId, checkpoint: &Arc<str>) {
        let Some((_, spec, _)) = self.step(task.step_id()) else { return };
        let gang = spec.gang;
        let Some(step) = self.step_mut(task.step_id()) else { return };
        if gang {
            for member in &mut step.tasks {
                member.checkpoint = Arc::clone(checkpoint);
            }
        } else if let Some(task) = step.tasks.get_mut(task.index as usize) {
            task.checkpoint = Arc::clone(checkpoint);
        }
    }

    /// Drops runs that the worker had answered for before it was asked, and that it does not list.
    fn drop_unlisted(&mut self, key: WorkerKey, sent: BootTime, run_list: &RunList, now: BootTime) {
        let Some(worker) = self.workers.get(key) else { return };
        let listed =
            |id: &(TaskId, u32)| run_list.running.iter().any(|run| (run.task, run.attempt) == *id);
        let gone: Vec<_> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.confirmed.is_some_and(|at| at < sent))
            .map(|(id, _)| *id)
            .filter(|id| !listed(id))
            .collect();
        for (task, attempt) in gone {
            self.drop_run(key, task, attempt, "unlisted", now);
        }
    }

    /// Orders stops again that had no effect.
    fn stop_again(&mut self, key: WorkerKey, now: BootTime) {
        let Some(worker) = self.workers.get(key) else { return };
        let stopping = |run: &Run| run.stopped.is_some();
        let again: Vec<_> =
            worker.runs.iter().filter(|(_, run)| stopping(run)).map(|(id, _)| *id).collect();
        for (task, attempt) in again {
            self.stop_run(key, task, attempt, "again", now);
        }
    }
}
