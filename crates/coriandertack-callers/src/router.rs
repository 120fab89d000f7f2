//! Handle of the routing task.
//!
//! [`Router::call`] is the way in for callers of this VM, and [`Router::handle_call`] and
//! [`Router::note_key`] for requests of other VMs. All of them may be cancelled at any time: what was
//! started is finished and learned from.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering};

use {
    coriandertack_core::{
        code::Code,
        keys::{Offset, Session},
        message::{Call, CallResponse, KeyRecord, PeerReply},
        node::{Node, SharedState, Stage},
        routing::idempotency::{KEY_CLOCK_MARGIN, KeyStore, MembershipHistory, key_id},
    },
    coriandertack_workers::upstream::Counters,
    tokio::{
        sync::{Semaphore, mpsc, oneshot, watch},
        time::Instant,
    },
};

use crate::task::{self, Job};

/// Requests waiting for the routing task. It takes microseconds for each, so a longer queue would
/// only hide that the process has no processor time.
const JOB_QUEUE: usize = 4_096;

/// Settings of a router.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// Largest content of a request in bytes.
    pub body_bytes: usize,
    /// Most requests that this VM handles at a time, which bounds memory.
    pub most_calls: usize,
    /// Most content of requests held at a time, in KiB, which bounds memory.
    pub content_kib: usize,
    /// How far back from a key's minting time the pair must know of it, in milliseconds; see
    /// [`KEY_CLOCK_MARGIN`].
    pub key_margin_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            deadline_ms: 10_000,
            body_bytes: 1 << 20,
            most_calls: 20_000,
            content_kib: 32 << 10,
            key_margin_ms: KEY_CLOCK_MARGIN.as_millis() as u64,
        }
    }
}

/// What this VM knows of keys.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    pub(crate) store: KeyStore,
    pub(crate) history: MembershipHistory,
}

pub(crate) fn lock(keys: &Mutex<Keys>) -> MutexGuard<'_, Keys> {
    // A panic while the lock was held aborts the request that caused it; the keys stay usable.
    keys.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Live sessions as this VM sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Members {
    pub(crate) offset: Offset,
    pub(crate) me: Option<Session>,
    pub(crate) sessions: Vec<Session>,
}

impl Members {
    pub(crate) fn read(node: &Node) -> Self {
        node.with(|shared| Self {
            offset: shared.state.offset,
            me: shared.state.vm_of(node.author).map(|vm| shared.state.vms[vm].session),
            sessions: shared.state.sessions.keys().copied().collect(),
        })
    }
}

/// Carries out callers' requests.
#[derive(Debug)]
pub struct Router {
    pub(crate) node: Arc<Node>,
    pub(crate) config: Config,
    /// Permits for content, one for each KiB.
    pub(crate) content: Arc<Semaphore>,
    keys: Arc<Mutex<Keys>>,
    jobs: mpsc::Sender<Job>,
    calls: watch::Sender<usize>,
    requests: watch::Receiver<usize>,
    counters: Arc<Counters>,
}

/// Counts a call as in progress while it lives.
#[derive(Debug)]
pub(crate) struct Held(watch::Sender<usize>);

impl Drop for Held {
    fn drop(&mut self) {
        self.0.send_modify(|calls| *calls -= 1);
    }
}

impl Router {
    /// Starts the routing task, which follows the node's instances and membership.
    ///
    /// # Panics
    ///
    /// Panics outside of a tokio runtime.
    #[must_use]
    pub fn new(node: Arc<Node>, config: Config) -> Arc<Self> {
        let (jobs, queue) = mpsc::channel(JOB_QUEUE);
        let (busy, requests) = watch::channel(0);
        let counters = Arc::new(Counters::default());
        let keys = Arc::default();
        let followed = Arc::clone(&keys);
        tokio::spawn(task::run(Arc::clone(&node), queue, busy, Arc::clone(&counters), followed));
        let calls = watch::Sender::new(0);
        let content = Arc::new(Semaphore::new(config.content_kib));
        Arc::new(Self { node, config, content, keys, jobs, calls, requests, counters })
    }

