//! Quarantine of workers on which runs keep failing.
//!
//! A single failure says little, since some tasks always fail. Failed runs of different jobs
//! without a completed run in between indicate a faulty worker. A run that stands still indicates
//! one by itself, since no task causes that; only the members of a gang wait for each other. The
//! worker gets no new tasks for a period that doubles each time.

use super::{Scheduler, WorkerKey};

use crate::{boot_time::BootTime, ids::JobId};

/// Number of consecutive failed runs of different jobs after which a worker is quarantined.
const QUARANTINE_FAILURES: u32 = 2;

/// Duration of a worker's first quarantine, in milliseconds. A fault that makes a worker fail its
/// runs lasts at least 4 s.
const MIN_QUARANTINE_MS: u64 = 2_000;

/// Upper bound on the duration of a quarantine, in milliseconds.
const MAX_QUARANTINE_MS: u64 = 30_000;

/// Divisor for the share of a service's workers that may be quarantined at once. If more than a
/// third fail, the work itself is at fault.
const MAX_QUARANTINED_DIVISOR: usize = 3;

impl Scheduler {
    /// Records that a run completed on a worker.
    pub(super) fn record_success(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.failures = 0;
            worker.failed_job = None;
            worker.quarantines = 0;
        }
    }

    /// Records that a run failed on a worker, and quarantines the worker after consecutive failures
    /// of [`QUARANTINE_FAILURES`] different jobs.
    pub(super) fn record_failure(&mut self, key: WorkerKey, job: JobId, now: BootTime) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.failed_job == Some(job) {
            return;
        }
        worker.failed_job = Some(job);
        worker.failures += 1;
        if worker.failures >= QUARANTINE_FAILURES {
            self.quarantine(key, now);
        }
    }

    /// Records that a run stands still on a worker, and quarantines the worker unless it already
    /// gets no new tasks.
    pub(super) fn record_stall(&mut self, key: WorkerKey, now: BootTime) {
        if self.workers.get(key).is_some_and(|worker| worker.avoided_until <= now) {
            self.quarantine(key, now);
        }
    }

    fn quarantine(&mut self, key: WorkerKey, now: BootTime) {
        let Some(worker) = self.workers.get(key) else { return };
        let Some(service) = worker.entry.as_ref().map(|entry| entry.service.clone()) else {
            return;
        };
        let (all, avoided) = self.count_service(&service, now);
        if (avoided + 1) * MAX_QUARANTINED_DIVISOR > all {
            return;
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        let term_ms =
            MIN_QUARANTINE_MS.saturating_mul(1 << worker.quarantines.min(8)).min(MAX_QUARANTINE_MS);
        worker.avoided_until = worker.avoided_until.max(now.plus_ms(term_ms));
        worker.quarantines += 1;
        // After the quarantine, a single failure suffices for the next one.
        worker.failures = QUARANTINE_FAILURES - 1;
        self.stats.quarantined += 1;
        log::info!(
            "event=worker_quarantined worker={} term_ms={term_ms} relapses={}",
            worker.name,
            worker.quarantines
        );
    }

    /// Returns the number of a service's workers, and how many of them currently get no new tasks.
    fn count_service(&self, service: &str, now: BootTime) -> (usize, usize) {
        let of_service = |worker: &&super::Worker| {
            worker.entry.as_ref().is_some_and(|entry| &*entry.service == service)
        };
        let all = self.workers.values().filter(of_service).count();
        let avoided =
            self.workers.values().filter(of_service).filter(|w| w.avoided_until > now).count();
        (all, avoided)
    }
}
