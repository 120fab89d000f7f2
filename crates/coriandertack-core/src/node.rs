//! An entry VM: its copy of the replicated state, its permission to act and the channels to its tasks.
//!
//! All tasks of a process share one [`Node`]. The data that several of them use is behind one mutex, which is
//! held for one decision at a time and never across an await. A single lock keeps decisions simple; the
//! longest decision, a placement over 1,000 workers, is bounded at 1 ms.

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

/// Capacity of the queue of submissions to the log task.
const LOG_QUEUE_LEN: usize = 4_096;

/// Batches of changes that a subscriber may lag behind: about 3 s at 300 batches per second.
const CHANGE_QUEUE_LEN: usize = 1_024;

/// Stage in the life of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Stage {
    /// Reads the log up to its tail and joins. Serves no requests.
    #[display("starting")]
    Starting,
    /// Serves requests.
    #[display("serving")]
    Serving,
    /// Finishes what is in flight and accepts nothing new.
    #[display("draining")]
    Draining,
    /// Has left, lost its session, or read a record that it cannot decode.
    #[display("stopped")]
    Stopped,
}

/// Data that the tasks of a process share.
#[derive(Debug)]
pub struct SharedState {
    /// Copy of the replicated state.
    pub state: State,
    /// Permission to act on `state`.
    pub validity: Validity,
    /// Capacity of the workers that this VM owns.
    pub pool: WorkerPool,
    /// State that this VM keeps as an owner, other than the grants in `pool`.
    pub owner_state: OwnerState,
    /// Task sizes and run times measured by class.
    pub profiles: ClassProfiles,
    /// Queues of the teams whose home is this VM.
    pub team_queues: TeamQueues,
    /// Links to the other live VMs.
    pub links: SecondaryMap<VmKey, PeerLink>,
    /// Command queues of the workers that this VM owns; one task serves each.
    pub worker_queues: SecondaryMap<WorkerKey, mpsc::UnboundedSender<WorkerCommand>>,
    /// Batches that were sent to the log and have not been applied.
    pub in_flight: InFlightBatches,
    /// Measurements for the metrics.
    pub stats: Stats,
}

/// Submitted batches and the replies to send when they are applied.
#[derive(Debug, Default)]
pub struct InFlightBatches {
    /// Sequence number of the newest batch.
    pub seq: u64,
    /// Batches that have not been applied.
    pub batches: Vec<InFlightBatch>,
}

/// A batch that has not been applied.
#[derive(Debug)]
pub struct InFlightBatch {
    /// Sequence number of the batch.
    pub seq: u64,
    /// One reply for each submission in the batch, in their order.
    pub replies: Vec<PendingReply>,
}

/// A reply that a submitter waits for.
#[derive(Debug)]
pub struct PendingReply {
    /// Number of entries in the submission.
    pub entries: usize,
    /// Channel for the results of the entries.
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
    /// Last applied offset, which tasks watch to follow the state.
    pub applied_offset: watch::Sender<Offset>,
    /// End of the permission to act, for tasks that wait for it.
    pub valid_until: watch::Sender<Instant>,
    /// Stage of the process.
    pub stage: watch::Sender<Stage>,
    /// Applied changes. They are sent while the lock of the state is held.
    pub changes: broadcast::Sender<Arc<ChangeBatch>>,
    /// Instances that serve callers, on the workers of all owners.
    pub instances: watch::Sender<Arc<Vec<Instance>>>,
    /// Highest offset whose membership this VM's router respects, which heartbeats report.
    pub confirmed_offset: watch::Sender<Offset>,
    /// Minimum share of a service's slots that is reserved for short requests, in percent.
    pub short_percent: watch::Sender<u32>,
    /// Members that are no longer in the VM list.
    pub unlisted_members: watch::Sender<BTreeSet<Session>>,
    /// Signals that queued tasks may have become placeable.
    pub work_available: Notify,
    /// Bytes of the frames exchanged on the links that this VM opened.
    pub frame_bytes: AtomicU64,
}

