//! Short work beside stragglers.
//!
//! Short requests take 30% of the slots. In the second run 2% of the requests take 100 times as long,
//! which is another 60% of the slots. Vukic's stragglers are planning runs beside quotes, the
//! Agency's are monthly settlements beside herders' questions.

use std::{future::Future, sync::Arc};

use coriandertack_core::{
    code::Code,
    message::{Call, CallResponse},
};

use super::{
    cell::{Cell, Fifo},
    load::{Kind, Planned, Sample, p99_ms, plan, send},
    row::Row,
};

/// Part of the slots that short requests take.
const SHORT_LOAD: f64 = 0.3;

/// Stragglers among all requests.
const STRAGGLERS: f64 = 0.02;

/// Length of a straggler relative to a short request.
const LENGTH: u64 = 100;

/// Length of a run in seconds.
const SPAN: f64 = 12.0;

/// What is left out of the figures at the start, in microseconds: the classes are learned then.
const WARM_UP_US: u64 = 2_000_000;

const BASELINE: &str = "one FIFO queue without lanes";

/// Demand on one deployment.
#[derive(Clone, Copy, Debug)]
struct Shape {
    name: &'static str,
    workers: usize,
    short: Kind,
    straggler: &'static str,
}

const VUKIC: Shape = Shape {
    name: "vukic quotes beside planning",
    workers: 5,
    short: Kind { class: "quote", work_us: 10_000, deadline_ms: 2_000 },
    straggler: "planning",
};

const AGENCY: Shape = Shape {
    name: "agency questions beside settlements",
    workers: 4,
    short: Kind { class: "question", work_us: 6_000, deadline_ms: 2_000 },
    straggler: "settlement",
};

/// Figures of one way to serve the requests.
#[derive(Clone, Copy, Debug)]
struct Figures {
    ratio: f64,
    p99_ms: f64,
    answered: f64,
}

/// Runs the scenario for both deployments, the product first and then the baseline.
pub async fn run(seed: u64) -> Vec<Row> {
    let (vukic, agency) = tokio::join!(run_shape(VUKIC, seed), run_shape(AGENCY, seed + 1));
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

async fn run_shape(shape: Shape, seed: u64) -> anyhow::Result<Vec<Row>> {
    let cell = Cell::start(shape.workers).await?;
    let (alone, beside) = plans(&shape, cell.slots(), seed);
    let router = cell.router().await?;
    let ours = measure(&shape, &alone, &beside, seed, |call| {
        let router = Arc::clone(&router);
        async move { router.call(call).await }
    });
    let ours = ours.await;
    let fifo = Fifo::start(&cell);
    let base = measure(&shape, &alone, &beside, seed, |call| {
        let fifo = fifo.clone();
        async move { fifo.send(call).await }
    });
    let base = base.await;
    Ok(rows(shape.name, ours, base))
}

/// Returns the short requests alone, and with stragglers among them.
fn plans(shape: &Shape, slots: usize, seed: u64) -> (Vec<Planned>, Vec<Planned>) {
    let rate = SHORT_LOAD * slots as f64 * 1e6 / shape.short.work_us as f64;
    let short = plan(shape.short, SPAN, seed, |_| rate);
    let straggler = Kind {
        class: shape.straggler,
        work_us: shape.short.work_us * LENGTH,
        deadline_ms: 20 * LENGTH * shape.short.work_us / 1_000,
    };
    let long = plan(straggler, SPAN, seed + 7, |_| rate * STRAGGLERS / (1.0 - STRAGGLERS));
    (short.clone(), [short, long].concat())
}

async fn measure<F, A>(
    shape: &Shape,
    alone: &[Planned],
    beside: &[Planned],
    seed: u64,
    with: F,
) -> Figures
where
    F: Fn(Call) -> A,
    A: Future<Output = Result<CallResponse, Code>> + Send + 'static,
{
    let alone = send(alone.to_vec(), seed, &with).await;
    let beside = send(beside.to_vec(), seed, &with).await;
    let short = |sample: &&Sample| {
        sample.planned.kind.class == shape.short.class && sample.planned.at_us >= WARM_UP_US
    };
    let p99_alone = p99_ms(alone.iter().filter(short));
    let p99_ms = p99_ms(beside.iter().filter(short));
    let all = beside.iter().filter(short).count();
    let answered = beside.iter().filter(short).filter(|sample| sample.is_answered()).count();
    let long = beside.iter().filter(|sample| sample.planned.kind.class == shape.straggler);
    let (served, stragglers) = long
        .fold((0, 0), |(served, all), sample| (served + u32::from(sample.is_answered()), all + 1));
    log::info!(
        "event=blocking shape=\"{}\" alone_ms={p99_alone:.2} beside_ms={p99_ms:.2} \
         stragglers={stragglers} served={served}",
        shape.name
    );
    Figures { ratio: p99_ms / p99_alone, p99_ms, answered: answered as f64 / all.max(1) as f64 }
}

fn rows(name: &str, ours: Figures, base: Figures) -> Vec<Row> {
    let metric = |text: &str| format!("{name}: {text}");
    let quick = ours.ratio <= 1.5;
    vec![
        row(
            &metric("short p99 beside stragglers over alone"),
            "ratio",
            1.5,
            ours.ratio,
            Some(base.ratio),
            quick,
        ),
        row(
            &metric("short p99 beside stragglers"),
            "ms",
            1.5 * ours.p99_ms / ours.ratio,
            ours.p99_ms,
            Some(base.p99_ms),
            quick,
        ),
        row(
            &metric("short requests answered beside stragglers"),
            "ratio",
            0.999,
            ours.answered,
            Some(base.answered),
            ours.answered >= 0.999,
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
    Row::judged("blocking", metric, unit, target, measured, baseline, met)
}
