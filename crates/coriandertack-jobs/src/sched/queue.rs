//! The queue of steps with waiting tasks.

use std::{collections::HashMap, sync::Arc};

use super::{
    JobKey, Scheduler, URGENT_PRIORITY,
    order::{Claimant, Place, Pool, ServingOrder, TeamLoad, WaitingStep},
};

use crate::{
    boot_time::BootTime, ids::StepId, ledger::TeamKey, progress::JobPhase, spec::StepSpec,
};

/// Slack above which a step lets late urgent steps go first, in milliseconds. It covers the advice
/// calls and the time that a step may wait for capacity.
const CRITICAL_SLACK_MS: u64 = 3_000;

/// Multiple of its objective after which a job earns no credit (rules, section "Credit").
const EXPIRY_OBJECTIVES: u64 = 3;

/// Urgency of a step. Variants are declared in the order in which they are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Urgency {
    /// The step meets its objective if it starts soon.
    Critical,
    /// The route is urgent and the objective is missed, but the job still earns partial credit.
    Overdue,
    /// The step meets its objective even if it waits for a few seconds.
    Slack,
    /// The objective is missed, but the job still earns partial credit.
    Late,
    /// The job earns no credit any more.
    Expired,
}

/// Position of a step in the queue; lower ranks are served first. The priority of the route takes
/// precedence over the time by which the job should be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// Time by which the job should be done.
    pub due: BootTime,
}

impl Urgency {
    /// Returns the current urgency of a step of a job, whose route has the highest priority if it is
    /// `urgent`.
    ///
    /// Late urgent work precedes work with slack: urgent jobs are small, so the latter loses
    /// nothing by waiting. Other late work comes last, since a large gang that earns a fifth of its
    /// credit would displace one that earns all of it.
    pub(super) fn of(
        spec: &StepSpec,
        due: BootTime,
        objective_ms: u64,
        urgent: bool,
        now: BootTime,
    ) -> Self {
        // A long-running task earns again once it is back, however old its job is.
        if spec.lasting {
            return Self::Critical;
        }
        let done_at = now.plus_ms(spec.estimate_ms);
        if done_at <= due {
            let critical = urgent || done_at.plus_ms(CRITICAL_SLACK_MS) > due;
            return if critical { Self::Critical } else { Self::Slack };
        }
        let expires_at = due.plus_ms(objective_ms * (EXPIRY_OBJECTIVES - 1));
        match (done_at > expires_at, urgent) {
            (true, _) => Self::Expired,
            (false, true) => Self::Overdue,
            (false, false) => Self::Late,
        }
    }
}

impl Scheduler {
    /// Returns the steps that wait, in the order in which a pass serves them.
    pub(super) fn serving_order(&self, now: BootTime) -> ServingOrder {
        let shares = self.ledger.is_enabled() && !self.queue.is_empty();
        let mut services: HashMap<Arc<str>, usize> = HashMap::new();
        let mut steps = Vec::with_capacity(self.queue.len());
        for &(rank, id) in &self.queue {
            let Some((job, spec, step)) = self.step(id) else {
                // The pass removes it from the queue.
                let place = Place { contained: false, urgency: Urgency::Expired, rank, id };
                steps.push(WaitingStep { place, tasks: 0, claimant: None });
                continue;
            };
            let route = self.route_of(job);
            let urgent = route.priority == URGENT_PRIORITY;
            // The longest chain of work is needed only for a job that is late.
            let is_late = !spec.lasting && now.plus_ms(spec.estimate_ms) > rank.due;
            let objective_ms = if is_late { job.spec.objective_ms() } else { 0 };
            let place = Place {
                contained: self.is_contained(&route, now),
                urgency: Urgency::of(spec, rank.due, objective_ms, urgent, now),
                rank,
                id,
            };
            let team = if shares { job.team.or(self.ledger.keyless()) } else { None };
            let claimant = team.map(|team| {
                let next = services.len();
                let pool = *services.entry(Arc::clone(&route.service)).or_insert(next);
                let restarts = spec.lasting && step.tasks.iter().any(|task| task.attempt > 0);
                let calls = route.advice.map(|_| step.advice.call_count(now));
                Claimant { team, pool, need: spec.need, gang: spec.gang, calls, restarts }
            });
            steps.push(WaitingStep { place, tasks: step.waiting, claimant });
        }
        if !shares {
            return ServingOrder::by_place(steps);
        }
        let teams = self.ledger.teams().map(|team| (team, self.team_load(team))).collect();
        let (pools, total) = (self.pools(&services), self.total_capacity());
        ServingOrder::by_share(
            steps,
            pools,
            teams,
            total,
            self.advice_vms.len() as u32,
            self.share_tolerance,
        )
    }

