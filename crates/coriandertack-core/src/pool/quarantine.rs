//! Workers that fail every task they start.
//!
//! [`FAILURE_THRESHOLD`] quick failures in a row close a worker, if they are of different classes: one job that
//! always fails says nothing about its workers. For the same reason a class that fails on several
//! workers is not held against them until it succeeds somewhere. A closed worker gets one trial task
//! after a delay that doubles from [`MIN_TRIAL_DELAY`] to [`MAX_TRIAL_DELAY`]; a success opens it, and so does a
//! trial that outlasts [`MAX_QUICK_FAILURE`], since it may run for hours.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    keys::{LeaseId, WorkerKey},
    message::{AttemptSpec, EndCause},
    pool::WorkerPool,
    record::Kind,
};

/// Quick failures in a row that close a worker.
pub const FAILURE_THRESHOLD: usize = 3;

/// A failure after a longer run than this is not a quick one.
pub const MAX_QUICK_FAILURE: Duration = Duration::from_secs(10);

/// Delay before the first trial.
pub const MIN_TRIAL_DELAY: Duration = Duration::from_secs(30);

/// The longest delay before a trial.
pub const MAX_TRIAL_DELAY: Duration = Duration::from_secs(3_600);

/// Workers on which a class must have failed before it is suspected instead of them.
const SUSPECT_AFTER: usize = 3;

/// Classes whose failures are remembered; beyond that, the one noted first is forgotten.
const MAX_SUSPECTS: usize = 1_024;

/// Quick failures of a worker, and its quarantine.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// Classes of the quick failures since the last success.
    failures: Vec<Arc<str>>,
    closed: Option<Closed>,
}

/// Quarantine of a worker.
#[derive(Clone, Copy, Debug)]
struct Closed {
    /// When the next trial may start.
    until: Instant,
    /// Trials that have failed.
    rounds: u32,
    /// The trial under way.
    trial: Option<Trial>,
}

/// A task that tries a closed worker.
#[derive(Clone, Copy, Debug)]
struct Trial {
    lease: LeaseId,
    /// When it will have run for too long to be a quick failure.
    proven: Instant,
}

/// A class that has failed quickly and has not succeeded since.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    class: Arc<str>,
    /// Workers on which it failed, at most [`SUSPECT_AFTER`].
    workers: Vec<WorkerKey>,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Nothing.
    Unchanged,
    /// The worker takes no work until its trial at the deadline.
    Quarantined(Instant),
    /// The worker takes work again.
    Released,
}

fn delay(rounds: u32) -> Duration {
    MIN_TRIAL_DELAY
        .saturating_mul(1_u32.checked_shl(rounds).unwrap_or(u32::MAX))
        .min(MAX_TRIAL_DELAY)
}

