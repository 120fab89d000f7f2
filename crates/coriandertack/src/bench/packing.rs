//! Packing: how full the workers are when the first job is refused.
//!
//! Jobs of mixed kinds arrive in random order, and nothing is known of later ones. The share of the
//! scarcest resource that is granted at the first refusal is compared with first-fit and random
//! placement, and the workers used with first-fit-decreasing, which knows all sizes. A second
//! part divides the workers among owners that a home knows only by their summaries, and a third
//! measures the time of a decision.
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
    baselines::{Pool, decreasing},
    jobs::{Jobs, MIXES, fleet, place_job, worker_pools},
    split::Split,
};

use crate::bench::row::Row;

const SCENARIO: &str = "packing";

/// Least share of the scarcest resource at the first refusal, in percent.
const USED_TARGET: f64 = 95.0;

/// Most workers used, as a multiple of those that first-fit-decreasing uses.
const WORKERS_TARGET: f64 = 1.05;

/// Workers of a small deployment with several owners, and decisions between two heartbeats there.
const SMALL: usize = 50;
const SMALL_HEARTBEAT: usize = 20;

/// Workers of a large deployment, and decisions between two heartbeats there: half a second at 2,000
/// placements per second.
const LARGE: usize = 1_000;
const LARGE_HEARTBEAT: usize = 1_000;

/// Workers in the part with a queue that is never empty.
const SATURATED: usize = 200;

/// Longest decision at the 99th percentile, in milliseconds.
const DECISION_TARGET: f64 = 1.0;

/// Places jobs until the first refusal, or until `limit` tasks are placed. Returns their needs.
fn fill(
    mut jobs: Jobs,
    limit: usize,
    mut place: impl FnMut(&[AttemptSpec]) -> Result<(), PlacementError>,
) -> Vec<Resources> {
    let mut placed = Vec::new();
    while placed.len() < limit {
        let specs = jobs.job();
        if place(&specs).is_err() {
            break;
        }
        placed.extend(specs.iter().map(|spec| spec.need));
    }
    placed
}

/// Returns the number of workers with tasks.
fn used(worker_pools: &[WorkerPool]) -> usize {
    let hosts = worker_pools.iter().flat_map(WorkerPool::workers);
    hosts.filter(|(_, host)| host.granted != Resources::ZERO).count()
}

/// Returns the largest share of a resource of the fleet that the needs take, in percent.
fn scarcest(fleet: &[Resources], needs: &[Resources]) -> f64 {
    let parts: [fn(&Resources) -> u32; 3] =
        [|one| one.millicores, |one| one.memory_mib, |one| one.accelerators];
    let sum = |amounts: &[Resources], part: fn(&Resources) -> u32| {
        amounts.iter().map(|amount| f64::from(part(amount))).sum::<f64>()
    };
    let shares = parts.map(|part| sum(needs, part) / sum(fleet, part));
    100.0 * shares.into_iter().fold(0.0, f64::max)
}

/// Returns a row with a bound from below or from above.
fn row(metric: &str, unit: &str, measured: f64, target: f64, least: bool) -> Row {
    let met = if least { measured >= target } else { measured <= target };
    Row::judged(SCENARIO, metric, unit, target, measured, None, met)
}

fn against(row: Row, baseline: f64, name: &str) -> Row {
    Row { baseline: Some(baseline), baseline_name: Some(name.into()), ..row }
}

/// Measures one fleet and mix. `place` is the product; it returns the needs placed and the workers used.
fn compare(
    name: &str,
    fleet: &[Resources],
    jobs: impl Fn() -> Jobs,
    place: impl Fn(usize) -> (Vec<Resources>, usize),
) -> Vec<Row> {
    let (placed, workers) = place(usize::MAX);
    let share = scarcest(fleet, &placed);
    let mut pool = Pool::new(fleet);
    let first = scarcest(fleet, &fill(jobs(), usize::MAX, |specs| pool.first_fit(specs)));
    let mut pool = Pool::new(fleet);
    let mut rng = ChaCha8Rng::seed_from_u64(0);
    let random = fill(jobs(), usize::MAX, |specs| pool.random_fit(specs, &mut rng));
    let random = scarcest(fleet, &random);
    let used = row(&format!("{name}: scarcest resource used"), "%", share, USED_TARGET, true);
    let known = decreasing(fleet, &placed) as f64;
    let full =
        row(&format!("{name}: workers used"), "x", workers as f64 / known, WORKERS_TARGET, false);
    let (half, workers) = place(placed.len() / 2);
    let known_half = decreasing(fleet, &half) as f64;
    let half = row(
        &format!("{name}: workers used at half of the tasks"),
        "x",
        workers as f64 / known_half,
        WORKERS_TARGET,
        false,
    );
    vec![
        against(used.clone(), first, "first-fit"),
        against(used, random, "random"),
        against(full, 1.0, "first-fit-decreasing"),
        against(half, 1.0, "first-fit-decreasing"),
    ]
}