    /// Returns the capacity of the workers of each service, and what teams use of it.
    fn pools(&self, services: &HashMap<Arc<str>, usize>) -> Vec<Pool> {
        let mut pools = vec![Pool::default(); services.len()];
        for worker in self.workers.values() {
            let Some(entry) = &worker.entry else { continue };
            let Some(pool) = services.get(&entry.service).map(|&pool| &mut pools[pool]) else {
                continue;
            };
            if !worker.absent {
                pool.capacity += worker.capacity().into();
            }
            for charge in worker.runs.values().filter_map(|run| run.cost().charge) {
                pool.add_run(charge.team, charge.need);
            }
        }
        pools
    }

    fn team_load(&self, team: TeamKey) -> TeamLoad {
        TeamLoad {
            weight: self.ledger.weight(team),
            usage: self.ledger.usage(team),
            cap: self.ledger.cap(team),
        }
    }

    /// Queues the ready steps of an occurrence.
    pub(super) fn enqueue_ready(&mut self, key: JobKey, number: u32, now: BootTime) {
        let Some(job) = self.jobs.get(key) else { return };
        if job.cancelled || job.phase.is_final() {
            return;
        }
        let priority = self.route_of(job).priority;
        let (id, spec) = (job.id, Arc::clone(&job.spec));
        let Some(job) = self.jobs.get_mut(key) else { return };
        let Some(occurrence) = job.occurrence_mut(number) else { return };
        let rank = Rank { priority, due: occurrence.due };
        let done: Vec<bool> = occurrence.steps.iter().map(|step| step.unfinished == 0).collect();
        for (step, (spec, state)) in spec.steps.iter().zip(&mut occurrence.steps).enumerate() {
            let ready = spec.after.iter().all(|&earlier| done[earlier as usize]);
            // A gang restarts only when none of its members is bound any more.
            let complete = !spec.gang || state.waiting == state.unfinished;
            if !ready || state.waiting == 0 || !complete || state.queued.is_some() {
                continue;
            }
            state.queued = Some(rank);
            state.ready_at = now;
            self.queue.insert((rank, StepId { job: id, occurrence: number, step: step as u32 }));
        }
    }

    /// Removes a step from the queue.
    pub(super) fn dequeue(&mut self, id: StepId) {
        if let Some(rank) = self.step_mut(id).and_then(|step| step.queued.take()) {
            self.queue.remove(&(rank, id));
        }
    }

    /// Updates the occurrence and the job after a task of a step was completed, and queues the
    /// steps that become ready.
    pub(super) fn advance_job(&mut self, id: StepId, now: BootTime) {
        let Some(&key) = self.job_index.get(&id.job) else { return };
        let Some(job) = self.jobs.get_mut(key) else { return };
        if job.step(id.occurrence, id.step).is_none_or(|step| step.unfinished > 0) {
            return;
        }
        job.remove_ended();
        if job.finished >= job.spec.occurrences() {
            job.phase = JobPhase::Completed;
            log::info!(
                "event=job_completed job={} waited_ms={} late_ms={}",
                job.id,
                now.ms_since(job.admitted_at),
                now.ms_since(job.due)
            );
            self.mark_changed(key);
            return;
        }
        self.enqueue_ready(key, id.occurrence, now);
    }

    /// Marks a job as failed and stops its remaining runs.
    pub(super) fn fail_job(&mut self, key: JobKey, now: BootTime) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.phase = JobPhase::Failed;
        let id = job.id;
        log::info!("event=job_failed job={id} waited_ms={}", now.ms_since(job.admitted_at));
        self.mark_changed(key);
        self.stop_job(id, now);
    }
}
