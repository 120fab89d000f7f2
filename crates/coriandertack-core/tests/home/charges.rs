use std::collections::BTreeMap;

use coriandertack_core::{
    keys::{Epoch, JobId, LeaseId, TaskId},
    record::{Kind, Record, Usage},
    usage_buffer::UsageBuffer,
};
use proptest::prelude::*;

use crate::support::TestHome;

fn usage(core_ms: u64) -> Usage {
    Usage { core_ms, ..Usage::default() }
}

proptest! {
    /// Guards against charging an interval twice or not at all if reports are reordered, duplicated, or sent to
    /// several owners.
    #[test]
    fn each_interval_is_charged_once(
        order in Just((0_u32..30).collect::<Vec<_>>()).prop_shuffle(),
        copies in prop::collection::vec(0_u32..30, 0..40),
        owners in prop::collection::vec(0_usize..3, 70),
    ) {
        let mut home = TestHome::new();
        let job = home.submit("plan", Kind::Batch, 1, 0);
        let lease = LeaseId::first(TaskId { job, index: 0 }, Epoch(1));
        let mut buffers = vec![UsageBuffer::default(); 3];
        let reports: Vec<u32> = order.into_iter().chain(copies).collect();
        for (&interval, &owner) in reports.iter().zip(&owners) {
            // The worker reports to its current owner, and again to each later owner.
            for buffer in &mut buffers[owner..] {
                buffer.record(lease, interval, usage(u64::from(interval) + 1), 1_000);
            }
            let watermark = home.state.ledger.watermark(lease);
            let spans = buffers[owner].chargeable_spans(|_| watermark);
            if !spans.is_empty() {
                let _ = home.apply(Record::Usage(spans));
            }
        }
        for buffer in &buffers {
            let watermark = home.state.ledger.watermark(lease);
            let spans = buffer.chargeable_spans(|_| watermark);
            if !spans.is_empty() {
                home.apply(Record::Usage(spans)).unwrap();
            }
        }
        prop_assert_eq!(home.state.ledger.watermark(lease), 30);
        prop_assert_eq!(home.state.ledger.total("vans").core_ms, (1..=30).sum::<u64>());
    }
}

/// Guards against a span that covers two charging periods, which would be charged to only one of them.
#[test]
fn span_does_not_cross_charging_periods() {
    let lease = LeaseId::first(TaskId { job: JobId(1), index: 0 }, Epoch(1));
    let mut buffer = UsageBuffer::default();
    for interval in 0..4 {
        buffer.record(lease, interval, usage(1), 3_599_000 + u64::from(interval) * 500);
    }
    let spans = buffer.chargeable_spans(|_| 0);
    let bounds: Vec<(u32, u32)> = spans.iter().map(|span| (span.from, span.to)).collect();
    assert_eq!(bounds, [(0, 2), (2, 4)]);
}

/// Guards against usage that is missing from the charges of its team and kind.
#[test]
fn charges_are_summed_by_team_and_kind() {
    let mut home = TestHome::new();
    let batch = home.submit("plan", Kind::Batch, 1, 0);
    let service = home.submit("confirm", Kind::Service, 1, 0);
    let mut buffer = UsageBuffer::default();
    for (job, core_ms) in [(batch, 3), (service, 5)] {
        let lease = LeaseId::first(TaskId { job, index: 0 }, Epoch(1));
        buffer.record(lease, 0, usage(core_ms), 1_000);
    }
    home.apply(Record::Usage(buffer.chargeable_spans(|_| 0))).unwrap();
    let by_kind: BTreeMap<Kind, u64> =
        home.state.ledger.charges().map(|line| (line.key.kind, line.usage.core_ms)).collect();
    assert_eq!(by_kind, BTreeMap::from([(Kind::Service, 5), (Kind::Batch, 3)]));
    assert_eq!(home.state.ledger.total("vans").core_ms, 8);
}
