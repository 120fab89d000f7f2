//! Refused changes on their way to the audit trail.
//!
//! A change that the log made void is in the trail anyway. A change that was refused before it
//! reached the log is written by the task here, at a limited rate for each actor and for the VM: a
//! flood of bad requests must neither use up the appends that the system needs, nor push the other entries
//! out of the trail.

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

use crate::rates::{Rate, Rates};

/// Actor of a request without a valid token.
pub const ANONYMOUS: &str = "anonymous";

/// Refusals that wait for the log.
const QUEUE: usize = 64;

/// The most refusals in one submission to the log.
const MAX_TOGETHER: usize = 16;

/// Pause between two submissions: at most 1 of the 300 appends per second of all VMs, for each VM.
const PAUSE: Duration = Duration::from_secs(1);

/// Refusals of one actor that one VM writes. At 10 and 1 per minute, an actor needs about a week at one VM to
/// push out the 10,000 entries of the trail.
const RATE: Rate = Rate { per_s: 1.0 / 60.0, burst: 10.0 };

/// A refused change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Who asked for it.
    pub actor: String,
    /// What was asked.
    pub action: String,
    /// Why it was refused.
    pub code: Code,
}

/// The way of refusals to the task that writes them.
#[derive(Debug)]
pub struct Refusals {
    sender: mpsc::Sender<Refused>,
    receiver: Mutex<Option<mpsc::Receiver<Refused>>>,
    rates: Mutex<Rates<String>>,
    dropped: AtomicU64,
}

impl Default for Refusals {
    fn default() -> Self {
        let (sender, receiver) = mpsc::channel(QUEUE);
        Self {
            sender,
            receiver: Mutex::new(Some(receiver)),
            rates: Mutex::default(),
            dropped: AtomicU64::new(0),
        }
    }
}

impl Refusals {
    /// Queues a refusal for the audit trail, or counts it as dropped if there are too many.
    pub fn note(&self, refused: Refused) {
        let is_allowed = {
            let mut rates = self.rates.lock().unwrap_or_else(PoisonError::into_inner);
            rates.take(&refused.actor, RATE, Instant::now())
        };
        if !is_allowed || self.sender.try_send(refused).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of refusals dropped since the last call.
    pub fn take_dropped(&self) -> u64 {
        self.dropped.swap(0, Ordering::Relaxed)
    }

    /// Writes refusals for as long as this lives. Only the first call does so.
    pub async fn write(&self, node: &Node) {
        let receiver = self.receiver.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(mut receiver) = receiver else { return };
        let mut together = Vec::new();
        while receiver.recv_many(&mut together, MAX_TOGETHER).await > 0 {
            let next = Instant::now() + PAUSE;
            let entries = together.drain(..).map(entry).collect();
            if let Err(code) = node.submit(entries).await {
                log::warn!("event=refusals_not_audited code={}", code.number());
            }
            sleep_until(next).await;
        }
    }
}

fn entry(refused: Refused) -> Entry {
    let Refused { actor, action, code } = refused;
    Entry { actor, at_ms: now_ms(), record: Record::Refused(Refusal { action, code }) }
}
