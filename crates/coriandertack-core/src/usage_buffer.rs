//! Buffer of usage reports that are not charged to the ledger yet.
//!
//! Usage reports may arrive late, repeatedly or out of order. [`UsageBuffer`] keeps the uncharged intervals
//! of each lease and joins them into spans that start at the lease's watermark, so that the ledger charges
//! each interval exactly once.
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

/// Number of spans at which no further lease is added to a record. A span takes about 40 bytes, so this keeps a
/// record under 64 KiB.
const MAX_SPANS: usize = 1_000;

/// A usage interval as reported by the worker.
#[derive(Clone, Copy, Debug)]
struct Interval {
    usage: Usage,
    /// Wall-clock end in milliseconds since the Unix epoch.
    end_ms: u64,
}

/// Uncharged usage intervals by lease.
#[derive(Clone, Debug, Default)]
pub struct UsageBuffer {
    leases: HashMap<LeaseId, BTreeMap<u32, Interval>>,
}

impl UsageBuffer {
    /// Records an interval. Repeated reports of the same interval are ignored.
    pub fn record(&mut self, lease: LeaseId, interval: u32, usage: Usage, end_ms: u64) {
        let intervals = self.leases.entry(lease).or_default();
        intervals.entry(interval).or_insert(Interval { usage, end_ms });
    }

    /// Returns the spans that can be charged now. `watermark` returns the first uncharged interval of a lease.
    ///
    /// A span never crosses the end of a charging period, so that it can be charged to one period.
    pub fn chargeable_spans(&self, watermark: impl Fn(LeaseId) -> u32) -> Vec<UsageSpan> {
        let mut spans = Vec::new();
        for (&lease, intervals) in &self.leases {
            if spans.len() >= MAX_SPANS {
                break;
            }
            append_spans(lease, intervals, watermark(lease), &mut spans);
        }
        spans
    }

    /// Drops the intervals that are charged. Returns the leases that had such intervals, with their watermarks.
    pub fn drop_charged(&mut self, watermark: impl Fn(LeaseId) -> u32) -> Vec<(LeaseId, u32)> {
        let mut charged = Vec::new();
        for (&lease, intervals) in &mut self.leases {
            let watermark = watermark(lease);
            let uncharged = intervals.split_off(&watermark);
            if !intervals.is_empty() {
                charged.push((lease, watermark));
            }
            *intervals = uncharged;
        }
        self.leases.retain(|_, intervals| !intervals.is_empty());
        charged
    }

    /// Drops all intervals of a lease that can no longer be charged.
    pub fn forget(&mut self, lease: LeaseId) {
        self.leases.remove(&lease);
    }

    /// Returns the leases that have uncharged intervals.
    pub fn uncharged_leases(&self) -> impl Iterator<Item = LeaseId> + '_ {
        self.leases.keys().copied()
    }
}

/// Appends the spans of consecutive intervals of a lease from its watermark on.
fn append_spans(
    lease: LeaseId,
    intervals: &BTreeMap<u32, Interval>,
    watermark: u32,
    spans: &mut Vec<UsageSpan>,
) {
    let mut next = watermark;
    for (&index, interval) in intervals.range(watermark..) {
        if index != next {
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
                from: index,
                to: next,
                usage: interval.usage,
                end_ms: interval.end_ms,
            }),
        }
    }
}
