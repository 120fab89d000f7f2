//! Exponential backoff with jitter between retries.

use std::time::Duration;

/// Delay after the first failure.
const INITIAL_DELAY: Duration = Duration::from_millis(50);

/// Upper bound of the delay. It leaves time for two attempts within the validity period of 3 s.
const MAX_DELAY: Duration = Duration::from_millis(1_000);

/// Counter of consecutive failures, which determines the next delay.
#[derive(Debug, Default)]
pub(crate) struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Resets the delay after a success.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the delay before the next attempt.
    ///
    /// The delay doubles with each failure. It is multiplied by a random factor between 0.5 and 1,
    /// so that the VMs do not all retry at the same moment after an outage.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay = INITIAL_DELAY.saturating_mul(1 << self.failures.min(16)).min(MAX_DELAY);
        self.failures += 1;
        delay.mul_f64(rand::random_range(0.5..=1.0))
    }
}
