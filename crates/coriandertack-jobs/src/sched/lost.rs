//! Workers that are lost together with their runs.
//!
//! A task may start again only once its former run is known to have ended. A worker that refuses
//! connections, or does not answer, proves nothing: the network between it and the leader may reset
//! connections while the worker runs on. Its runs therefore count as active until their lease has
//! expired, or the worker is known to have ended. See docs/design.md, "When a run has ended".

use std::sync::Arc;

use super::{
    Scheduler, Worker, WorkerKey,
    leases::{MAX_CALL_DELAY_MS, slowest_ms},
    worker::{Run, RunId},
};

use crate::{
    boot_time::{BootTime, WallTime},
    hosts::{Departure, Hosts},
    ledger::Ledger,
    report::{RunList, WorkerEntry},
};

/// Consecutive refused connections after which a worker without runs is removed. A single one can
/// come from a full accept queue.
const MAX_REFUSALS: u32 = 2;

/// How long a worker that did not return its list gets no start, in milliseconds. The next list is
/// requested earlier.
const SILENCE_PAUSE_MS: u64 = 1_500;

/// Minimum age of an incarnation whose end a listing of machines can prove, in milliseconds. A listing that is seconds old may show the worker's machine as it was before the
/// incarnation started, and the clocks that date its start may jump by seconds.
const MIN_AGE_MS: u64 = 10_000;

/// The reason why the runs of a worker can no longer exist.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum LossCause {
    /// The worker has started again under its name.
    #[display("reborn")]
    Reborn,
    /// Another worker, or another incarnation, answers at its address.
    #[display("replaced")]
    Replaced,
    /// Its address refuses connections, and it had no runs.
    #[display("refused")]
    Refused,
    /// Its machine is down or hosts another worker.
    #[display("unhosted")]
    Unhosted,
    /// It did not answer until its leases had expired. It may still be alive.
    #[display("lease_expired")]
    LeaseExpired,
}

impl LossCause {
    /// All causes, in the order of their discriminants.
    pub const ALL: [Self; 5] =
        [Self::Reborn, Self::Replaced, Self::Refused, Self::Unhosted, Self::LeaseExpired];
}

/// What a conclusion that runs have ended rests on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Evidence {
    pub(super) cause: LossCause,
    /// The time that the evidence speaks of: when the listing was requested, when the leases expired,
    /// or when the list was requested or the answer arrived.
    pub(super) as_of: BootTime,
}

impl Worker {
    /// Records that the worker answered a request.
    pub(super) fn record_answer(&mut self, now: BootTime) {
        self.answered_at = now;
        self.silent_since = None;
        self.silent_until = BootTime(0);
        self.refusals = 0;
    }

    /// Returns when the worker last answered a request.
    #[must_use]
    pub const fn answered_at(&self) -> BootTime {
        self.answered_at
    }

    /// Returns true if the worker's entry is of another incarnation than the one that returned its
    /// list.
    pub(super) fn has_new_entry(&self) -> bool {
        let listed = self.entry.as_ref().and_then(|entry| entry.born);
        self.born.is_some_and(|born| listed.is_some_and(|listed| listed != born))
    }

    /// Returns the start of the latest incarnation of which the leader knows, in milliseconds since
    /// 1970; `None` if any of them is unknown.
    fn latest_birth(&self) -> Option<u64> {
        let entry = self.entry.as_ref().map_or(Some(0), |entry| entry.born)?;
        let listed = if self.listed { self.born? } else { 0 };
        let runs = self.runs.values().map(|run| run.born);
        let latest = runs.chain([Some(entry), Some(listed)]).collect::<Option<Vec<u64>>>()?;
        latest.into_iter().max()
    }

    /// Returns the entry of the next incarnation, if it has been read.
    pub(super) fn successor(&self) -> Option<Arc<WorkerEntry>> {
        self.entry.clone().filter(|_| self.has_new_entry() && !self.absent)
    }

    /// Moves runs to a worker of the same name that is to be removed.
    fn split_runs(&mut self, ledger: &mut Ledger, ids: &[RunId]) -> Self {
        let mut lost = Self::new(Arc::clone(&self.name), self.lease_end(), self.token);
        lost.entry = self.entry.clone();
        lost.evacuating = self.evacuating;
        lost.born = self.born;
        lost.answered_at = self.answered_at;
        for &id in ids {
            if let Some(run) = self.take_run(ledger, id) {
                lost.add_run(ledger, id, run);
            }
        }
        lost
    }

    /// Returns true if the worker has runs and does not answer.
    fn is_silent(&self) -> bool {
        self.silent_since.is_some() && self.run_count() > 0
    }
}

