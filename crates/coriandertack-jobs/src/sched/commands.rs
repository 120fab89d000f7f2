//! Orders to workers and what came of them.

use std::sync::Arc;

use super::{Scheduler, WorkerKey, advice::Ticket};

use crate::{boot_time::BootTime, ids::TaskId, report::StartRefusal};

/// Time after which a stop that shows no effect is ordered again, in milliseconds.
const STOP_AGAIN_MS: u64 = 1_000;

/// How long a worker that refused a start for want of room gets none, in milliseconds: its list is newer by then.
const NO_ROOM_MS: u64 = 500;

/// How long a worker that cannot be reached or calls itself unhealthy gets no start, in milliseconds.
const UNREACHED_MS: u64 = 1_000;

/// An order to a worker.
#[derive(Clone, Debug)]
pub enum WorkerCommand {
    /// Start a task.
    Start(StartCommand),
    /// Stop a run, or bar it if it has not arrived yet.
    Stop {
        /// Worker.
        worker: WorkerKey,
        /// Task.
        task: TaskId,
        /// Number of the start.
        attempt: u32,
    },
}

/// The order to start a task.
#[derive(Clone, Debug)]
pub struct StartCommand {
    /// Worker.
    pub worker: WorkerKey,
    /// Task.
    pub task: TaskId,
    /// Number of the start.
    pub attempt: u32,
    /// Payload of the job.
    pub payload: Arc<str>,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// Ticket of the policy, if the route has one.
    pub ticket: Option<Ticket>,
    /// Milliseconds for which the task's step was ready before.
    pub waited_ms: u64,
}

/// What came of a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is there.
    Started,
    /// The worker refused.
    Refused(StartRefusal),
    /// The order was never sent.
    NotSent,
    /// It was sent, and no answer came. The run may start at any time.
    Unanswered,
}

impl Scheduler {
    /// Notes what came of a start.
    pub fn record_start_outcome(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        attempt: u32,
        outcome: StartOutcome,
        now: BootTime,
    ) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(run) = worker.runs.get_mut(&(task, attempt)) else { return };
        match outcome {
            StartOutcome::Started => {
                run.confirm(now);
                run.moved = now;
                self.began(task);
            }
            // A run of this number ended there before, or was barred. The next list tells.
            StartOutcome::Refused(StartRefusal::Superseded) => run.confirm(now),
            StartOutcome::Refused(reason) => {
                self.stats.refused[reason as usize] += 1;
                log::info!(
                    "event=start_refused task={task} attempt={attempt} worker={} reason={reason}",
                    worker.name
                );
                self.refused(key, task, reason, now);
                self.drop_run(key, task, attempt, "refused", now);
            }
            StartOutcome::NotSent => {
                worker.avoided = worker.avoided.max(now.plus_ms(UNREACHED_MS));
                log::info!(
                    "event=start_not_sent task={task} attempt={attempt} worker={}",
                    worker.name
                );
                self.drop_run(key, task, attempt, "not_sent", now);
            }
            StartOutcome::Unanswered => {
                log::info!(
                    "event=start_unanswered task={task} attempt={attempt} worker={}",
                    worker.name
                );
                worker.avoided = worker.avoided.max(now.plus_ms(UNREACHED_MS));
                self.stop_run(key, task, attempt, "unanswered", now);
            }
        }
    }

    fn refused(&mut self, key: WorkerKey, task: TaskId, reason: StartRefusal, now: BootTime) {
        if reason == StartRefusal::Ticket
            && let Some(step) = self.step_mut(task.step_id())
        {
            step.advice.drop_ticket(key);
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        match reason {
            StartRefusal::NoRoom => worker.avoided = worker.avoided.max(now.plus_ms(NO_ROOM_MS)),
            StartRefusal::Unhealthy | StartRefusal::Replaced => {
                worker.avoided = worker.avoided.max(now.plus_ms(UNREACHED_MS));
            }
            StartRefusal::LeaseExpired => worker.forget_clock(),
            StartRefusal::Fenced
            | StartRefusal::Superseded
            | StartRefusal::Ticket
            | StartRefusal::Malformed => {}
        }
    }

    /// Orders a stop of a run. The run keeps its capacity until its end is listed.
    pub(super) fn stop_run(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        attempt: u32,
        reason: &'static str,
        now: BootTime,
    ) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(run) = worker.runs.get_mut(&(task, attempt)) else { return };
        if run.stopped.is_some_and(|at| now.ms_since(at) < STOP_AGAIN_MS) {
            return;
        }
        run.stopped = Some(now);
        log::info!(
            "event=stop_ordered task={task} attempt={attempt} worker={} reason={reason}",
            worker.name
        );
        self.commands.push(WorkerCommand::Stop { worker: key, task, attempt });
    }

    /// Notes that the worker carried out a stop: the run is stopping, or can never start there.
    pub fn record_stop(&mut self, key: WorkerKey, task: TaskId, attempt: u32, now: BootTime) {
        let run = self.workers.get_mut(key).and_then(|w| w.runs.get_mut(&(task, attempt)));
        if let Some(run) = run {
            run.confirm(now);
        }
    }

    /// Removes a run that certainly is not on the worker, and lets its task wait again.
    pub(super) fn drop_run(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        attempt: u32,
        reason: &'static str,
        now: BootTime,
    ) {
        if let Some(worker) = self.workers.get_mut(key)
            && let Some(run) = worker.runs.remove(&(task, attempt))
        {
            worker.used = worker.used.saturating_sub(run.charge);
        }
        self.release(key, task, attempt, reason, now);
    }
}
