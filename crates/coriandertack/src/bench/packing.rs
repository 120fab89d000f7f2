//! Packing quality: utilization of the workers when the first job is refused.
//!
//! Jobs of mixed kinds arrive online, in random order. The share of the scarcest resource granted at the first
//! refusal is compared with first-fit and random placement, and the number of workers used with
//! first-fit-decreasing, an offline algorithm that knows all needs. The same is measured with the workers split
//! among owners of which a home knows only the capacity summaries. The last part measures the time of a
//! placement decision.

mod baselines;
mod churn;
mod decisions;
mod jobs;
mod split;

use {
    coriandertack_core::{
        message::AttemptSpec,
        pool::{PlacementError, Weights, WorkerFilter, WorkerPool},
        resources::Resources,
    },
    rand::SeedableRng,
    rand_chacha::ChaCha8Rng,
};

pub use self::decisions::decision_times;

use self::{
    baselines::{BaselinePool, first_fit_decreasing},
    jobs::{JobGenerator, MIXES, fleet, place_job, worker_pools},
    split::SplitOwnership,
};

use crate::bench::row::Row;

const SCENARIO: &str = "packing";

/// Minimum share of the scarcest resource granted at the first refusal, in percent.
const UTILIZATION_TARGET: f64 = 95.0;

/// Maximum number of workers used, as a multiple of the number that first-fit-decreasing uses.
const WORKERS_TARGET: f64 = 1.05;

/// Number of workers of a small deployment with several owners, and decisions between two heartbeats there.
const SMALL_FLEET: usize = 50;
const SMALL_FLEET_HEARTBEAT: usize = 20;

/// Number of workers of a large deployment, and decisions between two heartbeats there, which are 0.5 s apart at
/// 2,000 placements per second.
const LARGE_FLEET: usize = 1_000;
const LARGE_FLEET_HEARTBEAT: usize = 1_000;

/// Number of workers in the measurement with a queue that is never empty.
const SATURATED_WORKERS: usize = 200;

/// Maximum of the 99th percentile of the decision time, in milliseconds.
const DECISION_TARGET_MS: f64 = 1.0;

/// Places jobs until the first refusal or until `limit` tasks are placed, and returns the needs of the placed
/// tasks.
fn place_until_refused(
    mut jobs: JobGenerator,
    limit: usize,
    mut place: impl FnMut(&[AttemptSpec]) -> Result<(), PlacementError>,
) -> Vec<Resources> {
    let mut placed = Vec::new();
    while placed.len() < limit {
        let specs = jobs.next_job();
        if place(&specs).is_err() {
            break;
        }
        placed.extend(specs.iter().map(|spec| spec.need));
    }
    placed
}

/// Returns the number of workers that run tasks.
fn used_workers(worker_pools: &[WorkerPool]) -> usize {
    let hosts = worker_pools.iter().flat_map(WorkerPool::workers);
    hosts.filter(|(_, host)| host.granted != Resources::ZERO).count()
}

/// Returns the share of the fleet's capacity that the needs take, in percent, of the resource for which it is
/// largest.
fn scarcest_share(fleet: &[Resources], needs: &[Resources]) -> f64 {
    let components: [fn(&Resources) -> u32; 3] =
        [|one| one.millicores, |one| one.memory_mib, |one| one.accelerators];
    let sum = |amounts: &[Resources], component: fn(&Resources) -> u32| {
        amounts.iter().map(|amount| f64::from(component(amount))).sum::<f64>()
    };
    let shares = components.map(|component| sum(needs, component) / sum(fleet, component));
    100.0 * shares.into_iter().fold(0.0, f64::max)
}

/// Returns a row whose target is a lower bound if `is_minimum` is set, else an upper bound.
fn bounded_row(metric: &str, unit: &str, measured: f64, target: f64, is_minimum: bool) -> Row {
    let met = if is_minimum { measured >= target } else { measured <= target };
    Row::with_verdict(SCENARIO, metric, unit, target, measured, None, met)
}

fn with_baseline(row: Row, baseline: f64, name: &str) -> Row {
    Row { baseline: Some(baseline), baseline_name: Some(name.into()), ..row }
}

