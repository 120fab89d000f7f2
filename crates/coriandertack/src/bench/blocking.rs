//! Head-of-line blocking of short requests by stragglers.
//!
//! Short requests take 30% of the slots. In the second run 2% of the requests take 100 times as long and need
//! another 60% of the slots. Vukic's stragglers are planning runs among quotes, the Agency's are monthly
//! settlements among herders' questions.

use std::{future::Future, sync::Arc};

use coriandertack_core::{
    code::Code,
    message::{Call, CallResponse},
};

use super::{
    cell::{Cell, Fifo},
    load::{PlannedRequest, RequestKind, RequestOutcome, p99_ms, plan_requests, send},
    row::Row,
};

/// Share of the slots that short requests take.
const SHORT_LOAD: f64 = 0.3;

/// Share of stragglers among all requests.
const STRAGGLER_SHARE: f64 = 0.02;

/// Processing time of a straggler relative to a short request.
const STRAGGLER_FACTOR: u64 = 100;

/// Length of a run, in seconds.
const RUN_SECONDS: f64 = 12.0;

/// Time at the start of a run that the figures leave out, in microseconds, since the router still learns the
/// classes.
const WARM_UP_US: u64 = 2_000_000;

const BASELINE_NAME: &str = "one FIFO queue without lanes";

/// Workers of a deployment and the requests sent to them.
#[derive(Clone, Copy, Debug)]
struct Demand {
    name: &'static str,
    workers: usize,
    short: RequestKind,
    straggler: &'static str,
}

const VUKIC: Demand = Demand {
    name: "vukic quotes beside planning",
    workers: 5,
    short: RequestKind { class: "quote", work_us: 10_000, deadline_ms: 2_000 },
    straggler: "planning",
};

const AGENCY: Demand = Demand {
    name: "agency questions beside settlements",
    workers: 4,
    short: RequestKind { class: "question", work_us: 6_000, deadline_ms: 2_000 },
    straggler: "settlement",
};

/// Results of the scheduler or of the baseline.
#[derive(Clone, Copy, Debug)]
struct Figures {
    ratio: f64,
    p99_ms: f64,
    answered: f64,
}

/// Runs the scenario for both deployments at once, each first with the scheduler and then with the baseline.
pub async fn run(seed: u64) -> Vec<Row> {
    let (vukic, agency) = tokio::join!(run_demand(VUKIC, seed), run_demand(AGENCY, seed + 1));
    [vukic, agency]
        .into_iter()
        .flat_map(|rows| {
            rows.unwrap_or_else(|error| {
                eprintln!("event=bench_failed scenario=blocking error=\"{error:#}\"");
                vec![row("blocking could not run", "runs", 1.0, 0.0, None, false)]
            })
        })
        .collect()
}

async fn run_demand(demand: Demand, seed: u64) -> anyhow::Result<Vec<Row>> {
    let cell = Cell::start(demand.workers).await?;
    let (alone, mixed) = plans(&demand, cell.slots(), seed);
    let router = cell.router().await?;
    let product = measure(&demand, &alone, &mixed, seed, |call| {
        let router = Arc::clone(&router);
        async move { router.call(call).await }
    });
    let product = product.await;
    let fifo = Fifo::start(&cell);
    let baseline = measure(&demand, &alone, &mixed, seed, |call| {
        let fifo = fifo.clone();
        async move { fifo.send(call).await }
    });
    let baseline = baseline.await;
    Ok(rows(demand.name, product, baseline))
}

/// Returns the plan of the short requests alone, and the plan with stragglers among them.
fn plans(demand: &Demand, slots: usize, seed: u64) -> (Vec<PlannedRequest>, Vec<PlannedRequest>) {
    let rate = SHORT_LOAD * slots as f64 * 1e6 / demand.short.work_us as f64;
    let short = plan_requests(demand.short, RUN_SECONDS, seed, |_| rate);
    let straggler = RequestKind {
        class: demand.straggler,
        work_us: demand.short.work_us * STRAGGLER_FACTOR,
        deadline_ms: 20 * STRAGGLER_FACTOR * demand.short.work_us / 1_000,
    };
    let stragglers = plan_requests(straggler, RUN_SECONDS, seed + 7, |_| {
        rate * STRAGGLER_SHARE / (1.0 - STRAGGLER_SHARE)
    });
    (short.clone(), [short, stragglers].concat())
}

async fn measure<F, A>(
    demand: &Demand,
    alone: &[PlannedRequest],
    mixed: &[PlannedRequest],
    seed: u64,
    send_call: F,
) -> Figures
where
    F: Fn(Call) -> A,
    A: Future<Output = Result<CallResponse, Code>> + Send + 'static,
{
    let alone = send(alone.to_vec(), seed, &send_call).await;
    let mixed = send(mixed.to_vec(), seed, &send_call).await;
    let short = |outcome: &&RequestOutcome| {
        outcome.planned.kind.class == demand.short.class && outcome.planned.at_us >= WARM_UP_US
    };
    let p99_alone = p99_ms(alone.iter().filter(short));
    let p99_ms = p99_ms(mixed.iter().filter(short));
    let all = mixed.iter().filter(short).count();
    let answered = mixed.iter().filter(short).filter(|outcome| outcome.is_answered()).count();
    let straggler_outcomes =
        mixed.iter().filter(|outcome| outcome.planned.kind.class == demand.straggler);
    let (served, stragglers) = straggler_outcomes.fold((0, 0), |(served, all), outcome| {
        (served + u32::from(outcome.is_answered()), all + 1)
    });
    log::info!(
        "event=blocking shape=\"{}\" alone_ms={p99_alone:.2} beside_ms={p99_ms:.2} \
         stragglers={stragglers} served={served}",
        demand.name
    );
    Figures { ratio: p99_ms / p99_alone, p99_ms, answered: answered as f64 / all.max(1) as f64 }
}

fn rows(name: &str, product: Figures, baseline: Figures) -> Vec<Row> {
    let metric = |text: &str| format!("{name}: {text}");
    let ratio_met = product.ratio <= 1.5;
    vec![
        row(
            &metric("short p99 beside stragglers over alone"),
            "ratio",
            1.5,
            product.ratio,
            Some(baseline.ratio),
            ratio_met,
        ),
        row(
            &metric("short p99 beside stragglers"),
            "ms",
            1.5 * product.p99_ms / product.ratio,
            product.p99_ms,
            Some(baseline.p99_ms),
            ratio_met,
        ),
        row(
            &metric("short requests answered beside stragglers"),
            "ratio",
            0.999,
            product.answered,
            Some(baseline.answered),
            product.answered >= 0.999,
        ),
    ]
}

fn row(
    metric: &str,
    unit: &str,
    target: f64,
    measured: f64,
    baseline: Option<f64>,
    met: bool,
) -> Row {
    let baseline = baseline.map(|measured| (BASELINE_NAME, measured));
    Row::with_verdict("blocking", metric, unit, target, measured, baseline, met)
}
