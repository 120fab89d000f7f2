//! Use of running tasks, from their usage intervals.
//!
//! A usage report tells how much was used in an interval, and the end of the interval before tells how long it
//! was. From both follows the use that the class profiles and the throttling of busy workers need.
//!
//! ```
//! use coriandertack_core::{
//!     keys::{Epoch, JobId, LeaseId, TaskId, WorkerKey},
//!     usage_meter::UsageMeter,
//!     record::Usage,
//! };
//!
//! let lease = LeaseId::first(TaskId { job: JobId(1), index: 0 }, Epoch(1));
//! let usage = Usage { core_ms: 500, mib_s: 64, acc_ms: 0 };
//! let mut meter = UsageMeter::default();
//! let worker = WorkerKey::default();
//! assert!(meter.sample(worker, lease, 0, usage, 1_000).is_none(), "its length is unknown");
//! let sample = meter.sample(worker, lease, 1, usage, 2_000).unwrap();
//! assert_eq!((sample.millicores, sample.memory_mib), (500, 64));
//! ```

use std::collections::HashMap;

use crate::{
    keys::{LeaseId, WorkerKey},
    pool::TaskUsage,
    record::Usage,
    resources::Resources,
};

/// The last interval of a lease.
#[derive(Clone, Copy, Debug)]
struct Last {
    worker: WorkerKey,
    interval: u32,
    end_ms: u64,
    millicores: u32,
}

/// Use of the tasks on the workers owned here.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    leases: HashMap<LeaseId, Last>,
}

impl UsageMeter {
    /// Takes in a report, and returns the mean use in its interval.
    ///
    /// Returns nothing if the interval before is not the last one known, as after a reordered report, because
    /// the length of the interval is then unknown.
    pub fn sample(
        &mut self,
        worker: WorkerKey,
        lease: LeaseId,
        interval: u32,
        usage: Usage,
        end_ms: u64,
    ) -> Option<Resources> {
        let before = self.leases.get(&lease).copied();
        if before.is_some_and(|last| interval <= last.interval) {
            return None;
        }
        let length = before
            .filter(|last| last.interval + 1 == interval)
            .and_then(|last| end_ms.checked_sub(last.end_ms))
            .filter(|length| *length > 0);
        let mean = |sum: u64| length.map(|length| u32::try_from(sum / length).unwrap_or(u32::MAX));
        let millicores = mean(usage.core_ms.saturating_mul(1_000));
        let known = millicores.unwrap_or(0);
        self.leases.insert(lease, Last { worker, interval, end_ms, millicores: known });
        let memory_mib = mean(usage.mib_s.saturating_mul(1_000))?;
        Some(Resources::new(millicores?, memory_mib, 0))
    }

    /// Returns the last known use of the tasks on a worker.
    #[must_use]
    pub fn task_usage(&self, worker: WorkerKey) -> Vec<TaskUsage> {
        let here = self.leases.iter().filter(|(_, last)| last.worker == worker);
        here.map(|(&lease, last)| TaskUsage { lease, millicores: last.millicores }).collect()
    }

    /// Forgets a lease that has ended.
    pub fn forget(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
    }

    /// Forgets the leases on a worker that is no longer owned here.
    pub fn forget_worker(&mut self, worker: WorkerKey) {
        self.leases.retain(|_, last| last.worker != worker);
    }
}
