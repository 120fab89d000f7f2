//! Messages between the tasks of one process, as plain types.
//!
//! A task that talks to a peer takes these from a channel and converts them at its border, so that
//! decisions never see an encoding. A test replaces a peer by the other end of the channel.

use std::{net::SocketAddr, sync::Arc};

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    tokio::{sync::oneshot, time::Instant},
};

use crate::{
    code::Code,
    keys::{Epoch, JobId, LeaseId, Offset, Session},
    pool::WorkerFilter,
    record::{Entry, JobSpec, Kind, Usage},
    resources::Resources,
    state::ApplyResult,
};

/// Records to append, with the way back for their verdicts.
#[derive(Debug)]
pub struct Submission {
    /// Records that must be in one batch.
    pub entries: Vec<Entry>,
    /// Resolves when the batch is applied, or when the outcome can no longer be learnt.
    pub reply: oneshot::Sender<Result<Vec<ApplyResult>, Code>>,
}

/// What an owner needs to know of a task to give it capacity.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptSpec {
    /// Attempt that the capacity is for.
    pub lease: LeaseId,
    /// Team and name of the workload, `team.name`; tasks of one class share what is learned.
    pub class: Arc<str>,
    /// How it is placed.
    pub kind: Kind,
    /// Capacity to grant.
    pub need: Resources,
    /// Expected run time in milliseconds; 0 if unknown.
    pub run_ms: u64,
    /// Whether it may preempt batch work and is never preempted itself.
    pub urgent: bool,
    /// What the worker runs.
    pub command: Arc<str>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCommand {
    /// Starts a task under a first lease that ends at `until`.
    Start {
        /// The task and its needs.
        spec: AttemptSpec,
        /// End of the first lease: never later than the owner's validity.
        until: Instant,
    },
    /// Stops a task.
    Stop(LeaseId),
    /// Saves a task's progress, so that its next attempt resumes there.
    Checkpoint(LeaseId),
    /// Limits a task's processor use.
    Throttle {
        /// Task to limit.
        lease: LeaseId,
        /// New limit in thousandths of a core.
        millicores: u32,
    },
    /// Lets the worker forget a task's end, which is in the log now.
    AckEnd(LeaseId),
    /// Lets the worker forget usage intervals below `to`, which are charged now.
    AckUsage {
        /// Lease that used the resources.
        lease: LeaseId,
        /// First interval still to be reported.
        to: u32,
    },
}

/// How a lease ended on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// The task ran to its end.
    #[display("succeeded")]
    Succeeded,
    /// The task failed.
    #[display("failed")]
    Failed,
    /// The task used more memory than its grant.
    #[display("out_of_memory")]
    OutOfMemory,
    /// A command stopped it.
    #[display("stopped")]
    Stopped,
    /// Its lease was not renewed in time, or had ended on arrival.
    #[display("lease_expired")]
    LeaseExpired,
    /// The worker did not accept the start.
    #[display("refused")]
    Refused,
}

/// A task in a worker's own list.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    /// Attempt that runs.
    pub lease: LeaseId,
    /// Class as in [`AttemptSpec::class`].
    pub class: Arc<str>,
    /// How it was placed.
    pub kind: Kind,
    /// Capacity granted.
    pub grant: Resources,
    /// Whether it is urgent.
    pub urgent: bool,
}

/// News from a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerEvent {
    /// A task runs.
    Started(LeaseId),
    /// A lease ended.
    Ended {
        /// The lease.
        lease: LeaseId,
        /// Why it ended.
        cause: EndCause,
        /// How long the task ran, in milliseconds.
        run_ms: u64,
        /// Highest use seen.
        peak: Resources,
    },
    /// Usage in one interval.
    Usage {
        /// The lease.
        lease: LeaseId,
        /// Number of the interval, from 0.
        interval: u32,
        /// Use in the interval.
        usage: Usage,
        /// Wall-clock end of the interval in milliseconds since the Unix epoch.
        end_ms: u64,
        /// Whether it is the lease's last interval.
        last: bool,
    },
    /// A task's progress is saved.
    Checkpointed(LeaseId),
    /// The worker is about to leave.
    Leaving,
}

