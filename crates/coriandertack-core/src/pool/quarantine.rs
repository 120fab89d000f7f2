//! Quarantine of workers on which every task fails.
//!
//! A worker is quarantined after [`FAILURE_THRESHOLD`] consecutive quick failures of tasks of more than one
//! class, since a single job that always fails says nothing about its workers. For the same reason,
//! failures of a class that fails on several workers are ignored until the class succeeds somewhere.
//!
//! A quarantined worker gets one trial task after a delay that doubles from [`MIN_TRIAL_DELAY`] to
//! [`MAX_TRIAL_DELAY`]. The quarantine ends when the trial succeeds, or when it has run for
//! [`MAX_QUICK_FAILURE`], since it may run for hours.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    keys::{LeaseId, WorkerKey},
    message::{AttemptSpec, EndCause},
    pool::WorkerPool,
    record::Kind,
};

/// Consecutive quick failures after which a worker is quarantined.
pub const FAILURE_THRESHOLD: usize = 3;

/// A failure counts as quick if the task ran for less than this.
pub const MAX_QUICK_FAILURE: Duration = Duration::from_secs(10);

/// Delay between the start of a quarantine and its first trial.
pub const MIN_TRIAL_DELAY: Duration = Duration::from_secs(30);

/// Upper bound of the delay before a trial.
pub const MAX_TRIAL_DELAY: Duration = Duration::from_secs(3_600);

/// Number of workers on which a class must have failed before its failures no longer count against workers.
const SUSPECT_WORKERS: usize = 3;

/// Maximum number of classes whose failures are tracked. Beyond that, the oldest entry is evicted.
const MAX_SUSPECTS: usize = 1_024;

/// Recent quick failures of a worker, and its quarantine.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// Classes of the consecutive quick failures.
    failures: Vec<Arc<str>>,
    /// `None` while the worker accepts work.
    quarantine: Option<Quarantine>,
}

/// Quarantine of a worker.
#[derive(Clone, Copy, Debug)]
struct Quarantine {
    /// Earliest start of the next trial.
    trial_at: Instant,
    /// Trials that have failed in this quarantine.
    failed_trials: u32,
    /// Trial in progress.
    trial: Option<Trial>,
}

/// A task that runs on a quarantined worker to test it.
#[derive(Clone, Copy, Debug)]
struct Trial {
    lease: LeaseId,
    /// When the trial has run for too long to be a quick failure, which counts as passed.
    passes_at: Instant,
}

/// A class with quick failures and no success since.
#[derive(Clone, Debug)]
pub(super) struct SuspectClass {
    class: Arc<str>,
    /// Workers on which it failed, at most [`SUSPECT_WORKERS`].
    workers: Vec<WorkerKey>,
}

/// Effect of a task's end on the quarantine of its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// The worker stays as it was.
    Unchanged,
    /// The worker accepts no work until its next trial, which is due at this time.
    Quarantined(Instant),
    /// The quarantine is over and the worker accepts work.
    Released,
}

/// Returns the delay before the next trial, which doubles with each failed trial.
fn trial_delay(failed_trials: u32) -> Duration {
    MIN_TRIAL_DELAY
        .saturating_mul(1_u32.checked_shl(failed_trials).unwrap_or(u32::MAX))
        .min(MAX_TRIAL_DELAY)
}

impl WorkerPool {
    /// Records how a task ended on a worker. Call it after [`WorkerPool::release`] of the task's lease.
    pub fn record_end(
        &mut self,
        worker: WorkerKey,
        class: &Arc<str>,
        cause: EndCause,
        run_ms: u64,
        now: Instant,
    ) -> QuarantineChange {
        if !self.owned_workers.contains_key(worker) {
            return QuarantineChange::Unchanged;
        }
        let quick = Duration::from_millis(run_ms) < MAX_QUICK_FAILURE;
        match cause {
            EndCause::Succeeded => self.on_success(worker, class),
            EndCause::Failed | EndCause::Refused if quick => self.on_failure(worker, class, now),
            // Long runs, stops, expired leases and exceeded memory grants are no sign of a faulty worker.
            _ => self.on_other_end(worker, cause),
        }
    }

    fn on_success(&mut self, worker: WorkerKey, class: &Arc<str>) -> QuarantineChange {
        self.suspect_classes.retain(|suspect| suspect.class != *class);
        let Some(health) = self.health.remove(worker) else {
            return QuarantineChange::Unchanged;
        };
        if health.quarantine.is_none() {
            return QuarantineChange::Unchanged;
        }
        self.reindex(worker);
        QuarantineChange::Released
    }

    fn on_other_end(&mut self, worker: WorkerKey, cause: EndCause) -> QuarantineChange {
        if let Some(health) = self.health.get_mut(worker).filter(|_| cause == EndCause::Failed) {
            // A failure after a long run ends the series of consecutive quick failures.
            health.failures.clear();
        }
        QuarantineChange::Unchanged
    }

