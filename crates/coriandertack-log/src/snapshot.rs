//! The task that appends snapshots.
//!
//! The VM with the lowest session appends the state in parts, well before the retention drops what
//! a new VM would need. The other VMs watch, and the next one takes over when that session ends.

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

/// Most bytes of a part. Three parts and their framing fit in a batch.
const PART_BYTES: usize = 64 << 10;

/// Pause after a snapshot that could not be completed.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// When a snapshot is due: a quarter of the log's retention.
#[derive(Clone, Copy, Debug)]
pub struct Every {
    /// Records since the base of the last snapshot.
    pub records: u64,
    /// Time since the last snapshot was seen.
    pub period: Duration,
}

impl Every {
    /// Returns a quarter of a retention.
    #[must_use]
    pub fn quarter(records: u64, age: Duration) -> Self {
        Self { records: (records / 4).max(1), period: age / 4 }
    }
}

/// Appends a snapshot whenever one is due and this VM has the lowest session, until the node stops.
pub async fn run(node: Arc<Node>, every: Every) {
    let mut stage = node.stage.subscribe();
    select! {
        () = append_all(&node, every) => {}
        _ = stage.wait_for(|stage| *stage == Stage::Stopped) => {}
    }
}

async fn append_all(node: &Node, every: Every) {
    let mut applied = node.applied_offset.subscribe();
    let mut valid = node.valid_until.subscribe();
    let mut last = node.with(|shared| shared.state.snapshot_base);
    // How old the snapshot is that this VM has started from is unknown, so the first one is due now.
    let mut due = Instant::now();
    loop {
        let newest = node.with(|shared| shared.state.snapshot_base);
        if newest > last {
            last = newest;
            due = Instant::now() + every.period;
        }
        if let Some(image) = image_if_due(node, every, due) {
            let base = image.base;
            if let Err(error) = append(node, image).await {
                log::warn!("event=snapshot_failed base={base} error={error:#}");
                sleep(RETRY_PAUSE).await;
            }
            continue;
        }
        select! {
            _ = applied.changed() => {}
            // One that is overdue waits for the permission to act, or for the session to be the lowest.
            _ = valid.changed(), if Instant::now() >= due => {}
            () = sleep_until(due), if Instant::now() < due => {}
        }
    }
}

/// Returns the state if this VM has to append it now.
fn image_if_due(node: &Node, every: Every, due: Instant) -> Option<StateImage> {
    let now = Instant::now();
    node.with(|shared| {
        let state = &shared.state;
        let me = state.vm_of(node.author)?;
        let lowest = state.sessions.values().next() == Some(&me);
        let records = state.offset.0 - state.snapshot_base.0;
        let is_due = records >= every.records || now >= due;
        (lowest && is_due && shared.validity.is_valid(now)).then(|| state.image())
    })
}

async fn append(node: &Node, image: StateImage) -> anyhow::Result<()> {
    let base = image.base;
    // At the target size the encoding takes tens of milliseconds, for which other tasks would wait.
    let body = spawn_blocking(move || codec::encode_image(&image)).await?;
    let parts = body.len().div_ceil(PART_BYTES);
    for (index, chunk) in body.chunks(PART_BYTES).enumerate() {
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
    let [Ok(_)] = results[..] else { bail!("void part") };
    Ok(())
}
