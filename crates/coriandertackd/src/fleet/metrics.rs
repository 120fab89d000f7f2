//! Counters and latency histograms of an entry VM, exported as text on the metrics address.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use {
    coriandertack_callers::bodies::Limit,
    coriandertack_jobs::{
        access::Refusal,
        ledger::{KEYLESS, TeamState, Usage},
        report::{EndCause, StartRefusal},
        sched::{LossCause, SchedulerStats},
    },
    coriandertack_operators::Export,
    opentelemetry::{
        KeyValue,
        metrics::{AsyncInstrument, Histogram, Meter},
    },
    tokio::net::TcpListener,
    viz::Router,
};

use crate::{connections::Connections, http};

use super::{
    output,
    shared::{Counters, Shared},
};

/// Upper bounds of the latency buckets, in seconds. They include 0.25 s, the tightest objective of a route, and 3 s,
/// the longest time for which callers wait.
const BUCKETS_S: &[f64] = &[0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 10.0, 30.0];

/// Maximum number of connections that read the metrics.
const MAX_CONNECTIONS: usize = 16;

/// Latency histograms of a VM, with their exporter.
#[derive(Debug)]
pub struct Latencies {
    export: Export,
    /// From the arrival of a submission to its answer.
    pub acceptance: Histogram<f64>,
    /// One successful append to the store.
    pub append: Histogram<f64>,
    /// From a step becoming ready to the start of one of its tasks being sent.
    pub waiting: Histogram<f64>,
    /// One scheduling pass.
    pub decision: Histogram<f64>,
    /// One call for advice made by this VM.
    pub advice: Histogram<f64>,
    /// From the append that took the leadership until the VM was ready to schedule.
    pub takeover: Histogram<f64>,
}

impl Latencies {
    /// Creates empty histograms and registers their exporter.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be registered.
    pub fn new() -> anyhow::Result<Self> {
        let export = Export::new()?;
        let seconds = |name, text| export.seconds(name, text, BUCKETS_S);
        Ok(Self {
            acceptance: seconds("acceptance", "from a submission to its answer"),
            append: seconds("store_append", "one append to the store"),
            waiting: seconds("waiting", "from a step being ready to a start of its tasks"),
            decision: seconds("decision", "one decision on all that waits"),
            advice: seconds("advice", "one call for advice"),
            takeover: seconds("takeover", "from taking the lead to the first decision"),
            export,
        })
    }
}

/// Records a latency given in milliseconds.
pub fn record(histogram: &Histogram<f64>, ms: u64) {
    histogram.record(ms as f64 / 1_000.0, &[]);
}

/// Serves the metrics for as long as the process runs.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    observe(&shared.latencies.export.meter(), &shared);
    let bodies = shared.bodies.clone();
    let routes = Router::new().get("/metrics", move |_: viz::Request| {
        let shared = shared.clone();
        async move { Ok::<_, viz::Error>(render(&shared.latencies.export)) }
    });
    let open = Arc::new(Connections::new(MAX_CONNECTIONS, bodies));
    http::serve(listener, routes, open, http::LIMITS, std::future::pending()).await;
}

fn render(export: &Export) -> String {
    export.text().unwrap_or_else(|error| {
        log::warn!("event=metrics_unreadable error=\"{error:#}\"");
        String::new()
    })
}

/// Registers an observable counter with one value for each set of labels.
fn counter(
    meter: &Meter,
    name: &'static str,
    text: &'static str,
    read: impl Fn() -> Vec<(u64, Vec<KeyValue>)> + Send + Sync + 'static,
) {
    let observe = move |out: &dyn AsyncInstrument<u64>| {
        for (value, labels) in read() {
            out.observe(value, &labels);
        }
    };
    meter.u64_observable_counter(name).with_description(text).with_callback(observe).build();
}

/// Names of the parts of an amount of resources, in the order of [`Usage::parts`].
const RESOURCES: [&str; 3] = ["millicores", "memory_mib", "accelerators"];

