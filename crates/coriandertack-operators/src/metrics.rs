//! Metrics of an entry VM, exported in the Prometheus text format.
//!
//! The core package does not depend on the metrics library. It collects samples in [`Stats`], which
//! [`Metrics::update_gauges`] drains on each scrape.

use std::{fmt, sync::atomic::Ordering};

use {
    coriandertack_core::{
        code::Code,
        home::TaskState,
        node::{Node, Stage},
        stats::Stats,
    },
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram},
    },
};

use crate::export::Export;

/// Bucket boundaries for waiting times and appends in seconds. The design limit is 0.05.
const WAIT_BOUNDS_S: &[f64] =
    &[0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0];

/// Bucket boundaries for placement decisions in seconds. The design limit is 0.001.
const DECISION_BOUNDS_S: &[f64] =
    &[0.000_01, 0.000_02, 0.000_05, 0.000_1, 0.000_2, 0.000_5, 0.001, 0.002, 0.005, 0.01];

/// Metrics of an entry VM.
pub struct Metrics {
    export: Export,
    waiting: Histogram<f64>,
    decision: Histogram<f64>,
    append: Histogram<f64>,
    grants: Counter<u64>,
    requests: Counter<u64>,
    calls: Counter<u64>,
    dropped_refusals: Counter<u64>,
    task_count: Gauge<u64>,
    grants_held: Gauge<u64>,
    members: Gauge<u64>,
    log_offset: Gauge<u64>,
    ready: Gauge<u64>,
    link_bytes: Gauge<u64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Creates the instruments with a registry of their own.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be registered.
    pub fn new() -> anyhow::Result<Self> {
        let export = Export::new()?;
        let meter = export.meter();
        let count = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Ok(Self {
            waiting: export.seconds(
                "waiting",
                "time from the acceptance of a task to the dispatch of its start",
                WAIT_BOUNDS_S,
            ),
            decision: export.seconds(
                "decision",
                "duration of a placement decision",
                DECISION_BOUNDS_S,
            ),
            append: export.seconds("log_append", "duration of an append to the log", WAIT_BOUNDS_S),
            grants: count("grants", "grants of worker capacity to tasks"),
            requests: count("requests", "responses of the resource API by result code"),
            calls: count("calls", "responses to service calls by result code"),
            dropped_refusals: count(
                "refusals_not_audited",
                "refused changes not written to the audit trail because there were too many",
            ),
            task_count: gauge("tasks", "tasks of the teams whose home is this VM, by step"),
            grants_held: gauge("grants_held", "grants held on workers that this VM owns"),
            members: gauge("members", "objects in the replicated state by type"),
            log_offset: gauge("log_offset", "last log offset that this VM has applied"),
            ready: gauge("ready", "1 if this VM is ready to accept work, else 0"),
            link_bytes: gauge("link_bytes", "bytes of frames on links opened by this VM"),
            export,
        })
    }

    /// Counts a response of the resource API by its result code.
    pub fn record_response(&self, code: Code) {
        self.requests.add(1, &[code_label(code)]);
    }

    pub(crate) fn record_dropped_refusals(&self, count: u64) {
        self.dropped_refusals.add(count, &[]);
    }

    /// Sets the gauges from the state of the node and records the samples collected in its stats.
    pub fn update_gauges(&self, node: &Node) {
        let is_ready = *node.stage.borrow() == Stage::Serving && node.is_valid();
        self.ready.record(u64::from(is_ready), &[]);
        self.link_bytes.record(node.frame_bytes.load(Ordering::Relaxed), &[]);
        node.with(|shared| {
            let state = &shared.state;
            self.log_offset.record(state.offset.0, &[]);
            for (name, count) in [
                ("vm", state.vms.len()),
                ("worker", state.workers.len()),
                ("team", state.teams.len()),
                ("job", state.jobs.ids.len()),
            ] {
                self.members.record(count as u64, &[KeyValue::new("type", name)]);
            }
            let mut counts = [0; STEPS.len()];
            for task in shared.team_queues.tasks() {
                counts[step_index(&task.state)] += 1;
            }
            for (name, count) in STEPS.iter().zip(counts) {
                self.task_count.record(count, &[KeyValue::new("step", *name)]);
            }
            self.grants_held.record(shared.pool.grants().count() as u64, &[]);
        });
        self.record_stats(node.with(|shared| std::mem::take(&mut shared.stats)));
    }

    /// Records the samples and counts collected since the last scrape.
    fn record_stats(&self, mut stats: Stats) {
        let seconds = |micros: u32| f64::from(micros) / 1e6;
        for (samples, instrument) in [
            (&mut stats.wait_times, &self.waiting),
            (&mut stats.decision_times, &self.decision),
            (&mut stats.append_times, &self.append),
        ] {
            samples.take().into_iter().for_each(|micros| instrument.record(seconds(micros), &[]));
        }
        self.grants.add(stats.placed_tasks, &[]);
        for (number, count) in stats.calls {
            let code = Code::try_from(number).unwrap_or(Code::Internal);
            self.calls.add(count, &[code_label(code)]);
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be encoded.
    pub fn text(&self) -> anyhow::Result<String> {
        self.export.text()
    }
}

/// Values of the label `step`, in the order of [`step_index`].
pub(crate) const STEPS: [&str; 7] =
    ["recovering", "queued", "asked", "unknown", "bound", "ending", "regroup"];

/// Returns the index of a task state in [`STEPS`].
pub(crate) fn step_index(step: &TaskState) -> usize {
    match step {
        TaskState::Recovering => 0,
        TaskState::Queued => 1,
        TaskState::Asked(_) => 2,
        TaskState::Unknown(..) => 3,
        TaskState::Bound(_) => 4,
        TaskState::Ending => 5,
        TaskState::Regroup => 6,
    }
}

fn code_label(code: Code) -> KeyValue {
    KeyValue::new("code", i64::from(code.number()))
}
