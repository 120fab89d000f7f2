//! Handle of the routing task.
//!
//! [`Router::call`] takes the requests of this VM's callers; [`Router::handle_call`] and
//! [`Router::record_key`] take those of other VMs. Their futures may be dropped at any time: a
//! request that was started still runs to its end, and its result is used for later decisions.

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
        sync::{mpsc, oneshot, watch},
        time::Instant,
    },
};

use crate::{
    bodies::Bodies,
    task::{self, RoutedRequest},
};

/// Most requests that wait for the routing task. It needs microseconds for each, so a longer queue
/// would only hide that the process gets no CPU time.
const MAX_QUEUED_REQUESTS: usize = 4_096;

/// Settings of a router.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Deadline of requests without `x-deadline-ms`, in milliseconds.
    pub deadline_ms: u64,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Most requests in progress at a time, to bound the use of memory.
    pub max_calls: usize,
    /// Largest total size of the request bodies held at a time, in KiB, to bound the use of memory. A quarter more is
    /// kept for the first bytes of each body, see [`Budget`](crate::budget::Budget).
    pub content_kib: usize,
    /// How far the knowledge of the primary and backup must reach back beyond the time at which a
    /// key was minted, in milliseconds; see [`KEY_CLOCK_MARGIN`].
    pub key_margin_ms: u64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            deadline_ms: 10_000,
            body_bytes: 1 << 20,
            max_calls: 20_000,
            content_kib: 32 << 10,
            key_margin_ms: KEY_CLOCK_MARGIN.as_millis() as u64,
        }
    }
}

/// Idempotency keys that this VM has recorded, and the membership history that tells whether they
/// are complete.
#[derive(Debug, Default)]
pub(crate) struct Keys {
    pub(crate) store: KeyStore,
    pub(crate) history: MembershipHistory,
}

/// Locks the keys, also after a panic.
pub(crate) fn lock_keys(keys: &Mutex<Keys>) -> MutexGuard<'_, Keys> {
    // A panic while the lock is held aborts only the request that caused it; the keys remain
    // usable.
    keys.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Live sessions in this VM's copy of the state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Members {
    /// Offset up to which the state has been applied.
    pub(crate) offset: Offset,
    /// Session of this VM. `None` if it is not a member.
    pub(crate) own_session: Option<Session>,
    pub(crate) sessions: Vec<Session>,
}

impl Members {
    pub(crate) fn read(node: &Node) -> Self {
        node.with(|shared| Self {
            offset: shared.state.offset,
            own_session: shared.state.vm_of(node.author).map(|vm| shared.state.vms[vm].session),
            sessions: shared.state.sessions.keys().copied().collect(),
        })
    }
}

/// Runs callers' requests.
#[derive(Debug)]
pub struct Router {
    pub(crate) node: Arc<Node>,
    pub(crate) config: Config,
    /// Bodies of requests that are received or in progress.
    pub(crate) bodies: Arc<Bodies>,
    keys: Arc<Mutex<Keys>>,
    queue: mpsc::Sender<RoutedRequest>,
    call_count: watch::Sender<usize>,
    request_count: watch::Receiver<usize>,
    counters: Arc<Counters>,
}

