//! Recording of refused changes in the audit trail.
//!
//! A change that the log rejects is in the trail already. A change refused before it reaches the log is
//! written by the task here, at a limited rate for each actor and for the VM, so that a flood of invalid
//! requests neither uses up the appends that the system needs nor displaces other entries of the trail.

use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use {
    coriandertack_core::{
        code::Code,
        node::{Node, now_ms},
        record::{Entry, Record, Refusal},
    },
    tokio::{
        sync::mpsc,
        time::{Duration, Instant, sleep_until},
    },
};

use crate::rate_limiter::{RateLimit, RateLimiter};

/// Actor recorded for a request without a valid token.
pub const ANONYMOUS: &str = "anonymous";

/// Maximum number of refusals waiting to be written.
const QUEUE_CAPACITY: usize = 64;

/// Maximum number of refusals in one append to the log.
const MAX_BATCH: usize = 16;

/// Minimum interval between two appends, so that each VM uses at most 1 of the 300 appends per second of
/// all VMs.
const APPEND_INTERVAL: Duration = Duration::from_secs(1);

/// Rate limit of the refusals that one VM writes for each actor. At a burst of 10 and 1 per minute, an actor
/// needs about a week at one VM to displace the 10,000 entries of the trail.
const ACTOR_RATE: RateLimit = RateLimit { per_s: 1.0 / 60.0, burst: 10.0 };

/// A refused change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedChange {
    /// Principal that requested the change, or [`ANONYMOUS`].
    pub actor: String,
    /// Operation and path of the request.
    pub action: String,
    /// Result code of the refusal.
    pub code: Code,
}

/// Queue of refusals between the request handlers and the task that writes them.
#[derive(Debug)]
pub struct RefusalQueue {
    sender: mpsc::Sender<RefusedChange>,
    receiver: Mutex<Option<mpsc::Receiver<RefusedChange>>>,
    rate_limiter: Mutex<RateLimiter<String>>,
    dropped: AtomicU64,
}

impl Default for RefusalQueue {
    fn default() -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        Self {
            sender,
            receiver: Mutex::new(Some(receiver)),
            rate_limiter: Mutex::default(),
            dropped: AtomicU64::new(0),
        }
    }
}

impl RefusalQueue {
    /// Queues a refusal, or counts it as dropped if the actor exceeds its rate or the queue is full.
    pub fn enqueue(&self, refused: RefusedChange) {
        let is_allowed = {
            let mut rate_limiter = self.rate_limiter.lock().unwrap_or_else(PoisonError::into_inner);
            rate_limiter.try_take(&refused.actor, ACTOR_RATE, Instant::now())
        };
        if !is_allowed || self.sender.try_send(refused).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of refusals dropped since the last call and resets it.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }

    /// Writes queued refusals to the log. Only the first call does this; later calls return immediately.
    pub async fn run(&self, node: &Node) {
        let receiver = self.receiver.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(mut receiver) = receiver else { return };
        let mut batch = Vec::new();
        while receiver.recv_many(&mut batch, MAX_BATCH).await > 0 {
            let next = Instant::now() + APPEND_INTERVAL;
            let entries = batch.drain(..).map(entry).collect();
            if let Err(code) = node.submit(entries).await {
                log::warn!("event=refusals_not_audited code={}", code.number());
            }
            sleep_until(next).await;
        }
    }
}

fn entry(refused: RefusedChange) -> Entry {
    let RefusedChange { actor, action, code } = refused;
    Entry { actor, at_ms: now_ms(), record: Record::Refused(Refusal { action, code }) }
}
