//! Finding out what runs, after this VM has become the home or workers have changed their owner.

use tokio::time::Instant;

use super::{Task, TaskState, TeamQueues};

use crate::{
    keys::{Epoch, LeaseId, TaskKey, TeamKey, VmKey},
    message::ListedTask,
};

impl TeamQueues {
    /// Lets every team compare its tasks with the owners' lists, because workers have changed owners.
    pub fn mark_stale(&mut self) {
        for queue in self.queues.values_mut() {
            queue.stale = true;
        }
    }

    /// Returns the teams that must ask all owners for their lists, with the epochs of this home.
    #[must_use]
    pub fn stale_teams(&self) -> Vec<(TeamKey, Epoch)> {
        let tasks = || self.tasks.values();
        let waits = |team: TeamKey| {
            tasks().any(|task| task.team == team && task.state == TaskState::Recovering)
        };
        let binds = |team: TeamKey| {
            tasks().any(|task| task.team == team && matches!(task.state, TaskState::Bound(_)))
        };
        let teams = self
            .queues
            .iter()
            .filter(|(team, queue)| waits(*team) || (queue.stale && binds(*team)));
        teams.map(|(team, queue)| (team, queue.epoch)).collect()
    }

    /// Adopts what an owner listed.
    ///
    /// Of two attempts at one task the later one counts; the earlier one has ended, since a home makes an
    /// attempt only after the one before is over.
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
            task.go(TaskState::Bound(vm), now);
            self.count(key);
        }
    }

    /// Queues the tasks of a team that no owner listed. Only for complete lists of all owners.
    ///
    /// Tasks bound after the lists were asked for at `began` need not be on them.
    pub fn finish_recovery(&mut self, team: TeamKey, began: Instant, now: Instant) {
        let missing = |task: &Task| {
            task.team == team
                && match task.state {
                    TaskState::Recovering => true,
                    TaskState::Bound(_) => task.state_since < began,
                    _ => false,
                }
        };
        let found = self.tasks.iter().filter(|(_, task)| missing(task)).map(|(key, _)| key);
        let mut keys: Vec<TaskKey> = found.collect();
        keys.sort_by_key(|&key| self.tasks[key].spec.lease.task);
        let mut leases = Vec::with_capacity(keys.len());
        for key in keys {
            let task = &mut self.tasks[key];
            // `put_back` counts a bound task as over, which is what the complete lists have shown.
            task.state = TaskState::Regroup;
            leases.push(task.spec.lease);
        }
        self.requeue(&leases, now);
        if let Some(queue) = self.queues.get_mut(team) {
            queue.stale = false;
        }
    }

    /// Returns the leases whose owner did not answer and whose deadline has passed, with that owner.
    #[must_use]
    pub fn unsettled_leases(&self, now: Instant) -> Vec<(VmKey, LeaseId)> {
        let unknown = self.tasks.values().filter_map(|task| match task.state {
            TaskState::Unknown(vm, until) if until <= now => Some((vm, task.spec.lease)),
            _ => None,
        });
        unknown.collect()
    }

    /// Moves the deadline after which an unsettled lease is asked for. Returns whether it is unsettled.
    pub fn postpone(&mut self, lease: LeaseId, until: Instant) -> bool {
        let task = self.attempt(lease);
        match task.map(|task| &mut task.state) {
            Some(TaskState::Unknown(_, deadline)) => {
                *deadline = until;
                true
            }
            _ => false,
        }
    }

    /// Returns the epoch of this home for a team, if it is its home.
    #[must_use]
    pub fn epoch(&self, team: TeamKey) -> Option<Epoch> {
        self.queues.get(team).map(|queue| queue.epoch)
    }

    /// Notes what the owner said of an unsettled lease.
    pub fn settle_lease(&mut self, lease: LeaseId, vm: VmKey, runs: bool, now: Instant) {
        let Some(task) = self.attempt(lease) else { return };
        match task.state {
            TaskState::Unknown(..) if runs => task.go(TaskState::Bound(vm), now),
            TaskState::Unknown(..) => self.requeue(&[lease], now),
            _ => {}
        }
    }

    /// Lets the tasks of VMs that are no longer members wait for the lists of the remaining owners.
    pub fn unbind_departed(&mut self, is_member: impl Fn(VmKey) -> bool, now: Instant) {
        for task in self.tasks.values_mut() {
            let (TaskState::Asked(vm) | TaskState::Unknown(vm, _) | TaskState::Bound(vm)) =
                task.state
            else {
                continue;
            };
            if !is_member(vm) {
                task.go(TaskState::Recovering, now);
            }
        }
    }
}
