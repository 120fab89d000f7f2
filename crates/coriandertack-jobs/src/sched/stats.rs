//! Counters of the scheduler, exported as metrics.

use super::LossCause;

use crate::report::{EndCause, StartRefusal};

/// Counters of the scheduler.
#[derive(Clone, Copy, Debug, Default)]
pub struct SchedulerStats {
    /// Number of tasks bound to a worker.
    pub bound: u64,
    /// Number of ended runs by cause, in the order of [`EndCause::ALL`].
    pub ends: [u64; EndCause::ALL.len()],
    /// Number of runs lost with their worker by cause, in the order of [`LossCause::ALL`].
    pub lost: [u64; LossCause::ALL.len()],
    /// Number of runs that a list omitted: of those that were not known to have started, and of the others.
    pub unlisted: [u64; 2],
    /// Number of starts that were sent again because a list omitted the run.
    pub repeated: u64,
    /// Number of refused starts by reason, in the order of [`StartRefusal::ALL`].
    pub refused: [u64; StartRefusal::COUNT],
    /// Number of runs stopped because they made no progress.
    pub stalled: u64,
    /// Number of advice calls.
    pub advice: u64,
    /// Number of jobs that failed because a task crashed its workers.
    pub given_up: u64,
    /// Number of times a worker was quarantined because its runs failed.
    pub quarantined: u64,
}

impl SchedulerStats {
    /// Adds the counters of another period.
    pub fn merge(&mut self, more: &Self) {
        self.bound += more.bound;
        self.stalled += more.stalled;
        self.repeated += more.repeated;
        self.advice += more.advice;
        self.quarantined += more.quarantined;
        self.given_up += more.given_up;
        let sums = self
            .ends
            .iter_mut()
            .chain(&mut self.refused)
            .chain(&mut self.lost)
            .chain(&mut self.unlisted);
        let parts = more.ends.iter().chain(&more.refused).chain(&more.lost).chain(&more.unlisted);
        sums.zip(parts).for_each(|(sum, part)| *sum += part);
    }
}
