//! The time rule that decides when a VM may act on its copy of the state.
//!
//! A read of the log's tail proves that the copy was current when the read began, and the VM may act on it for
//! [`VALIDITY_PERIOD`] from then on. A VM that gains a worker or a team by a record waits for [`HOLD_OFF`]
//! after it has read that record. By then the former holder has either read the record too, or its permission
//! has expired. See docs/design.md, section 3.1.
//!
//! ```
//! use {coriandertack_core::validity::{Validity, VALIDITY_PERIOD}, tokio::time::Instant};
//!
//! let read_start = Instant::now();
//! let mut validity = Validity::expired(read_start);
//! validity.extend(read_start);
//! assert!(validity.is_valid(read_start));
//! assert!(!validity.is_valid(read_start + VALIDITY_PERIOD));
//! ```

use std::time::Duration;

use {
    nix::time::{ClockId, clock_gettime},
    tokio::time::Instant,
};

/// Time for which a VM may act after the start of a successful read of the log's tail.
pub const VALIDITY_PERIOD: Duration = Duration::from_millis(3_000);

/// Time for which a new holder waits after it has read the record that made it the holder.
///
/// It is the validity period plus 10%, which covers the drift between the clocks of two VMs.
pub const HOLD_OFF: Duration = Duration::from_millis(3_300);

/// Term of a lease after a renewal. A task whose owner is gone ends by itself within this time.
pub const LEASE_TERM: Duration = Duration::from_secs(30);

/// Start of a read of the log's tail, on a clock that stops while the VM is suspended, and the time for which
/// the VM had been suspended by then.
#[derive(Clone, Copy, Debug)]
pub struct ReadStart {
    /// Monotonic time, which excludes suspensions.
    pub at: Instant,
    /// Total time since the boot for which the VM had been suspended.
    pub suspended: Duration,
}

impl ReadStart {
    /// Returns a read start at the current time.
    #[must_use]
    pub fn now() -> Self {
        Self { at: Instant::now(), suspended: suspended_time() }
    }
}

impl From<Instant> for ReadStart {
    fn from(at: Instant) -> Self {
        Self { at, suspended: suspended_time() }
    }
}

/// Returns for how long the VM has been suspended since its boot, in whole milliseconds. A system that lacks
/// one of the clocks counts as never suspended.
fn suspended_time() -> Duration {
    let read = |clock| clock_gettime(clock).map(Duration::from);
    match (read(ClockId::CLOCK_BOOTTIME), read(ClockId::CLOCK_MONOTONIC)) {
        (Ok(boot), Ok(monotonic)) => {
            // The clocks are read one after the other, so they differ by some microseconds even without a suspension.
            let suspended = boot.saturating_sub(monotonic);
            Duration::from_millis(suspended.as_millis() as u64)
        }
        (Err(_), _) | (_, Err(_)) => Duration::ZERO,
    }
}

/// Permission to act on the replicated state, stored as a deadline.
///
/// The monotonic clock stops while the VM is suspended, so a VM that wakes up would find its permission still
/// valid. The time for which it was suspended is therefore subtracted from the deadline.
#[derive(Clone, Copy, Debug)]
pub struct Validity {
    until: Instant,
    /// Total suspended time of the VM as of the read that set `until`. Time suspended after that is subtracted
    /// from the deadline.
    suspended: Duration,
}

impl Validity {
    /// Returns a permission that has already expired.
    #[must_use]
    pub fn expired(now: Instant) -> Self {
        Self { until: now, suspended: suspended_time() }
    }

    /// Extends the permission after a read of the tail that began at `read_start` and whose records have all been
    /// applied.
    pub fn extend(&mut self, read_start: impl Into<ReadStart>) {
        let read_start = read_start.into();
        let until = read_start.at + VALIDITY_PERIOD;
        if until > self.deadline_after_suspension(read_start.suspended) {
            (self.until, self.suspended) = (until, read_start.suspended);
        }
    }

    /// Ends the permission, for example after this VM has read its own fence.
    pub fn revoke(&mut self, now: Instant) {
        self.until = self.until.min(now);
    }

    /// Returns whether the VM may act at `now`.
    #[must_use]
    pub fn is_valid(self, now: Instant) -> bool {
        now < self.deadline()
    }

    /// Returns the time at which the permission expires.
    #[must_use]
    pub fn deadline(self) -> Instant {
        self.deadline_after_suspension(suspended_time())
    }

    /// Returns the deadline for a VM that has been suspended for `suspended` since its boot.
    #[must_use]
    pub fn deadline_after_suspension(self, suspended: Duration) -> Instant {
        let suspended_since = suspended.saturating_sub(self.suspended);
        self.until.checked_sub(suspended_since).unwrap_or(self.until)
    }
}
