//! Group commit of the submissions of this VM.
//!
//! One batch is in flight at a time. A batch that may have been appended is retried unchanged until
//! the tail task has applied it, and only then is the next batch sent. `apply` ignores duplicates
//! of a batch. See docs/design.md, section 3.

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
    queue::{OutgoingBatch, SubmissionQueue},
};

/// Maximum rate of appends of all VMs together. It is below the 300 per second that the
/// requirements allow, which leaves capacity for retried batches.
const MAX_APPENDS_PER_S: u32 = 280;

/// Timeout of an append. A slower one is retried; if it took effect, the tail task sees it applied.
const APPEND_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time that a submitter waits for the outcome of a submission.
pub const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);

/// Appends submissions in batches until the node stops or all submitters are gone.
pub async fn run(node: Arc<Node>, submissions: mpsc::Receiver<Submission>, client: Client) {
    let mut stage = node.stage.subscribe();
    let mut intake = Intake { submissions, queue: SubmissionQueue::default() };
    select! {
        () = append_batches(&node, &client, &mut intake) => {}
        _ = stage.wait_for(|stage| *stage == Stage::Stopped) => {}
    }
    let code = if node.has_ended() { Code::Fenced } else { Code::Stopping };
    intake.refuse_all(code);
}

/// Commits one batch after the other until all submitters are gone.
async fn append_batches(node: &Node, client: &Client, intake: &mut Intake) {
    let mut last_append = Instant::now();
    while intake.wait_for_submission().await.is_some() {
        intake.receive_while(node, sleep_until(last_append + append_interval(node))).await;
        if let Some(batch) = intake.queue.next_batch(node) {
            intake.receive_while(node, commit_batch(node, client, &batch, &mut last_append)).await;
        }
    }
}

/// Returns the minimum time between two appends of this VM, its equal share of the total rate.
fn append_interval(node: &Node) -> Duration {
    let session_count = node.with(|shared| shared.state.sessions.len()).max(1);
    Duration::from_secs(1) * u32::try_from(session_count).unwrap_or(u32::MAX) / MAX_APPENDS_PER_S
}

/// Receives and queues submissions, also while a batch is in flight.
#[derive(Debug)]
struct Intake {
    submissions: mpsc::Receiver<Submission>,
    queue: SubmissionQueue,
}

impl Intake {
    /// Waits until a submission is queued. Returns `None` if all submitters are gone.
    async fn wait_for_submission(&mut self) -> Option<()> {
        if self.queue.is_empty() {
            let submission = self.submissions.recv().await?;
            self.queue.push(submission);
        }
        Some(())
    }

    /// Runs `operation` while it queues submissions and refuses those that have expired.
    async fn receive_while<T>(&mut self, node: &Node, operation: impl Future<Output = T>) -> T {
        let mut operation = pin!(operation);
        loop {
            let expires_at = self.queue.refuse_expired(node);
            let next_expiry = async {
                match expires_at {
                    Some(expires_at) => sleep_until(expires_at).await,
                    None => pending().await,
                }
            };
            select! {
                biased;
                output = &mut operation => return output,
                Some(submission) = self.submissions.recv(), if !self.queue.is_full() => {
                    self.queue.push(submission);
                }
                () = next_expiry => {}
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

/// Appends a batch and waits until it is applied, or until it is certain that it never will be.
///
/// At the batch's deadline its submitters are told that the outcome is unknown, but the batch is
/// still retried.
async fn commit_batch(
    node: &Node,
    client: &Client,
    batch: &OutgoingBatch,
    last_append: &mut Instant,
) {
    let expire = async {
        sleep_until(batch.deadline).await;
        node.with(|shared| shared.in_flight.reply(batch.seq, Code::OutcomeUnknown));
        pending().await
    };
    select! {
        () = wait_until_applied(node, batch.seq) => {}
        () = append_with_retries(node, client, batch, last_append) => {}
        () = expire => {}
    }
}

/// Waits until the tail task has applied the batch.
async fn wait_until_applied(node: &Node, seq: u64) {
    let mut applied = node.applied_offset.subscribe();
    while node.with(|shared| shared.in_flight.is_in_flight(seq)) {
        if applied.changed().await.is_err() {
            return;
        }
    }
}

/// Retries an append until the service acknowledges it, and then never returns.
///
/// Returns only if the batch was certainly not appended and the permission to act has lapsed. The
/// batch is then cancelled.
async fn append_with_retries(
    node: &Node,
    client: &Client,
    batch: &OutgoingBatch,
    last_append: &mut Instant,
) {
    let mut backoff = Backoff::default();
    let mut maybe_appended = false;
    loop {
        *last_append = Instant::now();
        match client.append(Bytes::clone(&batch.body), *last_append + APPEND_TIMEOUT).await {
            Ok(_) => {
                let latency = last_append.elapsed();
                node.with(|shared| shared.stats.append_times.record(latency));
                return pending().await;
            }
            Err(AppendError::Indeterminate(error)) => {
                maybe_appended = true;
                log::warn!("event=append_unclear seq={} error={error:#}", batch.seq);
            }
            Err(AppendError::Refused(error)) => {
                log::warn!("event=append_refused seq={} error={error:#}", batch.seq);
            }
        }
        sleep(backoff.next_delay().max(append_interval(node))).await;
        if !maybe_appended && Instant::now() >= node.valid_until() {
            node.with(|shared| shared.in_flight.cancel(batch.seq, Code::LogUnavailable));
            return;
        }
    }
}
