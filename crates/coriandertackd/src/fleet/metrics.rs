//! Counters and latency histograms of an entry VM on the platform, as text on the metrics address.

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use {
    opentelemetry::metrics::{Histogram, Meter, MeterProvider},
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Encoder, Registry, TextEncoder},
    tokio::net::TcpListener,
    viz::Router,
};

use crate::http;

use super::shared::{Counters, Shared};

/// Bounds of the buckets of latencies, in seconds: 0.25 s is the tightest objective of a route, 3 s the longest wait of a
/// caller.
const BOUNDS_S: &[f64] = &[0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 3.0, 10.0, 30.0];

/// Latency histograms of a VM, with the registry from which they are served.
pub struct Latencies {
    registry: Registry,
    provider: SdkMeterProvider,
    /// From the arrival of a submission until it was answered.
    pub acceptance: Histogram<f64>,
    /// One append to the store that succeeded.
    pub append: Histogram<f64>,
    /// From a step being ready until a start of one of its tasks was sent.
    pub waiting: Histogram<f64>,
}

impl fmt::Debug for Latencies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Latencies").finish_non_exhaustive()
    }
}

impl Latencies {
    /// Returns empty histograms.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be registered.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("coriandertack")
            .scope_info_enabled(false)
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("coriandertack");
        let seconds = |name: &'static str, text: &'static str| {
            meter
                .f64_histogram(name)
                .with_unit("s")
                .with_description(text)
                .with_boundaries(BOUNDS_S.to_vec())
                .build()
        };
        Ok(Self {
            acceptance: seconds("acceptance", "from a submission to its answer"),
            append: seconds("store_append", "one append to the store"),
            waiting: seconds("waiting", "from a step being ready to a start of its tasks"),
            registry,
            provider,
        })
    }
}

/// Records a latency that is known in milliseconds.
pub fn record(histogram: &Histogram<f64>, ms: u64) {
    histogram.record(ms as f64 / 1_000.0, &[]);
}

/// Serves the metrics for as long as the process runs.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    observe(&shared.latencies.provider.meter("coriandertack"), &shared);
    let registry = shared.latencies.registry.clone();
    let routes = Router::new().get("/metrics", move |_: viz::Request| {
        let registry = registry.clone();
        async move { Ok::<_, viz::Error>(render(&registry)) }
    });
    http::serve(listener, routes, std::future::pending()).await;
}

fn render(registry: &Registry) -> String {
    let mut text = Vec::new();
    if let Err(error) = TextEncoder::new().encode(&registry.gather(), &mut text) {
        log::warn!("event=metrics_unreadable error=\"{error}\"");
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// Registers one instrument for each counter and gauge.
fn observe(meter: &Meter, shared: &Arc<Shared>) {
    type Read = fn(&Counters) -> &AtomicU64;
    let counters: [(&'static str, &'static str, Read); 11] = [
        ("store_appends", "appends to the store", |c| &c.appends),
        ("store_reads", "reads of the store", |c| &c.reads),
        ("store_errors", "calls to the store that failed", |c| &c.store_errors),
        ("jobs_accepted", "jobs that were accepted", |c| &c.accepted),
        ("jobs_refused", "jobs that were refused and not run", |c| &c.refused),
        ("jobs_unknown", "submissions with an unknown outcome", |c| &c.unknown),
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
    type Look = fn(&Shared) -> u64;
    let gauges: [(&'static str, &'static str, Look); 3] = [
        ("leading", "1 if this VM leads", |s| u64::from(*s.leading.borrow())),
        ("config_revision", "revision in force", |s| s.config.borrow().revision),
        ("jobs_known", "jobs on the board", |s| s.board().jobs.len() as u64),
    ];
    for (name, text, look) in gauges {
        let shared = shared.clone();
        meter
            .u64_observable_gauge(name)
            .with_description(text)
            .with_callback(move |out| out.observe(look(&shared), &[]))
            .build();
    }
}
