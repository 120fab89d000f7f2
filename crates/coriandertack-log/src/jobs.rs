//! Keys and values of the job records that the entry VMs and their leader write to the store.
//!
//! Each kind of record has its own key prefix, so that writers cannot overwrite each other's records: submissions and
//! cancellations come from any VM, progress from the leader only.
//!
//! ```
//! use coriandertack_jobs::{access::Caller, ids::JobId, replica::ReplicaRecord};
//! use coriandertack_log::jobs;
//!
//! let (key, value) = jobs::cancellation(JobId(7), &Caller::Unchecked.into());
//! assert!(matches!(jobs::decode(&key, &value), ReplicaRecord::Cancelled(JobId(7), _)));
//! ```

use std::sync::Arc;

use {
    anyhow::{Context, Result},
    bytes::Bytes,
    coriandertack_core::resources::Resources,
    coriandertack_jobs::{
        access::{Caller, Cancellers},
        boot_time::WallTime,
        config::{AdvicePolicy, Route},
        ids::JobId,
        progress::{JobPhase, JobProgress, TaskProgress},
        replica::{Leader, LinkInfo, ReplicaRecord},
        spec::{JobSpec, RepeatSchedule, StepSpec},
    },
    prost::Message,
};

use crate::jobs_proto as proto;

const SUBMISSION_PREFIX: &str = "j/";
const CANCELLATION_PREFIX: &str = "c/";
const PROGRESS_PREFIX: &str = "s/";
const LINK_PREFIX: &str = "v/";
const LEADER_KEY: &str = "leader";

/// Value of a cancellation by a caller whose key was not checked, which applies to any job. Programs of earlier versions
/// write no other, and ignore the value. It is not empty because an empty value deletes the key.
const ANY_CANCELLATION: &[u8] = b"1";

/// Returns the key and value of a submission.
#[must_use]
pub fn submission(id: JobId, spec: &JobSpec) -> (String, Bytes) {
    (format!("{SUBMISSION_PREFIX}{id}"), encode_spec(spec).encode_to_vec().into())
}

/// Returns the key and value of a cancellation by callers.
#[must_use]
pub fn cancellation(id: JobId, callers: &Cancellers) -> (String, Bytes) {
    let value = if callers.may_cancel_any() {
        Bytes::from_static(ANY_CANCELLATION)
    } else {
        let teams = callers.iter().filter_map(Caller::team).map(ToString::to_string).collect();
        let open = callers.iter().any(|caller| *caller == Caller::Anonymous);
        proto::Cancellation { teams, open }.encode_to_vec().into()
    };
    (format!("{CANCELLATION_PREFIX}{id}"), value)
}

/// Returns the key and value of a job's progress.
#[must_use]
pub fn progress(id: JobId, progress: &JobProgress) -> (String, Bytes) {
    (format!("{PROGRESS_PREFIX}{id}"), encode_progress(progress).encode_to_vec().into())
}

/// Returns the key and value of the leader record.
#[must_use]
pub fn leader(leader: &Leader) -> (String, Bytes) {
    let message = proto::Leader { epoch: leader.epoch, vm: leader.vm.to_string() };
    (LEADER_KEY.to_owned(), message.encode_to_vec().into())
}

/// Returns the key and value of the record that announces the link address and size of `vm`.
#[must_use]
pub fn announcement(vm: &str, link: LinkInfo) -> (String, Bytes) {
    let message = proto::Link { address: link.address.to_string(), millicores: link.millicores };
    (format!("{LINK_PREFIX}{vm}"), message.encode_to_vec().into())
}

/// Returns whether `key` is that of a VM's link announcement.
#[must_use]
pub fn is_announcement(key: &str) -> bool {
    key.starts_with(LINK_PREFIX)
}

/// Returns the keys of a job's submission and cancellation.
#[must_use]
pub fn request_keys(id: JobId) -> [String; 2] {
    [format!("{SUBMISSION_PREFIX}{id}"), format!("{CANCELLATION_PREFIX}{id}")]
}

/// Returns the key of a job's progress.
#[must_use]
pub fn progress_key(id: JobId) -> String {
    format!("{PROGRESS_PREFIX}{id}")
}

/// Decodes a record. A malformed record is logged and becomes what [`decode_key`] returns.
#[must_use]
pub fn decode(key: &str, value: &[u8]) -> ReplicaRecord {
    decode_record(key, value).unwrap_or_else(|error| {
        log::warn!("event=record_unreadable key={key:?} error=\"{error:#}\"");
        decode_key(key)
    })
}