/// Compares the scheduler with the baselines on one fleet and mix.
///
/// `place` runs the scheduler with a limit on the number of tasks. It returns the needs of the placed tasks and the
/// number of workers used.
fn compare(
    name: &str,
    fleet: &[Resources],
    jobs: impl Fn() -> JobGenerator,
    place: impl Fn(usize) -> (Vec<Resources>, usize),
) -> Vec<Row> {
    let (placed, workers) = place(usize::MAX);
    let share = scarcest_share(fleet, &placed);
    let mut pool = BaselinePool::new(fleet);
    let first = scarcest_share(
        fleet,
        &place_until_refused(jobs(), usize::MAX, |specs| pool.first_fit(specs)),
    );
    let mut pool = BaselinePool::new(fleet);
    let mut rng = ChaCha8Rng::seed_from_u64(0);
    let random = place_until_refused(jobs(), usize::MAX, |specs| pool.random_fit(specs, &mut rng));
    let random = scarcest_share(fleet, &random);
    let used = bounded_row(
        &format!("{name}: scarcest resource used"),
        "%",
        share,
        UTILIZATION_TARGET,
        true,
    );
    let ffd_workers = first_fit_decreasing(fleet, &placed) as f64;
    let full = bounded_row(
        &format!("{name}: workers used"),
        "x",
        workers as f64 / ffd_workers,
        WORKERS_TARGET,
        false,
    );
    let (half, workers) = place(placed.len() / 2);
    let ffd_workers_half = first_fit_decreasing(fleet, &half) as f64;
    let half = bounded_row(
        &format!("{name}: workers used at half of the tasks"),
        "x",
        workers as f64 / ffd_workers_half,
        WORKERS_TARGET,
        false,
    );
    vec![
        with_baseline(used.clone(), first, "first-fit"),
        with_baseline(used, random, "random"),
        with_baseline(full, 1.0, "first-fit-decreasing"),
        with_baseline(half, 1.0, "first-fit-decreasing"),
    ]
}

/// Measures the mean utilization of a cell whose queue is never empty.
fn saturated(name: &str, jobs: impl Fn() -> JobGenerator, weights: Weights) -> Row {
    let fleet = fleet(SATURATED_WORKERS);
    let worker_pool = worker_pools(&fleet, 1, weights).remove(0);
    let end = |worker_pool: &mut WorkerPool, specs: &[AttemptSpec]| {
        for spec in specs {
            worker_pool.release(spec.lease);
        }
    };
    let place = |worker_pool: &mut WorkerPool, specs: &[AttemptSpec]| {
        place_job(worker_pool, specs, WorkerFilter::Any)
    };
    let measured = churn::mean_utilization(&fleet, jobs(), worker_pool, place, end);
    let first = churn::mean_utilization(
        &fleet,
        jobs(),
        BaselinePool::new(&fleet),
        BaselinePool::first_fit,
        BaselinePool::release,
    );
    let metric = format!("{name}, full queue on 200 workers: mean scarcest resource used");
    Row::without_target(SCENARIO, &metric, "%", measured, Some(("first-fit", first)))
}

/// Measures the number of requests to owners per job when a home's summaries of them are outdated.
fn owner_requests(name: &str, jobs: JobGenerator, weights: Weights) -> Row {
    let fleet = fleet(LARGE_FLEET);
    let mut split = SplitOwnership::new(&fleet, weights, LARGE_FLEET_HEARTBEAT);
    let mut count = 0;
    place_until_refused(jobs, usize::MAX, |specs| {
        count += 1;
        split.place(specs)
    });
    let metric =
        format!("{name}, 8 owners of {LARGE_FLEET} workers: requests to owners for each job");
    let measured = split.requests as f64 / f64::from(count);
    Row::without_target(SCENARIO, &metric, "requests", measured, None)
}

/// Runs the scenario.
#[must_use]
pub fn run(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (preset, weights) in [("agency", Weights::AGENCY), ("vukic", Weights::VUKIC)] {
        for mix in MIXES {
            let jobs = || JobGenerator::new(seed, mix);
            let whole = fleet(LARGE_FLEET);
            let one = |limit| {
                let mut worker_pool = worker_pools(&whole, 1, weights).remove(0);
                let placed = place_until_refused(jobs(), limit, |specs| {
                    place_job(&mut worker_pool, specs, WorkerFilter::Any)
                });
                (placed, used_workers(&[worker_pool]))
            };
            let name = format!("{preset}, {} scarce, 1 owner of {LARGE_FLEET} workers", mix.name);
            rows.extend(compare(&name, &whole, jobs, one));
            for (workers, heartbeat) in
                [(SMALL_FLEET, SMALL_FLEET_HEARTBEAT), (LARGE_FLEET, LARGE_FLEET_HEARTBEAT)]
            {
                let fleet = fleet(workers);
                let split = |limit| {
                    let mut split = SplitOwnership::new(&fleet, weights, heartbeat);
                    let placed = place_until_refused(jobs(), limit, |specs| split.place(specs));
                    (placed, used_workers(&split.worker_pools))
                };
                let name = format!("{preset}, {} scarce, 8 owners of {workers} workers", mix.name);
                rows.extend(compare(&name, &fleet, jobs, split));
            }
            let name = format!("{preset}, {} scarce", mix.name);
            rows.push(saturated(&name, jobs, weights));
            rows.push(owner_requests(&name, jobs(), weights));
        }
    }
    for workers in [1_000, 10_000] {
        let millis = decision_times(workers, seed).value_at_quantile(0.99) as f64 / 1e6;
        let metric = format!("decision time p99 at {workers} workers");
        rows.push(bounded_row(&metric, "ms", millis, DECISION_TARGET_MS, false));
    }
    rows
}
