//! Applied changes, for operators who follow them.
//!
//! [`Node::apply`](crate::node::Node::apply) publishes one [`ChangeBatch`] for each batch while there are
//! subscribers. Each names the offset before it, so that a subscriber notices a gap, for example after the
//! load of a snapshot.

use std::collections::BTreeMap;

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

use crate::{
    keys::{JobId, Offset, Session},
    record::{Batch, Entry, Record, TaskEnd},
    state::{ApplyEffect, ApplyResult, State},
};

/// Object that a change affects.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "type", content = "name")]
pub enum Subject {
    /// A team, by name.
    #[display("team {_0}")]
    Team(String),
    /// A setting, by name.
    #[display("setting {_0}")]
    Setting(String),
    /// A job, by identifier.
    #[display("job {_0}")]
    Job(JobId),
    /// A worker, by name.
    #[display("worker {_0}")]
    Worker(String),
    /// An entry VM that joined, by name.
    #[display("vm {_0}")]
    Vm(String),
    /// A session that ended.
    #[display("session {_0}")]
    Session(Session),
}

/// What happened to the subject of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Event {
    /// The subject was created or changed.
    #[display("set")]
    Set,
    /// The subject was removed.
    #[display("removed")]
    Removed,
    /// The job was accepted.
    #[display("accepted")]
    Accepted,
    /// The job was cancelled.
    #[display("cancelled")]
    Cancelled,
    /// Tasks of the job ended.
    #[display("ended")]
    Ended,
}

/// A change that took effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Name of the token that requested the change, or `system`.
    pub actor: String,
    /// Wall-clock time at the writer, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Object that the change affects.
    pub subject: Subject,
    /// What happened to the subject.
    pub event: Event,
    /// Team that is the subject or owns the job, or `None` for other subjects.
    pub team: Option<String>,
    /// Number of tasks that ended, for [`Event::Ended`]; otherwise 0.
    pub tasks: u32,
}

/// The changes of one batch.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeBatch {
    /// Last offset that was applied before the batch.
    pub before: Offset,
    /// Offset of the batch in the log.
    pub offset: Offset,
    /// Changes in the order in which they were applied.
    pub changes: Vec<Change>,
}

/// Returns the changes that a batch made, given the state after it and the results of its entries.
#[must_use]
pub fn changes_of(state: &State, batch: &Batch, results: &[ApplyResult]) -> Vec<Change> {
    let changes_made = batch.entries.iter().zip(results).enumerate();
    changes_made
        .flat_map(|(index, (entry, result))| match result {
            Ok(ApplyEffect::Unchanged) | Err(_) => Vec::new(),
            // The job was accepted by an earlier submission with the same key.
            Ok(ApplyEffect::Job(job)) if *job != JobId::new(state.offset, index) => Vec::new(),
            Ok(applied) => changes_of_entry(state, entry, *applied),
        })
        .collect()
}

fn changes_of_entry(state: &State, entry: &Entry, applied: ApplyEffect) -> Vec<Change> {
    let one = |subject, event| vec![new_change(state, entry, subject, event)];
    let event = |is_set: bool| if is_set { Event::Set } else { Event::Removed };
    match &entry.record {
        Record::Join(join) => one(Subject::Vm(join.name.clone()), Event::Set),
        Record::Fence(session) => one(Subject::Session(*session), Event::Removed),
        Record::Workers(infos) => {
            let names = infos.iter().map(|info| info.name.clone());
            names.map(|name| new_change(state, entry, Subject::Worker(name), Event::Set)).collect()
        }
        Record::WorkersGone(names) => {
            let names = names.iter().cloned();
            names
                .map(|name| new_change(state, entry, Subject::Worker(name), Event::Removed))
                .collect()
        }
        Record::Cordon(cordon) => one(Subject::Worker(cordon.worker.clone()), Event::Set),
        Record::Team(team) => one(Subject::Team(team.name.clone()), event(team.spec.is_some())),
        Record::Setting(setting) => {
            one(Subject::Setting(setting.name.clone()), event(setting.value.is_some()))
        }
        Record::Accept(_) => match applied {
            ApplyEffect::Job(job) => one(Subject::Job(job), Event::Accepted),
            _ => Vec::new(),
        },
        Record::Cancel(job) => one(Subject::Job(*job), Event::Cancelled),
        Record::Ended(ends) => task_end_changes(state, entry, ends),
        Record::Leave | Record::Usage(_) | Record::Refused(_) | Record::Snapshot(_) => Vec::new(),
    }
}

/// Returns one change for each job whose tasks ended.
fn task_end_changes(state: &State, entry: &Entry, ends: &[TaskEnd]) -> Vec<Change> {
    let mut counts: BTreeMap<JobId, u32> = BTreeMap::new();
    for end in ends {
        *counts.entry(end.task.job).or_default() += 1;
    }
    let changes_made = counts.into_iter().map(|(job, tasks)| Change {
        tasks,
        ..new_change(state, entry, Subject::Job(job), Event::Ended)
    });
    changes_made.collect()
}

fn new_change(state: &State, entry: &Entry, subject: Subject, event: Event) -> Change {
    let team = match &subject {
        Subject::Team(name) => Some(name.clone()),
        Subject::Job(job) => state.jobs.get(*job).map(|job| job.spec.team.clone()),
        _ => None,
    };
    Change { actor: entry.actor.clone(), at_ms: entry.at_ms, subject, event, team, tasks: 0 }
}
