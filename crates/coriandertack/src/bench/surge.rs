//! Surge of demand to three times the normal rate within 1 s.
//!
//! The normal demand on each deployment takes 60% of its workers' capacity. It rises to three times that rate
//! within 1 s, stays there for 10 s and falls back. For Vukic this models the dawn booking rush, for the Agency
//! the price checks of a market day.

use std::{sync::Arc, time::Duration};

use {coriandertack_core::code::Code, rand::SeedableRng, rand_chacha::ChaCha8Rng};

use super::{
    cell::{Cell, Fifo},
    load::{RequestKind, RequestOutcome, p99_ms, plan_requests, send},
    row::Row,
};

/// Normal demand as a share of the capacity.
const NORMAL_LOAD: f64 = 0.6;

/// Demand of the surge relative to the normal demand.
const SURGE_FACTOR: f64 = 3.0;

/// Time at which the demand starts to rise, in seconds. The time before it gives the normal latency.
const RISE_AT: f64 = 2.0;
const SURGE_AT: f64 = RISE_AT + 1.0;
const FALL_AT: f64 = SURGE_AT + 10.0;
const END_AT: f64 = FALL_AT + 6.0;

const BASELINE_NAME: &str = "one FIFO queue without admission control";

/// Workers of a deployment and the kind of requests sent to them.
#[derive(Clone, Copy, Debug)]
struct Demand {
    name: &'static str,
    workers: usize,
    kind: RequestKind,
}

const VUKIC: Demand = Demand {
    name: "vukic dawn booking rush",
    workers: 10,
    kind: RequestKind { class: "", work_us: 40_000, deadline_ms: 400 },
};

const AGENCY: Demand = Demand {
    name: "agency market-day price checks",
    workers: 4,
    kind: RequestKind { class: "", work_us: 10_000, deadline_ms: 100 },
};

/// Results of one run.
#[derive(Clone, Copy, Debug)]
struct Figures {
    goodput: f64,
    late: f64,
    recovery_s: f64,
    normal_p99: f64,
    /// Requests that were sent to a worker but not answered by their deadline.
    unknown: usize,
}

/// Runs the scenario for both deployments at once, each first with the scheduler and then with the baseline.
pub async fn run(seed: u64) -> Vec<Row> {
    let (vukic, agency) = tokio::join!(run_demand(VUKIC, seed), run_demand(AGENCY, seed + 1));
    [vukic, agency]
        .into_iter()
        .flat_map(|rows| rows.unwrap_or_else(|error| vec![failed(&error)]))
        .collect()
}

fn failed(error: &anyhow::Error) -> Row {
    eprintln!("event=bench_failed scenario=surge error=\"{error:#}\"");
    row("surge could not run", "runs", 1.0, 0.0, None, false)
}

async fn run_demand(demand: Demand, seed: u64) -> anyhow::Result<Vec<Row>> {
    let cell = Cell::start(demand.workers).await?;
    let body = |number| demand.kind.body(&mut ChaCha8Rng::seed_from_u64(seed + number));
    let capacity = cell.capacity(body, Duration::from_secs(2)).await;
    let planned =
        plan_requests(demand.kind, END_AT, seed, |at| capacity * NORMAL_LOAD * load_factor(at));
    let router = cell.router().await?;
    let product = send(planned.clone(), seed, |call| {
        let router = Arc::clone(&router);
        async move { router.call(call).await }
    });
    let product = figures_of(&product.await, capacity);
    drop(router);
    let fifo = Fifo::start(&cell);
    let baseline = send(planned, seed, |call| {
        let fifo = fifo.clone();
        async move { fifo.send(call).await }
    });
    let baseline = figures_of(&baseline.await, capacity);
    log::info!(
        "event=surge shape=\"{}\" capacity={capacity:.0} usual_p99_ms={:.1} unknown={}",
        demand.name,
        product.normal_p99,
        product.unknown
    );
    Ok(rows(demand.name, product, baseline))
}

