//! Messages between the async tasks of a process, as plain types.
//!
//! The task for a peer receives these from a channel and converts them to its protocol, so that the
//! decisions do not depend on an encoding. A test replaces a peer by holding the other end of the channel.

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

/// Records to append to the log, with a channel for their results.
#[derive(Debug)]
pub struct Submission {
    /// Records that must be appended in a single batch.
    pub entries: Vec<Entry>,
    /// Resolves once the batch is applied, or once its outcome can no longer be determined.
    pub reply: oneshot::Sender<Result<Vec<ApplyResult>, Code>>,
}

/// Description of a task attempt that an owner needs to place it.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptSpec {
    /// Lease of the attempt.
    pub lease: LeaseId,
    /// Team and name of the workload, `team.name`. Tasks of a class share their learned sizes and run times.
    pub class: Arc<str>,
    /// Workload kind, which determines the placement policy.
    pub kind: Kind,
    /// Resources to grant.
    pub need: Resources,
    /// Expected run time in milliseconds, 0 if unknown.
    pub run_ms: u64,
    /// Whether the task may preempt batch tasks and is never preempted itself.
    pub urgent: bool,
    /// Command that the worker runs.
    pub command: Arc<str>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCommand {
    /// Start a task under a lease that initially ends at `until`.
    Start {
        /// The task to start.
        spec: AttemptSpec,
        /// Initial end of the lease, never later than the owner's validity.
        until: Instant,
    },
    /// Stop a task.
    Stop(LeaseId),
    /// Save a task's progress, so that its next attempt resumes from there.
    Checkpoint(LeaseId),
    /// Limit a task's CPU use.
    Throttle {
        /// Lease of the task to limit.
        lease: LeaseId,
        /// New limit in thousandths of a core.
        millicores: u32,
    },
    /// Acknowledge the end of a task, which is in the log now, so that the worker can discard it.
    AckEnd(LeaseId),
    /// Acknowledge the usage intervals below `to`, which are charged now, so that the worker can discard them.
    AckUsage {
        /// Lease that the usage belongs to.
        lease: LeaseId,
        /// First interval that is not acknowledged.
        to: u32,
    },
}

/// How a lease ended on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndCause {
    /// The task completed successfully.
    #[display("succeeded")]
    Succeeded,
    /// The task failed.
    #[display("failed")]
    Failed,
    /// The task exceeded its memory grant.
    #[display("out_of_memory")]
    OutOfMemory,
    /// The task was stopped by a command.
    #[display("stopped")]
    Stopped,
    /// The lease was not renewed in time, or had already expired when the start command arrived.
    #[display("lease_expired")]
    LeaseExpired,
    /// The worker refused to start the task.
    #[display("refused")]
    Refused,
}

/// A task in the list of running tasks that a worker reports.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    /// Lease that the task runs under.
    pub lease: LeaseId,
    /// Workload class as in [`AttemptSpec::class`].
    pub class: Arc<str>,
    /// Workload kind as in [`AttemptSpec::kind`].
    pub kind: Kind,
    /// Resources granted to the task.
    pub grant: Resources,
    /// Whether the task is urgent as in [`AttemptSpec::urgent`].
    pub urgent: bool,
}

/// An event reported by a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerEvent {
    /// The task of a lease was started.
    Started(LeaseId),
    /// The task of a lease ended.
    Ended {
        /// Lease of the task.
        lease: LeaseId,
        /// Reason for the end.
        cause: EndCause,
        /// Run time of the task in milliseconds.
        run_ms: u64,
        /// Highest use observed.
        peak: Resources,
    },
    /// Usage of a lease in one interval.
    Usage {
        /// Lease that the usage belongs to.
        lease: LeaseId,
        /// Number of the interval within the lease, starting at 0.
        interval: u32,
        /// Resources used in the interval.
        usage: Usage,
        /// Wall-clock end of the interval in milliseconds since the Unix epoch.
        end_ms: u64,
        /// Whether this is the last interval of the lease.
        last: bool,
    },
    /// The progress of a task was saved.
    Checkpointed(LeaseId),
    /// The worker is about to leave the cluster.
    Leaving,
}

