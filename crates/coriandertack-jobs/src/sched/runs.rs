//! The runs that a worker may hold, and what they occupy.

use std::{collections::HashMap, ops::Deref};

use coriandertack_core::resources::Resources;

use super::worker::{Run, RunId};

use crate::ledger::Ledger;

/// The runs of one worker.
///
/// A run can be added or removed only together with the ledger, so that no run of a team is left
/// out of its usage or stays in it. The table is not `Clone` for the same reason.
#[derive(Debug, Default)]
pub(super) struct RunTable {
    runs: HashMap<RunId, Run>,
    /// Capacity that the runs of known need occupy.
    used: Resources,
    /// Number of runs whose need is unknown.
    unsized_runs: u32,
    /// Number of runs that began on probation.
    probations: u32,
}

impl Deref for RunTable {
    type Target = HashMap<RunId, Run>;

    fn deref(&self) -> &Self::Target {
        &self.runs
    }
}

impl RunTable {
    /// Returns the capacity that the runs of known need occupy.
    pub(super) const fn used(&self) -> Resources {
        self.used
    }

    /// Returns true if the need of any run is unknown.
    pub(super) const fn has_unsized(&self) -> bool {
        self.unsized_runs > 0
    }

    /// Returns true if any run began on probation.
    pub(super) const fn has_probations(&self) -> bool {
        self.probations > 0
    }

    pub(super) fn get_mut(&mut self, id: RunId) -> Option<&mut Run> {
        self.runs.get_mut(&id)
    }

    /// Adds a run, which occupies its capacity and counts as usage of its team from now on.
    ///
    /// It replaces a run of the same task and attempt: one that a worker listed before the leader
    /// had read the job.
    pub(super) fn add(&mut self, ledger: &mut Ledger, id: RunId, run: Run) {
        self.take(ledger, id);
        match run.cost().capacity {
            Some(capacity) => self.used += capacity,
            None => self.unsized_runs += 1,
        }
        if let Some(charge) = run.cost().charge {
            ledger.charge(charge);
        }
        self.probations += u32::from(run.probation);
        self.runs.insert(id, run);
    }

    /// Removes a run and releases what it occupied.
    pub(super) fn take(&mut self, ledger: &mut Ledger, id: RunId) -> Option<Run> {
        let run = self.runs.remove(&id)?;
        match run.cost().capacity {
            Some(capacity) => self.used = self.used.saturating_sub(capacity),
            None => self.unsized_runs -= 1,
        }
        if let Some(charge) = run.cost().charge {
            ledger.release(charge);
        }
        self.probations -= u32::from(run.probation);
        Some(run)
    }

    /// Removes all runs and releases what they occupied.
    pub(super) fn drain(&mut self, ledger: &mut Ledger) -> Vec<(RunId, Run)> {
        let ids: Vec<RunId> = self.runs.keys().copied().collect();
        ids.into_iter().filter_map(|id| Some((id, self.take(ledger, id)?))).collect()
    }
}
