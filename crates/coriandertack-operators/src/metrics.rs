//! Instruments of an entry VM, exported in the Prometheus text format.
//!
//! Core stays free of this library: what it notes in [`Stats`] is taken when the metrics are asked for
//! ([`Metrics::observe`]).

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

/// Bounds of the buckets for waiting times and appends, in seconds; 0.05 is the bound of the design.
const WAIT_BOUNDS_S: &[f64] =
    &[0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0];

/// Bounds of the buckets for decisions, in seconds; 0.001 is the bound of the design.
const DECISION_BOUNDS_S: &[f64] =
    &[0.000_01, 0.000_02, 0.000_05, 0.000_1, 0.000_2, 0.000_5, 0.001, 0.002, 0.005, 0.01];

/// Instruments of an entry VM.
pub struct Metrics {
    export: Export,
    waiting: Histogram<f64>,
    decision: Histogram<f64>,
    append: Histogram<f64>,
    grants: Counter<u64>,
    requests: Counter<u64>,
    calls: Counter<u64>,
    dropped: Counter<u64>,
    queue: Gauge<u64>,
    granted: Gauge<u64>,
    members: Gauge<u64>,
    offset: Gauge<u64>,
    ready: Gauge<u64>,
    frames: Gauge<u64>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Returns instruments with a registry of their own.
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
            waiting: export.seconds("waiting", "from acceptance to start sent", WAIT_BOUNDS_S),
            decision: export.seconds("decision", "one placement decision", DECISION_BOUNDS_S),
            append: export.seconds("log_append", "one append to the log", WAIT_BOUNDS_S),
            grants: count("grants", "capacity granted to tasks"),
            requests: count("requests", "answers of the resource API, by code"),
            calls: count("calls", "answers to callers, by code"),
            dropped: count("refusals_not_audited", "refused changes beyond the audit's rate"),
            queue: gauge("tasks", "tasks homed here, by step"),
            granted: gauge("grants_held", "grants held on workers owned here"),
            members: gauge("members", "live objects in the replicated state, by type"),
            offset: gauge("log_offset", "last offset applied"),
            ready: gauge("ready", "1 if this VM takes work"),
            frames: gauge("link_bytes", "bytes of frames on the links that this VM opened"),
            export,
        })
    }

    /// Counts an answer of the resource API.
    pub fn answered(&self, code: Code) {
        self.requests.add(1, &[code_label(code)]);
    }

    pub(crate) fn dropped(&self, count: u64) {
        self.dropped.add(count, &[]);
    }

    /// Reads the gauges from the node.
    pub fn observe(&self, node: &Node) {
        let is_ready = *node.stage.borrow() == Stage::Serving && node.is_valid();
        self.ready.record(u64::from(is_ready), &[]);
        self.frames.record(node.frame_bytes.load(Ordering::Relaxed), &[]);
        node.with(|shared| {
            let state = &shared.state;
            self.offset.record(state.offset.0, &[]);
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
                counts[index_of(&task.state)] += 1;
            }
            for (name, count) in STEPS.iter().zip(counts) {
                self.queue.record(count, &[KeyValue::new("step", *name)]);
            }
            self.granted.record(shared.pool.grants().count() as u64, &[]);
        });
        self.take(node.with(|shared| std::mem::take(&mut shared.stats)));
    }

    /// Records what decisions have noted since the last reading.
    fn take(&self, mut stats: Stats) {
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

    /// Returns all instruments in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be encoded.
    pub fn text(&self) -> anyhow::Result<String> {
        self.export.text()
    }
}

/// Labels of the steps of tasks.
pub(crate) const STEPS: [&str; 7] =
    ["recovering", "queued", "asked", "unknown", "bound", "ending", "regroup"];

/// Returns the index in [`STEPS`].
pub(crate) fn index_of(step: &TaskState) -> usize {
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
