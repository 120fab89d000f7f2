//! The leader's task that deletes the records of jobs after their retention time.

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
    leadership::Leadership,
    shared::{Counters, Shared},
};

/// Time for which the records of an ended job are kept beyond `bounds.status_s`, in milliseconds.
const RETENTION_MARGIN_MS: u64 = 30_000;

/// Maximum number of jobs whose records are deleted in one round: a few records of about 20 bytes for each. All early
/// cancellations that may be kept are deleted within a minute.
const MAX_EXPIRED_JOBS: usize = 1_000;

/// Interval between two rounds, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 5_000;

/// Deletes the records of jobs whose retention time has passed, until the leadership ends.
pub async fn run(leadership: Arc<Leadership>) {
    let shared = &leadership.shared;
    let mut store = Store::new(shared.settings.platform.store);
    let retention_ms = shared.settings.bounds.status_s * 1_000 + RETENTION_MARGIN_MS;
    loop {
        sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let before = BootTime(clock::now().0.saturating_sub(retention_ms));
        let jobs = shared.replica().expired_jobs(before, MAX_EXPIRED_JOBS);
        if jobs.is_empty() {
            continue;
        }
        if delete_jobs(shared, &mut store, &jobs).await {
            // The scheduler would miss the deletion if the history of the topic were dropped before it is read.
            let mut scheduler = leadership.scheduler();
            jobs.into_iter().for_each(|id| scheduler.forget_job(id));
        }
    }
}

/// Deletes the records of jobs, their progress last: a job that is known by its submission alone is run again.
///
/// Returns whether the store has confirmed all of it. After a failure, the next round tries again.
pub async fn delete_jobs(shared: &Shared, store: &mut Store, jobs: &[JobId]) -> bool {
    // A submission is in the intake topic if a VM appended it, and in the progress topic if the leader did.
    let mut keys = request_keys(jobs);
    if !delete_records(shared, store, Topic::Intake, keys.clone()).await {
        return false;
    }
    keys.extend(progress_keys(jobs));
    delete_records(shared, store, Topic::Progress, keys).await
}

fn progress_keys(ids: &[JobId]) -> Vec<String> {
    ids.iter().map(|id| jobs::progress_key(*id)).collect()
}

fn request_keys(ids: &[JobId]) -> Vec<String> {
    ids.iter().flat_map(|id| jobs::request_keys(*id)).collect()
}

/// Deletes keys of a topic, and returns whether the store has confirmed it.
async fn delete_records(
    shared: &Shared,
    store: &mut Store,
    topic: Topic,
    keys: Vec<String>,
) -> bool {
    let records: Vec<Record> =
        keys.into_iter().map(|key| Record { key, value: Bytes::new() }).collect();
    Counters::count(&shared.counters.appends);
    let result = store.append(topic, &records, None, None).await;
    if let Err(error) = &result {
        log::info!("event=forget_failed topic={topic:?} error=\"{error}\"");
    }
    result.is_ok()
}
