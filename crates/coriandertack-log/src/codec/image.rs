//! Conversion between [`StateImage`] and the messages of a snapshot.

use coriandertack_core::{
    keys::{Epoch, Incarnation, JobId, Offset, Session, Version},
    record::Outcome,
    state::{
        AuditEntry, AuthorImage, AuthorState, ChargeKey, ChargeLine, JobImage, LeaseImage, Setting,
        SettingImage, StateImage, TeamImage, VmImage, WorkerImage,
    },
};

use {
    super::{
        DecodeError, convert_all,
        record::{decode_lease, decode_u16},
        required,
    },
    crate::proto,
};

impl From<&StateImage> for proto::Image {
    fn from(image: &StateImage) -> Self {
        Self {
            base: image.base.0,
            vms: image.vms.iter().map(Into::into).collect(),
            authors: image.authors.iter().map(Into::into).collect(),
            workers: image.workers.iter().map(Into::into).collect(),
            teams: image.teams.iter().map(Into::into).collect(),
            settings: image.settings.iter().map(Into::into).collect(),
            jobs: image.jobs.iter().map(Into::into).collect(),
            ended: image.ended.iter().map(|job| job.0).collect(),
            leases: image.leases.iter().map(Into::into).collect(),
            lines: image.charges.iter().map(Into::into).collect(),
            audit: image.audit.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<proto::Image> for StateImage {
    type Error = DecodeError;

    fn try_from(image: proto::Image) -> Result<Self, DecodeError> {
        Ok(Self {
            base: Offset(image.base),
            vms: convert_all(image.vms)?,
            authors: image.authors.into_iter().map(Into::into).collect(),
            workers: convert_all(image.workers)?,
            teams: convert_all(image.teams)?,
            settings: image.settings.into_iter().map(Into::into).collect(),
            jobs: convert_all(image.jobs)?,
            ended: image.ended.into_iter().map(JobId).collect(),
            leases: image.leases.into_iter().map(Into::into).collect(),
            charges: convert_all(image.lines)?,
            audit: convert_all(image.audit)?,
        })
    }
}

impl From<&VmImage> for proto::VmImage {
    fn from(vm: &VmImage) -> Self {
        Self { session: vm.session.0, author: vm.author.0, info: Some((&vm.info).into()) }
    }
}

impl TryFrom<proto::VmImage> for VmImage {
    type Error = DecodeError;

    fn try_from(vm: proto::VmImage) -> Result<Self, DecodeError> {
        Ok(Self {
            session: Session(vm.session),
            author: Incarnation(vm.author),
            info: required(vm.info, "info")?.try_into()?,
        })
    }
}

impl From<&AuthorImage> for proto::AuthorImage {
    fn from(image: &AuthorImage) -> Self {
        Self {
            author: image.author.0,
            seq: image.known.seq,
            session: image.known.session.map(|session| session.0),
            ended: image.known.ended,
        }
    }
}

impl From<proto::AuthorImage> for AuthorImage {
    fn from(image: proto::AuthorImage) -> Self {
        let proto::AuthorImage { author, seq, session, ended } = image;
        let known = AuthorState { seq, session: session.map(Session), ended };
        Self { author: Incarnation(author), known }
    }
}

impl From<&WorkerImage> for proto::WorkerImage {
    fn from(worker: &WorkerImage) -> Self {
        Self {
            info: Some((&worker.info).into()),
            cordoned: worker.cordoned,
            owner: worker.owner.map(|session| session.0),
            epoch: worker.epoch.0,
        }
    }
}

impl TryFrom<proto::WorkerImage> for WorkerImage {
    type Error = DecodeError;

    fn try_from(worker: proto::WorkerImage) -> Result<Self, DecodeError> {
        Ok(Self {
            info: required(worker.info, "info")?.try_into()?,
            cordoned: worker.cordoned,
            owner: worker.owner.map(Session),
            epoch: Epoch(worker.epoch),
        })
    }
}

impl From<&TeamImage> for proto::TeamImage {
    fn from(team: &TeamImage) -> Self {
        Self {
            name: team.name.clone(),
            version: team.version.0,
            spec: team.spec.as_ref().map(Into::into),
            home: team.home.map(|session| session.0),
            epoch: team.epoch.0,
        }
    }
}

impl TryFrom<proto::TeamImage> for TeamImage {
    type Error = DecodeError;

    fn try_from(team: proto::TeamImage) -> Result<Self, DecodeError> {
        Ok(Self {
            name: team.name,
            version: Version(team.version),
            spec: team.spec.map(TryInto::try_into).transpose()?,
            home: team.home.map(Session),
            epoch: Epoch(team.epoch),
        })
    }
}

impl From<&SettingImage> for proto::SettingImage {
    fn from(image: &SettingImage) -> Self {
        Self {
            name: image.name.clone(),
            version: image.setting.version.0,
            value: image.setting.value.clone(),
        }
    }
}

impl From<proto::SettingImage> for SettingImage {
    fn from(image: proto::SettingImage) -> Self {
        let proto::SettingImage { name, version, value } = image;
        Self { name, setting: Setting { version: Version(version), value } }
    }
}

impl From<&JobImage> for proto::JobImage {
    fn from(job: &JobImage) -> Self {
        Self {
            id: job.id.0,
            spec: Some((&job.spec).into()),
            at_ms: job.at_ms,
            cancelled: job.cancelled,
            ends: job.ends.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<proto::JobImage> for JobImage {
    type Error = DecodeError;

    fn try_from(job: proto::JobImage) -> Result<Self, DecodeError> {
        Ok(Self {
            id: JobId(job.id),
            spec: required(job.spec, "spec")?.try_into()?,
            at_ms: job.at_ms,
            cancelled: job.cancelled,
            ends: job.ends.into_iter().map(TryInto::try_into).collect::<Result<_, _>>()?,
        })
    }
}

impl From<(&u32, &Outcome)> for proto::IndexEnd {
    fn from((&index, &outcome): (&u32, &Outcome)) -> Self {
        Self { index, outcome: proto::Outcome::from(outcome).into() }
    }
}

impl TryFrom<proto::IndexEnd> for (u32, Outcome) {
    type Error = DecodeError;

    fn try_from(end: proto::IndexEnd) -> Result<Self, DecodeError> {
        Ok((end.index, proto::Outcome::try_from(end.outcome)?.try_into()?))
    }
}

impl From<&LeaseImage> for proto::LeaseImage {
    fn from(image: &LeaseImage) -> Self {
        Self {
            job: image.lease.task.job.0,
            index: image.lease.task.index,
            attempt: image.lease.attempt,
            mark: image.watermark,
        }
    }
}

impl From<proto::LeaseImage> for LeaseImage {
    fn from(image: proto::LeaseImage) -> Self {
        let lease = decode_lease(image.job, image.index, image.attempt);
        Self { lease, watermark: image.mark }
    }
}

impl From<&ChargeLine> for proto::LineImage {
    fn from(line: &ChargeLine) -> Self {
        Self {
            start_ms: line.key.start_ms,
            team: line.key.team.clone(),
            kind: proto::Kind::from(line.key.kind).into(),
            usage: Some(line.usage.into()),
        }
    }
}

impl TryFrom<proto::LineImage> for ChargeLine {
    type Error = DecodeError;

    fn try_from(line: proto::LineImage) -> Result<Self, DecodeError> {
        let kind = proto::Kind::try_from(line.kind)?.try_into()?;
        let key = ChargeKey { start_ms: line.start_ms, team: line.team, kind };
        Ok(Self { key, usage: required(line.usage, "usage")?.into() })
    }
}

impl From<&AuditEntry> for proto::AuditImage {
    fn from(entry: &AuditEntry) -> Self {
        Self {
            offset: entry.offset.0,
            index: entry.index,
            at_ms: entry.at_ms,
            actor: entry.actor.clone(),
            action: entry.action.clone(),
            before: entry.before.clone(),
            after: entry.after.clone(),
            code: entry.code.into(),
        }
    }
}

impl TryFrom<proto::AuditImage> for AuditEntry {
    type Error = DecodeError;

    fn try_from(entry: proto::AuditImage) -> Result<Self, DecodeError> {
        Ok(Self {
            offset: Offset(entry.offset),
            index: entry.index,
            at_ms: entry.at_ms,
            actor: entry.actor,
            action: entry.action,
            before: entry.before,
            after: entry.after,
            code: decode_u16(entry.code, "code")?,
        })
    }
}
