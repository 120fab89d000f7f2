//! The one time rule of the design: when a VM may act on its copy of the state.
//!
//! A read of the log's tail proves the copy current at the moment the read began. The VM may act on
//! it for [`VALIDITY_PERIOD`] from then on. Whoever gains a worker or a team by a record waits for
//! [`HOLD_OFF`] from the moment it read that record, by which time the former holder's permission has
//! lapsed unless it has read the record too. See docs/design.md, section 3.1.
//!
//! ```
//! use {coriandertack_core::validity::{Validity, VALIDITY_PERIOD}, tokio::time::Instant};
//!
//! let began = Instant::now();
//! let mut validity = Validity::expired(began);
//! validity.extend(began);
//! assert!(validity.is_valid(began));
//! assert!(!validity.is_valid(began + VALIDITY_PERIOD));
//! ```

use std::time::Duration;

use {
    nix::time::{ClockId, clock_gettime},
    tokio::time::Instant,
};

/// How long a successful read of the tail allows a VM to act.
pub const VALIDITY_PERIOD: Duration = Duration::from_millis(3_000);

/// How long a new holder waits after it has read the record that made it the holder.
///
/// It is the validity plus 10%, which covers the drift between the clocks of two VMs.
pub const HOLD_OFF: Duration = Duration::from_millis(3_300);

/// Term of a lease after a renewal. A task whose owner is gone ends by itself after at most this time.
pub const LEASE_TERM: Duration = Duration::from_secs(30);

/// When a read of the tail began, on a clock that stands still while the VM is suspended, and how long the VM had been
/// suspended by then.
#[derive(Clone, Copy, Debug)]
pub struct ReadStart {
    /// The steady clock.
    pub at: Instant,
    /// Reading of the clock that runs only while the VM is suspended, counted from the boot.
    pub suspended: Duration,
}

impl ReadStart {
    /// Returns the present moment.
    #[must_use]
    pub fn now() -> Self {
        Self { at: Instant::now(), suspended: suspended() }
    }
}

impl From<Instant> for ReadStart {
    fn from(at: Instant) -> Self {
        Self { at, suspended: suspended() }
    }
}

/// Returns for how long the VM was suspended since its boot, in whole milliseconds. A system without both clocks counts
/// as never suspended.
fn suspended() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    match (read(ClockId::CLOCK_BOOTTIME), read(ClockId::CLOCK_MONOTONIC)) {
        (Ok(boot), Ok(steady)) => {
            // The clocks are read one after the other, so that they differ by some microseconds.
            let suspended = boot.saturating_sub(steady);
            Duration::from_millis(suspended.as_millis() as u64)
        }
        (Err(_), _) | (_, Err(_)) => Duration::ZERO,
    }
}

/// Permission to act on the replicated state, as a stored deadline.
///
/// The steady clock stands still while the VM is suspended. A VM that wakes up would believe that its permission
/// still holds, so the time for which it was suspended is taken off the deadline.
#[derive(Clone, Copy, Debug)]
pub struct Validity {
    until: Instant,
    /// Reading of the clock of suspensions to which `until` refers. It is a point in time, as `until` is; the difference
    /// to a later reading is taken off.
    suspended: Duration,
}

impl Validity {
    /// Returns a permission that has already ended.
    #[must_use]
    pub fn expired(now: Instant) -> Self {
        Self { until: now, suspended: suspended() }
    }

    /// Extends the permission after a read of the tail that began at `began` and whose records are
    /// all applied.
    pub fn extend(&mut self, began: impl Into<ReadStart>) {
        let began = began.into();
        let until = began.at + VALIDITY_PERIOD;
        if until > self.deadline_after_suspension(began.suspended) {
            (self.until, self.suspended) = (until, began.suspended);
        }
    }

    /// Ends the permission, as after reading one's own fence.
    pub fn revoke(&mut self, now: Instant) {
        self.until = self.until.min(now);
    }

    /// Tells whether the VM may act at `now`.
    #[must_use]
    pub fn is_valid(self, now: Instant) -> bool {
        now < self.deadline()
    }

    /// Returns the deadline.
    #[must_use]
    pub fn deadline(self) -> Instant {
        self.deadline_after_suspension(suspended())
    }

    /// Returns the deadline for a VM that was suspended for `suspended` since its boot.
    #[must_use]
    pub fn deadline_after_suspension(self, suspended: Duration) -> Instant {
        let slept = suspended.saturating_sub(self.suspended);
        self.until.checked_sub(slept).unwrap_or(self.until)
    }
}
