//! Start of a VM from the retained part of the log.
//!
//! A first pass over the log finds the newest complete snapshot and keeps only its parts. The replay
//! then reads from the snapshot's base on. Two passes cost a second read of a part of the log, but
//! keep no records in memory.

use std::{collections::BTreeMap, time::Duration};

use {
    anyhow::Context,
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
    client::{Client, FIRST, Page, Read},
    codec,
};

/// Parts of snapshots that a pass over the log has found.
#[derive(Debug, Default)]
struct Found {
    /// Snapshots with missing parts, one for each author.
    partial: BTreeMap<Incarnation, Parts>,
    /// The newest complete one.
    newest: Option<Parts>,
}

/// Parts of one snapshot.
#[derive(Debug)]
struct Parts {
    base: Offset,
    count: u32,
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

/// Reads the retained log once. Returns nothing if no start is possible.
async fn scan(client: &Client) -> anyhow::Result<Option<Start>> {
    let bounds = match client.read(FIRST, Duration::ZERO).await? {
        Read::Page(page) | Read::Gone(page) => page,
    };
    let mut found = Found::default();
    let mut from = bounds.earliest;
    while from < bounds.tail {
        let page = match client.read(from, Duration::ZERO).await? {
            Read::Page(page) => page,
            Read::Gone(_) => anyhow::bail!("the retention passed offset {from} during the scan"),
        };
        from = Offset(from.0 + page.records.len() as u64);
        found.add_page(&page);
    }
    Ok(match found.newest {
        Some(parts) if parts.base.next() >= bounds.earliest => Some(Start::Snapshot(parts)),
        _ if bounds.earliest == FIRST => Some(Start::Empty),
        _ => None,
    })
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
    fn add_page(&mut self, page: &Page) {
        for record in &page.records {
            match codec::decode(&record.body) {
                Ok(batch) => self.add_batch(batch),
                // The replay meets this record again, unless a snapshot includes its effect.
                Err(error) => {
                    log::warn!("event=scan_skipped offset={} error={error}", record.offset);
                }
            }
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
        if self.newest.as_ref().is_some_and(|newest| part.base <= newest.base) {
            return;
        }
        let fresh = Parts { base: part.base, count: part.parts, bodies: BTreeMap::new() };
        let parts = self.partial.entry(author).or_insert(fresh);
        if parts.base != part.base || parts.count != part.parts {
            *parts = Parts { base: part.base, count: part.parts, bodies: BTreeMap::new() };
        }
        parts.bodies.insert(part.part, part.body);
        if parts.bodies.len() == parts.count as usize {
            self.newest = self.partial.remove(&author);
        }
    }
}
