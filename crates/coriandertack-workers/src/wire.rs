//! JSON forms of a worker's control interface, and their conversions.

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

use crate::{clock::Clock, news::End};

/// A lease as text.
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

/// Kind of a workload.
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
pub(crate) struct Orders<'a> {
    pub epoch: u64,
    pub commands: Vec<Order<'a>>,
}

/// A command.
#[derive(Debug, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub(crate) enum Order<'a> {
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

/// Converts a command. A first lease ends no later than `valid`.
pub(crate) fn order(command: &WorkerCommand, clock: Clock, valid: Instant) -> Order<'_> {
    match command {
        WorkerCommand::Start { spec, until } => Order::Start {
            lease: spec.lease,
            class: &spec.class,
            kind: spec.kind.into(),
            grant: spec.need.into(),
            urgent: spec.urgent,
            command: &spec.command,
            until_ms: clock.at((*until).min(valid)),
        },
        &WorkerCommand::Stop(lease) => Order::Stop { lease },
        &WorkerCommand::Checkpoint(lease) => Order::Checkpoint { lease },
        &WorkerCommand::Throttle { lease, millicores } => Order::Throttle { lease, millicores },
        &WorkerCommand::AckEnd(lease) => Order::AckEnd { lease },
        &WorkerCommand::AckUsage { lease, to } => Order::AckUsage { lease, to },
    }
}

/// Answer to one command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Effect {
    Done,
    Known,
    Refused,
    Unknown,
}

/// Answer to `POST /v1/commands`.
#[derive(Debug, Deserialize)]
pub(crate) struct Results {
    pub now_ms: u64,
    pub results: Vec<Effect>,
}

/// Answer to `GET /v1/tasks`.
#[derive(Debug, Deserialize)]
pub(crate) struct Tasks {
    pub now_ms: u64,
    #[serde(default)]
    pub leaving: bool,
    pub running: Vec<Listed>,
    pub ended: Vec<Ended>,
}

/// A running task.
#[derive(Debug, Deserialize)]
pub(crate) struct Listed {
    #[serde(with = "text")]
    pub lease: LeaseId,
    class: String,
    kind: Kind,
    grant: Amount,
    urgent: bool,
    pub until_ms: u64,
}

impl From<Listed> for message::RunningTask {
    fn from(task: Listed) -> Self {
        Self {
            lease: task.lease,
            class: task.class.into(),
            kind: task.kind.into(),
            grant: task.grant.into(),
            urgent: task.urgent,
        }
    }
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Cause {
    Succeeded,
    Failed,
    OutOfMemory,
    Stopped,
    LeaseExpired,
}

/// The end of a task.
#[derive(Debug, Deserialize)]
pub(crate) struct Ended {
    #[serde(with = "text")]
    pub lease: LeaseId,
    cause: Cause,
    run_ms: u64,
    peak: Amount,
}

impl From<Ended> for End {
    fn from(ended: Ended) -> Self {
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

/// Use of resources over time.
#[derive(Debug, Deserialize)]
struct Used {
    core_ms: u64,
    mib_s: u64,
    acc_ms: u64,
}

/// Something that happened.
#[derive(Debug, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum Happened {
    Started {
        #[serde(with = "text")]
        lease: LeaseId,
    },
    Ended(Ended),
    Usage {
        #[serde(with = "text")]
        lease: LeaseId,
        interval: u32,
        usage: Used,
        end_ms: u64,
        last: bool,
    },
    Checkpointed {
        #[serde(with = "text")]
        lease: LeaseId,
    },
    Leaving,
}

/// An event with its number.
#[derive(Debug, Deserialize)]
pub(crate) struct Event {
    pub seq: u64,
    #[serde(flatten)]
    happened: Happened,
}

impl From<Event> for WorkerEvent {
    fn from(event: Event) -> Self {
        match event.happened {
            Happened::Started { lease } => Self::Started(lease),
            Happened::Ended(ended) => End::from(ended).into(),
            Happened::Usage { lease, interval, usage, end_ms, last } => {
                let Used { core_ms, mib_s, acc_ms } = usage;
                let usage = record::Usage { core_ms, mib_s, acc_ms };
                Self::Usage { lease, interval, usage, end_ms, last }
            }
            Happened::Checkpointed { lease } => Self::Checkpointed(lease),
            Happened::Leaving => Self::Leaving,
        }
    }
}

/// Answer to `GET /v1/events`.
#[derive(Debug, Deserialize)]
pub(crate) struct Events {
    pub events: Vec<Event>,
}
