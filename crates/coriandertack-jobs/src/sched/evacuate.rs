//! Emptying a worker whose machine is to go down.

use super::{Place, Scheduler};

use crate::{boot_time::BootTime, ids::TaskId, maintenance::Occupancy};

/// Time within which a run may end by itself before the worker's machine goes down, in milliseconds. Stopping it costs a
/// start elsewhere and what it did since its last checkpoint.
const WORTH_WAITING_MS: u64 = 1_500;

impl Scheduler {
    /// Closes a worker and moves its runs away, as far as that is allowed now. Returns what is left.
    ///
    /// A task that lasts is stopped only while fewer tasks of its step are away than its `max_unavailable` says.
    pub fn evacuate(&mut self, name: &str, now: BootTime) -> Occupancy {
        let Some(&key) = self.worker_names.get(name) else { return Occupancy::Empty };
        let Some(worker) = self.workers.get_mut(key) else { return Occupancy::Empty };
        if !std::mem::replace(&mut worker.leaving, true) {
            log::info!("event=worker_leaves worker={name} runs={}", worker.runs.len());
        }
        let runs: Vec<_> = worker
            .runs
            .iter()
            .map(|(id, run)| (*id, run.left_ms(now), run.stopped.is_some()))
            .collect();
        let mut occupancy = Occupancy::Empty;
        for ((task, attempt), left_ms, stopped) in runs {
            let Some((_, spec, _)) = self.step(task.step_id()) else {
                occupancy = Occupancy::Batch;
                continue;
            };
            let (lasting, saves) = (spec.lasting, spec.checkpointing);
            let may_stop = match lasting {
                true => self.may_be_away(task),
                false => saves && left_ms > WORTH_WAITING_MS,
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

    /// Opens a worker again whose machine does not go down after all.
    pub fn reopen_worker(&mut self, name: &str) {
        let key = self.worker_names.get(name).copied();
        if let Some(worker) = key.and_then(|key| self.workers.get_mut(key))
            && std::mem::replace(&mut worker.leaving, false)
        {
            log::info!("event=worker_stays worker={name}");
        }
    }

    /// Tells whether one more task of a step may be unavailable.
    fn may_be_away(&self, task: TaskId) -> bool {
        let Some((_, spec, step)) = self.step(task.step_id()) else { return true };
        let Some(most) = spec.max_unavailable else { return true };
        let at_work = |(index, state): (usize, &super::Task)| {
            let Place::Bound(worker) = state.place else { return false };
            let id = (TaskId { index: index as u32, ..task }, state.attempt);
            let run = self.workers.get(worker).and_then(|worker| worker.runs.get(&id));
            run.is_some_and(|run| run.percent >= 100 && run.stopped.is_none())
        };
        let working =
            step.tasks.iter().enumerate().filter(|(index, state)| at_work((*index, state)));
        let away = step.tasks.len() - working.count();
        away < most as usize
    }
}
