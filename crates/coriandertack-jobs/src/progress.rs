//! Progress records that the leader writes for each job.
//!
//! A record contains every task that was started at least once. A binding is recorded before its
//! start is sent, so a successor knows every worker on which a task may run, and attempt numbers
//! only increase.

use std::sync::Arc;

use derive_more::Display;

use crate::occurrences::OccurrenceSet;

/// Phase of a job as callers see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display)]
pub enum JobPhase {
    /// No task has started.
    #[default]
    #[display("queued")]
    Queued,
    /// At least one task has started.
    #[display("running")]
    Running,
    /// All tasks are done.
    #[display("completed")]
    Completed,
    /// A task has used all the attempts that its route allows.
    #[display("failed")]
    Failed,
    /// The caller cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

impl JobPhase {
    /// Returns true if the phase never changes again.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// Current phase.
    pub phase: JobPhase,
    /// All occurrences before this one are done.
    pub finished: u32,
    /// Later occurrences that are done, if their tasks are not listed.
    pub ended: OccurrenceSet,
    /// Tasks of the unfinished occurrences that were started, in no particular order; empty in a
    /// final phase.
    pub tasks: Vec<TaskProgress>,
    /// Team of the job, in a final phase only: the submission, which names it as well, is dropped then.
    pub team: Option<Arc<str>>,
}

/// Progress of a task that was started at least once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskProgress {
    /// Occurrence of the job, from 0.
    pub occurrence: u32,
    /// Step of the occurrence, from 0.
    pub step: u32,
    /// Index within the step, from 0.
    pub index: u32,
    /// Attempt number of the latest start.
    pub attempt: u32,
    /// Number of runs that failed.
    pub failures: u32,
    /// Highest attempt whose failure is included in `failures`.
    pub counted_attempt: u32,
    /// Number of workers that were lost under a run of the task.
    pub crashes: u32,
    /// Number of those that were lost soon after the run had started.
    pub early_crashes: u32,
    /// Whether the task is done.
    pub done: bool,
    /// Worker to which the latest start is bound; `None` once that run cannot exist any more.
    pub worker: Option<Arc<str>>,
    /// Incarnation of that worker, as the start of its process in milliseconds since 1970; `None` if
    /// it is unknown.
    pub born: Option<u64>,
    /// Worker that may still carry out an earlier start; `None` if there is none.
    pub late_worker: Option<Arc<str>>,
    /// Last known checkpoint; empty for none.
    pub checkpoint: Arc<str>,
}
