//! The time of a decision.

use std::{collections::VecDeque, time::Instant};

use {
    coriandertack_core::{
        cell::{Reach, Weights},
        message::Ask,
    },
    hdrhistogram::Histogram,
};

use super::jobs::{Jobs, MIXES, cells, fleet, place_job};

/// Ends of jobs during which decisions are measured.
const DECISIONS: usize = 20_000;

/// Returns the times of decisions in nanoseconds, in a cell that stays about 90% full.
#[must_use]
pub fn decision_times(workers: usize, seed: u64) -> Histogram<u64> {
    let fleet = fleet(workers);
    let mut cell = cells(&fleet, 1, Weights::VUKIC).remove(0);
    let mut jobs = Jobs::new(seed, MIXES[0]);
    let mut running: VecDeque<Vec<Ask>> = VecDeque::new();
    let mut times = Histogram::new(3).expect("3 digits are in the range of the library");
    let full = 0.9 * fleet.iter().map(|one| f64::from(one.millicores)).sum::<f64>();
    let mut taken = 0.0;
    let cores = |asks: &[Ask]| asks.iter().map(|ask| f64::from(ask.need.millicores)).sum::<f64>();
    let mut measured = 0;
    while measured < DECISIONS {
        let asks = jobs.job();
        while taken + cores(&asks) > full {
            let Some(ended) = running.pop_front() else { break };
            taken -= cores(&ended);
            for ask in &ended {
                cell.release(ask.lease);
            }
            measured += 1;
        }
        let began = Instant::now();
        let placed = place_job(&mut cell, &asks, Reach::Any);
        let nanos = u64::try_from(began.elapsed().as_nanos()).unwrap_or(u64::MAX);
        if placed.is_ok() {
            taken += cores(&asks);
            running.push_back(asks);
        }
        if measured > 0 {
            // `saturating_record` would cut off at the first size of the histogram.
            times.record(nanos).expect("the histogram grows with its largest value");
        }
    }
    times
}