fn load_factor(at: f64) -> f64 {
    match at {
        at if at < RISE_AT => 1.0,
        at if at < SURGE_AT => 1.0 + (SURGE_FACTOR - 1.0) * (at - RISE_AT),
        at if at < FALL_AT => SURGE_FACTOR,
        _ => 1.0,
    }
}

fn rows(name: &str, product: Figures, baseline: Figures) -> Vec<Row> {
    let metric = |text: &str| format!("{name}: {text}");
    vec![
        row(
            &metric("goodput over capacity"),
            "ratio",
            0.95,
            product.goodput,
            Some(baseline.goodput),
            product.goodput >= 0.95,
        ),
        row(
            &metric("accepted and answered past the deadline"),
            "requests",
            0.0,
            product.late,
            Some(baseline.late),
            product.late == 0.0,
        ),
        row(
            &metric("time until normal after the surge"),
            "s",
            5.0,
            product.recovery_s,
            Some(baseline.recovery_s),
            product.recovery_s <= 5.0,
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
    Row::with_verdict("surge", metric, unit, target, measured, baseline, met)
}

fn figures_of(outcomes: &[RequestOutcome], capacity: f64) -> Figures {
    let planned_in = |outcome: &&RequestOutcome, from: f64, to: f64| {
        let at = outcome.planned.at_us as f64 / 1e6;
        at >= from && at < to
    };
    // Goodput counts the responses that arrived in time during the 10 s of the full surge.
    let ended_in_surge = |outcome: &&RequestOutcome| {
        let at = (outcome.planned.at_us + outcome.took_us) as f64 / 1e6;
        (SURGE_AT..FALL_AT).contains(&at)
    };
    let in_time = outcomes.iter().filter(|outcome| outcome.is_answered() && !outcome.is_late());
    let goodput = in_time.filter(ended_in_surge).count() as f64 / (capacity * (FALL_AT - SURGE_AT));
    let late = outcomes.iter().filter(|outcome| outcome.is_late()).count() as f64;
    let before = outcomes.iter().filter(|outcome| planned_in(outcome, 1.0, RISE_AT));
    let normal_p99 = p99_ms(before);
    let recovery_s = recovery_seconds(outcomes, normal_p99);
    let unknown =
        outcomes.iter().filter(|outcome| outcome.code == Some(Code::OutcomeUnknown)).count();
    Figures { goodput, late, recovery_s, normal_p99, unknown }
}

/// Returns the time from the end of the surge to the end of the last window of 500 ms that was not normal. A
/// window is normal if 99% of its requests are answered and their p99 is at most 1.5 times the normal p99.
///
/// A window holds about 600 requests or more, so its p99 is at most the sixth slowest. In windows of 200 ms the
/// p99 was the third slowest, so a single pause of the machine within 6 s gave a recovery time of 5.6 s.
fn recovery_seconds(outcomes: &[RequestOutcome], normal_p99: f64) -> f64 {
    const WINDOW: f64 = 0.5;
    let mut last = 0.0;
    let mut from = FALL_AT;
    while from < END_AT - WINDOW / 2.0 {
        let in_window: Vec<&RequestOutcome> = outcomes
            .iter()
            .filter(|outcome| {
                let at = outcome.planned.at_us as f64 / 1e6;
                at >= from && at < from + WINDOW
            })
            .collect();
        let answered = in_window.iter().filter(|outcome| outcome.is_answered()).count();
        let answers = answered as f64 >= 0.99 * in_window.len() as f64;
        let sent = in_window.len();
        let p99 = p99_ms(in_window.into_iter());
        from += WINDOW;
        if !(answers && p99 <= 1.5 * normal_p99) {
            last = from - FALL_AT;
            log::debug!(
                "event=not_normal after_s={last:.1} sent={sent} answered={answered} p99_ms={p99:.1}"
            );
        }
    }
    last
}