/// Value of the label `team` for callers without a key.
const KEYLESS_LABEL: &str = "-";

fn team_label(team: &TeamState) -> KeyValue {
    KeyValue::new(
        "team",
        if &*team.name == KEYLESS { KEYLESS_LABEL.into() } else { team.name.to_string() },
    )
}

/// Registers the gauges of teams, which only the leader has.
fn observe_teams(meter: &Meter, shared: &Arc<Shared>) {
    type Amount = fn(&TeamState) -> Usage;
    let amounts: [(&'static str, &'static str, Amount); 2] = [
        ("team_usage", "what a team has running", |team| team.usage),
        ("team_cap", "what a team may have running, 0 for no limit", |team| team.cap.into()),
    ];
    for (name, text, amount) in amounts {
        let shared = shared.clone();
        let observe = move |out: &dyn AsyncInstrument<u64>| {
            for team in shared.teams() {
                for (resource, value) in RESOURCES.into_iter().zip(amount(&team).parts()) {
                    out.observe(value, &[team_label(&team), KeyValue::new("resource", resource)]);
                }
            }
        };
        meter.u64_observable_gauge(name).with_description(text).with_callback(observe).build();
    }
    let of_waiting = shared.clone();
    meter
        .u64_observable_gauge("team_waiting_tasks")
        .with_description("tasks of a team that wait for a worker")
        .with_callback(move |out| {
            of_waiting
                .teams()
                .iter()
                .for_each(|team| out.observe(team.waiting, &[team_label(team)]));
        })
        .build();
    let of_share = shared.clone();
    meter
        .f64_observable_gauge("team_share")
        .with_description("largest fraction of a resource of all workers that a team uses")
        .with_callback(move |out| {
            of_share.teams().iter().for_each(|team| out.observe(team.share, &[team_label(team)]));
        })
        .build();
}

