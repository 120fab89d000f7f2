//! One entry VM: its copy of the state, its permission to act and the channels to its peers' tasks.
//!
//! [`Node`] is shared by all tasks of a process. What several of them need is behind one mutex,
//! which is held for one decision at a time and never across an await. One lock keeps decisions simple;
//! the longest one, a placement over 1,000 workers, is bounded at 1 ms.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU64},
};

use {
    slotmap::SecondaryMap,
    tokio::{
        sync::{Notify, broadcast, mpsc, oneshot, watch},
        time::Instant,
    },
};

use crate::{
    change::{ChangeBatch, changes_of},
    class_profiles::ClassProfiles,
    code::Code,
    home::TeamQueues,
    keys::{Incarnation, Offset, Session, VmKey, WorkerKey},
    message::{Instance, OutgoingRequest, PeerReply, PeerRequest, Submission, WorkerCommand},
    owner::OwnerState,
    peer_link::PeerLink,
    pool::WorkerPool,
    record::{Batch, Entry, Record, VmInfo},
    routing::request_length::MIN_SHORT_PERCENT,
    state::{ApplyResult, State},
    stats::Stats,
    validity::{ReadStart, Validity},
};

/// Records waiting for the log task.
const LOG_QUEUE: usize = 4_096;

/// Steps that a follower of changes may lag behind: about 3 s at 300 batches per second.
const STEP_QUEUE: usize = 1_024;

/// What a process is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Stage {
    /// Reads the log up to its tail and joins; serves nothing.
    #[display("starting")]
    Starting,
    /// Serves.
    #[display("serving")]
    Serving,
    /// Finishes what is in flight and accepts nothing new.
    #[display("draining")]
    Draining,
    /// Has stopped: it has left, lost its session, or met a record that it cannot read.
    #[display("stopped")]
    Stopped,
}

/// What the tasks of a process share.
#[derive(Debug)]
pub struct SharedState {
    /// Copy of the replicated state.
    pub state: State,
    /// Permission to act on it.
    pub validity: Validity,
    /// Capacity of the workers owned here.
    pub pool: WorkerPool,
    /// What this VM remembers as an owner beside the grants.
    pub owner_state: OwnerState,
    /// Sizes and run times learned by class.
    pub profiles: ClassProfiles,
    /// Queues of the teams homed here.
    pub team_queues: TeamQueues,
    /// Links to the other VMs.
    pub links: SecondaryMap<VmKey, PeerLink>,
    /// Command queues of the tasks of the workers owned here.
    pub worker_queues: SecondaryMap<WorkerKey, mpsc::UnboundedSender<WorkerCommand>>,
    /// Batches sent whose outcome is not applied yet.
    pub in_flight: InFlightBatches,
    /// Figures for the metrics.
    pub stats: Stats,
}

/// Ways back for the verdicts of batches in flight.
#[derive(Debug, Default)]
pub struct InFlightBatches {
    /// Last sequence number given to a batch.
    pub seq: u64,
    /// Replies due when the batch `seq` is applied.
    pub batches: Vec<InFlightBatch>,
}

/// The replies that one batch owes.
#[derive(Debug)]
pub struct InFlightBatch {
    /// Number of the batch.
    pub seq: u64,
    /// One reply for each submission, with its number of entries.
    pub replies: Vec<PendingReply>,
}

/// A reply that a submission waits for.
#[derive(Debug)]
pub struct PendingReply {
    /// Entries of the submission.
    pub entries: usize,
    /// The way back.
    pub reply: oneshot::Sender<Result<Vec<ApplyResult>, Code>>,
}

/// An entry VM.
#[derive(Debug)]
pub struct Node {
    /// Name, zone and addresses.
    pub info: VmInfo,
    /// This run of the process.
    pub author: Incarnation,
    shared: Mutex<SharedState>,
    log: mpsc::Sender<Submission>,
    /// Last offset applied; tasks that follow the state wait on it.
    pub applied_offset: watch::Sender<Offset>,
    /// End of the permission to act; tasks that wait for it follow it here.
    pub valid_until: watch::Sender<Instant>,
    /// What the process is doing.
    pub stage: watch::Sender<Stage>,
    /// Changes as they are applied, sent under the lock of the state.
    pub changes: broadcast::Sender<Arc<ChangeBatch>>,
    /// Services that can answer callers, of all owners.
    pub instances: watch::Sender<Arc<Vec<Instance>>>,
    /// Highest offset whose membership this VM's router keeps to, for heartbeats.
    pub confirmed_offset: watch::Sender<Offset>,
    /// Least part of a service's slots that is kept for short requests, in percent.
    pub short_percent: watch::Sender<u32>,
    /// Members that the VM list no longer has.
    pub unlisted_members: watch::Sender<BTreeSet<Session>>,
    /// Signals that tasks may have become placeable.
    pub work_available: Notify,
    /// Bytes of the frames exchanged on the links that this VM opened.
    pub frame_bytes: AtomicU64,
}

