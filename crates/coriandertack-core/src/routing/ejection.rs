//! Outlier ejection: instances that fail or are slow get no requests, and return gradually.
//!
//! An ejected instance gets no requests for a while. It then gets one request at a time, and is healthy
//! again after `PROBE_SUCCESSES` consecutive successes. A failure while it is probed doubles the duration
//! of the next ejection.

use std::time::Duration;

use tokio::time::Instant;

/// Consecutive failures that eject an instance.
const EJECTION_FAILURES: u32 = 3;

/// Multiple of the median latency ratio of a service's instances above which an instance is slow.
const SLOW_FACTOR: f64 = 4.0;

/// Latency ratio up to which an instance is never slow. It avoids computing the median for nearly every
/// response, since the mean ratio is 1.
const MIN_SLOW_RATIO: f64 = 1.5;

/// Responses that an instance needs before it can be judged slow.
const MIN_SLOW_SAMPLES: u64 = 8;

/// Consecutive successes that end the probing.
const PROBE_SUCCESSES: u32 = 3;

/// Duration of the first ejection.
const INITIAL_EJECTION: Duration = Duration::from_millis(1_000);

/// Maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_millis(30_000);

/// How many requests an instance may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// As many as the share of its worker's slots allows.
    Healthy,
    /// One request at a time.
    Probing,
    /// None.
    Ejected,
}

/// Recent failures and ejections of an instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    successes: u32,
    resume_at: Option<Instant>,
    /// Number of ejections during probing since the instance was last healthy. Each doubles the duration of the
    /// ejection.
    failed_probes: u32,
}

impl Health {
    /// Returns how many requests the instance may be sent at `now`.
    #[must_use]
    pub fn state(&self, now: Instant) -> EjectionState {
        match self.resume_at {
            None => EjectionState::Healthy,
            Some(resume_at) if now < resume_at => EjectionState::Ejected,
            Some(_) => EjectionState::Probing,
        }
    }

    /// Returns whether the instance is ejected or being probed.
    #[must_use]
    pub fn is_restricted(&self) -> bool {
        self.resume_at.is_some()
    }

    /// Records a response of an instance that is not slow.
    pub fn record_success(&mut self) {
        self.failures = 0;
        if self.resume_at.is_some() {
            self.successes += 1;
            if self.successes >= PROBE_SUCCESSES {
                *self = Self::default();
            }
        }
    }

    /// Records a failure and returns whether the instance should be ejected.
    pub fn record_failure(&mut self) -> bool {
        self.failures += 1;
        self.successes = 0;
        self.failures >= EJECTION_FAILURES || self.resume_at.is_some()
    }

    /// Ejects the instance, unless it is ejected already.
    pub fn eject(&mut self, now: Instant) {
        if self.state(now) == EjectionState::Ejected {
            return;
        }
        if self.resume_at.is_some() {
            self.failed_probes += 1;
        }
        let factor = 1_u32.checked_shl(self.failed_probes).unwrap_or(u32::MAX);
        let duration = INITIAL_EJECTION.saturating_mul(factor).min(MAX_EJECTION);
        self.resume_at = Some(now + duration);
        self.successes = 0;
        self.failures = 0;
    }
}

/// Returns whether an instance with this latency ratio, measured over `samples` responses, is slow.
///
/// `all_ratios` are the latency ratios of all instances of the service. The instance is compared with
/// their median, because a slow instance with many requests would raise a mean.
#[must_use]
pub fn is_slow(latency_ratio: f64, samples: u64, all_ratios: impl Iterator<Item = f64>) -> bool {
    if latency_ratio <= MIN_SLOW_RATIO || samples < MIN_SLOW_SAMPLES {
        return false;
    }
    let mut ratios: Vec<f64> = all_ratios.collect();
    let middle = ratios.len() / 2;
    if ratios.len() < 2 {
        return false;
    }
    // The lower median, so that of two instances the slower one is compared with the faster one.
    let index = if ratios.len().is_multiple_of(2) { middle - 1 } else { middle };
    let (_, median, _) = ratios.select_nth_unstable_by(index, f64::total_cmp);
    latency_ratio > SLOW_FACTOR * *median
}

/// Returns whether another instance may be ejected when `ejected` of `total` are ejected already.
///
/// At most half of the instances may be ejected: if most of a service looks bad, the cause is probably not
/// the instances, and the others could not carry the load.
#[must_use]
pub fn can_eject(ejected: usize, total: usize) -> bool {
    (ejected + 1) * 2 <= total
}
