//! Conversion between the messages of `coriandertack-core` and the generated types.
//!
//! Deadlines are sent as the remaining milliseconds, because the monotonic clocks of two VMs are
//! unrelated. The transit time of a frame extends such a deadline at the receiver. Safety therefore
//! depends on the receiver's own validity and epochs, never on these deadlines.

use std::{sync::Arc, time::Duration};

use {
    anyhow::{Context, Result, bail},
    coriandertack_core::{
        code::Code,
        keys::{Epoch, JobId, LeaseId, Offset, Session, TaskId},
        message::{
            AttemptSpec, Call, CallResponse, CapacitySummary, EndCause, FreeCapacity, Heartbeat,
            Instance, KeyRecord, ListedTask, Notice, PeerReply, PeerRequest, PlacementOutcome,
            PlacementRequest, TaskEvent,
        },
        pool::WorkerFilter,
        record::{JobSpec, Kind},
        resources::Resources,
    },
    tokio::time::Instant,
};

use crate::proto::{self, reply::Body as ReplyBody, request::Body as RequestBody};

/// Encodes a request, with deadlines relative to `now`.
#[must_use]
pub(crate) fn encode_request(request: PeerRequest, now: Instant) -> proto::Request {
    let body = match request {
        PeerRequest::Heartbeat(heartbeat) => RequestBody::Heartbeat(encode_heartbeat(heartbeat)),
        PeerRequest::Submit { actor, spec } => {
            RequestBody::Submit(proto::Submit { actor, spec: Some(encode_spec(spec)) })
        }
        PeerRequest::Place(placements) => {
            let items =
                placements.into_iter().map(|placement| encode_placement(placement, now)).collect();
            RequestBody::Place(proto::Places { items })
        }
        PeerRequest::Commit(leases) => RequestBody::Commit(encode_leases(leases)),
        PeerRequest::Release(leases) => RequestBody::Release(encode_leases(leases)),
        PeerRequest::Settle(leases) => RequestBody::Settle(encode_leases(leases)),
        PeerRequest::List { team, epoch, offset } => {
            RequestBody::List(proto::List { team, epoch: epoch.0, offset: offset.0 })
        }
        PeerRequest::Notices(notices) => {
            let items = notices.into_iter().map(encode_notice).collect();
            RequestBody::Notices(proto::Notices { items })
        }
        PeerRequest::AckEnds(leases) => RequestBody::AckEnds(encode_leases(leases)),
        PeerRequest::RecordKey(record) => RequestBody::NoteKey(encode_key_record(record, now)),
        PeerRequest::Call(call) => RequestBody::Call(proto::Call {
            service: call.service.to_string(),
            class: call.class.to_string(),
            key: call.key.map(|key| key.to_string()),
            repeatable: call.repeatable,
            left_ms: remaining_ms(call.until, now),
            body: call.body.to_vec().into(),
        }),
    };
    proto::Request { body: Some(body) }
}

/// Decodes a request, with deadlines relative to `now`.
pub(crate) fn decode_request(request: proto::Request, now: Instant) -> Result<PeerRequest> {
    Ok(match request.body.context("request without a body")? {
        RequestBody::Heartbeat(heartbeat) => PeerRequest::Heartbeat(decode_heartbeat(heartbeat)?),
        RequestBody::Submit(submit) => PeerRequest::Submit {
            actor: submit.actor,
            spec: decode_spec(submit.spec.context("submission without a job spec")?)?,
        },
        RequestBody::Place(placements) => {
            let placements =
                placements.items.into_iter().map(|placement| decode_placement(placement, now));
            PeerRequest::Place(placements.collect::<Result<_>>()?)
        }
        RequestBody::Commit(leases) => PeerRequest::Commit(decode_leases(leases)),
        RequestBody::Release(leases) => PeerRequest::Release(decode_leases(leases)),
        RequestBody::Settle(leases) => PeerRequest::Settle(decode_leases(leases)),
        RequestBody::List(list) => PeerRequest::List {
            team: list.team,
            epoch: Epoch(list.epoch),
            offset: Offset(list.offset),
        },
        RequestBody::Notices(notices) => {
            let notices = notices.items.into_iter().map(decode_notice);
            PeerRequest::Notices(notices.collect::<Result<_>>()?)
        }
        RequestBody::AckEnds(leases) => PeerRequest::AckEnds(decode_leases(leases)),
        RequestBody::NoteKey(record) => PeerRequest::RecordKey(decode_key_record(record, now)?),
        RequestBody::Call(call) => PeerRequest::Call(Call {
            service: call.service.into(),
            class: call.class.into(),
            key: call.key.map(Arc::from),
            repeatable: call.repeatable,
            until: now + Duration::from_millis(call.left_ms),
            body: Arc::from(&call.body[..]),
        }),
    })
}

