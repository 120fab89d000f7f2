//! Conversion between core's messages and the generated types.
//!
//! Instants become the milliseconds that remain, because the clocks of two VMs have nothing in common.
//! The time a frame is under way lengthens such a deadline at the receiver; whatever safety depends on is
//! therefore checked against the receiver's own validity and epochs, never against these deadlines.

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

/// Converts a request to its message.
#[must_use]
pub(crate) fn request_out(request: PeerRequest, now: Instant) -> proto::Request {
    let body = match request {
        PeerRequest::Heartbeat(heartbeat) => RequestBody::Heartbeat(heartbeat_out(heartbeat)),
        PeerRequest::Submit { actor, spec } => {
            RequestBody::Submit(proto::Submit { actor, spec: Some(spec_out(spec)) })
        }
        PeerRequest::Place(places) => {
            let items = places.into_iter().map(|place| place_out(place, now)).collect();
            RequestBody::Place(proto::Places { items })
        }
        PeerRequest::Commit(leases) => RequestBody::Commit(leases_out(leases)),
        PeerRequest::Release(leases) => RequestBody::Release(leases_out(leases)),
        PeerRequest::Settle(leases) => RequestBody::Settle(leases_out(leases)),
        PeerRequest::List { team, epoch, offset } => {
            RequestBody::List(proto::List { team, epoch: epoch.0, offset: offset.0 })
        }
        PeerRequest::Notices(notices) => {
            let items = notices.into_iter().map(notice_out).collect();
            RequestBody::Notices(proto::Notices { items })
        }
        PeerRequest::AckEnds(leases) => RequestBody::AckEnds(leases_out(leases)),
        PeerRequest::RecordKey(note) => RequestBody::NoteKey(note_out(note, now)),
        PeerRequest::Call(call) => RequestBody::Call(proto::Call {
            service: call.service.to_string(),
            class: call.class.to_string(),
            key: call.key.map(|key| key.to_string()),
            repeatable: call.repeatable,
            left_ms: left_ms(call.until, now),
            body: call.body.to_vec().into(),
        }),
    };
    proto::Request { body: Some(body) }
}

