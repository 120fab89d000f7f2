//! Audit trail of changes by operators, including refused ones.
//!
//! The trail is part of the replicated state, so every VM returns the same entries. It keeps the newest
//! [`MAX_AUDIT_CHANGES`] changes of configuration and membership and, separately, the newest
//! [`MAX_AUDIT_JOBS`] submissions and cancellations, because thousands of jobs a day must not displace the
//! changes of configuration.

use std::collections::VecDeque;

use crate::{
    keys::Offset,
    record::{Entry, Record},
    state::{ApplyResult, State},
};

/// Changes of configuration and membership that are kept: over 11 days at the target load of 460
/// configuration changes and 400 joins and leaves a day.
pub const MAX_AUDIT_CHANGES: usize = 10_000;

/// Submissions and cancellations that are kept: about 5 hours at the target load of 9,400 jobs a day. The
/// jobs themselves are kept for longer.
pub const MAX_AUDIT_JOBS: usize = 2_000;

/// Prefix of the action of a submission.
const SUBMIT: &str = "submit ";

/// Prefix of the action of a cancellation.
const CANCEL: &str = "cancel job ";

/// Characters of a value that an entry keeps; longer values are truncated.
const MAX_VALUE_CHARS: usize = 400;

/// A change that was made or refused.
#[derive(Clone, Debug, PartialEq)]
pub struct AuditEntry {
    /// Offset of the batch that contains the change.
    pub offset: Offset,
    /// Index of the change in that batch.
    pub index: u32,
    /// Wall-clock time at the writer, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Name of the token that requested the change, or `system`.
    pub actor: String,
    /// What was requested, for example `set setting log.level`.
    pub action: String,
    /// Value before the change, or empty if there was none.
    pub before: String,
    /// Value after the change, or empty if there is none.
    pub after: String,
    /// Number of the result [`Code`](crate::code::Code).
    pub code: u16,
}

/// Bounded list of audit entries.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AuditTrail {
    /// Changes of configuration and membership, oldest first.
    changes: VecDeque<AuditEntry>,
    /// Submissions and cancellations, oldest first.
    job_entries: VecDeque<AuditEntry>,
}

impl AuditTrail {
    /// Builds a trail from entries in order, oldest first.
    #[must_use]
    pub fn from_entries(entries: Vec<AuditEntry>) -> Self {
        let mut audit = Self::default();
        entries.into_iter().for_each(|entry| audit.push(entry));
        audit
    }

    /// Returns all entries in log order, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &AuditEntry> {
        let (mut changes, mut job_entries) =
            (self.changes.iter().peekable(), self.job_entries.iter().peekable());
        std::iter::from_fn(move || {
            let next_job = job_entries.peek().map(|entry| entry.position());
            let is_change =
                |entry: &&AuditEntry| next_job.is_none_or(|position| entry.position() < position);
            changes.next_if(is_change).or_else(|| job_entries.next())
        })
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.changes.len() + self.job_entries.len()
    }

    /// Returns whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn push(&mut self, entry: AuditEntry) {
        let (entries, limit) = if entry.is_job_entry() {
            (&mut self.job_entries, MAX_AUDIT_JOBS)
        } else {
            (&mut self.changes, MAX_AUDIT_CHANGES)
        };
        if entries.len() == limit {
            entries.pop_front();
        }
        entries.push_back(entry);
    }
}

impl AuditEntry {
    /// Returns the position of the entry in the log: the offset of its batch and its index there.
    #[must_use]
    pub fn position(&self) -> (Offset, u32) {
        (self.offset, self.index)
    }

    /// Returns whether the entry is a submission or a cancellation of a job.
    fn is_job_entry(&self) -> bool {
        self.action.starts_with(SUBMIT) || self.action.starts_with(CANCEL)
    }
}

impl State {
    /// Returns the current value of the object that a record is about to change.
    pub(super) fn audited_value_before(&self, record: &Record) -> String {
        let text = match record {
            Record::Team(change) => self.team(&change.name).map(|team| format!("{:?}", team.spec)),
            Record::Setting(change) => {
                self.settings.get(&change.name).and_then(|setting| setting.value.clone())
            }
            Record::Cordon(cordon) => {
                self.worker(&cordon.worker).map(|worker| format!("cordoned={}", worker.cordoned))
            }
            _ => None,
        };
        truncate(text.unwrap_or_default())
    }

    /// Adds an entry if the record is a kind of change that is audited.
    pub(super) fn push_audit_entry(
        &mut self,
        offset: Offset,
        index: usize,
        entry: &Entry,
        before: String,
        result: ApplyResult,
    ) {
        let Some((action, after)) = describe(&entry.record) else {
            return;
        };
        self.audit.push(AuditEntry {
            offset,
            index: u32::try_from(index).unwrap_or(u32::MAX),
            at_ms: entry.at_ms,
            actor: entry.actor.clone(),
            action,
            before,
            after: truncate(after),
            code: result.map_or_else(|code| code.number(), |_| crate::code::Code::Done.number()),
        });
    }
}

/// Returns the action and the new value of an audited record, or `None` for other records.
fn describe(record: &Record) -> Option<(String, String)> {
    match record {
        Record::Team(change) => {
            let after = change.spec.as_ref().map(|spec| format!("{spec:?}")).unwrap_or_default();
            Some((format!("set team {}", change.name), after))
        }
        Record::Setting(change) => {
            Some((format!("set setting {}", change.name), change.value.clone().unwrap_or_default()))
        }
        Record::Cordon(cordon) => Some((
            format!("cordon worker {}", cordon.worker),
            format!("cordoned={}", cordon.cordoned),
        )),
        Record::Accept(spec) => {
            let after = format!("kind={} tasks={} need={}", spec.kind, spec.tasks, spec.need);
            Some((format!("{SUBMIT}{}/{}", spec.team, spec.name), after))
        }
        Record::Cancel(job) => Some((format!("{CANCEL}{job}"), String::new())),
        Record::Refused(refusal) => Some((refusal.action.clone(), String::new())),
        Record::Join(join) => Some((format!("join vm {}", join.name), join.http.to_string())),
        Record::Leave => Some(("leave".into(), String::new())),
        Record::Fence(session) => Some((format!("fence session {session}"), String::new())),
        _ => None,
    }
}

fn truncate(text: String) -> String {
    match text.char_indices().nth(MAX_VALUE_CHARS) {
        Some((at, _)) => format!("{}...", &text[..at]),
        None => text,
    }
}