/// Encodes a reply, with deadlines relative to `now`.
#[must_use]
pub(crate) fn encode_reply(reply: PeerReply, now: Instant) -> proto::Reply {
    let body = match reply {
        PeerReply::Ok => ReplyBody::Ok(proto::Empty {}),
        PeerReply::Refused(code) => ReplyBody::Refused(u32::from(code.number())),
        PeerReply::Job(job) => ReplyBody::Job(job.0),
        PeerReply::Placed(outcomes) => {
            let items = outcomes.into_iter().map(encode_placement_outcome).collect();
            ReplyBody::Placed(proto::PlacedList { items })
        }
        PeerReply::Listed { tasks, complete } => {
            let tasks = tasks.into_iter().map(encode_listed_task).collect();
            ReplyBody::Listed(proto::Listed { tasks, complete })
        }
        PeerReply::Key(record) => {
            let note = record.map(|record| encode_key_record(record, now));
            ReplyBody::Key(proto::KeyReply { note })
        }
        PeerReply::Response(response) => ReplyBody::Answer(encode_response(response)),
    };
    proto::Reply { body: Some(body) }
}

/// Decodes a reply, with deadlines relative to `now`.
pub(crate) fn decode_reply(reply: proto::Reply, now: Instant) -> Result<PeerReply> {
    Ok(match reply.body.context("reply without a body")? {
        ReplyBody::Ok(_) => PeerReply::Ok,
        ReplyBody::Refused(number) => {
            let number = u16::try_from(number).context("result code out of range")?;
            PeerReply::Refused(Code::try_from(number)?)
        }
        ReplyBody::Job(job) => PeerReply::Job(JobId(job)),
        ReplyBody::Placed(outcomes) => {
            let items = outcomes.items.into_iter().map(decode_placement_outcome);
            PeerReply::Placed(items.collect::<Result<_>>()?)
        }
        ReplyBody::Listed(listed) => {
            let tasks = listed.tasks.into_iter().map(decode_listed_task);
            PeerReply::Listed { tasks: tasks.collect::<Result<_>>()?, complete: listed.complete }
        }
        ReplyBody::Key(key) => {
            PeerReply::Key(key.note.map(|record| decode_key_record(record, now)).transpose()?)
        }
        ReplyBody::Answer(response) => PeerReply::Response(decode_response(response)?),
    })
}

/// Returns the milliseconds from `now` to a deadline, or 0 if it has passed.
fn remaining_ms(deadline: Instant, now: Instant) -> u64 {
    u64::try_from(deadline.saturating_duration_since(now).as_millis()).unwrap_or(u64::MAX)
}

fn encode_resources(amount: Resources) -> proto::Resources {
    proto::Resources {
        millicores: amount.millicores,
        memory_mib: amount.memory_mib,
        accelerators: amount.accelerators,
    }
}

fn decode_resources(amount: Option<proto::Resources>) -> Resources {
    let amount = amount.unwrap_or_default();
    Resources::new(amount.millicores, amount.memory_mib, amount.accelerators)
}

fn encode_lease(lease: LeaseId) -> proto::Lease {
    proto::Lease { job: lease.task.job.0, index: lease.task.index, attempt: lease.attempt }
}

fn decode_lease(lease: proto::Lease) -> LeaseId {
    let task = TaskId { job: JobId(lease.job), index: lease.index };
    LeaseId { task, attempt: lease.attempt }
}

fn encode_leases(leases: Vec<LeaseId>) -> proto::Leases {
    proto::Leases { items: leases.into_iter().map(encode_lease).collect() }
}

fn decode_leases(leases: proto::Leases) -> Vec<LeaseId> {
    leases.items.into_iter().map(decode_lease).collect()
}

fn encode_kind(kind: Kind) -> u32 {
    match kind {
        Kind::Service => 1,
        Kind::Batch => 2,
        Kind::Gang => 3,
    }
}

fn decode_kind(number: u32) -> Result<Kind> {
    Ok(match number {
        1 => Kind::Service,
        2 => Kind::Batch,
        3 => Kind::Gang,
        _ => bail!("unknown job kind {number}"),
    })
}

