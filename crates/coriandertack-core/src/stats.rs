//! Figures that decisions leave for the metrics.
//!
//! Core knows no metrics library. What is worth a figure is noted here, and the resource API takes it when
//! the metrics are read. Between two readings a bounded number of samples is kept.

use std::{collections::BTreeMap, time::Duration};

use crate::code::Code;

/// Samples kept between two readings. At 600 starts/s and a reading each 15 s none is lost.
const MAX_SAMPLES: usize = 10_000;

/// Times in microseconds, since the last reading.
#[derive(Clone, Debug, Default)]
pub struct DurationSamples {
    times: Vec<u32>,
}

impl DurationSamples {
    /// Notes a time.
    pub fn record(&mut self, time: Duration) {
        if self.times.len() < MAX_SAMPLES {
            self.times.push(u32::try_from(time.as_micros()).unwrap_or(u32::MAX));
        }
    }

    /// Returns the times since the last reading, in microseconds.
    pub fn take(&mut self) -> Vec<u32> {
        std::mem::take(&mut self.times)
    }
}

/// Figures since the last reading.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// From the acceptance of a task, or the end of its last attempt, to the answer that it was placed.
    pub wait_times: DurationSamples,
    /// Placement decisions of the owner.
    pub decision_times: DurationSamples,
    /// Appends to the log.
    pub append_times: DurationSamples,
    /// Tasks placed.
    pub placed_tasks: u64,
    /// Answers to callers' requests, by code.
    pub calls: BTreeMap<u16, u64>,
}

impl Stats {
    /// Counts an answer to a caller.
    pub fn record_call(&mut self, code: Code) {
        *self.calls.entry(code.number()).or_default() += 1;
    }
}
