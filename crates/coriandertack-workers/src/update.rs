//! Updates that the control task of a worker sends to the owner.

use {
    coriandertack_core::{
        keys::LeaseId,
        message::{EndCause, RunningTask, WorkerEvent},
        resources::Resources,
    },
    derive_more::Display,
    tokio::time::Instant,
};

/// End of a lease, as a worker lists it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseEnd {
    /// Lease that has ended.
    pub lease: LeaseId,
    /// Why the lease ended.
    pub cause: EndCause,
    /// How long the task ran, in milliseconds.
    pub run_ms: u64,
    /// Highest use of each resource that the worker observed.
    pub peak: Resources,
}

impl LeaseEnd {
    /// Returns the end of a lease for which there is no record of run time or use.
    #[must_use]
    pub fn without_usage(lease: LeaseId, cause: EndCause) -> Self {
        Self { lease, cause, run_ms: 0, peak: Resources::ZERO }
    }
}

impl From<LeaseEnd> for WorkerEvent {
    fn from(end: LeaseEnd) -> Self {
        let LeaseEnd { lease, cause, run_ms, peak } = end;
        Self::Ended { lease, cause, run_ms, peak }
    }
}

/// Update on a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerUpdate {
    /// The worker's own list of tasks. It is sent first, and again after each reconnection.
    /// Starts that have not been sent to the worker yet are not in it.
    Listed {
        /// Tasks that are running.
        running: Vec<RunningTask>,
        /// Ends that have not been acknowledged. Each of them is also sent as an event.
        ended: Vec<LeaseEnd>,
    },
    /// An event of the worker. Events can be duplicated and delayed.
    Event(WorkerEvent),
    /// The worker does not respond. The task keeps trying to connect.
    Unreachable {
        /// Time after which no lease that the worker holds can still run.
        lease_end: Instant,
    },
}

/// Why the control task of a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ExitReason {
    /// The worker is no longer in the replicated state.
    #[display("gone")]
    Gone,
    /// The worker is owned by another VM, or by this one under a new epoch.
    #[display("disowned")]
    Disowned,
    /// The worker has seen a higher epoch.
    #[display("superseded")]
    Superseded,
    /// The owner has closed its end of one of the channels.
    #[display("released")]
    Released,
}