fn encode_cause(cause: EndCause) -> u32 {
    match cause {
        EndCause::Succeeded => 1,
        EndCause::Failed => 2,
        EndCause::OutOfMemory => 3,
        EndCause::Stopped => 4,
        EndCause::LeaseExpired => 5,
        EndCause::Refused => 6,
    }
}

fn decode_cause(number: u32) -> Result<EndCause> {
    Ok(match number {
        1 => EndCause::Succeeded,
        2 => EndCause::Failed,
        3 => EndCause::OutOfMemory,
        4 => EndCause::Stopped,
        5 => EndCause::LeaseExpired,
        6 => EndCause::Refused,
        _ => bail!("unknown end cause {number}"),
    })
}

fn encode_placement_outcome(outcome: PlacementOutcome) -> u32 {
    match outcome {
        PlacementOutcome::Granted => 1,
        PlacementOutcome::Full => 2,
        PlacementOutcome::Invalid => 3,
        PlacementOutcome::Unknown => 4,
    }
}

fn decode_placement_outcome(number: u32) -> Result<PlacementOutcome> {
    Ok(match number {
        1 => PlacementOutcome::Granted,
        2 => PlacementOutcome::Full,
        3 => PlacementOutcome::Invalid,
        4 => PlacementOutcome::Unknown,
        _ => bail!("unknown placement outcome {number}"),
    })
}

fn encode_spec(spec: JobSpec) -> proto::JobSpec {
    proto::JobSpec {
        team: spec.team,
        name: spec.name,
        kind: encode_kind(spec.kind),
        tasks: spec.tasks,
        need: Some(encode_resources(spec.need)),
        run_ms: spec.run_ms,
        urgent: spec.urgent,
        retries: spec.retries,
        command: spec.command,
        key: spec.key,
    }
}

fn decode_spec(spec: proto::JobSpec) -> Result<JobSpec> {
    Ok(JobSpec {
        team: spec.team,
        name: spec.name,
        kind: decode_kind(spec.kind)?,
        tasks: spec.tasks,
        need: decode_resources(spec.need),
        run_ms: spec.run_ms,
        urgent: spec.urgent,
        retries: spec.retries,
        command: spec.command,
        key: spec.key,
    })
}

fn encode_placement(placement: PlacementRequest, now: Instant) -> proto::Place {
    let spec = placement.spec;
    proto::Place {
        ask: Some(proto::Ask {
            lease: Some(encode_lease(spec.lease)),
            class: spec.class.to_string(),
            kind: encode_kind(spec.kind),
            need: Some(encode_resources(spec.need)),
            run_ms: spec.run_ms,
            urgent: spec.urgent,
            command: spec.command.to_string(),
        }),
        epoch: placement.epoch.0,
        left_ms: remaining_ms(placement.until, now),
        hold: placement.hold,
        any: placement.filter == WorkerFilter::Any,
    }
}

fn decode_placement(placement: proto::Place, now: Instant) -> Result<PlacementRequest> {
    let ask = placement.ask.context("placement request without a task")?;
    Ok(PlacementRequest {
        spec: AttemptSpec {
            lease: decode_lease(ask.lease.context("placement request without a lease")?),
            class: ask.class.into(),
            kind: decode_kind(ask.kind)?,
            need: decode_resources(ask.need),
            run_ms: ask.run_ms,
            urgent: ask.urgent,
            command: ask.command.into(),
        },
        epoch: Epoch(placement.epoch),
        until: now + Duration::from_millis(placement.left_ms),
        filter: if placement.any { WorkerFilter::Any } else { WorkerFilter::NoAccelerators },
        hold: placement.hold,
    })
}

fn encode_listed_task(task: ListedTask) -> proto::Known {
    proto::Known {
        lease: Some(encode_lease(task.lease)),
        worker: task.worker,
        ended: task.ended.map(encode_cause),
    }
}

fn decode_listed_task(task: proto::Known) -> Result<ListedTask> {
    Ok(ListedTask {
        lease: decode_lease(task.lease.context("listed task without a lease")?),
        worker: task.worker,
        ended: task.ended.map(decode_cause).transpose()?,
    })
}

fn encode_notice(notice: Notice) -> proto::Notice {
    let end = match notice.event {
        TaskEvent::Running => None,
        TaskEvent::Ended { cause, run_ms, peak } => Some(proto::End {
            cause: encode_cause(cause),
            run_ms,
            peak: Some(encode_resources(peak)),
        }),
    };
    proto::Notice { lease: Some(encode_lease(notice.lease)), worker: notice.worker, end }
}

