//! Submissions that wait to be sent.

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

use crate::{codec, commit::OUTCOME_WAIT};

/// Most bytes of the entries of a batch.
pub(crate) const MAX_BYTES: usize = 256 << 10;

/// Most submissions that are queued; further ones wait in their channel.
const MAX_QUEUED: usize = 4_096;

/// Submissions in the order of their arrival.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    waiting: VecDeque<Queued>,
}

#[derive(Debug)]
struct Queued {
    submission: Submission,
    /// Bytes of its entries.
    size: usize,
    /// When its submitter stops waiting.
    until: Instant,
}

/// A batch to be sent.
#[derive(Debug)]
pub(crate) struct Outgoing {
    /// Its number.
    pub(crate) seq: u64,
    /// Its encoded form, the same in each attempt.
    pub(crate) body: Bytes,
    /// When its submitters stop waiting.
    pub(crate) until: Instant,
}

impl Queue {
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn is_full(&self) -> bool {
        self.waiting.len() >= MAX_QUEUED
    }

    /// Adds a submission, or refuses it if no batch can hold it.
    pub(crate) fn push(&mut self, submission: Submission) {
        let size = submission.entries.iter().map(codec::entry_size).sum();
        if size > MAX_BYTES || submission.entries.len() > MAX_BATCH_ENTRIES {
            refuse(submission, Code::TooLarge);
            return;
        }
        if submission.entries.is_empty() {
            let _ = submission.reply.send(Ok(Vec::new()));
            return;
        }
        let until = Instant::now() + OUTCOME_WAIT;
        self.waiting.push_back(Queued { submission, size, until });
    }

    /// Refuses what was not sent in time. Returns when to look again.
    pub(crate) fn refuse_late(&mut self, node: &Node) -> Option<Instant> {
        let now = Instant::now();
        let valid_until = node.valid_until();
        if now >= valid_until {
            self.refuse_all(Code::LogUnavailable);
        }
        while let Some(queued) = self.waiting.pop_front_if(|queued| queued.until <= now) {
            refuse(queued.submission, Code::LogUnavailable);
        }
        self.waiting.front().map(|queued| queued.until.min(valid_until))
    }

    pub(crate) fn refuse_all(&mut self, code: Code) {
        for queued in self.waiting.drain(..) {
            refuse(queued.submission, code);
        }
    }

    /// Forms the next batch and registers its replies. Returns nothing if there is nothing that may
    /// be sent now.
    pub(crate) fn take(&mut self, node: &Node) -> Option<Outgoing> {
        self.refuse_late(node);
        if node.own_key().is_none() {
            self.refuse_before_join();
        }
        let submissions = self.take_fitting();
        let until = submissions.iter().map(|queued| queued.until).min()?;
        let (entries, replies): (Vec<_>, Vec<_>) =
            submissions.into_iter().map(|queued| split(queued.submission)).unzip();
        let entries = entries.into_iter().flatten().collect();
        let seq = expect(node, replies)?;
        let body = codec::encode(&Batch { author: node.author, seq, entries });
        Some(Outgoing { seq, body, until })
    }

    /// Refuses submissions ahead of the `Join`, because their batch would be void.
    fn refuse_before_join(&mut self) {
        while let Some(queued) = self.waiting.pop_front_if(|queued| !joins(&queued.submission)) {
            refuse(queued.submission, Code::NotReady);
        }
    }

    /// Removes the submissions of the next batch. A `Join` is alone in its batch.
    fn take_fitting(&mut self) -> Vec<Queued> {
        let mut taken: Vec<Queued> = Vec::new();
        let (mut entries, mut size) = (0, 0);
        while let Some(queued) = self.waiting.front() {
            entries += queued.submission.entries.len();
            size += queued.size;
            let join = joins(&queued.submission);
            if entries > MAX_BATCH_ENTRIES || size > MAX_BYTES || (join && !taken.is_empty()) {
                break;
            }
            taken.extend(self.waiting.pop_front());
            if join {
                break;
            }
        }
        taken
    }
}

/// Registers the replies of a batch, or refuses them if the permission to act has lapsed.
///
/// Both happen under one lock, so that a stop of the node finds every registered reply.
fn expect(node: &Node, replies: Vec<PendingReply>) -> Option<u64> {
    let refused = node.with(|shared| {
        if shared.validity.is_valid(Instant::now()) {
            return Ok(shared.in_flight.register(replies));
        }
        Err(replies)
    });
    match refused {
        Ok(seq) => Some(seq),
        Err(replies) => {
            for due in replies {
                let _ = due.reply.send(Err(Code::LogUnavailable));
            }
            None
        }
    }
}

fn joins(submission: &Submission) -> bool {
    submission.entries.iter().any(|entry| matches!(entry.record, Record::Join(_)))
}

fn split(submission: Submission) -> (Vec<Entry>, PendingReply) {
    let entries = submission.entries.len();
    (submission.entries, PendingReply { entries, reply: submission.reply })
}

fn refuse(submission: Submission, code: Code) {
    // The submitter may have gone; then nobody needs the answer.
    let _ = submission.reply.send(Err(code));
}
