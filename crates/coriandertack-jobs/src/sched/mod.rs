//! The leader's scheduler: jobs, workers, and the decisions that bind one to the other.
//!
//! The state is held in arenas behind `Copy` keys. The tasks of the leading VM call its functions: [`Scheduler::admit`] for
//! a submission, [`Scheduler::apply_run_list`] for a worker's list of runs, [`Scheduler::place`] to bind what waits. A
//! change of a job marks it; [`Scheduler::take_batch`] returns the marked jobs with the orders that may be sent once
//! their records are durable. Nothing here waits, sends or encodes.

mod advice;
mod advice_vms;
mod cancel;
mod commands;
mod evacuate;
mod health;
mod place;
mod queue;
mod run_ends;
mod run_lists;
mod speed;
mod stats;
mod takeover;
mod worker;

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    mem,
    sync::Arc,
};

use {
    coriandertack_core::resources::Resources,
    slotmap::{SlotMap, new_key_type},
};

use crate::{
    boot_time::{BootTime, WallTime},
    config::{Config, Route},
    ids::{JobId, StepId, TaskId},
    progress::{JobPhase, JobProgress, TaskProgress},
    replica::JobView,
    spec::{JobSpec, StepSpec},
};

pub use self::{
    advice::{AdviceCall, Ticket},
    advice_vms::AdviceVm,
    commands::{StartCommand, StartOutcome, WorkerCommand},
    place::PassResult,
    queue::Rank,
    stats::SchedulerStats,
    worker::{Worker, WorkerKey},
};

use self::{advice::AdviceState, worker::Traits};

new_key_type! {
    /// Key of a job in the scheduler's arena.
    pub struct JobKey;
}

/// Longest time for which a start or a renewal extends a worker's lease, in milliseconds. It covers a cut of some
/// seconds between the leader and a worker, and bounds how long a lost worker's tasks wait.
pub const MAX_LEASE_MS: u64 = 5_000;

/// Most by which a worker's clock is slow, in thousandths (PROTOCOL, Running tasks: 2%).
pub const MAX_CLOCK_DRIFT_PERMILLE: u64 = 20;

/// How long a leader may act after the last proof that it leads, in milliseconds.
pub const LEADERSHIP_TERM_MS: u64 = 2_000;

/// How long a leader without such a proof renews leases of running tasks, in milliseconds. It covers an outage of the
/// store; a successor waits for it before it gives up a worker that it cannot reach.
pub const MAX_RENEWAL_MS: u64 = 8_000;

/// State of one task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    attempt: u32,
    failures: u32,
    /// Highest attempt whose failure was counted. A worker lists an end until it is acknowledged, and so again to
    /// a successor of the leader that counted it.
    counted: u32,
    checkpoint: Arc<str>,
    place: Place,
    /// Worker and time, in milliseconds, of the run that was done.
    ran: Option<(WorkerKey, u64)>,
}

/// Where a task is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Place {
    /// It waits for a worker.
    #[default]
    Waiting,
    /// It is bound to a worker, which may run it.
    Bound(WorkerKey),
    /// It is done.
    Done,
}

/// State of one step of one occurrence.
#[derive(Clone, Debug)]
struct Step {
    tasks: Vec<Task>,
    /// Tasks that are not done.
    open: u32,
    /// Tasks that wait.
    waiting: u32,
    /// Rank in the queue, while the step is in it.
    queued: Option<Rank>,
    advice: AdviceState,
    /// Workers that a waiting gang keeps reserved.
    reserved: Vec<WorkerKey>,
    /// Workers on which a task failed, and until when others are used instead.
    excluded: Vec<(WorkerKey, BootTime)>,
    /// When the step became ready.
    ready: BootTime,
    /// When it was last logged why the step waits.
    explained: BootTime,
}

/// State of one occurrence of a job.
#[derive(Clone, Debug)]
struct Occurrence {
    number: u32,
    steps: Vec<Step>,
}

