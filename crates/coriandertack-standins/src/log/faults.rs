//! Fault injection of the log service.

use std::{collections::VecDeque, time::Duration};

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    tokio::time::Instant,
};

use super::Outage;

/// Sliding window of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// The faults that are currently injected.
#[derive(Debug)]
pub(super) struct Faults {
    /// Duration of an append.
    pub(super) latency: Duration,
    /// Delay added to every request.
    pub(super) delay: Duration,
    pub(super) outage: Outage,
    /// Number of upcoming append responses to drop.
    pub(super) drop_next: u32,
    /// Fraction of append responses to drop at random.
    pub(super) loss: f64,
    rate: u32,
    /// Times of the appends admitted within the last [`RATE_WINDOW`].
    admitted_at: VecDeque<Instant>,
    rng: ChaCha8Rng,
}

impl Faults {
    pub(super) fn new(latency_ms: u64, rate: u32, seed: u64) -> Self {
        Self {
            latency: Duration::from_millis(latency_ms),
            delay: Duration::ZERO,
            outage: Outage::None,
            drop_next: 0,
            loss: 0.0,
            rate,
            admitted_at: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(super) fn set_rate(&mut self, rate: u32) {
        self.rate = rate;
    }

    /// Returns whether the outage rejects appends of `client`.
    pub(super) fn rejects_append(&self, client: &str) -> bool {
        match &self.outage {
            Outage::None | Outage::Reads => false,
            Outage::All | Outage::Appends => true,
            Outage::Client(name) => name == client,
        }
    }

    /// Returns whether the outage rejects reads of `client`.
    pub(super) fn rejects_read(&self, client: &str) -> bool {
        match &self.outage {
            Outage::None | Outage::Appends => false,
            Outage::All | Outage::Reads => true,
            Outage::Client(name) => name == client,
        }
    }

    /// Admits and counts an append, unless that would exceed the rate limit.
    pub(super) fn try_admit(&mut self, now: Instant) -> bool {
        while self.admitted_at.front().is_some_and(|&at| now.duration_since(at) >= RATE_WINDOW) {
            self.admitted_at.pop_front();
        }
        let admitted = self.admitted_at.len() < self.rate as usize;
        if admitted {
            self.admitted_at.push_back(now);
        }
        admitted
    }

    /// Decides whether to drop the response to an append.
    pub(super) fn drops_response(&mut self) -> bool {
        if self.drop_next > 0 {
            self.drop_next -= 1;
            return true;
        }
        self.loss > 0.0 && self.rng.random_bool(self.loss.min(1.0))
    }
}
