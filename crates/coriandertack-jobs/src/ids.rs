//! Identifiers of jobs, steps and tasks.
//!
//! ```
//! use coriandertack_jobs::ids::{JobId, TaskId};
//!
//! let job: JobId = "5c0e7a21d94b36f8".parse().unwrap();
//! let task = TaskId { job, occurrence: 0, step: 1, index: 17 };
//! assert_eq!(task.to_string(), "5c0e7a21d94b36f8.0.1.17");
//! assert_eq!("5c0e7a21d94b36f8.0.1.17".parse(), Ok(task));
//! ```

use std::str::FromStr;

use derive_more::{Display, Error};

/// Number of hexadecimal digits in a job ID.
pub(crate) const JOB_ID_DIGITS: usize = 16;

/// Error returned when a text is not a valid job or task ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("invalid job or task ID")]
pub struct ParseIdError;

/// Identifier of a job, chosen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{_0:016x}")]
pub struct JobId(pub u64);

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let valid =
            text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !valid {
            return Err(ParseIdError);
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| ParseIdError)
    }
}

/// Identifier of a step in one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepId {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Step of the job, from 0.
    pub step: u32,
}

/// Identifier of a task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Step of the job, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

impl StepId {
    /// Returns a task of the step.
    #[must_use]
    pub const fn task(self, index: u32) -> TaskId {
        TaskId { job: self.job, occurrence: self.occurrence, step: self.step, index }
    }
}

impl TaskId {
    /// Returns the step that the task belongs to.
    #[must_use]
    pub const fn step_id(self) -> StepId {
        StepId { job: self.job, occurrence: self.occurrence, step: self.step }
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(ParseIdError)?.parse()?;
        let mut number = || parts.next().ok_or(ParseIdError)?.parse().map_err(|_| ParseIdError);
        let task = Self { job, occurrence: number()?, step: number()?, index: number()? };
        if parts.next().is_some() {
            return Err(ParseIdError);
        }
        Ok(task)
    }
}
