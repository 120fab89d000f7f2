//! Bounds on a worker's clock.
//!
//! Every response of a worker carries the time of its clock. When the response arrives, the clock
//! shows at least that time. All conversions err towards leases that end early.

use std::time::Duration;

use tokio::time::Instant;

/// Inverse of the largest relative difference in rate between two clocks, 1%.
const INVERSE_DRIFT: u32 = 100;

/// A reading of a worker's clock.
///
/// ```
/// use {coriandertack_workers::clock::Clock, std::time::Duration, tokio::time::Instant};
///
/// let received = Instant::now();
/// let clock = Clock::new(5_000, received);
/// assert_eq!(clock.at(received + Duration::from_secs(1)), 5_990);
/// assert!(clock.reaches(6_000) > received + Duration::from_secs(1));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clock {
    now_ms: u64,
    received: Instant,
}

impl Clock {
    /// Creates a reading from the time `now_ms` in a response that arrived at `received`.
    #[must_use]
    pub fn new(now_ms: u64, received: Instant) -> Self {
        Self { now_ms, received }
    }

    /// Returns the least time, in milliseconds, that the worker's clock can show at `at`.
    #[must_use]
    pub fn at(self, at: Instant) -> u64 {
        let elapsed = at.saturating_duration_since(self.received);
        let elapsed = elapsed - elapsed / INVERSE_DRIFT;
        self.now_ms.saturating_add(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the local time at which the worker's clock shows at least `ms`, whatever its drift.
    #[must_use]
    pub fn reaches(self, ms: u64) -> Instant {
        let remaining = Duration::from_millis(ms.saturating_sub(self.now_ms));
        self.received + remaining + remaining / INVERSE_DRIFT
    }
}
