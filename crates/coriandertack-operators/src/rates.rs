//! Limits on the rate of requests.
//!
//! A [`Bucket`] is refilled as time passes; [`Rates`] keeps one for each key. The map is bounded: a
//! key whose bucket is full again is the same as one never seen, so such buckets are dropped first.

use std::{collections::HashMap, hash::Hash};

use tokio::time::Instant;

/// The most keys with a bucket of their own: 140 teams and their operators, several times over.
const MAX_BUCKETS: usize = 1_024;

/// How fast a bucket is refilled and how much it holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Requests per second in the long run.
    pub per_s: f64,
    /// Requests that may come at once.
    pub burst: f64,
}

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    level: f64,
    filled_at: Instant,
}

impl Bucket {
    /// Returns a full bucket.
    #[must_use]
    pub fn full(rate: Rate, now: Instant) -> Self {
        Self { level: rate.burst, filled_at: now }
    }

    /// Takes one request out, if there is one.
    pub fn take(&mut self, rate: Rate, now: Instant) -> bool {
        self.refill(rate, now);
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }

    fn refill(&mut self, rate: Rate, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.level = (self.level + elapsed_s * rate.per_s).min(rate.burst);
        self.filled_at = now;
    }
}

/// One bucket for each key.
#[derive(Clone, Debug)]
pub struct Rates<K> {
    buckets: HashMap<K, Bucket>,
}

impl<K> Default for Rates<K> {
    fn default() -> Self {
        Self { buckets: HashMap::new() }
    }
}

impl<K: Eq + Hash + Clone> Rates<K> {
    /// Takes one request out of the bucket of `key`.
    ///
    /// If the map is full of keys that are all in use, a new key is refused.
    pub fn take(&mut self, key: &K, rate: Rate, now: Instant) -> bool {
        if let Some(bucket) = self.buckets.get_mut(key) {
            return bucket.take(rate, now);
        }
        if self.buckets.len() >= MAX_BUCKETS {
            self.drop_idle(rate, now);
        }
        if self.buckets.len() >= MAX_BUCKETS {
            return false;
        }
        let bucket = self.buckets.entry(key.clone()).or_insert_with(|| Bucket::full(rate, now));
        bucket.take(rate, now)
    }

    fn drop_idle(&mut self, rate: Rate, now: Instant) {
        self.buckets.retain(|_, bucket| {
            bucket.refill(rate, now);
            bucket.level < rate.burst
        });
    }
}
