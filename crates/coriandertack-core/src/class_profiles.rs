//! Resource sizes and run times learned for each workload class.
//!
//! Declared sizes are often far from the actual use. Once a few tasks of a class have ended, its grants follow
//! the 95th percentile of the observed peaks, up to the declared size. The pool accounts for the grant and the
//! worker enforces it, so neither a wrong declaration nor a wrong estimate overcommits a worker: the task is
//! throttled, or runs out of memory and gets a larger grant for its next attempt.

use std::{collections::HashMap, sync::Arc};

use hdrhistogram::Histogram;

use crate::{message::EndCause, resources::Resources};

/// Minimum number of samples for the histograms of a class to replace the declaration.
const MIN_SAMPLES: u64 = 5;

/// Number of samples at which all counts of a histogram are halved, so that recent samples outweigh old ones.
const MAX_SAMPLES: u64 = 512;

/// Maximum number of classes tracked. A class takes up to about 10 kB.
const MAX_CLASSES: usize = 1_024;

/// Number of successes after an out-of-memory end before the memory grant may shrink again.
const SHRINK_AFTER: u32 = 20;

/// Quantile of the observed peaks that a grant follows.
const PEAK_QUANTILE: f64 = 0.95;

/// Grant in percent of the quantile, that is, with a margin of 20%.
const GRANT_PERCENT: u64 = 120;

/// Minimum grant. A task with less may fail to start.
const MIN_GRANT: Resources = Resources::new(100, 64, 0);

/// Quantile of the run times that decides whether a class is short.
const SHORT_QUANTILE: f64 = 0.95;

/// Maximum run time of a short class at its 95th percentile, in milliseconds.
pub const MAX_SHORT_RUN_MS: u64 = 1_000;

/// Resource use and result of an attempt that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Reason for the end.
    pub cause: EndCause,
    /// Run time in milliseconds.
    pub run_ms: u64,
    /// Highest use observed.
    pub peak: Resources,
    /// Resources granted to the attempt.
    pub grant: Resources,
}

/// Samples of one class.
#[derive(Clone, Debug)]
struct Class {
    run_ms: Histogram<u32>,
    millicores: Histogram<u32>,
    memory_mib: Histogram<u32>,
    /// Memory in MiB that grants may be raised to beyond the declared size, because attempts ran out of memory.
    raised_memory: u32,
    /// Number of successes since an attempt last ran out of memory.
    recent_successes: u32,
    /// Value of [`ClassProfiles::uses`] when the class was last updated, for eviction.
    last_used: u64,
}

impl Class {
    fn new(last_used: u64) -> Self {
        let (run_ms, millicores, memory_mib) = (histogram(), histogram(), histogram());
        Self { run_ms, millicores, memory_mib, raised_memory: 0, recent_successes: 0, last_used }
    }
}

/// Returns an empty histogram with 2 significant digits that resizes itself.
fn histogram() -> Histogram<u32> {
    Histogram::new(2).expect("2 digits are in the range of the library")
}

/// Records a value, and halves all counts when the histogram reaches [`MAX_SAMPLES`].
fn record_sample(histogram: &mut Histogram<u32>, value: u64) {
    // The histogram resizes itself, so recording fails only for values that would need an impossible size.
    let _ = histogram.record(value);
    if histogram.len() < MAX_SAMPLES {
        return;
    }
    let counts: Vec<(u64, u32)> = histogram
        .iter_recorded()
        .map(|step| (step.value_iterated_to(), step.count_at_value() / 2))
        .collect();
    histogram.reset();
    for (value, count) in counts {
        // The value was recorded before, so it is in range.
        let _ = histogram.record_n(value, count);
    }
}

/// Learned sizes and run times by class.
#[derive(Clone, Debug, Default)]
pub struct ClassProfiles {
    classes: HashMap<Arc<str>, Class>,
    /// Distinct worker capacities, which bound the memory that a grant can be raised to.
    capacities: Vec<Resources>,
    /// Number of updates so far.
    uses: u64,
}

impl ClassProfiles {
    /// Sets the capacities of the workers, which bound raised memory grants.
    pub fn set_capacities(&mut self, capacities: impl IntoIterator<Item = Resources>) {
        self.capacities.clear();
        for capacity in capacities {
            if !self.capacities.contains(&capacity) {
                self.capacities.push(capacity);
            }
        }
    }

