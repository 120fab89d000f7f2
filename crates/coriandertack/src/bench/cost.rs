//! Control-plane overhead: processor time, memory and traffic of entry VMs that run as separate processes.
//!
//! All cells run at the same time and are measured over the same minute, which is the period of the slowest cycles
//! (usage, charges and the workers' long polls). Processor time is read per process from the operating system, so
//! other load on the machine has little influence. Traffic is the payload of the TCP streams: HTTP headers and
//! bodies, and frames, without TCP and IP headers. The stand-ins count it for a whole cell, so the figure is the
//! mean over the VMs of the cell.

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

/// Target for the processor time of a VM, in percent of a core.
const CPU_TARGET: f64 = 2.7;

/// Target for the peak memory of a VM, in MB.
const MEMORY_TARGET_MB: f64 = 128.0;

/// Target for the control traffic of a VM, in bytes per second.
const TRAFFIC_TARGET: f64 = 4_096.0;

/// Length of the measurement window.
const WINDOW: Duration = Duration::from_secs(60);

/// Time between the start of the last cell and the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Jobs per minute of a busy cell, for 9,400 jobs per day. Each job has one task.
const JOBS_PER_MINUTE: u64 = 7;

/// Task starts per minute at the target's peak of 600 per second.
const PEAK_STARTS_PER_MINUTE: u64 = 36_000;

/// Number of batch tasks that run at the target size, in addition to 1,600 service tasks.
const TARGET_BATCH_TASKS: u64 = 6_600;

/// Run time of the batch tasks started during the measurement, in milliseconds.
const SHORT_MS: u64 = 1_000;

/// Tasks per job at the peak.
const PEAK_TASKS_PER_JOB: u64 = 10;

/// Size of the current production cell.
const CURRENT_CELL: Size = Size::busy(8, 48);

/// Cell sizes that show how the cost grows with the number of workers and of VMs.
const SCALING_SIZES: [Size; 7] = [
    Size::busy(8, 10),
    Size::busy(8, 50),
    Size::busy(8, 200),
    Size::busy(8, 1_000),
    Size::busy(3, 50),
    Size::busy(9, 50),
    Size::busy(18, 50),
];

impl Size {
    /// Returns a busy cell with 1.6 service tasks per worker: at the target size a worker runs about 8 tasks, a
    /// fifth of them services.
    const fn busy(vms: u64, workers: u64) -> Self {
        Self { vms, workers, services: workers * 8 / 5, batch: 0, starts: JOBS_PER_MINUTE }
    }
}

/// Resource use of one VM of a cell.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Size and load of the cell.
    pub size: Size,
    /// Processor time of the busiest VM, in percent of a core.
    pub cpu: f64,
    /// Memory of the VM with the highest peak.
    pub memory: Memory,
    /// Traffic of a VM with each kind of peer.
    pub traffic: Traffic,
}

/// Mean traffic of a VM with each kind of peer, in bytes per second.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    log: f64,
    list: f64,
    workers: f64,
    links: f64,
}

impl Traffic {
    /// Returns the traffic with all peers, in bytes per second.
    pub fn total(&self) -> f64 {
        self.log + self.list + self.workers + self.links
    }
}

/// Runs the scenario.
///
/// # Errors
///
/// Fails if the binary of the entry VM is missing or a cell does not start.
pub async fn run(seed: u64) -> Result<(Vec<Row>, Vec<Cost>)> {
    let idle = Size { services: 0, starts: 0, ..CURRENT_CELL };
    let peak = Size { starts: PEAK_STARTS_PER_MINUTE, ..Size::busy(8, 200) };
    let target = |vms| Size { batch: TARGET_BATCH_TASKS, ..Size::busy(vms, 1_000) };
    let sizes = [idle, CURRENT_CELL, peak, target(8), target(24)].into_iter().chain(SCALING_SIZES);
    let starts = sizes.zip(0..).map(|(size, number)| Fleet::start(size, number, seed));
    let fleets = try_join_all(starts).await?;
    sleep(SETTLE_TIME).await;
    let costs = try_join_all(fleets.iter().map(measure)).await?;
    let mut rows = rows_with_target("idle", &costs[0]);
    rows.extend(rows_with_target("busy", &costs[1]));
    rows.extend(rows_without_target(&costs[2], "600 starts/s"));
    rows.extend(costs[3..5].iter().flat_map(|cost| rows_without_target(cost, "8,200 tasks")));
    rows.extend(costs[5..].iter().flat_map(|cost| rows_without_target(cost, "slope")));
    Ok((rows, costs[5..].to_vec()))
}

