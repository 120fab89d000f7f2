//! What the task of a worker tells the owner.

use {
    coriandertack_core::{
        keys::LeaseId,
        message::{EndCause, RunningTask, WorkerEvent},
        resources::Resources,
    },
    derive_more::Display,
    tokio::time::Instant,
};

/// The end of a lease, in a worker's list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct End {
    /// The lease.
    pub lease: LeaseId,
    /// Why it ended.
    pub cause: EndCause,
    /// How long the task ran, in milliseconds.
    pub run_ms: u64,
    /// Highest use seen.
    pub peak: Resources,
}

impl End {
    /// Returns the end of a task of which the worker knows nothing more.
    #[must_use]
    pub fn bare(lease: LeaseId, cause: EndCause) -> Self {
        Self { lease, cause, run_ms: 0, peak: Resources::ZERO }
    }
}

impl From<End> for WorkerEvent {
    fn from(end: End) -> Self {
        let End { lease, cause, run_ms, peak } = end;
        Self::Ended { lease, cause, run_ms, peak }
    }
}

/// News of a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerNews {
    /// The worker's own list. It comes first, and again each time contact was lost and is back.
    /// Starts that are still queued for sending are not in it.
    Listed {
        /// Tasks that run.
        running: Vec<RunningTask>,
        /// Ends that are not acknowledged. Each of them also comes as an event.
        ended: Vec<End>,
    },
    /// Something happened. Events can come twice and late.
    Event(WorkerEvent),
    /// The worker does not answer. The task goes on trying.
    Unreachable {
        /// Time after which no lease that the worker was given can be running.
        lease_end: Instant,
    },
}

/// Why the task of a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Finish {
    /// The worker is no longer in the state.
    #[display("gone")]
    Gone,
    /// The worker belongs to another VM, or to this one under a new epoch.
    #[display("disowned")]
    Disowned,
    /// The worker has seen a higher epoch.
    #[display("superseded")]
    Superseded,
    /// The owner has closed its end of the channels.
    #[display("released")]
    Released,
}
