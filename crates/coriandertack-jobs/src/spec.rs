//! Specification of a job as its caller submits it.

use std::sync::Arc;

use {
    coriandertack_core::resources::Resources,
    derive_more::{Display, Error},
};

use crate::{boot_time::WallTime, config::Route};

/// Maximum number of tasks in one occurrence, over all steps. A progress record of this many stays
/// below 256 KiB.
pub const MAX_TASKS: u32 = 2_000;

/// Maximum number of steps of a job.
pub const MAX_STEPS: usize = 256;

/// Maximum length of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 4_000;

/// Maximum number of occurrences of a job.
pub const MAX_REPEATS: u32 = 100_000;

/// A submitted job.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// Route of the job as configured at submission. It is used if the route is removed later.
    pub route: Arc<Route>,
    /// Name of the team whose key submitted the job; `None` if the route needed no key.
    pub team: Option<Arc<str>>,
    /// Payload that each task receives.
    pub payload: Arc<str>,
    /// Steps of one occurrence, each after those it depends on.
    pub steps: Vec<StepSpec>,
    /// Schedule of a recurring job; `None` for a job that runs once, at once.
    pub repeat: Option<RepeatSchedule>,
    /// Wall-clock time at which the job was accepted.
    pub accepted_at: WallTime,
}

/// Schedule of a recurring job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatSchedule {
    /// Number of occurrences.
    pub count: u32,
    /// When the first occurrence is due.
    pub first: WallTime,
    /// Time between the due times of two occurrences, in milliseconds.
    pub interval_ms: u64,
}

/// A step: identical tasks that become ready together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// Estimated run time of a task, in milliseconds.
    pub estimate_ms: u64,
    /// Indices of the earlier steps that must be done first.
    pub after: Vec<u32>,
    /// Whether the tasks write checkpoints from which they can resume.
    pub checkpointing: bool,
    /// Whether the tasks form a gang, which starts and ends together.
    pub gang: bool,
    /// Whether the tasks run slower when they are spread over several racks.
    pub same_rack: bool,
    /// Label that a worker must have; `None` for any worker.
    pub label: Option<Arc<str>>,
    /// Rack that holds the input data, where the tasks are preferably placed.
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    pub spread: u32,
    /// Whether several copies of a task may run concurrently.
    pub speculative: bool,
    /// Whether the tasks are long-running, which means until the job is cancelled.
    pub lasting: bool,
    /// Identity of the program that the tasks run, by which tasks of different jobs can be
    /// compared.
    pub image: Option<Arc<str>>,
    /// Target for the tail of the tasks' response times, in milliseconds; 0 for none.
    pub target_ms: u64,
    /// Whether the tasks use only processor time that other tasks leave.
    pub fills: bool,
    /// Maximum number of tasks that may be unavailable through the scheduler's own actions; `None`
    /// for no limit.
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    /// Returns the capacity that a task of this step occupies on a worker.
    #[must_use]
    pub const fn capacity_charge(&self) -> Resources {
        if self.fills { Resources { millicores: 0, ..self.need } } else { self.need }
    }
}

/// Reason why a job specification is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum SpecError {
    /// The job has no steps or too many.
    #[display("a job must have 1 to {MAX_STEPS} steps")]
    StepCount,
    /// A step has no tasks, or the steps together have too many.
    #[display("each step must have at least 1 task, and all steps together at most {MAX_TASKS}")]
    TaskCount,
    /// A step depends on itself or on a later step.
    #[display("a step may only depend on earlier steps")]
    StepOrder,
    /// The payload is too long.
    #[display("the payload is longer than {MAX_PAYLOAD_BYTES} bytes")]
    PayloadSize,
    /// The job has too many occurrences.
    #[display("a job may have at most {MAX_REPEATS} occurrences")]
    RepeatCount,
}

impl JobSpec {
    /// Checks the specification against the limits of this module.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
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

    /// Returns the number of occurrences, which is at least 1.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count.max(1))
    }

    /// Returns when an occurrence is due, or `None` if the job runs once, at once.
    #[must_use]
    pub fn due_at(&self, occurrence: u32) -> Option<WallTime> {
        self.repeat.map(|repeat| {
            let offset = repeat.interval_ms.saturating_mul(u64::from(occurrence));
            WallTime(repeat.first.0.saturating_add(offset))
        })
    }

    /// Returns the time within which an occurrence should be done, in milliseconds from when it is
    /// due.
    ///
    /// The objective is the longest chain of estimated run times, with one advice call per step,
    /// multiplied by the route's factor, plus the route's fixed part.
    #[must_use]
    pub fn objective_ms(&self) -> u64 {
        let advice_ms =
            self.route.advice.map_or(0.0, |advice| advice.cost_ms(OBJECTIVE_ADVICE_WORKERS));
        let mut chain_ms: Vec<f64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let predecessors =
                step.after.iter().filter_map(|&earlier| chain_ms.get(earlier as usize));
            let earlier_ms = predecessors.copied().fold(0.0, f64::max);
            chain_ms.push(earlier_ms + step.estimate_ms as f64 + advice_ms);
        }
        let longest_ms = chain_ms.iter().copied().fold(0.0, f64::max);
        (longest_ms * self.route.stretch) as u64 + self.route.slo_ms
    }
}

/// Number of workers that each advice call is assumed to name in the objective of a job (rules,
/// section "Credit").
pub(crate) const OBJECTIVE_ADVICE_WORKERS: usize = 30;