async fn measure(fleet: &Fleet) -> Result<Cost> {
    let started = Instant::now();
    let before = fleet.totals().await?;
    submit_jobs(fleet, started).await?;
    sleep_until(started + WINDOW).await;
    let after = fleet.totals().await?;
    let took = started.elapsed().as_secs_f64();
    Ok(cost(fleet, &before, &after, took, fleet.memory()?))
}

/// Submits jobs at a constant rate over the measurement window.
async fn submit_jobs(fleet: &Fleet, started: Instant) -> Result<()> {
    let tasks = if fleet.size.starts >= PEAK_STARTS_PER_MINUTE { PEAK_TASKS_PER_JOB } else { 1 };
    let jobs = fleet.size.starts / tasks;
    let submissions = (0..jobs).map(|number| async move {
        let at = WINDOW.mul_f64(number as f64 / jobs as f64);
        sleep_until(started + at).await;
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
    let traffic = Traffic {
        log: rate(before.log, after.log),
        list: rate(before.list, after.list),
        workers: rate(before.workers, after.workers),
        // Each frame counts for the sending and for the receiving VM.
        links: 2.0 * rate(before.links, after.links),
    };
    Cost { size: fleet.size, cpu, memory, traffic }
}

/// Returns the rows with targets for one cell, followed by its traffic per kind of peer.
fn rows_with_target(state: &str, cost: &Cost) -> Vec<Row> {
    let Size { vms, workers, .. } = cost.size;
    let metric = |what: &str| format!("{what}, {vms} VMs, {workers} workers, {state}");
    let row = |what: &str, unit: &str, target, measured| {
        Row::at_most(SCENARIO, &metric(what), unit, target, measured, None)
    };
    let mut rows = vec![
        row("processor time of the busiest VM", "% of a core", CPU_TARGET, cost.cpu),
        row("peak memory of a VM", "MB", MEMORY_TARGET_MB, cost.memory.peak),
        row("control traffic of a VM", "B/s", TRAFFIC_TARGET, cost.traffic.total()),
    ];
    rows.extend(traffic_rows(cost, state));
    rows
}

/// Returns the rows without targets for one cell, followed by its traffic per kind of peer.
fn rows_without_target(cost: &Cost, load: &str) -> Vec<Row> {
    let Size { vms, workers, .. } = cost.size;
    let row = |what: &str, unit: &str, measured| {
        let metric = format!("{what}, {vms} VMs, {workers} workers, {load}");
        Row::without_target(SCENARIO, &metric, unit, measured, None)
    };
    let mut rows = vec![
        row("processor time", "% of a core", cost.cpu),
        row("memory", "MB", cost.memory.now),
        row("peak memory", "MB", cost.memory.peak),
        row("control traffic", "B/s", cost.traffic.total()),
    ];
    rows.extend(traffic_rows(cost, load));
    rows
}

/// Returns the rows with the traffic per kind of peer.
fn traffic_rows(cost: &Cost, state: &str) -> Vec<Row> {
    let Size { vms, workers, .. } = cost.size;
    let traffic = &cost.traffic;
    let peers = [
        ("log service", traffic.log),
        ("VM list", traffic.list),
        ("workers", traffic.workers),
        ("other VMs", traffic.links),
    ];
    let row = |(peer, measured): (&str, f64)| {
        let metric = format!("traffic with {peer}, {vms} VMs, {workers} workers, {state}");
        Row::without_target(SCENARIO, &metric, "B/s", measured, None)
    };
    peers.into_iter().map(row).collect()
}
