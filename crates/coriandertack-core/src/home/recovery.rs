//! Recovery of the running tasks, after this VM became the home of a team or workers changed owners.

use tokio::time::Instant;

use super::{Task, TaskState, TeamQueues};

use crate::{
    keys::{Epoch, LeaseId, TaskKey, TeamKey, VmKey},
    message::ListedTask,
};

impl TeamQueues {
    /// Marks the tasks of every team for comparison with the owners' lists, because workers changed owners.
    pub fn mark_stale(&mut self) {
        for queue in self.queues.values_mut() {
            queue.stale = true;
        }
    }

    /// Returns the teams that need the lists of all owners, with the epochs of this home.
    #[must_use]
    pub fn stale_teams(&self) -> Vec<(TeamKey, Epoch)> {
        let tasks = || self.tasks.values();
        let has_recovering = |team: TeamKey| {
            tasks().any(|task| task.team == team && task.state == TaskState::Recovering)
        };
        let has_bound = |team: TeamKey| {
            tasks().any(|task| task.team == team && matches!(task.state, TaskState::Bound(_)))
        };
        let teams = self
            .queues
            .iter()
            .filter(|(team, queue)| has_recovering(*team) || (queue.stale && has_bound(*team)));
        teams.map(|(team, queue)| (team, queue.epoch)).collect()
    }

    /// Binds the tasks that an owner listed.
    ///
    /// If two attempts of a task are listed, the later one is current. The earlier one has ended, since a
    /// home starts an attempt only after the previous one is over.
    pub fn adopt(&mut self, vm: VmKey, known: &[ListedTask], now: Instant) {
        for listed in known {
            let Some(&key) = self.ids.get(&listed.lease.task) else { continue };
            let task = &mut self.tasks[key];
            let adoptable = match task.state {
                TaskState::Recovering => true,
                TaskState::Bound(_) => listed.lease.attempt >= task.spec.lease.attempt,
                _ => false,
            };
            if !adoptable {
                continue;
            }
            task.spec.lease = listed.lease;
            task.worker.clone_from(&listed.worker);
            task.enter(TaskState::Bound(vm), now);
            self.charge_quota(key);
        }
    }

    /// Queues the tasks of a team that no owner listed. Call it only with complete lists of all owners.
    ///
    /// Tasks bound after the lists were requested at `requested_at` may be missing from them and are kept.
    pub fn finish_recovery(&mut self, team: TeamKey, requested_at: Instant, now: Instant) {
        let missing = |task: &Task| {
            task.team == team
                && match task.state {
                    TaskState::Recovering => true,
                    TaskState::Bound(_) => task.state_since < requested_at,
                    _ => false,
                }
        };
        let missing_tasks = self.tasks.iter().filter(|(_, task)| missing(task)).map(|(key, _)| key);
        let mut keys: Vec<TaskKey> = missing_tasks.collect();
        keys.sort_by_key(|&key| self.tasks[key].spec.lease.task);
        let mut leases = Vec::with_capacity(keys.len());
        for key in keys {
            let task = &mut self.tasks[key];
            // `requeue` skips recovering tasks, and the complete lists have shown that this one does not run.
            task.state = TaskState::Regroup;
            leases.push(task.spec.lease);
        }
        self.requeue(&leases, now);
        if let Some(queue) = self.queues.get_mut(team) {
            queue.stale = false;
        }
    }

    /// Returns the leases of unanswered requests whose deadline has passed, with the owner that was asked.
    #[must_use]
    pub fn unsettled_leases(&self, now: Instant) -> Vec<(VmKey, LeaseId)> {
        let unknown = self.tasks.values().filter_map(|task| match task.state {
            TaskState::Unknown(vm, until) if until <= now => Some((vm, task.spec.lease)),
            _ => None,
        });
        unknown.collect()
    }

    /// Moves the deadline after which an unsettled lease is settled. Returns whether the lease is unsettled.
    pub fn postpone(&mut self, lease: LeaseId, until: Instant) -> bool {
        let task = self.attempt_mut(lease);
        match task.map(|task| &mut task.state) {
            Some(TaskState::Unknown(_, deadline)) => {
                *deadline = until;
                true
            }
            _ => false,
        }
    }

    /// Returns the epoch of this VM as the home of a team, or `None` if it is not the home.
    #[must_use]
    pub fn epoch(&self, team: TeamKey) -> Option<Epoch> {
        self.queues.get(team).map(|queue| queue.epoch)
    }

    /// Settles a lease by the owner's answer on whether it has capacity.
    pub fn settle_lease(&mut self, lease: LeaseId, vm: VmKey, runs: bool, now: Instant) {
        let Some(task) = self.attempt_mut(lease) else { return };
        match task.state {
            TaskState::Unknown(..) if runs => task.enter(TaskState::Bound(vm), now),
            TaskState::Unknown(..) => self.requeue(&[lease], now),
            _ => {}
        }
    }

    /// Sets the tasks of VMs that are no longer members to recovering until the remaining owners have listed theirs.
    pub fn unbind_departed(&mut self, is_member: impl Fn(VmKey) -> bool, now: Instant) {
        for task in self.tasks.values_mut() {
            let (TaskState::Asked(vm) | TaskState::Unknown(vm, _) | TaskState::Bound(vm)) =
                task.state
            else {
                continue;
            };
            if !is_member(vm) {
                task.enter(TaskState::Recovering, now);
            }
        }
    }
}
