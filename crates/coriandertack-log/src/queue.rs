//! Queue of submissions that wait for the next batch.

use std::collections::VecDeque;

use {
    bytes::Bytes,
    coriandertack_core::{
        code::Code,
        keys::MAX_BATCH_ENTRIES,
        message::Submission,
        node::{Node, PendingReply},
        record::{Batch, Entry, Record},
    },
    tokio::time::Instant,
};

use crate::{codec, commit::OUTCOME_TIMEOUT};

/// Maximum size of the entries of a batch.
pub(crate) const MAX_BATCH_BYTES: usize = 256 << 10;

/// Maximum number of queued submissions; further ones wait in their channel.
const MAX_QUEUED_SUBMISSIONS: usize = 4_096;

/// FIFO queue of submissions that have not been sent.
#[derive(Debug, Default)]
pub(crate) struct SubmissionQueue {
    submissions: VecDeque<QueuedSubmission>,
}

#[derive(Debug)]
struct QueuedSubmission {
    submission: Submission,
    /// Encoded size of the entries in bytes.
    size: usize,
    /// When the submitter stops waiting.
    deadline: Instant,
}

/// An encoded batch that is ready to be appended.
#[derive(Debug)]
pub(crate) struct OutgoingBatch {
    /// Sequence number of the batch within this incarnation.
    pub(crate) seq: u64,
    /// Encoded batch, which is the same in each attempt.
    pub(crate) body: Bytes,
    /// Earliest deadline of its submissions.
    pub(crate) deadline: Instant,
}

impl SubmissionQueue {
    pub(crate) fn is_empty(&self) -> bool {
        self.submissions.is_empty()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.submissions.len() >= MAX_QUEUED_SUBMISSIONS
    }

    /// Adds a submission, or refuses it if it is too large for a batch.
    pub(crate) fn push(&mut self, submission: Submission) {
        let size = submission.entries.iter().map(codec::entry_size).sum();
        if size > MAX_BATCH_BYTES || submission.entries.len() > MAX_BATCH_ENTRIES {
            refuse(submission, Code::TooLarge);
            return;
        }
        if submission.entries.is_empty() {
            let _ = submission.reply.send(Ok(Vec::new()));
            return;
        }
        let deadline = Instant::now() + OUTCOME_TIMEOUT;
        self.submissions.push_back(QueuedSubmission { submission, size, deadline });
    }

    /// Refuses expired submissions, or all of them if the permission to act has lapsed.
    ///
    /// Returns when the next submission expires.
    pub(crate) fn refuse_expired(&mut self, node: &Node) -> Option<Instant> {
        let now = Instant::now();
        let valid_until = node.valid_until();
        if now >= valid_until {
            self.refuse_all(Code::LogUnavailable);
        }
        while let Some(queued) = self.submissions.pop_front_if(|queued| queued.deadline <= now) {
            refuse(queued.submission, Code::LogUnavailable);
        }
        self.submissions.front().map(|queued| queued.deadline.min(valid_until))
    }

    pub(crate) fn refuse_all(&mut self, code: Code) {
        for queued in self.submissions.drain(..) {
            refuse(queued.submission, code);
        }
    }

    /// Forms the next batch and registers its replies. Returns `None` if no submission may be sent
    /// now.
    pub(crate) fn next_batch(&mut self, node: &Node) -> Option<OutgoingBatch> {
        self.refuse_expired(node);
        if node.own_key().is_none() {
            self.refuse_before_join();
        }
        let submissions = self.take_batch();
        let deadline = submissions.iter().map(|queued| queued.deadline).min()?;
        let (entries, replies): (Vec<_>, Vec<_>) =
            submissions.into_iter().map(|queued| into_parts(queued.submission)).unzip();
        let entries = entries.into_iter().flatten().collect();
        let seq = register_batch(node, replies)?;
        let body = codec::encode(&Batch { author: node.author, seq, entries });
        Some(OutgoingBatch { seq, body, deadline })
    }

    /// Refuses submissions queued before the `Join`, because their batch would be void.
    fn refuse_before_join(&mut self) {
        while let Some(queued) =
            self.submissions.pop_front_if(|queued| !contains_join(&queued.submission))
        {
            refuse(queued.submission, Code::NotReady);
        }
    }

    /// Removes as many submissions as fit into a batch. A `Join` gets a batch of its own.
    fn take_batch(&mut self) -> Vec<QueuedSubmission> {
        let mut batch: Vec<QueuedSubmission> = Vec::new();
        let (mut entries, mut size) = (0, 0);
        while let Some(queued) = self.submissions.front() {
            entries += queued.submission.entries.len();
            size += queued.size;
            let join = contains_join(&queued.submission);
            if entries > MAX_BATCH_ENTRIES || size > MAX_BATCH_BYTES || (join && !batch.is_empty())
            {
                break;
            }
            batch.extend(self.submissions.pop_front());
            if join {
                break;
            }
        }
        batch
    }
}

/// Registers the replies of a batch and returns its sequence number, or refuses the replies if the
/// permission to act has lapsed.
///
/// The check and the registration share one critical section, so that a stop of the node finds
/// every registered reply.
fn register_batch(node: &Node, replies: Vec<PendingReply>) -> Option<u64> {
    let refused = node.with(|shared| {
        if shared.validity.is_valid(Instant::now()) {
            return Ok(shared.in_flight.register(replies));
        }
        Err(replies)
    });
    match refused {
        Ok(seq) => Some(seq),
        Err(replies) => {
            for pending in replies {
                let _ = pending.reply.send(Err(Code::LogUnavailable));
            }
            None
        }
    }
}

fn contains_join(submission: &Submission) -> bool {
    submission.entries.iter().any(|entry| matches!(entry.record, Record::Join(_)))
}

fn into_parts(submission: Submission) -> (Vec<Entry>, PendingReply) {
    let entries = submission.entries.len();
    (submission.entries, PendingReply { entries, reply: submission.reply })
}

fn refuse(submission: Submission, code: Code) {
    // The send fails only if the submitter no longer waits.
    let _ = submission.reply.send(Err(code));
}