impl Scheduler {
    /// Records that a worker did not return its list, and has been failing since `since` at the
    /// latest: the time at which its connection broke, or at which a request without an answer was
    /// sent. `refused` is set if nothing accepted the connection.
    ///
    /// Returns false if the worker was removed, because its leases have expired or because it had no
    /// runs.
    pub fn record_list_failure(
        &mut self,
        key: WorkerKey,
        since: BootTime,
        refused: bool,
        now: BootTime,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(key) else { return false };
        worker.silent_since.get_or_insert(since);
        worker.silent_until = now.plus_ms(SILENCE_PAUSE_MS);
        worker.refusals = if refused { worker.refusals + 1 } else { 0 };
        match refused {
            true => self.bar_calls(key),
            false => self.record_unanswered_list(key, now),
        }
        let Some(worker) = self.workers.get(key) else { return false };
        if worker.run_count() == 0 {
            if worker.refusals >= MAX_REFUSALS {
                self.remove_lost_worker(key, LossCause::Refused, now);
            }
        } else if worker.lease_end() < now {
            self.lose_expired_runs(key, now);
        }
        self.workers.contains_key(key)
    }

    /// Removes the runs of a worker whose leases have expired, except for those whose start was not
    /// answered: the next incarnation may have carried it out, under the longest lease that it accepts.
    fn lose_expired_runs(&mut self, key: WorkerKey, now: BootTime) {
        let Some(worker) = self.workers.get(key) else { return };
        let evidence = Evidence { cause: LossCause::LeaseExpired, as_of: worker.lease_end() };
        let (longest_ms, delay_ms) = (slowest_ms(self.lease_limit_ms), MAX_CALL_DELAY_MS);
        let is_pending = |run: &Run| {
            let unanswered = run.sent_at.filter(|_| run.confirmed_at.is_none());
            unanswered.is_some_and(|sent| sent.plus_ms(delay_ms + longest_ms) >= now)
        };
        self.lose_runs_if(key, |run| !is_pending(run), evidence, now);
    }

