//! Bounds on a worker's clock.
//!
//! A worker tells its time in every answer. When the answer arrives, the worker's clock shows at least
//! that time. All conversions err towards leases that end early.

use std::time::Duration;

use tokio::time::Instant;

/// Inverse of the largest difference in speed between two clocks: 1%.
const DRIFT: u32 = 100;

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
    /// Returns the reading `now_ms` of an answer that was received at `received`.
    #[must_use]
    pub fn new(now_ms: u64, received: Instant) -> Self {
        Self { now_ms, received }
    }

    /// Returns the least time that the worker's clock shows at `at`.
    #[must_use]
    pub fn at(self, at: Instant) -> u64 {
        let passed = at.saturating_duration_since(self.received);
        let passed = passed - passed / DRIFT;
        self.now_ms.saturating_add(u64::try_from(passed.as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the local time by which the worker's clock certainly shows `ms`.
    #[must_use]
    pub fn reaches(self, ms: u64) -> Instant {
        let left = Duration::from_millis(ms.saturating_sub(self.now_ms));
        self.received + left + left / DRIFT
    }
}
