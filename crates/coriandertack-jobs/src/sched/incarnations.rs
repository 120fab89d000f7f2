//! Workers that start again under their names.
//!
//! A list of another incarnation shows that the former one has ended, but not that a run was there. A
//! command names the worker, not its incarnation, so a start that was sent around the restart may have
//! reached the next one, or may still do so. See docs/design.md, "When a run has ended".

use std::sync::Arc;

use super::{
    LossCause, Placement, Scheduler, Worker, WorkerKey,
    lost::Evidence,
    worker::{Run, RunId},
};

use crate::{boot_time::BootTime, report::RunList};

/// What the list of another incarnation says about a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Whereabouts {
    /// The run was on the former incarnation, or was never started.
    Ended,
    /// The run is on the next incarnation, or may be.
    Present,
    /// The start was not answered, and may be carried out by the next incarnation until a list of it with a higher
    /// fencing token is answered.
    Pending,
}

impl RunList {
    /// Returns true if the list contains the run or its end.
    pub(super) fn mentions(&self, id: RunId) -> bool {
        let (task, attempt) = id;
        self.running.iter().any(|run| (run.task, run.attempt) == (task, attempt))
            || self.ended.iter().any(|end| (end.task, end.attempt) == (task, attempt))
    }
}

impl Worker {
    /// Returns true if a list tells its incarnation, or if the worker has never told one.
    #[must_use]
    pub const fn can_attribute(&self, run_list: &RunList) -> bool {
        self.born.is_none() || run_list.born.is_some()
    }
}

impl Run {
    /// Returns what a list of another incarnation, requested at `sent`, says about the run.
    fn whereabouts(&self, id: RunId, sent: BootTime, run_list: &RunList) -> Whereabouts {
        match self.confirmed_at {
            _ if run_list.mentions(id) => Whereabouts::Present,
            _ if self.sent_at.is_none() => Whereabouts::Ended,
            _ if !self.started => Whereabouts::Pending,
            Some(at) if at < sent && !run_list.truncated => Whereabouts::Ended,
            Some(_) | None => Whereabouts::Present,
        }
    }
}

impl Scheduler {
    /// Replaces a worker after another incarnation returned a list that was requested at `sent`. The
    /// runs that may be there are kept for the next incarnation, and the others are lost.
    pub(super) fn replace_incarnation(
        &mut self,
        key: WorkerKey,
        sent: BootTime,
        run_list: &RunList,
        now: BootTime,
    ) {
        let Some(mut worker) = self.detach_worker(key, now) else { return };
        let runs = worker.runs.iter().map(|(id, run)| (*id, run.whereabouts(*id, sent, run_list)));
        let kept: Vec<_> = runs.filter(|(_, found)| *found != Whereabouts::Ended).collect();
        let (name, successor) = (Arc::clone(&worker.name), worker.successor());
        if !kept.is_empty() {
            let next = self.next_incarnation(&name, now);
            let next = self.workers.insert(next);
            self.worker_index.insert(Arc::clone(&name), next);
            for (id, found) in kept {
                if let Some(run) = worker.take_run(&mut self.ledger, id) {
                    self.move_run(key, next, id, run, found);
                }
            }
        }
        let evidence = Evidence { cause: LossCause::Replaced, as_of: sent };
        self.lose_runs(key, worker, evidence, now);
        if let Some(entry) = successor {
            self.upsert_worker(&name, entry, now);
        }
    }

    /// Moves a run to the next incarnation of its worker.
    fn move_run(
        &mut self,
        former: WorkerKey,
        next: WorkerKey,
        id: RunId,
        mut run: Run,
        found: Whereabouts,
    ) {
        let (task, attempt) = id;
        // The incarnation is unknown until a list shows the run.
        run.born = None;
        run.attributed = false;
        run.stopped_at = None;
        // A repeated start that waits to be sent is of the former incarnation, and the run may have been there.
        run.repeats = false;
        self.record_barred(task, attempt);
        if found == Whereabouts::Pending {
            run.confirmed_at = None;
        }
        if let Some(worker) = self.workers.get_mut(next) {
            log::info!("event=run_kept task={task} attempt={attempt} worker={}", worker.name);
            worker.add_run(&mut self.ledger, id, run);
        }
        if let Some(state) = self.task_mut(task)
            && state.placement == Placement::Bound(former)
            && state.attempt == attempt
        {
            state.placement = Placement::Bound(next);
        }
        if let Some(&key) = self.job_index.get(&task.job) {
            self.mark_changed(key);
        }
    }
}
