//! Queues of the teams whose home is this VM.
//!
//! The home alone binds a team's tasks. It knows every task of its teams that has not ended, charges the
//! team's quota in memory, and hands tasks to owners. Tasks accepted before this VM became the home
//! are *recovering* until every owner has listed what runs; younger ones were never bound by another
//! home and queue at once. See docs/design.md, section 4.

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

/// Where a task is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TaskState {
    /// Another home may have bound it; it waits until every owner has listed its tasks.
    Recovering,
    /// It waits for capacity.
    Queued,
    /// An owner was asked.
    Asked(VmKey),
    /// An owner was asked and did not answer; it may run. It is settled after the deadline.
    Unknown(VmKey, Instant),
    /// It has capacity or runs.
    Bound(VmKey),
    /// An attempt of this gang member is over; it waits for those of the others.
    Regroup,
    /// Its end is on the way to the log.
    Ending,
}

/// A task that has not ended.
#[derive(Clone, Debug)]
pub struct Task {
    /// The task, with the attempt to make or under way.
    pub spec: AttemptSpec,
    /// What the team declared for a task.
    pub declared: Resources,
    /// Run time that the team declared, in milliseconds.
    pub run_ms: u64,
    /// Team.
    pub team: TeamKey,
    /// Where it is.
    pub state: TaskState,
    /// When it came there.
    pub state_since: Instant,
    /// Worker of the attempt under way, once known.
    pub worker: String,
    /// Failed attempts that are left.
    pub retries: u32,
    /// Whether it is to be stopped.
    pub cancelled: bool,
    /// When a stop may be sent again.
    pub stop_at: Instant,
    /// When it was queued first for the attempt to come.
    pub queued_at: Instant,
    /// Whether it counts against the quota.
    pub quota_charged: bool,
}

impl Task {
    fn go(&mut self, state: TaskState, now: Instant) {
        self.state = state;
        self.state_since = now;
    }
}

/// The queues of the teams homed here.
#[derive(Clone, Debug, Default)]
pub struct TeamQueues {
    tasks: SlotMap<TaskKey, Task>,
    ids: HashMap<TaskId, TaskKey>,
    queues: SecondaryMap<TeamKey, Queue>,
    /// Team that is served first by the next pick, so that teams take turns.
    turn: usize,
}

impl TeamQueues {
    /// Takes over new jobs, cancellations and quotas from the state, and drops teams homed elsewhere.
    pub fn sync(&mut self, state: &State, me: VmKey, now: Instant) {
        let ours = |team: TeamKey, queue: &Queue| {
            let home = state.teams.get(team).map(|team| team.home);
            home.is_some_and(|home| home.vm == Some(me) && home.epoch == queue.epoch)
        };
        let lost = self.queues.iter().filter(|(key, queue)| !ours(*key, queue));
        for team in lost.map(|(key, _)| key).collect::<Vec<_>>() {
            self.drop_team(team);
        }
        for (key, team) in state.teams.iter().filter(|(_, team)| team.home.is_ready(me, now)) {
            if !self.queues.contains_key(key) {
                self.queues.insert(key, Queue::new(team.home.epoch, team.spec.quota));
            }
            self.queues[key].quota = team.spec.quota;
            self.add_jobs(state, key, &team.name, now);
        }
        self.note_cancelled(state);
    }

    fn drop_team(&mut self, team: TeamKey) {
        self.queues.remove(team);
        self.tasks.retain(|_, task| task.team != team);
        let tasks = &self.tasks;
        self.ids.retain(|_, key| tasks.contains_key(*key));
    }

    fn add_jobs(&mut self, state: &State, team: TeamKey, name: &str, now: Instant) {
        let next = self.queues[team].next;
        let jobs = state.jobs.ids.range(next..).map(|(_, &job)| &state.jobs.arena[job]);
        for job in jobs.filter(|job| job.spec.team == name) {
            self.add_job(team, job, now);
        }
        if let Some((last, _)) = state.jobs.ids.last_key_value() {
            self.queues[team].next = JobId(last.0 + 1);
        }
    }

    fn add_job(&mut self, team: TeamKey, job: &Job, now: Instant) {
        let epoch = self.queues[team].epoch;
        // The identifier holds the offset of acceptance; see `JobId::new`.
        let fresh = job.id.0 / MAX_BATCH_ENTRIES as u64 > epoch.0;
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
                state: if fresh { TaskState::Queued } else { TaskState::Recovering },
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
        if fresh {
            self.enqueue(keys);
        }
    }

    fn note_cancelled(&mut self, state: &State) {
        for task in self.tasks.values_mut().filter(|task| !task.cancelled) {
            let job = state.jobs.get(task.spec.lease.task.job);
            task.cancelled = job.is_some_and(|job| job.cancelled);
        }
    }

    /// Returns the tasks that have not ended.
    pub fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.tasks.values()
    }

    /// Returns a task.
    #[must_use]
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        self.ids.get(&id).map(|&key| &self.tasks[key])
    }

    /// Returns how many tasks of a class an owner was given.
    #[must_use]
    pub fn copy_count(&self, class: &str, vm: VmKey) -> usize {
        let at = |state: TaskState| matches!(state, TaskState::Asked(at) | TaskState::Bound(at) if at == vm);
        self.tasks.values().filter(|task| at(task.state) && &*task.spec.class == class).count()
    }

    /// Returns the task that is making this attempt.
    fn attempt(&mut self, lease: LeaseId) -> Option<&mut Task> {
        let key = *self.ids.get(&lease.task)?;
        self.tasks.get_mut(key).filter(|task| task.spec.lease == lease)
    }

    /// Returns the tasks of a job that have not ended, in order of index.
    fn members(&self, job: JobId) -> Vec<TaskKey> {
        let mut members: Vec<TaskKey> = self
            .tasks
            .iter()
            .filter(|(_, task)| task.spec.lease.task.job == job)
            .map(|(key, _)| key)
            .collect();
        members.sort_by_key(|&key| self.tasks[key].spec.lease.task.index);
        members
    }

    /// Counts a task against the quota of its team, once.
    fn count(&mut self, key: TaskKey) {
        let task = &mut self.tasks[key];
        if !task.quota_charged {
            task.quota_charged = true;
            self.queues[task.team].used += task.spec.need;
        }
    }

    fn uncount(&mut self, key: TaskKey) {
        let task = &mut self.tasks[key];
        if task.quota_charged {
            task.quota_charged = false;
            let used = &mut self.queues[task.team].used;
            *used = used.saturating_sub(task.spec.need);
        }
    }
}

/// Returns the class of a workload.
#[must_use]
pub fn class_of(team: &str, name: &str) -> String {
    format!("{team}.{name}")
}

fn end_of(task: &Task, outcome: Outcome) -> TaskEnd {
    TaskEnd { task: task.spec.lease.task, outcome, worker: task.worker.clone() }
}

fn is_gang(task: &Task) -> bool {
    task.spec.kind == Kind::Gang
}
