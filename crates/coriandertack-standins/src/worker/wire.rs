//! JSON bodies of a worker's control API.

use serde::{Deserialize, Serialize};

/// Amounts of all resources.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Amount {
    /// CPU in thousandths of a core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Amount {
    /// Returns the given amounts.
    #[must_use]
    pub const fn new(millicores: u32, memory_mib: u32, accelerators: u32) -> Self {
        Self { millicores, memory_mib, accelerators }
    }

    /// Returns the sum of two amounts, resource by resource.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            millicores: self.millicores + other.millicores,
            memory_mib: self.memory_mib + other.memory_mib,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Returns the larger of two amounts, resource by resource.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns whether no resource exceeds its amount in `room`.
    #[must_use]
    pub const fn fits(self, room: Self) -> bool {
        self.millicores <= room.millicores
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }
}

/// Resource usage over time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    /// CPU time in core-milliseconds.
    pub core_ms: u64,
    /// Memory held, in MiB-seconds.
    pub mib_s: u64,
    /// Accelerators held, in accelerator-milliseconds.
    pub acc_ms: u64,
}

/// Body of `POST /v1/commands`.
#[derive(Debug, Deserialize)]
pub struct CommandBatch {
    /// Epoch of the sender.
    pub epoch: u64,
    /// Commands, which are executed in order.
    pub commands: Vec<Command>,
}

/// A command to a worker.
#[derive(Debug, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Command {
    /// Starts a task.
    Start(Start),
    /// Stops a task.
    Stop {
        /// Lease of the task.
        lease: String,
    },
    /// Saves the progress of a task.
    Checkpoint {
        /// Lease of the task.
        lease: String,
    },
    /// Limits the CPU usage of a task.
    Throttle {
        /// Lease of the task.
        lease: String,
        /// New limit in thousandths of a core.
        millicores: u32,
    },
    /// Extends the leases of all running tasks.
    Renew {
        /// New end on the worker's clock.
        until_ms: u64,
        /// Leases that are not extended.
        #[serde(default)]
        except: Vec<String>,
    },
    /// Acknowledges the end of a task, which the worker then drops.
    AckEnd {
        /// Lease of the task.
        lease: String,
    },
    /// Acknowledges the usage intervals below `to`, which the worker then drops.
    AckUsage {
        /// Lease of the task.
        lease: String,
        /// First interval to keep.
        to: u32,
    },
}

/// The start of a task.
#[derive(Clone, Debug, Deserialize)]
pub struct Start {
    /// Id of the lease, which is the task id, a dot and the attempt.
    pub lease: String,
    /// Class of the task. For an instance of a service, this is the service that it serves.
    pub class: String,
    /// Kind of the task, which the worker only lists.
    pub kind: String,
    /// Resources granted to the task.
    pub grant: Amount,
    /// Whether the task is urgent, which the worker only lists.
    #[serde(default)]
    pub urgent: bool,
    /// Command text, from which the stand-in reads the task's
    /// [`Behaviour`](super::behaviour::Behaviour).
    pub command: String,
    /// End of the lease on the worker's clock, unless it is renewed.
    pub until_ms: u64,
}

/// Result of one command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CommandResult {
    /// The command was executed.
    Done,
    /// The lease has been started before.
    Known,
    /// The start was refused, and the task does not run.
    Refused,
    /// The lease is unknown to the worker.
    Unknown,
}

/// Response to `POST /v1/commands`.
#[derive(Debug, Serialize)]
pub struct CommandResults {
    /// Time on the worker's clock.
    pub now_ms: u64,
    /// One result for each command.
    pub results: Vec<CommandResult>,
}

/// Response to `GET /v1/tasks`.
#[derive(Debug, Serialize)]
pub struct TaskList {
    /// Time on the worker's clock.
    pub now_ms: u64,
    /// Whether the worker is about to leave.
    pub leaving: bool,
    /// Running tasks.
    pub running: Vec<RunningTask>,
    /// Ends that have not been acknowledged.
    pub ended: Vec<TaskEnd>,
}

/// A running task in [`TaskList`].
#[derive(Debug, Serialize)]
pub struct RunningTask {
    /// Lease of the task.
    pub lease: String,
    /// Class of the task.
    pub class: String,
    /// Kind of the task, as its start gave it.
    pub kind: String,
    /// Resources granted to the task.
    pub grant: Amount,
    /// Whether the task is urgent.
    pub urgent: bool,
    /// Current end of the lease on the worker's clock.
    pub until_ms: u64,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// The task completed its work.
    Succeeded,
    /// The task failed.
    Failed,
    /// The task used more memory than its grant.
    OutOfMemory,
    /// A command stopped the task.
    Stopped,
    /// The lease was not renewed in time.
    LeaseExpired,
}

/// The end of a task.
#[derive(Clone, Debug, Serialize)]
pub struct TaskEnd {
    /// Lease of the task.
    pub lease: String,
    /// Why the task ended.
    pub cause: EndCause,
    /// Run time in milliseconds.
    pub run_ms: u64,
    /// Peak resource usage.
    pub peak: Amount,
}

/// Resource usage of a lease in one interval.
#[derive(Clone, Debug, Serialize)]
pub struct UsageInterval {
    /// Lease of the task.
    pub lease: String,
    /// Index of the interval, counted from 0.
    pub interval: u32,
    /// Usage within the interval.
    pub usage: Usage,
    /// Wall-clock end of the interval in milliseconds since the Unix epoch.
    pub end_ms: u64,
    /// Whether this is the last interval of the lease.
    pub last: bool,
}

/// What an [`Event`] reports.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum EventKind {
    /// A task was started.
    Started {
        /// Lease of the task.
        lease: String,
    },
    /// A task ended.
    Ended(TaskEnd),
    /// Resource usage of a lease in one interval.
    Usage(UsageInterval),
    /// The progress of a task was saved.
    Checkpointed {
        /// Lease of the task.
        lease: String,
    },
    /// The worker is about to leave.
    Leaving,
}

/// A numbered event of a worker.
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Sequence number, counted from 1 since the last crash of the worker.
    pub seq: u64,
    /// What the event reports.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// Response to `GET /v1/events`.
#[derive(Debug, Serialize)]
pub struct Events {
    /// Time on the worker's clock.
    pub now_ms: u64,
    /// Events in ascending order.
    pub events: Vec<Event>,
}
