//! Queues of the teams whose home is this VM.
//!
//! Only the home of a team binds its tasks to owners. It tracks every unfinished task of its teams,
//! charges the team's quota in memory, and requests capacity from the owners. Tasks accepted before this VM
//! became the home are *recovering* until every owner has listed its running tasks. Tasks accepted later
//! cannot have been bound by another home and are queued immediately. See docs/design.md, section 4.

mod notices;
mod queue;
mod recovery;

use std::{collections::HashMap, sync::Arc};

use {
    slotmap::{SecondaryMap, SlotMap},
    tokio::time::Instant,
};

pub use self::{notices::NoticeAction, queue::PickedWork};

use self::queue::Queue;

use crate::{
    keys::{JobId, LeaseId, MAX_BATCH_ENTRIES, TaskId, TaskKey, TeamKey, VmKey},
    message::AttemptSpec,
    record::{Kind, Outcome, TaskEnd},
    resources::Resources,
    state::{Job, State},
};

/// Scheduling state of a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskState {
    /// A former home may have bound the task, so it waits until every owner has listed its tasks.
    Recovering,
    /// The task waits for capacity.
    Queued,
    /// Capacity was requested from an owner that has not answered yet.
    Asked(VmKey),
    /// A request to an owner got no answer, so the task may be running. It is settled after the deadline.
    Unknown(VmKey, Instant),
    /// An owner granted capacity, and the task runs or is about to start.
    Bound(VmKey),
    /// The attempt of this gang member is over, and it waits for the attempts of the other members to end.
    Regroup,
    /// The end of the task is being appended to the log.
    Ending,
}

/// An unfinished task.
#[derive(Clone, Debug)]
pub struct Task {
    /// Spec of the current attempt, or of the next one if none is in progress.
    pub spec: AttemptSpec,
    /// Resources declared by the team, which the learned grant stays within.
    pub declared: Resources,
    /// Run time declared by the team, in milliseconds.
    pub run_ms: u64,
    /// Team that submitted the task.
    pub team: TeamKey,
    /// Scheduling state.
    pub state: TaskState,
    /// When the task entered its state.
    pub state_since: Instant,
    /// Name of the worker of the last attempt, empty until an owner has reported it.
    pub worker: String,
    /// Number of failed attempts that are still retried.
    pub retries: u32,
    /// Whether the job was cancelled, so that the task has to stop.
    pub cancelled: bool,
    /// Earliest time of the next stop request.
    pub stop_at: Instant,
    /// When the task was first queued for its next attempt.
    pub queued_at: Instant,
    /// Whether the task's request is charged to the quota of its team.
    pub quota_charged: bool,
}

impl Task {
    fn enter(&mut self, state: TaskState, now: Instant) {
        self.state = state;
        self.state_since = now;
    }
}

/// The queues of the teams whose home is this VM.
#[derive(Clone, Debug, Default)]
pub struct TeamQueues {
    tasks: SlotMap<TaskKey, Task>,
    ids: HashMap<TaskId, TaskKey>,
    queues: SecondaryMap<TeamKey, Queue>,
    /// Index of the next team in the round-robin order of [`TeamQueues::pick_work`].
    next_team: usize,
}

impl TeamQueues {
    /// Applies new jobs, cancellations and quotas of the state, and drops the teams whose home is another VM.
    pub fn sync(&mut self, state: &State, this_vm: VmKey, now: Instant) {
        let homed_here = |team: TeamKey, queue: &Queue| {
            let home = state.teams.get(team).map(|team| team.home);
            home.is_some_and(|home| home.vm == Some(this_vm) && home.epoch == queue.epoch)
        };
        let departed = self.queues.iter().filter(|(key, queue)| !homed_here(*key, queue));
        for team in departed.map(|(key, _)| key).collect::<Vec<_>>() {
            self.drop_team(team);
        }
        for (key, team) in state.teams.iter().filter(|(_, team)| team.home.is_ready(this_vm, now)) {
            if !self.queues.contains_key(key) {
                self.queues.insert(key, Queue::new(team.home.epoch, team.spec.quota));
            }
            self.queues[key].quota = team.spec.quota;
            self.add_jobs(state, key, &team.name, now);
        }
        self.sync_cancellations(state);
    }

    fn drop_team(&mut self, team: TeamKey) {
        self.queues.remove(team);
        self.tasks.retain(|_, task| task.team != team);
        let tasks = &self.tasks;
        self.ids.retain(|_, key| tasks.contains_key(*key));
    }