impl WorkerPool {
    /// Notes how a task ended on a worker, after [`WorkerPool::release`] of its lease.
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
            EndCause::Succeeded => self.note_success(worker, class),
            EndCause::Failed | EndCause::Refused if quick => self.note_failure(worker, class, now),
            // A task that ran for long, was stopped or outgrew its grant is no sign of a bad worker.
            _ => self.note_other(worker, cause),
        }
    }

    fn note_success(&mut self, worker: WorkerKey, class: &Arc<str>) -> QuarantineChange {
        self.suspects.retain(|suspect| suspect.class != *class);
        let Some(health) = self.health.remove(worker) else {
            return QuarantineChange::Unchanged;
        };
        if health.closed.is_none() {
            return QuarantineChange::Unchanged;
        }
        self.reindex(worker);
        QuarantineChange::Released
    }

    fn note_other(&mut self, worker: WorkerKey, cause: EndCause) -> QuarantineChange {
        if let Some(health) = self.health.get_mut(worker).filter(|_| cause == EndCause::Failed) {
            // The row of quick failures is broken.
            health.failures.clear();
        }
        QuarantineChange::Unchanged
    }

    fn note_failure(
        &mut self,
        worker: WorkerKey,
        class: &Arc<str>,
        now: Instant,
    ) -> QuarantineChange {
        let suspected = self.suspect(worker, class);
        let Some(health) = self.health.entry(worker).map(|entry| entry.or_default()) else {
            return QuarantineChange::Unchanged;
        };
        if let Some(closed) = &mut health.closed {
            // Tasks that were started before the worker closed are not trials.
            if closed.until > now || suspected {
                return QuarantineChange::Unchanged;
            }
            let rounds = closed.rounds + 1;
            let until = now + delay(rounds);
            *closed = Closed { until, rounds, trial: None };
            return QuarantineChange::Quarantined(until);
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
        let until = now + delay(0);
        health.closed = Some(Closed { until, rounds: 0, trial: None });
        self.reindex(worker);
        QuarantineChange::Quarantined(until)
    }

    /// Notes a quick failure of a class. Returns whether the class fails on several workers.
    fn suspect(&mut self, worker: WorkerKey, class: &Arc<str>) -> bool {
        let known = self.suspects.iter().position(|suspect| suspect.class == *class);
        let at = known.unwrap_or_else(|| {
            if self.suspects.len() >= MAX_SUSPECTS {
                self.suspects.remove(0);
            }
            self.suspects.push(Suspect { class: Arc::clone(class), workers: Vec::new() });
            self.suspects.len() - 1
        });
        let workers = &mut self.suspects[at].workers;
        if workers.len() < SUSPECT_AFTER && !workers.contains(&worker) {
            workers.push(worker);
        }
        workers.len() >= SUSPECT_AFTER
    }

    /// Tells whether a worker is closed because of failures.
    #[must_use]
    pub fn is_quarantined(&self, worker: WorkerKey) -> bool {
        self.health.get(worker).is_some_and(|health| health.closed.is_some())
    }

    /// Returns a closed worker whose trial is due and which has room for the task.
    ///
    /// Only batch work is tried: it ends soon, and urgent work and services need a sound worker.
    pub(super) fn due_trial(&self, spec: &AttemptSpec, now: Instant) -> Option<WorkerKey> {
        if spec.kind != Kind::Batch || spec.urgent {
            return None;
        }
        let due = |health: &Health| {
            health.closed.is_some_and(|closed| closed.until <= now && closed.trial.is_none())
        };
        let fits = |worker: WorkerKey| {
            let owned_worker = &self.owned_workers[worker];
            owned_worker.is_available() && spec.need.fits(owned_worker.free())
        };
        let mut closed = self.health.iter().filter(|(_, health)| due(health));
        closed.find(|(worker, _)| fits(*worker)).map(|(worker, _)| worker)
    }

    /// Notes a task that is placed on a closed worker as its trial.
    pub(super) fn begin_trial(&mut self, worker: WorkerKey, lease: LeaseId) {
        let closed = self.health.get_mut(worker).and_then(|health| health.closed.as_mut());
        if let Some(closed) = closed.filter(|closed| closed.trial.is_none()) {
            closed.trial = Some(Trial { lease, proven: Instant::now() + MAX_QUICK_FAILURE });
        }
    }

    /// Opens the workers whose trial has run for long enough.
    pub(super) fn end_quarantines(&mut self, now: Instant) {
        let proven = |health: &Health| {
            let trial = health.closed.and_then(|closed| closed.trial);
            trial.is_some_and(|trial| trial.proven <= now)
        };
        let workers: Vec<WorkerKey> =
            self.health.iter().filter(|(_, health)| proven(health)).map(|(key, _)| key).collect();
        for worker in workers {
            self.health.remove(worker);
            self.reindex(worker);
        }
    }

    /// Lets another trial start if the one that ends here gave no verdict.
    pub(super) fn end_trial(&mut self, worker: WorkerKey, lease: LeaseId) {
        let closed = self.health.get_mut(worker).and_then(|health| health.closed.as_mut());
        if let Some(closed) =
            closed.filter(|closed| closed.trial.is_some_and(|trial| trial.lease == lease))
        {
            closed.trial = None;
        }
    }
}
