//! Accepted jobs and the outcomes of their tasks.
//!
//! Task bindings are not part of the replicated state: a team's home keeps them in memory, and the
//! workers' own lists are authoritative. Ended jobs are kept until [`MAX_ENDED`] newer ones have ended.

use std::collections::{BTreeMap, HashMap, VecDeque};

use slotmap::SlotMap;

use crate::{
    code::Code,
    keys::{JobId, JobKey, TaskId},
    record::{JobSpec, Outcome, TaskEnd},
    state::{ApplyEffect, ApplyResult, State},
};

/// Ended jobs that stay readable: about one day at the target load of 9,400 jobs a day.
const MAX_ENDED: usize = 10_000;

/// Maximum number of tasks in a job.
pub const MAX_TASKS: u32 = 10_000;

/// An accepted job.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Identifier, which is the same on every VM.
    pub id: JobId,
    /// The job as its team submitted it.
    pub spec: JobSpec,
    /// Wall-clock time of acceptance in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Whether the job was cancelled, so that its remaining tasks are to be stopped.
    pub cancelled: bool,
    /// Outcome of each ended task, by task index.
    pub ends: BTreeMap<u32, Outcome>,
}

impl Job {
    /// Returns whether every task has ended.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.ends.len() == self.spec.tasks as usize
    }

    /// Returns how many tasks ended with `outcome`.
    #[must_use]
    pub fn count(&self, outcome: Outcome) -> usize {
        self.ends.values().filter(|&&end| end == outcome).count()
    }
}

/// Arena of jobs and the indexes into it.
#[derive(Clone, Debug, Default)]
pub struct Jobs {
    /// Live jobs and the ended ones that are still kept.
    pub arena: SlotMap<JobKey, Job>,
    /// Arena keys by job identifier.
    pub ids: BTreeMap<JobId, JobKey>,
    /// Job identifiers by team and idempotency key of the submission.
    keyed_ids: HashMap<(String, String), JobId>,
    /// Identifiers of the ended jobs, in the order in which they ended.
    pub ended: VecDeque<JobId>,
}

impl Jobs {
    /// Returns the job with this identifier.
    #[must_use]
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.ids.get(&id).map(|&key| &self.arena[key])
    }

    /// Returns the jobs of a team that have not ended, oldest first.
    pub fn live_jobs_of<'a>(&'a self, team: &'a str) -> impl Iterator<Item = &'a Job> {
        let jobs = self.ids.values().map(|&key| &self.arena[key]);
        jobs.filter(move |job| job.spec.team == team && !job.is_ended())
    }

    /// Inserts a job on acceptance or when a snapshot is loaded.
    pub fn insert(&mut self, job: Job) {
        let id = job.id;
        if let Some(key) = &job.spec.key {
            self.keyed_ids.insert((job.spec.team.clone(), key.clone()), id);
        }
        let key = self.arena.insert(job);
        self.ids.insert(id, key);
    }

    fn job_with_key_of(&self, spec: &JobSpec) -> Option<&Job> {
        let key = spec.key.clone()?;
        self.get(*self.keyed_ids.get(&(spec.team.clone(), key))?)
    }

    /// Removes and returns the oldest ended jobs beyond [`MAX_ENDED`].
    fn prune(&mut self) -> Vec<Job> {
        let excess = self.ended.len().saturating_sub(MAX_ENDED);
        let pruned: Vec<JobId> = self.ended.drain(..excess).collect();
        pruned.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    fn remove(&mut self, id: JobId) -> Option<Job> {
        let job = self.arena.remove(self.ids.remove(&id)?)?;
        if let Some(key) = &job.spec.key {
            self.keyed_ids.remove(&(job.spec.team.clone(), key.clone()));
        }
        Some(job)
    }
}

impl State {
    pub(super) fn accept(&mut self, id: JobId, spec: &JobSpec, at_ms: u64) -> ApplyResult {
        if !self.team_names.contains_key(&spec.team) {
            return Err(Code::NotFound);
        }
        if spec.tasks == 0 || spec.tasks > MAX_TASKS {
            return Err(Code::OutOfRange);
        }
        if let Some(job) = self.jobs.job_with_key_of(spec) {
            // Repeating a submission returns the job of the first one. Reusing its key for another spec is an error.
            return if job.spec == *spec {
                Ok(ApplyEffect::Job(job.id))
            } else {
                Err(Code::KeyReused)
            };
        }
        let spec = spec.clone();
        self.jobs.insert(Job { id, spec, at_ms, cancelled: false, ends: BTreeMap::new() });
        Ok(ApplyEffect::Job(id))
    }

    pub(super) fn cancel(&mut self, id: JobId) -> ApplyResult {
        let key = *self.jobs.ids.get(&id).ok_or(Code::NotFound)?;
        let job = &mut self.jobs.arena[key];
        if job.cancelled || job.is_ended() {
            return Ok(ApplyEffect::Unchanged);
        }
        job.cancelled = true;
        Ok(ApplyEffect::Done)
    }

    pub(super) fn end_tasks(&mut self, ends: &[TaskEnd]) -> ApplyResult {
        let mut applied = ApplyEffect::Unchanged;
        for end in ends {
            if self.end_task(end.task, end.outcome) {
                applied = ApplyEffect::Done;
            }
        }
        for job in self.jobs.prune() {
            self.ledger.remove_watermarks(job.id);
        }
        Ok(applied)
    }

    /// Records the outcome of a task and returns whether it is new. Only the first outcome counts.
    fn end_task(&mut self, task: TaskId, outcome: Outcome) -> bool {
        let Some(&key) = self.jobs.ids.get(&task.job) else {
            return false;
        };
        let job = &mut self.jobs.arena[key];
        if task.index >= job.spec.tasks || job.ends.contains_key(&task.index) {
            return false;
        }
        job.ends.insert(task.index, outcome);
        if job.is_ended() {
            self.jobs.ended.push_back(task.job);
        }
        true
    }
}
