//! Refused changes on their way to the audit trail.
//!
//! A change that the log made void is in the trail anyway. A change that was refused before it
//! reached the log is written by the task here, at a limited rate: a flood of bad requests must not
//! use up the appends that the system needs.

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

/// The most refusals in one submission to the log.
const MAX_TOGETHER: usize = 16;

/// Pause between two submissions: at most 1 of the 300 appends per second of all VMs, for each VM.
const PAUSE: Duration = Duration::from_secs(1);

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

/// Writes refusals until their senders are gone.
pub async fn write(node: &Node, mut refusals: mpsc::Receiver<Refused>) {
    let mut together = Vec::new();
    while refusals.recv_many(&mut together, MAX_TOGETHER).await > 0 {
        let next = Instant::now() + PAUSE;
        let entries = together.drain(..).map(entry).collect();
        if let Err(code) = node.submit(entries).await {
            log::warn!("event=refusals_not_audited code={}", code.number());
        }
        sleep_until(next).await;
    }
}

fn entry(refused: Refused) -> Entry {
    let Refused { actor, action, code } = refused;
    Entry { actor, at_ms: now_ms(), record: Record::Refused(Refusal { action, code }) }
}
