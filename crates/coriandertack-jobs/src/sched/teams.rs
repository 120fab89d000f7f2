//! Caps of teams in the scheduler: how many tasks may start, which steps wait for a cap, and what
//! operators see.
//!
//! Several steps of one team share the room under its cap in one pass. What a step has taken
//! without being charged yet, or waits for, is held in [`Headroom`] and not available to the steps
//! behind it. See docs/design/team-shares.md.

use slotmap::SecondaryMap;

use super::{Job, Scheduler, Worker, WorkerKey, place::Headroom};

use crate::{
    boot_time::BootTime,
    ids::StepId,
    ledger::{TeamKey, TeamState, Usage},
    spec::StepSpec,
    teams::Teams,
};

/// Minimum time between two log lines on steps of one team that begin to wait for its cap, in
/// milliseconds. A team at its cap may have thousands of steps.
const CAP_LOG_INTERVAL_MS: u64 = 1_000;

/// Time for which a step waits for its cap before the steps of its team behind it leave the room to
/// it, in milliseconds. Without it, small tasks would take all room as it becomes free, and a gang
/// or a large task would wait without end.
const CAP_HOLD_DELAY_MS: u64 = 300;

/// Time after a takeover for which teams with a cap get no starts until all workers have returned a
/// list and stopped the runs of unknown jobs, in milliseconds.
///
/// The record of a job that has ended names no workers, but its runs may not have been stopped yet;
/// only lists show them. Workers that answer do so within a few hundred milliseconds. One that does
/// not answer delays the teams no longer.
pub(super) const TAKEOVER_LIST_WAIT_MS: u64 = 1_000;

/// When steps that wait for a cap were last logged, by team.
#[derive(Debug, Default)]
pub(super) struct CapWaits {
    logged_at: SecondaryMap<TeamKey, BootTime>,
    /// Number of steps since then that were not logged.
    unlogged: SecondaryMap<TeamKey, u32>,
}

impl CapWaits {
    /// Returns the number of steps that were not logged if a step may be logged now. Otherwise
    /// counts it as one of them.
    fn admit_line(&mut self, team: TeamKey, now: BootTime) -> Option<u32> {
        let logged_at = self.logged_at.get(team);
        if logged_at.is_some_and(|at| now.ms_since(*at) < CAP_LOG_INTERVAL_MS) {
            if let Some(entry) = self.unlogged.entry(team) {
                *entry.or_default() += 1;
            }
            return None;
        }
        self.logged_at.insert(team, now);
        Some(self.unlogged.remove(team).unwrap_or(0))
    }
}

impl Scheduler {
    /// Applies the teams of a new configuration.
    pub(super) fn set_teams(&mut self, teams: Option<&Teams>) {
        for change in self.ledger.configure(teams) {
            log::info!(
                "event=cap_changed team={} former={} cap={} usage={}",
                change.name,
                change.former,
                change.cap,
                change.usage
            );
        }
    }

    /// Returns the capacity of all workers that are in the list of workers.
    pub(super) fn total_capacity(&self) -> Usage {
        let present = self.workers.values().filter(|worker| !worker.absent);
        present.map(Worker::capacity).fold(Usage::default(), |sum, one| sum.plus(one.into()))
    }

    /// Returns the state of each team, or nothing if the configuration has no teams.
    #[must_use]
    pub fn team_states(&self) -> Vec<TeamState> {
        if !self.ledger.is_enabled() {
            return Vec::new();
        }
        let mut waiting: SecondaryMap<TeamKey, u64> = SecondaryMap::new();
        for &(_, id) in &self.queue {
            let Some((job, _, step)) = self.step(id) else { continue };
            if let Some(team) = job.team.or(self.ledger.keyless())
                && let Some(entry) = waiting.entry(team)
            {
                *entry.or_default() += u64::from(step.waiting);
            }
        }
        let waiting_of = |team: TeamKey| waiting.get(team).copied().unwrap_or(0);
        self.ledger.states(self.total_capacity(), waiting_of)
    }

    /// Returns how many more tasks of a step fit under the cap of its team in this pass.
    fn cap_room(&self, job: &Job, spec: &StepSpec, headroom: &Headroom) -> u32 {
        let Some(team) = job.team else { return u32::MAX };
        match self.ledger.room_beside(team, spec.need, headroom.held(team)) {
            u32::MAX => u32::MAX,
            room if headroom.caps_open.is_none() => room,
            _ => 0,
        }
    }

