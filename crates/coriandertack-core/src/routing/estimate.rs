//! Running estimates of response times and numbers of requests.

use tokio::time::Instant;

/// Weight of a new sample. Eight samples replace two thirds of the old value.
const GAIN: f64 = 0.125;

/// Samples that a deviation is multiplied by for a cautious estimate; 2 covers about 95%.
const CAUTION: f64 = 2.0;

/// Exponentially weighted mean and deviation of a quantity.
#[derive(Clone, Copy, Debug, Default)]
pub struct EwmaEstimate {
    mean: f64,
    deviation: f64,
    samples: u64,
}

impl EwmaEstimate {
    /// Takes in a sample.
    pub fn add(&mut self, sample: f64) {
        self.add_weighted(GAIN, sample);
    }

    /// Takes in a sample with its own weight.
    pub fn add_weighted(&mut self, gain: f64, sample: f64) {
        self.samples += 1;
        // The first samples weigh equally, so that a poor first one is soon forgotten.
        let gain = gain.max(1.0 / self.samples as f64);
        let error = sample - self.mean;
        self.mean += gain * error;
        self.deviation += gain * (error.abs() - self.deviation);
        if self.samples == 1 {
            self.deviation = sample / 2.0;
        }
    }

    /// Returns the mean, or 0 before the first sample.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns a value that most samples do not exceed.
    #[must_use]
    pub fn upper_bound(&self) -> f64 {
        self.mean + CAUTION * self.deviation
    }

    /// Returns the number of samples taken in.
    #[must_use]
    pub fn sample_count(&self) -> u64 {
        self.samples
    }
}

/// Time after which a level has forgotten two thirds of what it was, in seconds. It spans a few
/// stragglers, so that the level covers the peaks that come while one of them runs.
const MEMORY_S: f64 = 2.0;

/// Mean and deviation over time of a number of requests.
#[derive(Clone, Copy, Debug)]
pub struct LoadEstimate {
    mean: f64,
    deviation: f64,
    at: Instant,
}

impl LoadEstimate {
    /// Returns a level of zero.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { mean: 0.0, deviation: 0.0, at: now }
    }

    /// Takes in the number as of `now`.
    pub fn add(&mut self, number: f64, now: Instant) {
        let gap = now.saturating_duration_since(self.at).as_secs_f64();
        let gain = 1.0 - (-gap / MEMORY_S).exp();
        let error = number - self.mean;
        self.mean += gain * error;
        self.deviation += gain * (error.abs() - self.deviation);
        self.at = now;
    }

    /// Returns a number that is rarely exceeded.
    #[must_use]
    pub fn upper_bound(&self) -> f64 {
        self.mean + CAUTION * self.deviation
    }
}
