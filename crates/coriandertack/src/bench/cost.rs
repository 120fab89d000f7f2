//! Control overhead: processor time, memory and traffic of entry VMs that run as processes of their own.
//!
//! All cells run at the same time and are measured over the same minute, which is the length of the
//! slowest cycles (usage, charges, long polls of workers). Processor time is the system's account of
//! each process, so other load on the machine matters little. Bytes are those of the streams between
//! processes: HTTP heads and bodies, and frames, without the headers of TCP and IP. The stand-ins count
//! them for a whole cell, so they are a mean over its VMs.

use std::time::Duration;

use {
    anyhow::Result,
    futures::future::try_join_all,
    tokio::time::{Instant, sleep, sleep_until},
};

use super::{
    fleet::{Fleet, Memory, Size, Totals},
    row::Row,
};

const SCENARIO: &str = "cost";

/// Bound on the processor time of a VM, in percent of a core.
const CPU_TARGET: f64 = 2.7;

/// Bound on the memory of a VM.
const MEMORY_TARGET_MB: f64 = 128.0;

/// Bound on the traffic of a VM.
const BYTES_TARGET: f64 = 4_096.0;

/// Length of the measurement.
const WINDOW: Duration = Duration::from_secs(60);

/// Time between the last start of a cell and the measurement.
const SETTLE: Duration = Duration::from_secs(5);

/// Jobs a minute of a busy cell: 9,400 a day. Each has one task.
const JOBS: u64 = 7;

/// Task starts a minute at the peak of the target: 600 a second.
const PEAK_STARTS: u64 = 36_000;

/// Batch tasks that run at the target, beside 1,600 tasks of services.
const TARGET_BATCH: u64 = 6_600;

/// Run time of the batch tasks that are started during the measurement.
const SHORT_MS: u64 = 1_000;

/// Tasks of one job at the peak.
const PEAK_TASKS: u64 = 10;

/// Today's cell.
const TODAY: Size = Size::of(8, 48);

/// Sizes from which the slopes are drawn.
const SLOPES: [Size; 7] = [
    Size::of(8, 10),
    Size::of(8, 50),
    Size::of(8, 200),
    Size::of(8, 1_000),
    Size::of(3, 50),
    Size::of(9, 50),
    Size::of(18, 50),
];

impl Size {
    /// Returns a busy cell: 8 tasks run on a worker at the target size, a fifth of them services.
    const fn of(vms: u64, workers: u64) -> Self {
        Self { vms, workers, services: workers * 8 / 5, batch: 0, starts: JOBS }
    }
}

/// What one VM of a cell costs.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// The cell.
    pub size: Size,
    /// Processor time of the busiest VM in percent of a core.
    pub cpu: f64,
    /// Memory of the VM with the highest peak.
    pub memory: Memory,
    /// Bytes per second with each kind of peer.
    pub bytes: Bytes,
}

/// Bytes per second of one VM.
#[derive(Clone, Copy, Debug)]
pub struct Bytes {
    log: f64,
    list: f64,
    workers: f64,
    links: f64,
}

impl Bytes {
    /// Returns the sum over all kinds of peers.
    pub fn total(&self) -> f64 {
        self.log + self.list + self.workers + self.links
    }
}

/// Runs the scenario.
///
/// # Errors
///
/// Fails if the binary of the entry VMs is missing or a cell does not start.
pub async fn run(seed: u64) -> Result<(Vec<Row>, Vec<Cost>)> {
    let idle = Size { services: 0, starts: 0, ..TODAY };
    let peak = Size { starts: PEAK_STARTS, ..Size::of(8, 200) };
    let target = |vms| Size { batch: TARGET_BATCH, ..Size::of(vms, 1_000) };
    let sizes = [idle, TODAY, peak, target(8), target(24)].into_iter().chain(SLOPES);
    let starts = sizes.zip(0..).map(|(size, number)| Fleet::start(size, number, seed));
    let fleets = try_join_all(starts).await?;
    sleep(SETTLE).await;
    let costs = try_join_all(fleets.iter().map(measure)).await?;
    let mut rows = bounded("idle", &costs[0]);
    rows.extend(bounded("busy", &costs[1]));
    rows.extend(slope(&costs[2], "600 starts/s"));
    rows.extend(costs[3..5].iter().flat_map(|cost| slope(cost, "8,200 tasks")));
    rows.extend(costs[5..].iter().flat_map(|cost| slope(cost, "slope")));
    Ok((rows, costs[5..].to_vec()))
}

