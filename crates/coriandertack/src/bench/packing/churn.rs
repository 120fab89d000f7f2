//! Utilization of the workers while jobs end and others wait.
//!
//! Filling a cell once does not show the fragmentation that ending jobs cause. Here random jobs end, and the job at
//! the head of the queue is placed as soon as it fits, so the cell is always saturated.

use {
    coriandertack_core::{message::AttemptSpec, pool::PlacementError, resources::Resources},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

use super::{jobs::JobGenerator, scarcest_share};

/// Number of jobs that end during a run.
const ENDED_JOBS: usize = 10_000;

/// Number of ended jobs before the measurement begins, so that the initial filling does not affect it.
const WARM_UP_JOBS: usize = 2_000;

/// Returns the mean share of the scarcest resource that is in use, in percent.
pub(super) fn mean_utilization<S>(
    fleet: &[Resources],
    mut jobs: JobGenerator,
    mut state: S,
    place: impl Fn(&mut S, &[AttemptSpec]) -> Result<(), PlacementError>,
    release: impl Fn(&mut S, &[AttemptSpec]),
) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut running: Vec<Vec<AttemptSpec>> = Vec::new();
    let mut waiting = jobs.next_job();
    let mut sum = 0.0;
    for count in 0..ENDED_JOBS {
        while place(&mut state, &waiting).is_ok() {
            running.push(std::mem::replace(&mut waiting, jobs.next_job()));
        }
        if count >= WARM_UP_JOBS {
            let needs: Vec<Resources> = running.iter().flatten().map(|spec| spec.need).collect();
            sum += scarcest_share(fleet, &needs);
        }
        let ended = running.swap_remove(rng.random_range(0..running.len()));
        release(&mut state, &ended);
    }
    sum / (ENDED_JOBS - WARM_UP_JOBS) as f64
}