/// A request of a home to place one task.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// The task and its needs.
    pub spec: AttemptSpec,
    /// Epoch of the home, so that an owner refuses a former one.
    pub epoch: Epoch,
    /// End of the home's validity; a start must not be sent later.
    pub until: Instant,
    /// Workers that may be used.
    pub filter: WorkerFilter,
    /// Whether to hold the capacity until [`PeerRequest::Commit`] instead of starting.
    pub hold: bool,
}

/// Answer to a [`PlacementRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementOutcome {
    /// The start was sent, or the capacity is held.
    #[display("granted")]
    Granted,
    /// The owner has no room now.
    #[display("full")]
    Full,
    /// The owner or the home is not valid; the task was not started.
    #[display("invalid")]
    Invalid,
    /// The start may have been sent.
    #[display("unknown")]
    Unknown,
}

/// A task that an owner knows, for a home that takes over.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedTask {
    /// Attempt.
    pub lease: LeaseId,
    /// Name of its worker.
    pub worker: String,
    /// How it ended, if it did and the home has not acknowledged the end.
    pub ended: Option<EndCause>,
}

/// News of a task, from its owner to its home.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    /// Attempt.
    pub lease: LeaseId,
    /// Name of its worker.
    pub worker: String,
    /// What happened.
    pub event: TaskEvent,
}

/// What happened to a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskEvent {
    /// It runs.
    Running,
    /// It ended.
    Ended {
        /// Why.
        cause: EndCause,
        /// How long it ran, in milliseconds.
        run_ms: u64,
        /// Highest use seen.
        peak: Resources,
    },
}

/// Free capacity of an owner's workers.
///
/// It has a fixed size, since it is part of every heartbeat. Workers with accelerators are told apart,
/// because a home must see whether an owner has room without them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacitySummary {
    /// Sum over the workers that take work.
    pub free: Resources,
    /// What the worker with the most free processors has free.
    pub largest: Resources,
    /// Workers that take work.
    pub workers: u32,
    /// Room on workers without accelerators.
    pub plain: FreeCapacity,
    /// Room on workers with accelerators.
    pub accelerated: FreeCapacity,
}

impl CapacitySummary {
    /// Adds a worker that takes work.
    pub fn add_worker(&mut self, free: Resources, accelerated: bool, in_use: bool) {
        self.free = self.free.saturating_add(free);
        self.workers += 1;
        if free.millicores > self.largest.millicores {
            self.largest = free;
        }
        let room = if accelerated { &mut self.accelerated } else { &mut self.plain };
        room.add_worker(free, in_use);
    }

    /// Returns the summary of the workers of both.
    #[must_use]
    pub fn combined(self, other: Self) -> Self {
        let larger = other.largest.millicores > self.largest.millicores;
        Self {
            free: self.free.saturating_add(other.free),
            largest: if larger { other.largest } else { self.largest },
            workers: self.workers + other.workers,
            plain: self.plain.combined(other.plain),
            accelerated: self.accelerated.combined(other.accelerated),
        }
    }

    /// Returns the most of each resource that some worker has free.
    #[must_use]
    pub fn max_free(&self) -> Resources {
        self.plain.max.max(self.accelerated.max)
    }
}

/// Free capacity of some workers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FreeCapacity {
    /// Sum over the workers.
    pub free: Resources,
    /// What one worker has free: the one with the most accelerators, then processors.
    pub largest: Resources,
    /// Like `largest`, among the workers that run something. A task that fits there opens no new one.
    pub partial: Resources,
    /// The most of each resource that some worker has free. What exceeds it fits nowhere.
    pub max: Resources,
}

impl FreeCapacity {
    /// Adds a worker with its free capacity.
    pub fn add_worker(&mut self, free: Resources, in_use: bool) {
        self.free = self.free.saturating_add(free);
        self.max = self.max.max(free);
        self.largest = larger(self.largest, free);
        if in_use {
            self.partial = larger(self.partial, free);
        }
    }

    /// Returns the room on the workers of both.
    #[must_use]
    pub fn combined(self, other: Self) -> Self {
        Self {
            free: self.free.saturating_add(other.free),
            largest: larger(self.largest, other.largest),
            partial: larger(self.partial, other.partial),
            max: self.max.max(other.max),
        }
    }
}

