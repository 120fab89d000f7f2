//! The rule by which a worker can take tasks of a step.
//!
//! Starts, advice calls and reservations all count with [`StepFit::slots`]. If a call counted
//! workers that a start cannot use, a step with enough tickets for them would ask for no others
//! and wait forever. See docs/notes/placement.md.

use std::collections::HashMap;

use coriandertack_core::resources::Resources;

use super::{Scheduler, Worker, WorkerKey};

use crate::{boot_time::BootTime, ids::StepId, spec::StepSpec};

/// Constraints on the placement of one step, as of one scheduling pass.
#[derive(Debug)]
pub(super) struct StepFit<'a> {
    pub(super) spec: &'a StepSpec,
    service: &'a str,
    charge: Resources,
    /// Number of runs of the step on each worker, also those being stopped. It is empty for a step
    /// without a spread limit.
    runs: HashMap<WorkerKey, u32>,
    /// Workers that the step avoids because its tasks failed there.
    excluded: Vec<WorkerKey>,
}

impl StepFit<'_> {
    /// Returns how many more tasks of the step a worker can take if `free` is its free capacity.
    pub(super) fn slots(&self, key: WorkerKey, worker: &Worker, free: Resources) -> u32 {
        if self.excluded.contains(&key) || !worker.is_suitable(self.spec, self.service) {
            return 0;
        }
        let slots = self.charge.count_in(free);
        match self.spec.spread {
            0 => slots,
            limit => slots.min(limit.saturating_sub(self.runs.get(&key).copied().unwrap_or(0))),
        }
    }
}

impl Scheduler {
    /// Returns the constraints on the placement of a step, whose route uses `service`.
    pub(super) fn step_fit<'a>(
        &'a self,
        id: StepId,
        service: &'a str,
        now: BootTime,
    ) -> Option<StepFit<'a>> {
        let (_, spec, _) = self.step(id)?;
        let excluded = self.excluded_workers(id, service, now);
        let runs = self.runs_per_worker(id, spec);
        Some(StepFit { spec, service, charge: spec.capacity_charge(), runs, excluded })
    }

    /// Returns the workers that a step avoids because its tasks failed there. The list is empty if
    /// no other worker can run the step.
    fn excluded_workers(&self, id: StepId, service: &str, now: BootTime) -> Vec<WorkerKey> {
        let Some((_, spec, step)) = self.step(id) else { return Vec::new() };
        let active = step.excluded.iter().filter(|(_, until)| *until > now);
        let excluded: Vec<WorkerKey> = active.map(|(key, _)| *key).collect();
        let is_alternative = |(key, worker): (WorkerKey, &Worker)| {
            let fits = spec.capacity_charge().count_in(worker.capacity()) > 0;
            fits && !excluded.contains(&key)
                && worker.accepts_tasks(now)
                && worker.is_suitable(spec, service)
        };
        if excluded.is_empty() || self.workers.iter().any(is_alternative) {
            excluded
        } else {
            Vec::new()
        }
    }

    /// Counts the runs of a step on each worker, if the step has a spread limit.
    fn runs_per_worker(&self, id: StepId, spec: &StepSpec) -> HashMap<WorkerKey, u32> {
        let mut runs = HashMap::new();
        if spec.spread == 0 {
            return runs;
        }
        for (key, worker) in &self.workers {
            let count = worker.runs.keys().filter(|(task, _)| task.step_id() == id).count();
            if count > 0 {
                runs.insert(key, count as u32);
            }
        }
        runs
    }
}
