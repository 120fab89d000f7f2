//! Reports of workers on themselves and on their runs.

use std::sync::Arc;

use coriandertack_core::resources::Resources;

use crate::ids::TaskId;

/// Entry of a worker in the list of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Name of the service to which the worker belongs.
    pub service: Arc<str>,
    /// Address of the worker.
    pub address: std::net::SocketAddr,
    /// Availability zone of the worker.
    pub zone: Arc<str>,
    /// Total capacity.
    pub capacity: Resources,
    /// Labels, including the name of the rack.
    pub labels: Vec<Arc<str>>,
    /// Whether the worker accepts no new tasks because it is going to leave.
    pub draining: bool,
    /// Minimum time for which a draining worker stays, in milliseconds.
    pub remaining_ms: u64,
    /// Start of this incarnation, in milliseconds since 1970; `None` if the worker does not report it.
    pub born: Option<u64>,
}

/// List of runs that a worker returns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunList {
    /// Reading of the worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start of this incarnation, in milliseconds since 1970; `None` if the worker does not report it.
    pub born: Option<u64>,
    /// Active runs.
    pub running: Vec<ActiveRun>,
    /// Ends that have not been acknowledged.
    pub ended: Vec<RunEnd>,
    /// Whether there may be more ends than the list holds.
    pub truncated: bool,
}

/// An active run on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// Task of the run.
    pub task: TaskId,
    /// Attempt of the run.
    pub attempt: u32,
    /// Last checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Progress in percent.
    pub percent: u32,
    /// Tail response time in milliseconds for a task with a response target; processor use in
    /// millicores for any other task.
    pub load: u64,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// Sequence number of the end within the worker's incarnation.
    pub number: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Attempt of the run.
    pub attempt: u32,
    /// Cause of the end.
    pub cause: EndCause,
    /// Last checkpoint; empty for none.
    pub checkpoint: Arc<str>,
}

/// Cause of the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum EndCause {
    /// The task completed.
    #[display("done")]
    Done,
    /// The run failed.
    #[display("failed")]
    Failed,
    /// A command stopped the run.
    #[display("stopped")]
    Stopped,
    /// The lease expired.
    #[display("lapsed")]
    Lapsed,
    /// Another member of the gang ended.
    #[display("broken")]
    Broken,
    /// The gang did not assemble in time.
    #[display("alone")]
    Alone,
}

impl EndCause {
    /// All causes, in the order of their discriminants.
    pub const ALL: [Self; 6] =
        [Self::Done, Self::Failed, Self::Stopped, Self::Lapsed, Self::Broken, Self::Alone];
}

/// Reason why a worker refused to start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum StartRefusal {
    /// Another leader holds a higher fencing token.
    #[display("fenced")]
    Fenced,
    /// The worker has already seen this attempt of the task or a later one.
    #[display("superseded")]
    Superseded,
    /// The lease had expired when the command arrived.
    #[display("lease_expired")]
    LeaseExpired,
    /// The worker has too little free capacity.
    #[display("no_room")]
    NoRoom,
    /// The ticket is not valid.
    #[display("ticket")]
    Ticket,
    /// The worker is unhealthy or overloaded and has not acted on the command.
    #[display("unhealthy")]
    Unhealthy,
    /// The worker could not decode the command.
    #[display("malformed")]
    Malformed,
    /// Another incarnation of the worker is at the address.
    #[display("replaced")]
    Replaced,
}

impl StartRefusal {
    /// Number of reasons.
    pub const COUNT: usize = Self::ALL.len();

    /// All reasons, in the order of their discriminants.
    pub const ALL: [Self; 8] = [
        Self::Fenced,
        Self::Superseded,
        Self::LeaseExpired,
        Self::NoRoom,
        Self::Ticket,
        Self::Unhealthy,
        Self::Malformed,
        Self::Replaced,
    ];
}
