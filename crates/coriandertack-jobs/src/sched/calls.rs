//! Calls to workers: which may still be carried out, and what bars them.
//!
//! A call names the worker, but not its incarnation. One that gets no answer may be carried out seconds later, by this
//! incarnation or the next. Each such call raises the fencing token of the worker's later commands, and the answer to a
//! list with the raised token proves that the incarnation carries out none of the earlier calls any more. Until then, no
//! run counts as absent and no end is acknowledged. Commands that follow an acknowledgement have a higher token than it, so
//! that it drops no end of theirs. See docs/design.md, "When a run has ended".

use super::{Scheduler, Worker, WorkerKey, worker::Run};

use crate::boot_time::BootTime;

/// How long after it was sent a call without an answer may still be carried out, in milliseconds. The protocol speaks of
/// seconds (section "Running tasks").
pub(super) const MAX_LATE_CALL_MS: u64 = 12_000;

/// Fencing token of a command to a worker, which does nothing for a lower one than it has seen.
///
/// The tokens of a later leader are higher than those of an earlier one, whatever these have been raised to.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display,
)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Number of low bits that count within an epoch. Epochs up to 2^29 leave the value exact in a decoder that
    /// reads numbers as floating-point ones.
    const COUNT_BITS: u32 = 24;

    /// Returns the lowest token of a leader.
    #[must_use]
    pub const fn first(epoch: u64) -> Self {
        Self(epoch << Self::COUNT_BITS)
    }

    /// Returns the token as it is sent.
    #[must_use]
    pub const fn value(self) -> u64 {
        self.0
    }

    /// Returns true if no higher token is left to the leader.
    const fn is_last(self) -> bool {
        (self.0 + 1).trailing_zeros() >= Self::COUNT_BITS
    }

    const fn raised(self) -> Self {
        if self.is_last() { self } else { Self(self.0 + 1) }
    }
}

/// A request for a worker's list of runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ListCall {
    /// When the request was made.
    pub sent_at: BootTime,
    /// Fencing token of the request.
    pub token: FencingToken,
    /// Number up to which ends are acknowledged; 0 for none. Such a request may only be sent on a connection on
    /// which the incarnation has listed them: the next one numbers its ends anew, and would drop those up to this
    /// number before any list has shown them.
    pub acknowledged: u64,
    /// End of the renewed lease, on the worker's clock; `None` if it is not renewed.
    pub lease_end: Option<u64>,
    /// Time for which the worker should wait for a run to end, in milliseconds.
    pub wait_ms: u64,
}

impl Worker {
    /// Returns the fencing token of commands that are sent to the worker now.
    #[must_use]
    pub const fn token(&self) -> FencingToken {
        self.token
    }

    /// Returns true if the incarnation has answered a list after the last call that got no answer, so that it carries
    /// out none of them any more.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.listed_token.is_some_and(|listed| listed >= self.barrier)
    }

    /// Returns true if a call may still reach the next incarnation, which has seen no token. It is then listed all the
    /// while, so that a next incarnation sees the token as soon as it answers.
    pub(super) fn is_watched(&self, now: BootTime) -> bool {
        now < self.late_until
    }

    /// Returns true if nothing is expected from the worker, so that its list need not be requested. A worker that is
    /// missing from the list of workers may have left, and then never answers.
    #[must_use]
    pub fn is_idle(&self, now: BootTime) -> bool {
        let settled = self.is_current() && !self.has_ends_to_acknowledge();
        self.run_count() == 0 && (settled || self.absent) && !self.is_watched(now)
    }

    /// Returns true if a start was sent of which the worker has not told the outcome, and the next list tells it.
    pub(super) fn has_open_starts(&self) -> bool {
        self.runs.values().any(|run| {
            run.sent_at.is_some() && run.confirmed_at.is_none() && run.token < self.token
        })
    }

    /// Returns the request for a list to send now; see [`Scheduler::next_list`].
    ///
    /// A lease is renewed only while answers arrive. A worker whose answers are lost ends its runs when the lease
    /// expires, so that they can run elsewhere.
    fn list_call(&mut self, open: bool, renew: bool, now: BootTime) -> Option<ListCall> {
        if self.is_idle(now) {
            return None;
        }
        let open = open && self.is_current();
        let lease_end = (open && renew).then(|| self.grant_lease(now)).flatten();
        // Without runs, the list is needed only to acknowledge ends.
        let waits = open && (self.run_count() > 0 || self.is_watched(now));
        let acknowledged = if open { self.end_to_acknowledge() } else { 0 };
        self.changing = acknowledged > 0 || lease_end.is_some();
        let wait_ms = if waits { self.list_wait_ms() } else { 0 };
        Some(ListCall { sent_at: now, token: self.token, acknowledged, lease_end, wait_ms })
    }

    /// Records that the worker answered a request for a list.
    pub(super) fn record_list_answer(&mut self, call: &ListCall) {
        self.acknowledged_end = self.acknowledged_end.max(call.acknowledged);
        let was_current = self.listed_token.is_none() || self.is_current();
        self.listed_token = self.listed_token.max(Some(call.token));
        if !was_current && self.is_current() {
            log::info!("event=calls_barred worker={} token={}", self.name, call.token);
        }
    }
}