/// State of a job.
#[derive(Clone, Debug)]
pub struct Job {
    /// Name.
    pub id: JobId,
    /// What was submitted.
    pub spec: Arc<JobSpec>,
    phase: JobPhase,
    /// Occurrences before this one are done as a whole, or were skipped over to the list.
    finished: u32,
    /// Next occurrence that is not yet open.
    upcoming: u32,
    occurrences: Vec<Occurrence>,
    cancelled: bool,
    /// Moment by which the job should be done; later ones earn less.
    due: BootTime,
    /// Moment of the first sight of the job by this leader.
    admitted: BootTime,
}

/// Jobs to record, and what may be done once the records are durable.
#[derive(Debug, Default)]
pub struct Batch {
    /// Progress to record.
    pub records: Vec<(JobId, JobProgress)>,
    /// Orders to send afterwards.
    pub commands: Vec<WorkerCommand>,
    /// For each worker, the last end that the records cover.
    pub acks: Vec<(WorkerKey, u64)>,
}

impl Batch {
    /// Tells whether there is nothing to do.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.commands.is_empty() && self.acks.is_empty()
    }
}

/// What the leader knows and decides.
#[derive(Debug, Default)]
pub struct Scheduler {
    config: Arc<Config>,
    jobs: SlotMap<JobKey, Job>,
    names: HashMap<JobId, JobKey>,
    workers: SlotMap<WorkerKey, Worker>,
    worker_names: HashMap<Arc<str>, WorkerKey>,
    queue: BTreeSet<(Rank, StepId)>,
    /// Jobs with occurrences that are not yet due.
    timed: Vec<JobKey>,
    marked: HashSet<JobKey>,
    commands: Vec<WorkerCommand>,
    acks: HashMap<WorkerKey, u64>,
    calls: Vec<AdviceCall>,
    advice_vms: Vec<AdviceVm>,
    /// Jobs that ended, whose runs may not be gone yet.
    ended: HashMap<JobId, Arc<JobSpec>>,
    /// Workers that gangs had reserved after the last pass.
    reserved: HashSet<WorkerKey>,
    /// Share of named workers that the policy allows, by route.
    allowed: HashMap<Arc<str>, f64>,
    /// How long starts wait for their record, in milliseconds.
    record_ms: u64,
    /// What the scheduler did.
    pub stats: SchedulerStats,
}

impl Scheduler {
    /// Returns a scheduler without jobs.
    #[must_use]
    pub fn new(config: Arc<Config>) -> Self {
        Self { config, ..Self::default() }
    }

    /// Puts a configuration in force.
    pub fn set_config(&mut self, config: Arc<Config>) {
        if config.revision >= self.config.revision {
            self.config = config;
        }
    }

    /// Returns what was done since the last call.
    pub fn take_stats(&mut self) -> SchedulerStats {
        mem::take(&mut self.stats)
    }

    /// Forgets a job that ended long ago.
    pub fn forget_job(&mut self, id: JobId) {
        self.ended.remove(&id);
    }

    /// Returns the number of jobs that are not final.
    #[must_use]
    pub fn open_job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of steps with waiting tasks.
    #[must_use]
    pub fn waiting_step_count(&self) -> usize {
        self.queue.len()
    }

    /// Takes over a submitted job. A job that is known already stays as it is.
    ///
    /// `progress` is what a former leader recorded.
    pub fn admit(
        &mut self,
        id: JobId,
        spec: Arc<JobSpec>,
        progress: Option<&JobProgress>,
        cancelled: bool,
        now: BootTime,
        wall: WallTime,
    ) {
        if self.names.contains_key(&id) || self.ended.contains_key(&id) {
            return;
        }
        if progress.is_some_and(|known| known.phase.is_final()) {
            self.ended.insert(id, spec);
            return;
        }
        let age = wall.0.saturating_sub(spec.accepted_at.0);
        let begun = spec.repeat.map_or(now.0.saturating_sub(age.min(MAX_AGE_MS)), |_| now.0);
        let due = BootTime(begun).plus_ms(spec.objective_ms());
        let job = Job {
            id,
            phase: progress.map_or(JobPhase::Queued, |known| known.phase),
            finished: progress.map_or(0, |known| known.finished),
            upcoming: progress.map_or(0, |known| known.finished),
            occurrences: Vec::new(),
            cancelled,
            due,
            admitted: now,
            spec,
        };
        let key = self.jobs.insert(job);
        self.names.insert(id, key);
        if let Some(known) = progress {
            self.adopt(key, known, now);
        }
        self.open_due(key, now, wall);
        if self.jobs.get(key).is_some_and(|job| job.upcoming < job.spec.occurrences()) {
            self.timed.push(key);
        }
        if cancelled {
            self.cancel(id, now);
        }
    }

