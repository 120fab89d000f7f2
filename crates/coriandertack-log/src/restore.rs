//! Start of a VM from the retained part of the log.
//!
//! A first pass goes back from the tail to the newest complete snapshot and keeps only its parts. The
//! replay then reads from the snapshot's base on. Two passes cost a second read of the records since
//! the snapshot, but keep no records in memory, and read no more than the newest part of the log.

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
    client::{Client, FIRST, Read, Stored},
    codec,
};

/// Records that one step of the way back reads. Small records of that number fill a page.
const SCAN_RECORDS: u64 = 8_192;

/// Parts of snapshots that a pass over the log has found.
#[derive(Debug)]
struct Found {
    /// Lowest offset that is kept; a snapshot with a gap after its base is useless.
    earliest: Offset,
    /// Snapshots with missing parts.
    partial: BTreeMap<SnapshotId, Parts>,
    /// The newest complete one.
    newest: Option<Parts>,
}

/// Origin of a snapshot. Snapshots of several authors may be mixed in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SnapshotId {
    base: Offset,
    author: Incarnation,
}

/// Parts of one snapshot.
#[derive(Debug)]
struct Parts {
    base: Offset,
    bodies: BTreeMap<u32, Vec<u8>>,
}

/// Restores the state of `node` and returns the offset from which to replay.
///
/// Waits while the log service is unavailable, and while the log has lost its beginning and holds no
/// complete snapshot: a state without its beginning would be wrong.
///
/// # Errors
///
/// Fails if the newest snapshot is corrupt.
pub(crate) async fn start(node: &Node, client: &Client) -> anyhow::Result<Offset> {
    let mut backoff = Backoff::default();
    loop {
        match scan(client).await {
            Ok(Some(Start::Empty)) => {
                node.restore(State::default());
                return Ok(FIRST);
            }
            Ok(Some(Start::Snapshot(parts))) => return load(node, parts),
            Ok(None) => log::error!("event=snapshot_missing vm={}", node.info.name),
            Err(error) => log::warn!("event=log_scan_failed error={error:#}"),
        }
        sleep(backoff.fail()).await;
    }
}

/// Where a replay starts.
enum Start {
    /// At the first record of the stream.
    Empty,
    /// After the base of a snapshot.
    Snapshot(Parts),
}

/// Looks for the newest complete snapshot. Returns nothing if no start is possible.
async fn scan(client: &Client) -> anyhow::Result<Option<Start>> {
    let bounds = match client.read(FIRST, Duration::ZERO).await? {
        Read::Page(page) | Read::Gone(page) => page,
    };
    let earliest = bounds.earliest;
    let mut found = Found { earliest, partial: BTreeMap::new(), newest: None };
    let mut end = bounds.tail;
    while end > earliest && found.newest.is_none() {
        let begin = Offset(end.0.saturating_sub(SCAN_RECORDS)).max(earliest);
        scan_range(client, begin, end, &mut found).await?;
        end = begin;
    }
    Ok(match found.newest {
        Some(parts) => Some(Start::Snapshot(parts)),
        None if earliest == FIRST => Some(Start::Empty),
        None => None,
    })
}

/// Reads the records from `begin` up to but not including `end`.
async fn scan_range(
    client: &Client,
    begin: Offset,
    end: Offset,
    found: &mut Found,
) -> anyhow::Result<()> {
    let mut from = begin;
    while from < end {
        let page = match client.read(from, Duration::ZERO).await? {
            Read::Page(page) => page,
            Read::Gone(_) => bail!("the retention passed offset {from} during the scan"),
        };
        let records = page.records.iter().take_while(|record| record.offset < end);
        records.for_each(|record| found.add_record(record));
        from = Offset(from.0 + page.records.len() as u64);
    }
    Ok(())
}

fn load(node: &Node, parts: Parts) -> anyhow::Result<Offset> {
    let base = parts.base;
    let body: Vec<u8> = parts.bodies.into_values().flatten().collect();
    let image = codec::decode_image(&body).with_context(|| format!("snapshot of {base}"))?;
    node.restore(State::from_image(image, Instant::now()));
    log::info!("event=snapshot_loaded vm={} base={base} bytes={}", node.info.name, body.len());
    Ok(base.next())
}

impl Found {
    fn add_record(&mut self, record: &Stored) {
        match codec::decode(&record.body) {
            Ok(batch) => self.add_batch(batch),
            // The replay meets this record again, unless a snapshot includes its effect.
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
        let fresh = || Parts { base, bodies: BTreeMap::new() };
        let parts = self.partial.entry(id).or_insert_with(fresh);
        parts.bodies.insert(part.part, part.body);
        if parts.bodies.len() == part.parts as usize {
            self.newest = self.partial.remove(&id);
        }
    }
}
