//! What the leader records about a job.
//!
//! A record holds every task that was started at least once. A binding is recorded before its start is sent, so a
//! successor knows each place where a task may run, and attempts only rise.

use std::sync::Arc;

use derive_more::Display;

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display)]
pub enum JobPhase {
    /// No task has started.
    #[default]
    #[display("queued")]
    Queued,
    /// A task has started.
    #[display("running")]
    Running,
    /// All tasks are done.
    #[display("completed")]
    Completed,
    /// A task failed too often.
    #[display("failed")]
    Failed,
    /// The caller cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

impl JobPhase {
    /// Tells whether the job changes no more.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// Progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// State.
    pub phase: JobPhase,
    /// Occurrences before this one are done as a whole.
    pub finished: u32,
    /// Tasks that were started, in no order.
    pub tasks: Vec<TaskProgress>,
}

/// Progress of a task that was started at least once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskProgress {
    /// Occurrence.
    pub occurrence: u32,
    /// Step.
    pub step: u32,
    /// Index within the step.
    pub index: u32,
    /// Number of the last start.
    pub attempt: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Highest attempt whose failure is among them.
    pub counted_attempt: u32,
    /// Whether the task is done.
    pub done: bool,
    /// Worker to which the last start is bound, while the run may exist.
    pub worker: Option<Arc<str>>,
    /// Last known checkpoint; empty for none.
    pub checkpoint: Arc<str>,
}
