//! Conversion between batches and their messages.

use {
    coriandertack_core::{
        code::Code,
        keys::{Incarnation, JobId, LeaseId, Offset, Session, TaskId, Version},
        record::{
            Batch, Cordon, Entry, JobSpec, Kind, Outcome, Presence, Record, Refusal, SettingChange,
            SnapshotPart, TaskEnd, TeamChange, TeamSpec, Usage, UsageSpan, VmInfo, WorkerInfo,
        },
        resources::Resources,
    },
    prost::UnknownEnumValue,
};

use {
    super::{DecodeError, convert_all, required},
    crate::proto::{self, entry::Record as Encoded},
};

impl From<UnknownEnumValue> for DecodeError {
    fn from(_: UnknownEnumValue) -> Self {
        Self::Unknown
    }
}

impl From<&Batch> for proto::Batch {
    fn from(batch: &Batch) -> Self {
        Self {
            author: batch.author.0,
            seq: batch.seq,
            entries: batch.entries.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<proto::Batch> for Batch {
    type Error = DecodeError;

    fn try_from(batch: proto::Batch) -> Result<Self, DecodeError> {
        let entries = convert_all(batch.entries)?;
        Ok(Self { author: Incarnation(batch.author), seq: batch.seq, entries })
    }
}

impl From<&Entry> for proto::Entry {
    fn from(entry: &Entry) -> Self {
        let record = Some(encode_record(&entry.record));
        Self { actor: entry.actor.clone(), at_ms: entry.at_ms, record }
    }
}

impl TryFrom<proto::Entry> for Entry {
    type Error = DecodeError;

    fn try_from(entry: proto::Entry) -> Result<Self, DecodeError> {
        let record = entry.record.ok_or(DecodeError::Unknown)?;
        Ok(Self { actor: entry.actor, at_ms: entry.at_ms, record: decode_record(record)? })
    }
}

fn encode_record(record: &Record) -> Encoded {
    match record {
        Record::Join(join) => Encoded::Join(join.into()),
        Record::Leave => Encoded::Leave(proto::Leave {}),
        Record::Fence(session) => Encoded::Fence(proto::Fence { session: session.0 }),
        Record::Workers(infos) => {
            Encoded::Workers(proto::Workers { workers: infos.iter().map(Into::into).collect() })
        }
        Record::WorkersGone(names) => {
            Encoded::WorkersGone(proto::WorkersGone { names: names.clone() })
        }
        Record::Cordon(cordon) => Encoded::Cordon(proto::Cordon {
            worker: cordon.worker.clone(),
            cordoned: cordon.cordoned,
        }),
        Record::Team(change) => Encoded::Team(proto::TeamChange {
            name: change.name.clone(),
            expect: change.expect.0,
            spec: change.spec.as_ref().map(Into::into),
        }),
        Record::Setting(change) => Encoded::Setting(proto::SettingChange {
            name: change.name.clone(),
            expect: change.expect.0,
            value: change.value.clone(),
        }),
        Record::Accept(spec) => Encoded::Accept(spec.into()),
        Record::Cancel(job) => Encoded::Cancel(proto::Cancel { job: job.0 }),
        Record::Ended(ends) => {
            Encoded::Ended(proto::Ended { ends: ends.iter().map(Into::into).collect() })
        }
        Record::Usage(spans) => {
            Encoded::Usage(proto::Usage { spans: spans.iter().map(Into::into).collect() })
        }
        Record::Refused(refusal) => Encoded::Refused(proto::Refusal {
            action: refusal.action.clone(),
            code: refusal.code.number().into(),
        }),
        Record::Snapshot(part) => Encoded::Snapshot(proto::SnapshotPart {
            base: part.base.0,
            part: part.part,
            parts: part.parts,
            body: part.body.clone(),
        }),
    }
}

fn decode_record(record: Encoded) -> Result<Record, DecodeError> {
    Ok(match record {
        Encoded::Join(join) => Record::Join(join.try_into()?),
        Encoded::Leave(proto::Leave {}) => Record::Leave,
        Encoded::Fence(fence) => Record::Fence(Session(fence.session)),
        Encoded::Workers(workers) => Record::Workers(convert_all(workers.workers)?),
        Encoded::WorkersGone(gone) => Record::WorkersGone(gone.names),
        Encoded::Cordon(proto::Cordon { worker, cordoned }) => {
            Record::Cordon(Cordon { worker, cordoned })
        }
        Encoded::Team(change) => Record::Team(TeamChange {
            name: change.name,
            expect: Version(change.expect),
            spec: change.spec.map(TryInto::try_into).transpose()?,
        }),
        Encoded::Setting(change) => Record::Setting(SettingChange {
            name: change.name,
            expect: Version(change.expect),
            value: change.value,
        }),
        Encoded::Accept(spec) => Record::Accept(spec.try_into()?),
        Encoded::Cancel(cancel) => Record::Cancel(JobId(cancel.job)),
        Encoded::Ended(ended) => Record::Ended(convert_all(ended.ends)?),
        Encoded::Usage(usage) => Record::Usage(convert_all(usage.spans)?),
        Encoded::Refused(refusal) => {
            Record::Refused(Refusal { action: refusal.action, code: decode_code(refusal.code)? })
        }
        Encoded::Snapshot(part) => Record::Snapshot(SnapshotPart {
            base: Offset(part.base),
            part: part.part,
            parts: part.parts,
            body: part.body,
        }),
    })
}

fn decode_code(number: u32) -> Result<Code, DecodeError> {
    Ok(Code::try_from(decode_u16(number, "code")?)?)
}

pub(super) fn decode_u16(number: u32, field: &'static str) -> Result<u16, DecodeError> {
    u16::try_from(number).map_err(|_| DecodeError::Invalid { field })
}

impl From<&VmInfo> for proto::Join {
    fn from(join: &VmInfo) -> Self {
        Self {
            name: join.name.clone(),
            zone: join.zone.clone(),
            link: join.link.to_string(),
            http: join.http.to_string(),
        }
    }
}

impl TryFrom<proto::Join> for VmInfo {
    type Error = DecodeError;

    fn try_from(join: proto::Join) -> Result<Self, DecodeError> {
        let (link, http) = (join.link.parse()?, join.http.parse()?);
        Ok(Self { name: join.name, zone: join.zone, link, http })
    }
}

impl From<&WorkerInfo> for proto::WorkerInfo {
    fn from(info: &WorkerInfo) -> Self {
        Self {
            name: info.name.clone(),
            address: info.address.to_string(),
            zone: info.zone.clone(),
            rack: info.rack.clone(),
            presence: proto::Presence::from(info.presence).into(),
            capacity: Some(info.capacity.into()),
        }
    }
}

impl TryFrom<proto::WorkerInfo> for WorkerInfo {
    type Error = DecodeError;

    fn try_from(info: proto::WorkerInfo) -> Result<Self, DecodeError> {
        Ok(Self {
            address: info.address.parse()?,
            presence: proto::Presence::try_from(info.presence)?.try_into()?,
            capacity: required(info.capacity, "capacity")?.into(),
            name: info.name,
            zone: info.zone,
            rack: info.rack,
        })
    }
}

impl From<Presence> for proto::Presence {
    fn from(presence: Presence) -> Self {
        match presence {
            Presence::Live => Self::Live,
            Presence::Leaving => Self::Leaving,
        }
    }
}

impl TryFrom<proto::Presence> for Presence {
    type Error = DecodeError;

    fn try_from(presence: proto::Presence) -> Result<Self, DecodeError> {
        match presence {
            proto::Presence::Unspecified => Err(DecodeError::Invalid { field: "presence" }),
            proto::Presence::Live => Ok(Self::Live),
            proto::Presence::Leaving => Ok(Self::Leaving),
        }
    }
}

impl From<Resources> for proto::Resources {
    fn from(amount: Resources) -> Self {
        let Resources { millicores, memory_mib, accelerators } = amount;
        Self { millicores, memory_mib, accelerators }
    }
}

impl From<proto::Resources> for Resources {
    fn from(amount: proto::Resources) -> Self {
        Self::new(amount.millicores, amount.memory_mib, amount.accelerators)
    }
}

impl From<&TeamSpec> for proto::TeamSpec {
    fn from(spec: &TeamSpec) -> Self {
        Self { quota: Some(spec.quota.into()), tokens: spec.tokens.clone() }
    }
}

impl TryFrom<proto::TeamSpec> for TeamSpec {
    type Error = DecodeError;

    fn try_from(spec: proto::TeamSpec) -> Result<Self, DecodeError> {
        Ok(Self { quota: required(spec.quota, "quota")?.into(), tokens: spec.tokens })
    }
}

impl From<&JobSpec> for proto::JobSpec {
    fn from(spec: &JobSpec) -> Self {
        Self {
            team: spec.team.clone(),
            name: spec.name.clone(),
            kind: proto::Kind::from(spec.kind).into(),
            tasks: spec.tasks,
            need: Some(spec.need.into()),
            run_ms: spec.run_ms,
            urgent: spec.urgent,
            retries: spec.retries,
            command: spec.command.clone(),
            key: spec.key.clone(),
        }
    }
}

impl TryFrom<proto::JobSpec> for JobSpec {
    type Error = DecodeError;

    fn try_from(spec: proto::JobSpec) -> Result<Self, DecodeError> {
        Ok(Self {
            kind: proto::Kind::try_from(spec.kind)?.try_into()?,
            need: required(spec.need, "need")?.into(),
            team: spec.team,
            name: spec.name,
            tasks: spec.tasks,
            run_ms: spec.run_ms,
            urgent: spec.urgent,
            retries: spec.retries,
            command: spec.command,
            key: spec.key,
        })
    }
}

impl From<Kind> for proto::Kind {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::Service => Self::Service,
            Kind::Batch => Self::Batch,
            Kind::Gang => Self::Gang,
        }
    }
}

impl TryFrom<proto::Kind> for Kind {
    type Error = DecodeError;