/// Registers one observable instrument for each counter and gauge.
fn observe(meter: &Meter, shared: &Arc<Shared>) {
    observe_teams(meter, shared);
    type Read = fn(&Counters) -> &AtomicU64;
    let counters: [(&'static str, &'static str, Read); 14] = [
        ("store_appends", "appends to the store", |c| &c.appends),
        ("store_reads", "reads of the store", |c| &c.reads),
        ("store_errors", "calls to the store that failed", |c| &c.store_errors),
        ("store_reads_cut", "reads that were cut off after a part of the response", |c| {
            &c.reads_cut
        }),
        ("store_bytes_read", "bytes received by reads of the store", |c| &c.bytes_read),
        ("jobs_accepted", "jobs that were accepted", |c| &c.accepted),
        ("jobs_refused", "jobs that were refused and not run", |c| &c.refused),
        ("jobs_unknown", "submissions with an unknown outcome", |c| &c.unknown),
        ("requests_outdated", "requests refused for a newer configuration", |c| &c.outdated),
        ("answers", "answers to callers", |c| &c.answers),
        ("lists", "lists of runs that workers were asked for", |c| &c.lists),
        ("starts", "starts that were sent", |c| &c.starts),
        ("takeovers", "times that this VM took the lead", |c| &c.takeovers),
        ("handovers", "times that this VM gave up the lead to a larger one", |c| &c.handovers),
    ];
    for (name, text, read) in counters {
        let shared = shared.clone();
        meter
            .u64_observable_counter(name)
            .with_description(text)
            .with_callback(move |out| {
                out.observe(read(&shared.counters).load(Ordering::Relaxed), &[]);
            })
            .build();
    }
    type Sum = fn(&SchedulerStats) -> u64;
    let stats: [(&'static str, &'static str, Sum); 5] = [
        ("tasks_bound", "tasks that were bound to a worker", |c| c.bound),
        ("runs_stalled", "runs that were stopped because they stood still", |c| c.stalled),
        ("jobs_given_up", "jobs that failed because a task crashed its workers", |c| c.given_up),
        ("advice_calls", "calls for advice that were decided", |c| c.advice),
        ("workers_quarantined", "times that a worker was taken out of use", |c| c.quarantined),
    ];
    for (name, text, sum) in stats {
        let shared = shared.clone();
        let read = move || vec![(sum(&shared.stats()), Vec::new())];
        counter(meter, name, text, read);
    }
    let ends = shared.clone();
    counter(meter, "runs_ended", "ends of runs, by cause", move || {
        let cause = |cause: &EndCause| vec![KeyValue::new("cause", cause.to_string())];
        ends.stats().ends.into_iter().zip(EndCause::ALL.iter().map(cause)).collect()
    });
    let lost = shared.clone();
    counter(meter, "runs_lost", "runs that were lost with their worker, by cause", move || {
        let cause = |cause: &LossCause| vec![KeyValue::new("cause", cause.to_string())];
        lost.stats().lost.into_iter().zip(LossCause::ALL.iter().map(cause)).collect()
    });
    let unlisted = shared.clone();
    counter(meter, "runs_unlisted", "runs that the list of their worker omitted", move || {
        let started = ["false", "true"].map(|text| vec![KeyValue::new("started", text)]);
        unlisted.stats().unlisted.into_iter().zip(started).collect()
    });
    let repeated = shared.clone();
    counter(
        meter,
        "starts_repeated",
        "starts sent again because a list omitted the run",
        move || vec![(repeated.stats().repeated, Vec::new())],
    );
    let refused = shared.clone();
    counter(meter, "starts_refused", "starts that workers refused, by reason", move || {
        let reason = |reason: &StartRefusal| vec![KeyValue::new("reason", reason.to_string())];
        refused.stats().refused.into_iter().zip(StartRefusal::ALL.iter().map(reason)).collect()
    });
    let by_key = shared.clone();
    counter(meter, "keys_refused", "requests refused because of their key, by reason", move || {
        let reason = |reason: Refusal| vec![KeyValue::new("reason", reason.to_string())];
        by_key.refusals.counts().map(|(refusal, count)| (count, reason(refusal))).collect()
    });
    type Limited = fn(&Shared, Limit) -> u64;
    let limited: [(&'static str, &'static str, Limited); 2] = [
        ("requests_refused", "requests that were refused, by limit", |s, l| s.bodies.refused(l)),
        ("connections_closed", "connections that were closed, by limit", |s, l| s.bodies.closed(l)),
    ];
    for (name, text, read) in limited {
        let shared = shared.clone();
        counter(meter, name, text, move || {
            let label = |limit: Limit| vec![KeyValue::new("limit", limit.to_string())];
            Limit::ALL.into_iter().map(|limit| (read(&shared, limit), label(limit))).collect()
        });
    }
    counter(
        meter,
        "log_lines_lost",
        "log lines that found no room, or that standard output refused",
        || vec![(output::lost_lines(), Vec::new())],
    );
    type Gauge = fn(&Shared) -> u64;
    let gauges: [(&'static str, &'static str, Gauge); 6] = [
        ("leading", "1 if this VM leads", |s| u64::from(*s.is_leader.borrow())),
        ("config_revision", "revision in force", |s| s.config.borrow().revision),
        ("config_bytes", "size of the configuration in force", |s| {
            s.config_bytes.load(Ordering::Relaxed)
        }),
        ("config_behind_ms", "time for which a newer record of operators is known", |s| {
            s.config_behind_ms()
        }),
        ("jobs_known", "jobs that this VM has read of", |s| s.replica().jobs.len() as u64),
        ("request_bytes_held", "bytes held for callers' requests", |s| {
            s.bodies.held_bytes() as u64
        }),
    ];
    for (name, text, gauge) in gauges {
        let shared = shared.clone();
        meter
            .u64_observable_gauge(name)
            .with_description(text)
            .with_callback(move |out| out.observe(gauge(&shared), &[]))
            .build();
    }
}