    /// Records the end of an attempt.
    ///
    /// Only successful attempts yield samples of run time and peak use. An attempt that ran out of memory shows
    /// that its peak would have exceeded its grant, so it counts as twice the grant.
    pub fn record_end(&mut self, class: &Arc<str>, end: &AttemptEnd) {
        let class = self.class_mut(class);
        match end.cause {
            EndCause::Succeeded => {
                class.recent_successes = class.recent_successes.saturating_add(1);
                record_sample(&mut class.run_ms, end.run_ms);
                record_sample(&mut class.millicores, u64::from(end.peak.millicores));
                record_sample(&mut class.memory_mib, u64::from(end.peak.memory_mib));
            }
            EndCause::OutOfMemory => {
                let doubled = end.grant.memory_mib.saturating_mul(2);
                class.raised_memory = class.raised_memory.max(doubled);
                class.recent_successes = 0;
                record_sample(&mut class.memory_mib, u64::from(doubled));
            }
            EndCause::Failed | EndCause::Stopped | EndCause::LeaseExpired | EndCause::Refused => {}
        }
    }

    /// Records the use of a running task, such as a service, which may never end by itself.
    pub fn record_usage(&mut self, class: &Arc<str>, peak: Resources) {
        let class = self.class_mut(class);
        record_sample(&mut class.millicores, u64::from(peak.millicores));
        record_sample(&mut class.memory_mib, u64::from(peak.memory_mib));
    }

    fn class_mut(&mut self, name: &Arc<str>) -> &mut Class {
        self.uses += 1;
        if !self.classes.contains_key(name) && self.classes.len() >= MAX_CLASSES {
            self.evict();
        }
        let uses = self.uses;
        let class = self.classes.entry(Arc::clone(name)).or_insert_with(|| Class::new(uses));
        class.last_used = uses;
        class
    }

    /// Removes the least recently updated class.
    fn evict(&mut self) {
        let least_recent = self.classes.iter().min_by_key(|(_, class)| class.last_used);
        if let Some(name) = least_recent.map(|(name, _)| Arc::clone(name)) {
            self.classes.remove(&name);
        }
    }

    /// Returns the resources to grant to a task of a class.
    ///
    /// Accelerators are exclusive and indivisible, so they are granted as declared.
    #[must_use]
    pub fn recommended_grant(&self, class: &str, declared: Resources) -> Resources {
        let Some(known) = self.classes.get(class) else {
            return declared;
        };
        let raised_memory = known.raised_memory.min(self.max_memory(declared));
        let upper = Resources { memory_mib: declared.memory_mib.max(raised_memory), ..declared };
        // After an out-of-memory end, the next grant must be larger regardless of the quantile.
        let min_memory = if known.recent_successes < SHRINK_AFTER {
            MIN_GRANT.memory_mib.max(raised_memory)
        } else {
            MIN_GRANT.memory_mib
        };
        Resources {
            millicores: learned_size(&known.millicores, MIN_GRANT.millicores, upper.millicores),
            memory_mib: learned_size(&known.memory_mib, min_memory, upper.memory_mib),
            accelerators: declared.accelerators,
        }
    }

    /// Returns the largest memory among the workers that have the other declared resources.
    fn max_memory(&self, declared: Resources) -> u32 {
        let other = Resources { memory_mib: 0, ..declared };
        let suitable = self.capacities.iter().filter(|capacity| other.fits(**capacity));
        suitable.map(|capacity| capacity.memory_mib).max().unwrap_or(declared.memory_mib)
    }

    /// Returns the expected run time in milliseconds: the median if enough samples exist, otherwise `declared_ms`.
    #[must_use]
    pub fn expected_run_ms(&self, class: &str, declared_ms: u64) -> u64 {
        let known = self.classes.get(class).filter(|class| class.run_ms.len() >= MIN_SAMPLES);
        known.map_or(declared_ms, |class| class.run_ms.value_at_quantile(0.5))
    }

    /// Returns a quantile of the run times of a class, or `None` if there are too few samples.
    #[must_use]
    pub fn run_quantile_ms(&self, class: &str, quantile: f64) -> Option<u64> {
        let known = self.classes.get(class).filter(|class| class.run_ms.len() >= MIN_SAMPLES)?;
        Some(known.run_ms.value_at_quantile(quantile))
    }

    /// Returns whether 95% of the tasks of a class end within [`MAX_SHORT_RUN_MS`]. An unknown class is not short.
    #[must_use]
    pub fn is_short(&self, class: &str) -> bool {
        self.run_quantile_ms(class, SHORT_QUANTILE).is_some_and(|run_ms| run_ms <= MAX_SHORT_RUN_MS)
    }

    /// Returns the number of classes tracked.
    #[must_use]
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }
}

/// Returns the learned size, clamped to `min..=max`, or `max` if there are too few samples.
///
/// If `max` is below `min`, as for a declaration smaller than [`MIN_GRANT`], the result is `max`.
fn learned_size(peaks: &Histogram<u32>, min: u32, max: u32) -> u32 {
    if peaks.len() < MIN_SAMPLES {
        return max;
    }
    let peak = peaks.value_at_quantile(PEAK_QUANTILE) * GRANT_PERCENT / 100;
    u32::try_from(peak).unwrap_or(u32::MAX).clamp(min.min(max), max)
}