impl Node {
    /// Returns a node that has read nothing yet, and the queue for its log task.
    #[must_use]
    pub fn new(info: VmInfo, author: Incarnation) -> (Arc<Self>, mpsc::Receiver<Submission>) {
        let (log, submissions) = mpsc::channel(LOG_QUEUE);
        let shared = SharedState {
            state: State::default(),
            validity: Validity::expired(Instant::now()),
            pool: WorkerPool::default(),
            owner_state: OwnerState::default(),
            profiles: ClassProfiles::default(),
            team_queues: TeamQueues::default(),
            links: SecondaryMap::new(),
            worker_queues: SecondaryMap::new(),
            in_flight: InFlightBatches::default(),
            stats: Stats::default(),
        };
        let node = Self {
            info,
            author,
            shared: Mutex::new(shared),
            log,
            applied_offset: watch::Sender::new(Offset(0)),
            valid_until: watch::Sender::new(Instant::now()),
            stage: watch::Sender::new(Stage::Starting),
            changes: broadcast::Sender::new(STEP_QUEUE),
            instances: watch::Sender::default(),
            confirmed_offset: watch::Sender::new(Offset(0)),
            short_percent: watch::Sender::new(MIN_SHORT_PERCENT),
            unlisted_members: watch::Sender::default(),
            work_available: Notify::new(),
            frame_bytes: AtomicU64::new(0),
        };
        (Arc::new(node), submissions)
    }

    /// Runs one decision on what the tasks share.
    ///
    /// A decision must be short, because all tasks of the process wait for it.
    pub fn with<R>(&self, decide: impl FnOnce(&mut SharedState) -> R) -> R {
        decide(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, SharedState> {
        // A panic in a decision aborts the request that made it; the rest of the state stays usable.
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns this VM's key, if it is a member.
    #[must_use]
    pub fn own_key(&self) -> Option<VmKey> {
        self.with(|shared| shared.state.vm_of(self.author))
    }

    /// Tells whether the VM may act on its copy of the state now.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let now = Instant::now();
        self.with(|shared| {
            shared.validity.is_valid(now) && shared.state.vm_of(self.author).is_some()
        })
    }

    /// Returns the end of the permission to act.
    #[must_use]
    pub fn valid_until(&self) -> Instant {
        self.with(|shared| shared.validity.deadline())
    }

    /// Appends records and waits until they are applied.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::LogUnavailable`] if the records were never sent, and with
    /// [`Code::OutcomeUnknown`] if they may have been.
    pub async fn submit(&self, entries: Vec<Entry>) -> Result<Vec<ApplyResult>, Code> {
        let (reply, results) = oneshot::channel();
        let submission = Submission { entries, reply };
        self.log.send(submission).await.map_err(|_| Code::Stopping)?;
        results.await.unwrap_or(Err(Code::OutcomeUnknown))
    }

    /// Appends one record and waits for its verdict.
    ///
    /// # Errors
    ///
    /// Fails as [`Node::submit`] does, and with the code of a void record.
    pub async fn submit_one(&self, actor: &str, record: Record) -> ApplyResult {
        let entry = Entry { actor: actor.to_owned(), at_ms: now_ms(), record };
        let results = self.submit(vec![entry]).await?;
        results.into_iter().next().unwrap_or(Err(Code::Fenced))
    }

    /// Replaces the state before it has been current for the first time.
    ///
    /// Later, other tasks hold arena keys that would not mean the same in another state.
    pub fn restore(&self, state: State) {
        let offset = state.offset;
        self.with(|shared| shared.state = state);
        self.applied_offset.send_replace(offset);
    }

    /// Applies a batch read from the log and resolves those who wait for it.
    ///
    /// The end of the own session also ends the permission to act.
    pub fn apply(&self, offset: Offset, batch: &Batch) {
        let now = Instant::now();
        self.with(|shared| {
            let before = shared.state.offset;
            let results = shared.state.apply(offset, batch, now);
            self.publish(&shared.state, before, batch, &results);
            if batch.author == self.author {
                shared.in_flight.resolve(batch.seq, results);
            }
            if shared.state.has_ended(self.author) {
                shared.validity.revoke(now);
            }
        });
        self.applied_offset.send_replace(offset);
    }

    /// Publishes the changes of a batch to those who follow them, if any.
    fn publish(&self, state: &State, before: Offset, batch: &Batch, results: &[ApplyResult]) {
        if self.changes.receiver_count() == 0 {
            return;
        }
        let changes = changes_of(state, batch, results);
        // Sending fails only when the last follower has just gone.
        let _ = self.changes.send(Arc::new(ChangeBatch { before, offset: state.offset, changes }));
    }

    /// Extends the permission to act after a read of the tail that began at `began`.
    pub fn extend_validity(&self, began: impl Into<ReadStart>) {
        let until = self.with(|shared| {
            if !shared.state.has_ended(self.author) {
                shared.validity.extend(began);
            }
            shared.validity.deadline()
        });
        self.valid_until.send_replace(until);
    }

    /// Ends the permission to act for good, and answers `code` to those who wait for a verdict.
    pub fn stop(&self, code: Code) {
        let now = Instant::now();
        self.with(|shared| {
            shared.validity.revoke(now);
            shared.in_flight.answer_all(code);
        });
        self.stage.send_replace(Stage::Stopped);
    }

    /// Returns the session, if this VM is a member.
    #[must_use]
    pub fn session(&self) -> Option<Session> {
        self.with(|shared| {
            let vm = shared.state.vm_of(self.author)?;
            Some(shared.state.vms[vm].session)
        })
    }

    /// Tells whether this VM's session has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.with(|shared| shared.state.has_ended(self.author))
    }

    /// Sends a request to another VM and waits for the answer until `until`.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::NotReady`] if nothing was sent, and with [`Code::OutcomeUnknown`] if no
    /// answer came.
    pub async fn request(
        &self,
        vm: VmKey,
        request: PeerRequest,
        until: Instant,
    ) -> Result<PeerReply, Code> {
        let (reply, answer) = oneshot::channel();
        let outgoing = OutgoingRequest { request, until, reply };
        let queue = self.with(|shared| shared.links.get(vm).map(|link| link.requests.clone()));
        let queue = queue.ok_or(Code::NotReady)?;
        queue.try_send(outgoing).map_err(|_| Code::NotReady)?;
        match tokio::time::timeout_at(until, answer).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) | Err(_) => Err(Code::OutcomeUnknown),
        }
    }
}