/// Returns what the key alone tells of a record whose value cannot be read.
#[must_use]
pub fn decode_key(key: &str) -> ReplicaRecord {
    let (kind, name) = key.split_at_checked(SUBMISSION_PREFIX.len()).unwrap_or_default();
    match (kind, name.parse()) {
        (SUBMISSION_PREFIX, Ok(id)) => ReplicaRecord::SubmissionUnreadable(id),
        (PROGRESS_PREFIX, Ok(id)) => ReplicaRecord::ProgressUnreadable(id),
        // Somebody cancelled the job, and a job that is stopped needlessly is better than one that runs on.
        (CANCELLATION_PREFIX, Ok(id)) => ReplicaRecord::Cancelled(id, Caller::Unchecked.into()),
        _ => ReplicaRecord::Unreadable,
    }
}

fn decode_record(key: &str, value: &[u8]) -> Result<ReplicaRecord> {
    if key == LEADER_KEY {
        let message = proto::Leader::decode(value)?;
        return Ok(ReplicaRecord::LeaderChanged(Leader {
            epoch: message.epoch,
            vm: message.vm.into(),
        }));
    }
    let (kind, name) =
        key.split_at_checked(SUBMISSION_PREFIX.len()).context("unknown record key")?;
    match kind {
        LINK_PREFIX => {
            let message = proto::Link::decode(value)?;
            let link =
                LinkInfo { address: message.address.parse()?, millicores: message.millicores };
            Ok(ReplicaRecord::VmAnnounced(name.into(), link))
        }
        PROGRESS_PREFIX if value.is_empty() => Ok(ReplicaRecord::ProgressDropped(name.parse()?)),
        SUBMISSION_PREFIX | CANCELLATION_PREFIX if value.is_empty() => {
            Ok(ReplicaRecord::SubmissionDropped(name.parse()?))
        }
        SUBMISSION_PREFIX => {
            let spec = decode_spec(proto::Spec::decode(value)?)?;
            Ok(ReplicaRecord::Submitted(name.parse()?, Arc::new(spec)))
        }
        CANCELLATION_PREFIX => {
            Ok(ReplicaRecord::Cancelled(name.parse()?, decode_cancellation(value)?))
        }
        PROGRESS_PREFIX => {
            let progress = decode_progress(proto::Progress::decode(value)?)?;
            Ok(ReplicaRecord::Progressed(name.parse()?, Arc::new(progress)))
        }
        _ => anyhow::bail!("unknown record key prefix"),
    }
}

fn decode_cancellation(value: &[u8]) -> Result<Cancellers> {
    if value == ANY_CANCELLATION {
        return Ok(Caller::Unchecked.into());
    }
    let message = proto::Cancellation::decode(value)?;
    let teams = message.teams.into_iter().map(|team| Caller::Team(team.into()));
    Ok(teams.chain(message.open.then_some(Caller::Anonymous)).collect())
}

fn encode_spec(spec: &JobSpec) -> proto::Spec {
    let repeat =
        spec.repeat.unwrap_or(RepeatSchedule { count: 0, first: WallTime(0), interval_ms: 0 });
    proto::Spec {
        route: Some(encode_route(&spec.route)),
        payload: spec.payload.to_string(),
        steps: spec.steps.iter().map(encode_step).collect(),
        accepted_ms: spec.accepted_at.0,
        repeats: repeat.count,
        first_ms: repeat.first.0,
        interval_ms: repeat.interval_ms,
        team: spec.team.as_deref().unwrap_or_default().to_owned(),
    }
}

fn decode_spec(message: proto::Spec) -> Result<JobSpec> {
    let repeat = (message.repeats > 0).then_some(RepeatSchedule {
        count: message.repeats,
        first: WallTime(message.first_ms),
        interval_ms: message.interval_ms,
    });
    let spec = JobSpec {
        route: Arc::new(decode_route(message.route.context("job spec without a route")?)),
        team: (!message.team.is_empty()).then(|| message.team.into()),
        payload: message.payload.into(),
        steps: message.steps.into_iter().map(decode_step).collect(),
        repeat,
        accepted_at: WallTime(message.accepted_ms),
    };
    spec.validate()?;
    Ok(spec)
}

fn encode_route(route: &Route) -> proto::Route {
    proto::Route {
        name: route.name.to_string(),
        service: route.service.to_string(),
        priority: route.priority,
        attempts: route.max_attempts,
        stretch: route.stretch,
        slo_ms: route.slo_ms,
        advice: route.advice.map(|advice| proto::Advice {
            call_ms: advice.call_ms,
            worker_ms: advice.worker_ms,
            validity_ms: advice.validity_ms,
        }),
    }
}

/// Decodes a route. Host and path prefix are not recorded, since they only serve to match a request to its route.
fn decode_route(message: proto::Route) -> Route {
    Route {
        name: message.name.into(),
        host: Arc::default(),
        prefix: Arc::default(),
        service: message.service.into(),
        priority: message.priority,
        max_attempts: message.attempts,
        stretch: message.stretch,
        slo_ms: message.slo_ms,
        advice: message.advice.map(|advice| AdvicePolicy {
            call_ms: advice.call_ms,
            worker_ms: advice.worker_ms,
            validity_ms: advice.validity_ms,
        }),
        open: false,
    }
}

