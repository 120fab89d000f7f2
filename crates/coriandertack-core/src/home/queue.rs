//! Queued work of a team, by class, and the choice of what is placed next.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{Homes, Step, Task, end_of, is_gang};

use crate::{
    keys::{Epoch, JobId, LeaseId, TaskKey, TeamKey, VmKey},
    learn::Learner,
    message::{Ask, Placed},
    record::{Outcome, TaskEnd},
    resources::Resources,
    validity::HOLD_OFF,
};

/// Pause before work that found no room is offered again, unless capacity is freed earlier.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// What is queued together: a task, or all tasks of a gang.
#[derive(Clone, Debug, PartialEq)]
struct Unit {
    tasks: Vec<TaskKey>,
}

/// Queued work of one class.
#[derive(Clone, Debug)]
struct Lane {
    class: Arc<str>,
    urgent: bool,
    units: VecDeque<Unit>,
    /// Before this, the lane found no room and is passed over, so that it blocks no other class.
    retry_at: Instant,
}

/// The queue of a team.
#[derive(Clone, Debug)]
pub(super) struct Queue {
    pub(super) epoch: Epoch,
    pub(super) quota: Resources,
    pub(super) used: Resources,
    lanes: Vec<Lane>,
    /// Jobs below this identifier have been taken over from the state.
    pub(super) next: JobId,
    /// Whether bound tasks must be compared with the owners' lists.
    pub(super) stale: bool,
}

/// Work to be placed now.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// The tasks with their needs, in order of index; more than one only for a gang.
    pub asks: Vec<Ask>,
    /// Epoch of this home for the team.
    pub epoch: Epoch,
}

/// Returns what to grant to a task.
fn learned(task: &Task, learner: &Learner) -> Resources {
    learner.grant_for(&task.ask.class, task.declared)
}

impl Queue {
    pub(super) fn new(epoch: Epoch, quota: Resources) -> Self {
        let used = Resources::ZERO;
        Self { epoch, quota, used, lanes: Vec::new(), next: JobId(0), stale: false }
    }

    fn lane(&mut self, class: &Arc<str>, urgent: bool, now: Instant) -> &mut Lane {
        let known =
            self.lanes.iter().position(|lane| lane.class == *class && lane.urgent == urgent);
        let at = known.unwrap_or_else(|| {
            let class = Arc::clone(class);
            self.lanes.push(Lane { class, urgent, units: VecDeque::new(), retry_at: now });
            self.lanes.len() - 1
        });
        &mut self.lanes[at]
    }
}

impl Homes {
    /// Queues tasks at the back: those of a gang together, others one by one.
    pub(super) fn enqueue(&mut self, keys: Vec<TaskKey>) {
        for unit in self.units(keys) {
            self.lane_of(unit.tasks[0]).units.push_back(unit);
        }
    }

    /// Queues tasks at the front and pauses their lane.
    pub(super) fn enqueue_front(&mut self, keys: Vec<TaskKey>, now: Instant) {
        for unit in self.units(keys).into_iter().rev() {
            let lane = self.lane_of(unit.tasks[0]);
            lane.retry_at = now + RETRY_AFTER;
            lane.units.push_front(unit);
        }
    }

    fn units(&self, keys: Vec<TaskKey>) -> Vec<Unit> {
        match keys.first() {
            None => Vec::new(),
            Some(&first) if is_gang(&self.tasks[first]) => vec![Unit { tasks: keys }],
            Some(_) => keys.into_iter().map(|key| Unit { tasks: vec![key] }).collect(),
        }
    }

    fn lane_of(&mut self, key: TaskKey) -> &mut Lane {
        let task = &self.tasks[key];
        self.queues[task.team].lane(&task.ask.class, task.ask.urgent, task.queued)
    }

    /// Picks queued work that the quotas allow, teams in turn and urgent work first.
    ///
    /// The tasks picked count against the quota and wait for [`Homes::placed`].
    ///
    /// What is asked for follows the sizes and run times learned, within what the team declared.
    pub fn pick(&mut self, learner: &Learner, now: Instant, limit: usize) -> Vec<Pick> {
        let teams: Vec<TeamKey> = self.queues.keys().collect();
        let mut picks = Vec::new();
        for urgent in [true, false] {
            let mut idle = 0;
            while picks.len() < limit && idle < teams.len() {
                let team = teams[self.turn % teams.len()];
                self.turn = self.turn.wrapping_add(1);
                match self.pick_team(team, urgent, learner, now) {
                    Some(pick) => {
                        idle = 0;
                        picks.push(pick);
                    }
                    None => idle += 1,
                }
            }
        }
        picks
    }