impl InFlightBatches {
    /// Gives the next batch its number, and notes the replies that it owes.
    pub fn register(&mut self, replies: Vec<PendingReply>) -> u64 {
        self.seq += 1;
        self.batches.push(InFlightBatch { seq: self.seq, replies });
        self.seq
    }

    /// Tells whether the batch `seq` is not applied yet.
    #[must_use]
    pub fn is_in_flight(&self, seq: u64) -> bool {
        self.batches.iter().any(|waiting| waiting.seq == seq)
    }

    /// Answers `code` to those who wait for the batch `seq`, which itself stays expected.
    pub fn reply(&mut self, seq: u64, code: Code) {
        let batch = self.batches.iter_mut().filter(|waiting| waiting.seq == seq);
        for due in batch.flat_map(|waiting| waiting.replies.drain(..)) {
            let _ = due.reply.send(Err(code));
        }
    }

    /// Answers `code` to those who wait for the batch `seq`, which was never sent.
    pub fn cancel(&mut self, seq: u64, code: Code) {
        self.reply(seq, code);
        self.batches.retain(|waiting| waiting.seq != seq);
    }

    /// Answers `code` to all who wait.
    fn answer_all(&mut self, code: Code) {
        for due in self.batches.drain(..).flat_map(|waiting| waiting.replies) {
            let _ = due.reply.send(Err(code));
        }
    }

    /// Delivers the verdicts of the batch `seq`. A batch that was void as a whole has no verdicts.
    pub fn resolve(&mut self, seq: u64, results: Vec<ApplyResult>) {
        let Some(at) = self.batches.iter().position(|waiting| waiting.seq == seq) else {
            return;
        };
        let mut results = results.into_iter();
        for due in self.batches.swap_remove(at).replies {
            let own: Vec<ApplyResult> = results.by_ref().take(due.entries).collect();
            let answer = if own.is_empty() { Err(Code::Fenced) } else { Ok(own) };
            // The submitter may have gone; then nobody needs the verdict.
            let _ = due.reply.send(answer);
        }
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
///
/// It is used for records that people read, never to decide who may act.
#[must_use]
pub fn now_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
