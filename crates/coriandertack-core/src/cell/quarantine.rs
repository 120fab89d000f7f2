//! Workers that fail every task they start.
//!
//! [`FAILURES`] quick failures in a row close a worker, if they are of different classes: one job that
//! always fails says nothing about its workers. For the same reason a class that fails on several
//! workers is not held against them until it succeeds somewhere. A closed worker gets one trial task
//! after a delay that doubles from [`FIRST_DELAY`] to [`LAST_DELAY`]; a success opens it, and so does a
//! trial that outlasts [`QUICK`], since it may run for hours.

use std::{sync::Arc, time::Duration};

use tokio::time::Instant;

use crate::{
    cell::Cell,
    keys::{LeaseId, WorkerKey},
    message::{Ask, EndCause},
    record::Kind,
};

/// Quick failures in a row that close a worker.
pub const FAILURES: usize = 3;

/// A failure after a longer run than this is not a quick one.
pub const QUICK: Duration = Duration::from_secs(10);

/// Delay before the first trial.
pub const FIRST_DELAY: Duration = Duration::from_secs(30);

/// The longest delay before a trial.
pub const LAST_DELAY: Duration = Duration::from_secs(3_600);

/// Workers on which a class must have failed before it is suspected instead of them.
const SUSPECT_AFTER: usize = 3;

/// Classes whose failures are remembered; beyond that, the one noted first is forgotten.
const MOST_SUSPECTS: usize = 1_024;

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
pub enum Report {
    /// Nothing.
    Kept,
    /// The worker takes no work until its trial at the deadline.
    Closed(Instant),
    /// The worker takes work again.
    Opened,
}

fn delay(rounds: u32) -> Duration {
    FIRST_DELAY.saturating_mul(1_u32.checked_shl(rounds).unwrap_or(u32::MAX)).min(LAST_DELAY)
}

impl Cell {
    /// Notes how a task ended on a worker, after [`Cell::release`] of its lease.
    pub fn report(
        &mut self,
        worker: WorkerKey,
        class: &Arc<str>,
        cause: EndCause,
        run_ms: u64,
        now: Instant,
    ) -> Report {
        if !self.hosts.contains_key(worker) {
            return Report::Kept;
        }
        let quick = Duration::from_millis(run_ms) < QUICK;
        match cause {
            EndCause::Succeeded => self.note_success(worker, class),
            EndCause::Failed | EndCause::Refused if quick => self.note_failure(worker, class, now),
            // A task that ran for long, was stopped or outgrew its grant is no sign of a bad worker.
            _ => self.note_other(worker, cause),
        }
    }

    fn note_success(&mut self, worker: WorkerKey, class: &Arc<str>) -> Report {
        self.suspects.retain(|suspect| suspect.class != *class);
        let Some(health) = self.health.remove(worker) else {
            return Report::Kept;
        };
        if health.closed.is_none() {
            return Report::Kept;
        }
        self.reindex(worker);
        Report::Opened
    }

    fn note_other(&mut self, worker: WorkerKey, cause: EndCause) -> Report {
        if let Some(health) = self.health.get_mut(worker).filter(|_| cause == EndCause::Failed) {
            // The row of quick failures is broken.
            health.failures.clear();
        }
        Report::Kept
    }

    fn note_failure(&mut self, worker: WorkerKey, class: &Arc<str>, now: Instant) -> Report {
        let suspected = self.suspect(worker, class);
        let Some(health) = self.health.entry(worker).map(|entry| entry.or_default()) else {
            return Report::Kept;
        };
        if let Some(closed) = &mut health.closed {
            // Tasks that were started before the worker closed are not trials.
            if closed.until > now || suspected {
                return Report::Kept;
            }
            let rounds = closed.rounds + 1;
            let until = now + delay(rounds);
            *closed = Closed { until, rounds, trial: None };
            return Report::Closed(until);
        }
        if suspected {
            return Report::Kept;
        }
        health.failures.push(Arc::clone(class));
        let different = health.failures.iter().any(|other| other != class);
        if health.failures.len() < FAILURES || !different {
            health.failures.truncate(FAILURES);
            return Report::Kept;
        }
        let until = now + delay(0);
        health.closed = Some(Closed { until, rounds: 0, trial: None });
        self.reindex(worker);
        Report::Closed(until)
    }

    /// Notes a quick failure of a class. Returns whether the class fails on several workers.
    fn suspect(&mut self, worker: WorkerKey, class: &Arc<str>) -> bool {
        let known = self.suspects.iter().position(|suspect| suspect.class == *class);
        let at = known.unwrap_or_else(|| {
            if self.suspects.len() >= MOST_SUSPECTS {
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
    pub(super) fn due_trial(&self, ask: &Ask, now: Instant) -> Option<WorkerKey> {
        if ask.kind != Kind::Batch || ask.urgent {
            return None;
        }
        let due = |health: &Health| {
            health.closed.is_some_and(|closed| closed.until <= now && closed.trial.is_none())
        };
        let fits = |worker: WorkerKey| {
            let host = &self.hosts[worker];
            host.is_available() && ask.need.fits(host.free())
        };
        let mut closed = self.health.iter().filter(|(_, health)| due(health));
        closed.find(|(worker, _)| fits(*worker)).map(|(worker, _)| worker)
    }

    /// Notes a task that is placed on a closed worker as its trial.
    pub(super) fn begin_trial(&mut self, worker: WorkerKey, lease: LeaseId) {
        let closed = self.health.get_mut(worker).and_then(|health| health.closed.as_mut());
        if let Some(closed) = closed.filter(|closed| closed.trial.is_none()) {
            closed.trial = Some(Trial { lease, proven: Instant::now() + QUICK });
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
