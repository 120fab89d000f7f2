//! The leader's task that drops the records of jobs that ended long ago.

use std::{sync::Arc, time::Duration};

use {
    bytes::Bytes,
    coriandertack_jobs::{boot_time::BootTime, ids::JobId},
    coriandertack_log::jobs,
    coriandertack_platform::store::{Record, Store, Topic},
    tokio::time::sleep,
};

use super::{
    clock,
    lead::Leading,
    shared::{Counters, Shared},
};

/// Time beyond the promised one for which a job that ended stays recorded, in milliseconds.
const KEPT_MS: u64 = 30_000;

/// Most jobs that are forgotten at a time.
const MOST_FORGOTTEN: usize = 100;

/// Pause between two looks for jobs to forget, in milliseconds.
const FORGET_EVERY_MS: u64 = 5_000;

/// Drops the records of jobs that ended long ago.
pub async fn run(leading: Arc<Leading>) {
    let shared = &leading.shared;
    let mut store = Store::new(shared.settings.platform.store);
    let kept = shared.settings.bounds.status_s * 1_000 + KEPT_MS;
    loop {
        sleep(Duration::from_millis(FORGET_EVERY_MS)).await;
        let before = BootTime(clock::now().0.saturating_sub(kept));
        let jobs = shared.replica().expired_jobs(before, MOST_FORGOTTEN);
        if jobs.is_empty() {
            continue;
        }
        // A submission is in the one stream or the other, depending on who appended it.
        let mut keys = request_keys(&jobs);
        drop_records(shared, &mut store, Topic::Intake, keys.clone()).await;
        keys.extend(progress_keys(&jobs));
        drop_records(shared, &mut store, Topic::Progress, keys).await;
    }
}

fn progress_keys(ids: &[JobId]) -> Vec<String> {
    ids.iter().map(|id| jobs::progress_key(*id)).collect()
}

fn request_keys(ids: &[JobId]) -> Vec<String> {
    ids.iter().flat_map(|id| jobs::request_keys(*id)).collect()
}

async fn drop_records(shared: &Shared, store: &mut Store, topic: Topic, keys: Vec<String>) {
    let records: Vec<Record> =
        keys.into_iter().map(|key| Record { key, value: Bytes::new() }).collect();
    Counters::count(&shared.counters.appends);
    // A job that stays recorded is dropped with the next look.
    if let Err(error) = store.append(topic, &records, None, None).await {
        log::info!("event=forget_failed topic={topic:?} error=\"{error}\"");
    }
}