    fn pick_team(
        &mut self,
        team: TeamKey,
        urgent: bool,
        learner: &Learner,
        now: Instant,
    ) -> Option<Pick> {
        let queue = &mut self.queues[team];
        let room = queue.quota.saturating_sub(queue.used);
        let tasks = &self.tasks;
        let fits = |unit: &Unit| {
            let needs = unit.tasks.iter().map(|&task| learned(&tasks[task], learner));
            needs.sum::<Resources>().fits(room)
        };
        let age = |lane: &Lane| lane.units.front().map(|unit| tasks[unit.tasks[0]].queued);
        let open =
            queue.lanes.iter_mut().filter(|lane| lane.urgent == urgent && lane.retry_at <= now);
        let fitting = open.filter(|lane| lane.units.front().is_some_and(fits));
        let unit = fitting.min_by_key(|lane| age(lane))?.units.pop_front()?;
        let epoch = queue.epoch;
        let mut asks = Vec::with_capacity(unit.tasks.len());
        for key in unit.tasks {
            let task = &mut self.tasks[key];
            task.ask.need = learned(task, learner);
            task.ask.run_ms = learner.expected_run(&task.ask.class, task.run_ms);
            asks.push(task.ask.clone());
            self.count(key);
        }
        Some(Pick { asks, epoch })
    }

    /// Notes that an owner is being asked for a lease.
    pub fn asked(&mut self, lease: LeaseId, vm: VmKey, now: Instant) {
        if let Some(task) = self.attempt(lease) {
            task.go(Step::Asked(vm), now);
        }
    }

    /// Notes the answer of an owner, with the deadline that the request had.
    pub fn placed(
        &mut self,
        lease: LeaseId,
        vm: VmKey,
        placed: Placed,
        until: Instant,
        now: Instant,
    ) {
        let Some(task) = self.attempt(lease).filter(|task| task.step == Step::Asked(vm)) else {
            return;
        };
        match placed {
            Placed::Granted => task.go(Step::Bound(vm), now),
            Placed::Unknown => task.go(Step::Unknown(vm, until + HOLD_OFF), now),
            Placed::Full | Placed::Invalid => self.put_back(&[lease], now),
        }
    }

    /// Queues tasks again that certainly do not run, and pauses their lane.
    ///
    /// A gang is queued when all its members that have not ended are over.
    pub fn put_back(&mut self, leases: &[LeaseId], now: Instant) {
        let mut singles = Vec::new();
        let mut gangs: Vec<JobId> = Vec::new();
        for &lease in leases {
            let Some(&key) = self.ids.get(&lease.task) else { continue };
            let task = &mut self.tasks[key];
            let over = !matches!(task.step, Step::Ending | Step::Recovering | Step::Queued);
            if task.ask.lease != lease || !over {
                continue;
            }
            // A new attempt number, so that a late start of the old one is recognised.
            task.ask.lease = lease.next();
            if is_gang(task) {
                task.go(Step::Regroup, now);
                gangs.push(lease.task.job);
            } else {
                task.go(Step::Queued, now);
                singles.push(key);
            }
            self.uncount(key);
        }
        self.enqueue_front(singles, now);
        gangs.dedup();
        for job in gangs {
            self.regroup(job, now);
        }
    }

    fn regroup(&mut self, job: JobId, now: Instant) {
        let members = self.members(job);
        if members.iter().any(|&key| self.tasks[key].step != Step::Regroup) {
            return;
        }
        for &key in &members {
            self.tasks[key].go(Step::Queued, now);
        }
        self.enqueue_front(members, now);
    }

    /// Lets all lanes be offered again, as when capacity has been freed.
    pub fn retry_now(&mut self, now: Instant) {
        for lane in self.queues.values_mut().flat_map(|queue| &mut queue.lanes) {
            lane.retry_at = lane.retry_at.min(now);
        }
    }

    /// Takes cancelled tasks that do not run out of the queues and returns their ends.
    pub fn cancelled(&mut self, now: Instant) -> Vec<TaskEnd> {
        let idle =
            |task: &Task| task.cancelled && matches!(task.step, Step::Queued | Step::Regroup);
        let keys = self.tasks.iter().filter(|(_, task)| idle(task));
        let dropped: Vec<TaskKey> = keys.map(|(key, _)| key).collect();
        if dropped.is_empty() {
            return Vec::new();
        }
        for lane in self.queues.values_mut().flat_map(|queue| &mut queue.lanes) {
            // All tasks of a unit belong to one job, so they are cancelled together.
            lane.units.retain(|unit| !idle(&self.tasks[unit.tasks[0]]));
        }
        let end = |key: TaskKey| {
            let task = &mut self.tasks[key];
            task.go(Step::Ending, now);
            end_of(task, Outcome::Cancelled)
        };
        dropped.into_iter().map(end).collect()
    }
}