    /// Takes over a job from the replica, with the progress that a former leader recorded. The submission can be read after
    /// the progress; until then there is nothing to take over.
    pub fn admit_from_replica(&mut self, id: JobId, view: &JobView, now: BootTime, wall: WallTime) {
        if let Some(spec) = view.spec.clone() {
            let progress = view.progress.as_deref();
            self.admit(id, spec, progress, view.cancelled, now, wall);
        }
    }

    /// Opens the occurrences that have become due, and returns when the next one will, as a time of day.
    pub fn open_due_occurrences(&mut self, now: BootTime, wall: WallTime) -> Option<WallTime> {
        let timed = mem::take(&mut self.timed);
        let mut next = None;
        for key in timed {
            self.open_due(key, now, wall);
            let Some(job) = self.jobs.get(key) else { continue };
            if job.upcoming >= job.spec.occurrences() || job.cancelled {
                continue;
            }
            let due = job.spec.due_at(job.upcoming);
            next = match (next, due) {
                (Some(a), Some(b)) => Some(std::cmp::min::<WallTime>(a, b)),
                (a, b) => a.or(b),
            };
            self.timed.push(key);
        }
        next
    }

    /// Opens all occurrences of a job that are due.
    fn open_due(&mut self, key: JobKey, now: BootTime, wall: WallTime) {
        loop {
            let Some(job) = self.jobs.get(key) else { return };
            let number = job.upcoming;
            if job.cancelled || number >= job.spec.occurrences() {
                return;
            }
            if job.spec.due_at(number).is_some_and(|due| due > wall) {
                return;
            }
            self.open(key, number, now);
        }
    }

    /// Opens one occurrence, unless a record of its tasks opened it already.
    fn open(&mut self, key: JobKey, number: u32, now: BootTime) {
        let Some(job) = self.jobs.get_mut(key) else { return };
        job.upcoming = job.upcoming.max(number + 1);
        if !job.occurrences.iter().any(|open| open.number == number) {
            let steps = job.spec.steps.iter().map(|step| Step::new(step, now)).collect();
            job.occurrences.push(Occurrence { number, steps });
        }
        self.enqueue_ready(key, number, now);
    }

    /// Marks a job as changed, so that its progress is recorded with the next batch.
    fn mark(&mut self, key: JobKey) {
        self.marked.insert(key);
    }

    /// Returns what has changed since the last call. The orders may be sent once the records are durable.
    pub fn take_batch(&mut self) -> Batch {
        let mut records = Vec::with_capacity(self.marked.len());
        for key in mem::take(&mut self.marked) {
            let Some(job) = self.jobs.get(key) else { continue };
            records.push((job.id, self.progress(job)));
            if job.phase.is_final() {
                self.names.remove(&job.id);
                self.ended.insert(job.id, Arc::clone(&job.spec));
                self.jobs.remove(key);
            }
        }
        let commands = mem::take(&mut self.commands);
        let acks = self.acks.drain().collect();
        Batch { records, commands, acks }
    }

    /// Takes the calls for advice that are due.
    pub fn take_calls(&mut self) -> Vec<AdviceCall> {
        mem::take(&mut self.calls)
    }

