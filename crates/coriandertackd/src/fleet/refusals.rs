//! Requests that are refused because of their key: their number for the metrics, and the log lines on them.

use std::sync::{
    Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use coriandertack_jobs::access::{Refusal, RefusalLog};

use super::clock;

/// Number of refused requests, by reason, and which of them were logged.
#[derive(Debug, Default)]
pub struct Refusals {
    counts: [AtomicU64; Refusal::ALL.len()],
    log: Mutex<RefusalLog>,
}

impl Refusals {
    /// Counts a refused request, and logs it unless a line with the same reason was written shortly before. The line
    /// never contains a key.
    pub fn record(&self, reason: Refusal, route: &str, revision: u64) {
        self.counts[reason as usize].fetch_add(1, Ordering::Relaxed);
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = log.add(reason, clock::now()) {
            log::info!(
                "event=key_refused reason={reason} route={route} config={revision} count={count}"
            );
        }
    }

    /// Returns the number of refused requests, by reason.
    pub fn counts(&self) -> impl Iterator<Item = (Refusal, u64)> {
        let counts = self.counts.iter().map(|count| count.load(Ordering::Relaxed));
        Refusal::ALL.into_iter().zip(counts)
    }
}
