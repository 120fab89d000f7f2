//! Running estimates of response times and request counts.

use tokio::time::Instant;

/// Weight of a new sample. After eight samples, two thirds of the old value have been replaced.
const GAIN: f64 = 0.125;

/// Deviations added to the mean for an upper bound; 2 covers about 95% of the samples.
const DEVIATION_FACTOR: f64 = 2.0;

/// Exponentially weighted moving average of a quantity, with its mean absolute deviation.
#[derive(Clone, Copy, Debug, Default)]
pub struct EwmaEstimate {
    mean: f64,
    deviation: f64,
    samples: u64,
}

impl EwmaEstimate {
    /// Adds a sample with the default weight.
    pub fn add(&mut self, sample: f64) {
        self.add_weighted(GAIN, sample);
    }

    /// Adds a sample with the weight `gain`.
    pub fn add_weighted(&mut self, gain: f64, sample: f64) {
        self.samples += 1;
        // The first samples have equal weight, so that an unusual first one is soon forgotten.
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
        self.mean + DEVIATION_FACTOR * self.deviation
    }

    /// Returns the number of samples added.
    #[must_use]
    pub fn sample_count(&self) -> u64 {
        self.samples
    }
}

/// Time constant of the load average in seconds: two thirds of the old value are forgotten after it. It
/// spans a few stragglers, so that the estimate covers the peaks that occur while one of them runs.
const TIME_CONSTANT_S: f64 = 2.0;

/// Time-weighted mean and deviation of a number of requests.
#[derive(Clone, Copy, Debug)]
pub struct LoadEstimate {
    mean: f64,
    deviation: f64,
    updated_at: Instant,
}

impl LoadEstimate {
    /// Returns an estimate of zero.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { mean: 0.0, deviation: 0.0, updated_at: now }
    }

    /// Adds the number of requests at `now`.
    pub fn add(&mut self, count: f64, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let gain = 1.0 - (-elapsed_s / TIME_CONSTANT_S).exp();
        let error = count - self.mean;
        self.mean += gain * error;
        self.deviation += gain * (error.abs() - self.deviation);
        self.updated_at = now;
    }

    /// Returns a number of requests that is rarely exceeded.
    #[must_use]
    pub fn upper_bound(&self) -> f64 {
        self.mean + DEVIATION_FACTOR * self.deviation
    }
}
