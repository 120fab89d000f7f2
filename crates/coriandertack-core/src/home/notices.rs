//! News of tasks from their owners: starts, ends, and what they require of the home.

use std::{collections::BTreeSet, time::Duration};

use tokio::time::Instant;

use super::{TaskState, TeamQueues, end_of, is_gang};

use crate::{
    keys::{JobId, LeaseId, TaskId, TaskKey, VmKey},
    message::{EndCause, Notice, TaskEvent},
    record::{Kind, Outcome, TaskEnd},
};

/// Time after which a stop is sent again if the task still runs.
const STOP_AGAIN: Duration = Duration::from_secs(2);

/// What a notice requires of the home.
#[derive(Clone, Debug, PartialEq)]
pub enum NoticeAction {
    /// The end goes to the log, and is acknowledged to the owner afterwards.
    End(TaskEnd),
    /// The owner may forget the lease now.
    Acknowledge,
    /// The lease must be stopped: it is not the attempt that this home made.
    Stop,
    /// Nothing.
    Ignore,
}

impl TeamQueues {
    /// Handles news of a task from its owner.
    pub fn handle_notice(&mut self, vm: VmKey, notice: &Notice, now: Instant) -> NoticeAction {
        let running = matches!(notice.event, TaskEvent::Running);
        let Some(&key) = self.ids.get(&notice.lease.task) else {
            // The task has ended, or its team has no queue here yet; the owner reports an end again.
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
                task.go(TaskState::Bound(vm), now);
                NoticeAction::Ignore
            }
            TaskEvent::Ended { cause, .. } => self.ended(key, cause, now),
        }
    }

    /// Decides whether the end of an attempt is the end of the task.
    fn ended(&mut self, key: TaskKey, cause: EndCause, now: Instant) -> NoticeAction {
        let task = &mut self.tasks[key];
        if task.state == TaskState::Ending {
            // The end is on its way to the log; the owner is told when it is there.
            return NoticeAction::Ignore;
        }
        let failed = matches!(cause, EndCause::Failed | EndCause::OutOfMemory);
        let outcome = match cause {
            _ if task.cancelled => Some(Outcome::Cancelled),
            // A service that ends by itself is started again.
            EndCause::Succeeded if task.spec.kind != Kind::Service => Some(Outcome::Succeeded),
            _ if failed && task.retries == 0 => Some(Outcome::Failed),
            _ => None,
        };
        if let Some(outcome) = outcome {
            task.go(TaskState::Ending, now);
            return NoticeAction::End(end_of(task, outcome));
        }
        if failed {
            task.retries -= 1;
        }
        task.queued_at = now;
        let lease = task.spec.lease;
        self.requeue(&[lease], now);
        NoticeAction::Acknowledge
    }

    /// Returns the leases to stop now, with their owners: cancelled tasks, and members of a gang of which
    /// another member has to start again.
    pub fn due_stops(&mut self, now: Instant) -> Vec<(VmKey, LeaseId)> {
        let broken: BTreeSet<JobId> = self
            .tasks
            .values()
            .filter(|task| task.state == TaskState::Regroup)
            .map(|task| task.spec.lease.task.job)
            .collect();
        let mut stops = Vec::new();
        for task in self.tasks.values_mut() {
            let TaskState::Bound(vm) = task.state else { continue };
            let breaks = is_gang(task) && broken.contains(&task.spec.lease.task.job);
            if (task.cancelled || breaks) && task.stop_at <= now {
                task.stop_at = now + STOP_AGAIN;
                stops.push((vm, task.spec.lease));
            }
        }
        stops
    }

    /// Forgets a task whose end is in the log, and frees its quota.
    pub fn remove_finished(&mut self, id: TaskId) {
        let Some(key) = self.ids.remove(&id) else { return };
        self.uncount(key);
        self.tasks.remove(key);
    }

    /// Notes that the end of a task did not reach the log; the owner's next report tries again.
    pub fn retry_end(&mut self, id: TaskId, vm: VmKey, now: Instant) {
        let task = self.ids.get(&id).and_then(|&key| self.tasks.get_mut(key));
        if let Some(task) = task.filter(|task| task.state == TaskState::Ending) {
            task.go(TaskState::Bound(vm), now);
        }
    }
}
