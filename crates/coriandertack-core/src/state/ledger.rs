//! Accounting of resource usage by team.
//!
//! A lease reports its usage in numbered intervals. A span of intervals is charged only if it starts
//! at the lease's watermark, so late, duplicated and reordered reports charge each interval once.
//! Usage is summed by team, kind of workload and hour.

use std::collections::BTreeMap;

use crate::{
    code::Code,
    keys::{JobId, LeaseId},
    record::{Kind, Usage, UsageSpan},
    state::{ApplyEffect, ApplyResult, State},
};

/// Length of the accounting periods in which usage is summed.
pub const CHARGE_PERIOD_MS: u64 = 3_600_000;

/// Key of a sum of charges.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChargeKey {
    /// Start of the period, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Name of the charged team.
    pub team: String,
    /// Kind of the workload.
    pub kind: Kind,
}

/// Usage charged to one team for one kind of workload in one period.
#[derive(Clone, Debug, PartialEq)]
pub struct ChargeLine {
    /// Period, team and kind that the sum covers.
    pub key: ChargeKey,
    /// Total usage under this key.
    pub usage: Usage,
}

/// Charged usage of all teams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// First interval not yet charged, by lease.
    pub watermarks: BTreeMap<LeaseId, u32>,
    /// Total usage by period, team and kind.
    pub sums: BTreeMap<ChargeKey, Usage>,
}

impl Ledger {
    /// Returns the first interval of a lease that has not been charged.
    #[must_use]
    pub fn watermark(&self, lease: LeaseId) -> u32 {
        self.watermarks.get(&lease).copied().unwrap_or(0)
    }

    /// Returns all charges, ordered by period, team and kind.
    pub fn charges(&self) -> impl Iterator<Item = ChargeLine> + '_ {
        self.sums.iter().map(|(key, &usage)| ChargeLine { key: key.clone(), usage })
    }

    /// Returns the total usage charged to a team.
    #[must_use]
    pub fn total(&self, team: &str) -> Usage {
        let own = self.sums.iter().filter(|(key, _)| key.team == team);
        own.fold(Usage::default(), |sum, (_, &usage)| sum + usage)
    }

    /// Removes the watermarks of a job that has been pruned.
    pub(super) fn remove_watermarks(&mut self, job: JobId) {
        self.watermarks.retain(|lease, _| lease.task.job != job);
    }
}

impl State {
    pub(super) fn charge(&mut self, spans: &[UsageSpan]) -> ApplyResult {
        let mut result = Ok(ApplyEffect::Unchanged);
        for span in spans {
            match self.charge_span(span) {
                Ok(true) => result = result.map(|_| ApplyEffect::Done),
                Ok(false) => {}
                Err(code) => result = Err(code),
            }
        }
        result
    }

    /// Charges one span and returns whether it was new. A span that was already charged is not an error.
    fn charge_span(&mut self, span: &UsageSpan) -> Result<bool, Code> {
        let job = self.jobs.get(span.lease.task.job).ok_or(Code::NotFound)?;
        let key = ChargeKey {
            start_ms: span.end_ms - span.end_ms % CHARGE_PERIOD_MS,
            team: job.spec.team.clone(),
            kind: job.spec.kind,
        };
        let watermark = self.ledger.watermark(span.lease);
        if span.to <= watermark {
            return Ok(false);
        }
        if span.from != watermark || span.to <= span.from {
            return Err(Code::Conflict);
        }
        self.ledger.watermarks.insert(span.lease, span.to);
        *self.ledger.sums.entry(key).or_default() += span.usage;
        Ok(true)
    }
}
