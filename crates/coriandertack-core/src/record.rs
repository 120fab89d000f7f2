//! Records of the control stream as plain types.
//!
//! The log package encodes and decodes them. [`State::apply`](crate::state::State::apply) decides what a record
//! does; see docs/design.md, section 3.

use std::net::SocketAddr;

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

use crate::{
    code::Code,
    keys::{Incarnation, JobId, LeaseId, Offset, Session, TaskId, Version},
    resources::Resources,
};

/// Records that one VM appends together.
///
/// The author and the sequence number identify the batch. After an append with an unclear outcome the batch
/// may be appended again, and is still applied once.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Run of the process that wrote the batch.
    pub author: Incarnation,
    /// Sequence number of the batch among those of its author, starting at 1.
    pub seq: u64,
    /// Records in the order in which they are applied.
    pub entries: Vec<Entry>,
}

/// A record and its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Name of the token that requested the change, or `system`.
    pub actor: String,
    /// Wall-clock time at the writer, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The change to apply.
    pub record: Record,
}

/// A change to the replicated state.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The author becomes a member.
    Join(VmInfo),
    /// The author ends its own membership after draining.
    Leave,
    /// The session of a member is ended by another member.
    Fence(Session),
    /// Workers as the VM list shows them.
    Workers(Vec<WorkerInfo>),
    /// Workers that are no longer in the VM list.
    WorkersGone(Vec<String>),
    /// An operator takes a worker out of service or puts it back.
    Cordon(Cordon),
    /// A team is created, changed or removed.
    Team(TeamChange),
    /// A setting is created, changed or removed.
    Setting(SettingChange),
    /// A job is accepted.
    Accept(JobSpec),
    /// A job is cancelled.
    Cancel(JobId),
    /// Tasks have ended and will not be tried again.
    Ended(Vec<TaskEnd>),
    /// Usage of leases is to be charged.
    Usage(Vec<UsageSpan>),
    /// A request was refused before it reached the log; the audit trail keeps it.
    Refused(Refusal),
    /// Part of a snapshot of the state.
    Snapshot(SnapshotPart),
}

/// Name, zone and addresses of an entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmInfo {
    /// Name of the VM in its settings and in the VM list.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the link between entry VMs.
    pub link: SocketAddr,
    /// Address of the HTTP interfaces.
    pub http: SocketAddr,
}

/// Presence of a worker in the VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// The worker accepts new work.
    #[display("live")]
    Live,
    /// The worker finishes what it runs and accepts no new work.
    #[display("leaving")]
    Leaving,
}

/// A worker as the VM list shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Unique name of the worker.
    pub name: String,
    /// Address of its control and serving interface.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Rack within the zone.
    pub rack: String,
    /// Whether the worker accepts new work.
    pub presence: Presence,
    /// Total resources of the worker.
    pub capacity: Resources,
}

/// Takes a worker out of service or puts it back.
#[derive(Clone, Debug, PartialEq)]
pub struct Cordon {
    /// Name of the worker.
    pub worker: String,
    /// Whether the worker is excluded from new work.
    pub cordoned: bool,
}

/// Quota and tokens of a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamSpec {
    /// Maximum resources that the team's running tasks may hold together.
    pub quota: Resources,
    /// SHA-256 of each token of the team, in lowercase hexadecimal.
    pub tokens: Vec<String>,
}

/// Creates, replaces or removes a team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamChange {
    /// Name of the team.
    pub name: String,
    /// Version that the writer has read, or 0 for a new team. Another current version is a conflict.
    pub expect: Version,
    /// New quota and tokens, or `None` to remove the team.
    pub spec: Option<TeamSpec>,
}

/// Creates, replaces or removes a setting.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingChange {
    /// Name of the setting.
    pub name: String,
    /// Version that the writer has read, or 0 for a new setting. Another current version is a conflict.
    pub expect: Version,
    /// New value as TOML text, or `None` to remove the setting.
    pub value: Option<String>,
}

/// Kind of a workload, which decides how its tasks are placed.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Tasks run until cancelled and serve callers; they are spread over racks and zones.
    #[display("service")]
    Service,
    /// Tasks run to completion and are packed tightly.
    #[display("batch")]
    Batch,
    /// All tasks start together or none does.
    #[display("gang")]
    Gang,
}

/// A job as its team submits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Team that owns the job and is charged for it.
    pub team: String,
    /// Name of the workload. Jobs with the same name share measured sizes and run times.
    pub name: String,
    /// Kind of the workload.
    pub kind: Kind,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared resources of one task.
    pub need: Resources,
    /// Declared run time of one task in milliseconds, or 0 if it is unknown.
    #[serde(default)]
    pub run_ms: u64,
    /// Whether the tasks must start within 1 s, by preemption if needed.
    #[serde(default)]
    pub urgent: bool,
    /// How many times a failed task is tried again.
    #[serde(default)]
    pub retries: u32,
    /// Command that a worker runs for each task.
    #[serde(default)]
    pub command: String,
    /// Idempotency key of the submission.
    #[serde(default)]
    pub key: Option<String>,
}

/// Final outcome of a task.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The task ran to completion.
    #[display("succeeded")]
    Succeeded,
    /// The task failed on every attempt it had.
    #[display("failed")]
    Failed,
    /// The task was cancelled, whether or not it was running.
    #[display("cancelled")]
    Cancelled,
}

/// The end of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskEnd {
    /// Identifier of the task.
    pub task: TaskId,
    /// Final outcome of the task.
    pub outcome: Outcome,
    /// Name of the worker of the last attempt, or empty if the task never ran.
    pub worker: String,
}

/// Use of resources over time.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    derive_more::Add,
    derive_more::AddAssign,
    Serialize,
    Deserialize,
)]
pub struct Usage {
    /// Processor time used, in core-milliseconds.
    pub core_ms: u64,
    /// Memory held, in MiB-seconds.
    pub mib_s: u64,
    /// Accelerators held, in accelerator-milliseconds.
    pub acc_ms: u64,
}

/// Usage of a lease over consecutive intervals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageSpan {
    /// Lease that used the resources.
    pub lease: LeaseId,
    /// First interval of the span.
    pub from: u32,
    /// First interval after the span.
    pub to: u32,
    /// Total usage of the span.
    pub usage: Usage,
    /// Wall-clock time of the end of the span, in milliseconds since the Unix epoch.
    pub end_ms: u64,
}

/// A request that was refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// What was requested, for example `delete team herders`.
    pub action: String,
    /// Why it was refused.
    pub code: Code,
}

/// Part of a snapshot of the state.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotPart {
    /// Last offset that the snapshot includes.
    pub base: Offset,
    /// Index of this part, starting at 0.
    pub part: u32,
    /// Number of parts of the snapshot.
    pub parts: u32,
    /// Encoded content in the format of the log package.
    pub body: Vec<u8>,
}
