//! Leases that a call for a former incarnation of a worker may have extended.
//!
//! A call names the worker, but not its incarnation, and gives the end of the lease on the worker's
//! clock. A worker that has started again under its name takes the end on its former clock for a time
//! far ahead, and shortens the lease to the longest that it accepts. Its lease may then last twice as
//! long as the leader granted. See docs/design.md, "When a run has ended".

use std::sync::Arc;

use super::{
    LEADERSHIP_TERM_MS, MAX_CLOCK_DRIFT_PERMILLE, MAX_RENEWAL_MS, Scheduler, Worker,
    calls::{MAX_LATE_CALL_MS, late_until},
    teams::TAKEOVER_LIST_WAIT_MS,
};

use crate::boot_time::BootTime;

/// Longest lease that workers accept unless the settings tell another, in milliseconds.
pub const DEFAULT_LEASE_LIMIT_MS: u64 = 10_000;

/// How late a call is assumed to extend the lease of a worker that cannot be reached, in milliseconds. Waiting for the
/// latest possible call would leave its tasks without a run for longer than callers accept.
pub(super) const MAX_CALL_DELAY_MS: u64 = 3_000;

/// Returns the longest time that `ms` milliseconds on a worker's clock take.
pub(super) const fn slowest_ms(ms: u64) -> u64 {
    ms * 1_000 / (1_000 - MAX_CLOCK_DRIFT_PERMILLE) + 1
}

/// Until when the calls to a worker matter to the next incarnation of its name.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FormerCalls {
    /// When no lease that they extend can last any longer.
    lease_end: BootTime,
    /// Until when they may be carried out.
    late_until: BootTime,
}

impl Scheduler {
    /// Sets the longest lease that workers accept, in milliseconds.
    pub fn set_lease_limit(&mut self, limit_ms: u64) {
        self.lease_limit_ms = limit_ms;
    }

    /// Records that a former leader may have led until `now`, and may not know it yet.
    pub fn succeed_leader(&mut self, now: BootTime) {
        self.calls_end = now.plus_ms(MAX_RENEWAL_MS + MAX_LATE_CALL_MS);
        self.starts_end = now.plus_ms(LEADERSHIP_TERM_MS + MAX_LATE_CALL_MS);
        self.usage_known = now.plus_ms(TAKEOVER_LIST_WAIT_MS);
    }

    /// Returns when the lease has expired that a worker cut to the longest that it accepts at `arrival`.
    pub(super) fn longest_lease_end(&self, arrival: BootTime) -> BootTime {
        arrival.plus_ms(slowest_ms(self.lease_limit_ms))
    }

    /// Keeps until when calls to a worker that is removed matter to the next incarnation of its name.
    ///
    /// If the worker is idle, no call to it is under way, and the last one with a lease was sent when
    /// the lease was granted.
    pub(super) fn keep_calls(&mut self, worker: &Worker, now: BootTime) {
        self.former_calls.retain(|_, calls| calls.lease_end > now || calls.late_until > now);
        let idle = worker.is_idle(now);
        let longest_lease_end = |granted_at| {
            let sent = if idle { granted_at } else { now };
            self.longest_lease_end(sent.plus_ms(MAX_CALL_DELAY_MS)).max(worker.lease_end())
        };
        let lease_end = worker.granted_at.map_or(BootTime(0), longest_lease_end);
        let late_until = if idle { worker.late_until } else { late_until(now) };
        let calls = FormerCalls { lease_end, late_until };
        if lease_end > now || late_until > now {
            self.former_calls.insert(Arc::clone(&worker.name), calls);
        }
    }

    /// Creates the next incarnation of a worker. Its commands have a higher fencing token than any that was sent to a
    /// worker of this name, and its leases end when those have that such calls may have extended.
    pub(super) fn next_incarnation(&mut self, name: &Arc<str>, now: BootTime) -> Worker {
        let former = self.former_calls.get(name).copied().unwrap_or_default();
        let token = self.raise_token();
        let mut worker = Worker::new(Arc::clone(name), now.max(former.lease_end), token);
        worker.late_until = former.late_until.max(self.starts_end);
        worker
    }

    /// Returns when the leases have expired that calls for a former incarnation, or of a former leader, may have extended
    /// on a worker that returns its first list now. The request raised the worker's fencing token, so that no earlier call
    /// is carried out any more.
    ///
    /// `clock_ms` is the age of the incarnation. An old one has no lease from the clock of its predecessor.
    pub(super) fn former_lease_end(
        &self,
        is_watched: bool,
        clock_ms: u64,
        now: BootTime,
    ) -> Option<BootTime> {
        let oldest_ms = MAX_RENEWAL_MS + MAX_LATE_CALL_MS + self.lease_limit_ms;
        let may_be_owed = (is_watched || now < self.calls_end) && clock_ms < oldest_ms;
        may_be_owed.then(|| self.longest_lease_end(now))
    }
}
