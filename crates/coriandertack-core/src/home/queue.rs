//! Queues of a team, one for each class, and the selection of the tasks to place next.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use tokio::time::Instant;

use super::{Task, TaskState, TeamQueues, is_gang, task_end};

use crate::{
    class_profiles::ClassProfiles,
    keys::{Epoch, JobId, LeaseId, TaskKey, TeamKey, VmKey},
    message::{AttemptSpec, PlacementOutcome},
    record::{Outcome, TaskEnd},
    resources::Resources,
    validity::HOLD_OFF,
};

/// Delay before work that found no room is offered again, unless capacity is freed earlier.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Tasks that are placed together: a single task, or all tasks of a gang.
#[derive(Clone, Debug, PartialEq)]
struct QueuedUnit {
    tasks: Vec<TaskKey>,
}

/// Queued work of one class and urgency.
#[derive(Clone, Debug)]
struct ClassQueue {
    class: Arc<str>,
    urgent: bool,
    units: VecDeque<QueuedUnit>,
    /// End of the delay after work of this class found no room. Until then the queue is skipped, so that it
    /// does not block other classes.
    retry_at: Instant,
}

/// The queue of a team.
#[derive(Clone, Debug)]
pub(super) struct Queue {
    pub(super) epoch: Epoch,
    pub(super) quota: Resources,
    pub(super) used: Resources,
    class_queues: Vec<ClassQueue>,
    /// Jobs with an id below this one have been taken over from the state.
    pub(super) next_job: JobId,
    /// Whether the bound tasks have to be compared with the lists of all owners.
    pub(super) stale: bool,
}

/// Tasks to place now.
#[derive(Clone, Debug, PartialEq)]
pub struct PickedWork {
    /// Specs of the tasks, ordered by index. Only a gang has more than one.
    pub specs: Vec<AttemptSpec>,
    /// Epoch of this VM as the home of the team.
    pub epoch: Epoch,
}

/// Returns the resources to request for a task.
fn recommended_need(task: &Task, profiles: &ClassProfiles) -> Resources {
    profiles.recommended_grant(&task.spec.class, task.declared)
}

impl Queue {
    pub(super) fn new(epoch: Epoch, quota: Resources) -> Self {
        let used = Resources::ZERO;
        Self { epoch, quota, used, class_queues: Vec::new(), next_job: JobId(0), stale: false }
    }

    fn class_queue(&mut self, class: &Arc<str>, urgent: bool, now: Instant) -> &mut ClassQueue {
        let existing = self
            .class_queues
            .iter()
            .position(|class_queue| class_queue.class == *class && class_queue.urgent == urgent);
        let index = existing.unwrap_or_else(|| {
            let class = Arc::clone(class);
            self.class_queues.push(ClassQueue {
                class,
                urgent,
                units: VecDeque::new(),
                retry_at: now,
            });
            self.class_queues.len() - 1
        });
        &mut self.class_queues[index]
    }
}

impl TeamQueues {
    /// Appends tasks to their class queue, gangs as a unit and other tasks individually.
    pub(super) fn enqueue(&mut self, keys: Vec<TaskKey>) {
        for unit in self.units(keys) {
            self.class_queue_of(unit.tasks[0]).units.push_back(unit);
        }
    }

    /// Inserts tasks at the front of their class queue and delays the queue by [`RETRY_DELAY`].
    pub(super) fn enqueue_front(&mut self, keys: Vec<TaskKey>, now: Instant) {
        for unit in self.units(keys).into_iter().rev() {
            let class_queue = self.class_queue_of(unit.tasks[0]);
            class_queue.retry_at = now + RETRY_DELAY;
            class_queue.units.push_front(unit);
        }
    }

    fn units(&self, keys: Vec<TaskKey>) -> Vec<QueuedUnit> {
        match keys.first() {
            None => Vec::new(),
            Some(&first) if is_gang(&self.tasks[first]) => vec![QueuedUnit { tasks: keys }],
            Some(_) => keys.into_iter().map(|key| QueuedUnit { tasks: vec![key] }).collect(),
        }
    }

    fn class_queue_of(&mut self, key: TaskKey) -> &mut ClassQueue {
        let task = &self.tasks[key];
        self.queues[task.team].class_queue(&task.spec.class, task.spec.urgent, task.queued_at)
    }

