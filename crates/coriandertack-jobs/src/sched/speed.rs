//! Which workers are slower than others.
//!
//! Some workers take longer for the same work, and nothing says which. The tasks of one step are alike, so their run times
//! on different workers show it. A gang runs as fast as its slowest member and an urgent job as its slowest task, so both go
//! to quick workers; work with time to spare goes to the slow ones, which also leaves whole quick workers to gangs.
//!
//! A run is compared with the other runs of its step, less what is known of their workers. Without that, workers would
//! look alike again once a step runs on slow ones alone.

use super::{Scheduler, Step, WorkerKey};

use crate::{ids::StepId, spec::StepSpec};

/// Natural logarithm of the factor by which a worker is slower than the mean from which on it counts as slow: 8%, twice
/// the error of a mean over thirty runs that differ by a third.
const SLOW: f64 = 0.08;

/// Most that one run says, as a natural logarithm. Some runs take many times as long as the rest of their step wherever they
/// are.
const MAX_SAMPLE: f64 = 0.5;

/// Runs that the first guess, that a worker is like the mean, weighs.
const PRIOR_RUNS: f64 = 6.0;

/// Runs over which the past of a worker counts, since its speed can change.
const MEMORY_RUNS: f64 = 40.0;

/// How much slower than the mean a worker is.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Speed {
    /// Natural logarithm of the factor.
    slowness: f64,
    /// Runs that were compared, at most [`MEMORY_RUNS`].
    runs: f64,
}

impl Speed {
    /// Tells whether the worker is known to be slow.
    pub(super) fn is_slow(self) -> bool {
        self.slowness > SLOW
    }

    fn learn(&mut self, sample: f64) {
        self.runs = (self.runs + 1.0).min(MEMORY_RUNS);
        let weight = 1.0 / (self.runs + PRIOR_RUNS);
        self.slowness += (sample.clamp(-MAX_SAMPLE, MAX_SAMPLE) - self.slowness) * weight;
    }
}

impl Step {
    /// Returns the run times of the tasks that were done in their first run, with their workers.
    fn first_runs(&self) -> Vec<(WorkerKey, f64)> {
        let ran = self.tasks.iter().filter(|task| task.attempt == 1).filter_map(|task| task.ran);
        ran.map(|(worker, run_ms)| (worker, (run_ms.max(1) as f64).ln())).collect()
    }
}

impl Scheduler {
    /// Learns from the run times of a step whose tasks are all done.
    pub(super) fn learn_speeds(&mut self, id: StepId) {
        let Some((_, spec, step)) = self.step(id) else { return };
        if spec.gang || spec.lasting {
            return;
        }
        let runs = step.first_runs();
        let known = |key: &WorkerKey| self.workers.get(*key).map_or(0.0, |w| w.speed.slowness);
        let sum: f64 = runs.iter().map(|(key, time)| time - known(key)).sum();
        if runs.len() < 2 {
            return;
        }
        let mean = sum / runs.len() as f64;
        for (key, time) in runs {
            let Some(worker) = self.workers.get_mut(key) else { continue };
            let was_slow = worker.speed.is_slow();
            worker.speed.learn(time - mean);
            if worker.speed.is_slow() != was_slow {
                log::debug!(
                    "event=worker_speed worker={} slow={} factor={:.2}",
                    worker.name,
                    worker.speed.is_slow(),
                    worker.speed.slowness.exp()
                );
            }
        }
    }

    /// Tells whether a worker is of the wrong speed for a step: a slow one for urgent tasks and gangs, a quick one for
    /// work that can wait.
    pub(super) fn mismatches(&self, worker: WorkerKey, spec: &StepSpec, urgent: bool) -> bool {
        let slow = self.workers.get(worker).is_some_and(|worker| worker.speed.is_slow());
        slow == (spec.gang || spec.lasting || urgent)
    }
}
