//! Commands to workers and their outcomes.

use std::sync::Arc;

use super::{Scheduler, WorkerKey, advice::Ticket, worker::Run};

use crate::{boot_time::BootTime, ids::TaskId, report::StartRefusal};

/// Time after which a stop that has had no effect is repeated, in milliseconds.
const STOP_RETRY_MS: u64 = 1_000;

/// How long a worker that refused a start for lack of capacity gets no new one, in milliseconds. A
/// newer list of its runs has arrived by then.
const NO_ROOM_PAUSE_MS: u64 = 500;

/// How long a worker that is unreachable or reports itself unhealthy gets no start, in
/// milliseconds.
const UNREACHABLE_PAUSE_MS: u64 = 1_000;

/// A command to a worker.
#[derive(Clone, Debug)]
pub enum WorkerCommand {
    /// Start a task.
    Start(StartCommand),
    /// Stop a run, or prevent it from starting if its start has not arrived yet.
    Stop {
        /// Worker that receives the command.
        worker: WorkerKey,
        /// Task of the run to stop.
        task: TaskId,
        /// Attempt of the run.
        attempt: u32,
    },
}

/// A command to start a task.
#[derive(Clone, Debug)]
pub struct StartCommand {
    /// Worker that receives the command.
    pub worker: WorkerKey,
    /// Task to start.
    pub task: TaskId,
    /// Attempt of the run.
    pub attempt: u32,
    /// Payload of the job.
    pub payload: Arc<str>,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Arc<str>,
    /// Ticket from the policy, if the route has one.
    pub ticket: Option<Ticket>,
    /// Time for which the task's step had been ready, in milliseconds.
    pub waited_ms: u64,
}

/// Outcome of a start command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The worker has started the run.
    Started,
    /// The worker refused the start.
    Refused(StartRefusal),
    /// The command was never sent.
    NotSent,
    /// The command was sent but not answered. The run may still start at any time.
    Unanswered,
}

impl Scheduler {
    /// Returns true if a start that is about to be sent is still wanted and fits on its worker, and
    /// records that it is sent. While the start was recorded, the worker may have shrunk, and a list
    /// may have shown that the task is done.
    #[must_use]
    pub fn prepare_start(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        attempt: u32,
        now: BootTime,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(key) else { return false };
        if worker.is_overcommitted() {
            log::info!(
                "event=start_withheld task={task} attempt={attempt} worker={} capacity={}",
                worker.name,
                worker.capacity()
            );
            return false;
        }
        let token = worker.token;
        let wanted = |run: &&mut Run| run.stopped_at.is_none();
        let Some(run) = worker.runs.get_mut((task, attempt)).filter(wanted) else {
            log::info!("event=start_unwanted task={task} attempt={attempt} worker={}", worker.name);
            return false;
        };
        if run.started {
            return false;
        }
        (run.sent_at, run.token) = (Some(now), token);
        (run.in_flight, run.repeats) = (true, false);
        self.expect_late_start(key, task, now);
        true
    }

    /// Records the reading of the worker's clock in the answer to a start, before its outcome. It tells
    /// which incarnation answered, and how long the leases can last there.
    pub fn record_start_clock(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        attempt: u32,
        clock_ms: u64,
        now: BootTime,
    ) {
        let limit_ms = self.lease_limit_ms;
        let Some(worker) = self.workers.get_mut(key) else { return };
        worker.count_leases(clock_ms, limit_ms, now);
        let attributed = worker.has_continued(clock_ms, now);
        if let Some(run) = worker.runs.get_mut((task, attempt)) {
            run.attributed |= attributed;
        }
        if !attributed {
            log::info!(
                "event=start_unattributed task={task} attempt={attempt} worker={} clock_ms={clock_ms} \
                 lease_ms={}",
                worker.name,
                worker.lease_end().ms_since(now)
            );
        }
    }