    /// Notes that the ends of a batch are recorded, so that they may be acknowledged to their workers.
    pub fn mark_recorded(&mut self, acks: &[(WorkerKey, u64)]) {
        for &(key, number) in acks {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.recorded_end = worker.recorded_end.max(number);
            }
        }
    }

    /// Returns the progress of a job as it is to be recorded.
    fn progress(&self, job: &Job) -> JobProgress {
        let mut progress =
            JobProgress { phase: job.phase, finished: job.finished, tasks: Vec::new() };
        if job.phase.is_final() {
            return progress;
        }
        for occurrence in &job.occurrences {
            for (step, state) in occurrence.steps.iter().enumerate() {
                for (index, task) in state.tasks.iter().enumerate() {
                    if task.attempt == 0 {
                        continue;
                    }
                    progress.tasks.push(TaskProgress {
                        occurrence: occurrence.number,
                        step: step as u32,
                        index: index as u32,
                        attempt: task.attempt,
                        failures: task.failures,
                        counted_attempt: task.counted,
                        done: task.place == Place::Done,
                        worker: self.worker_name(task.place),
                        checkpoint: match task.place {
                            Place::Done => Arc::default(),
                            _ => Arc::clone(&task.checkpoint),
                        },
                    });
                }
            }
        }
        progress
    }

    fn worker_name(&self, place: Place) -> Option<Arc<str>> {
        match place {
            Place::Bound(key) => self.workers.get(key).map(|worker| Arc::clone(&worker.name)),
            Place::Waiting | Place::Done => None,
        }
    }

    /// Returns the route of a job as it is configured now, or as it was at the submission.
    fn route_of(&self, job: &Job) -> Arc<Route> {
        self.config.route_named(&job.spec.route.name).unwrap_or(&job.spec.route).clone()
    }

    /// Returns what matters of a task while it runs.
    fn traits(&self, task: TaskId) -> Traits {
        let Some((job, spec, _)) = self.step(task.step_id()) else { return Traits::default() };
        let urgent = self.route_of(job).priority == URGENT_PRIORITY && !spec.lasting;
        let serves = spec.target_ms > 0;
        Traits { estimate_ms: spec.estimate_ms, urgent, fills: spec.fills, serves }
    }

    /// Returns what a run takes of its worker, also after its job has ended.
    fn charge(&self, task: TaskId) -> Option<Resources> {
        let job = self.names.get(&task.job).and_then(|&key| self.jobs.get(key));
        let spec = job.map(|job| &job.spec).or_else(|| self.ended.get(&task.job))?;
        spec.steps.get(task.step as usize).map(StepSpec::capacity_charge)
    }

    fn step(&self, id: StepId) -> Option<(&Job, &StepSpec, &Step)> {
        let job = self.jobs.get(*self.names.get(&id.job)?)?;
        let spec = job.spec.steps.get(id.step as usize)?;
        let step = job.step(id.occurrence, id.step)?;
        Some((job, spec, step))
    }

    fn step_mut(&mut self, id: StepId) -> Option<&mut Step> {
        self.jobs.get_mut(*self.names.get(&id.job)?)?.step_mut(id.occurrence, id.step)
    }

    fn task(&self, id: TaskId) -> Option<&Task> {
        self.step(id.step_id())?.2.tasks.get(id.index as usize)
    }

    fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.step_mut(id.step_id())?.tasks.get_mut(id.index as usize)
    }
}

/// Priority of the most urgent routes.
const URGENT_PRIORITY: u32 = 0;

/// Age of a submission beyond which its objective has passed in any case; it bounds what a jump of the time of day does.
const MAX_AGE_MS: u64 = 60_000;

impl Job {
    fn step(&self, occurrence: u32, step: u32) -> Option<&Step> {
        let occurrence = self.occurrences.iter().find(|open| open.number == occurrence)?;
        occurrence.steps.get(step as usize)
    }

    fn step_mut(&mut self, occurrence: u32, step: u32) -> Option<&mut Step> {
        let occurrence = self.occurrences.iter_mut().find(|open| open.number == occurrence)?;
        occurrence.steps.get_mut(step as usize)
    }
}

impl Step {
    fn new(spec: &StepSpec, now: BootTime) -> Self {
        Self {
            tasks: vec![Task::default(); spec.count as usize],
            open: spec.count,
            waiting: spec.count,
            queued: None,
            advice: AdviceState::default(),
            reserved: Vec::new(),
            excluded: Vec::new(),
            ready: now,
            explained: now,
        }
    }
}