/// A request of a home to an owner to place one task.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// The task to place.
    pub spec: AttemptSpec,
    /// Epoch of the home, which lets the owner reject requests of a former home.
    pub epoch: Epoch,
    /// End of the home's validity. The owner must not send the start command after it.
    pub until: Instant,
    /// Workers that the owner may use.
    pub filter: WorkerFilter,
    /// Whether to hold the capacity until [`PeerRequest::Commit`] instead of starting.
    pub hold: bool,
}

/// Answer to a [`PlacementRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementOutcome {
    /// The start command was sent, or the capacity is held.
    #[display("granted")]
    Granted,
    /// The owner has no worker with enough free capacity.
    #[display("full")]
    Full,
    /// The request was rejected, for instance because the home or the owner is not valid. Nothing was started.
    #[display("invalid")]
    Invalid,
    /// No answer was received, so the start command may or may not have been sent.
    #[display("unknown")]
    Unknown,
}

/// A task known to an owner, as listed for a home that recovers its team.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedTask {
    /// Lease of the attempt.
    pub lease: LeaseId,
    /// Name of the worker that the task was placed on.
    pub worker: String,
    /// Reason for the end if the task has ended and the home has not acknowledged it, `None` if it runs.
    pub ended: Option<EndCause>,
}

/// A notice about a task from its owner to its home.
#[derive(Clone, Debug, PartialEq)]
pub struct Notice {
    /// Lease of the attempt.
    pub lease: LeaseId,
    /// Name of the worker that the task was placed on.
    pub worker: String,
    /// The event to report.
    pub event: TaskEvent,
}

/// An event in the life of a task attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskEvent {
    /// The task is running.
    Running,
    /// The task ended.
    Ended {
        /// Reason for the end.
        cause: EndCause,
        /// Run time in milliseconds.
        run_ms: u64,
        /// Highest use observed.
        peak: Resources,
    },
}

/// Summary of the free capacity of an owner's workers.
///
/// Its size is fixed, since heartbeats carry it. Workers with and without accelerators are summarised
/// separately, so that a home can see whether an owner has room on workers without accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacitySummary {
    /// Sum of the free capacity of the workers that accept work.
    pub free: Resources,
    /// Free capacity of the worker with the most free processors.
    pub largest: Resources,
    /// Number of workers that accept work.
    pub workers: u32,
    /// Free capacity on workers without accelerators.
    pub plain: FreeCapacity,
    /// Free capacity on workers with accelerators.
    pub accelerated: FreeCapacity,
}

impl CapacitySummary {
    /// Adds a worker that accepts work.
    pub fn add_worker(&mut self, free: Resources, accelerated: bool, in_use: bool) {
        self.free = self.free.saturating_add(free);
        self.workers += 1;
        if free.millicores > self.largest.millicores {
            self.largest = free;
        }
        let group = if accelerated { &mut self.accelerated } else { &mut self.plain };
        group.add_worker(free, in_use);
    }

    /// Returns the summary over the workers of both summaries.
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

    /// Returns for each resource the largest amount that any worker has free.
    #[must_use]
    pub fn max_free(&self) -> Resources {
        self.plain.max.max(self.accelerated.max)
    }
}

/// Free capacity of a group of workers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FreeCapacity {
    /// Sum of the free capacity of the workers.
    pub free: Resources,
    /// Free capacity of the worker with the most free accelerators, then processors, then memory.
    pub largest: Resources,
    /// Like `largest`, but among the workers that already run tasks. A task that fits there needs no idle worker.
    pub partial: Resources,
    /// For each resource the largest amount that any worker has free. A task that exceeds it fits on no worker.
    pub max: Resources,
}

impl FreeCapacity {
    /// Adds the free capacity of a worker. `in_use` says whether it runs any tasks.
    pub fn add_worker(&mut self, free: Resources, in_use: bool) {
        self.free = self.free.saturating_add(free);
        self.max = self.max.max(free);
        self.largest = larger(self.largest, free);
        if in_use {
            self.partial = larger(self.partial, free);
        }
    }

    /// Returns the free capacity of the workers of both groups.
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

/// Returns the capacity with more accelerators, then more processors, then more memory.
fn larger(a: Resources, b: Resources) -> Resources {
    let rank = |free: Resources| (free.accelerators, free.millicores, free.memory_mib);
    if rank(a) >= rank(b) { a } else { b }
}

/// A running copy of a service that calls can be routed to.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Class of the service, `team.name`.
    pub service: Arc<str>,
    /// Name of the worker that runs the copy.
    pub worker: Arc<str>,
    /// Address that accepts calls.
    pub address: SocketAddr,
    /// Availability zone of the worker.
    pub zone: Arc<str>,
    /// Whether new requests may be routed to it.
    pub open: bool,
}

