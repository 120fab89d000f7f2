//! A worker owned here.

use std::sync::Arc;

use crate::resources::Resources;

/// A worker owned here.
#[derive(Clone, Debug)]
pub struct OwnedWorker {
    /// Name of the worker.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Rack within the zone.
    pub rack: Arc<str>,
    /// What it has.
    pub capacity: Resources,
    /// What is granted.
    pub granted: Resources,
    /// What is kept for urgent work that waits for preempted tasks to end.
    pub reserved: Resources,
    /// Whether its own list has been read under this ownership.
    pub reconciled: bool,
    /// Whether the VM list and the operators let it take new work.
    pub schedulable: bool,
    /// Whether it answers.
    pub reachable: bool,
    /// Whether it said itself that it is leaving, which the VM list shows later.
    pub leaving: bool,
}

impl OwnedWorker {
    /// Returns a worker whose list has not been read yet.
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

    /// Returns what is left.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(self.granted).saturating_sub(self.reserved)
    }

    /// Tells whether it takes part in placement.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.reconciled && self.schedulable && self.reachable && !self.leaving
    }
}
