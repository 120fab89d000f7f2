//! Classes of requests by length, and the slots kept for short ones.
//!
//! A class is long when its requests take several times as long as is typical for its service. Long
//! requests together never hold the slots kept for short ones, so a run of stragglers delays short
//! work by at most its own queue. A class without answers yet counts as long where the service
//! already knows another class, because holding back an unknown short class for a moment costs less
//! than letting unknown stragglers take every slot.

use crate::routing::estimate::EwmaEstimate;

/// Factor of the typical response time from which on a class is long.
const LONG_FROM: f64 = 4.0;

/// Factor below which a long class is short again. The gap prevents flapping.
const SHORT_BELOW: f64 = 2.0;

/// Least part of the slots kept for short work in percent, unless the settings say otherwise. It serves a
/// sudden rise of short work.
pub const MIN_SHORT_PERCENT: u32 = 25;

/// Largest part of the slots that short work makes to be kept, in percent. It leaves long work a way forward.
const MAX_SHORT_PERCENT: u32 = 75;

/// Slots that long requests may hold of `slots`, when short ones rarely need more than `short_peak`, and at least
/// `least` percent are kept for them.
///
/// With a single slot there is nothing to keep, and long work would otherwise never run.
#[must_use]
pub fn max_long_slots(slots: u32, short_peak: f64, least: u32) -> u32 {
    if slots <= 1 {
        return slots;
    }
    let part = |percent: u32| (slots * percent).div_ceil(100);
    // The bounds keep the rounded value within a u32.
    let kept = (short_peak.ceil() as u32).clamp(part(least), part(MAX_SHORT_PERCENT.max(least)));
    slots - kept.min(slots - 1)
}

/// Weight of a new answer in what is typical. It is small, so that a run of answers from one slow
/// instance or of one long class does not pass for typical.
const TYPICAL_GAIN: f64 = 1.0 / 64.0;

/// What is typical for a service or a class.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalLatency {
    log_ms: EwmaEstimate,
}

impl TypicalLatency {
    /// Takes in a response time in milliseconds.
    ///
    /// The mean of the logarithms is used, because a few stragglers would dominate a plain mean.
    pub fn add(&mut self, ms: f64) {
        self.log_ms.add_weighted(TYPICAL_GAIN, ms.max(0.01).ln());
    }

    /// Returns the typical response time in milliseconds, or nothing before the first answer.
    #[must_use]
    pub fn ms(&self) -> Option<f64> {
        (self.log_ms.sample_count() > 0).then(|| self.log_ms.mean().exp())
    }
}

/// Decides whether a class is long, given its estimate and what it was before.
#[must_use]
pub fn is_long(class: &EwmaEstimate, typical: TypicalLatency, was_long: bool) -> bool {
    let Some(typical) = typical.ms() else {
        return false;
    };
    if class.sample_count() == 0 {
        return true;
    }
    let factor = if was_long { SHORT_BELOW } else { LONG_FROM };
    class.mean() > factor * typical
}
