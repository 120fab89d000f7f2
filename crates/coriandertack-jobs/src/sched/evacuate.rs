//! Evacuation of workers whose machine is to go down.

use super::{Placement, Scheduler};

use crate::{boot_time::BootTime, ids::TaskId, maintenance::Occupancy};

/// Predicted remaining time up to which a run is left to end by itself, in milliseconds. Stopping
/// it costs a restart elsewhere and the work since its last checkpoint.
const MAX_RUN_WAIT_MS: u64 = 1_500;

impl Scheduler {
    /// Returns true if the scheduler knows a worker with this name.
    #[must_use]
    pub fn has_worker(&self, name: &str) -> bool {
        self.worker_index.contains_key(name)
    }

    /// Closes a worker to new tasks and stops the runs that may be moved elsewhere now. Returns
    /// what remains on the worker.
    ///
    /// A batch run is stopped only if it writes checkpoints and is not predicted to end within
    /// 1.5 s. A long-running task is stopped only while fewer tasks of its step are unavailable
    /// than its `max_unavailable` allows.
    pub fn evacuate(&mut self, name: &str, now: BootTime) -> Occupancy {
        let Some(&key) = self.worker_index.get(name) else { return Occupancy::Unknown };
        let Some(worker) = self.workers.get_mut(key) else { return Occupancy::Unknown };
        if !std::mem::replace(&mut worker.evacuating, true) {
            log::info!("event=worker_leaves worker={name} runs={}", worker.runs.len());
        }
        let runs: Vec<_> = worker
            .runs
            .iter()
            .map(|(id, run)| (*id, run.remaining_ms(now), run.stopped_at.is_some()))
            .collect();
        let mut occupancy = Occupancy::Empty;
        for ((task, attempt), remaining_ms, stopped) in runs {
            let Some((_, spec, _)) = self.step(task.step_id()) else {
                occupancy = Occupancy::Batch;
                continue;
            };
            let (lasting, checkpointing) = (spec.lasting, spec.checkpointing);
            let may_stop = match lasting {
                true => self.may_disrupt(task),
                false => checkpointing && remaining_ms > MAX_RUN_WAIT_MS,
            };
            if may_stop && !stopped {
                self.stop_run(key, task, attempt, "upkeep", now);
            }
            if lasting && !stopped && !may_stop {
                occupancy = Occupancy::Serving;
            } else if occupancy == Occupancy::Empty {
                occupancy = Occupancy::Batch;
            }
        }
        occupancy
    }

    /// Reopens a worker whose machine does not go down after all.
    pub fn reopen_worker(&mut self, name: &str) {
        let key = self.worker_index.get(name).copied();
        if let Some(worker) = key.and_then(|key| self.workers.get_mut(key))
            && std::mem::replace(&mut worker.evacuating, false)
        {
            log::info!("event=worker_stays worker={name}");
        }
    }

    /// Returns true if one more task of the step may become unavailable.
    fn may_disrupt(&self, task: TaskId) -> bool {
        let Some((_, spec, step)) = self.step(task.step_id()) else { return true };
        let Some(max_unavailable) = spec.max_unavailable else { return true };
        let is_serving = |(index, state): (usize, &super::Task)| {
            let Placement::Bound(worker) = state.placement else { return false };
            let id = (TaskId { index: index as u32, ..task }, state.attempt);
            let run = self.workers.get(worker).and_then(|worker| worker.runs.get(&id));
            run.is_some_and(|run| run.percent >= 100 && run.stopped_at.is_none())
        };
        let serving =
            step.tasks.iter().enumerate().filter(|(index, state)| is_serving((*index, state)));
        let unavailable = step.tasks.len() - serving.count();
        unavailable < max_unavailable as usize
    }
}
