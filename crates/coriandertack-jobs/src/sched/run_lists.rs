//! Processing of the lists of runs that workers return.

use std::sync::Arc;

use super::{ListCall, Placement, Scheduler, WorkerKey, worker::Run};

use crate::{
    boot_time::BootTime,
    ids::TaskId,
    report::{ActiveRun, RunList},
};

impl Scheduler {
    /// Applies the list of runs that answers `call`. Returns `None` if the list is from
    /// another incarnation, which has then replaced the worker. A list that does not tell its
    /// incarnation has no effect, unless the worker has never told one.
    pub fn apply_run_list(
        &mut self,
        key: WorkerKey,
        call: &ListCall,
        run_list: &RunList,
        now: BootTime,
    ) -> Option<()> {
        let worker = self.workers.get_mut(key)?;
        if !worker.can_attribute(run_list) {
            return Some(());
        }
        if worker.born.is_some_and(|born| run_list.born.is_some_and(|listed| listed != born)) {
            self.replace_incarnation(key, call.sent_at, run_list, now);
            return None;
        }
        worker.born = worker.born.or(run_list.born);
        self.lose_former_runs(key, run_list, now);
        let worker = self.workers.get(key)?;
        let former_lease_end =
            self.former_lease_end(worker.is_watched(now), run_list.clock_ms, now);
        let worker = self.workers.get_mut(key)?;
        if let Some(end) = former_lease_end.filter(|_| !worker.listed) {
            worker.inherit_leases(end);
        }
        worker.record_answer(now);
        worker.record_list_answer(call);
        worker.record_clock(run_list.clock_ms, now);
        worker.listed = true;
        if let Some(born) = run_list.born {
            self.retract_lapses(key, born);
        }
        for end in &run_list.ended {
            if self.workers.get(key).is_some_and(|worker| end.number > worker.processed_end) {
                self.process_end(key, end, now);
            }
        }
        if let Some(worker) = self.workers.get(key)
            && worker.has_unrecorded_ends()
        {
            let processed = worker.end_to_record();
            self.acks.insert(key, processed);
        }
        for running in &run_list.running {
            self.apply_active_run(key, running, now);
        }
        self.remove_unlisted(key, call, run_list, now);
        self.repeat_stops(key, now);
        Some(())
    }

    /// Updates a run that a worker listed as active. A run that should not exist is stopped.
    fn apply_active_run(&mut self, key: WorkerKey, running: &ActiveRun, now: BootTime) {
        let (task, attempt) = (running.task, running.attempt);
        self.adopt_late_run(key, task, attempt);
        let wanted = self.task(task).is_some_and(|known| {
            known.placement == Placement::Bound(key) && known.attempt == attempt
        });
        let (cost, profile) = (self.run_cost(task), self.run_profile(task));
        let Some(worker) = self.workers.get_mut(key) else { return };
        if !worker.runs.contains_key(&(task, attempt)) {
            let mut run = Run::new(cost, profile, now);
            run.confirm(now);
            run.born = worker.born;
            worker.add_run(&mut self.ledger, (task, attempt), run);
        }
        let born = worker.born;
        let Some(run) = worker.runs.get_mut((task, attempt)) else { return };
        run.born = born;
        (run.started, run.attributed) = (true, true);
        if run.confirmed_at.is_none() {
            run.confirm(now);
            run.progressed_at = now;
        }
        if run.percent != running.percent {
            run.percent = running.percent;
            run.progressed_at = now;
        }
        let stalled = running.percent < 100
            && now.ms_since(run.progressed_at) > run.profile.stall_timeout_ms();
        let in_flight = run.in_flight;
        self.record_begun(task, attempt, in_flight);
        if !wanted {
            self.stop_run(key, task, attempt, "unknown", now);
            return;
        }
        self.mark_running(task);
        if !running.checkpoint.is_empty() {
            self.record_checkpoint(task, &running.checkpoint);
        }
        if stalled {
            self.stop_stalled(key, task, attempt, now);
        }
    }

