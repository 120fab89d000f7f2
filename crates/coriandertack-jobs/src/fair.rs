//! Fair shares of resources of which there is too little.
//!
//! Weighted max-min fairness: the level up to which each team may use a resource, by its weight,
//! rises until the resource is used up. A team that wants less than its share leaves the rest to
//! the others. See docs/design/team-shares.md.
//!
//! ```
//! use coriandertack_core::resources::Resources;
//! use coriandertack_jobs::{fair::{Demand, FairLevels}, ledger::Usage};
//!
//! let cores = |count: u64| Usage { millicores: count * 1_000, ..Usage::default() };
//! let demand = |weight, count| Demand { weight, amount: cores(count) };
//! // One team wants 2 of 12 cores, the others share the rest in proportion 1 to 4.
//! let demands = [demand(1.0, 2), demand(1.0, 100), demand(4.0, 100)];
//! let levels = FairLevels::fill(cores(12), &demands);
//! let task = Resources::new(1_000, 0, 0);
//! assert_eq!(levels.room(1.0, cores(0), task), 2);
//! assert_eq!(levels.room(4.0, cores(0), task), 8);
//! assert_eq!(levels.room(4.0, cores(8), task), 0);
//! ```

use coriandertack_core::resources::Resources;

use crate::ledger::Usage;

/// What a team has running and waiting.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// Weight of the team; 0 for the lowest share.
    pub weight: f64,
    /// Sum of what runs and waits, up to the team's cap.
    pub amount: Usage,
}

/// Levels of fair use of the resources of some workers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FairLevels {
    /// Amount for a weight of 1 of each resource, in the order of the parts of [`Usage`]; `None`
    /// for a resource that suffices for all.
    levels: [Option<f64>; 3],
    /// Multiple of its fair share that a team may use.
    tolerance: f64,
}

impl Default for FairLevels {
    fn default() -> Self {
        Self { levels: [None; 3], tolerance: 1.0 }
    }
}

impl FairLevels {
    /// Returns the levels at which the demands use up the capacity.
    #[must_use]
    pub fn fill(capacity: Usage, demands: &[Demand]) -> Self {
        let capacity = capacity.parts();
        let level = |part: usize| {
            let amounts = demands.iter().map(|demand| (demand.weight, demand.amount.parts()[part]));
            fill_part(capacity[part], amounts.collect())
        };
        Self { levels: [0, 1, 2].map(level), tolerance: 1.0 }
    }

    /// Returns the levels with another multiple of its fair share that a team may use.
    ///
    /// What a team uses varies within seconds, and one wide gang can exceed the share of a small
    /// team by itself.
    #[must_use]
    pub const fn tolerating(self, tolerance: f64) -> Self {
        Self { tolerance, ..self }
    }

    /// Returns true if any resource does not suffice for all.
    #[must_use]
    pub fn is_short(&self) -> bool {
        self.levels.iter().any(Option::is_some)
    }

    /// Returns how many more tasks a team may start until it has reached its fair share of a short
    /// resource that they need. The last of them may exceed it.
    #[must_use]
    pub fn room(&self, weight: f64, usage: Usage, need: Resources) -> u32 {
        let parts = usage.parts().into_iter().zip(Usage::from(need).parts());
        let rooms = self.levels.iter().zip(parts).map(|(level, (used, need))| {
            let (Some(level), true) = (level, need > 0) else { return u32::MAX };
            // The level is infinite if only teams without weight are short.
            let fair = if weight > 0.0 { level * weight * self.tolerance } else { 0.0 };
            ((fair - used as f64).max(0.0) / need as f64).ceil() as u32
        });
        rooms.min().unwrap_or(u32::MAX)
    }
}

/// Returns the level of one resource, or `None` if it suffices for all demands.
fn fill_part(capacity: u64, mut amounts: Vec<(f64, u64)>) -> Option<f64> {
    let total: u64 = amounts.iter().map(|(_, amount)| amount).sum();
    if total <= capacity {
        return None;
    }
    amounts.retain(|(weight, _)| *weight > 0.0);
    // Teams are satisfied in the order of the level at which they are.
    let satisfied_at = |&(weight, amount): &(f64, u64)| amount as f64 / weight;
    amounts.sort_by(|a, b| satisfied_at(a).total_cmp(&satisfied_at(b)));
    let mut weights: f64 = amounts.iter().map(|(weight, _)| weight).sum();
    let mut rest = capacity as f64;
    for entry in &amounts {
        let level = rest / weights;
        if satisfied_at(entry) > level {
            return Some(level);
        }
        rest -= entry.1 as f64;
        weights -= entry.0;
    }
    Some(f64::INFINITY)
}
