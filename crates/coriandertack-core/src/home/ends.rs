//! News of tasks from their owners: starts, ends, and what they require of the home.

use std::{collections::BTreeSet, time::Duration};

use tokio::time::Instant;

use super::{Homes, Step, end_of, is_gang};

use crate::{
    keys::{JobId, LeaseId, TaskId, TaskKey, VmKey},
    message::{EndCause, News, Notice},
    record::{Kind, Outcome, TaskEnd},
};

/// Time after which a stop is sent again if the task still runs.
const STOP_AGAIN: Duration = Duration::from_secs(2);

/// What a notice requires of the home.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The end goes to the log, and is acknowledged to the owner afterwards.
    End(TaskEnd),
    /// The owner may forget the lease now.
    Acknowledge,
    /// The lease must be stopped: it is not the attempt that this home made.
    Stop,
    /// Nothing.
    Keep,
}

impl Homes {
    /// Handles news of a task from its owner.
    pub fn notice(&mut self, vm: VmKey, notice: &Notice, now: Instant) -> Verdict {
        let running = matches!(notice.news, News::Running);
        let Some(&key) = self.ids.get(&notice.lease.task) else {
            // The task has ended, or its team has no queue here yet; the owner reports an end again.
            return Verdict::Keep;
        };
        let task = &mut self.tasks[key];
        if task.step == Step::Recovering {
            return Verdict::Keep;
        }
        if task.ask.lease != notice.lease {
            return if running { Verdict::Stop } else { Verdict::Acknowledge };
        }
        task.worker.clone_from(&notice.worker);
        match notice.news {
            News::Running if task.step == Step::Ending => Verdict::Keep,
            News::Running => {
                task.go(Step::Bound(vm), now);
                Verdict::Keep
            }
            News::Ended { cause, .. } => self.ended(key, cause, now),
        }
    }

    /// Decides whether the end of an attempt is the end of the task.
    fn ended(&mut self, key: TaskKey, cause: EndCause, now: Instant) -> Verdict {
        let task = &mut self.tasks[key];
        if task.step == Step::Ending {
            // The end is on its way to the log; the owner is told when it is there.
            return Verdict::Keep;
        }
        let failed = matches!(cause, EndCause::Failed | EndCause::OutOfMemory);
        let outcome = match cause {
            _ if task.cancelled => Some(Outcome::Cancelled),
            // A service that ends by itself is started again.
            EndCause::Succeeded if task.ask.kind != Kind::Service => Some(Outcome::Succeeded),
            _ if failed && task.retries == 0 => Some(Outcome::Failed),
            _ => None,
        };
        if let Some(outcome) = outcome {
            task.go(Step::Ending, now);
            return Verdict::End(end_of(task, outcome));
        }
        if failed {
            task.retries -= 1;
        }
        task.queued = now;
        let lease = task.ask.lease;
        self.put_back(&[lease], now);
        Verdict::Acknowledge
    }

    /// Returns the leases to stop now, with their owners: cancelled tasks, and members of a gang of which
    /// another member has to start again.
    pub fn stops(&mut self, now: Instant) -> Vec<(VmKey, LeaseId)> {
        let broken: BTreeSet<JobId> = self
            .tasks
            .values()
            .filter(|task| task.step == Step::Regroup)
            .map(|task| task.ask.lease.task.job)
            .collect();
        let mut stops = Vec::new();
        for task in self.tasks.values_mut() {
            let Step::Bound(vm) = task.step else { continue };
            let breaks = is_gang(task) && broken.contains(&task.ask.lease.task.job);
            if (task.cancelled || breaks) && task.stop_at <= now {
                task.stop_at = now + STOP_AGAIN;
                stops.push((vm, task.ask.lease));
            }
        }
        stops
    }

    /// Forgets a task whose end is in the log, and frees its quota.
    pub fn finished(&mut self, id: TaskId) {
        let Some(key) = self.ids.remove(&id) else { return };
        self.uncount(key);
        self.tasks.remove(key);
    }

    /// Notes that the end of a task did not reach the log; the owner's next report tries again.
    pub fn not_ended(&mut self, id: TaskId, vm: VmKey, now: Instant) {
        let task = self.ids.get(&id).and_then(|&key| self.tasks.get_mut(key));
        if let Some(task) = task.filter(|task| task.step == Step::Ending) {
            task.go(Step::Bound(vm), now);
        }
    }
}