    fn try_from(kind: proto::Kind) -> Result<Self, DecodeError> {
        match kind {
            proto::Kind::Unspecified => Err(DecodeError::Invalid { field: "kind" }),
            proto::Kind::Service => Ok(Self::Service),
            proto::Kind::Batch => Ok(Self::Batch),
            proto::Kind::Gang => Ok(Self::Gang),
        }
    }
}

impl From<Outcome> for proto::Outcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Succeeded => Self::Succeeded,
            Outcome::Failed => Self::Failed,
            Outcome::Cancelled => Self::Cancelled,
        }
    }
}

impl TryFrom<proto::Outcome> for Outcome {
    type Error = DecodeError;

    fn try_from(outcome: proto::Outcome) -> Result<Self, DecodeError> {
        match outcome {
            proto::Outcome::Unspecified => Err(DecodeError::Invalid { field: "outcome" }),
            proto::Outcome::Succeeded => Ok(Self::Succeeded),
            proto::Outcome::Failed => Ok(Self::Failed),
            proto::Outcome::Cancelled => Ok(Self::Cancelled),
        }
    }
}

impl From<&TaskEnd> for proto::TaskEnd {
    fn from(end: &TaskEnd) -> Self {
        Self {
            job: end.task.job.0,
            index: end.task.index,
            outcome: proto::Outcome::from(end.outcome).into(),
            worker: end.worker.clone(),
        }
    }
}

