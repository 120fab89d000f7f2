//! Measurements of decisions, for the metrics.
//!
//! This package uses no metrics library. It records the measurements here, and the resource API collects them
//! when the metrics are read. The number of samples kept between two reads is bounded.

use std::{collections::BTreeMap, time::Duration};

use crate::code::Code;

/// Samples kept between two reads. At 600 starts/s and one read every 15 s none is lost.
const MAX_SAMPLES: usize = 10_000;

/// Durations in microseconds since the last read.
#[derive(Clone, Debug, Default)]
pub struct DurationSamples {
    times: Vec<u32>,
}

impl DurationSamples {
    /// Records a duration, unless the maximum number of samples has been reached.
    pub fn record(&mut self, time: Duration) {
        if self.times.len() < MAX_SAMPLES {
            self.times.push(u32::try_from(time.as_micros()).unwrap_or(u32::MAX));
        }
    }

    /// Returns and clears the durations since the last read, in microseconds.
    pub fn take(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.times)
    }
}

/// Durations since the last read, and counters.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// Times from the acceptance of a task, or the end of its last attempt, to the reply that it was placed.
    pub wait_times: DurationSamples,
    /// Times of the owner's placement decisions.
    pub decision_times: DurationSamples,
    /// Times of the appends to the log.
    pub append_times: DurationSamples,
    /// Number of tasks placed.
    pub placed_tasks: u64,
    /// Number of responses to callers, by result code.
    pub calls: BTreeMap<u16, u64>,
}

impl Stats {
    /// Counts a response to a caller.
    pub fn record_call(&mut self, code: Code) {
        *self.calls.entry(code.number()).or_default() += 1;
    }
}
