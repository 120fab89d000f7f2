//! Scheduling state of a worker that this VM owns.

use std::sync::Arc;

use crate::resources::Resources;

/// A worker that this VM owns.
#[derive(Clone, Debug)]
pub struct OwnedWorker {
    /// Worker name as in the VM list.
    pub name: Arc<str>,
    /// Availability zone of the worker.
    pub zone: Arc<str>,
    /// Rack of the worker within its zone.
    pub rack: Arc<str>,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Sum of the grants on the worker.
    pub granted: Resources,
    /// Capacity reserved for urgent tasks that wait for preempted tasks to end.
    pub reserved: Resources,
    /// Whether its running tasks are known: its list was read since this VM became the owner, or all its
    /// leases have expired.
    pub reconciled: bool,
    /// Whether the VM list and the operators allow new work on it.
    pub schedulable: bool,
    /// Whether the worker responds to this VM.
    pub reachable: bool,
    /// Whether the worker announced that it is leaving, which the VM list shows only later.
    pub leaving: bool,
}

impl OwnedWorker {
    /// Returns a worker that is not reconciled yet.
    #[must_use]
    pub fn new(name: &str, zone: &str, rack: &str, capacity: Resources) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            rack: rack.into(),
            capacity,
            granted: Resources::ZERO,
            reserved: Resources::ZERO,
            reconciled: false,
            schedulable: true,
            reachable: true,
            leaving: false,
        }
    }

    /// Returns the capacity that is neither granted nor reserved.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(self.granted).saturating_sub(self.reserved)
    }

    /// Returns whether new tasks may be placed on the worker.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.reconciled && self.schedulable && self.reachable && !self.leaving
    }
}