    /// Returns when caps may be filled, if workers may hold runs that count as usage of no team after
    /// a takeover: those that have not returned a list, and those with runs of unknown need. The
    /// submission of an ended job is dropped, and with it the need of its runs.
    pub(super) fn caps_open_at(&self, now: BootTime) -> Option<BootTime> {
        let is_uncounted =
            |worker: &Worker| (!worker.listed && !worker.absent) || worker.runs.has_unsized();
        let waits = self.ledger.is_enabled()
            && now < self.usage_known
            && self.workers.values().any(is_uncounted);
        waits.then_some(self.usage_known)
    }

    /// Returns how many of a step's waiting tasks fit under the cap of its team in this pass: none
    /// of a gang that does not fit as a whole.
    pub(super) fn startable(&self, id: StepId, headroom: &Headroom) -> u32 {
        let Some((job, spec, step)) = self.step(id) else { return 0 };
        match self.cap_room(job, spec, headroom) {
            room if room >= step.waiting => step.waiting,
            _ if spec.gang => 0,
            room => room,
        }
    }

    /// Holds room under the cap of a step's team for `count` of its tasks for the rest of the pass.
    pub(super) fn hold_room(&self, id: StepId, count: u32, headroom: &mut Headroom) {
        if let Some((job, spec, _)) = self.step(id)
            && let Some(team) = job.team
        {
            headroom.hold(team, Usage::of_tasks(spec.need, count));
        }
    }

    /// Records that a step may start its next tasks as far as the cap of its team is concerned.
    pub(super) fn end_cap_wait(&mut self, id: StepId) {
        if let Some(step) = self.step_mut(id) {
            step.capped = false;
        }
    }

    /// Returns true if workers could hold `count` of a step's tasks once all runs but the long-running
    /// ones have ended. It visits workers until they suffice, usually a few.
    fn fits_workers(&self, id: StepId, count: u32, now: BootTime) -> bool {
        let Some((job, _, step)) = self.step(id) else { return false };
        let route = self.route_of(job);
        let Some(fit) = self.step_fit(id, &route.service, now) else { return false };
        let usable =
            |(key, worker): &(WorkerKey, &Worker)| !worker.absent && !step.advice.rejects(*key);
        let mut slots = 0_u32;
        self.workers.iter().filter(usable).any(|(key, worker)| {
            slots = slots.saturating_add(fit.slots(key, worker, worker.drainable_capacity()));
            slots >= count
        })
    }

    /// Logs that a step begins to wait for the cap of its team, and holds room for it once it has
    /// waited for a while.
    ///
    /// No room is held for tasks that do not fit beside the long-running tasks of the team, or that
    /// no workers could run: it would stay unused.
    pub(super) fn wait_for_cap(&mut self, id: StepId, headroom: &mut Headroom, now: BootTime) {
        let Some((job, spec, step)) = self.step(id) else { return };
        let Some(team) = job.team else { return };
        if step.waiting == 0 {
            return;
        }
        let (waiting, gang, need, capped) = (step.waiting, spec.gang, spec.need, step.capped);
        let count = if gang { waiting } else { 1 };
        let drained_fits = self.ledger.drained_room(team, need) >= count;
        let waited = now.ms_since(step.ready_at) > CAP_HOLD_DELAY_MS;
        if drained_fits && waited && self.fits_workers(id, count, now) {
            headroom.hold(team, Usage::of_tasks(need, count));
        }
        if capped {
            return;
        }
        if let Some(step) = self.step_mut(id) {
            step.capped = true;
        }
        if let Some(unlogged) = self.cap_waits.admit_line(team, now) {
            let reason = match drained_fits {
                _ if headroom.caps_open.is_some() => {
                    "workers have yet to list or stop runs of the team after the takeover"
                }
                true => "the cap of its team is reached",
                false => "the cap leaves no room for it beside long-running tasks",
            };
            log::info!(
                "event=step_waits step={id} reason=\"{reason}\" team={} waiting={waiting} gang={gang} \
                 need={need} usage={} cap={} unlogged={unlogged}",
                self.ledger.name(team),
                self.ledger.usage(team),
                self.ledger.cap(team)
            );
        }
    }
}
