//! Ejection of instances that fail or are slow, and their gradual return.
//!
//! An ejected instance gets nothing until its pause is over. Then it gets one request at a time, and
//! after `PROBES` good answers in a row it is back to its full share. A failure while it is probed
//! doubles the pause.

use std::time::Duration;

use tokio::time::Instant;

/// Failures in a row that eject an instance.
const FAILURES: u32 = 3;

/// Factor of the median pace of a service's instances beyond which one of them is slow.
const SLOW: f64 = 4.0;

/// Pace below which an instance is not slow, whatever the others do. It spares the median for nearly
/// every answer: the mean pace is 1.
const MAY_BE_SLOW: f64 = 1.5;

/// Answers that must be known before an instance can be called slow.
const SLOW_SAMPLES: u64 = 8;

/// Good answers in a row that end the probing.
const PROBES: u32 = 3;

/// First pause after an ejection.
const FIRST_PAUSE: Duration = Duration::from_millis(1_000);

/// Longest pause after an ejection.
const LONGEST_PAUSE: Duration = Duration::from_millis(30_000);

/// What an instance may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// As much as its share allows.
    Healthy,
    /// One request at a time.
    Probing,
    /// Nothing.
    Ejected,
}

/// Record of an instance's recent behaviour.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    successes: u32,
    resume_at: Option<Instant>,
    /// Ejections in a row, each of which doubles the pause.
    rounds: u32,
}

impl Health {
    /// Returns what the instance may be sent at `now`.
    #[must_use]
    pub fn state(&self, now: Instant) -> EjectionState {
        match self.resume_at {
            None => EjectionState::Healthy,
            Some(at) if now < at => EjectionState::Ejected,
            Some(_) => EjectionState::Probing,
        }
    }

    /// Tells whether the instance is ejected or being probed.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.resume_at.is_some()
    }

    /// Notes an answer of an instance that is not slow.
    pub fn record_success(&mut self) {
        self.failures = 0;
        if self.resume_at.is_some() {
            self.successes += 1;
            if self.successes >= PROBES {
                *self = Self::default();
            }
        }
    }

    /// Notes a failure. Returns whether the instance should be ejected.
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.successes = 0;
        self.failures >= FAILURES || self.resume_at.is_some()
    }

    /// Ejects the instance.
    pub fn eject(&mut self, now: Instant) {
        if self.state(now) == EjectionState::Ejected {
            return;
        }
        if self.resume_at.is_some() {
            self.rounds += 1;
        }
        let factor = 1_u32.checked_shl(self.rounds).unwrap_or(u32::MAX);
        let pause = FIRST_PAUSE.saturating_mul(factor).min(LONGEST_PAUSE);
        self.resume_at = Some(now + pause);
        self.successes = 0;
        self.failures = 0;
    }
}

/// Tells whether an instance with this pace, learned from `samples` answers, is slow.
///
/// `others` are the paces of all instances of the service. Their median is the measure, because a slow
/// instance with many requests would raise a mean.
#[must_use]
pub fn is_slow(latency_ratio: f64, samples: u64, others: impl Iterator<Item = f64>) -> bool {
    if latency_ratio <= MAY_BE_SLOW || samples < SLOW_SAMPLES {
        return false;
    }
    let mut paces: Vec<f64> = others.collect();
    let middle = paces.len() / 2;
    if paces.len() < 2 {
        return false;
    }
    // The lower median: of two instances the faster one is the measure.
    let at = if paces.len().is_multiple_of(2) { middle - 1 } else { middle };
    let (_, median, _) = paces.select_nth_unstable_by(at, f64::total_cmp);
    latency_ratio > SLOW * *median
}

/// Tells whether one more instance may be ejected when `out` of `all` are out already.
///
/// At most half may be out: if most of a service looks bad, the cause is probably not the instances,
/// and the others could not carry the load.
#[must_use]
pub fn can_eject(out: usize, all: usize) -> bool {
    (out + 1) * 2 <= all
}