/// Periodic message from a VM to every other VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// Session of the sending process.
    pub session: Session,
    /// Last log offset that the sender has applied.
    pub offset: Offset,
    /// Highest offset of a membership record whose shares the sender already complies with.
    pub confirmed_offset: Offset,
    /// Free capacity, or `None` if it is unchanged since the last heartbeat on the connection.
    pub summary: Option<CapacitySummary>,
    /// Members that the sender has not heard from for too long.
    pub suspects: Vec<Session>,
    /// Service instances on the sender's workers, or `None` if unchanged since the last confirmed heartbeat.
    pub instances: Option<Vec<Instance>>,
}

/// State of an idempotency key on its primary or backup VM.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyRecord {
    /// Service and key, `team.name/key`.
    pub key: Arc<str>,
    /// 64-bit digest of the request, to detect a different request under the same key.
    pub digest: u64,
    /// When the key may be removed.
    pub until: Instant,
    /// The response, or `None` while the call is in progress.
    pub response: Option<CallResponse>,
}

/// Response to a call, kept for repeated requests with the same key.
#[derive(Clone, Debug, PartialEq)]
pub struct CallResponse {
    /// HTTP status code.
    pub status: u16,
    /// Body of the message.
    pub body: Arc<[u8]>,
}

/// A caller's request that is forwarded to another VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Class of the service, `team.name`.
    pub service: Arc<str>,
    /// Request class within the service, empty if the caller specified none.
    pub class: Arc<str>,
    /// Idempotency key, if the caller sent one.
    pub key: Option<Arc<str>>,
    /// Whether the request may safely be sent to the service more than once.
    pub repeatable: bool,
    /// Deadline after which the caller stops waiting.
    pub until: Instant,
    /// Body of the message.
    pub body: Arc<[u8]>,
}

/// A request to another entry VM.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerRequest {
    /// Periodic state of the sender.
    Heartbeat(Heartbeat),
    /// Accept a job of a team whose home is the receiver.
    Submit {
        /// Actor that submits the job, for the audit trail.
        actor: String,
        /// Specification of the job.
        spec: JobSpec,
    },
    /// Place tasks or hold capacity for them.
    Place(Vec<PlacementRequest>),
    /// Start the tasks whose capacity is held.
    Commit(Vec<LeaseId>),
    /// Release held capacity, or stop tasks that have started.
    Release(Vec<LeaseId>),
    /// Report which leases have capacity, and reject the others even if an earlier placement request for
    /// them arrives later.
    Settle(Vec<LeaseId>),
    /// List a team's tasks, and reject lower epochs of its home from now on.
    List {
        /// Name of the team.
        team: String,
        /// Epoch of the new home.
        epoch: Epoch,
        /// Log offset that the receiver must have applied for its list to be complete.
        offset: Offset,
    },
    /// Notices for the home of the tasks.
    Notices(Vec<Notice>),
    /// Acknowledge the ends of these leases, which are in the log.
    AckEnds(Vec<LeaseId>),
    /// Store the state of an idempotency key on its backup.
    RecordKey(KeyRecord),
    /// Execute a caller's request on the primary of its key.
    Call(Call),
}

/// A reply from another entry VM.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerReply {
    /// The request was received and needs no other reply.
    Ok,
    /// The request was refused with this code.
    Refused(Code),
    /// The job was accepted under this id.
    Job(JobId),
    /// One outcome for each task of the request, in order.
    Placed(Vec<PlacementOutcome>),
    /// The tasks of a team.
    Listed {
        /// Tasks that the owner knows.
        tasks: Vec<ListedTask>,
        /// Whether the list is complete, so that a task that is not listed does not run on this owner's workers.
        complete: bool,
    },
    /// State of the key that the backup had stored before, if any.
    Key(Option<KeyRecord>),
    /// Response to a forwarded call.
    Response(CallResponse),
}

/// A request on its way to another entry VM.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Request to send.
    pub request: PeerRequest,
    /// Deadline after which the sender stops waiting.
    pub until: Instant,
    /// Resolves with the reply, or is dropped if the link fails first.
    pub reply: oneshot::Sender<PeerReply>,
}
