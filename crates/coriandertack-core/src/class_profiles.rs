//! Sizes and run times learned by class.
//!
//! Declarations are often far from what tasks use. After a few ends of a class, its grant follows the 95th
//! percentile of the peaks seen, within the declared size. The grant is what the pool accounts for and what the
//! worker enforces, so a wrong declaration or a wrong lesson never overcommits a worker: the task is throttled, or
//! ends out of memory and gets more at its next attempt.

use std::{collections::HashMap, sync::Arc};

use hdrhistogram::Histogram;

use crate::{message::EndCause, resources::Resources};

/// Ends of a class after which its histograms replace the declaration.
const ENOUGH: u64 = 5;

/// Samples after which old ones lose half their weight, so that a class can change.
const WINDOW: u64 = 512;

/// Classes remembered; a class takes some 10 kB at most.
const MAX_CLASSES: usize = 1_024;

/// Successes after an out-of-memory end before grants may shrink again.
const CALM_AFTER: u32 = 20;

/// Quantile of the peaks that a grant follows.
const PEAK_QUANTILE: f64 = 0.95;

/// Margin above the quantile, in percent.
const MARGIN_PERCENT: u64 = 120;

/// Least grant: below this, a task may not even start.
const FLOOR: Resources = Resources::new(100, 64, 0);

/// Quantile of the run times below which a class is short.
const SHORT_QUANTILE: f64 = 0.95;

/// Run time up to which a class is short, in milliseconds.
pub const MAX_SHORT_RUN_MS: u64 = 1_000;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Why it ended.
    pub cause: EndCause,
    /// How long it ran, in milliseconds.
    pub run_ms: u64,
    /// Highest use seen.
    pub peak: Resources,
    /// What it was granted.
    pub grant: Resources,
}

/// What is known of a class.
#[derive(Clone, Debug)]
struct Class {
    run_ms: Histogram<u32>,
    millicores: Histogram<u32>,
    memory_mib: Histogram<u32>,
    /// Memory above the declared size that grants may have, because attempts ran out of it.
    raised: u32,
    /// Successes since an attempt last ran out of memory.
    calm: u32,
    /// When it was used last, in number of uses of the class profiles.
    used: u64,
}

impl Class {
    fn new(used: u64) -> Self {
        let (run_ms, millicores, memory_mib) = (histogram(), histogram(), histogram());
        Self { run_ms, millicores, memory_mib, raised: 0, calm: 0, used }
    }
}

/// Returns a histogram that keeps 2 digits and grows with its largest value.
fn histogram() -> Histogram<u32> {
    Histogram::new(2).expect("2 digits are in the range of the library")
}

