//! JSON encoding of a worker's control interface.

use {
    coriandertack_core::{
        keys::LeaseId,
        message::{self, EndCause, WorkerCommand, WorkerEvent},
        record,
        resources::Resources,
    },
    serde::{Deserialize, Serialize},
    tokio::time::Instant,
};

use crate::{clock::Clock, update::LeaseEnd};

/// Encodes a lease ID as a string.
mod text {
    use {
        coriandertack_core::keys::LeaseId,
        serde::{Deserialize, Deserializer, Serializer, de::Error},
    };

    pub(super) fn serialize<S: Serializer>(lease: &LeaseId, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(lease)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<LeaseId, D::Error> {
        String::deserialize(from)?.parse().map_err(D::Error::custom)
    }
}

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct Amount {
    millicores: u32,
    memory_mib: u32,
    #[serde(default)]
    accelerators: u32,
}

impl From<Resources> for Amount {
    fn from(from: Resources) -> Self {
        let Resources { millicores, memory_mib, accelerators } = from;
        Self { millicores, memory_mib, accelerators }
    }
}

impl From<Amount> for Resources {
    fn from(from: Amount) -> Self {
        Self::new(from.millicores, from.memory_mib, from.accelerators)
    }
}

/// Kind of workload.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Kind {
    Service,
    Batch,
    Gang,
}

impl From<record::Kind> for Kind {
    fn from(kind: record::Kind) -> Self {
        match kind {
            record::Kind::Service => Self::Service,
            record::Kind::Batch => Self::Batch,
            record::Kind::Gang => Self::Gang,
        }
    }
}

impl From<Kind> for record::Kind {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::Service => Self::Service,
            Kind::Batch => Self::Batch,
            Kind::Gang => Self::Gang,
        }
    }
}

/// Body of `POST /v1/commands`.
#[derive(Debug, Serialize)]
pub(crate) struct CommandRequest<'a> {
    pub epoch: u64,
    pub commands: Vec<Command<'a>>,
}

/// Command to a worker. Times are on the worker's clock.
#[derive(Debug, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub(crate) enum Command<'a> {
    Start {
        #[serde(with = "text")]
        lease: LeaseId,
        class: &'a str,
        kind: Kind,
        grant: Amount,
        urgent: bool,
        command: &'a str,
        until_ms: u64,
    },
    Stop {
        #[serde(with = "text")]
        lease: LeaseId,
    },
    Checkpoint {
        #[serde(with = "text")]
        lease: LeaseId,
    },
    Throttle {
        #[serde(with = "text")]
        lease: LeaseId,
        millicores: u32,
    },
    Renew {
        until_ms: u64,
    },
    AckEnd {
        #[serde(with = "text")]
        lease: LeaseId,
    },
    AckUsage {
        #[serde(with = "text")]
        lease: LeaseId,
        to: u32,
    },
}

/// Converts a command to its JSON form. The first lease of a start ends no later than
/// `valid_until`.
pub(crate) fn encode_command(
    command: &WorkerCommand,
    clock: Clock,
    valid_until: Instant,
) -> Command<'_> {
    match command {
        WorkerCommand::Start { spec, until } => Command::Start {
            lease: spec.lease,
            class: &spec.class,
            kind: spec.kind.into(),
            grant: spec.need.into(),
            urgent: spec.urgent,
            command: &spec.command,
            until_ms: clock.at((*until).min(valid_until)),
        },
        &WorkerCommand::Stop(lease) => Command::Stop { lease },
        &WorkerCommand::Checkpoint(lease) => Command::Checkpoint { lease },
        &WorkerCommand::Throttle { lease, millicores } => Command::Throttle { lease, millicores },
        &WorkerCommand::AckEnd(lease) => Command::AckEnd { lease },
        &WorkerCommand::AckUsage { lease, to } => Command::AckUsage { lease, to },
    }
}

/// Result of one command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CommandResult {
    Done,
    Known,
    Refused,
    Unknown,
}

/// Response to `POST /v1/commands`.
#[derive(Debug, Deserialize)]
pub(crate) struct CommandResponse {
    pub now_ms: u64,
    pub results: Vec<CommandResult>,
}

/// Response to `GET /v1/tasks`.
#[derive(Debug, Deserialize)]
pub(crate) struct TaskList {
    pub now_ms: u64,
    #[serde(default)]
    pub leaving: bool,
    pub running: Vec<ListedTask>,
    pub ended: Vec<EndedTask>,
}

/// Running task in a worker's list.
#[derive(Debug, Deserialize)]
pub(crate) struct ListedTask {
    #[serde(with = "text")]
    pub lease: LeaseId,
    class: String,
    kind: Kind,
    grant: Amount,
    urgent: bool,
    pub until_ms: u64,
}

impl From<ListedTask> for message::RunningTask {
    fn from(task: ListedTask) -> Self {
        Self {
            lease: task.lease,
            class: task.class.into(),
            kind: task.kind.into(),
            grant: task.grant.into(),
            urgent: task.urgent,
        }
    }
}

/// Why a task ended, as a worker reports it.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Cause {
    Succeeded,
    Failed,
    OutOfMemory,
    Stopped,
    LeaseExpired,
}

/// End of a task.
#[derive(Debug, Deserialize)]
pub(crate) struct EndedTask {
    #[serde(with = "text")]
    pub lease: LeaseId,
    cause: Cause,
    run_ms: u64,
    peak: Amount,
}

impl From<EndedTask> for LeaseEnd {
    fn from(ended: EndedTask) -> Self {
        let cause = match ended.cause {
            Cause::Succeeded => EndCause::Succeeded,
            Cause::Failed => EndCause::Failed,
            Cause::OutOfMemory => EndCause::OutOfMemory,
            Cause::Stopped => EndCause::Stopped,
            Cause::LeaseExpired => EndCause::LeaseExpired,
        };
        Self { lease: ended.lease, cause, run_ms: ended.run_ms, peak: ended.peak.into() }
    }
}

/// Resource use within one interval, integrated over time.
#[derive(Debug, Deserialize)]
struct ResourceUsage {
    core_ms: u64,
    mib_s: u64,
    acc_ms: u64,
}

/// Content of an event.
#[derive(Debug, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum EventKind {
    Started {
        #[serde(with = "text")]
        lease: LeaseId,
    },
    Ended(EndedTask),
    Usage {
        #[serde(with = "text")]
        lease: LeaseId,
        interval: u32,
        usage: ResourceUsage,
        end_ms: u64,
        last: bool,
    },
    Checkpointed {
        #[serde(with = "text")]
        lease: LeaseId,
    },
    Leaving,
}

/// Event with its sequence number.
#[derive(Debug, Deserialize)]
pub(crate) struct Event {
    pub seq: u64,
    #[serde(flatten)]
    kind: EventKind,
}

impl From<Event> for WorkerEvent {
    fn from(event: Event) -> Self {
        match event.kind {
            EventKind::Started { lease } => Self::Started(lease),
            EventKind::Ended(ended) => LeaseEnd::from(ended).into(),
            EventKind::Usage { lease, interval, usage, end_ms, last } => {
                let ResourceUsage { core_ms, mib_s, acc_ms } = usage;
                let usage = record::Usage { core_ms, mib_s, acc_ms };
                Self::Usage { lease, interval, usage, end_ms, last }
            }
            EventKind::Checkpointed { lease } => Self::Checkpointed(lease),
            EventKind::Leaving => Self::Leaving,
        }
    }
}

/// Response to `GET /v1/events`.
#[derive(Debug, Deserialize)]
pub(crate) struct EventList {
    pub events: Vec<Event>,
}