    /// Stops a run that makes no progress.
    fn stop_stalled(&mut self, key: WorkerKey, task: TaskId, attempt: u32, now: BootTime) {
        // A long-running task reports no further progress once it is serving, and stopping it would
        // make it unavailable.
        if self.step(task.step_id()).is_some_and(|(_, spec, _)| spec.lasting) {
            return;
        }
        let run = self.workers.get(key).and_then(|worker| worker.runs.get(&(task, attempt)));
        if run.is_some_and(|run| run.stopped_at.is_some()) {
            return;
        }
        let gang = run.is_some_and(|run| run.profile.gang);
        self.stats.stalled += 1;
        // A gang stands still on all of its workers if one of them does, or if a member is missing.
        match gang {
            true => self.record_failure(key, task.job, now),
            false => self.record_stall(key, now),
        }
        self.stop_run(key, task, attempt, "stalled", now);
    }

    /// Stores the latest checkpoint of a task; the checkpoint of any member applies to the whole
    /// gang.
    pub(super) fn record_checkpoint(&mut self, task: TaskId, checkpoint: &Arc<str>) {
        let Some((_, spec, _)) = self.step(task.step_id()) else { return };
        let gang = spec.gang;
        let Some(step) = self.step_mut(task.step_id()) else { return };
        if gang {
            for member in &mut step.tasks {
                member.checkpoint = Arc::clone(checkpoint);
            }
        } else if let Some(task) = step.tasks.get_mut(task.index as usize) {
            task.checkpoint = Arc::clone(checkpoint);
        }
    }

    /// Removes runs that the list does not contain, if the worker had confirmed them before the list was
    /// requested, or if the token of the list bars their starts.
    fn remove_unlisted(
        &mut self,
        key: WorkerKey,
        call: &ListCall,
        run_list: &RunList,
        now: BootTime,
    ) {
        // The end of a missing run may not have fitted in the list.
        if run_list.truncated {
            return;
        }
        let Some(worker) = self.workers.get(key) else { return };
        let listed =
            |id: &(TaskId, u32)| run_list.running.iter().any(|run| (run.task, run.attempt) == *id);
        let missing: Vec<_> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.is_settled_by(call))
            .map(|(id, _)| *id)
            .filter(|id| !listed(id))
            .collect();
        for (task, attempt) in missing {
            if self.repeat_start(key, (task, attempt), now) {
                continue;
            }
            let Some(worker) = self.workers.get(key) else { return };
            let confirmed_at = worker.runs.get(&(task, attempt)).and_then(|run| run.confirmed_at);
            let started = worker.runs.get(&(task, attempt)).is_some_and(|run| run.started);
            log::info!(
                "event=run_unlisted task={task} attempt={attempt} worker={} evidence_ms={} born={} \
                 confirmed_ms={} started={started} listed={} last_end={} acknowledged={} read_offset={}",
                worker.name,
                now.ms_since(call.sent_at),
                run_list.born.unwrap_or_default(),
                now.ms_since(confirmed_at.unwrap_or(now)),
                run_list.running.len() + run_list.ended.len(),
                worker.processed_end,
                worker.acknowledged_end,
                self.read_offset
            );
            self.stats.unlisted[usize::from(started)] += 1;
            self.remove_run(key, task, attempt, "unlisted", now);
        }
    }

    /// Repeats stops that have had no effect.
    fn repeat_stops(&mut self, key: WorkerKey, now: BootTime) {
        let Some(worker) = self.workers.get(key) else { return };
        let stopping = |run: &Run| run.stopped_at.is_some();
        let runs: Vec<_> =
            worker.runs.iter().filter(|(_, run)| stopping(run)).map(|(id, _)| *id).collect();
        for (task, attempt) in runs {
            self.stop_run(key, task, attempt, "again", now);
        }
    }
}
