//! Mean resource use of running tasks, computed from their usage reports.
//!
//! A usage report contains the amounts used in an interval and the end of the interval. The length of the
//! interval follows from the end of the previous one. Class profiles and the throttling of busy workers need
//! the resulting mean use.
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
//! assert!(meter.sample(worker, lease, 0, usage, 1_000).is_none(), "the length of interval 0 is unknown");
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

/// The last usage interval reported for a lease.
#[derive(Clone, Copy, Debug)]
struct LastInterval {
    worker: WorkerKey,
    interval: u32,
    end_ms: u64,
    /// Mean CPU use, 0 while it is not known.
    millicores: u32,
}

/// Last usage interval of each task on the workers that this VM owns.
#[derive(Clone, Debug, Default)]
pub struct UsageMeter {
    leases: HashMap<LeaseId, LastInterval>,
}

impl UsageMeter {
    /// Records a usage report and returns the mean use in its interval.
    ///
    /// Returns `None` if the previous interval was not the last one recorded, as with reordered reports,
    /// because the length of the interval is then unknown.
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
        let len_ms = before
            .filter(|last| last.interval + 1 == interval)
            .and_then(|last| end_ms.checked_sub(last.end_ms))
            .filter(|len_ms| *len_ms > 0);
        let mean = |sum: u64| len_ms.map(|len_ms| u32::try_from(sum / len_ms).unwrap_or(u32::MAX));
        let millicores = mean(usage.core_ms.saturating_mul(1_000));
        let last_millicores = millicores.unwrap_or(0);
        self.leases
            .insert(lease, LastInterval { worker, interval, end_ms, millicores: last_millicores });
        let memory_mib = mean(usage.mib_s.saturating_mul(1_000))?;
        Some(Resources::new(millicores?, memory_mib, 0))
    }

    /// Returns the last known CPU use of the tasks on a worker.
    #[must_use]
    pub fn task_usage(&self, worker: WorkerKey) -> Vec<TaskUsage> {
        let here = self.leases.iter().filter(|(_, last)| last.worker == worker);
        here.map(|(&lease, last)| TaskUsage { lease, millicores: last.millicores }).collect()
    }

    /// Removes a lease that has ended.
    pub fn forget(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
    }

    /// Removes the leases on a worker that this VM no longer owns.
    pub fn forget_worker(&mut self, worker: WorkerKey) {
        self.leases.retain(|_, last| last.worker != worker);
    }
}