    /// Picks queued work within the quotas of the teams, urgent work first and round-robin between teams.
    ///
    /// The picked tasks are charged to the quota and wait for [`TeamQueues::handle_placement`]. Their requests
    /// follow the learned sizes and run times rather than the declared ones; see
    /// [`ClassProfiles::recommended_grant`].
    pub fn pick_work(
        &mut self,
        profiles: &ClassProfiles,
        now: Instant,
        limit: usize,
    ) -> Vec<PickedWork> {
        let teams: Vec<TeamKey> = self.queues.keys().collect();
        let mut picks = Vec::new();
        for urgent in [true, false] {
            let mut empty_teams = 0;
            while picks.len() < limit && empty_teams < teams.len() {
                let team = teams[self.next_team % teams.len()];
                self.next_team = self.next_team.wrapping_add(1);
                match self.pick_team(team, urgent, profiles, now) {
                    Some(pick) => {
                        empty_teams = 0;
                        picks.push(pick);
                    }
                    None => empty_teams += 1,
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
        let quota_left = queue.quota.saturating_sub(queue.used);
        let tasks = &self.tasks;
        let fits = |unit: &QueuedUnit| {
            let needs = unit.tasks.iter().map(|&task| recommended_need(&tasks[task], profiles));
            needs.sum::<Resources>().fits(quota_left)
        };
        let head_queued_at = |class_queue: &ClassQueue| {
            class_queue.units.front().map(|unit| tasks[unit.tasks[0]].queued_at)
        };
        let eligible = queue
            .class_queues
            .iter_mut()
            .filter(|class_queue| class_queue.urgent == urgent && class_queue.retry_at <= now);
        let fitting = eligible.filter(|class_queue| class_queue.units.front().is_some_and(fits));
        let unit =
            fitting.min_by_key(|class_queue| head_queued_at(class_queue))?.units.pop_front()?;
        let epoch = queue.epoch;
        let mut specs = Vec::with_capacity(unit.tasks.len());
        for key in unit.tasks {
            let task = &mut self.tasks[key];
            task.spec.need = recommended_need(task, profiles);
            task.spec.run_ms = profiles.expected_run_ms(&task.spec.class, task.run_ms);
            specs.push(task.spec.clone());
            self.charge_quota(key);
        }
        Some(PickedWork { specs, epoch })
    }

    /// Records that capacity for a lease is being requested from an owner.
    pub fn mark_asked(&mut self, lease: LeaseId, vm: VmKey, now: Instant) {
        if let Some(task) = self.attempt_mut(lease) {
            task.enter(TaskState::Asked(vm), now);
        }
    }

    /// Handles the outcome of a placement request. `until` is the deadline that the request had.
    pub fn handle_placement(
        &mut self,
        lease: LeaseId,
        vm: VmKey,
        placed: PlacementOutcome,
        until: Instant,
        now: Instant,
    ) {
        let Some(task) = self.attempt_mut(lease).filter(|task| task.state == TaskState::Asked(vm))
        else {
            return;
        };
        match placed {
            PlacementOutcome::Granted => task.enter(TaskState::Bound(vm), now),
            PlacementOutcome::Unknown => task.enter(TaskState::Unknown(vm, until + HOLD_OFF), now),
            PlacementOutcome::Full | PlacementOutcome::Invalid => self.requeue(&[lease], now),
        }
    }

    /// Queues tasks again that are known not to run, and delays their class queue.
    ///
    /// A gang is queued once the attempts of all its unfinished members are over.
    pub fn requeue(&mut self, leases: &[LeaseId], now: Instant) {
        let mut singles = Vec::new();
        let mut gangs: Vec<JobId> = Vec::new();
        for &lease in leases {
            let Some(&key) = self.ids.get(&lease.task) else { continue };
            let task = &mut self.tasks[key];
            let requeueable = !matches!(
                task.state,
                TaskState::Ending | TaskState::Recovering | TaskState::Queued
            );
            if task.spec.lease != lease || !requeueable {
                continue;
            }
            // The new attempt number makes a late start of the old attempt recognisable.
            task.spec.lease = lease.next();
            if is_gang(task) {
                task.enter(TaskState::Regroup, now);
                gangs.push(lease.task.job);
            } else {
                task.enter(TaskState::Queued, now);
                singles.push(key);
            }
            self.release_quota(key);
        }
        self.enqueue_front(singles, now);
        gangs.dedup();
        for job in gangs {
            self.requeue_gang(job, now);
        }
    }

    /// Queues the tasks of a gang once all of them have regrouped.
    fn requeue_gang(&mut self, job: JobId, now: Instant) {
        let members = self.job_tasks(job);
        if members.iter().any(|&key| self.tasks[key].state != TaskState::Regroup) {
            return;
        }
        for &key in &members {
            self.tasks[key].enter(TaskState::Queued, now);
        }
        self.enqueue_front(members, now);
    }

    /// Ends the retry delay of all class queues, because capacity may have been freed.
    pub fn retry_now(&mut self, now: Instant) {
        for class_queue in self.queues.values_mut().flat_map(|queue| &mut queue.class_queues) {
            class_queue.retry_at = class_queue.retry_at.min(now);
        }
    }

    /// Removes cancelled tasks that are not running from the queues and returns their ends.
    pub fn take_cancelled(&mut self, now: Instant) -> Vec<TaskEnd> {
        let not_running = |task: &Task| {
            task.cancelled && matches!(task.state, TaskState::Queued | TaskState::Regroup)
        };
        let cancelled = self.tasks.iter().filter(|(_, task)| not_running(task));
        let dropped: Vec<TaskKey> = cancelled.map(|(key, _)| key).collect();
        if dropped.is_empty() {
            return Vec::new();
        }
        for class_queue in self.queues.values_mut().flat_map(|queue| &mut queue.class_queues) {
            // All tasks of a unit belong to the same job, so they are cancelled together.
            class_queue.units.retain(|unit| !not_running(&self.tasks[unit.tasks[0]]));
        }
        let end = |key: TaskKey| {
            let task = &mut self.tasks[key];
            task.enter(TaskState::Ending, now);
            task_end(task, Outcome::Cancelled)
        };
        dropped.into_iter().map(end).collect()
    }
}
