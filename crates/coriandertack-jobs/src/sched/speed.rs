//! Estimation of the relative speed of workers.
//!
//! Some workers take longer for the same work, and nothing reports which. The tasks of one step are
//! alike, so their run times on different workers can be compared. A gang runs as fast as its
//! slowest member and an urgent job as its slowest task, so both are placed on fast workers. Work
//! with slack goes to slow workers, which also leaves whole fast workers free for gangs.
//!
//! A run is compared with the other runs of its step after correcting each for the known speed of
//! its worker. Without the correction, slow workers would look normal again once a step runs only
//! on slow ones.

use super::{Scheduler, Step, WorkerKey};

use crate::{ids::StepId, spec::StepSpec};

/// Slowdown above which a worker counts as slow, as a natural logarithm: 8%, which is twice the
/// standard error of a mean over thirty runs that vary by a third.
const SLOW_LN_FACTOR: f64 = 0.08;

/// Bound on the sample of a single run, as a natural logarithm. Some runs take many times as long
/// as the rest of their step on any worker.
const MAX_SAMPLE_LN: f64 = 0.5;

/// Weight of the initial estimate, that a worker has mean speed, as a number of runs.
const PRIOR_WEIGHT_RUNS: f64 = 6.0;

/// Maximum number of past runs that weigh in the estimate, since a worker's speed can change.
const MAX_WEIGHTED_RUNS: f64 = 40.0;

/// Estimated slowdown of a worker relative to the mean.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Speed {
    /// Natural logarithm of the slowdown factor.
    ln_factor: f64,
    /// Number of compared runs, at most [`MAX_WEIGHTED_RUNS`].
    runs: f64,
}

impl Speed {
    /// Returns true if the worker is known to be slow.
    pub(super) fn is_slow(self) -> bool {
        self.ln_factor > SLOW_LN_FACTOR
    }

    fn learn(&mut self, sample: f64) {
        self.runs = (self.runs + 1.0).min(MAX_WEIGHTED_RUNS);
        let weight = 1.0 / (self.runs + PRIOR_WEIGHT_RUNS);
        self.ln_factor += (sample.clamp(-MAX_SAMPLE_LN, MAX_SAMPLE_LN) - self.ln_factor) * weight;
    }
}

impl Step {
    /// Returns the logarithms of the run times of tasks that completed in their first attempt, with
    /// their workers.
    fn first_runs(&self) -> Vec<(WorkerKey, f64)> {
        let ran = self
            .tasks
            .iter()
            .filter(|task| task.attempt == 1)
            .filter_map(|task| task.completed_run);
        ran.map(|(worker, run_ms)| (worker, (run_ms.max(1) as f64).ln())).collect()
    }
}

impl Scheduler {
    /// Updates the workers' speeds from the run times of a step whose tasks are all done.
    pub(super) fn learn_speeds(&mut self, id: StepId) {
        let Some((_, spec, step)) = self.step(id) else { return };
        if spec.gang || spec.lasting {
            return;
        }
        let runs = step.first_runs();
        let known =
            |key: &WorkerKey| self.workers.get(*key).map_or(0.0, |worker| worker.speed.ln_factor);
        let sum: f64 = runs.iter().map(|(key, ln_ms)| ln_ms - known(key)).sum();
        if runs.len() < 2 {
            return;
        }
        let mean = sum / runs.len() as f64;
        for (key, ln_ms) in runs {
            let Some(worker) = self.workers.get_mut(key) else { continue };
            let was_slow = worker.speed.is_slow();
            worker.speed.learn(ln_ms - mean);
            if worker.speed.is_slow() != was_slow {
                log::debug!(
                    "event=worker_speed worker={} slow={} factor={:.2}",
                    worker.name,
                    worker.speed.is_slow(),
                    worker.speed.ln_factor.exp()
                );
            }
        }
    }

    /// Returns true if a worker's speed is unsuitable for a step: slow for urgent or long-running
    /// tasks and gangs, fast for work that can wait.
    pub(super) fn is_speed_mismatch(
        &self,
        worker: WorkerKey,
        spec: &StepSpec,
        urgent: bool,
    ) -> bool {
        let slow = self.workers.get(worker).is_some_and(|worker| worker.speed.is_slow());
        slow == (spec.gang || spec.lasting || urgent)
    }
}
