//! The rules that placement is compared with.

use std::collections::HashMap;

use {
    coriandertack_core::{
        keys::LeaseId, message::AttemptSpec, pool::PlacementError, resources::Resources,
    },
    rand::seq::IteratorRandom,
    rand_chacha::ChaCha8Rng,
};

use super::jobs::ACCELERATED;

/// Workers that are known by their free capacity only.
pub(super) struct Pool {
    free: Vec<Resources>,
    places: HashMap<LeaseId, usize>,
}

impl Pool {
    pub(super) fn new(fleet: &[Resources]) -> Self {
        Self { free: fleet.to_vec(), places: HashMap::new() }
    }

    /// Places the tasks of one job on the first workers with room, or none of them.
    pub(super) fn first_fit(&mut self, specs: &[AttemptSpec]) -> Result<(), PlacementError> {
        self.place(specs, |free, need| free.iter().position(|room| need.fits(*room)))
    }

    /// Places the tasks of one job on random workers with room, or none of them.
    pub(super) fn random_fit(
        &mut self,
        specs: &[AttemptSpec],
        rng: &mut ChaCha8Rng,
    ) -> Result<(), PlacementError> {
        self.place(specs, |free, need| {
            let fitting = (0..free.len()).filter(|&at| need.fits(free[at]));
            fitting.choose(rng)
        })
    }

    fn place(
        &mut self,
        specs: &[AttemptSpec],
        mut choose: impl FnMut(&[Resources], Resources) -> Option<usize>,
    ) -> Result<(), PlacementError> {
        for (count, spec) in specs.iter().enumerate() {
            let Some(at) = choose(&self.free, spec.need) else {
                self.end(&specs[..count]);
                return Err(PlacementError::Full);
            };
            self.free[at] = self.free[at].saturating_sub(spec.need);
            self.places.insert(spec.lease, at);
        }
        Ok(())
    }

    /// Frees the capacity of tasks.
    pub(super) fn end(&mut self, specs: &[AttemptSpec]) {
        for spec in specs {
            if let Some(at) = self.places.remove(&spec.lease) {
                self.free[at] += spec.need;
            }
        }
    }
}

/// Returns the workers that first-fit-decreasing uses. It knows all needs, and may ignore spread and
/// gangs. Workers without accelerators come first for work that needs none.
pub(super) fn decreasing(fleet: &[Resources], placed: &[Resources]) -> usize {
    let mut free: Vec<Resources> = fleet.to_vec();
    free.sort_by_key(|capacity| capacity.accelerators);
    // Room for what it cannot fit into the fleet itself.
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