/// Converts a message to the request.
pub(crate) fn request_in(request: proto::Request, now: Instant) -> Result<PeerRequest> {
    Ok(match request.body.context("empty request")? {
        RequestBody::Heartbeat(heartbeat) => PeerRequest::Heartbeat(heartbeat_in(heartbeat)?),
        RequestBody::Submit(submit) => PeerRequest::Submit {
            actor: submit.actor,
            spec: spec_in(submit.spec.context("no job")?)?,
        },
        RequestBody::Place(places) => {
            let places = places.items.into_iter().map(|place| place_in(place, now));
            PeerRequest::Place(places.collect::<Result<_>>()?)
        }
        RequestBody::Commit(leases) => PeerRequest::Commit(leases_in(leases)),
        RequestBody::Release(leases) => PeerRequest::Release(leases_in(leases)),
        RequestBody::Settle(leases) => PeerRequest::Settle(leases_in(leases)),
        RequestBody::List(list) => PeerRequest::List {
            team: list.team,
            epoch: Epoch(list.epoch),
            offset: Offset(list.offset),
        },
        RequestBody::Notices(notices) => {
            let notices = notices.items.into_iter().map(notice_in);
            PeerRequest::Notices(notices.collect::<Result<_>>()?)
        }
        RequestBody::AckEnds(leases) => PeerRequest::AckEnds(leases_in(leases)),
        RequestBody::NoteKey(note) => PeerRequest::RecordKey(note_in(note, now)?),
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

/// Converts a reply to its message.
#[must_use]
pub(crate) fn reply_out(reply: PeerReply, now: Instant) -> proto::Reply {
    let body = match reply {
        PeerReply::Ok => ReplyBody::Ok(proto::Empty {}),
        PeerReply::Refused(code) => ReplyBody::Refused(u32::from(code.number())),
        PeerReply::Job(job) => ReplyBody::Job(job.0),
        PeerReply::Placed(placed) => {
            let items = placed.into_iter().map(placed_out).collect();
            ReplyBody::Placed(proto::PlacedList { items })
        }
        PeerReply::Listed { tasks, complete } => {
            let tasks = tasks.into_iter().map(known_out).collect();
            ReplyBody::Listed(proto::Listed { tasks, complete })
        }
        PeerReply::Key(note) => {
            let note = note.map(|note| note_out(note, now));
            ReplyBody::Key(proto::KeyReply { note })
        }
        PeerReply::Response(answer) => ReplyBody::Answer(answer_out(answer)),
    };
    proto::Reply { body: Some(body) }
}

/// Converts a message to the reply.
pub(crate) fn reply_in(reply: proto::Reply, now: Instant) -> Result<PeerReply> {
    Ok(match reply.body.context("empty reply")? {
        ReplyBody::Ok(_) => PeerReply::Ok,
        ReplyBody::Refused(number) => {
            let number = u16::try_from(number).context("result code out of range")?;
            PeerReply::Refused(Code::try_from(number)?)
        }
        ReplyBody::Job(job) => PeerReply::Job(JobId(job)),
        ReplyBody::Placed(placed) => {
            let items = placed.items.into_iter().map(placed_in);
            PeerReply::Placed(items.collect::<Result<_>>()?)
        }
        ReplyBody::Listed(listed) => {
            let tasks = listed.tasks.into_iter().map(known_in);
            PeerReply::Listed { tasks: tasks.collect::<Result<_>>()?, complete: listed.complete }
        }
        ReplyBody::Key(key) => PeerReply::Key(key.note.map(|note| note_in(note, now)).transpose()?),
        ReplyBody::Answer(answer) => PeerReply::Response(answer_in(answer)?),
    })
}

fn left_ms(until: Instant, now: Instant) -> u64 {
    u64::try_from(until.saturating_duration_since(now).as_millis()).unwrap_or(u64::MAX)
}

fn resources_out(amount: Resources) -> proto::Resources {
    proto::Resources {
        millicores: amount.millicores,
        memory_mib: amount.memory_mib,
        accelerators: amount.accelerators,
    }
}

fn resources_in(amount: Option<proto::Resources>) -> Resources {
    let amount = amount.unwrap_or_default();
    Resources::new(amount.millicores, amount.memory_mib, amount.accelerators)
}

fn lease_out(lease: LeaseId) -> proto::Lease {
    proto::Lease { job: lease.task.job.0, index: lease.task.index, attempt: lease.attempt }
}

fn lease_in(lease: proto::Lease) -> LeaseId {
    let task = TaskId { job: JobId(lease.job), index: lease.index };
    LeaseId { task, attempt: lease.attempt }
}

fn leases_out(leases: Vec<LeaseId>) -> proto::Leases {
    proto::Leases { items: leases.into_iter().map(lease_out).collect() }
}

fn leases_in(leases: proto::Leases) -> Vec<LeaseId> {
    leases.items.into_iter().map(lease_in).collect()
}

fn kind_out(kind: Kind) -> u32 {
    match kind {
        Kind::Service => 1,
        Kind::Batch => 2,
        Kind::Gang => 3,
    }
}

fn kind_in(number: u32) -> Result<Kind> {
    Ok(match number {
        1 => Kind::Service,
        2 => Kind::Batch,
        3 => Kind::Gang,
        _ => bail!("unknown kind of workload {number}"),
    })
}

fn cause_out(cause: EndCause) -> u32 {
    match cause {
        EndCause::Succeeded => 1,
        EndCause::Failed => 2,
        EndCause::OutOfMemory => 3,
        EndCause::Stopped => 4,
        EndCause::LeaseExpired => 5,
        EndCause::Refused => 6,
    }
}

fn cause_in(number: u32) -> Result<EndCause> {
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

fn placed_out(placed: PlacementOutcome) -> u32 {
    match placed {
        PlacementOutcome::Granted => 1,
        PlacementOutcome::Full => 2,
        PlacementOutcome::Invalid => 3,
        PlacementOutcome::Unknown => 4,
    }
}

fn placed_in(number: u32) -> Result<PlacementOutcome> {
    Ok(match number {
        1 => PlacementOutcome::Granted,
        2 => PlacementOutcome::Full,
        3 => PlacementOutcome::Invalid,
        4 => PlacementOutcome::Unknown,
        _ => bail!("unknown answer to a placement {number}"),
    })
}

fn spec_out(spec: JobSpec) -> proto::JobSpec {
    proto::JobSpec {
        team: spec.team,
        name: spec.name,
        kind: kind_out(spec.kind),
        tasks: spec.tasks,
        need: Some(resources_out(spec.need)),
        run_ms: spec.run_ms,
        urgent: spec.urgent,
        retries: spec.retries,
        command: spec.command,
        key: spec.key,
    }
}

fn spec_in(spec: proto::JobSpec) -> Result<JobSpec> {
    Ok(JobSpec {
        team: spec.team,
        name: spec.name,
        kind: kind_in(spec.kind)?,
        tasks: spec.tasks,
        need: resources_in(spec.need),
        run_ms: spec.run_ms,
        urgent: spec.urgent,
        retries: spec.retries,
        command: spec.command,
        key: spec.key,
    })
}

fn place_out(place: PlacementRequest, now: Instant) -> proto::Place {
    let spec = place.spec;
    proto::Place {
        ask: Some(proto::Ask {
            lease: Some(lease_out(spec.lease)),
            class: spec.class.to_string(),
            kind: kind_out(spec.kind),
            need: Some(resources_out(spec.need)),
            run_ms: spec.run_ms,
            urgent: spec.urgent,
            command: spec.command.to_string(),
        }),
        epoch: place.epoch.0,
        left_ms: left_ms(place.until, now),
        hold: place.hold,
        any: place.filter == WorkerFilter::Any,
    }
}

fn place_in(place: proto::Place, now: Instant) -> Result<PlacementRequest> {
    let ask = place.ask.context("no task")?;
    Ok(PlacementRequest {
        spec: AttemptSpec {
            lease: lease_in(ask.lease.context("no lease")?),
            class: ask.class.into(),
            kind: kind_in(ask.kind)?,
            need: resources_in(ask.need),
            run_ms: ask.run_ms,
            urgent: ask.urgent,
            command: ask.command.into(),
        },
        epoch: Epoch(place.epoch),
        until: now + Duration::from_millis(place.left_ms),
        filter: if place.any { WorkerFilter::Any } else { WorkerFilter::NoAccelerators },
        hold: place.hold,
    })
}

fn known_out(known: ListedTask) -> proto::Known {
    proto::Known {
        lease: Some(lease_out(known.lease)),
        worker: known.worker,
        ended: known.ended.map(cause_out),
    }
}

fn known_in(known: proto::Known) -> Result<ListedTask> {
    Ok(ListedTask {
        lease: lease_in(known.lease.context("no lease")?),
        worker: known.worker,
        ended: known.ended.map(cause_in).transpose()?,
    })
}

fn notice_out(notice: Notice) -> proto::Notice {
    let end = match notice.event {
        TaskEvent::Running => None,
        TaskEvent::Ended { cause, run_ms, peak } => {
            Some(proto::End { cause: cause_out(cause), run_ms, peak: Some(resources_out(peak)) })
        }
    };
    proto::Notice { lease: Some(lease_out(notice.lease)), worker: notice.worker, end }
}

fn notice_in(notice: proto::Notice) -> Result<Notice> {
    let event = match notice.end {
        None => TaskEvent::Running,
        Some(end) => TaskEvent::Ended {
            cause: cause_in(end.cause)?,
            run_ms: end.run_ms,
            peak: resources_in(end.peak),
        },
    };
    let lease = lease_in(notice.lease.context("no lease")?);
    Ok(Notice { lease, worker: notice.worker, event })
}

fn heartbeat_out(heartbeat: Heartbeat) -> proto::Heartbeat {
    let instances = heartbeat.instances.map(|instances| proto::Instances {
        items: instances.into_iter().map(instance_out).collect(),
    });
    proto::Heartbeat {
        session: heartbeat.session.0,
        offset: heartbeat.offset.0,
        settled: heartbeat.confirmed_offset.0,
        summary: heartbeat.summary.map(summary_out),
        instances,
        suspects: heartbeat.suspects.into_iter().map(u64::from).collect(),
    }
}

fn heartbeat_in(heartbeat: proto::Heartbeat) -> Result<Heartbeat> {
    let instances = heartbeat.instances.map(|instances| {
        instances.items.into_iter().map(instance_in).collect::<Result<Vec<Instance>>>()
    });
    Ok(Heartbeat {
        session: Session(heartbeat.session),
        offset: Offset(heartbeat.offset),
        confirmed_offset: Offset(heartbeat.settled),
        summary: heartbeat.summary.map(summary_in),
        suspects: heartbeat.suspects.into_iter().map(Session).collect(),
        instances: instances.transpose()?,
    })
}

fn summary_out(summary: CapacitySummary) -> proto::Summary {
    proto::Summary {
        free: Some(resources_out(summary.free)),
        largest: Some(resources_out(summary.largest)),
        workers: summary.workers,
        plain: room_out(summary.plain),
        accelerated: room_out(summary.accelerated),
    }
}

fn summary_in(summary: proto::Summary) -> CapacitySummary {
    CapacitySummary {
        free: resources_in(summary.free),
        largest: resources_in(summary.largest),
        workers: summary.workers,
        plain: room_in(summary.plain),
        accelerated: room_in(summary.accelerated),
    }
}

/// Leaves out a room without workers, as most deployments have no accelerators.
fn room_out(room: FreeCapacity) -> Option<proto::Room> {
    (room != FreeCapacity::default()).then(|| proto::Room {
        free: Some(resources_out(room.free)),
        largest: Some(resources_out(room.largest)),
        partial: Some(resources_out(room.partial)),
        most: Some(resources_out(room.max)),
    })
}

fn room_in(room: Option<proto::Room>) -> FreeCapacity {
    let room = room.unwrap_or_default();
    FreeCapacity {
        free: resources_in(room.free),
        largest: resources_in(room.largest),
        partial: resources_in(room.partial),
        max: resources_in(room.most),
    }
}

fn instance_out(instance: Instance) -> proto::Instance {
    proto::Instance {
        service: instance.service.to_string(),
        worker: instance.worker.to_string(),
        address: instance.address.to_string(),
        zone: instance.zone.to_string(),
        open: instance.open,
    }
}

fn instance_in(instance: proto::Instance) -> Result<Instance> {
    Ok(Instance {
        service: instance.service.into(),
        worker: instance.worker.into(),
        address: instance.address.parse().context("malformed address of an instance")?,
        zone: instance.zone.into(),
        open: instance.open,
    })
}

fn answer_out(answer: CallResponse) -> proto::Answer {
    proto::Answer { status: u32::from(answer.status), body: answer.body.to_vec().into() }
}

fn answer_in(answer: proto::Answer) -> Result<CallResponse> {
    let status = u16::try_from(answer.status).context("HTTP status out of range")?;
    Ok(CallResponse { status, body: Arc::from(&answer.body[..]) })
}

fn note_out(note: KeyRecord, now: Instant) -> proto::KeyNote {
    proto::KeyNote {
        key: note.key.to_string(),
        digest: note.digest,
        left_ms: left_ms(note.until, now),
        answer: note.response.map(answer_out),
    }
}

fn note_in(note: proto::KeyNote, now: Instant) -> Result<KeyRecord> {
    Ok(KeyRecord {
        key: note.key.into(),
        digest: note.digest,
        until: now + Duration::from_millis(note.left_ms),
        response: note.answer.map(answer_in).transpose()?,
    })
}
