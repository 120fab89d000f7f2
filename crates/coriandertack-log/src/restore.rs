//! Restoring the state of a VM from the retained part of the log.
//!
//! A first pass scans backwards from the tail for the newest complete snapshot and keeps only its
//! parts. The replay then reads from the snapshot's base on. The second pass reads the records
//! since the snapshot again, but no records are kept in memory and the log is read no further back
//! than needed.

use std::{collections::BTreeMap, time::Duration};

use {
    anyhow::{Context, bail},
    coriandertack_core::{
        keys::{Incarnation, Offset},
        node::Node,
        record::{Batch, Record, SnapshotPart},
        state::State,
    },
    tokio::time::{Instant, sleep},
};

use crate::{
    backoff::Backoff,
    client::{Client, FIRST_OFFSET, Read, StoredRecord},
    codec,
};

/// Number of records that each step of the backward scan reads. That many small records fill a
/// page.
const SCAN_STEP_RECORDS: u64 = 8_192;

/// Snapshot parts found by the backward scan.
#[derive(Debug)]
struct SnapshotScan {
    /// Lowest retained offset. A snapshot is unusable if records after its base are missing.
    earliest: Offset,
    /// Snapshots that are still missing parts.
    partial: BTreeMap<SnapshotId, SnapshotParts>,
    /// Newest complete snapshot.
    newest: Option<SnapshotParts>,
}

/// Identity of a snapshot. Parts of snapshots by several authors may interleave in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SnapshotId {
    base: Offset,
    author: Incarnation,
}

/// Parts of one snapshot, in the order of their numbers.
#[derive(Debug)]
struct SnapshotParts {
    base: Offset,
    bodies: BTreeMap<u32, Vec<u8>>,
}

/// Restores the state of `node` and returns the offset from which to replay.
///
/// Waits while the log service is unavailable. Also waits while the log is truncated and holds no
/// complete snapshot, because a replay without the truncated records would produce a wrong state.
///
/// # Errors
///
/// Fails if the newest snapshot is corrupt.
pub(crate) async fn restore(node: &Node, client: &Client) -> anyhow::Result<Offset> {
    let mut backoff = Backoff::default();
    loop {
        match find_snapshot(client).await {
            Ok(Some(ReplayStart::Empty)) => {
                node.restore(State::default());
                return Ok(FIRST_OFFSET);
            }
            Ok(Some(ReplayStart::Snapshot(parts))) => return restore_snapshot(node, parts),
            Ok(None) => log::error!("event=snapshot_missing vm={}", node.info.name),
            Err(error) => log::warn!("event=log_scan_failed error={error:#}"),
        }
        sleep(backoff.next_delay()).await;
    }
}

/// State from which the replay starts.
enum ReplayStart {
    /// Empty state, at the first record of the stream.
    Empty,
    /// State of a snapshot, after its base.
    Snapshot(SnapshotParts),
}

/// Searches for the newest complete snapshot.
///
/// Returns `None` if there is none and the log is truncated, so that no replay is possible.
async fn find_snapshot(client: &Client) -> anyhow::Result<Option<ReplayStart>> {
    let first_page = match client.read(FIRST_OFFSET, Duration::ZERO).await? {
        Read::Page(page) | Read::Gone(page) => page,
    };
    let earliest = first_page.earliest;
    let mut scan = SnapshotScan { earliest, partial: BTreeMap::new(), newest: None };
    let mut end = first_page.tail;
    while end > earliest && scan.newest.is_none() {
        let begin = Offset(end.0.saturating_sub(SCAN_STEP_RECORDS)).max(earliest);
        scan_range(client, begin, end, &mut scan).await?;
        end = begin;
    }
    Ok(match scan.newest {
        Some(parts) => Some(ReplayStart::Snapshot(parts)),
        None if earliest == FIRST_OFFSET => Some(ReplayStart::Empty),
        None => None,
    })
}

/// Scans the records in `begin..end`.
async fn scan_range(
    client: &Client,
    begin: Offset,
    end: Offset,
    scan: &mut SnapshotScan,
) -> anyhow::Result<()> {
    let mut from = begin;
    while from < end {
        let page = match client.read(from, Duration::ZERO).await? {
            Read::Page(page) => page,
            Read::Gone(_) => bail!("retention removed offset {from} during the snapshot scan"),
        };
        let records = page.records.iter().take_while(|record| record.offset < end);
        records.for_each(|record| scan.add_record(record));
        from = Offset(from.0 + page.records.len() as u64);
    }
    Ok(())
}

/// Replaces the state of `node` by that of a snapshot.
fn restore_snapshot(node: &Node, parts: SnapshotParts) -> anyhow::Result<Offset> {
    let base = parts.base;
    let body: Vec<u8> = parts.bodies.into_values().flatten().collect();
    let image = codec::decode_image(&body)
        .with_context(|| format!("cannot decode the snapshot at offset {base}"))?;
    node.restore(State::from_image(image, Instant::now()));
    log::info!("event=snapshot_loaded vm={} base={base} bytes={}", node.info.name, body.len());
    Ok(base.next())
}

impl SnapshotScan {
    fn add_record(&mut self, record: &StoredRecord) {
        match codec::decode(&record.body) {
            Ok(batch) => self.add_batch(batch),
            // The replay reads this record again and fails there, unless a snapshot covers it.
            Err(error) => log::warn!("event=scan_skipped offset={} error={error}", record.offset),
        }
    }

    fn add_batch(&mut self, batch: Batch) {
        for entry in batch.entries {
            if let Record::Snapshot(part) = entry.record {
                self.add_part(batch.author, part);
            }
        }
    }

    fn add_part(&mut self, author: Incarnation, part: SnapshotPart) {
        let base = part.base;
        let newest = self.newest.as_ref().map(|newest| newest.base);
        if base.next() < self.earliest || newest.is_some_and(|newest| base <= newest) {
            return;
        }
        let id = SnapshotId { base, author };
        let new_parts = || SnapshotParts { base, bodies: BTreeMap::new() };
        let parts = self.partial.entry(id).or_insert_with(new_parts);
        parts.bodies.insert(part.part, part.body);
        if parts.bodies.len() == part.parts as usize {
            self.newest = self.partial.remove(&id);
        }
    }
}