/// Returns the hole with more accelerators, then processors, then memory.
fn larger(one: Resources, two: Resources) -> Resources {
    let rank = |hole: Resources| (hole.accelerators, hole.millicores, hole.memory_mib);
    if rank(one) >= rank(two) { one } else { two }
}

/// One running copy of a service that can answer callers.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Class of the service, `team.name`.
    pub service: Arc<str>,
    /// Name of the worker.
    pub worker: Arc<str>,
    /// Where it answers.
    pub address: SocketAddr,
    /// Availability zone of the worker.
    pub zone: Arc<str>,
    /// Whether it takes new requests.
    pub open: bool,
}

/// Regular message of a VM to each other VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Session of the sender.
    pub session: Session,
    /// Last offset that the sender has applied.
    pub offset: Offset,
    /// Highest offset of a membership record whose shares the sender keeps to.
    pub confirmed_offset: Offset,
    /// Free capacity, if it changed since the last heartbeat on the connection.
    pub summary: Option<CapacitySummary>,
    /// Members that the sender has not heard for too long.
    pub suspects: Vec<Session>,
    /// Services on the sender's workers, if they changed since the last heartbeat that was confirmed.
    pub instances: Option<Vec<Instance>>,
}

/// State of an idempotency key at its primary or backup.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRecord {
    /// Service and key, `team.name/key`.
    pub key: Arc<str>,
    /// SHA-256 or a like digest of the request, to recognise another request under one key.
    pub digest: u64,
    /// When the key may be forgotten.
    pub until: Instant,
    /// The answer, once there is one.
    pub response: Option<CallResponse>,
}

/// A caller's answer that is kept for repeats.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Content.
    pub body: Arc<[u8]>,
}

/// A caller's request that another VM is to carry out.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Class of the service, `team.name`.
    pub service: Arc<str>,
    /// Class of the request within the service, empty if the caller named none.
    pub class: Arc<str>,
    /// Idempotency key.
    pub key: Option<Arc<str>>,
    /// Whether it may be sent twice.
    pub repeatable: bool,
    /// When the caller stops waiting.
    pub until: Instant,
    /// Content.
    pub body: Arc<[u8]>,
}

/// A request to another entry VM.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// Regular news.
    Heartbeat(Heartbeat),
    /// Accept a job of a team whose home is the receiver.
    Submit {
        /// Who submits.
        actor: String,
        /// The job.
        spec: JobSpec,
    },
    /// Place tasks or hold capacity for them.
    Place(Vec<PlacementRequest>),
    /// Start tasks whose capacity is held.
    Commit(Vec<LeaseId>),
    /// Let go of held capacity, or stop tasks.
    Release(Vec<LeaseId>),
    /// Say which leases have capacity, and never start the others, even if an older request to
    /// place them arrives later.
    Settle(Vec<LeaseId>),
    /// List a team's tasks; also refuses lower epochs of its home from now on.
    List {
        /// Name of the team.
        team: String,
        /// Epoch of the new home.
        epoch: Epoch,
        /// Offset that the receiver must have applied for its list to count as complete.
        offset: Offset,
    },
    /// News for the home of the tasks.
    Notices(Vec<Notice>),
    /// The ends of these tasks are in the log.
    AckEnds(Vec<LeaseId>),
    /// Note a key at its backup.
    RecordKey(KeyRecord),
    /// Carry out a caller's request at the primary of its key.
    Call(Call),
}

/// An answer of another entry VM.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerReply {
    /// Received.
    Ok,
    /// The request was refused.
    Refused(Code),
    /// The job was accepted.
    Job(JobId),
    /// One answer for each task, in order.
    Placed(Vec<PlacementOutcome>),
    /// Tasks of a team.
    Listed {
        /// Tasks known.
        tasks: Vec<ListedTask>,
        /// Whether every worker of the owner is resolved, so that a task not listed does not run.
        complete: bool,
    },
    /// What the backup knew of a key before.
    Key(Option<KeyRecord>),
    /// The caller's answer.
    Response(CallResponse),
}

/// A request on its way to another entry VM.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// The request.
    pub request: PeerRequest,
    /// When the sender stops waiting.
    pub until: Instant,
    /// Resolves with the answer, or is dropped when the link fails before an answer.
    pub reply: oneshot::Sender<PeerReply>,
}
