//! Simulated log service, with the writer and reader tasks of a VM.
//!
//! The tasks follow the rules of the product's: one batch in flight at a time, the same batch again if its outcome is
//! unknown, and a validity that counts from the start of a read.

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

/// Shortest time between two appends of a VM.
const APPEND_INTERVAL: Duration = Duration::from_millis(20);

/// Interval of reads.
const READ_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which submitters are told that the outcome of their records is unknown.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Default)]
struct LogState {
    batches: Vec<Arc<Batch>>,
    down: bool,
    latency: Duration,
    answers_to_lose: u32,
}

/// The simulated log service.
#[derive(Clone, Default)]
pub struct Log {
    state: Arc<Mutex<LogState>>,
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().expect("no panic while locked")
    }

    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    pub fn set_latency(&self, latency: Duration) {
        self.lock().latency = latency;
    }

    /// Loses the answers to the next `count` appends. The appends take effect.
    pub fn drop_responses(&self, count: u32) {
        self.lock().answers_to_lose = count;
    }

    /// Returns the records in the order of the log.
    pub fn entries(&self) -> Vec<Entry> {
        self.lock().batches.iter().flat_map(|batch| batch.entries.clone()).collect()
    }

    pub fn batches(&self) -> Vec<Arc<Batch>> {
        self.lock().batches.clone()
    }

    fn is_reachable(&self, switches: &Switches) -> bool {
        !self.lock().down && !*switches.log_unreachable.borrow()
    }

    /// Runs the writer task of one process.
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
            sleep(APPEND_INTERVAL).await;
            while let Ok(more) = submissions.try_recv() {
                waiting.push_back(more);
            }
            // The first batch of a process is its `Join`. It is kept, because validity exists only after joining.
            while !self.is_reachable(&switches) {
                if seq > 0 && !node.is_valid() {
                    for refused in waiting.drain(..) {
                        let _ = refused.reply.send(Err(Code::LogUnavailable));
                    }
                }
                if waiting.is_empty() {
                    break;
                }
                sleep(APPEND_INTERVAL).await;
            }
            if waiting.is_empty() {
                continue;
            }
            seq += 1;
            let batch = Arc::new(register(&node, seq, &mut waiting));
            self.append_until_applied(&node, &batch, &switches).await;
        }
    }

    /// Appends a batch until it is applied at this node or the session has ended.
    async fn append_until_applied(&self, node: &Node, batch: &Arc<Batch>, switches: &Switches) {
        let deadline = Instant::now() + OUTCOME_TIMEOUT;
        let mut answered = false;
        loop {
            if self.is_reachable(switches) {
                let latency = self.lock().latency;
                sleep(Duration::from_millis(5) + latency).await;
                switches.wait_while_paused().await;
                let mut state = self.lock();
                state.batches.push(Arc::clone(batch));
                answered = state.answers_to_lose == 0;
                state.answers_to_lose = state.answers_to_lose.saturating_sub(1);
            }
            // After an answer, no second append is needed, because the reader will apply the batch.
            loop {
                sleep(READ_INTERVAL).await;
                let pending = node.with(|shared| {
                    shared.in_flight.batches.iter().any(|waiting| waiting.seq == batch.seq)
                });
                if !pending || node.has_ended() {
                    return;
                }
                if Instant::now() >= deadline {
                    node.with(|shared| report_unknown_outcome(shared, batch.seq));
                }
                if !answered {
                    break;
                }
            }
        }
    }

    /// Runs the reader task of one process.
    pub async fn read(self, node: Arc<Node>, switches: Switches) {
        let mut next = 0;
        loop {
            switches.wait_while_paused().await;
            let started = Instant::now();
            let latency = self.lock().latency;
            sleep(Duration::from_millis(2) + latency / 10).await;
            if self.is_reachable(&switches) {
                let new_batches: Vec<Arc<Batch>> = self.lock().batches[next..].to_vec();
                switches.wait_while_paused().await;
                for batch in new_batches {
                    next += 1;
                    node.apply(Offset(next as u64), &batch);
                }
                if node.has_ended() {
                    node.stop(Code::Fenced);
                    return;
                }
                node.extend_validity(started);
            }
            sleep(READ_INTERVAL).await;
        }
    }
}

/// Builds a batch of all waiting submissions, and registers their replies for when it is applied.
fn register(node: &Node, seq: u64, waiting: &mut VecDeque<Submission>) -> Batch {
    let mut entries = Vec::new();
    let mut replies = Vec::new();
    for submission in waiting.drain(..) {
        replies.push(PendingReply { entries: submission.entries.len(), reply: submission.reply });
        entries.extend(submission.entries);
    }
    node.with(|shared| shared.in_flight.batches.push(InFlightBatch { seq, replies }));
    Batch { author: node.author, seq, entries }
}

/// Reports to the submitters of a batch that its outcome is unknown.
fn report_unknown_outcome(shared: &mut coriandertack_core::node::SharedState, seq: u64) {
    let batch = shared.in_flight.batches.iter_mut().find(|batch| batch.seq == seq);
    for pending in batch.into_iter().flat_map(|batch| batch.replies.drain(..)) {
        let _ = pending.reply.send(Err(Code::OutcomeUnknown));
    }
}
