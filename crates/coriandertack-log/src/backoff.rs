//! Delays between attempts.

use std::time::Duration;

/// Delay after the first failure.
const FIRST: Duration = Duration::from_millis(50);

/// Longest delay. It leaves two attempts within the validity of 3 s.
const LONGEST: Duration = Duration::from_millis(1_000);

/// Failures in a row, from which the next delay follows.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Notes a success.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure and returns the delay before the next attempt.
    ///
    /// The delay doubles with each failure. Between half of it and all of it is used, so that the VMs
    /// do not return together after an outage.
    pub(crate) fn fail(&mut self) -> Duration {
        let full = FIRST.saturating_mul(1 << self.failures.min(16)).min(LONGEST);
        self.failures += 1;
        full.mul_f64(rand::random_range(0.5..=1.0))
    }
}
