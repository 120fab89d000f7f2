//! Estimation of the relative speed of workers.
//!
//! Some workers take longer for the same work, and nothing reports which. The tasks of one step are
//! alike, so their run times on different workers can be compared. Which class of workers a step
//! prefers follows from it, see [`SpeedClass::mismatch`].
//!
//! A run is compared with the other runs of its step after correcting each for the known speed of
//! its worker. Without the correction, slow workers would look normal again once a step runs only
//! on slow ones.

use std::{collections::HashMap, sync::Arc};

use derive_more::Display;

use super::{Scheduler, Step, WorkerKey};

use crate::{ids::StepId, spec::StepSpec};

/// Slowdown above which a worker counts as slow, as a natural logarithm: 8%, which is twice the
/// standard error of a mean over thirty runs that vary by a third.
const SLOW_LN_FACTOR: f64 = 0.08;

/// Speedup over the median above which a worker counts as fast, as a natural logarithm: 35%. Less is
/// not worth a worker that gangs do not use.
const FAST_LN_FACTOR: f64 = 0.3;

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

/// Speed of a worker relative to most workers of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
pub(super) enum SpeedClass {
    /// Faster than most, by far.
    #[display("fast")]
    Fast,
    /// Like most, or unknown.
    #[default]
    #[display("normal")]
    Normal,
    /// Slower than most.
    #[display("slow")]
    Slow,
}

impl SpeedClass {
    /// Returns how unsuitable the class is for a step; 0 is the best.
    ///
    /// A gang runs as fast as its slowest member, so a fast worker among its members is wasted, and
    /// it finds enough workers of one speed only among the normal ones. Single tasks that can wait
    /// use the others, which also keeps them out of the room of gangs. Urgent and long-running tasks
    /// use the fastest.
    fn mismatch(self, spec: &StepSpec, urgent: bool) -> u8 {
        match (urgent || spec.lasting, spec.gang) {
            (true, _) => self as u8,
            (false, true) => u8::from(self != Self::Normal),
            (false, false) => u8::from(self == Self::Normal),
        }
    }
}

impl Speed {
    /// Returns the class of a worker of a service with this median.
    fn class(self, median: f64) -> SpeedClass {
        if self.ln_factor > SLOW_LN_FACTOR.max(median + SLOW_LN_FACTOR) {
            SpeedClass::Slow
        } else if self.ln_factor < median - FAST_LN_FACTOR {
            SpeedClass::Fast
        } else {
            SpeedClass::Normal
        }
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
            worker.speed.learn(ln_ms - mean);
        }
    }

    /// Returns how unsuitable the speed of a worker is for a step; 0 is the best. See
    /// [`SpeedClass::mismatch`].
    pub(super) fn speed_mismatch(&self, worker: WorkerKey, spec: &StepSpec, urgent: bool) -> u8 {
        self.workers.get(worker).map_or(0, |worker| worker.speed_class.mismatch(spec, urgent))
    }

    /// Determines the classes of all workers from their speeds.
    pub(super) fn classify_speeds(&mut self) {
        let mut speeds: HashMap<Arc<str>, Vec<f64>> = HashMap::new();
        for worker in self.workers.values() {
            if let Some(entry) = &worker.entry {
                let service = Arc::clone(&entry.service);
                speeds.entry(service).or_default().push(worker.speed.ln_factor);
            }
        }
        let median = |mut factors: Vec<f64>| {
            let middle = factors.len() / 2;
            *factors.select_nth_unstable_by(middle, f64::total_cmp).1
        };
        let medians: HashMap<Arc<str>, f64> =
            speeds.into_iter().map(|(service, factors)| (service, median(factors))).collect();
        for worker in self.workers.values_mut() {
            let Some(entry) = &worker.entry else { continue };
            let median = medians.get(&entry.service).copied().unwrap_or_default();
            let class = worker.speed.class(median);
            if class != worker.speed_class {
                log::debug!(
                    "event=worker_speed worker={} class={class} factor={:.2} median={:.2}",
                    worker.name,
                    worker.speed.ln_factor.exp(),
                    median.exp()
                );
                worker.speed_class = class;
            }
        }
    }
}
