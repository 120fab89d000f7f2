//! Applied changes that operators can follow.
//!
//! [`Node::apply`](crate::node::Node::apply) publishes one [`ChangeBatch`] for each batch while somebody
//! follows. A step names the offset before it, so that a follower notices a gap, as after the load of
//! a snapshot.

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

/// What a change is about.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "type", content = "name")]
pub enum Subject {
    /// A team.
    #[display("team {_0}")]
    Team(String),
    /// A setting.
    #[display("setting {_0}")]
    Setting(String),
    /// A job.
    #[display("job {_0}")]
    Job(JobId),
    /// A worker.
    #[display("worker {_0}")]
    Worker(String),
    /// An entry VM that joined, by name.
    #[display("vm {_0}")]
    Vm(String),
    /// A session that ended.
    #[display("session {_0}")]
    Session(Session),
}

/// What happened to the subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Event {
    /// It was created or changed.
    #[display("set")]
    Set,
    /// It was removed.
    #[display("removed")]
    Removed,
    /// A job was accepted.
    #[display("accepted")]
    Accepted,
    /// A job was cancelled.
    #[display("cancelled")]
    Cancelled,
    /// Tasks of a job ended.
    #[display("ended")]
    Ended,
}

/// A change that took effect.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Who asked for it.
    pub actor: String,
    /// Wall-clock time of the writer in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What it is about.
    pub subject: Subject,
    /// What happened.
    pub event: Event,
    /// Team whose work it is, if it is the work of one team.
    pub team: Option<String>,
    /// Tasks that ended, for [`Event::Ended`].
    pub tasks: u32,
}

/// The changes of one batch.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeBatch {
    /// Offset applied before.
    pub before: Offset,
    /// Offset of the batch.
    pub offset: Offset,
    /// Changes in the order in which they applied.
    pub changes: Vec<Change>,
}

/// Returns the changes that a batch made, given the state after it and the verdicts of its entries.
#[must_use]
pub fn changes_of(state: &State, batch: &Batch, results: &[ApplyResult]) -> Vec<Change> {
    let made = batch.entries.iter().zip(results).enumerate();
    made.flat_map(|(index, (entry, result))| match result {
        Ok(ApplyEffect::Unchanged) | Err(_) => Vec::new(),
        // The job of an earlier submission with the same key.
        Ok(ApplyEffect::Job(job)) if *job != JobId::new(state.offset, index) => Vec::new(),
        Ok(applied) => changes_of_entry(state, entry, *applied),
    })
    .collect()
}

fn changes_of_entry(state: &State, entry: &Entry, applied: ApplyEffect) -> Vec<Change> {
    let one = |subject, event| vec![change(state, entry, subject, event)];
    let set = |is_set: bool| if is_set { Event::Set } else { Event::Removed };
    match &entry.record {
        Record::Join(join) => one(Subject::Vm(join.name.clone()), Event::Set),
        Record::Fence(session) => one(Subject::Session(*session), Event::Removed),
        Record::Workers(infos) => {
            let names = infos.iter().map(|info| info.name.clone());
            names.map(|name| change(state, entry, Subject::Worker(name), Event::Set)).collect()
        }
        Record::WorkersGone(names) => {
            let names = names.iter().cloned();
            names.map(|name| change(state, entry, Subject::Worker(name), Event::Removed)).collect()
        }
        Record::Cordon(cordon) => one(Subject::Worker(cordon.worker.clone()), Event::Set),
        Record::Team(team) => one(Subject::Team(team.name.clone()), set(team.spec.is_some())),
        Record::Setting(setting) => {
            one(Subject::Setting(setting.name.clone()), set(setting.value.is_some()))
        }
        Record::Accept(_) => match applied {
            ApplyEffect::Job(job) => one(Subject::Job(job), Event::Accepted),
            _ => Vec::new(),
        },
        Record::Cancel(job) => one(Subject::Job(*job), Event::Cancelled),
        Record::Ended(ends) => ended(state, entry, ends),
        Record::Leave | Record::Usage(_) | Record::Refused(_) | Record::Snapshot(_) => Vec::new(),
    }
}

/// Returns one change for each job of which tasks ended.
fn ended(state: &State, entry: &Entry, ends: &[TaskEnd]) -> Vec<Change> {
    let mut counts: BTreeMap<JobId, u32> = BTreeMap::new();
    for end in ends {
        *counts.entry(end.task.job).or_default() += 1;
    }
    let made = counts.into_iter().map(|(job, tasks)| Change {
        tasks,
        ..change(state, entry, Subject::Job(job), Event::Ended)
    });
    made.collect()
}

fn change(state: &State, entry: &Entry, subject: Subject, event: Event) -> Change {
    let team = match &subject {
        Subject::Team(name) => Some(name.clone()),
        Subject::Job(job) => state.jobs.get(*job).map(|job| job.spec.team.clone()),
        _ => None,
    };
    Change { actor: entry.actor.clone(), at_ms: entry.at_ms, subject, event, team, tasks: 0 }
}
