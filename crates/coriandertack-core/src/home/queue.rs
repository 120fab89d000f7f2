//! Queued work of a team, by class, and the choice of what is placed next.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{Task, TaskState, TeamQueues, end_of, is_gang};

use crate::{
    class_profiles::ClassProfiles,
    keys::{Epoch, JobId, LeaseId, TaskKey, TeamKey, VmKey},
    message::{AttemptSpec, PlacementOutcome},
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
struct ClassQueue {
    class: Arc<str>,
    urgent: bool,
    units: VecDeque<Unit>,
    /// Before this, the class queue found no room and is passed over, so that it blocks no other class.
    retry_at: Instant,
}

/// The queue of a team.
#[derive(Clone, Debug)]
pub(super) struct Queue {
    pub(super) epoch: Epoch,
    pub(super) quota: Resources,
    pub(super) used: Resources,
    class_queues: Vec<ClassQueue>,
    /// Jobs below this identifier have been taken over from the state.
    pub(super) next: JobId,
    /// Whether bound tasks must be compared with the owners' lists.
    pub(super) stale: bool,
}

/// Work to be placed now.
#[derive(Clone, Debug, PartialEq)]
pub struct PickedWork {
    /// The tasks with their needs, in order of index; more than one only for a gang.
    pub specs: Vec<AttemptSpec>,
    /// Epoch of this home for the team.
    pub epoch: Epoch,
}

/// Returns what to grant to a task.
fn learned(task: &Task, profiles: &ClassProfiles) -> Resources {
    profiles.recommended_grant(&task.spec.class, task.declared)
}

impl Queue {
    pub(super) fn new(epoch: Epoch, quota: Resources) -> Self {
        let used = Resources::ZERO;
        Self { epoch, quota, used, class_queues: Vec::new(), next: JobId(0), stale: false }
    }

    fn class_queue(&mut self, class: &Arc<str>, urgent: bool, now: Instant) -> &mut ClassQueue {
        let known = self
            .class_queues
            .iter()
            .position(|class_queue| class_queue.class == *class && class_queue.urgent == urgent);
        let at = known.unwrap_or_else(|| {
            let class = Arc::clone(class);
            self.class_queues.push(ClassQueue {
                class,
                urgent,
                units: VecDeque::new(),
                retry_at: now,
            });
            self.class_queues.len() - 1
        });
        &mut self.class_queues[at]
    }
}

impl TeamQueues {
    /// Queues tasks at the back: those of a gang together, others one by one.
    pub(super) fn enqueue(&mut self, keys: Vec<TaskKey>) {
        for unit in self.units(keys) {
            self.class_queue_of(unit.tasks[0]).units.push_back(unit);
        }
    }

    /// Queues tasks at the front and pauses their class queue.
    pub(super) fn enqueue_front(&mut self, keys: Vec<TaskKey>, now: Instant) {
        for unit in self.units(keys).into_iter().rev() {
            let class_queue = self.class_queue_of(unit.tasks[0]);
            class_queue.retry_at = now + RETRY_AFTER;
            class_queue.units.push_front(unit);
        }
    }

    fn units(&self, keys: Vec<TaskKey>) -> Vec<Unit> {
        match keys.first() {
            None => Vec::new(),
            Some(&first) if is_gang(&self.tasks[first]) => vec![Unit { tasks: keys }],
            Some(_) => keys.into_iter().map(|key| Unit { tasks: vec![key] }).collect(),
        }
    }

    fn class_queue_of(&mut self, key: TaskKey) -> &mut ClassQueue {
        let task = &self.tasks[key];
        self.queues[task.team].class_queue(&task.spec.class, task.spec.urgent, task.queued_at)
    }

    /// Picks queued work that the quotas allow, teams in turn and urgent work first.
    ///
    /// The tasks picked count against the quota and wait for [`TeamQueues::handle_placement`].
    ///
    /// What is asked for follows the sizes and run times learned, within what the team declared.
    pub fn pick_work(
        &mut self,
        profiles: &ClassProfiles,
        now: Instant,
        limit: usize,
    ) -> Vec<PickedWork> {
        let teams: Vec<TeamKey> = self.queues.keys().collect();
        let mut picks = Vec::new();
        for urgent in [true, false] {
            let mut idle = 0;
            while picks.len() < limit && idle < teams.len() {
                let team = teams[self.turn % teams.len()];
                self.turn = self.turn.wrapping_add(1);
                match self.pick_team(team, urgent, profiles, now) {
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
        profiles: &ClassProfiles,
        now: Instant,
    ) -> Option<PickedWork> {
        let queue = &mut self.queues[team];
        let room = queue.quota.saturating_sub(queue.used);
        let tasks = &self.tasks;
        let fits = |unit: &Unit| {
            let needs = unit.tasks.iter().map(|&task| learned(&tasks[task], profiles));
            needs.sum::<Resources>().fits(room)
        };
        let age = |class_queue: &ClassQueue| {
            class_queue.units.front().map(|unit| tasks[unit.tasks[0]].queued_at)
        };
        let open = queue
            .class_queues
            .iter_mut()
            .filter(|class_queue| class_queue.urgent == urgent && class_queue.retry_at <= now);
        let fitting = open.filter(|class_queue| class_queue.units.front().is_some_and(fits));
        let unit = fitting.min_by_key(|class_queue| age(class_queue))?.units.pop_front()?;
        let epoch = queue.epoch;
        let mut specs = Vec::with_capacity(unit.tasks.len());
        for key in unit.tasks {
            let task = &mut self.tasks[key];
            task.spec.need = learned(task, profiles);
            task.spec.run_ms = profiles.expected_run_ms(&task.spec.class, task.run_ms);
            specs.push(task.spec.clone());
            self.count(key);
        }
        Some(PickedWork { specs, epoch })
    }

    /// Notes that an owner is being asked for a lease.
    pub fn mark_asked(&mut self, lease: LeaseId, vm: VmKey, now: Instant) {
        if let Some(task) = self.attempt(lease) {
            task.go(TaskState::Asked(vm), now);
        }
    }

    /// Notes the answer of an owner, with the deadline that the request had.
    pub fn handle_placement(
        &mut self,
        lease: LeaseId,
        vm: VmKey,
        placed: PlacementOutcome,
        until: Instant,
        now: Instant,
    ) {
        let Some(task) = self.attempt(lease).filter(|task| task.state == TaskState::Asked(vm))
        else {
            return;
        };
        match placed {
            PlacementOutcome::Granted => task.go(TaskState::Bound(vm), now),
            PlacementOutcome::Unknown => task.go(TaskState::Unknown(vm, until + HOLD_OFF), now),
            PlacementOutcome::Full | PlacementOutcome::Invalid => self.requeue(&[lease], now),
        }
    }

    /// Queues tasks again that certainly do not run, and pauses their class queue.
    ///
    /// A gang is queued when all its members that have not ended are over.
    pub fn requeue(&mut self, leases: &[LeaseId], now: Instant) {
        let mut singles = Vec::new();
        let mut gangs: Vec<JobId> = Vec::new();
        for &lease in leases {
            let Some(&key) = self.ids.get(&lease.task) else { continue };
            let task = &mut self.tasks[key];
            let over = !matches!(
                task.state,
                TaskState::Ending | TaskState::Recovering | TaskState::Queued
            );
            if task.spec.lease != lease || !over {
                continue;
            }
            // A new attempt number, so that a late start of the old one is recognised.
            task.spec.lease = lease.next();
            if is_gang(task) {
                task.go(TaskState::Regroup, now);
                gangs.push(lease.task.job);
            } else {
                task.go(TaskState::Queued, now);
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
        if members.iter().any(|&key| self.tasks[key].state != TaskState::Regroup) {
            return;
        }
        for &key in &members {
            self.tasks[key].go(TaskState::Queued, now);
        }
        self.enqueue_front(members, now);
    }

    /// Lets all class queues be offered again, as when capacity has been freed.
    pub fn retry_now(&mut self, now: Instant) {
        for class_queue in self.queues.values_mut().flat_map(|queue| &mut queue.class_queues) {
            class_queue.retry_at = class_queue.retry_at.min(now);
        }
    }

    /// Takes cancelled tasks that do not run out of the queues and returns their ends.
    pub fn take_cancelled(&mut self, now: Instant) -> Vec<TaskEnd> {
        let idle = |task: &Task| {
            task.cancelled && matches!(task.state, TaskState::Queued | TaskState::Regroup)
        };
        let keys = self.tasks.iter().filter(|(_, task)| idle(task));
        let dropped: Vec<TaskKey> = keys.map(|(key, _)| key).collect();
        if dropped.is_empty() {
            return Vec::new();
        }
        for class_queue in self.queues.values_mut().flat_map(|queue| &mut queue.class_queues) {
            // All tasks of a unit belong to one job, so they are cancelled together.
            class_queue.units.retain(|unit| !idle(&self.tasks[unit.tasks[0]]));
        }
        let end = |key: TaskKey| {
            let task = &mut self.tasks[key];
            task.go(TaskState::Ending, now);
            end_of(task, Outcome::Cancelled)
        };
        dropped.into_iter().map(end).collect()
    }
}
