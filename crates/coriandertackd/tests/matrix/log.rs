//! Fake of the log service and of the tasks that talk to it.
//!
//! It keeps to the rules of the real tasks: one batch at a time, the same batch again after an unclear
//! answer, and a validity that counts from the start of a read.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use {
    coriandertack_core::{
        code::Code,
        keys::Offset,
        message::Submission,
        node::{InFlightBatch, Node, PendingReply},
        record::{Batch, Entry},
    },
    tokio::{
        sync::mpsc,
        time::{Instant, sleep},
    },
};

use crate::world::Switches;

/// Least time between two appends of a VM.
const SPACING: Duration = Duration::from_millis(20);

/// Time between two reads.
const READ_EVERY: Duration = Duration::from_millis(50);

/// Time after which a submitter learns that the outcome is unknown.
const UNCLEAR_AFTER: Duration = Duration::from_secs(10);

#[derive(Default)]
struct Inner {
    batches: Vec<Arc<Batch>>,
    down: bool,
    latency: Duration,
    lose: u32,
}

/// The service.
#[derive(Clone, Default)]
pub struct Log {
    inner: Arc<Mutex<Inner>>,
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic while locked")
    }

    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    pub fn set_latency(&self, latency: Duration) {
        self.lock().latency = latency;
    }

    /// Loses the answers to the next `count` appends, which take effect.
    pub fn lose(&self, count: u32) {
        self.lock().lose = count;
    }

    /// Returns the records in order.
    pub fn entries(&self) -> Vec<Entry> {
        self.lock().batches.iter().flat_map(|batch| batch.entries.clone()).collect()
    }

    pub fn batches(&self) -> Vec<Arc<Batch>> {
        self.lock().batches.clone()
    }

    fn is_open(&self, switches: &Switches) -> bool {
        !self.lock().down && !*switches.cut.borrow()
    }

    /// The writer of one process.
    pub async fn write(
        self,
        node: Arc<Node>,
        mut submissions: mpsc::Receiver<Submission>,
        switches: Switches,
    ) {
        let mut seq = 0;
        let mut waiting: VecDeque<Submission> = VecDeque::new();
        loop {
            if waiting.is_empty() {
                let Some(first) = submissions.recv().await else { return };
                waiting.push_back(first);
            }
            sleep(SPACING).await;
            while let Ok(more) = submissions.try_recv() {
                waiting.push_back(more);
            }
            // A process that has not joined has no validity yet; its first batch is its `Join`.
            while !self.is_open(&switches) {
                if seq > 0 && !node.is_valid() {
                    for refused in waiting.drain(..) {
                        let _ = refused.reply.send(Err(Code::LogUnavailable));
                    }
                }
                if waiting.is_empty() {
                    break;
                }
                sleep(SPACING).await;
            }
            if waiting.is_empty() {
                continue;
            }
            seq += 1;
            let batch = Arc::new(register(&node, seq, &mut waiting));
            self.settle(&node, &batch, &switches).await;
        }
    }

    /// Appends a batch again and again until it is applied here or the session is over.
    async fn settle(&self, node: &Node, batch: &Arc<Batch>, switches: &Switches) {
        let unclear = Instant::now() + UNCLEAR_AFTER;
        let mut answered = false;
        loop {
            if self.is_open(switches) {
                let latency = self.lock().latency;
                sleep(Duration::from_millis(5) + latency).await;
                switches.thawed().await;
                let mut inner = self.lock();
                inner.batches.push(Arc::clone(batch));
                answered = inner.lose == 0;
                inner.lose = inner.lose.saturating_sub(1);
            }
            // A clear answer needs no second append; the reader applies the batch soon.
            loop {
                sleep(READ_EVERY).await;
                let pending = node.with(|inner| {
                    inner.in_flight.batches.iter().any(|waiting| waiting.seq == batch.seq)
                });
                if !pending || node.has_ended() {
                    return;
                }
                if Instant::now() >= unclear {
                    node.with(|inner| report_unknown_outcome(inner, batch.seq));
                }
                if !answered {
                    break;
                }
            }
        }
    }

    /// The reader of one process.
    pub async fn read(self, node: Arc<Node>, switches: Switches) {
        let mut next = 0;
        loop {
            switches.thawed().await;
            let began = Instant::now();
            let latency = self.lock().latency;
            sleep(Duration::from_millis(2) + latency / 10).await;
            if self.is_open(&switches) {
                let fresh: Vec<Arc<Batch>> = self.lock().batches[next..].to_vec();
                switches.thawed().await;
                for batch in fresh {
                    next += 1;
                    node.apply(Offset(next as u64), &batch);
                }
                if node.has_ended() {
                    node.stop(Code::Fenced);
                    return;
                }
                node.extend_validity(began);
            }
            sleep(READ_EVERY).await;
        }
    }
}

/// Makes a batch of all that waits, and notes whom to tell when it is applied.
fn register(node: &Node, seq: u64, waiting: &mut VecDeque<Submission>) -> Batch {
    let mut entries = Vec::new();
    let mut replies = Vec::new();
    for submission in waiting.drain(..) {
        replies.push(PendingReply { entries: submission.entries.len(), reply: submission.reply });
        entries.extend(submission.entries);
    }
    node.with(|inner| inner.in_flight.batches.push(InFlightBatch { seq, replies }));
    Batch { author: node.author, seq, entries }
}

/// Tells the submitters of a batch that its outcome is unknown.
fn report_unknown_outcome(inner: &mut coriandertack_core::node::SharedState, seq: u64) {
    let waiting = inner.in_flight.batches.iter_mut().find(|waiting| waiting.seq == seq);
    for due in waiting.into_iter().flat_map(|waiting| waiting.replies.drain(..)) {
        let _ = due.reply.send(Err(Code::OutcomeUnknown));
    }
}
