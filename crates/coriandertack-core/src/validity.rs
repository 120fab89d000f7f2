//! The one time rule of the design: when a VM may act on its copy of the state.
//!
//! A read of the log's tail proves the copy current at the moment the read began. The VM may act on
//! it for [`VALIDITY`] from then on. Whoever gains a worker or a team by a record waits for
//! [`HOLD_OFF`] from the moment it read that record, by which time the former holder's permission has
//! lapsed unless it has read the record too. See docs/design.md, section 3.1.
//!
//! ```
//! use {coriandertack_core::validity::{Validity, VALIDITY}, tokio::time::Instant};
//!
//! let began = Instant::now();
//! let mut validity = Validity::lapsed(began);
//! validity.extend(began);
//! assert!(validity.holds(began));
//! assert!(!validity.holds(began + VALIDITY));
//! ```

use std::time::Duration;

use tokio::time::Instant;

/// How long a successful read of the tail allows a VM to act.
pub const VALIDITY: Duration = Duration::from_millis(3_000);

/// How long a new holder waits after it has read the record that made it the holder.
///
/// It is the validity plus 10%, which covers the drift between the clocks of two VMs.
pub const HOLD_OFF: Duration = Duration::from_millis(3_300);

/// Term of a lease after a renewal. A task whose owner is gone ends by itself after at most this time.
pub const LEASE_TERM: Duration = Duration::from_secs(30);

/// Permission to act on the replicated state, as a stored deadline.
#[derive(Clone, Copy, Debug)]
pub struct Validity {
    until: Instant,
}

impl Validity {
    /// Returns a permission that has already ended.
    #[must_use]
    pub fn lapsed(now: Instant) -> Self {
        Self { until: now }
    }

    /// Extends the permission after a read of the tail that began at `began` and whose records are
    /// all applied.
    pub fn extend(&mut self, began: Instant) {
        self.until = self.until.max(began + VALIDITY);
    }

    /// Ends the permission, as after reading one's own fence.
    pub fn revoke(&mut self, now: Instant) {
        self.until = self.until.min(now);
    }

    /// Tells whether the VM may act at `now`.
    #[must_use]
    pub fn holds(self, now: Instant) -> bool {
        now < self.until
    }

    /// Returns the deadline.
    #[must_use]
    pub fn until(self) -> Instant {
        self.until
    }
}
