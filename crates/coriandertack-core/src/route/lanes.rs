//! Classes of requests by length, and the slots kept for short ones.
//!
//! A class is long when its requests take several times as long as is typical for its service. Long
//! requests together never hold the slots kept for short ones, so a run of stragglers delays short
//! work by at most its own queue. A class without answers yet counts as long where the service
//! already knows another class, because holding back an unknown short class for a moment costs less
//! than letting unknown stragglers take every slot.

use crate::route::estimate::Estimate;

/// Factor of the typical response time from which on a class is long.
const LONG_FROM: f64 = 4.0;

/// Factor below which a long class is short again. The gap prevents flapping.
const SHORT_BELOW: f64 = 2.0;

/// Part of the slots kept for short work, in percent.
const KEPT_PERCENT: u32 = 40;

/// Slots that long requests may hold of `slots`.
///
/// With a single slot there is nothing to keep, and long work would otherwise never run.
#[must_use]
pub fn long_limit(slots: u32) -> u32 {
    match slots {
        0 | 1 => slots,
        slots => slots - (slots * KEPT_PERCENT).div_ceil(100),
    }
}

/// What is typical for a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Typical {
    log_ms: Estimate,
}

impl Typical {
    /// Takes in a response time in milliseconds.
    ///
    /// The mean of the logarithms is used, because a few stragglers would dominate a plain mean.
    pub fn add(&mut self, ms: f64) {
        self.log_ms.add(ms.max(0.01).ln());
    }

    /// Returns the typical response time in milliseconds, or nothing before the first answer.
    #[must_use]
    pub fn ms(&self) -> Option<f64> {
        (self.log_ms.samples() > 0).then(|| self.log_ms.mean().exp())
    }
}

/// Decides whether a class is long, given its estimate and what it was before.
#[must_use]
pub fn is_long(class: &Estimate, typical: Typical, was_long: bool) -> bool {
    let Some(typical) = typical.ms() else {
        return false;
    };
    if class.samples() == 0 {
        return true;
    }
    let factor = if was_long { SHORT_BELOW } else { LONG_FROM };
    class.mean() > factor * typical
}
