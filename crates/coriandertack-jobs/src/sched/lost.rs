//! Workers that are lost together with their runs.

use super::{Scheduler, Worker, WorkerKey};

use crate::boot_time::BootTime;

/// The reason why the runs of a worker can no longer exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum LossCause {
    /// The worker has started again under its name.
    #[display("reborn")]
    Reborn,
    /// Another worker, or another incarnation, answers at its address.
    #[display("replaced")]
    Replaced,
    /// Its address refuses connections.
    #[display("refused")]
    Refused,
    /// It did not answer until its leases had expired. It may still be alive.
    #[display("lease_expired")]
    LeaseExpired,
}

impl LossCause {
    /// All causes, in the order of their discriminants.
    pub const ALL: [Self; 4] = [Self::Reborn, Self::Replaced, Self::Refused, Self::LeaseExpired];
}

impl Worker {
    /// Records that the worker answered a request.
    pub(super) fn record_answer(&mut self, now: BootTime) {
        self.answered_at = now;
        self.silent_since = None;
    }

    /// Records that the worker did not answer a request, and has been failing since `since` at the
    /// latest: the time at which its connection broke, or at which a request without an answer was
    /// sent.
    pub fn record_silence(&mut self, since: BootTime) {
        self.silent_since.get_or_insert(since);
    }
}

impl Scheduler {
    /// Removes a worker whose runs can no longer exist. Its tasks wait again.
    pub fn remove_lost_worker(&mut self, key: WorkerKey, cause: LossCause, now: BootTime) {
        let Some(worker) = self.workers.remove(key) else { return };
        self.worker_index.remove(&worker.name);
        self.acks.remove(&key);
        let failed_at = worker.silent_since.unwrap_or(now);
        log::info!(
            "event=worker_lost worker={} cause={cause} runs={} silent_ms={} answered_ms={}",
            worker.name,
            worker.runs.len(),
            now.ms_since(failed_at),
            now.ms_since(worker.answered_at)
        );
        self.stats.lost[cause as usize] += worker.runs.len() as u64;
        let given_up = self.record_crash(&worker, cause, failed_at);
        for ((task, attempt), run) in worker.runs {
            log::info!(
                "event=run_lost task={task} attempt={attempt} worker={} cause={cause} age_ms={} \
                 confirmed={} percent={}",
                worker.name,
                failed_at.ms_since(run.bound_at),
                run.confirmed_at.is_some(),
                run.percent
            );
            self.requeue_task(key, task, attempt, "lost", now);
        }
        for task in given_up {
            self.give_up_task(task, now);
        }
    }
}
