//! What is known of another entry VM through the link to it.
//!
//! Silence makes a VM *suspected*, which changes routing at once and allows a fence. It never moves
//! ownership by itself; only a record does. See docs/design.md, section 3.1.

use std::time::Duration;

use tokio::{sync::mpsc, time::Instant};

use crate::{
    keys::{Offset, Session},
    message::{CapacitySummary, Heartbeat, Instance, OutgoingRequest},
    owner_selection::OwnerEstimate,
};

/// Silence after which a VM is suspected.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// A link to another VM.
#[derive(Debug)]
pub struct PeerLink {
    /// Requests for the task of the link.
    pub requests: mpsc::Sender<OutgoingRequest>,
    /// When the VM becomes suspected unless it is heard before.
    pub suspect_at: Instant,
    /// Last offset that it has applied.
    pub offset: Offset,
    /// Highest membership offset whose shares it keeps to.
    pub confirmed_offset: Offset,
    /// Its free capacity.
    pub summary: CapacitySummary,
    /// What a home expects of it: the summary, and its answers since.
    pub estimate: OwnerEstimate,
    /// Members that it does not hear.
    pub suspects: Vec<Session>,
    /// Services on its workers.
    pub instances: Vec<Instance>,
}

impl PeerLink {
    /// Returns a link that has just been opened and counts as heard.
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

    /// Notes a heartbeat. Returns whether the services changed.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Instant) -> bool {
        self.suspect_at = now + SUSPECT_TIMEOUT;
        self.offset = self.offset.max(heartbeat.offset);
        self.confirmed_offset = self.confirmed_offset.max(heartbeat.confirmed_offset);
        self.summary = heartbeat.summary.unwrap_or(self.summary);
        // A summary that is left out is unchanged, so it replaces the estimate all the same.
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

    /// Tells whether the VM has been silent for too long.
    #[must_use]
    pub fn is_suspected(&self, now: Instant) -> bool {
        now >= self.suspect_at
    }
}
