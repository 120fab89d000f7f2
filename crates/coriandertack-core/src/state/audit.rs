//! Trail of the changes that operators made, and of those that were refused.
//!
//! The trail is part of the replicated state, so every VM gives the same answer. It keeps the newest
//! [`MAX_AUDIT_CHANGES`] changes of configuration and membership, and apart from them the newest [`MAX_AUDIT_JOBS`]
//! submissions and cancellations: thousands of jobs a day must not push out the changes of configuration.

use std::collections::VecDeque;

use crate::{
    keys::Offset,
    record::{Entry, Record},
    state::{ApplyResult, State},
};

/// Changes of configuration and membership kept: over 11 days at the target's 460 changes of configuration
/// and 400 joins and leaves a day.
pub const MAX_AUDIT_CHANGES: usize = 10_000;

/// Submissions and cancellations kept: about 5 hours at the target's 9,400 jobs a day. The jobs themselves are
/// kept for longer.
pub const MAX_AUDIT_JOBS: usize = 2_000;

/// Start of the action of a submission.
const SUBMIT: &str = "submit ";

/// Start of the action of a cancellation.
const CANCEL: &str = "cancel job ";

/// The most characters of a value that an entry keeps.
const MAX_TEXT: usize = 400;

/// One change, made or refused.
#[derive(Clone, Debug, PartialEq)]
pub struct AuditEntry {
    /// Offset of the batch that held the change.
    pub offset: Offset,
    /// Index in that batch.
    pub index: u32,
    /// Wall-clock time of the writer in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who asked for it.
    pub actor: String,
    /// What was asked, for example `set setting class_queues`.
    pub action: String,
    /// The value before, empty if there was none.
    pub before: String,
    /// The value after, empty if there is none.
    pub after: String,
    /// Number of the result code.
    pub code: u16,
}

/// The trail.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AuditTrail {
    /// Changes of configuration and membership, oldest first.
    changes: VecDeque<AuditEntry>,
    /// Submissions and cancellations, oldest first.
    work: VecDeque<AuditEntry>,
}

impl AuditTrail {
    /// Returns the trail that holds these entries, oldest first.
    #[must_use]
    pub fn from_entries(entries: Vec<AuditEntry>) -> Self {
        let mut audit = Self::default();
        entries.into_iter().for_each(|entry| audit.push(entry));
        audit
    }

    /// Returns all entries, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &AuditEntry> {
        let (mut changes, mut work) = (self.changes.iter().peekable(), self.work.iter().peekable());
        std::iter::from_fn(move || {
            let next_work = work.peek().map(|entry| entry.position());
            let is_change =
                |entry: &&AuditEntry| next_work.is_none_or(|place| entry.position() < place);
            changes.next_if(is_change).or_else(|| work.next())
        })
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.changes.len() + self.work.len()
    }

    /// Tells whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn push(&mut self, entry: AuditEntry) {
        let (kept, limit) = if entry.is_work() {
            (&mut self.work, MAX_AUDIT_JOBS)
        } else {
            (&mut self.changes, MAX_AUDIT_CHANGES)
        };
        if kept.len() == limit {
            kept.pop_front();
        }
        kept.push_back(entry);
    }
}

impl AuditEntry {
    /// Returns the place of the entry in the log.
    #[must_use]
    pub fn position(&self) -> (Offset, u32) {
        (self.offset, self.index)
    }

    /// Tells whether the entry is about one job, as submissions and cancellations are.
    fn is_work(&self) -> bool {
        self.action.starts_with(SUBMIT) || self.action.starts_with(CANCEL)
    }
}

impl State {
    /// Returns the value that a record is about to change.
    pub(super) fn audit_before(&self, record: &Record) -> String {
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
        shorten(text.unwrap_or_default())
    }

    /// Adds an entry if the record is one that operators answer for.
    pub(super) fn audit_after(
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
            after: shorten(after),
            code: result.map_or_else(|code| code.number(), |_| crate::code::Code::Done.number()),
        });
    }
}

/// Returns the action and the new value of a record that belongs in the trail.
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

fn shorten(text: String) -> String {
    match text.char_indices().nth(MAX_TEXT) {
        Some((at, _)) => format!("{}...", &text[..at]),
        None => text,
    }
}
