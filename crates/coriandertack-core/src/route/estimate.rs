//! Running estimates of response times.

/// Weight of a new sample. Eight samples replace two thirds of the old value.
const GAIN: f64 = 0.125;

/// Samples that a deviation is multiplied by for a cautious estimate; 2 covers about 95%.
const CAUTION: f64 = 2.0;

/// Exponentially weighted mean and deviation of a quantity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate {
    mean: f64,
    deviation: f64,
    samples: u64,
}

impl Estimate {
    /// Takes in a sample.
    pub fn add(&mut self, sample: f64) {
        self.samples += 1;
        // The first samples weigh equally, so that a poor first one is soon forgotten.
        let gain = GAIN.max(1.0 / self.samples as f64);
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
    pub fn cautious(&self) -> f64 {
        self.mean + CAUTION * self.deviation
    }

    /// Returns the number of samples taken in.
    #[must_use]
    pub fn samples(&self) -> u64 {
        self.samples
    }
}
