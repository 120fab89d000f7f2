//! Retention, snapshots, and restoring a VM from a snapshot and the records after it.

mod common;

use std::time::Duration;

use {
    coriandertack_core::{
        keys::{Incarnation, Offset},
        record::{Batch, Record, SnapshotPart},
    },
    coriandertack_log::{codec, tail::TailEnd},
    coriandertack_standins::log::Outage,
};

use common::STREAM;

const HOUR: Duration = Duration::from_secs(3_600);

/// Returns the snapshot parts in a record body, with their author.
fn parts(body: &[u8]) -> Vec<(Incarnation, SnapshotPart)> {
    let batch = codec::decode(body).unwrap();
    let part = |record| match record {
        Record::Snapshot(part) => Some((batch.author, part)),
        _ => None,
    };
    batch.entries.into_iter().filter_map(|entry| part(entry.record)).collect()
}

/// Guards against a new VM with a different state because retention removed records that it needs.
#[tokio::test]
async fn a_new_vm_is_restored_from_a_snapshot_and_later_records() {
    let service = common::service().await;
    service.set_retention(40, HOUR);
    let one = common::joined(&service, "one", 1).await;
    common::with_snapshots(&one, 10);
    one.node.submit_one("operator", common::team("vans", 0, 1_000)).await.unwrap();
    common::append_settings(&one.node, 60).await;
    assert!(service.earliest(STREAM) > 1);
    let two = common::joined(&service, "two", 2).await;
    let [first, second] = common::same_images(&one.node, &two.node).await;
    assert_eq!(first, second);
    assert_eq!(second.teams.len(), 1);
}

/// Guards against the loss of data when a snapshot is larger than one part.
#[tokio::test]
async fn a_large_snapshot_is_restored_from_its_parts() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    let large = "x".repeat(60 << 10);
    for name in ["first", "second", "third"] {
        one.node.submit_one("operator", common::setting(name, 0, &large)).await.unwrap();
    }
    common::with_snapshots(&one, 1_000);
    let last = service
        .wait_for(STREAM, |kept| {
            parts(&kept.body).iter().any(|(_, part)| part.part + 1 == part.parts)
        })
        .await;
    let bodies = service.records(STREAM).into_iter().flat_map(|kept| parts(&kept.body));
    let sizes: Vec<usize> = bodies.map(|(_, part)| part.body.len()).collect();
    assert!(sizes.len() > 1 && sizes.iter().all(|&size| size <= 64 << 10), "{sizes:?}");
    // Retains only the snapshot.
    let first = last.offset as usize + 1 - sizes.len();
    service.set_retention(service.records(STREAM).len() + 1 - first, HOUR);
    let two = common::joined(&service, "two", 2).await;
    let [first, second] = common::same_images(&one.node, &two.node).await;
    assert_eq!(first, second);
    assert_eq!(second.settings.len(), 3);
}

/// Guards against a snapshot that is not found, or only in part, because it is far from the tail.
#[tokio::test]
async fn a_snapshot_far_before_the_tail_is_found() {
    let service = common::service().await;
    service.set_retention(25_000, HOUR);
    let one = common::joined(&service, "one", 1).await;
    common::append_settings(&one.node, 3).await;
    let image = one.node.with(|shared| shared.state.image());
    let body = codec::encode_image(&image);
    let (head, rest) = body.split_at(body.len() / 2);
    // Void, because its author is not a member.
    let filler = part_batch(image.base, 0, 2, &[]);
    for (part, chunk) in (0..).zip([head, rest]) {
        service.inject(STREAM, codec::encode(&part_batch(image.base, part, 2, chunk)));
        for _ in 0..10_000 {
            service
                .inject(STREAM, codec::encode(&Batch { author: Incarnation(8), ..filler.clone() }));
        }
    }
    service.set_retention(20_002, HOUR);
    let two = common::joined(&service, "two", 2).await;
    let [first, second] = common::same_images(&one.node, &two.node).await;
    assert_eq!(first, second);
}

/// Returns a batch with one snapshot part.
fn part_batch(base: Offset, part: u32, parts: u32, body: &[u8]) -> Batch {
    let part = SnapshotPart { base, part, parts, body: body.to_vec() };
    let entry = common::entry(Record::Snapshot(part));
    Batch { author: Incarnation(9), seq: 1, entries: vec![entry] }
}

/// Guards against a VM that starts from an empty state although the log is truncated.
#[tokio::test]
async fn without_a_snapshot_a_new_vm_waits() {
    let service = common::service().await;
    service.set_retention(5, HOUR);
    let one = common::joined(&service, "one", 1).await;
    common::append_settings(&one.node, 20).await;
    let two = common::start(&service, "two", 2);
    common::with_snapshots(&one, 1_000);
    coriandertack_log::join(&two.node).await.unwrap();
    let [first, second] = common::same_images(&one.node, &two.node).await;
    assert_eq!(first, second);
}

/// Guards against a VM that skips records after a disconnection longer than the retention.
#[tokio::test]
async fn a_vm_behind_the_retention_stops() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    let two = common::joined(&service, "two", 2).await;
    service.set_outage(Outage::Client("two".into()));
    common::append_settings(&one.node, 10).await;
    service.set_retention(5, HOUR);
    service.set_outage(Outage::None);
    assert_eq!(two.tail.await.unwrap().unwrap(), TailEnd::Behind);
    assert!(!two.node.is_valid());
}

/// Guards against snapshots that stop when the session of the VM that wrote them ends.
#[tokio::test]
async fn the_next_lowest_session_takes_over_the_snapshots() {
    let service = common::service().await;
    let one = common::joined(&service, "one", 1).await;
    let two = common::joined(&service, "two", 2).await;
    common::with_snapshots(&one, 10);
    service.wait_for(STREAM, |kept| !parts(&kept.body).is_empty()).await;
    common::with_snapshots(&two, 10);
    coriandertack_log::leave(&one.node).await.unwrap();
    common::append_settings(&two.node, 10).await;
    let by_two = |author: Incarnation| author == Incarnation(2);
    service
        .wait_for(STREAM, |kept| parts(&kept.body).iter().any(|(author, _)| by_two(*author)))
        .await;
}