    /// Records the outcome of a start command.
    pub fn record_start_outcome(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        attempt: u32,
        outcome: StartOutcome,
        now: BootTime,
    ) {
        let answered = matches!(outcome, StartOutcome::Started | StartOutcome::Refused(_));
        if answered {
            self.settle_start(task);
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        if answered {
            worker.record_answer(now);
        }
        let Some(run) = worker.runs.get_mut((task, attempt)) else {
            if outcome == StartOutcome::Unanswered {
                self.extend_late_start(task, false, now);
                self.record_unanswered(key, now);
            }
            return;
        };
        let was_in_flight = std::mem::take(&mut run.in_flight);
        match outcome {
            StartOutcome::Started => {
                run.confirm(now);
                (run.started, run.repeats) = (true, false);
                run.progressed_at = now;
                self.record_begun(task, attempt, true);
                self.mark_running(task);
            }
            // The start is repeated, and its next outcome tells what becomes of the run.
            StartOutcome::Refused(_) if run.repeats => {}
            // A late start has been carried out before the repeated one was sent.
            StartOutcome::NotSent if run.started => {}
            // A run with this attempt or a later one has already been on the worker or was barred.
            // The next list shows which.
            StartOutcome::Refused(StartRefusal::Superseded) => {
                run.confirm(now);
                self.record_barred(task, attempt);
            }
            StartOutcome::Refused(reason) => {
                self.stats.refused[reason as usize] += 1;
                log::info!(
                    "event=start_refused task={task} attempt={attempt} worker={} reason={reason}",
                    worker.name
                );
                self.handle_refusal(key, task, reason, now);
                self.remove_run(key, task, attempt, "refused", now);
            }
            StartOutcome::NotSent => {
                worker.avoided_until = worker.avoided_until.max(now.plus_ms(UNREACHABLE_PAUSE_MS));
                log::info!(
                    "event=start_not_sent task={task} attempt={attempt} worker={}",
                    worker.name
                );
                if was_in_flight {
                    self.settle_start(task);
                }
                self.remove_run(key, task, attempt, "not_sent", now);
            }
            StartOutcome::Unanswered => {
                log::info!(
                    "event=start_unanswered task={task} attempt={attempt} worker={}",
                    worker.name
                );
                worker.avoided_until = worker.avoided_until.max(now.plus_ms(UNREACHABLE_PAUSE_MS));
                run.sent_at.get_or_insert(now);
                let shown = run.started;
                self.extend_late_start(task, shown, now);
                self.record_unanswered(key, now);
            }
        }
    }

    /// Applies the effects of a refusal to the worker and to the ticket of the step.
    fn handle_refusal(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        reason: StartRefusal,
        now: BootTime,
    ) {
        if reason == StartRefusal::Ticket
            && let Some(step) = self.step_mut(task.step_id())
        {
            step.advice.drop_ticket(key);
        }
        let Some(worker) = self.workers.get_mut(key) else { return };
        match reason {
            StartRefusal::NoRoom => {
                worker.avoided_until = worker.avoided_until.max(now.plus_ms(NO_ROOM_PAUSE_MS))
            }
            StartRefusal::Unhealthy | StartRefusal::Replaced => {
                worker.avoided_until = worker.avoided_until.max(now.plus_ms(UNREACHABLE_PAUSE_MS));
            }
            StartRefusal::LeaseExpired => worker.forget_clock(),
            StartRefusal::Fenced
            | StartRefusal::Superseded
            | StartRefusal::Ticket
            | StartRefusal::Malformed => {}
        }
    }

    /// Queues a command to stop a run. The run occupies its capacity until its end is listed.
    pub(super) fn stop_run(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        attempt: u32,
        reason: &'static str,
        now: BootTime,
    ) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        let Some(run) = worker.runs.get_mut((task, attempt)) else { return };
        if run.stopped_at.is_some_and(|at| now.ms_since(at) < STOP_RETRY_MS) {
            return;
        }
        run.stopped_at = Some(now);
        log::info!(
            "event=stop_ordered task={task} attempt={attempt} worker={} reason={reason}",
            worker.name
        );
        self.record_barred(task, attempt);
        self.commands.push(WorkerCommand::Stop { worker: key, task, attempt });
    }

    /// Records that the worker carried out a stop: the run is stopping, or can never start there.
    pub fn record_stop(&mut self, key: WorkerKey, task: TaskId, attempt: u32, now: BootTime) {
        let run = self.workers.get_mut(key).and_then(|w| w.runs.get_mut((task, attempt)));
        if let Some(run) = run {
            run.confirm(now);
        }
    }

    /// Removes a run that cannot be on the worker any more and returns its task to the waiting
    /// state.
    pub(super) fn remove_run(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        attempt: u32,
        reason: &'static str,
        now: BootTime,
    ) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.take_run(&mut self.ledger, (task, attempt));
        }
        self.requeue_task(key, task, attempt, reason, now);
    }
}
