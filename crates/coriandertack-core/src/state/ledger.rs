//! Charges: what each team used.
//!
//! A lease reports its usage as numbered intervals. A span of intervals is charged only if it begins
//! at the lease's watermark, so that late, doubled and reordered reports charge each interval once.
//! The sums are kept by team, kind and hour.

use std::collections::BTreeMap;

use crate::{
    code::Code,
    keys::{JobId, LeaseId},
    record::{Kind, Span, Usage},
    state::{Applied, State, Verdict},
};

/// Length of the periods by which charges are summed.
pub const PERIOD_MS: u64 = 3_600_000;

/// What a charge is summed by.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LineKey {
    /// Start of the period, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// Team charged.
    pub team: String,
    /// Kind of the workload.
    pub kind: Kind,
}

/// A sum of charges.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// What it is the sum of.
    pub key: LineKey,
    /// The sum.
    pub usage: Usage,
}

/// The charges of all teams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// First interval not yet charged, by lease.
    pub marks: BTreeMap<LeaseId, u32>,
    /// Sums by period, team and kind.
    pub sums: BTreeMap<LineKey, Usage>,
}

impl Ledger {
    /// Returns the first interval of a lease that is not charged yet.
    #[must_use]
    pub fn mark(&self, lease: LeaseId) -> u32 {
        self.marks.get(&lease).copied().unwrap_or(0)
    }

    /// Returns the sums in the order of their periods.
    pub fn lines(&self) -> impl Iterator<Item = Line> + '_ {
        self.sums.iter().map(|(key, &usage)| Line { key: key.clone(), usage })
    }

    /// Returns all that a team was charged.
    #[must_use]
    pub fn total(&self, team: &str) -> Usage {
        let own = self.sums.iter().filter(|(key, _)| key.team == team);
        own.fold(Usage::default(), |sum, (_, &usage)| sum + usage)
    }

    /// Drops the watermarks of a job that is no longer kept.
    pub(super) fn forget(&mut self, job: JobId) {
        self.marks.retain(|lease, _| lease.task.job != job);
    }
}

impl State {
    pub(super) fn charge(&mut self, spans: &[Span]) -> Verdict {
        let mut verdict = Ok(Applied::Unchanged);
        for span in spans {
            match self.charge_span(span) {
                Ok(true) => verdict = verdict.map(|_| Applied::Done),
                Ok(false) => {}
                Err(code) => verdict = Err(code),
            }
        }
        verdict
    }

    /// Charges one span. Returns whether it was charged now; a span already charged is not an error.
    fn charge_span(&mut self, span: &Span) -> Result<bool, Code> {
        let job = self.jobs.get(span.lease.task.job).ok_or(Code::NotFound)?;
        let key = LineKey {
            start_ms: span.end_ms - span.end_ms % PERIOD_MS,
            team: job.spec.team.clone(),
            kind: job.spec.kind,
        };
        let mark = self.ledger.mark(span.lease);
        if span.to <= mark {
            return Ok(false);
        }
        if span.from != mark || span.to <= span.from {
            return Err(Code::Conflict);
        }
        self.ledger.marks.insert(span.lease, span.to);
        *self.ledger.sums.entry(key).or_default() += span.usage;
        Ok(true)
    }
}