    /// Removes those runs of a worker for which `has_ended` holds, and the worker with the last of them.
    fn lose_runs_if(
        &mut self,
        key: WorkerKey,
        has_ended: impl Fn(&Run) -> bool,
        evidence: Evidence,
        now: BootTime,
    ) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let ended: Vec<RunId> =
            worker.runs.iter().filter(|(_, run)| has_ended(run)).map(|(id, _)| *id).collect();
        if ended.len() == worker.run_count() {
            self.remove_on_evidence(key, evidence, now);
        } else if !ended.is_empty() {
            let mut lost = worker.split_runs(&mut self.ledger, &ended);
            lost.silent_since = worker.silent_since;
            self.lose_runs(key, lost, evidence, now);
        }
    }

    /// Records that another worker answered at the address of a worker at `since`. Returns false if the
    /// worker was removed.
    ///
    /// The address is that of the worker's entry, and the answer proves the worker's end only if it is
    /// also the address of the incarnation that holds the runs: if the worker has returned its list from
    /// there, or if its runs were recorded for the incarnation that wrote the entry.
    pub fn record_replacement(&mut self, key: WorkerKey, since: BootTime, now: BootTime) -> bool {
        let Some(worker) = self.workers.get(key) else { return false };
        let born = worker.entry.as_ref().and_then(|entry| entry.born);
        let is_of_entry = |run: &Run| born.is_some() && run.born == born;
        if !worker.listed && !worker.runs.values().all(is_of_entry) {
            return self.record_list_failure(key, since, false, now);
        }
        self.remove_lost_worker(key, LossCause::Replaced, now);
        false
    }

    /// Removes the runs of workers that do not answer and that have ended according to a listing of
    /// machines that was requested at `requested_at`. Returns true if there were any.
    ///
    /// A worker that has answered since may have started again under its name, and is left to the next
    /// listing. So is one that has not lived for `MIN_AGE_MS`: the listing may be from before it
    /// started. A run that is not attributed to the incarnation that ended may be on the next one.
    pub fn remove_unhosted_workers(
        &mut self,
        hosts: &Hosts,
        requested_at: BootTime,
        now: BootTime,
        wall: WallTime,
    ) -> bool {
        let has_ended = |worker: &Worker| {
            let born = worker.latest_birth();
            worker.is_silent()
                && worker.answered_at < requested_at
                && born.is_some_and(|born| born.saturating_add(MIN_AGE_MS) <= wall.0)
                && worker.runs.values().any(|run| run.attributed)
        };
        let ended: Vec<(WorkerKey, Departure)> = self
            .workers
            .iter()
            .filter(|(_, worker)| has_ended(worker))
            .filter_map(|(key, worker)| Some((key, hosts.departure(&worker.name)?.clone())))
            .collect();
        for (key, departure) in &ended {
            let Some(worker) = self.workers.get(*key) else { continue };
            log::info!(
                "event=worker_unhosted worker={} {departure} shown_ms={} listed_ms={}",
                worker.name,
                now.ms_since(departure.shown_at),
                now.ms_since(requested_at)
            );
            let evidence = Evidence { cause: LossCause::Unhosted, as_of: requested_at };
            self.lose_runs_if(*key, |run| run.attributed, evidence, now);
        }
        !ended.is_empty()
    }

    /// Returns the number of workers that no listing of machines has shown so far, without those that
    /// are missing from the list of workers and have no runs.
    #[must_use]
    pub fn unplaced_workers(&self, has_shown: impl Fn(&str) -> bool) -> usize {
        let is_relevant = |worker: &&Worker| !worker.absent || worker.run_count() > 0;
        self.workers.values().filter(is_relevant).filter(|worker| !has_shown(&worker.name)).count()
    }

    /// Returns true if a worker with runs does not answer.
    #[must_use]
    pub fn has_silent_runs(&self) -> bool {
        self.workers.values().any(Worker::is_silent)
    }

    /// Removes a worker, whose runs remain bound to it.
    pub(super) fn detach_worker(&mut self, key: WorkerKey, now: BootTime) -> Option<Worker> {
        let worker = self.workers.remove(key)?;
        self.worker_index.remove(&worker.name);
        self.acks.remove(&key);
        self.keep_calls(&worker, now);
        Some(worker)
    }

    /// Removes a worker whose runs can no longer exist, as known from now on. Its tasks wait again.
    pub fn remove_lost_worker(&mut self, key: WorkerKey, cause: LossCause, now: BootTime) {
        self.remove_on_evidence(key, Evidence { cause, as_of: now }, now);
    }

    fn remove_on_evidence(&mut self, key: WorkerKey, evidence: Evidence, now: BootTime) {
        let Some(worker) = self.detach_worker(key, now) else { return };
        let successor = worker.successor();
        let name = Arc::clone(&worker.name);
        self.lose_runs(key, worker, evidence, now);
        if let Some(entry) = successor {
            self.upsert_worker(&name, entry, now);
        }
    }

    /// Removes the runs that were recorded for another incarnation of a worker than the one that
    /// returned its list. Their tasks wait again.
    ///
    /// A run that the list shows is there: its start may have been sent around the restart.
    pub(super) fn lose_former_runs(&mut self, key: WorkerKey, run_list: &RunList, now: BootTime) {
        if run_list.truncated {
            return;
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(born) = worker.born else { return };
        let is_former = |id: RunId, run: &Run| {
            run.born.is_some_and(|known| known != born) && !run_list.mentions(id)
        };
        let former: Vec<_> = worker
            .runs
            .iter()
            .filter(|(id, run)| is_former(**id, run))
            .map(|(id, _)| *id)
            .collect();
        if former.is_empty() {
            return;
        }
        let lost = worker.split_runs(&mut self.ledger, &former);
        let evidence = Evidence { cause: LossCause::Reborn, as_of: now };
        self.lose_runs(key, lost, evidence, now);
    }

    /// Returns the tasks of a lost worker to the waiting state, and counts the loss against them.
    pub(super) fn lose_runs(
        &mut self,
        key: WorkerKey,
        mut worker: Worker,
        evidence: Evidence,
        now: BootTime,
    ) {
        let Evidence { cause, as_of } = evidence;
        let failed_at = worker.silent_since.unwrap_or(now);
        log::info!(
            "event=worker_lost worker={} cause={cause} evidence_ms={} born={} entry_born={} runs={} \
             silent_ms={} answered_ms={}",
            worker.name,
            now.ms_since(as_of),
            worker.born.unwrap_or_default(),
            worker.entry.as_ref().and_then(|entry| entry.born).unwrap_or_default(),
            worker.runs.len(),
            now.ms_since(failed_at),
            now.ms_since(worker.answered_at)
        );
        self.stats.lost[cause as usize] += worker.runs.len() as u64;
        let given_up = self.record_crash(&worker, cause, failed_at);
        let lease_ms = worker.lease_end().ms_since(now);
        for ((task, attempt), run) in worker.runs.drain(&mut self.ledger) {
            log::info!(
                "event=run_lost task={task} attempt={attempt} worker={} cause={cause} evidence_ms={} \
                 born={} answered_born={} lease_ms={} read_offset={} age_ms={} confirmed={} percent={}",
                worker.name,
                now.ms_since(as_of),
                run.born.unwrap_or_default(),
                worker.born.unwrap_or_default(),
                lease_ms,
                self.read_offset,
                failed_at.ms_since(run.bound_at),
                run.confirmed_at.is_some(),
                run.percent
            );
            self.record_barred(task, attempt);
            self.requeue_task(key, task, attempt, "lost", now);
        }
        for task in given_up {
            self.give_up_task(task, now);
        }
    }
}
