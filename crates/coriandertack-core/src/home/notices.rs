//! Notices from owners about the start and the end of tasks, and stops that the home requests.

use std::{collections::BTreeSet, time::Duration};

use tokio::time::Instant;

use super::{TaskState, TeamQueues, is_gang, task_end};

use crate::{
    keys::{JobId, LeaseId, TaskId, TaskKey, VmKey},
    message::{EndCause, Notice, TaskEvent},
    record::{Kind, Outcome, TaskEnd},
};

/// Interval at which a stop is requested again while the task still runs.
const STOP_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Action that a notice requires of the home.
#[derive(Clone, Debug, PartialEq)]
pub enum NoticeAction {
    /// Append the end of the task to the log, and acknowledge it to the owner afterwards.
    End(TaskEnd),
    /// Acknowledge the end of the lease, so that the owner forgets it.
    Acknowledge,
    /// Stop the lease, because it is not the current attempt of its task.
    Stop,
    /// Do nothing.
    Ignore,
}

impl TeamQueues {
    /// Handles a notice about a task from its owner.
    pub fn handle_notice(&mut self, vm: VmKey, notice: &Notice, now: Instant) -> NoticeAction {
        let running = matches!(notice.event, TaskEvent::Running);
        let Some(&key) = self.ids.get(&notice.lease.task) else {
            // The task has ended, or its team has no queue here yet. The owner repeats the notice of an end.
            return NoticeAction::Ignore;
        };
        let task = &mut self.tasks[key];
        if task.state == TaskState::Recovering {
            return NoticeAction::Ignore;
        }
        if task.spec.lease != notice.lease {
            return if running { NoticeAction::Stop } else { NoticeAction::Acknowledge };
        }
        task.worker.clone_from(&notice.worker);
        match notice.event {
            TaskEvent::Running if task.state == TaskState::Ending => NoticeAction::Ignore,
            TaskEvent::Running => {
                task.enter(TaskState::Bound(vm), now);
                NoticeAction::Ignore
            }
            TaskEvent::Ended { cause, .. } => self.handle_end(key, cause, now),
        }
    }

    /// Ends the task, or queues it for another attempt, after an attempt has ended.
    fn handle_end(&mut self, key: TaskKey, cause: EndCause, now: Instant) -> NoticeAction {
        let task = &mut self.tasks[key];
        if task.state == TaskState::Ending {
            // The end is being appended to the log and is acknowledged to the owner afterwards.
            return NoticeAction::Ignore;
        }
        let failed = matches!(cause, EndCause::Failed | EndCause::OutOfMemory);
        let outcome = match cause {
            _ if task.cancelled => Some(Outcome::Cancelled),
            // A service that exits by itself is restarted.
            EndCause::Succeeded if task.spec.kind != Kind::Service => Some(Outcome::Succeeded),
            _ if failed && task.retries == 0 => Some(Outcome::Failed),
            _ => None,
        };
        if let Some(outcome) = outcome {
            task.enter(TaskState::Ending, now);
            return NoticeAction::End(task_end(task, outcome));
        }
        if failed {
            task.retries -= 1;
        }
        task.queued_at = now;
        let lease = task.spec.lease;
        self.requeue(&[lease], now);
        NoticeAction::Acknowledge
    }

    /// Returns the leases to stop now, with their owners.
    ///
    /// These are the leases of cancelled tasks, and of gang members that run although another member has to
    /// start again.
    pub fn due_stops(&mut self, now: Instant) -> Vec<(VmKey, LeaseId)> {
        let regrouping: BTreeSet<JobId> = self
            .tasks
            .values()
            .filter(|task| task.state == TaskState::Regroup)
            .map(|task| task.spec.lease.task.job)
            .collect();
        let mut stops = Vec::new();
        for task in self.tasks.values_mut() {
            let TaskState::Bound(vm) = task.state else { continue };
            let gang_restarts = is_gang(task) && regrouping.contains(&task.spec.lease.task.job);
            if (task.cancelled || gang_restarts) && task.stop_at <= now {
                task.stop_at = now + STOP_RETRY_INTERVAL;
                stops.push((vm, task.spec.lease));
            }
        }
        stops
    }

    /// Removes a task whose end is in the log, and releases its quota.
    pub fn remove_finished(&mut self, id: TaskId) {
        let Some(key) = self.ids.remove(&id) else { return };
        self.release_quota(key);
        self.tasks.remove(key);
    }

    /// Reverts a task to bound after appending its end to the log failed. The owner's next notice triggers a retry.
    pub fn retry_end(&mut self, id: TaskId, vm: VmKey, now: Instant) {
        let task = self.ids.get(&id).and_then(|&key| self.tasks.get_mut(key));
        if let Some(task) = task.filter(|task| task.state == TaskState::Ending) {
            task.enter(TaskState::Bound(vm), now);
        }
    }
}
