//! Tasks that use more processors than their share of a busy worker.

use crate::{
    keys::{LeaseId, WorkerKey},
    message::WorkerCommand,
    pool::WorkerPool,
};

/// Use of a worker's processors, in percent, from which on tasks are held to their shares.
const BUSY_PERCENT: u64 = 90;

/// Use in percent below which the limits are lifted. The distance keeps tasks from being limited and
/// released in turn.
const CALM_PERCENT: u64 = 70;

/// Processor use of a task in its last interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskUsage {
    /// The lease.
    pub lease: LeaseId,
    /// Use in thousandths of a core.
    pub millicores: u32,
}

impl WorkerPool {
    /// Returns the limits to set or lift on a worker, given what its tasks use.
    ///
    /// A task may use idle processors beyond its grant. On a busy worker it is held to the part of the worker
    /// that its grant is of all grants there, which is never less than the grant.
    pub fn throttle_commands(
        &mut self,
        worker: WorkerKey,
        uses: &[TaskUsage],
    ) -> Vec<WorkerCommand> {
        let Some(owned_worker) = self.owned_workers.get(worker) else {
            return Vec::new();
        };
        let capacity = u64::from(owned_worker.capacity.millicores);
        let granted = u64::from(owned_worker.granted.millicores).max(1);
        let used: u64 = uses.iter().map(|task| u64::from(task.millicores)).sum();
        let busy = used * 100 >= capacity * BUSY_PERCENT;
        let calm = used * 100 < capacity * CALM_PERCENT;
        let mut commands = Vec::new();
        for task in uses {
            let Some(&key) = self.leases.get(&task.lease) else { continue };
            let grant = &mut self.grants[key];
            if grant.worker != worker {
                continue;
            }
            let need = u64::from(grant.spec.need.millicores);
            let share = (capacity * need / granted).max(need);
            let share = u32::try_from(share).unwrap_or(u32::MAX);
            let limit = match grant.cpu_limit {
                _ if busy && task.millicores > share => Some(share),
                Some(_) if calm => None,
                kept => kept,
            };
            if limit != grant.cpu_limit {
                grant.cpu_limit = limit;
                // Without a limit the task may use the whole worker.
                let millicores = limit.unwrap_or(owned_worker.capacity.millicores);
                commands.push(WorkerCommand::Throttle { lease: task.lease, millicores });
            }
        }
        commands
    }
}