/// Counts a call as in progress until it is dropped.
#[derive(Debug)]
pub(crate) struct CallGuard(watch::Sender<usize>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

impl Router {
    /// Starts the routing task, which follows the instances and the membership of `node`.
    ///
    /// # Panics
    ///
    /// Panics if called outside of a tokio runtime.
    #[must_use]
    pub fn new(node: Arc<Node>, config: Config) -> Arc<Self> {
        let (queue, requests) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let (counter, request_count) = watch::channel(0);
        let counters = Arc::new(Counters::default());
        let keys = Arc::default();
        let task_keys = Arc::clone(&keys);
        tokio::spawn(task::run(
            Arc::clone(&node),
            requests,
            counter,
            Arc::clone(&counters),
            task_keys,
        ));
        let call_count = watch::Sender::new(0);
        let bodies = Bodies::new(config.content_kib << 10);
        Arc::new(Self { node, config, bodies, keys, queue, call_count, request_count, counters })
    }

    /// Returns the counters of the connections to workers.
    #[must_use]
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the bodies of requests, which share their budget with other interfaces of the process.
    #[must_use]
    pub const fn bodies(&self) -> &Arc<Bodies> {
        &self.bodies
    }

    /// Returns the number of calls in progress.
    #[must_use]
    pub fn calls_in_progress(&self) -> usize {
        *self.call_count.borrow()
    }

    pub(crate) fn keys(&self) -> MutexGuard<'_, Keys> {
        lock_keys(&self.keys)
    }

    /// Runs a request of a caller of this VM.
    ///
    /// # Errors
    ///
    /// Returns a code from which [`Code::guarantees_not_run`] tells whether the request was
    /// certainly not run.
    pub async fn call(self: &Arc<Self>, call: Call) -> Result<CallResponse, Code> {
        let guard = self.admit()?;
        let until = call.until;
        let result = match call.key.clone() {
            None => self.run(&call).await,
            Some(key) => self.call_keyed(call, key, guard).await,
        };
        if result.is_ok() && Instant::now() > until {
            // The worker responded in time, but the response was delayed within this VM.
            self.counters.late.fetch_add(1, Ordering::Relaxed);
            return Err(Code::OutcomeUnknown);
        }
        result
    }

    /// Runs a request that another VM forwarded to this one as the primary of the request's key.
    pub async fn handle_call(self: &Arc<Self>, call: Call) -> PeerReply {
        let result = match (self.admit(), call.key.clone()) {
            (Err(code), _) => Err(code),
            (Ok(guard), Some(key)) => self.call_forwarded(call, key, guard).await,
            (Ok(_guard), None) => self.run(&call).await,
        };
        result.map_or_else(PeerReply::Refused, PeerReply::Response)
    }

    /// Records a key for which this VM is the backup. The reply carries the earlier record of the
    /// key, if there is one.
    #[must_use]
    pub fn record_key(&self, record: KeyRecord) -> PeerReply {
        let id = key_id(&record.key);
        match self.keys().store.record(id, &record, Instant::now()) {
            Ok(earlier) => PeerReply::Key(earlier),
            Err(code) => PeerReply::Refused(code),
        }
    }

    /// Waits until no call is in progress, and no worker still has a request whose caller was
    /// already answered at its deadline.
    pub async fn wait_until_drained(&self) {
        let (mut call_count, mut request_count) =
            (self.call_count.subscribe(), self.request_count.clone());
        loop {
            // The sender of the call count lives as long as the router. Without the other one the
            // routing task has ended and has no requests.
            let _ = call_count.wait_for(|count| *count == 0).await;
            let _ = request_count.wait_for(|count| *count == 0).await;
            if *call_count.borrow() == 0 {
                return;
            }
        }
    }

    /// Admits a call, or refuses it because of the stage, the membership or the number of calls in
    /// progress.
    fn admit(&self) -> Result<CallGuard, Code> {
        check_stage(&self.node)?;
        self.check_membership()?;
        let mut admitted = true;
        self.call_count.send_modify(|count| {
            admitted = *count < self.config.max_calls;
            *count += 1;
        });
        let guard = CallGuard(self.call_count.clone());
        if admitted { Ok(guard) } else { Err(Code::Overloaded) }
    }

    /// Checks that the other VMs still reserve this VM's share of the workers.
    ///
    /// Routing continues while the log is down for all VMs. A VM that alone is disconnected from
    /// the log may have been fenced; it notices that another VM has applied more of the log than
    /// itself.
    fn check_membership(&self) -> Result<(), Code> {
        let now = Instant::now();
        self.node.with(|shared| {
            if shared.state.vm_of(self.node.author).is_none() {
                return Err(Code::Fenced);
            }
            if !shared.validity.is_valid(now) && is_behind_peers(shared, now) {
                return Err(Code::NotReady);
            }
            Ok(())
        })
    }

    /// Runs a request through this VM's routing task.
    ///
    /// A request with a key that must not run twice needs a valid copy of the membership. Otherwise
    /// a primary and backup that are disconnected from the log could run a request that their
    /// successors run too. The successors only treat a key as not run if it was minted well after
    /// the validity of the former pair ended ([`KEY_CLOCK_MARGIN`]).
    pub(crate) async fn run(&self, call: &Call) -> Result<CallResponse, Code> {
        let (reply, response) = oneshot::channel();
        let request = RoutedRequest {
            service: Arc::clone(&call.service),
            class: Arc::clone(&call.class),
            key: call.key.clone(),
            repeatable: call.repeatable,
            needs_validity: call.key.is_some() && !call.repeatable,
            until: call.until,
            body: Arc::clone(&call.body),
            reply,
        };
        self.queue.try_send(request).map_err(|_| Code::Overloaded)?;
        // The routing task always replies. If it did not, it has failed and may have sent the
        // request.
        response.await.unwrap_or(Err(Code::OutcomeUnknown))
    }
}

/// Checks that the stage of the process allows new requests.
pub(crate) fn check_stage(node: &Node) -> Result<(), Code> {
    match *node.stage.borrow() {
        Stage::Starting => Err(Code::NotReady),
        Stage::Serving => Ok(()),
        Stage::Draining | Stage::Stopped => Err(Code::Stopping),
    }
}

/// Returns whether a VM that is not suspected to have failed has applied more of the log than this
/// one.
fn is_behind_peers(shared: &SharedState, now: Instant) -> bool {
    let mut responsive = shared.links.values().filter(|link| !link.is_suspected(now));
    responsive.any(|link| link.offset > shared.state.offset)
}
