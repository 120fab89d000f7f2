//! Records of jobs: what entry VMs and their leader write to the store, by key.
//!
//! Each kind of record has a prefix of its own, so that nobody overwrites the record of another writer: a submission
//! and a cancellation come from any VM, progress from the leader alone.
//!
//! ```
//! use coriandertack_jobs::{ids::JobId, replica::ReplicaRecord};
//! use coriandertack_log::jobs;
//!
//! let (key, value) = jobs::cancelled(JobId(7));
//! assert!(matches!(jobs::note(&key, &value), ReplicaRecord::Cancelled(JobId(7))));
//! ```

use std::sync::Arc;

use {
    anyhow::{Context, Result},
    bytes::Bytes,
    coriandertack_core::resources::Resources,
    coriandertack_jobs::{
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

const SUBMITTED: &str = "j/";
const CANCELLED: &str = "c/";
const PROGRESSED: &str = "s/";
const LINK: &str = "v/";
const LEADER: &str = "leader";

/// Value of a cancellation, which says nothing more; an empty value would drop the key.
const CANCELLED_VALUE: &[u8] = b"1";

/// Returns key and value of a submission.
#[must_use]
pub fn submitted(id: JobId, spec: &JobSpec) -> (String, Bytes) {
    (format!("{SUBMITTED}{id}"), spec_out(spec).encode_to_vec().into())
}

/// Returns key and value of a cancellation.
#[must_use]
pub fn cancelled(id: JobId) -> (String, Bytes) {
    (format!("{CANCELLED}{id}"), Bytes::from_static(CANCELLED_VALUE))
}

/// Returns key and value of a job's progress.
#[must_use]
pub fn progressed(id: JobId, progress: &JobProgress) -> (String, Bytes) {
    (format!("{PROGRESSED}{id}"), progress_out(progress).encode_to_vec().into())
}

/// Returns key and value of a leader's record.
#[must_use]
pub fn led(leader: &Leader) -> (String, Bytes) {
    let wire = proto::Leader { epoch: leader.epoch, vm: leader.vm.to_string() };
    (LEADER.to_owned(), wire.encode_to_vec().into())
}

/// Returns key and value of the address of a VM's link.
#[must_use]
pub fn announced(vm: &str, link: LinkInfo) -> (String, Bytes) {
    let wire = proto::Link { address: link.address.to_string(), millicores: link.millicores };
    (format!("{LINK}{vm}"), wire.encode_to_vec().into())
}

/// Tells whether a key is that of a VM's link.
#[must_use]
pub fn is_announcement(key: &str) -> bool {
    key.starts_with(LINK)
}

/// Returns the keys under which a job was submitted and cancelled.
#[must_use]
pub fn request_keys(id: JobId) -> [String; 2] {
    [format!("{SUBMITTED}{id}"), format!("{CANCELLED}{id}")]
}

/// Returns the key of the progress that a forgotten job has.
#[must_use]
pub fn progress_key(id: JobId) -> String {
    format!("{PROGRESSED}{id}")
}

/// Decodes a record. One that cannot be read is logged and names nothing to act on.
#[must_use]
pub fn note(key: &str, value: &[u8]) -> ReplicaRecord {
    decode(key, value).unwrap_or_else(|error| {
        log::warn!("event=record_unreadable key={key} error=\"{error:#}\"");
        ReplicaRecord::Unreadable
    })
}

fn decode(key: &str, value: &[u8]) -> Result<ReplicaRecord> {
    if key == LEADER {
        let wire = proto::Leader::decode(value)?;
        return Ok(ReplicaRecord::LeaderChanged(Leader { epoch: wire.epoch, vm: wire.vm.into() }));
    }
    let (kind, name) = key.split_at_checked(SUBMITTED.len()).context("unknown key")?;
    match kind {
        LINK => {
            let wire = proto::Link::decode(value)?;
            let link = LinkInfo { address: wire.address.parse()?, millicores: wire.millicores };
            Ok(ReplicaRecord::VmAnnounced(name.into(), link))
        }
        PROGRESSED if value.is_empty() => Ok(ReplicaRecord::ProgressDropped(name.parse()?)),
        SUBMITTED | CANCELLED if value.is_empty() => {
            Ok(ReplicaRecord::SubmissionDropped(name.parse()?))
        }
        SUBMITTED => {
            let spec = spec_in(proto::Spec::decode(value)?)?;
            Ok(ReplicaRecord::Submitted(name.parse()?, Arc::new(spec)))
        }
        CANCELLED => Ok(ReplicaRecord::Cancelled(name.parse()?)),
        PROGRESSED => {
            let progress = progress_in(proto::Progress::decode(value)?)?;
            Ok(ReplicaRecord::Progressed(name.parse()?, Arc::new(progress)))
        }
        _ => anyhow::bail!("unknown key"),
    }
}

fn spec_out(spec: &JobSpec) -> proto::Spec {
    let repeat =
        spec.repeat.unwrap_or(RepeatSchedule { count: 0, first: WallTime(0), interval_ms: 0 });
    proto::Spec {
        route: Some(route_out(&spec.route)),
        payload: spec.payload.to_string(),
        steps: spec.steps.iter().map(step_out).collect(),
        accepted_ms: spec.accepted_at.0,
        repeats: repeat.count,
        first_ms: repeat.first.0,
        interval_ms: repeat.interval_ms,
    }
}

fn spec_in(wire: proto::Spec) -> Result<JobSpec> {
    let repeat = (wire.repeats > 0).then_some(RepeatSchedule {
        count: wire.repeats,
        first: WallTime(wire.first_ms),
        interval_ms: wire.interval_ms,
    });
    let spec = JobSpec {
        route: Arc::new(route_in(wire.route.context("no route")?)),
        payload: wire.payload.into(),
        steps: wire.steps.into_iter().map(step_in).collect(),
        repeat,
        accepted_at: WallTime(wire.accepted_ms),
    };
    spec.validate()?;
    Ok(spec)
}

fn route_out(route: &Route) -> proto::Route {
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

/// Host and prefix stay out: they find a route for a request, and the job has found its own.
fn route_in(wire: proto::Route) -> Route {
    Route {
        name: wire.name.into(),
        host: Arc::default(),
        prefix: Arc::default(),
        service: wire.service.into(),
        priority: wire.priority,
        max_attempts: wire.attempts,
        stretch: wire.stretch,
        slo_ms: wire.slo_ms,
        advice: wire.advice.map(|advice| AdvicePolicy {
            call_ms: advice.call_ms,
            worker_ms: advice.worker_ms,
            validity_ms: advice.validity_ms,
        }),
    }
}

fn step_out(step: &StepSpec) -> proto::Step {
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

fn step_in(wire: proto::Step) -> StepSpec {
    let text = |value: String| (!value.is_empty()).then(|| Arc::from(value));
    StepSpec {
        count: wire.count,
        need: Resources::new(wire.millicores, wire.memory_mib, wire.accelerators),
        estimate_ms: wire.estimate_ms,
        after: wire.after,
        checkpointing: wire.checkpointing,
        gang: wire.gang,
        same_rack: wire.same_rack,
        label: text(wire.label),
        data_rack: text(wire.data_rack),
        spread: wire.spread,
        speculative: wire.speculative,
        lasting: wire.lasting,
        image: text(wire.image),
        target_ms: wire.target_ms,
        fills: wire.fills,
        max_unavailable: wire.max_unavailable,
    }
}

const PHASES: [JobPhase; 5] = [
    JobPhase::Queued,
    JobPhase::Running,
    JobPhase::Completed,
    JobPhase::Failed,
    JobPhase::Cancelled,
];

fn progress_out(progress: &JobProgress) -> proto::Progress {
    proto::Progress {
        phase: progress.phase as u32,
        finished: progress.finished,
        tasks: progress.tasks.iter().map(task_out).collect(),
    }
}

fn progress_in(wire: proto::Progress) -> Result<JobProgress> {
    let phase = PHASES.get(wire.phase as usize).copied().context("unknown phase")?;
    let tasks = wire.tasks.into_iter().map(task_in).collect();
    Ok(JobProgress { phase, finished: wire.finished, tasks })
}

fn task_out(task: &TaskProgress) -> proto::Task {
    proto::Task {
        occurrence: task.occurrence,
        step: task.step,
        index: task.index,
        attempt: task.attempt,
        failures: task.failures,
        counted: task.counted_attempt,
        done: task.done,
        worker: task.worker.as_deref().unwrap_or_default().to_owned(),
        checkpoint: task.checkpoint.to_string(),
    }
}

fn task_in(wire: proto::Task) -> TaskProgress {
    TaskProgress {
        occurrence: wire.occurrence,
        step: wire.step,
        index: wire.index,
        attempt: wire.attempt,
        failures: wire.failures,
        counted_attempt: wire.counted,
        done: wire.done,
        worker: (!wire.worker.is_empty()).then(|| wire.worker.into()),
        checkpoint: wire.checkpoint.into(),
    }
}
