//! Faults of the log service.

use std::{collections::VecDeque, time::Duration};

use {
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    tokio::time::Instant,
};

use super::Outage;

/// Period over which the rate is limited.
const RATE_PERIOD: Duration = Duration::from_secs(1);

/// What goes wrong at present.
#[derive(Debug)]
pub(super) struct Faults {
    pub(super) latency: Duration,
    pub(super) slow: Duration,
    pub(super) outage: Outage,
    pub(super) lose_next: u32,
    pub(super) loss: f64,
    rate: u32,
    /// Accepted appends of the last period.
    recent: VecDeque<Instant>,
    rng: ChaCha8Rng,
}

impl Faults {
    pub(super) fn new(latency_ms: u64, rate: u32, seed: u64) -> Self {
        Self {
            latency: Duration::from_millis(latency_ms),
            slow: Duration::ZERO,
            outage: Outage::None,
            lose_next: 0,
            loss: 0.0,
            rate,
            recent: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(super) fn set_rate(&mut self, rate: u32) {
        self.rate = rate;
    }

    /// Tells whether an append of `client` fails.
    pub(super) fn blocks_append(&self, client: &str) -> bool {
        match &self.outage {
            Outage::None | Outage::Reads => false,
            Outage::All | Outage::Appends => true,
            Outage::Client(name) => name == client,
        }
    }

    /// Tells whether a read of `client` fails.
    pub(super) fn blocks_read(&self, client: &str) -> bool {
        match &self.outage {
            Outage::None | Outage::Appends => false,
            Outage::All | Outage::Reads => true,
            Outage::Client(name) => name == client,
        }
    }

    /// Counts an append, unless that would exceed the rate.
    pub(super) fn admits(&mut self, now: Instant) -> bool {
        while self.recent.front().is_some_and(|&at| now.duration_since(at) >= RATE_PERIOD) {
            self.recent.pop_front();
        }
        let admitted = self.recent.len() < self.rate as usize;
        if admitted {
            self.recent.push_back(now);
        }
        admitted
    }

    /// Decides whether the answer to an append is lost.
    pub(super) fn loses_answer(&mut self) -> bool {
        if self.lose_next > 0 {
            self.lose_next -= 1;
            return true;
        }
        self.loss > 0.0 && self.rng.random_bool(self.loss.min(1.0))
    }
}
