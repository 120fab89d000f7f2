//! Demand that triples within a second.
//!
//! Each deployment's usual demand takes 60% of its workers' capacity. It rises to three times as much
//! within 1 s, stays there for 10 s and falls back. Vukic's shape is the dawn booking rush, the Agency's
//! the price checks of a market day.

use std::{sync::Arc, time::Duration};

use {coriandertack_core::code::Code, rand::SeedableRng, rand_chacha::ChaCha8Rng};

use super::{
    cell::{Cell, Fifo},
    load::{Kind, Sample, p99_ms, plan, send},
    row::Row,
};

/// Part of the capacity that the usual demand takes.
const USUAL: f64 = 0.6;

/// Factor of the surge.
const FACTOR: f64 = 3.0;

/// When the demand starts to rise, in seconds; what comes before is the normal state.
const RISE_AT: f64 = 2.0;
const SURGE_AT: f64 = RISE_AT + 1.0;
const FALL_AT: f64 = SURGE_AT + 10.0;
const END_AT: f64 = FALL_AT + 6.0;

const BASELINE: &str = "one FIFO queue without admission control";

/// Demand on one deployment.
#[derive(Clone, Copy, Debug)]
struct Shape {
    name: &'static str,
    workers: usize,
    kind: Kind,
}

const VUKIC: Shape = Shape {
    name: "vukic dawn booking rush",
    workers: 10,
    kind: Kind { class: "", work_us: 40_000, deadline_ms: 400 },
};

const AGENCY: Shape = Shape {
    name: "agency market-day price checks",
    workers: 4,
    kind: Kind { class: "", work_us: 10_000, deadline_ms: 100 },
};

/// Figures of one run.
#[derive(Clone, Copy, Debug)]
struct Figures {
    goodput: f64,
    late: f64,
    recovery_s: f64,
    usual_p99: f64,
    /// Requests that were sent to a worker and not answered by their deadline.
    unknown: usize,
}

/// Runs the scenario for both deployments, the product first and then the baseline.
pub async fn run(seed: u64) -> Vec<Row> {
    let (vukic, agency) = tokio::join!(run_shape(VUKIC, seed), run_shape(AGENCY, seed + 1));
    [vukic, agency]
        .into_iter()
        .flat_map(|rows| rows.unwrap_or_else(|error| vec![failed(&error)]))
        .collect()
}

fn failed(error: &anyhow::Error) -> Row {
    eprintln!("event=bench_failed scenario=surge error=\"{error:#}\"");
    row("surge could not run", "runs", 1.0, 0.0, None, false)
}

async fn run_shape(shape: Shape, seed: u64) -> anyhow::Result<Vec<Row>> {
    let cell = Cell::start(shape.workers).await?;
    let body = |number| shape.kind.body(&mut ChaCha8Rng::seed_from_u64(seed + number));
    let capacity = cell.capacity(body, Duration::from_secs(2)).await;
    let planned = plan(shape.kind, END_AT, seed, |at| capacity * USUAL * factor(at));
    let router = cell.router().await?;
    let ours = send(planned.clone(), seed, |call| {
        let router = Arc::clone(&router);
        async move { router.call(call).await }
    });
    let ours = figures(&ours.await, capacity);
    drop(router);
    let fifo = Fifo::start(&cell);
    let base = send(planned, seed, |call| {
        let fifo = fifo.clone();
        async move { fifo.send(call).await }
    });
    let base = figures(&base.await, capacity);
    log::info!(
        "event=surge shape=\"{}\" capacity={capacity:.0} usual_p99_ms={:.1} unknown={}",
        shape.name,
        ours.usual_p99,
        ours.unknown
    );
    Ok(rows(shape.name, ours, base))
}

fn factor(at: f64) -> f64 {
    match at {
        at if at < RISE_AT => 1.0,
        at if at < SURGE_AT => 1.0 + (FACTOR - 1.0) * (at - RISE_AT),
        at if at < FALL_AT => FACTOR,
        _ => 1.0,
    }
}

fn rows(name: &str, ours: Figures, base: Figures) -> Vec<Row> {
    let metric = |text: &str| format!("{name}: {text}");
    vec![
        row(
            &metric("goodput over capacity"),
            "ratio",
            0.95,
            ours.goodput,
            Some(base.goodput),
            ours.goodput >= 0.95,
        ),
        row(
            &metric("accepted and answered past the deadline"),
            "requests",
            0.0,
            ours.late,
            Some(base.late),
            ours.late == 0.0,
        ),
        row(
            &metric("time until normal after the surge"),
            "s",
            5.0,
            ours.recovery_s,
            Some(base.recovery_s),
            ours.recovery_s <= 5.0,
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
    let baseline = baseline.map(|measured| (BASELINE, measured));
    Row::judged("surge", metric, unit, target, measured, baseline, met)
}

fn figures(samples: &[Sample], capacity: f64) -> Figures {
    let planned_in = |sample: &&Sample, from: f64, to: f64| {
        let at = sample.planned.at_us as f64 / 1e6;
        at >= from && at < to
    };
    // Goodput counts answers by the time at which they came, in the 10 s at the full surge.
    let came_in_surge = |sample: &&Sample| {
        let at = (sample.planned.at_us + sample.took_us) as f64 / 1e6;
        (SURGE_AT..FALL_AT).contains(&at)
    };
    let good = samples.iter().filter(|sample| sample.is_answered() && !sample.is_late());
    let goodput = good.filter(came_in_surge).count() as f64 / (capacity * (FALL_AT - SURGE_AT));
    let late = samples.iter().filter(|sample| sample.is_late()).count() as f64;
    let before = samples.iter().filter(|sample| planned_in(sample, 1.0, RISE_AT));
    let usual_p99 = p99_ms(before);
    let recovery_s = recovery(samples, usual_p99);
    let unknown = samples.iter().filter(|sample| sample.code == Some(Code::OutcomeUnknown)).count();
    Figures { goodput, late, recovery_s, usual_p99, unknown }
}

/// Returns how long after the surge the service was last not normal, in windows of 500 ms. Normal
/// means that 99% are answered and that the p99 is at most 1.5 times the usual one.
///
/// A window holds some 600 requests or more, so the p99 is the sixth slowest or a faster one. In windows of
/// 200 ms it was the third slowest, and one pause of the machine in 6 s counted as 5.6 s.
fn recovery(samples: &[Sample], usual_p99: f64) -> f64 {
    const WINDOW: f64 = 0.5;
    let mut last = 0.0;
    let mut from = FALL_AT;
    while from < END_AT - WINDOW / 2.0 {
        let of_window: Vec<&Sample> = samples
            .iter()
            .filter(|sample| {
                let at = sample.planned.at_us as f64 / 1e6;
                at >= from && at < from + WINDOW
            })
            .collect();
        let answered = of_window.iter().filter(|sample| sample.is_answered()).count();
        let answers = answered as f64 >= 0.99 * of_window.len() as f64;
        let sent = of_window.len();
        let p99 = p99_ms(of_window.into_iter());
        from += WINDOW;
        if !(answers && p99 <= 1.5 * usual_p99) {
            last = from - FALL_AT;
            log::debug!(
                "event=not_normal after_s={last:.1} sent={sent} answered={answered} p99_ms={p99:.1}"
            );
        }
    }
    last
}
