//! JSON bodies of a worker's control interface.

use serde::{Deserialize, Serialize};

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// Thousandths of a core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Amount {
    /// Returns an amount from its parts.
    #[must_use]
    pub const fn new(millicores: u32, memory_mib: u32, accelerators: u32) -> Self {
        Self { millicores, memory_mib, accelerators }
    }

    /// Returns the sum of two amounts.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores + other.millicores,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Returns the larger of each part.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Tells whether no part is larger than that of `room`.
    #[must_use]
    pub const fn fits(self, room: Self) -> bool {
        self.millicores <= room.millicores
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }
}

/// Use of resources over time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Used {
    /// Processor time in core-milliseconds.
    pub core_ms: u64,
    /// Memory held, in MiB-seconds.
    pub mib_s: u64,
    /// Accelerators held, in accelerator-milliseconds.
    pub acc_ms: u64,
}

/// Body of `POST /v1/commands`.
#[derive(Debug, Deserialize)]
pub struct Orders {
    /// Epoch of the sender.
    pub epoch: u64,
    /// Commands, carried out in order.
    pub commands: Vec<Order>,
}

/// A command.
#[derive(Debug, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Order {
    /// Starts a task.
    Start(Start),
    /// Stops a task.
    Stop {
        /// Its lease.
        lease: String,
    },
    /// Saves a task's progress.
    Checkpoint {
        /// Its lease.
        lease: String,
    },
    /// Limits a task's processor use.
    Throttle {
        /// Its lease.
        lease: String,
        /// New limit in thousandths of a core.
        millicores: u32,
    },
    /// Extends every running lease.
    Renew {
        /// New end on the worker's clock.
        until_ms: u64,
        /// Leases that are not extended.
        #[serde(default)]
        except: Vec<String>,
    },
    /// Drops a task's end.
    AckEnd {
        /// Its lease.
        lease: String,
    },
    /// Drops usage intervals below `to`.
    AckUsage {
        /// The lease.
        lease: String,
        /// First interval to keep.
        to: u32,
    },
}

/// Content of a start.
#[derive(Clone, Debug, Deserialize)]
pub struct Start {
    /// Attempt to run.
    pub lease: String,
    /// Class of the task.
    pub class: String,
    /// How the task was placed.
    pub kind: String,
    /// Capacity granted.
    pub grant: Amount,
    /// Whether the task is urgent.
    #[serde(default)]
    pub urgent: bool,
    /// Behaviour of the task, see [`Behaviour`](super::behaviour::Behaviour).
    pub command: String,
    /// End of the first lease on the worker's clock.
    pub until_ms: u64,
}

/// Answer to one command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// It was carried out.
    Done,
    /// The lease has been started before.
    Known,
    /// The start was refused; the task does not run.
    Refused,
    /// There is no such lease.
    Unknown,
}

/// Answer to `POST /v1/commands`.
#[derive(Debug, Serialize)]
pub struct Results {
    /// Time on the worker's clock.
    pub now_ms: u64,
    /// One result for each command.
    pub results: Vec<Effect>,
}

/// Answer to `GET /v1/tasks`.
#[derive(Debug, Serialize)]
pub struct Tasks {
    /// Time on the worker's clock.
    pub now_ms: u64,
    /// Whether the worker is about to leave.
    pub leaving: bool,
    /// Tasks that run.
    pub running: Vec<Listed>,
    /// Ends that are not acknowledged.
    pub ended: Vec<Ended>,
}

/// A running task.
#[derive(Debug, Serialize)]
pub struct Listed {
    /// Its lease.
    pub lease: String,
    /// Its class.
    pub class: String,
    /// How it was placed.
    pub kind: String,
    /// Capacity granted.
    pub grant: Amount,
    /// Whether it is urgent.
    pub urgent: bool,
    /// End of its lease on the worker's clock.
    pub until_ms: u64,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It ran to its end.
    Succeeded,
    /// It failed.
    Failed,
    /// It used more memory than its grant.
    OutOfMemory,
    /// A command stopped it.
    Stopped,
    /// Its lease was not renewed in time.
    LeaseExpired,
}

/// The end of a task.
#[derive(Clone, Debug, Serialize)]
pub struct Ended {
    /// Its lease.
    pub lease: String,
    /// Why it ended.
    pub cause: Cause,
    /// How long it ran, in milliseconds.
    pub run_ms: u64,
    /// Highest use seen.
    pub peak: Amount,
}

/// Use of a lease in one interval.
#[derive(Clone, Debug, Serialize)]
pub struct Interval {
    /// The lease.
    pub lease: String,
    /// Number of the interval, from 0.
    pub interval: u32,
    /// Use in the interval.
    pub usage: Used,
    /// Wall-clock end of the interval in milliseconds since the Unix epoch.
    pub end_ms: u64,
    /// Whether it is the lease's last interval.
    pub last: bool,
}

/// Something that happened.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum News {
    /// A task runs.
    Started {
        /// Its lease.
        lease: String,
    },
    /// A task ended.
    Ended(Ended),
    /// Usage of a lease.
    Usage(Interval),
    /// A task's progress is saved.
    Checkpointed {
        /// Its lease.
        lease: String,
    },
    /// The worker is about to leave.
    Leaving,
}

/// An event with its number.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Number among the events of this run of the worker.
    pub seq: u64,
    /// What happened.
    #[serde(flatten)]
    pub news: News,
}

/// Answer to `GET /v1/events`.
#[derive(Debug, Serialize)]
pub struct Events {
    /// Time on the worker's clock.
    pub now_ms: u64,
    /// Events in ascending order.
    pub events: Vec<Event>,
}