/// Returns until when a call may be carried out that was sent before `now`.
pub(super) const fn late_until(now: BootTime) -> BootTime {
    now.plus_ms(MAX_LATE_CALL_MS)
}

impl Run {
    /// Returns true if a list that omits the run proves that it is not on the worker, and never will be.
    pub(super) fn is_settled_by(&self, call: &ListCall) -> bool {
        if self.repeats {
            return false;
        }
        self.confirmed_at.is_some_and(|at| at < call.sent_at)
            || (self.sent_at.is_some() && self.token < call.token)
    }
}

impl Scheduler {
    /// Sets the epoch of the leader, to which the fencing tokens of its commands belong.
    pub const fn set_epoch(&mut self, epoch: u64) {
        self.token = FencingToken::first(epoch);
    }

    /// Returns true if no token is left, so that calls can no longer be barred and the leadership has to end.
    #[must_use]
    pub const fn has_spent_tokens(&self) -> bool {
        self.token.is_last()
    }

    /// Returns a token that is higher than that of any command so far.
    pub(super) const fn raise_token(&mut self) -> FencingToken {
        self.token = self.token.raised();
        self.token
    }

    /// Returns the request for a list to send to a worker now, or `None` if there is no need for one. `open` tells
    /// whether it is sent on the connection on which the worker answered the last one, and `renew` whether leases may be
    /// renewed.
    pub fn next_list(
        &mut self,
        key: WorkerKey,
        open: bool,
        renew: bool,
        now: BootTime,
    ) -> Option<ListCall> {
        let call = self.workers.get_mut(key)?.list_call(open, renew, now)?;
        if call.acknowledged > 0 {
            let token = self.raise_token();
            self.workers.get_mut(key)?.token = token;
        }
        Some(call)
    }

    /// Raises the token of a worker's commands, so that the next list that it answers bars the earlier ones.
    pub(super) fn bar_calls(&mut self, key: WorkerKey) {
        let token = self.raise_token();
        if let Some(worker) = self.workers.get_mut(key) {
            (worker.token, worker.barrier) = (token, token);
        }
    }

    /// Records that a request for a list got no answer. It may still be carried out, which matters if it changes
    /// anything.
    pub(super) fn record_unanswered_list(&mut self, key: WorkerKey, now: BootTime) {
        match self.workers.get(key).is_some_and(|worker| worker.changing) {
            true => self.record_unanswered(key, now),
            false => self.bar_calls(key),
        }
    }

    /// Records that a call to a worker got no answer and may still be carried out.
    pub(super) fn record_unanswered(&mut self, key: WorkerKey, now: BootTime) {
        self.bar_calls(key);
        if let Some(worker) = self.workers.get_mut(key) {
            worker.late_until = late_until(now);
        }
    }

    /// Returns true if a worker refused a command with `token` because it has seen a higher one of this leader. Such a
    /// refusal does not tell of another leader.
    #[must_use]
    pub fn is_outdated(&self, key: WorkerKey, token: FencingToken) -> bool {
        self.workers.get(key).is_none_or(|worker| token < worker.token)
    }
}
