//! Records of the control stream, as plain types.
//!
//! The log package converts them to and from bytes. What a record does is decided by
//! [`State::apply`](crate::state::State::apply); see docs/design.md, section 3.

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
/// The pair of author and sequence number identifies the batch, so that a batch appended twice after
/// an unclear answer is applied once.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Process that wrote the batch.
    pub author: Incarnation,
    /// Number of the batch among those of its author, from 1.
    pub seq: u64,
    /// Records in the order in which they apply.
    pub entries: Vec<Entry>,
}

/// A record with its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Who asked for the change: a token's name, or `system`.
    pub actor: String,
    /// Wall-clock time of the writer, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The change itself.
    pub record: Record,
}

/// A change to the replicated state.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The author becomes a member.
    Join(VmInfo),
    /// The author ends its own membership after draining.
    Leave,
    /// Another member's session ends.
    Fence(Session),
    /// Workers as the VM list shows them.
    Workers(Vec<WorkerInfo>),
    /// Workers that the VM list no longer has.
    WorkersGone(Vec<String>),
    /// An operator takes a worker out of service, or puts it back.
    Cordon(Cordon),
    /// A team is created, changed or removed.
    Team(TeamChange),
    /// A setting is created, changed or removed.
    Setting(SettingChange),
    /// A job is accepted.
    Accept(JobSpec),
    /// A job is cancelled.
    Cancel(JobId),
    /// Tasks have ended for good.
    Ended(Vec<TaskEnd>),
    /// Usage of leases, to be charged.
    Usage(Vec<UsageSpan>),
    /// A request that was refused before it reached the log, kept for the audit trail.
    Refused(Refusal),
    /// A part of a snapshot.
    Snapshot(SnapshotPart),
}

/// Addresses of a VM that becomes a member.
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

/// State of a worker in the VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// It takes work.
    #[display("live")]
    Live,
    /// It finishes what it runs and takes no new work.
    #[display("leaving")]
    Leaving,
}

/// A worker as the VM list shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Unique name.
    pub name: String,
    /// Address of its control and serving interface.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Rack within the zone.
    pub rack: String,
    /// Whether it takes work.
    pub presence: Presence,
    /// What it has.
    pub capacity: Resources,
}

/// Takes a worker out of service or puts it back.
#[derive(Clone, Debug, PartialEq)]
pub struct Cordon {
    /// Name of the worker.
    pub worker: String,
    /// Whether new work is kept away.
    pub cordoned: bool,
}

/// A team's account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamSpec {
    /// Most that the team's running tasks may hold together.
    pub quota: Resources,
    /// SHA-256 of each token of the team, in lowercase hexadecimal.
    pub tokens: Vec<String>,
}

/// Creates, replaces or removes a team.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamChange {
    /// Name of the team.
    pub name: String,
    /// Version that the writer has seen; 0 for a new team.
    pub expect: Version,
    /// The new content, or nothing to remove the team.
    pub spec: Option<TeamSpec>,
}

/// Creates, replaces or removes a setting.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingChange {
    /// Name of the setting.
    pub name: String,
    /// Version that the writer has seen; 0 for a new setting.
    pub expect: Version,
    /// The new value as TOML text, or nothing to remove the setting.
    pub value: Option<String>,
}

/// Kind of a workload, which decides how its tasks are placed.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Runs until cancelled and answers callers; spread over racks and zones.
    #[display("service")]
    Service,
    /// Runs to its end; packed tightly.
    #[display("batch")]
    Batch,
    /// All tasks start together or none does.
    #[display("gang")]
    Gang,
}

/// A job as its team declares it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Team that owns the job and is charged for it.
    pub team: String,
    /// Name of the workload; jobs of one name share learned sizes and run times.
    pub name: String,
    /// How its tasks are placed.
    pub kind: Kind,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared need of one task.
    pub need: Resources,
    /// Declared run time of one task in milliseconds; 0 if unknown.
    #[serde(default)]
    pub run_ms: u64,
    /// Whether it must start within 1 s, by preemption if needed.
    #[serde(default)]
    pub urgent: bool,
    /// How often a failed task is tried again.
    #[serde(default)]
    pub retries: u32,
    /// What a worker runs.
    #[serde(default)]
    pub command: String,
    /// Idempotency key of the submission.
    #[serde(default)]
    pub key: Option<String>,
}

/// How a task ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// It ran to its end.
    #[display("succeeded")]
    Succeeded,
    /// It ran and failed, on every attempt it had.
    #[display("failed")]
    Failed,
    /// It was cancelled, running or not.
    #[display("cancelled")]
    Cancelled,
}

/// The end of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskEnd {
    /// Task that ended.
    pub task: TaskId,
    /// How it ended.
    pub outcome: Outcome,
    /// Worker of the last attempt, empty if it never ran.
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
    /// Processor time in core-milliseconds.
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
    /// Interval after the last one of the span.
    pub to: u32,
    /// Sum over the span.
    pub usage: Usage,
    /// Wall-clock end of the span, in milliseconds since the Unix epoch.
    pub end_ms: u64,
}

/// A refused request.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// What was asked, for example `delete team herders`.
    pub action: String,
    /// Why it was refused.
    pub code: Code,
}

/// A part of a snapshot of the state.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotPart {
    /// Last offset that the snapshot includes.
    pub base: Offset,
    /// Index of this part, from 0.
    pub part: u32,
    /// Number of parts.
    pub parts: u32,
    /// Encoded content; the log package knows its form.
    pub body: Vec<u8>,
}
