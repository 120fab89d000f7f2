//! Accepted jobs and the ends of their tasks.
//!
//! Bindings of tasks to workers are not here: the home keeps them in memory and the workers' own
//! lists are the truth. Ended jobs are kept until [`MAX_ENDED`] newer ones have ended.

use std::collections::{BTreeMap, HashMap, VecDeque};

use slotmap::SlotMap;

use crate::{
    code::Code,
    keys::{JobId, JobKey, TaskId},
    record::{JobSpec, Outcome, TaskEnd},
    state::{ApplyEffect, ApplyResult, State},
};

/// Ended jobs that stay readable: about one day of the 9,400 a day that the target names.
const MAX_ENDED: usize = 10_000;

/// The most tasks of one job.
pub const MAX_TASKS: u32 = 10_000;

/// An accepted job.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Identifier, the same on every VM.
    pub id: JobId,
    /// What the team declared.
    pub spec: JobSpec,
    /// Wall-clock time of acceptance in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Whether its tasks are to be stopped.
    pub cancelled: bool,
    /// Outcome of each task that has ended.
    pub ends: BTreeMap<u32, Outcome>,
}

impl Job {
    /// Tells whether every task has ended.
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

/// The arena of jobs with its indexes.
#[derive(Clone, Debug, Default)]
pub struct Jobs {
    /// Jobs, live and ended.
    pub arena: SlotMap<JobKey, Job>,
    /// Jobs by identifier.
    pub ids: BTreeMap<JobId, JobKey>,
    /// Jobs by team and idempotency key of the submission.
    keyed: HashMap<(String, String), JobId>,
    /// Ended jobs in the order in which they ended.
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

    /// Adds a job, as on acceptance or from a snapshot.
    pub fn insert(&mut self, job: Job) {
        let id = job.id;
        if let Some(key) = &job.spec.key {
            self.keyed.insert((job.spec.team.clone(), key.clone()), id);
        }
        let key = self.arena.insert(job);
        self.ids.insert(id, key);
    }

    fn keyed(&self, spec: &JobSpec) -> Option<&Job> {
        let key = spec.key.clone()?;
        self.get(*self.keyed.get(&(spec.team.clone(), key))?)
    }

    /// Removes the oldest ended jobs beyond the limit and returns them.
    fn prune(&mut self) -> Vec<Job> {
        let excess = self.ended.len().saturating_sub(MAX_ENDED);
        let old: Vec<JobId> = self.ended.drain(..excess).collect();
        old.into_iter().filter_map(|id| self.remove(id)).collect()
    }

    fn remove(&mut self, id: JobId) -> Option<Job> {
        let job = self.arena.remove(self.ids.remove(&id)?)?;
        if let Some(key) = &job.spec.key {
            self.keyed.remove(&(job.spec.team.clone(), key.clone()));
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
        if let Some(job) = self.jobs.keyed(spec) {
            // A submission sent twice with one key gives one job; the key with other content is an error.
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
            self.ledger.forget(job.id);
        }
        Ok(applied)
    }

    /// Notes the end of a task; the first end counts.
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