    fn add_jobs(&mut self, state: &State, team: TeamKey, name: &str, now: Instant) {
        let next_job = self.queues[team].next_job;
        let jobs = state.jobs.ids.range(next_job..).map(|(_, &job)| &state.jobs.arena[job]);
        for job in jobs.filter(|job| job.spec.team == name) {
            self.add_job(team, job, now);
        }
        if let Some((last, _)) = state.jobs.ids.last_key_value() {
            self.queues[team].next_job = JobId(last.0 + 1);
        }
    }

    fn add_job(&mut self, team: TeamKey, job: &Job, now: Instant) {
        let epoch = self.queues[team].epoch;
        // The job id contains the log offset at which the job was accepted; see `JobId::new`.
        let newly_accepted = job.id.0 / MAX_BATCH_ENTRIES as u64 > epoch.0;
        let class: Arc<str> = class_of(&job.spec.team, &job.spec.name).into();
        let command: Arc<str> = job.spec.command.as_str().into();
        let mut keys = Vec::new();
        for index in (0..job.spec.tasks).filter(|index| !job.ends.contains_key(index)) {
            let id = TaskId { job: job.id, index };
            let spec = AttemptSpec {
                lease: LeaseId::first(id, epoch),
                class: Arc::clone(&class),
                kind: job.spec.kind,
                need: job.spec.need,
                run_ms: job.spec.run_ms,
                urgent: job.spec.urgent,
                command: Arc::clone(&command),
            };
            let task = Task {
                spec,
                declared: job.spec.need,
                run_ms: job.spec.run_ms,
                team,
                state: if newly_accepted { TaskState::Queued } else { TaskState::Recovering },
                state_since: now,
                worker: String::new(),
                retries: job.spec.retries,
                cancelled: job.cancelled,
                stop_at: now,
                queued_at: now,
                quota_charged: false,
            };
            let key = self.tasks.insert(task);
            self.ids.insert(id, key);
            keys.push(key);
        }
        if newly_accepted {
            self.enqueue(keys);
        }
    }

    fn sync_cancellations(&mut self, state: &State) {
        for task in self.tasks.values_mut().filter(|task| !task.cancelled) {
            let job = state.jobs.get(task.spec.lease.task.job);
            task.cancelled = job.is_some_and(|job| job.cancelled);
        }
    }

    /// Returns the unfinished tasks.
    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values()
    }

    /// Returns a task, or `None` if it has ended or its team has another home.
    #[must_use]
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        self.ids.get(&id).map(|&key| &self.tasks[key])
    }

    /// Returns the number of tasks of a class that were requested from an owner or are bound to it.
    #[must_use]
    pub fn copy_count(&self, class: &str, vm: VmKey) -> usize {
        let assigned = |state: TaskState| matches!(state, TaskState::Asked(key) | TaskState::Bound(key) if key == vm);
        self.tasks
            .values()
            .filter(|task| assigned(task.state) && &*task.spec.class == class)
            .count()
    }

    /// Returns the task whose current attempt runs under `lease`.
    fn attempt_mut(&mut self, lease: LeaseId) -> Option<&mut Task> {
        let key = *self.ids.get(&lease.task)?;
        self.tasks.get_mut(key).filter(|task| task.spec.lease == lease)
    }

    /// Returns the unfinished tasks of a job, ordered by index.
    fn job_tasks(&self, job: JobId) -> Vec<TaskKey> {
        let mut members: Vec<TaskKey> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.spec.lease.task.job == job)
            .map(|(key, _)| key)
            .collect();
        members.sort_by_key(|&key| self.tasks[key].spec.lease.task.index);
        members
    }

    /// Charges a task's request to the quota of its team, unless it is charged already.
    fn charge_quota(&mut self, key: TaskKey) {
        let task = &mut self.tasks[key];
        if !task.quota_charged {
            task.quota_charged = true;
            self.queues[task.team].used += task.spec.need;
        }
    }

    /// Returns a task's request to the quota of its team, if it is charged.
    fn release_quota(&mut self, key: TaskKey) {
        let task = &mut self.tasks[key];
        if task.quota_charged {
            task.quota_charged = false;
            let used = &mut self.queues[task.team].used;
            *used = used.saturating_sub(task.spec.need);
        }
    }
}

/// Returns the class of a workload, `team.name`.
#[must_use]
pub fn class_of(team: &str, name: &str) -> String {
    format!("{team}.{name}")
}

fn task_end(task: &Task, outcome: Outcome) -> TaskEnd {
    TaskEnd { task: task.spec.lease.task, outcome, worker: task.worker.clone() }
}

fn is_gang(task: &Task) -> bool {
    task.spec.kind == Kind::Gang
}