/// Adds a value, and halves all counts once there are [`WINDOW`].
fn note(histogram: &mut Histogram<u32>, value: u64) {
    // The histogram grows as needed; only a value that no memory could index is refused.
    let _ = histogram.record(value);
    if histogram.len() < WINDOW {
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

/// Sizes and run times by class.
#[derive(Clone, Debug, Default)]
pub struct ClassProfiles {
    classes: HashMap<Arc<str>, Class>,
    /// Different capacities of the workers, which limit what a grant can be raised to.
    shapes: Vec<Resources>,
    uses: u64,
}

impl ClassProfiles {
    /// Notes what the workers have.
    pub fn set_capacities(&mut self, capacities: impl IntoIterator<Item = Resources>) {
        self.shapes.clear();
        for capacity in capacities {
            if !self.shapes.contains(&capacity) {
                self.shapes.push(capacity);
            }
        }
    }

    /// Notes the end of an attempt.
    ///
    /// Only complete runs tell the run time and the peak; an attempt that ran out of memory tells that its peak
    /// would have been higher than its grant.
    pub fn record_end(&mut self, class: &Arc<str>, end: &AttemptEnd) {
        let class = self.class_mut(class);
        match end.cause {
            EndCause::Succeeded => {
                class.calm = class.calm.saturating_add(1);
                note(&mut class.run_ms, end.run_ms);
                note(&mut class.millicores, u64::from(end.peak.millicores));
                note(&mut class.memory_mib, u64::from(end.peak.memory_mib));
            }
            EndCause::OutOfMemory => {
                let doubled = end.grant.memory_mib.saturating_mul(2);
                class.raised = class.raised.max(doubled);
                class.calm = 0;
                note(&mut class.memory_mib, u64::from(doubled));
            }
            EndCause::Failed | EndCause::Stopped | EndCause::LeaseExpired | EndCause::Refused => {}
        }
    }

    /// Notes the use of a task that still runs, as of a service, which may never end by itself.
    pub fn record_usage(&mut self, class: &Arc<str>, peak: Resources) {
        let class = self.class_mut(class);
        note(&mut class.millicores, u64::from(peak.millicores));
        note(&mut class.memory_mib, u64::from(peak.memory_mib));
    }

    fn class_mut(&mut self, name: &Arc<str>) -> &mut Class {
        self.uses += 1;
        if !self.classes.contains_key(name) && self.classes.len() >= MAX_CLASSES {
            self.evict();
        }
        let uses = self.uses;
        let class = self.classes.entry(Arc::clone(name)).or_insert_with(|| Class::new(uses));
        class.used = uses;
        class
    }

    fn evict(&mut self) {
        let oldest = self.classes.iter().min_by_key(|(_, class)| class.used);
        if let Some(name) = oldest.map(|(name, _)| Arc::clone(name)) {
            self.classes.remove(&name);
        }
    }

    /// Returns what to grant to a task of a class.
    ///
    /// Accelerators are whole and held alone, so they are granted as declared.
    #[must_use]
    pub fn recommended_grant(&self, class: &str, declared: Resources) -> Resources {
        let Some(known) = self.classes.get(class) else {
            return declared;
        };
        let raised = known.raised.min(self.most_memory(declared));
        let most = Resources { memory_mib: declared.memory_mib.max(raised), ..declared };
        // The attempt after one that ran out of memory must be larger, whatever the quantile says.
        let least =
            if known.calm < CALM_AFTER { FLOOR.memory_mib.max(raised) } else { FLOOR.memory_mib };
        Resources {
            millicores: learned(&known.millicores, FLOOR.millicores, most.millicores),
            memory_mib: learned(&known.memory_mib, least, most.memory_mib),
            accelerators: declared.accelerators,
        }
    }

    /// Returns the most memory of a worker that has the other resources declared.
    fn most_memory(&self, declared: Resources) -> u32 {
        let other = Resources { memory_mib: 0, ..declared };
        let able = self.shapes.iter().filter(|shape| other.fits(**shape));
        able.map(|shape| shape.memory_mib).max().unwrap_or(declared.memory_mib)
    }

    /// Returns the run time to expect in milliseconds: the median if it is known, otherwise as declared.
    #[must_use]
    pub fn expected_run_ms(&self, class: &str, declared_ms: u64) -> u64 {
        let known = self.classes.get(class).filter(|class| class.run_ms.len() >= ENOUGH);
        known.map_or(declared_ms, |class| class.run_ms.value_at_quantile(0.5))
    }

    /// Returns a quantile of the run times of a class, once enough are known.
    #[must_use]
    pub fn run_quantile_ms(&self, class: &str, quantile: f64) -> Option<u64> {
        let known = self.classes.get(class).filter(|class| class.run_ms.len() >= ENOUGH)?;
        Some(known.run_ms.value_at_quantile(quantile))
    }

    /// Tells whether nearly all tasks of a class are over within [`MAX_SHORT_RUN_MS`]. An unknown class is not short.
    #[must_use]
    pub fn is_short(&self, class: &str) -> bool {
        self.run_quantile_ms(class, SHORT_QUANTILE).is_some_and(|run_ms| run_ms <= MAX_SHORT_RUN_MS)
    }

    /// Returns the number of classes remembered.
    #[must_use]
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }
}

/// Returns the learned size between `least` and `most`, or `most` if too little is known.
///
/// A declaration below the floor is taken as it is.
fn learned(peaks: &Histogram<u32>, least: u32, most: u32) -> u32 {
    if peaks.len() < ENOUGH {
        return most;
    }
    let peak = peaks.value_at_quantile(PEAK_QUANTILE) * MARGIN_PERCENT / 100;
    u32::try_from(peak).unwrap_or(u32::MAX).clamp(least.min(most), most)
}