async fn measure(fleet: &Fleet) -> Result<Cost> {
    let began = Instant::now();
    let before = fleet.totals().await?;
    load(fleet, began).await?;
    sleep_until(began + WINDOW).await;
    let after = fleet.totals().await?;
    let took = began.elapsed().as_secs_f64();
    Ok(cost(fleet, &before, &after, took, fleet.memory()?))
}

/// Submits the jobs of a window.
async fn load(fleet: &Fleet, began: Instant) -> Result<()> {
    let tasks = if fleet.size.starts >= PEAK_STARTS { PEAK_TASKS } else { 1 };
    let jobs = fleet.size.starts / tasks;
    let submissions = (0..jobs).map(|number| async move {
        let at = WINDOW.mul_f64(number as f64 / jobs as f64);
        sleep_until(began + at).await;
        fleet.submit(number, "batch", tasks, SHORT_MS).await
    });
    try_join_all(submissions).await?;
    Ok(())
}

fn cost(fleet: &Fleet, before: &Totals, after: &Totals, took: f64, memory: Memory) -> Cost {
    let spent = after.cpu_s.iter().zip(&before.cpu_s).map(|(after, before)| after - before);
    let cpu = spent.fold(0.0, f64::max) / took * 100.0;
    let vms = fleet.size.vms as f64;
    let rate = |before: u64, after: u64| after.saturating_sub(before) as f64 / took / vms;
    let bytes = Bytes {
        log: rate(before.log, after.log),
        list: rate(before.list, after.list),
        workers: rate(before.workers, after.workers),
        // A frame counts for the VM at either end.
        links: 2.0 * rate(before.links, after.links),
    };
    Cost { size: fleet.size, cpu, memory, bytes }
}

/// Returns the rows with a bound.
fn bounded(state: &str, cost: &Cost) -> Vec<Row> {
    let Size { vms, workers, .. } = cost.size;
    let metric = |what: &str| format!("{what}, {vms} VMs, {workers} workers, {state}");
    let bound = |what: &str, unit: &str, target, measured| {
        Row::at_most(SCENARIO, &metric(what), unit, target, measured, None)
    };
    let mut rows = vec![
        bound("processor time of the busiest VM", "% of a core", CPU_TARGET, cost.cpu),
        bound("peak memory of a VM", "MB", MEMORY_TARGET_MB, cost.memory.peak),
        bound("control traffic of a VM", "B/s", BYTES_TARGET, cost.bytes.total()),
    ];
    rows.extend(parts(cost, state));
    rows
}

/// Returns the rows of a point without bounds.
fn slope(cost: &Cost, load: &str) -> Vec<Row> {
    let Size { vms, workers, .. } = cost.size;
    let figure = |what: &str, unit: &str, measured| {
        let metric = format!("{what}, {vms} VMs, {workers} workers, {load}");
        Row::noted(SCENARIO, &metric, unit, measured, None)
    };
    let mut rows = vec![
        figure("processor time", "% of a core", cost.cpu),
        figure("memory", "MB", cost.memory.now),
        figure("peak memory", "MB", cost.memory.peak),
        figure("control traffic", "B/s", cost.bytes.total()),
    ];
    rows.extend(parts(cost, load));
    rows
}

/// Returns the traffic with each kind of peer.
fn parts(cost: &Cost, state: &str) -> Vec<Row> {
    let Size { vms, workers, .. } = cost.size;
    let bytes = &cost.bytes;
    let peers = [
        ("log service", bytes.log),
        ("VM list", bytes.list),
        ("workers", bytes.workers),
        ("other VMs", bytes.links),
    ];
    let row = |(peer, measured): (&str, f64)| {
        let metric = format!("traffic with {peer}, {vms} VMs, {workers} workers, {state}");
        Row::noted(SCENARIO, &metric, "B/s", measured, None)
    };
    peers.into_iter().map(row).collect()
}