fn decode_notice(notice: proto::Notice) -> Result<Notice> {
    let event = match notice.end {
        None => TaskEvent::Running,
        Some(end) => TaskEvent::Ended {
            cause: decode_cause(end.cause)?,
            run_ms: end.run_ms,
            peak: decode_resources(end.peak),
        },
    };
    let lease = decode_lease(notice.lease.context("notice without a lease")?);
    Ok(Notice { lease, worker: notice.worker, event })
}

fn encode_heartbeat(heartbeat: Heartbeat) -> proto::Heartbeat {
    let instances = heartbeat.instances.map(|instances| proto::Instances {
        items: instances.into_iter().map(encode_instance).collect(),
    });
    proto::Heartbeat {
        session: heartbeat.session.0,
        offset: heartbeat.offset.0,
        settled: heartbeat.confirmed_offset.0,
        summary: heartbeat.summary.map(encode_summary),
        instances,
        suspects: heartbeat.suspects.into_iter().map(u64::from).collect(),
    }
}

fn decode_heartbeat(heartbeat: proto::Heartbeat) -> Result<Heartbeat> {
    let instances = heartbeat.instances.map(|instances| {
        instances.items.into_iter().map(decode_instance).collect::<Result<Vec<Instance>>>()
    });
    Ok(Heartbeat {
        session: Session(heartbeat.session),
        offset: Offset(heartbeat.offset),
        confirmed_offset: Offset(heartbeat.settled),
        summary: heartbeat.summary.map(decode_summary),
        suspects: heartbeat.suspects.into_iter().map(Session).collect(),
        instances: instances.transpose()?,
    })
}

fn encode_summary(summary: CapacitySummary) -> proto::Summary {
    proto::Summary {
        free: Some(encode_resources(summary.free)),
        largest: Some(encode_resources(summary.largest)),
        workers: summary.workers,
        plain: encode_free_capacity(summary.plain),
        accelerated: encode_free_capacity(summary.accelerated),
    }
}

fn decode_summary(summary: proto::Summary) -> CapacitySummary {
    CapacitySummary {
        free: decode_resources(summary.free),
        largest: decode_resources(summary.largest),
        workers: summary.workers,
        plain: decode_free_capacity(summary.plain),
        accelerated: decode_free_capacity(summary.accelerated),
    }
}

/// Encodes free capacity, omitting the default value: most deployments have no accelerators.
fn encode_free_capacity(capacity: FreeCapacity) -> Option<proto::Room> {
    (capacity != FreeCapacity::default()).then(|| proto::Room {
        free: Some(encode_resources(capacity.free)),
        largest: Some(encode_resources(capacity.largest)),
        partial: Some(encode_resources(capacity.partial)),
        most: Some(encode_resources(capacity.max)),
    })
}

fn decode_free_capacity(capacity: Option<proto::Room>) -> FreeCapacity {
    let capacity = capacity.unwrap_or_default();
    FreeCapacity {
        free: decode_resources(capacity.free),
        largest: decode_resources(capacity.largest),
        partial: decode_resources(capacity.partial),
        max: decode_resources(capacity.most),
    }
}

fn encode_instance(instance: Instance) -> proto::Instance {
    proto::Instance {
        service: instance.service.to_string(),
        worker: instance.worker.to_string(),
        address: instance.address.to_string(),
        zone: instance.zone.to_string(),
        open: instance.open,
    }
}

fn decode_instance(instance: proto::Instance) -> Result<Instance> {
    Ok(Instance {
        service: instance.service.into(),
        worker: instance.worker.into(),
        address: instance.address.parse().context("invalid instance address")?,
        zone: instance.zone.into(),
        open: instance.open,
    })
}

fn encode_response(response: CallResponse) -> proto::Answer {
    proto::Answer { status: u32::from(response.status), body: response.body.to_vec().into() }
}

fn decode_response(response: proto::Answer) -> Result<CallResponse> {
    let status = u16::try_from(response.status).context("HTTP status out of range")?;
    Ok(CallResponse { status, body: Arc::from(&response.body[..]) })
}

fn encode_key_record(record: KeyRecord, now: Instant) -> proto::KeyNote {
    proto::KeyNote {
        key: record.key.to_string(),
        digest: record.digest,
        left_ms: remaining_ms(record.until, now),
        answer: record.response.map(encode_response),
    }
}

fn decode_key_record(record: proto::KeyNote, now: Instant) -> Result<KeyRecord> {
    Ok(KeyRecord {
        key: record.key.into(),
        digest: record.digest,
        until: now + Duration::from_millis(record.left_ms),
        response: record.answer.map(decode_response).transpose()?,
    })
}
