//! Time of a placement decision.

use std::{collections::VecDeque, time::Instant};

use {
    coriandertack_core::{
        message::AttemptSpec,
        pool::{Weights, WorkerFilter},
    },
    hdrhistogram::Histogram,
};

use super::jobs::{JobGenerator, MIXES, fleet, place_job, worker_pools};

/// Number of ended jobs during which decisions are timed.
const ENDED_JOBS: usize = 20_000;

/// Returns the decision times in nanoseconds in a pool that is kept about 90% full.
#[must_use]
pub fn decision_times(workers: usize, seed: u64) -> Histogram<u64> {
    let fleet = fleet(workers);
    let mut worker_pool = worker_pools(&fleet, 1, Weights::VUKIC).remove(0);
    let mut jobs = JobGenerator::new(seed, MIXES[0]);
    let mut running: VecDeque<Vec<AttemptSpec>> = VecDeque::new();
    let mut times = Histogram::new(3).expect("the histogram supports 3 significant digits");
    let target_millicores = 0.9 * fleet.iter().map(|one| f64::from(one.millicores)).sum::<f64>();
    let mut used_millicores = 0.0;
    let millicores_of = |specs: &[AttemptSpec]| {
        specs.iter().map(|spec| f64::from(spec.need.millicores)).sum::<f64>()
    };
    let mut ended_jobs = 0;
    while ended_jobs < ENDED_JOBS {
        let specs = jobs.next_job();
        while used_millicores + millicores_of(&specs) > target_millicores {
            let Some(ended) = running.pop_front() else { break };
            used_millicores -= millicores_of(&ended);
            for spec in &ended {
                worker_pool.release(spec.lease);
            }
            ended_jobs += 1;
        }
        let started = Instant::now();
        let placed = place_job(&mut worker_pool, &specs, WorkerFilter::Any);
        let nanos = u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX);
        if placed.is_ok() {
            used_millicores += millicores_of(&specs);
            running.push_back(specs);
        }
        if ended_jobs > 0 {
            // `saturating_record` would clamp values to the initial range of the histogram.
            times.record(nanos).expect("an auto-resizing histogram accepts every value");
        }
    }
    times
}
