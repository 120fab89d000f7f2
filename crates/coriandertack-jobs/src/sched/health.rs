//! Workers that fail what they start.
//!
//! A single failure says little: some tasks always fail. Failed runs of different jobs, with none done in between,
//! speak against the worker. It then gets no new tasks for a time that doubles with each relapse.

use super::{Scheduler, WorkerKey};

use crate::{boot_time::BootTime, ids::JobId};

/// Failed runs of different jobs in a row after which a worker is taken out of use.
const FAILURES: u32 = 2;

/// How long a worker is first out of use, in milliseconds. The shortest sheet of troubles has workers fail for 4 s.
const FIRST_MS: u64 = 2_000;

/// Longest time out of use, in milliseconds.
const LONGEST_MS: u64 = 30_000;

/// Share of a service's workers that may be out of use at once, as a divisor: beyond a third, the work is at fault.
const MAX_QUARANTINED_DIVISOR: usize = 3;

impl Scheduler {
    /// Notes that a run was done on a worker.
    pub(super) fn note_done(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.failures = 0;
            worker.failed_job = None;
            worker.relapses = 0;
        }
    }

    /// Notes that a run failed or stood still on a worker.
    pub(super) fn note_failed(&mut self, key: WorkerKey, job: JobId, now: BootTime) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if worker.failed_job == Some(job) {
            return;
        }
        worker.failed_job = Some(job);
        worker.failures += 1;
        if worker.failures < FAILURES {
            return;
        }
        let Some(service) = worker.entry.as_ref().map(|entry| entry.service.clone()) else {
            return;
        };
        let (all, avoided) = self.count_service(&service, now);
        if (avoided + 1) * MAX_QUARANTINED_DIVISOR > all {
            return;
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        let term = FIRST_MS.saturating_mul(1 << worker.relapses.min(8)).min(LONGEST_MS);
        worker.avoided = worker.avoided.max(now.plus_ms(term));
        worker.relapses += 1;
        // One more failure after the return is enough.
        worker.failures = FAILURES - 1;
        self.stats.quarantined += 1;
        log::info!(
            "event=worker_quarantined worker={} term_ms={term} relapses={}",
            worker.name,
            worker.relapses
        );
    }

    /// Counts the workers of a service, and those of them that are out of use.
    fn count_service(&self, service: &str, now: BootTime) -> (usize, usize) {
        let of_service = |worker: &&super::Worker| {
            worker.entry.as_ref().is_some_and(|entry| &*entry.service == service)
        };
        let all = self.workers.values().filter(of_service).count();
        let avoided = self.workers.values().filter(of_service).filter(|w| w.avoided > now).count();
        (all, avoided)
    }
}
