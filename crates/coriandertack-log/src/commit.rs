//! The task that appends what this VM submits.
//!
//! It is a group commit with one batch in flight. A batch that may have been appended is appended
//! again, unchanged, until it is seen applied; only then does the next one follow. `apply` ignores
//! the copies. See docs/design.md, section 3.

use std::{
    future::{Future, pending},
    pin::pin,
    sync::Arc,
    time::Duration,
};

use {
    bytes::Bytes,
    coriandertack_core::{
        code::Code,
        message::Submission,
        node::{Node, Stage},
    },
    tokio::{
        select,
        sync::mpsc,
        time::{Instant, sleep, sleep_until},
    },
};

use crate::{
    backoff::Backoff,
    client::{AppendError, Client},
    queue::{Outgoing, Queue},
};

/// Appends per second of all VMs together. It leaves room below the 300 per second that the
/// requirements allow, for batches that are appended again.
const APPENDS_PER_S: u32 = 280;

/// Time that an append may take. A slower one is sent again, and seen applied if it took effect.
const APPEND_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time after which submitters stop waiting for an outcome.
pub const OUTCOME_WAIT: Duration = Duration::from_secs(10);

/// Appends submissions in batches until the node stops.
pub async fn run(node: Arc<Node>, submissions: mpsc::Receiver<Submission>, client: Client) {
    let mut stage = node.stage.subscribe();
    let mut intake = Intake { submissions, queue: Queue::default() };
    select! {
        () = append_all(&node, &client, &mut intake) => {}
        _ = stage.wait_for(|stage| *stage == Stage::Stopped) => {}
    }
    let code = if node.has_ended() { Code::Fenced } else { Code::Stopping };
    intake.refuse_all(code);
}

/// Appends one batch after the other until there are no more submitters.
async fn append_all(node: &Node, client: &Client, intake: &mut Intake) {
    let mut last = Instant::now();
    while intake.first().await.is_some() {
        intake.during(node, sleep_until(last + spacing(node))).await;
        if let Some(batch) = intake.queue.take(node) {
            intake.during(node, settle(node, client, &batch, &mut last)).await;
        }
    }
}

/// Returns the time between two appends of one VM.
fn spacing(node: &Node) -> Duration {
    let live = node.with(|shared| shared.state.sessions.len()).max(1);
    Duration::from_secs(1) * u32::try_from(live).unwrap_or(u32::MAX) / APPENDS_PER_S
}

/// What arrives while a batch is gathered or in flight.
#[derive(Debug)]
struct Intake {
    submissions: mpsc::Receiver<Submission>,
    queue: Queue,
}

impl Intake {
    /// Waits until something is queued. Returns nothing if there are no more submitters.
    async fn first(&mut self) -> Option<()> {
        if self.queue.is_empty() {
            let submission = self.submissions.recv().await?;
            self.queue.push(submission);
        }
        Some(())
    }

    /// Queues submissions, and refuses those that can no longer be sent, while `work` runs.
    async fn during<T>(&mut self, node: &Node, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        loop {
            let wake = self.queue.refuse_late(node);
            let late = async {
                match wake {
                    Some(wake) => sleep_until(wake).await,
                    None => pending().await,
                }
            };
            select! {
                biased;
                done = &mut work => return done,
                Some(submission) = self.submissions.recv(), if !self.queue.is_full() => {
                    self.queue.push(submission);
                }
                () = late => {}
            }
        }
    }

    fn refuse_all(&mut self, code: Code) {
        self.submissions.close();
        self.queue.refuse_all(code);
        while let Ok(submission) = self.submissions.try_recv() {
            let _ = submission.reply.send(Err(code));
        }
    }
}

/// Appends a batch until it is seen applied, or until it is certain that it was never sent.
///
/// At the batch's deadline its submitters stop waiting, but the batch does not.
async fn settle(node: &Node, client: &Client, batch: &Outgoing, last: &mut Instant) {
    let expire = async {
        sleep_until(batch.until).await;
        node.with(|shared| shared.in_flight.reply(batch.seq, Code::OutcomeUnknown));
        pending().await
    };
    select! {
        () = seen(node, batch.seq) => {}
        () = send(node, client, batch, last) => {}
        () = expire => {}
    }
}

/// Waits until the batch is applied.
async fn seen(node: &Node, seq: u64) {
    let mut applied = node.applied_offset.subscribe();
    while node.with(|shared| shared.in_flight.is_in_flight(seq)) {
        if applied.changed().await.is_err() {
            return;
        }
    }
}

/// Sends a batch until the service acknowledges it, then waits for ever. Returns if the batch was
/// certainly not sent and the permission to act has lapsed.
async fn send(node: &Node, client: &Client, batch: &Outgoing, last: &mut Instant) {
    let mut backoff = Backoff::default();
    let mut sent = false;
    loop {
        *last = Instant::now();
        match client.append(Bytes::clone(&batch.body), *last + APPEND_TIMEOUT).await {
            Ok(_) => {
                let took = last.elapsed();
                node.with(|shared| shared.stats.append_times.record(took));
                return pending().await;
            }
            Err(AppendError::Unclear(error)) => {
                sent = true;
                log::warn!("event=append_unclear seq={} error={error:#}", batch.seq);
            }
            Err(AppendError::Refused(error)) => {
                log::warn!("event=append_refused seq={} error={error:#}", batch.seq);
            }
        }
        sleep(backoff.fail().max(spacing(node))).await;
        if !sent && Instant::now() >= node.valid_until() {
            node.with(|shared| shared.in_flight.cancel(batch.seq, Code::LogUnavailable));
            return;
        }
    }
}
