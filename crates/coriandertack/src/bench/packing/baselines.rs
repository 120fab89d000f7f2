//! Placement algorithms that serve as baselines.

use std::collections::HashMap;

use {
    coriandertack_core::{
        keys::LeaseId, message::AttemptSpec, pool::PlacementError, resources::Resources,
    },
    rand::seq::IteratorRandom,
    rand_chacha::ChaCha8Rng,
};

use super::jobs::ACCELERATED;

/// Pool of workers with their free capacity, without racks, zones or classes.
pub(super) struct BaselinePool {
    free: Vec<Resources>,
    placements: HashMap<LeaseId, usize>,
}

impl BaselinePool {
    pub(super) fn new(fleet: &[Resources]) -> Self {
        Self { free: fleet.to_vec(), placements: HashMap::new() }
    }

    /// Places each task of a job on the first worker with room, or none of the tasks.
    pub(super) fn first_fit(&mut self, specs: &[AttemptSpec]) -> Result<(), PlacementError> {
        self.place(specs, |free, need| free.iter().position(|room| need.fits(*room)))
    }

    /// Places each task of a job on a random worker with room, or none of the tasks.
    pub(super) fn random_fit(
        &mut self,
        specs: &[AttemptSpec],
        rng: &mut ChaCha8Rng,
    ) -> Result<(), PlacementError> {
        self.place(specs, |free, need| {
            let fitting = (0..free.len()).filter(|&worker| need.fits(free[worker]));
            fitting.choose(rng)
        })
    }

    fn place(
        &mut self,
        specs: &[AttemptSpec],
        mut choose: impl FnMut(&[Resources], Resources) -> Option<usize>,
    ) -> Result<(), PlacementError> {
        for (count, spec) in specs.iter().enumerate() {
            let Some(worker) = choose(&self.free, spec.need) else {
                self.release(&specs[..count]);
                return Err(PlacementError::Full);
            };
            self.free[worker] = self.free[worker].saturating_sub(spec.need);
            self.placements.insert(spec.lease, worker);
        }
        Ok(())
    }

    /// Releases the capacity of tasks that have ended.
    pub(super) fn release(&mut self, specs: &[AttemptSpec]) {
        for spec in specs {
            if let Some(worker) = self.placements.remove(&spec.lease) {
                self.free[worker] += spec.need;
            }
        }
    }
}

/// Returns the number of workers that first-fit-decreasing uses.
///
/// It knows all needs in advance and ignores spread and gangs. Work that needs no accelerators goes to workers
/// without them first.
pub(super) fn first_fit_decreasing(fleet: &[Resources], placed: &[Resources]) -> usize {
    let mut free: Vec<Resources> = fleet.to_vec();
    free.sort_by_key(|capacity| capacity.accelerators);
    // Extra workers take what does not fit into the fleet.
    free.extend(vec![ACCELERATED; fleet.len() / 2]);
    let whole = free.clone();
    let mut needs = placed.to_vec();
    needs.sort_by(|one, two| {
        let size = |need: &Resources| (need.accelerators > 0, need.dominant_share(ACCELERATED));
        let (one, two) = (size(one), size(two));
        two.0.cmp(&one.0).then(two.1.total_cmp(&one.1))
    });
    for need in needs {
        if let Some(room) = free.iter_mut().find(|room| need.fits(**room)) {
            *room = room.saturating_sub(need);
        }
    }
    free.iter().zip(&whole).filter(|(left, whole)| left != whole).count()
}
