//! Periodic snapshots of the state, written to the log.
//!
//! The VM with the lowest session appends its state in parts, well before the retention removes
//! records that a new VM would need. When that session ends, the VM with the next lowest session
//! takes over.

use std::{sync::Arc, time::Duration};

use {
    anyhow::bail,
    coriandertack_core::{
        node::{Node, Stage, now_ms},
        record::{Entry, Record, SnapshotPart},
        state::StateImage,
    },
    tokio::{
        select,
        task::spawn_blocking,
        time::{Instant, sleep, sleep_until},
    },
};

use crate::codec;

/// Maximum size of a part. Three parts and their framing fit in a batch.
const MAX_PART_BYTES: usize = 64 << 10;

/// Delay after a snapshot that could not be completed.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Conditions under which a snapshot is due, whichever is met first.
#[derive(Clone, Copy, Debug)]
pub struct SnapshotInterval {
    /// Number of records since the base of the last snapshot.
    pub records: u64,
    /// Time since the last snapshot was applied.
    pub period: Duration,
}

impl SnapshotInterval {
    /// Returns the conditions for a log with the given retention: a quarter of each limit.
    #[must_use]
    pub fn quarter(records: u64, age: Duration) -> Self {
        Self { records: (records / 4).max(1), period: age / 4 }
    }
}

/// Appends a snapshot whenever one is due and this VM has the lowest session, until the node stops.
pub async fn run(node: Arc<Node>, interval: SnapshotInterval) {
    let mut stage = node.stage.subscribe();
    select! {
        () = append_when_due(&node, interval) => {}
        _ = stage.wait_for(|stage| *stage == Stage::Stopped) => {}
    }
}

async fn append_when_due(node: &Node, interval: SnapshotInterval) {
    let mut applied = node.applied_offset.subscribe();
    let mut valid = node.valid_until.subscribe();
    let mut last_base = node.with(|shared| shared.state.snapshot_base);
    // The age of the snapshot that this VM was restored from is unknown, so the first one is due
    // now.
    let mut due = Instant::now();
    loop {
        let newest_base = node.with(|shared| shared.state.snapshot_base);
        if newest_base > last_base {
            last_base = newest_base;
            due = Instant::now() + interval.period;
        }
        if let Some(image) = image_if_due(node, interval, due) {
            let base = image.base;
            if let Err(error) = append_snapshot(node, image).await {
                log::warn!("event=snapshot_failed base={base} error={error:#}");
                sleep(RETRY_DELAY).await;
            }
            continue;
        }
        select! {
            _ = applied.changed() => {}
            // An overdue snapshot waits for the permission to act or for the lowest session.
            _ = valid.changed(), if Instant::now() >= due => {}
            () = sleep_until(due), if Instant::now() < due => {}
        }
    }
}

/// Returns the state image if a snapshot is due and this VM has to append it.
fn image_if_due(node: &Node, interval: SnapshotInterval, due: Instant) -> Option<StateImage> {
    let now = Instant::now();
    node.with(|shared| {
        let state = &shared.state;
        let own_key = state.vm_of(node.author)?;
        let has_lowest_session = state.sessions.values().next() == Some(&own_key);
        let records = state.offset.0 - state.snapshot_base.0;
        let is_due = records >= interval.records || now >= due;
        (has_lowest_session && is_due && shared.validity.is_valid(now)).then(|| state.image())
    })
}

async fn append_snapshot(node: &Node, image: StateImage) -> anyhow::Result<()> {
    let base = image.base;
    // At the target state size, encoding takes tens of milliseconds, which would delay other tasks.
    let body = spawn_blocking(move || codec::encode_image(&image)).await?;
    let parts = body.len().div_ceil(MAX_PART_BYTES);
    for (index, chunk) in body.chunks(MAX_PART_BYTES).enumerate() {
        let part = SnapshotPart {
            base,
            part: u32::try_from(index)?,
            parts: u32::try_from(parts)?,
            body: chunk.to_vec(),
        };
        append_part(node, part).await?;
    }
    log::info!("event=snapshot_appended base={base} parts={parts} bytes={}", body.len());
    Ok(())
}

async fn append_part(node: &Node, part: SnapshotPart) -> anyhow::Result<()> {
    let record = Record::Snapshot(part);
    let entry = Entry { actor: "system".into(), at_ms: now_ms(), record };
    let results = node.submit(vec![entry]).await?;
    let [Ok(_)] = results[..] else { bail!("the snapshot part was void when applied") };
    Ok(())
}
