//! CPU throttling of tasks that exceed their share of a busy worker.

use crate::{
    keys::{LeaseId, WorkerKey},
    message::WorkerCommand,
    pool::WorkerPool,
};

/// CPU use of a worker, in percent of its capacity, at which tasks above their share are throttled.
const THROTTLE_PERCENT: u64 = 90;

/// CPU use in percent below which limits are lifted. The gap to [`THROTTLE_PERCENT`] is hysteresis: without it,
/// tasks would alternate between limited and unlimited.
const RELEASE_PERCENT: u64 = 70;

/// CPU use of a task in its last usage interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskUsage {
    /// Lease that the task runs under.
    pub lease: LeaseId,
    /// Mean use in thousandths of a core.
    pub millicores: u32,
}

impl WorkerPool {
    /// Updates the CPU limits of the tasks on a worker from their use, and returns the commands to send.
    ///
    /// A task may use idle processors beyond its grant. On a busy worker it is limited to its share, which is
    /// the worker's capacity in proportion to the task's part of all grants there and never less than its grant.
    pub fn throttle_commands(
        &mut self,
        worker: WorkerKey,
        usages: &[TaskUsage],
    ) -> Vec<WorkerCommand> {
        let Some(owned_worker) = self.owned_workers.get(worker) else {
            return Vec::new();
        };
        let capacity = u64::from(owned_worker.capacity.millicores);
        let granted = u64::from(owned_worker.granted.millicores).max(1);
        let used: u64 = usages.iter().map(|task| u64::from(task.millicores)).sum();
        let above_throttle = used * 100 >= capacity * THROTTLE_PERCENT;
        let below_release = used * 100 < capacity * RELEASE_PERCENT;
        let mut commands = Vec::new();
        for task in usages {
            let Some(&key) = self.leases.get(&task.lease) else { continue };
            let grant = &mut self.grants[key];
            if grant.worker != worker {
                continue;
            }
            let need = u64::from(grant.spec.need.millicores);
            let share = (capacity * need / granted).max(need);
            let share = u32::try_from(share).unwrap_or(u32::MAX);
            let limit = match grant.cpu_limit {
                _ if above_throttle && task.millicores > share => Some(share),
                Some(_) if below_release => None,
                current => current,
            };
            if limit != grant.cpu_limit {
                grant.cpu_limit = limit;
                // A limit of the whole worker lifts the throttling.
                let millicores = limit.unwrap_or(owned_worker.capacity.millicores);
                commands.push(WorkerCommand::Throttle { lease: task.lease, millicores });
            }
        }
        commands
    }
}
