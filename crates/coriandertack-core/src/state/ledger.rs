//! Charges: what each team used.
//!
//! A lease reports its usage as numbered intervals. A span of intervals is charged only if it begins
//! at the lease's watermark, so that late, doubled and reordered reports charge each interval once.
//! The sums are kept by team, kind and hour.

use std::collections::BTreeMap;

use crate::{
    code::Code,
    keys::{JobId, LeaseId},
    record::{Kind, Usage, UsageSpan},
    state::{ApplyEffect, ApplyResult, State},
};

/// Length of the periods by which charges are summed.
pub const CHARGE_PERIOD_MS: u64 = 3_600_000;

/// What a charge is summed by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChargeKey {
    /// Start of the period, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Team charged.
    pub team: String,
    /// Kind of the workload.
    pub kind: Kind,
}

/// A sum of charges.
#[derive(Clone, Debug, PartialEq)]
pub struct ChargeLine {
    /// What it is the sum of.
    pub key: ChargeKey,
    /// The sum.
    pub usage: Usage,
}

/// The charges of all teams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// First interval not yet charged, by lease.
    pub watermarks: BTreeMap<LeaseId, u32>,
    /// Sums by period, team and kind.
    pub sums: BTreeMap<ChargeKey, Usage>,
}

impl Ledger {
    /// Returns the first interval of a lease that is not charged yet.
    #[must_use]
    pub fn watermark(&self, lease: LeaseId) -> u32 {
        self.watermarks.get(&lease).copied().unwrap_or(0)
    }

    /// Returns the sums in the order of their periods.
    pub fn charges(&self) -> impl Iterator<Item = ChargeLine> + '_ {
        self.sums.iter().map(|(key, &usage)| ChargeLine { key: key.clone(), usage })
    }

    /// Returns all that a team was charged.
    #[must_use]
    pub fn total(&self, team: &str) -> Usage {
        let own = self.sums.iter().filter(|(key, _)| key.team == team);
        own.fold(Usage::default(), |sum, (_, &usage)| sum + usage)
    }

    /// Drops the watermarks of a job that is no longer kept.
    pub(super) fn forget(&mut self, job: JobId) {
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

    /// Charges one span. Returns whether it was charged now; a span already charged is not an error.
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