impl TryFrom<proto::TaskEnd> for TaskEnd {
    type Error = DecodeError;

    fn try_from(end: proto::TaskEnd) -> Result<Self, DecodeError> {
        Ok(Self {
            task: TaskId { job: JobId(end.job), index: end.index },
            outcome: proto::Outcome::try_from(end.outcome)?.try_into()?,
            worker: end.worker,
        })
    }
}

impl From<&UsageSpan> for proto::Span {
    fn from(span: &UsageSpan) -> Self {
        Self {
            job: span.lease.task.job.0,
            index: span.lease.task.index,
            attempt: span.lease.attempt,
            from: span.from,
            to: span.to,
            usage: Some(span.usage.into()),
            end_ms: span.end_ms,
        }
    }
}

impl TryFrom<proto::Span> for UsageSpan {
    type Error = DecodeError;

    fn try_from(span: proto::Span) -> Result<Self, DecodeError> {
        Ok(Self {
            lease: decode_lease(span.job, span.index, span.attempt),
            from: span.from,
            to: span.to,
            usage: required(span.usage, "usage")?.into(),
            end_ms: span.end_ms,
        })
    }
}

pub(super) fn decode_lease(job: u64, index: u32, attempt: u64) -> LeaseId {
    LeaseId { task: TaskId { job: JobId(job), index }, attempt }
}

impl From<Usage> for proto::Amount {
    fn from(usage: Usage) -> Self {
        Self { core_ms: usage.core_ms, mib_s: usage.mib_s, acc_ms: usage.acc_ms }
    }
}

impl From<proto::Amount> for Usage {
    fn from(amount: proto::Amount) -> Self {
        Self { core_ms: amount.core_ms, mib_s: amount.mib_s, acc_ms: amount.acc_ms }
    }
}
