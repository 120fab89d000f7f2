//! Usage reports on their way to the ledger.
//!
//! Workers report each interval of a lease late, more than once or out of order. [`UsageBuffer`] keeps
//! what is not charged yet and cuts it into spans that begin at the lease's watermark, so that the
//! ledger charges each interval once.
//!
//! ```
//! use coriandertack_core::{
//!     keys::{Epoch, JobId, LeaseId, TaskId},
//!     record::Usage,
//!     usage_buffer::UsageBuffer,
//! };
//!
//! let task = TaskId { job: JobId(1), index: 0 };
//! let lease = LeaseId::first(task, Epoch(1));
//! let usage = Usage { core_ms: 5, ..Usage::default() };
//! let mut buffer = UsageBuffer::default();
//! buffer.record(lease, 1, usage, 2_000);
//! assert!(buffer.chargeable_spans(|_| 0).is_empty(), "interval 0 is missing");
//! buffer.record(lease, 0, usage, 1_000);
//! buffer.record(lease, 0, usage, 1_000);
//! let spans = buffer.chargeable_spans(|_| 0);
//! assert_eq!((spans[0].from, spans[0].to, spans[0].usage.core_ms), (0, 2, 10));
//! ```

use std::collections::{BTreeMap, HashMap};

use crate::{
    keys::LeaseId,
    record::{Usage, UsageSpan},
    state::CHARGE_PERIOD_MS,
};

/// The most spans in one record; a span takes about 40 bytes, so the record stays under 64 KiB.
const MAX_SPANS: usize = 1_000;

/// One interval as reported.
#[derive(Clone, Copy, Debug)]
struct Interval {
    usage: Usage,
    end_ms: u64,
}

/// Intervals that are not charged yet.
#[derive(Clone, Debug, Default)]
pub struct UsageBuffer {
    leases: HashMap<LeaseId, BTreeMap<u32, Interval>>,
}

impl UsageBuffer {
    /// Notes an interval; a second report of it changes nothing.
    pub fn record(&mut self, lease: LeaseId, interval: u32, usage: Usage, end_ms: u64) {
        let intervals = self.leases.entry(lease).or_default();
        intervals.entry(interval).or_insert(Interval { usage, end_ms });
    }

    /// Returns the spans that can be charged now. `mark` gives the first uncharged interval of a lease.
    ///
    /// Spans end at the end of a charging period, so that each falls into one.
    pub fn chargeable_spans(&self, mark: impl Fn(LeaseId) -> u32) -> Vec<UsageSpan> {
        let mut spans = Vec::new();
        for (&lease, intervals) in &self.leases {
            if spans.len() >= MAX_SPANS {
                break;
            }
            join(lease, intervals, mark(lease), &mut spans);
        }
        spans
    }

    /// Drops what is charged. Returns the leases of which something was dropped, with their watermarks.
    pub fn drop_charged(&mut self, mark: impl Fn(LeaseId) -> u32) -> Vec<(LeaseId, u32)> {
        let mut settled = Vec::new();
        for (&lease, intervals) in &mut self.leases {
            let mark = mark(lease);
            let open = intervals.split_off(&mark);
            if !intervals.is_empty() {
                settled.push((lease, mark));
            }
            *intervals = open;
        }
        self.leases.retain(|_, intervals| !intervals.is_empty());
        settled
    }

    /// Drops a lease that can no longer be charged.
    pub fn forget(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
    }

    /// Returns the leases with intervals that are not charged yet.
    pub fn uncharged_leases(&self) -> impl Iterator<Item = LeaseId> + '_ {
        self.leases.keys().copied()
    }
}

fn join(
    lease: LeaseId,
    intervals: &BTreeMap<u32, Interval>,
    mark: u32,
    spans: &mut Vec<UsageSpan>,
) {
    let mut next = mark;
    for (&number, interval) in intervals.range(mark..) {
        if number != next {
            break;
        }
        next += 1;
        let period = interval.end_ms / CHARGE_PERIOD_MS;
        match spans.last_mut() {
            Some(span) if span.lease == lease && span.end_ms / CHARGE_PERIOD_MS == period => {
                span.to = next;
                span.usage += interval.usage;
                span.end_ms = span.end_ms.max(interval.end_ms);
            }
            _ => spans.push(UsageSpan {
                lease,
                from: number,
                to: next,
                usage: interval.usage,
                end_ms: interval.end_ms,
            }),
        }
    }
}
