use std::collections::BTreeMap;

use coriandertack_core::{
    keys::{Epoch, JobId, LeaseId, TaskId},
    record::{Kind, Record, Usage},
    usage_buffer::UsageBuffer,
};
use proptest::prelude::*;

use crate::support::Bed;

fn usage(core_ms: u64) -> Usage {
    Usage { core_ms, ..Usage::default() }
}

proptest! {
    /// Guards against an interval that is charged twice or not at all, whatever the order, the copies, and the owners
    /// that report it.
    #[test]
    fn each_interval_is_charged_once(
        order in Just((0_u32..30).collect::<Vec<_>>()).prop_shuffle(),
        copies in prop::collection::vec(0_u32..30, 0..40),
        owners in prop::collection::vec(0_usize..3, 70),
    ) {
        let mut bed = Bed::new();
        let job = bed.submit("plan", Kind::Batch, 1, 0);
        let lease = LeaseId::first(TaskId { job, index: 0 }, Epoch(1));
        let mut books = vec![UsageBuffer::default(); 3];
        let reports: Vec<u32> = order.into_iter().chain(copies).collect();
        for (&interval, &owner) in reports.iter().zip(&owners) {
            // The worker reports to its owner of the moment, and again to each later one.
            for book in &mut books[owner..] {
                book.record(lease, interval, usage(u64::from(interval) + 1), 1_000);
            }
            let mark = bed.state.ledger.watermark(lease);
            let spans = books[owner].chargeable_spans(|_| mark);
            if !spans.is_empty() {
                let _ = bed.apply(Record::Usage(spans));
            }
        }
        for book in &books {
            let mark = bed.state.ledger.watermark(lease);
            let spans = book.chargeable_spans(|_| mark);
            if !spans.is_empty() {
                bed.apply(Record::Usage(spans)).unwrap();
            }
        }
        prop_assert_eq!(bed.state.ledger.watermark(lease), 30);
        prop_assert_eq!(bed.state.ledger.total("vans").core_ms, (1..=30).sum::<u64>());
    }
}

/// Guards against a span that covers two charging periods, which would charge one of them wrongly.
#[test]
fn a_span_ends_with_its_period() {
    let lease = LeaseId::first(TaskId { job: JobId(1), index: 0 }, Epoch(1));
    let mut book = UsageBuffer::default();
    for interval in 0..4 {
        book.record(lease, interval, usage(1), 3_599_000 + u64::from(interval) * 500);
    }
    let spans = book.chargeable_spans(|_| 0);
    let bounds: Vec<(u32, u32)> = spans.iter().map(|span| (span.from, span.to)).collect();
    assert_eq!(bounds, [(0, 2), (2, 4)]);
}

/// Guards against records of usage that no charge line can be found for.
#[test]
fn lines_add_up_by_team_and_kind() {
    let mut bed = Bed::new();
    let batch = bed.submit("plan", Kind::Batch, 1, 0);
    let service = bed.submit("confirm", Kind::Service, 1, 0);
    let mut book = UsageBuffer::default();
    for (job, core_ms) in [(batch, 3), (service, 5)] {
        let lease = LeaseId::first(TaskId { job, index: 0 }, Epoch(1));
        book.record(lease, 0, usage(core_ms), 1_000);
    }
    bed.apply(Record::Usage(book.chargeable_spans(|_| 0))).unwrap();
    let by_kind: BTreeMap<Kind, u64> =
        bed.state.ledger.charges().map(|line| (line.key.kind, line.usage.core_ms)).collect();
    assert_eq!(by_kind, BTreeMap::from([(Kind::Service, 5), (Kind::Batch, 3)]));
    assert_eq!(bed.state.ledger.total("vans").core_ms, 8);
}
