//! The lease of a worker, on the worker's own clock.

use std::time::Duration;

use tokio::time::Instant;

/// Longest lease that a worker accepts, in milliseconds from the arrival of a request.
const HOLD_MAX_MS: u64 = 10_000;

/// Rate of a worker's clock, in thousandths of the true one.
const CLOCK_PERMILLE: u64 = 980;

/// The clock of one incarnation of a worker, and the end of the lease of everything that runs there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lease {
    since: Instant,
    /// Reading of the clock at `since`.
    base_ms: u64,
    end_ms: u64,
}

impl Lease {
    /// Starts a clock at `base_ms`, with a lease that has expired.
    pub(super) fn new(base_ms: u64) -> Self {
        Self { since: Instant::now(), base_ms, end_ms: base_ms }
    }

    /// Returns the worker's clock, in milliseconds.
    pub(super) fn clock_ms(&self) -> u64 {
        self.base_ms + self.since.elapsed().as_millis() as u64 * CLOCK_PERMILLE / 1_000
    }

    /// Extends the lease until a time of the worker's clock, or for the longest time from now. A lease is never
    /// shortened.
    pub(super) fn extend(&mut self, until_ms: u64) {
        self.end_ms = self.end_ms.max(until_ms.min(self.clock_ms() + HOLD_MAX_MS));
    }

    /// Returns when the lease expires.
    pub(super) fn end(&self) -> Instant {
        let term_ms = (self.end_ms - self.base_ms) * 1_000 / CLOCK_PERMILLE;
        self.since + Duration::from_millis(term_ms)
    }
}