fn encode_step(step: &StepSpec) -> proto::Step {
    let text = |value: &Option<Arc<str>>| value.as_deref().unwrap_or_default().to_owned();
    proto::Step {
        count: step.count,
        millicores: step.need.millicores,
        memory_mib: step.need.memory_mib,
        accelerators: step.need.accelerators,
        estimate_ms: step.estimate_ms,
        after: step.after.clone(),
        checkpointing: step.checkpointing,
        gang: step.gang,
        same_rack: step.same_rack,
        label: text(&step.label),
        data_rack: text(&step.data_rack),
        spread: step.spread,
        speculative: step.speculative,
        lasting: step.lasting,
        image: text(&step.image),
        target_ms: step.target_ms,
        fills: step.fills,
        max_unavailable: step.max_unavailable,
    }
}

fn decode_step(message: proto::Step) -> StepSpec {
    let text = |value: String| (!value.is_empty()).then(|| Arc::from(value));
    StepSpec {
        count: message.count,
        need: Resources::new(message.millicores, message.memory_mib, message.accelerators),
        estimate_ms: message.estimate_ms,
        after: message.after,
        checkpointing: message.checkpointing,
        gang: message.gang,
        same_rack: message.same_rack,
        label: text(message.label),
        data_rack: text(message.data_rack),
        spread: message.spread,
        speculative: message.speculative,
        lasting: message.lasting,
        image: text(message.image),
        target_ms: message.target_ms,
        fills: message.fills,
        max_unavailable: message.max_unavailable,
    }
}

/// Job phases in the order of their encoded numbers.
const PHASES: [JobPhase; 5] = [
    JobPhase::Queued,
    JobPhase::Running,
    JobPhase::Completed,
    JobPhase::Failed,
    JobPhase::Cancelled,
];

/// Maximum number of ended occurrences that a record names one by one, as programs of former versions read them.
const MAX_NAMED_OCCURRENCES: usize = 1_000;

fn encode_progress(progress: &JobProgress) -> proto::Progress {
    let ranges = progress.ended.ranges();
    let (named, ranges) = if progress.ended.len() > MAX_NAMED_OCCURRENCES {
        (&[][..], ranges)
    } else {
        (ranges, &[][..])
    };
    proto::Progress {
        phase: progress.phase as u32,
        finished: progress.finished,
        tasks: progress.tasks.iter().map(encode_task).collect(),
        ended: named.iter().cloned().flatten().collect(),
        ended_ranges: ranges.iter().flat_map(|range| [range.start, range.end]).collect(),
        team: progress.team.as_deref().unwrap_or_default().to_owned(),
    }
}

fn decode_progress(message: proto::Progress) -> Result<JobProgress> {
    let phase = PHASES.get(message.phase as usize).copied().context("unknown job phase")?;
    let tasks = message.tasks.into_iter().map(decode_task).collect();
    let team = (!message.team.is_empty()).then(|| message.team.into());
    let named = message.ended.into_iter().map(|number| number..number.saturating_add(1));
    let ranges = message.ended_ranges.chunks_exact(2).map(|ends| ends[0]..ends[1]);
    let ended = named.chain(ranges).collect();
    Ok(JobProgress { phase, finished: message.finished, ended, tasks, team })
}

fn encode_task(task: &TaskProgress) -> proto::Task {
    proto::Task {
        occurrence: task.occurrence,
        step: task.step,
        index: task.index,
        attempt: task.attempt,
        failures: task.failures,
        counted: task.counted_attempt,
        crashes: task.crashes,
        early_crashes: task.early_crashes,
        done: task.done,
        worker: task.worker.as_deref().unwrap_or_default().to_owned(),
        checkpoint: task.checkpoint.to_string(),
        born: task.born.unwrap_or_default(),
        late_worker: task.late_worker.as_deref().unwrap_or_default().to_owned(),
    }
}

fn decode_task(message: proto::Task) -> TaskProgress {
    TaskProgress {
        occurrence: message.occurrence,
        step: message.step,
        index: message.index,
        attempt: message.attempt,
        failures: message.failures,
        counted_attempt: message.counted,
        crashes: message.crashes,
        early_crashes: message.early_crashes,
        done: message.done,
        worker: (!message.worker.is_empty()).then(|| message.worker.into()),
        checkpoint: message.checkpoint.into(),
        born: (message.born > 0).then_some(message.born),
        late_worker: (!message.late_worker.is_empty()).then(|| message.late_worker.into()),
    }
}