    fn on_failure(
        &mut self,
        worker: WorkerKey,
        class: &Arc<str>,
        now: Instant,
    ) -> QuarantineChange {
        let suspected = self.record_class_failure(worker, class);
        let Some(health) = self.health.entry(worker).map(|entry| entry.or_default()) else {
            return QuarantineChange::Unchanged;
        };
        if let Some(quarantine) = &mut health.quarantine {
            // No trial starts before `trial_at`, so until then a failed task was started before the quarantine.
            if quarantine.trial_at > now || suspected {
                return QuarantineChange::Unchanged;
            }
            let failed_trials = quarantine.failed_trials + 1;
            let trial_at = now + trial_delay(failed_trials);
            *quarantine = Quarantine { trial_at, failed_trials, trial: None };
            return QuarantineChange::Quarantined(trial_at);
        }
        if suspected {
            return QuarantineChange::Unchanged;
        }
        health.failures.push(Arc::clone(class));
        let different = health.failures.iter().any(|other| other != class);
        if health.failures.len() < FAILURE_THRESHOLD || !different {
            health.failures.truncate(FAILURE_THRESHOLD);
            return QuarantineChange::Unchanged;
        }
        let trial_at = now + trial_delay(0);
        health.quarantine = Some(Quarantine { trial_at, failed_trials: 0, trial: None });
        self.reindex(worker);
        QuarantineChange::Quarantined(trial_at)
    }

    /// Records a quick failure of a class on a worker.
    ///
    /// Returns whether the class has failed on so many workers that its failures are ignored.
    fn record_class_failure(&mut self, worker: WorkerKey, class: &Arc<str>) -> bool {
        let existing = self.suspect_classes.iter().position(|suspect| suspect.class == *class);
        let index = existing.unwrap_or_else(|| {
            if self.suspect_classes.len() >= MAX_SUSPECTS {
                self.suspect_classes.remove(0);
            }
            self.suspect_classes
                .push(SuspectClass { class: Arc::clone(class), workers: Vec::new() });
            self.suspect_classes.len() - 1
        });
        let workers = &mut self.suspect_classes[index].workers;
        if workers.len() < SUSPECT_WORKERS && !workers.contains(&worker) {
            workers.push(worker);
        }
        workers.len() >= SUSPECT_WORKERS
    }

    /// Returns whether a worker is quarantined.
    #[must_use]
    pub fn is_quarantined(&self, worker: WorkerKey) -> bool {
        self.health.get(worker).is_some_and(|health| health.quarantine.is_some())
    }

    /// Returns a quarantined worker whose trial is due and which has room for the task.
    ///
    /// Only batch tasks that are not urgent serve as trials: they end soon, whereas urgent tasks and services
    /// need a healthy worker.
    pub(super) fn due_trial(&self, spec: &AttemptSpec, now: Instant) -> Option<WorkerKey> {
        if spec.kind != Kind::Batch || spec.urgent {
            return None;
        }
        let due = |health: &Health| {
            health
                .quarantine
                .is_some_and(|quarantine| quarantine.trial_at <= now && quarantine.trial.is_none())
        };
        let fits = |worker: WorkerKey| {
            let owned_worker = &self.owned_workers[worker];
            owned_worker.is_available() && spec.need.fits(owned_worker.free())
        };
        let mut quarantined = self.health.iter().filter(|(_, health)| due(health));
        quarantined.find(|(worker, _)| fits(*worker)).map(|(worker, _)| worker)
    }

    /// Marks a task as the trial of its worker if the worker is quarantined and has no trial yet.
    pub(super) fn begin_trial(&mut self, worker: WorkerKey, lease: LeaseId) {
        let quarantine = self.health.get_mut(worker).and_then(|health| health.quarantine.as_mut());
        if let Some(quarantine) = quarantine.filter(|quarantine| quarantine.trial.is_none()) {
            quarantine.trial = Some(Trial { lease, passes_at: Instant::now() + MAX_QUICK_FAILURE });
        }
    }

    /// Ends the quarantine of the workers whose trial has run for [`MAX_QUICK_FAILURE`].
    pub(super) fn end_quarantines(&mut self, now: Instant) {
        let has_passed = |health: &Health| {
            let trial = health.quarantine.and_then(|quarantine| quarantine.trial);
            trial.is_some_and(|trial| trial.passes_at <= now)
        };
        let workers: Vec<WorkerKey> = self
            .health
            .iter()
            .filter(|(_, health)| has_passed(health))
            .map(|(key, _)| key)
            .collect();
        for worker in workers {
            self.health.remove(worker);
            self.reindex(worker);
        }
    }

    /// Clears the trial of a worker if it ran under `lease`, so that another trial can start.
    pub(super) fn end_trial(&mut self, worker: WorkerKey, lease: LeaseId) {
        let quarantine = self.health.get_mut(worker).and_then(|health| health.quarantine.as_mut());
        if let Some(quarantine) = quarantine
            .filter(|quarantine| quarantine.trial.is_some_and(|trial| trial.lease == lease))
        {
            quarantine.trial = None;
        }
    }
}
