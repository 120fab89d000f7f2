//! Rate limiting with token buckets.
//!
//! A [`TokenBucket`] is refilled as time passes; a [`RateLimiter`] has one for each key. The number of
//! buckets is bounded: a full bucket is equivalent to none, so full buckets are evicted first.

use std::{collections::HashMap, hash::Hash};

use tokio::time::Instant;

/// Maximum number of keys tracked: several times the target of 140 teams and their operators.
const MAX_BUCKETS: usize = 1_024;

/// Refill rate and capacity of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Sustained rate in requests per second.
    pub per_s: f64,
    /// Maximum number of requests in a burst.
    pub burst: f64,
}

/// A token bucket, in which each token admits one request.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Returns a full bucket.
    #[must_use]
    pub fn full(rate: RateLimit, now: Instant) -> Self {
        Self { tokens: rate.burst, filled_at: now }
    }

    /// Refills the bucket, then takes one token and returns `true` if there is one.
    pub fn try_take(&mut self, rate: RateLimit, now: Instant) -> bool {
        self.refill(rate, now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, rate: RateLimit, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * rate.per_s).min(rate.burst);
        self.filled_at = now;
    }
}

/// Rate limiter with a token bucket for each key.
#[derive(Clone, Debug)]
pub struct RateLimiter<K> {
    buckets: HashMap<K, TokenBucket>,
}

impl<K> Default for RateLimiter<K> {
    fn default() -> Self {
        Self { buckets: HashMap::new() }
    }
}

impl<K: Eq + Hash + Clone> RateLimiter<K> {
    /// Takes one token from the bucket of `key` and returns whether the request is within the limit.
    ///
    /// A new key is refused while the map has its maximum size and no bucket is full.
    pub fn try_take(&mut self, key: &K, rate: RateLimit, now: Instant) -> bool {
        if let Some(bucket) = self.buckets.get_mut(key) {
            return bucket.try_take(rate, now);
        }
        if self.buckets.len() >= MAX_BUCKETS {
            self.evict_full(rate, now);
        }
        if self.buckets.len() >= MAX_BUCKETS {
            return false;
        }
        let bucket =
            self.buckets.entry(key.clone()).or_insert_with(|| TokenBucket::full(rate, now));
        bucket.try_take(rate, now)
    }

    fn evict_full(&mut self, rate: RateLimit, now: Instant) {
        self.buckets.retain(|_, bucket| {
            bucket.refill(rate, now);
            bucket.tokens < rate.burst
        });
    }
}
