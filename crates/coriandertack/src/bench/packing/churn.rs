//! How full the workers stay while jobs end and others wait.
//!
//! A cell that is filled once says nothing of the holes that ends leave behind. Here random jobs end,
//! and the first job that waits is placed as soon as it fits, so that the cell is always short
//! of room.

use {
    coriandertack_core::{message::AttemptSpec, pool::PlacementError, resources::Resources},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

use super::{jobs::Jobs, scarcest};

/// Jobs that end.
const ENDS: usize = 10_000;

/// Ends before the measurement begins, so that nothing is left of the first filling.
const WARM_UP: usize = 2_000;

/// Returns the mean share of the scarcest resource, in percent.
pub(super) fn mean_used<S>(
    fleet: &[Resources],
    mut jobs: Jobs,
    mut state: S,
    place: impl Fn(&mut S, &[AttemptSpec]) -> Result<(), PlacementError>,
    end: impl Fn(&mut S, &[AttemptSpec]),
) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut running: Vec<Vec<AttemptSpec>> = Vec::new();
    let mut waiting = jobs.job();
    let mut sum = 0.0;
    for count in 0..ENDS {
        while place(&mut state, &waiting).is_ok() {
            running.push(std::mem::replace(&mut waiting, jobs.job()));
        }
        if count >= WARM_UP {
            let needs: Vec<Resources> = running.iter().flatten().map(|spec| spec.need).collect();
            sum += scarcest(fleet, &needs);
        }
        let ended = running.swap_remove(rng.random_range(0..running.len()));
        end(&mut state, &ended);
    }
    sum / (ENDS - WARM_UP) as f64
}
