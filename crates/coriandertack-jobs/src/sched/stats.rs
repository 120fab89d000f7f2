//! What the scheduler did, in numbers for the metrics.

use crate::report::{EndCause, StartRefusal};

/// Numbers that tell what the scheduler did.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulerStats {
    /// Tasks bound to a worker.
    pub bound: u64,
    /// Ends of runs by cause: done, failed, stopped, lapsed, broken, alone.
    pub ends: [u64; EndCause::ALL.len()],
    /// Runs that were lost with their worker.
    pub lost: u64,
    /// Starts that workers refused, by reason.
    pub refused: [u64; StartRefusal::COUNT],
    /// Runs stopped because they stood still.
    pub stalled: u64,
    /// Calls for advice.
    pub advice: u64,
    /// Workers taken out of use because of their results.
    pub quarantined: u64,
}

impl SchedulerStats {
    /// Adds what was done meanwhile.
    pub fn merge(&mut self, more: &Self) {
        self.bound += more.bound;
        self.lost += more.lost;
        self.stalled += more.stalled;
        self.advice += more.advice;
        self.quarantined += more.quarantined;
        let sums = self.ends.iter_mut().chain(&mut self.refused);
        sums.zip(more.ends.iter().chain(&more.refused)).for_each(|(sum, part)| *sum += part);
    }
}
