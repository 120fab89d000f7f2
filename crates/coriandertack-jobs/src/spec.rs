//! What a caller asks for when it submits a job.

use std::sync::Arc;

use {
    coriandertack_core::resources::Resources,
    derive_more::{Display, Error},
};

use crate::{boot_time::WallTime, config::Route};

/// Most tasks of all steps of one occurrence. A record of progress with this many stays below 256 KiB.
pub const MAX_TASKS: u32 = 2_000;

/// Most steps of a job.
pub const MAX_STEPS: usize = 256;

/// Longest payload in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Most occurrences of a job.
pub const MAX_REPEATS: u32 = 100_000;

/// A submitted job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// Route by which the job came, as configured then. It is used if the route is removed later.
    pub route: Arc<Route>,
    /// Payload that each task receives.
    pub payload: Arc<str>,
    /// Steps of one occurrence.
    pub steps: Vec<StepSpec>,
    /// When the job runs, if it runs at given times.
    pub repeat: Option<RepeatSchedule>,
    /// Time of day of the acceptance.
    pub accepted_at: WallTime,
}

/// Times at which a job runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatSchedule {
    /// Number of occurrences.
    pub count: u32,
    /// When the first is due.
    pub first: WallTime,
    /// Milliseconds between two.
    pub interval_ms: u64,
}

/// A step: equal tasks that become ready together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task needs.
    pub need: Resources,
    /// Rough run time in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first.
    pub after: Vec<u32>,
    /// Whether tasks save their progress.
    pub checkpointing: bool,
    /// Whether the tasks start and end together.
    pub gang: bool,
    /// Whether the tasks run slower on more than one rack.
    pub same_rack: bool,
    /// Label that the worker must have.
    pub label: Option<Arc<str>>,
    /// Rack where the data is.
    pub data_rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker; 0 for no limit.
    pub spread: u32,
    /// Whether copies of a task may run side by side.
    pub speculative: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasting: bool,
    /// What the tasks run, by which they can be compared.
    pub image: Option<Arc<str>>,
    /// Bound on the tail of the tasks' own response times, in milliseconds; 0 for none.
    pub target_ms: u64,
    /// Whether the tasks use only processor time that others leave.
    pub fills: bool,
    /// Most tasks that may be unavailable through our own actions; `None` for no limit.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns what a task of this step takes of a worker's capacity.
    #[must_use]
    pub const fn capacity_charge(&self) -> Resources {
        if self.fills { Resources { millicores: 0, ..self.need } } else { self.need }
    }
}

/// Why a job is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum SpecError {
    /// No step, or too many.
    #[display("a job has 1 to {MAX_STEPS} steps")]
    StepCount,
    /// No task, or too many.
    #[display("each step has at least 1 task, and all steps at most {MAX_TASKS}")]
    TaskCount,
    /// A step waits for itself or a later one.
    #[display("a step can only wait for earlier steps")]
    StepOrder,
    /// Payload too long.
    #[display("the payload is longer than {MAX_PAYLOAD_BYTES} bytes")]
    PayloadSize,
    /// Too many occurrences.
    #[display("a job has at most {MAX_REPEATS} occurrences")]
    RepeatCount,
}

impl JobSpec {
    /// Checks the job by itself.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    pub fn validate(&self) -> Result<(), SpecError> {
        if self.steps.is_empty() || self.steps.len() > MAX_STEPS {
            return Err(SpecError::StepCount);
        }
        let total: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if total > u64::from(MAX_TASKS) || self.steps.iter().any(|step| step.count == 0) {
            return Err(SpecError::TaskCount);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.after.iter().any(|&earlier| earlier as usize >= number) {
                return Err(SpecError::StepOrder);
            }
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            return Err(SpecError::PayloadSize);
        }
        if self.repeat.is_some_and(|repeat| repeat.count > MAX_REPEATS) {
            return Err(SpecError::RepeatCount);
        }
        Ok(())
    }

    /// Returns the number of occurrences.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count.max(1))
    }

    /// Returns when an occurrence is due, or nothing if it is due at once.
    #[must_use]
    pub fn due_at(&self, occurrence: u32) -> Option<WallTime> {
        self.repeat.map(|repeat| {
            let offset = repeat.interval_ms.saturating_mul(u64::from(occurrence));
            WallTime(repeat.first.0.saturating_add(offset))
        })
    }

    /// Returns the milliseconds in which an occurrence should be done, counted from when it is due.
    ///
    /// The longest chain of estimated run times, with one call for advice a step, is stretched by the route's factor.
    #[must_use]
    pub fn objective_ms(&self) -> u64 {
        let advice = self.route.advice.map_or(0.0, |advice| advice.cost_ms(ADVICE_WORKERS));
        let mut chains: Vec<f64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|&earlier| chains.get(earlier as usize));
            let before = before.copied().fold(0.0, f64::max);
            chains.push(before + step.estimate_ms as f64 + advice);
        }
        let longest = chains.iter().copied().fold(0.0, f64::max);
        (longest * self.route.stretch) as u64 + self.route.slo_ms
    }
}

/// Number of workers that one call for advice names in the objective of a job (RULES, Credit).
const ADVICE_WORKERS: usize = 30;