    /// Returns the counters of the connections to workers.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns how many calls are in progress.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        *self.calls.borrow()
    }

    pub(crate) fn keys(&self) -> MutexGuard<'_, Keys> {
        lock(&self.keys)
    }

    /// Carries out a request of a caller of this VM.
    ///
    /// # Errors
    ///
    /// Fails with a code that says whether the request was not run ([`Code::guarantees_not_run`]).
    pub async fn call(self: &Arc<Self>, call: Call) -> Result<CallResponse, Code> {
        let held = self.enter()?;
        let until = call.until;
        let result = match call.key.clone() {
            None => self.run(&call).await,
            Some(key) => self.call_keyed(call, key, held).await,
        };
        if result.is_ok() && Instant::now() > until {
            // The answer came in time from the worker and was held up on the way through this VM.
            self.counters.late.fetch_add(1, Ordering::Relaxed);
            return Err(Code::OutcomeUnknown);
        }
        result
    }

    /// Carries out a request that another VM forwards to the primary of its key.
    pub async fn handle_call(self: &Arc<Self>, call: Call) -> PeerReply {
        let result = match (self.enter(), call.key.clone()) {
            (Err(code), _) => Err(code),
            (Ok(held), Some(key)) => self.keep_forwarded(call, key, held).await,
            (Ok(_held), None) => self.run(&call).await,
        };
        result.map_or_else(PeerReply::Refused, PeerReply::Response)
    }

    /// Notes a key as its backup.
    #[must_use]
    pub fn note_key(&self, note: KeyRecord) -> PeerReply {
        let id = key_id(&note.key);
        match self.keys().store.record(id, &note, Instant::now()) {
            Ok(known) => PeerReply::Key(known),
            Err(code) => PeerReply::Refused(code),
        }
    }

    /// Waits until nothing is in progress: no call, and no request at a worker whose caller was
    /// answered at its deadline.
    pub async fn drained(&self) {
        let (mut calls, mut requests) = (self.calls.subscribe(), self.requests.clone());
        loop {
            // The senders live as long as the router, or the routing task has nothing left.
            let _ = calls.wait_for(|calls| *calls == 0).await;
            let _ = requests.wait_for(|requests| *requests == 0).await;
            if *calls.borrow() == 0 {
                return;
            }
        }
    }

    /// Admits a call to this VM.
    fn enter(&self) -> Result<Held, Code> {
        check_stage(&self.node)?;
        self.check_membership()?;
        let mut admitted = true;
        self.calls.send_modify(|calls| {
            admitted = *calls < self.config.most_calls;
            *calls += 1;
        });
        let held = Held(self.calls.clone());
        if admitted { Ok(held) } else { Err(Code::Overloaded) }
    }

    /// Checks that the others still count on this VM's share of the workers.
    ///
    /// Routing goes on while the log is down for everyone. A VM that alone is cut off from it may have
    /// been fenced; it notices that another VM has applied more than itself.
    fn check_membership(&self) -> Result<(), Code> {
        let now = Instant::now();
        self.node.with(|shared| {
            if shared.state.vm_of(self.node.author).is_none() {
                return Err(Code::Fenced);
            }
            if !shared.validity.is_valid(now) && is_behind(shared, now) {
                return Err(Code::NotReady);
            }
            Ok(())
        })
    }

    /// Runs a request here.
    ///
    /// A request under a key that must not run twice needs a valid copy of the membership: a pair that
    /// is cut off could otherwise run what its successors run too. The successors claim to know a
    /// key only if it was minted well after the validity of the former pair has ended
    /// ([`KEY_CLOCK_MARGIN`]).
    pub(crate) async fn run(&self, call: &Call) -> Result<CallResponse, Code> {
        let (reply, answer) = oneshot::channel();
        let job = Job {
            service: Arc::clone(&call.service),
            class: Arc::clone(&call.class),
            key: call.key.clone(),
            repeatable: call.repeatable,
            guarded: call.key.is_some() && !call.repeatable,
            until: call.until,
            body: Arc::clone(&call.body),
            reply,
        };
        self.jobs.try_send(job).map_err(|_| Code::Overloaded)?;
        // The routing task drops no reply; it has failed if it did, and may have sent the request.
        answer.await.unwrap_or(Err(Code::OutcomeUnknown))
    }
}

/// Checks that the process accepts new requests.
pub(crate) fn check_stage(node: &Node) -> Result<(), Code> {
    match *node.stage.borrow() {
        Stage::Starting => Err(Code::NotReady),
        Stage::Serving => Ok(()),
        Stage::Draining | Stage::Stopped => Err(Code::Stopping),
    }
}

fn is_behind(shared: &SharedState, now: Instant) -> bool {
    let mut heard = shared.links.values().filter(|link| !link.is_suspected(now));
    heard.any(|link| link.offset > shared.state.offset)
}
