//! State of another entry VM as known through the link to it.
//!
//! A VM that is silent for too long is *suspected*, which changes routing at once and allows other VMs to
//! fence it. Suspicion never moves ownership by itself; only a record does. See docs/design.md, section 3.1.

use std::time::Duration;

use tokio::{sync::mpsc, time::Instant};

use crate::{
    keys::{Offset, Session},
    message::{CapacitySummary, Heartbeat, Instance, OutgoingRequest},
    owner_selection::OwnerEstimate,
};

/// Time without a heartbeat after which a VM is suspected.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Link to another entry VM.
#[derive(Debug)]
pub struct PeerLink {
    /// Queue of requests to the task that serves the link.
    pub requests: mpsc::Sender<OutgoingRequest>,
    /// Time at which the VM becomes suspected unless a heartbeat arrives before.
    pub suspect_at: Instant,
    /// Last offset that the VM has applied.
    pub offset: Offset,
    /// Highest offset whose membership the VM's slot shares respect.
    pub confirmed_offset: Offset,
    /// Free capacity of the workers that the VM owns.
    pub summary: CapacitySummary,
    /// Estimate for homes: the last summary, updated by the VM's replies since.
    pub estimate: OwnerEstimate,
    /// Members that the VM itself suspects.
    pub suspects: Vec<Session>,
    /// Service instances on the workers that the VM owns.
    pub instances: Vec<Instance>,
}

impl PeerLink {
    /// Returns a newly opened link, which counts as a heartbeat.
    #[must_use]
    pub fn new(requests: mpsc::Sender<OutgoingRequest>, now: Instant) -> Self {
        Self {
            requests,
            suspect_at: now + SUSPECT_TIMEOUT,
            offset: Offset(0),
            confirmed_offset: Offset(0),
            summary: CapacitySummary::default(),
            estimate: OwnerEstimate::default(),
            suspects: Vec::new(),
            instances: Vec::new(),
        }
    }

    /// Records a heartbeat and returns whether the instances changed.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        self.suspect_at = now + SUSPECT_TIMEOUT;
        self.offset = self.offset.max(heartbeat.offset);
        self.confirmed_offset = self.confirmed_offset.max(heartbeat.confirmed_offset);
        self.summary = heartbeat.summary.unwrap_or(self.summary);
        // An omitted summary is unchanged. It still resets the estimate, because it covers the replies since.
        self.estimate.update(self.summary);
        self.suspects = heartbeat.suspects;
        match heartbeat.instances {
            Some(instances) if instances != self.instances => {
                self.instances = instances;
                true
            }
            _ => false,
        }
    }

    /// Returns whether the VM has been silent for [`SUSPECT_TIMEOUT`].
    #[must_use]
    pub fn is_suspected(&self, now: Instant) -> bool {
        now >= self.suspect_at
    }
}
