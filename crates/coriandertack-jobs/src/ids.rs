//! Names of jobs and tasks.
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

/// Number of hexadecimal digits of a job's name.
const JOB_DIGITS: usize = 16;

/// A name that is not one of a job or task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("not the name of a job or task")]
pub struct ParseIdError;

/// A job, named by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{_0:016x}")]
pub struct JobId(pub u64);

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let valid = text.len() == JOB_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !valid {
            return Err(ParseIdError);
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| ParseIdError)
    }
}

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{job}.{occurrence}.{step}")]
pub struct StepId {
    /// Job.
    pub job: JobId,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
}

/// One task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Display)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub struct TaskId {
    /// Job.
    pub job: JobId,
    /// Occurrence, from 0.
    pub occurrence: u32,
    /// Step, from 0.
    pub step: u32,
    /// Task within the step, from 0.
    pub index: u32,
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
