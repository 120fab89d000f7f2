//! What workers say of themselves and of their tasks.

use std::sync::Arc;

use coriandertack_core::resources::Resources;

use crate::ids::TaskId;

/// A worker's entry in the list of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Service.
    pub service: Arc<str>,
    /// Address, as `IP:PORT`.
    pub address: std::net::SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Capacity.
    pub capacity: Resources,
    /// Labels, with the name of the rack among them.
    pub labels: Vec<Arc<str>>,
    /// Whether the worker takes no new tasks because it will leave.
    pub draining: bool,
    /// Milliseconds for which a draining worker stays at least.
    pub remaining_ms: u64,
    /// Start of this incarnation, in milliseconds since 1970.
    pub born: u64,
}

/// A worker's list of runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunList {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start of this incarnation, in milliseconds since 1970.
    pub born: u64,
    /// What runs.
    pub running: Vec<ActiveRun>,
    /// Ends that were not acknowledged yet.
    pub ended: Vec<RunEnd>,
}

/// A run that is under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveRun {
    /// Task.
    pub task: TaskId,
    /// Number of the start.
    pub attempt: u32,
    /// Last checkpoint; empty for none.
    pub checkpoint: Arc<str>,
    /// Progress in percent.
    pub percent: u32,
    /// For a task with a response target, the tail in milliseconds; for another, the processor use in millicores.
    pub load: u64,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunEnd {
    /// Number of the end within the worker's incarnation.
    pub number: u64,
    /// Task.
    pub task: TaskId,
    /// Number of the start.
    pub attempt: u32,
    /// Why the run ended.
    pub cause: EndCause,
    /// Last checkpoint; empty for none.
    pub checkpoint: Arc<str>,
}

/// Why a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum EndCause {
    /// The task is done.
    #[display("done")]
    Done,
    /// The run failed.
    #[display("failed")]
    Failed,
    /// It was stopped by an order.
    #[display("stopped")]
    Stopped,
    /// The lease ran out.
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
    /// All causes, in the order of their numbers.
    pub const ALL: [Self; 6] =
        [Self::Done, Self::Failed, Self::Stopped, Self::Lapsed, Self::Broken, Self::Alone];
}

/// Why a worker did not start a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum StartRefusal {
    /// Another leader holds a higher token.
    #[display("fenced")]
    Fenced,
    /// A run of this number or a higher one was there already.
    #[display("superseded")]
    Superseded,
    /// The lease had run out on arrival.
    #[display("lease_expired")]
    LeaseExpired,
    /// There is no room.
    #[display("no_room")]
    NoRoom,
    /// The ticket of the policy does not hold.
    #[display("ticket")]
    Ticket,
    /// The worker is unhealthy or overloaded, and has done nothing.
    #[display("unhealthy")]
    Unhealthy,
    /// The worker could not read the order.
    #[display("malformed")]
    Malformed,
    /// Another incarnation is at the address.
    #[display("replaced")]
    Replaced,
}

impl StartRefusal {
    /// Number of reasons.
    pub const COUNT: usize = Self::ALL.len();

    /// All reasons, in the order of their numbers.
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
