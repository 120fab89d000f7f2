//! When a call without a response is sent again.
//!
//! Load: a store that loses a part of its responses, each of which stops the task that waits for it. A fixed
//! time-out has to cover a store that is slow, and is then a hundred times as long as a usual response.
//! The estimate follows RFC 6298: the mean of the response times and four times their mean deviation.
//! See docs/design/lost-responses.md.

/// Shortest time after which a call is sent again, in milliseconds: several times a usual response,
/// which takes 7 ms from another availability zone. While responses are lost, each costs this time.
const MIN_REPEAT_MS: u64 = 40;

/// Time after which a call is sent again before any response time is known, in milliseconds: half of
/// what a store takes that is slow from the start.
const INITIAL_REPEAT_MS: u64 = 250;

/// Weight of a new response time in the mean, and in the mean deviation.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;

/// Factor on the mean deviation.
const DEVIATION_FACTOR: f64 = 4.0;

/// Estimate of the response time of one peer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ResponseTimes {
    /// Mean and mean deviation in milliseconds; `None` before the first response.
    estimate: Option<(f64, f64)>,
}

impl ResponseTimes {
    /// Records the time between a call and its own response, in milliseconds. The response to an
    /// earlier or later copy of the call says nothing about this one.
    pub fn record(&mut self, took_ms: u64) {
        let sample = took_ms as f64;
        let (mean, deviation) = self.estimate.unwrap_or((sample, sample / 2.0));
        self.estimate = Some((
            mean + (sample - mean) * MEAN_WEIGHT,
            deviation + ((sample - mean).abs() - deviation) * DEVIATION_WEIGHT,
        ));
    }

    /// Returns the time after which a call without a response is sent again, in milliseconds.
    #[must_use]
    pub fn repeat_ms(&self) -> u64 {
        self.estimate.map_or(INITIAL_REPEAT_MS, |(mean, deviation)| {
            ((mean + deviation * DEVIATION_FACTOR) as u64).max(MIN_REPEAT_MS)
        })
    }
}
