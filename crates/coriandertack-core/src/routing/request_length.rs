//! Long and short classes of requests, and the slots reserved for the short ones.
//!
//! A class is long if its requests take several times as long as is typical for its service. Long requests
//! together never take the slots reserved for short ones, so a run of stragglers delays a short request by
//! no more than the short queue. A class without responses yet counts as long if the service already has
//! measured classes: holding back a short class for a moment costs less than letting stragglers of an
//! unknown class take every slot.

use crate::routing::estimate::EwmaEstimate;

/// Multiple of the typical response time above which a class becomes long.
const LONG_FACTOR: f64 = 4.0;

/// Multiple at or below which a long class becomes short again. The hysteresis prevents flapping.
const SHORT_FACTOR: f64 = 2.0;

/// Minimum share of the slots reserved for short requests, in percent, unless the settings override it. It
/// absorbs a sudden rise of short requests.
pub const MIN_SHORT_PERCENT: u32 = 25;

/// Maximum share of the slots that demand from short requests reserves, in percent, so that long requests
/// keep making progress.
const MAX_SHORT_PERCENT: u32 = 75;

/// Returns how many of `slots` long requests may take, given that short ones rarely need more than
/// `short_peak` and that at least `min_percent` of the slots are reserved for them.
///
/// A single slot is not reserved, because long requests would then never run.
#[must_use]
pub fn max_long_slots(slots: u32, short_peak: f64, min_percent: u32) -> u32 {
    if slots <= 1 {
        return slots;
    }
    let slots_for = |percent: u32| (slots * percent).div_ceil(100);
    // The clamp keeps the result within the range of a u32.
    let reserved = (short_peak.ceil() as u32)
        .clamp(slots_for(min_percent), slots_for(MAX_SHORT_PERCENT.max(min_percent)));
    slots - reserved.min(slots - 1)
}

/// Weight of a new response in the typical response time. It is small, so that a run of responses from one
/// slow instance or one long class does not become typical.
const TYPICAL_GAIN: f64 = 1.0 / 64.0;

/// Typical response time of a service or a class.
#[derive(Clone, Copy, Debug, Default)]
pub struct TypicalLatency {
    log_ms: EwmaEstimate,
}

impl TypicalLatency {
    /// Records a response time in milliseconds.
    ///
    /// The mean is taken over logarithms, because a few stragglers would dominate a plain mean.
    pub fn add(&mut self, ms: f64) {
        self.log_ms.add_weighted(TYPICAL_GAIN, ms.max(0.01).ln());
    }

    /// Returns the typical response time in milliseconds, or `None` before the first response.
    #[must_use]
    pub fn ms(&self) -> Option<f64> {
        (self.log_ms.sample_count() > 0).then(|| self.log_ms.mean().exp())
    }
}

/// Returns whether a class is long, given its response times and whether it was long before.
#[must_use]
pub fn is_long(class: &EwmaEstimate, typical: TypicalLatency, was_long: bool) -> bool {
    let Some(typical) = typical.ms() else {
        return false;
    };
    if class.sample_count() == 0 {
        return true;
    }
    let factor = if was_long { SHORT_FACTOR } else { LONG_FACTOR };
    class.mean() > factor * typical
}