/// Measures a cell whose queue is never empty.
fn saturated(name: &str, jobs: impl Fn() -> Jobs, weights: Weights) -> Row {
    let fleet = fleet(SATURATED);
    let worker_pool = worker_pools(&fleet, 1, weights).remove(0);
    let end = |worker_pool: &mut WorkerPool, specs: &[AttemptSpec]| {
        for spec in specs {
            worker_pool.release(spec.lease);
        }
    };
    let place = |worker_pool: &mut WorkerPool, specs: &[AttemptSpec]| {
        place_job(worker_pool, specs, WorkerFilter::Any)
    };
    let measured = churn::mean_used(&fleet, jobs(), worker_pool, place, end);
    let first = churn::mean_used(&fleet, jobs(), Pool::new(&fleet), Pool::first_fit, Pool::end);
    let metric = format!("{name}, full queue on 200 workers: mean scarcest resource used");
    Row::noted(SCENARIO, &metric, "%", measured, Some(("first-fit", first)))
}

/// Measures how often a home asks owners for each job, with summaries that are old.
fn requests(name: &str, jobs: Jobs, weights: Weights) -> Row {
    let fleet = fleet(LARGE);
    let mut split = Split::new(&fleet, weights, LARGE_HEARTBEAT);
    let mut count = 0;
    fill(jobs, usize::MAX, |specs| {
        count += 1;
        split.place(specs)
    });
    let metric = format!("{name}, 8 owners of {LARGE} workers: requests to owners for each job");
    let measured = split.requests as f64 / f64::from(count);
    Row::noted(SCENARIO, &metric, "requests", measured, None)
}

/// Runs the packing experiment.
#[must_use]
pub fn run(seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (preset, weights) in [("agency", Weights::AGENCY), ("vukic", Weights::VUKIC)] {
        for mix in MIXES {
            let jobs = || Jobs::new(seed, mix);
            let whole = fleet(LARGE);
            let one = |limit| {
                let mut worker_pool = worker_pools(&whole, 1, weights).remove(0);
                let placed = fill(jobs(), limit, |specs| {
                    place_job(&mut worker_pool, specs, WorkerFilter::Any)
                });
                (placed, used(&[worker_pool]))
            };
            let name = format!("{preset}, {} scarce, 1 owner of {LARGE} workers", mix.name);
            rows.extend(compare(&name, &whole, jobs, one));
            for (workers, heartbeat) in [(SMALL, SMALL_HEARTBEAT), (LARGE, LARGE_HEARTBEAT)] {
                let fleet = fleet(workers);
                let split = |limit| {
                    let mut split = Split::new(&fleet, weights, heartbeat);
                    let placed = fill(jobs(), limit, |specs| split.place(specs));
                    (placed, used(&split.worker_pools))
                };
                let name = format!("{preset}, {} scarce, 8 owners of {workers} workers", mix.name);
                rows.extend(compare(&name, &fleet, jobs, split));
            }
            let name = format!("{preset}, {} scarce", mix.name);
            rows.push(saturated(&name, jobs, weights));
            rows.push(requests(&name, jobs(), weights));
        }
    }
    for workers in [1_000, 10_000] {
        let millis = decision_times(workers, seed).value_at_quantile(0.99) as f64 / 1e6;
        let metric = format!("decision time p99 at {workers} workers");
        rows.push(row(&metric, "ms", millis, DECISION_TARGET, false));
    }
    rows
}
