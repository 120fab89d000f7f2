//! The time of a decision.

use std::{collections::VecDeque, time::Instant};

use {
    coriandertack_core::{
        message::AttemptSpec,
        pool::{Weights, WorkerFilter},
    },
    hdrhistogram::Histogram,
};

use super::jobs::{Jobs, MIXES, fleet, place_job, worker_pools};

/// Ends of jobs during which decisions are measured.
const DECISIONS: usize = 20_000;

/// Returns the times of decisions in nanoseconds, in a cell that stays about 90% full.
#[must_use]
pub fn decision_times(workers: usize, seed: u64) -> Histogram<u64> {
    let fleet = fleet(workers);
    let mut worker_pool = worker_pools(&fleet, 1, Weights::VUKIC).remove(0);
    let mut jobs = Jobs::new(seed, MIXES[0]);
    let mut running: VecDeque<Vec<AttemptSpec>> = VecDeque::new();
    let mut times = Histogram::new(3).expect("3 digits are in the range of the library");
    let full = 0.9 * fleet.iter().map(|one| f64::from(one.millicores)).sum::<f64>();
    let mut taken = 0.0;
    let cores = |specs: &[AttemptSpec]| {
        specs.iter().map(|spec| f64::from(spec.need.millicores)).sum::<f64>()
    };
    let mut measured = 0;
    while measured < DECISIONS {
        let specs = jobs.job();
        while taken + cores(&specs) > full {
            let Some(ended) = running.pop_front() else { break };
            taken -= cores(&ended);
            for spec in &ended {
                worker_pool.release(spec.lease);
            }
            measured += 1;
        }
        let began = Instant::now();
        let placed = place_job(&mut worker_pool, &specs, WorkerFilter::Any);
        let nanos = u64::try_from(began.elapsed().as_nanos()).unwrap_or(u64::MAX);
        if placed.is_ok() {
            taken += cores(&specs);
            running.push_back(specs);
        }
        if measured > 0 {
            // `saturating_record` would cut off at the first size of the histogram.
            times.record(nanos).expect("the histogram grows with its largest value");
        }
    }
    times
}
