//! Typed keys and identifiers.
//!
//! There are two families. Arena keys (`VmKey`, `WorkerKey`, ...) are small `Copy` handles into the arenas of
//! one process and are never sent to another. Identifiers (`Session`, `JobId`, ...) derive from log offsets,
//! so that every VM computes the same value from the same record.
//!
//! ```
//! use coriandertack_core::keys::{JobId, Offset, TaskId};
//!
//! let job = JobId::new(Offset(7), 2);
//! let task = TaskId { job, index: 0 };
//! assert_eq!(task.to_string().parse::<TaskId>().unwrap(), task);
//! ```

use std::{num::ParseIntError, str::FromStr};

use {
    derive_more::{Display, From, FromStr as DeriveFromStr, Into},
    serde::{Deserialize, Serialize},
    slotmap::new_key_type,
};

new_key_type! {
    /// Handle of a live entry VM in the replicated state.
    pub struct VmKey;
    /// Handle of a worker in the replicated state.
    pub struct WorkerKey;
    /// Handle of a team in the replicated state.
    pub struct TeamKey;
    /// Handle of a job in the replicated state.
    pub struct JobKey;
    /// Handle of a task in the queue of its home.
    pub struct TaskKey;
    /// Handle of the capacity that an owner has granted on one of its workers.
    pub struct GrantKey;
}

/// Maximum number of entries in a batch.
///
/// Job identifiers reserve 12 bits for the index of the entry in its batch, so the limit is 2^12.
pub const MAX_BATCH_ENTRIES: usize = 1 << 12;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into,
            DeriveFromStr, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);
    };
}

id! {
    /// Position of a record in the log.
    Offset
}
id! {
    /// Random number that identifies one run of a process, chosen at its start.
    Incarnation
}
id! {
    /// Membership of one incarnation: the offset of its `Join` record.
    Session
}
id! {
    /// Fencing token: the offset of the record that last moved a worker or a team.
    Epoch
}
id! {
    /// Version of an object that operators change. Versions only increase.
    Version
}
id! {
    /// Identifier of a job, the same on every VM.
    JobId
}

impl Offset {
    /// Returns the offset that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Version {
    /// Returns the version that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl JobId {
    /// Derives the identifier from the offset of the batch that accepted the job and the index of its entry.
    ///
    /// # Panics
    ///
    /// Panics if `index` is not below [`MAX_BATCH_ENTRIES`], because identifiers would then collide.
    #[must_use]
    pub fn new(offset: Offset, index: usize) -> Self {
        assert!(index < MAX_BATCH_ENTRIES, "a batch holds at most {MAX_BATCH_ENTRIES} entries");
        Self(offset.0 * MAX_BATCH_ENTRIES as u64 + index as u64)
    }
}

/// Identifier of a task: its job and its index in the job.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{job}.{index}")]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Index of the task in its job, starting at 0.
    pub index: u32,
}

/// Identifier of a lease: one attempt at running a task.
///
/// Attempt numbers increase across homes, because a home numbers them from its epoch (see [`LeaseId::first`]).
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{task}.{attempt}")]
pub struct LeaseId {
    /// Task that the lease runs.
    pub task: TaskId,
    /// Number of the attempt. A later attempt has a higher number.
    pub attempt: u64,
}

/// Number of attempts that a home can number in one epoch.
const ATTEMPTS_PER_EPOCH: u64 = 1 << 16;

impl LeaseId {
    /// Returns the first lease that a home of `epoch` can give to `task`.
    #[must_use]
    pub fn first(task: TaskId, epoch: Epoch) -> Self {
        Self { task, attempt: epoch.0 * ATTEMPTS_PER_EPOCH }
    }

    /// Returns the lease of the next attempt.
    #[must_use]
    pub fn next(self) -> Self {
        Self { attempt: self.attempt + 1, ..self }
    }
}

/// Error for text that is not an identifier of the expected form.
#[derive(Debug, Display, derive_more::Error)]
#[display("not an identifier: {text}")]
pub struct ParseIdError {
    text: String,
}

impl ParseIdError {
    fn new(text: &str) -> Self {
        Self { text: text.chars().take(64).collect() }
    }
}

fn split_at_last_dot(text: &str) -> Result<(&str, &str), ParseIdError> {
    text.rsplit_once('.').ok_or_else(|| ParseIdError::new(text))
}

fn parse_number<T: FromStr<Err = ParseIntError>>(text: &str) -> Result<T, ParseIdError> {
    text.parse().map_err(|_| ParseIdError::new(text))
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (job, index) = split_at_last_dot(text)?;
        Ok(Self { job: JobId(parse_number(job)?), index: parse_number(index)? })
    }
}

impl FromStr for LeaseId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let (task, attempt) = split_at_last_dot(text)?;
        Ok(Self { task: task.parse()?, attempt: parse_number(attempt)? })
    }
}