impl Node {
    /// Returns a node that has read nothing yet, and the receiving end of the queue to its log task.
    #[must_use]
    pub fn new(info: VmInfo, author: Incarnation) -> (Arc<Self>, mpsc::Receiver<Submission>) {
        let (log, submissions) = mpsc::channel(LOG_QUEUE_LEN);
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
            changes: broadcast::Sender::new(CHANGE_QUEUE_LEN),
            instances: watch::Sender::default(),
            confirmed_offset: watch::Sender::new(Offset(0)),
            short_percent: watch::Sender::new(MIN_SHORT_PERCENT),
            unlisted_members: watch::Sender::default(),
            work_available: Notify::new(),
            frame_bytes: AtomicU64::new(0),
        };
        (Arc::new(node), submissions)
    }

    /// Runs a decision on the shared data and returns its result.
    ///
    /// A decision must be short, because all tasks of the process wait for it.
    pub fn with<R>(&self, decide: impl FnOnce(&mut SharedState) -> R) -> R {
        decide(&mut self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, SharedState> {
        // A panic in a decision aborts only the request that made it; the rest of the state stays usable.
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns this VM's arena key, or `None` if it is not a member.
    #[must_use]
    pub fn own_key(&self) -> Option<VmKey> {
        self.with(|shared| shared.state.vm_of(self.author))
    }

    /// Returns whether this VM is a member and may act on its copy of the state now.
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

    /// Appends records to the log and waits until they are applied.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::Stopping`] if the log task has ended, with [`Code::LogUnavailable`] if the records were
    /// never sent, and with [`Code::OutcomeUnknown`] if they may have been.
    pub async fn submit(&self, entries: Vec<Entry>) -> Result<Vec<ApplyResult>, Code> {
        let (reply, results) = oneshot::channel();
        let submission = Submission { entries, reply };
        self.log.send(submission).await.map_err(|_| Code::Stopping)?;
        results.await.unwrap_or(Err(Code::OutcomeUnknown))
    }

    /// Appends one record and waits for its result.
    ///
    /// # Errors
    ///
    /// Fails as [`Node::submit`] does, or with the code of a void record.
    pub async fn submit_one(&self, actor: &str, record: Record) -> ApplyResult {
        let entry = Entry { actor: actor.to_owned(), at_ms: now_ms(), record };
        let results = self.submit(vec![entry]).await?;
        results.into_iter().next().unwrap_or(Err(Code::Fenced))
    }

    /// Replaces the state. This is allowed only until the state has been current for the first time.
    ///
    /// After that, other tasks hold arena keys, which would not be valid in another state.
    pub fn restore(&self, state: State) {
        let offset = state.offset;
        self.with(|shared| shared.state = state);
        self.applied_offset.send_replace(offset);
    }

    /// Applies a batch that was read from the log and answers those who wait for it.
    ///
    /// If the batch ends this VM's session, it also ends the permission to act.
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

    /// Publishes the changes of a batch if there are subscribers.
    fn publish(&self, state: &State, before: Offset, batch: &Batch, results: &[ApplyResult]) {
        if self.changes.receiver_count() == 0 {
            return;
        }
        let changes = changes_of(state, batch, results);
        // Sending fails only if the last subscriber has just gone.
        let _ = self.changes.send(Arc::new(ChangeBatch { before, offset: state.offset, changes }));
    }

    /// Extends the permission to act after a read of the log's tail that began at `read_start`.
    pub fn extend_validity(&self, read_start: impl Into<ReadStart>) {
        let until = self.with(|shared| {
            if !shared.state.has_ended(self.author) {
                shared.validity.extend(read_start);
            }
            shared.validity.deadline()
        });
        self.valid_until.send_replace(until);
    }

    /// Ends the permission to act permanently, and answers `code` to everyone who waits for a result.
    pub fn stop(&self, code: Code) {
        let now = Instant::now();
        self.with(|shared| {
            shared.validity.revoke(now);
            shared.in_flight.fail_all(code);
        });
        self.stage.send_replace(Stage::Stopped);
    }

    /// Returns this VM's session, or `None` if it is not a member.
    #[must_use]
    pub fn session(&self) -> Option<Session> {
        self.with(|shared| {
            let vm = shared.state.vm_of(self.author)?;
            Some(shared.state.vms[vm].session)
        })
    }

    /// Returns whether this VM's session has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.with(|shared| shared.state.has_ended(self.author))
    }

    /// Sends a request to another VM and waits for the reply until `until`.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::NotReady`] if the request was not sent, and with [`Code::OutcomeUnknown`] if no reply
    /// arrived.
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
    /// Registers a batch with the replies to send for it, and returns its sequence number.
    pub fn register(&mut self, replies: Vec<PendingReply>) -> u64 {
        self.seq += 1;
        self.batches.push(InFlightBatch { seq: self.seq, replies });
        self.seq
    }

    /// Returns whether the batch `seq` has not been applied.
    #[must_use]
    pub fn is_in_flight(&self, seq: u64) -> bool {
        self.batches.iter().any(|batch| batch.seq == seq)
    }

    /// Answers `code` to those who wait for the batch `seq`, which may still be applied.
    pub fn reply(&mut self, seq: u64, code: Code) {
        let batches = self.batches.iter_mut().filter(|batch| batch.seq == seq);
        for pending in batches.flat_map(|batch| batch.replies.drain(..)) {
            let _ = pending.reply.send(Err(code));
        }
    }

    /// Answers `code` to those who wait for the batch `seq`, which was never sent, and removes the batch.
    pub fn cancel(&mut self, seq: u64, code: Code) {
        self.reply(seq, code);
        self.batches.retain(|batch| batch.seq != seq);
    }

    /// Removes all batches and answers `code` to those who wait for them.
    fn fail_all(&mut self, code: Code) {
        for pending in self.batches.drain(..).flat_map(|batch| batch.replies) {
            let _ = pending.reply.send(Err(code));
        }
    }

    /// Delivers the results of the batch `seq`. A batch that is void as a whole has no results.
    pub fn resolve(&mut self, seq: u64, results: Vec<ApplyResult>) {
        let Some(index) = self.batches.iter().position(|batch| batch.seq == seq) else {
            return;
        };
        let mut results = results.into_iter();
        for pending in self.batches.swap_remove(index).replies {
            let own_results: Vec<ApplyResult> = results.by_ref().take(pending.entries).collect();
            let answer = if own_results.is_empty() { Err(Code::Fenced) } else { Ok(own_results) };
            // Sending fails if the submitter has gone, and then nobody needs the results.
            let _ = pending.reply.send(answer);
        }
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
///
/// It is used for records that people read, and never to decide whether a VM may act.
#[must_use]
pub fn now_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
