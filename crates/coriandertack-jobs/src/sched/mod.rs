//! The leader's scheduler: the state of jobs and workers, and the decisions that assign tasks to
//! workers.
//!
//! State lives in arenas and is referred to by `Copy` keys. The tasks of the leading VM call
//! [`Scheduler::admit`] for each submission, [`Scheduler::apply_run_list`] for each list of runs
//! that a worker returns, and [`Scheduler::place`] to bind waiting tasks. Every change to a job
//! marks it as changed; [`Scheduler::take_batch`] returns the changed jobs together with the
//! commands that may be sent once their records are durable. The scheduler neither blocks, sends
//! nor encodes messages.

mod advice;
mod advice_vms;
mod calls;
mod cancel;
mod commands;
mod containment;
mod crashes;
mod evacuate;
mod fit;
mod health;
mod hold;
mod incarnations;
mod late_starts;
mod leases;
mod lost;
mod occurrences;
mod order;
mod place;
mod queue;
mod run_ends;
mod run_lists;
mod runs;
mod speed;
mod stats;
mod takeover;
mod teams;
mod worker;

use std::{
    collections::{BTreeSet, HashMap, HashSet, VecDeque},
    mem,
    sync::Arc,
};

use slotmap::{SlotMap, new_key_type};

use crate::{
    access::Cancellers,
    boot_time::{BootTime, WallTime},
    config::{Config, Route},
    ids::{JobId, StepId, TaskId},
    ledger::{Charge, Ledger, TeamKey},
    occurrences::OccurrenceSet,
    progress::{JobPhase, JobProgress, TaskProgress},
    replica::JobView,
    spec::{JobSpec, StepSpec},
};

pub use self::{
    advice::{AdviceCall, Ticket},
    advice_vms::AdviceVm,
    calls::{FencingToken, ListCall},
    commands::{StartCommand, StartOutcome, WorkerCommand},
    leases::DEFAULT_LEASE_LIMIT_MS,
    lost::LossCause,
    place::PassResult,
    queue::Rank,
    stats::SchedulerStats,
    worker::{Worker, WorkerKey},
};

pub(crate) use self::advice::TICKET_EXPIRY_MARGIN_MS;

use self::{
    advice::AdviceState,
    containment::CrashHistory,
    crashes::Lapse,
    late_starts::LateStart,
    leases::FormerCalls,
    teams::CapWaits,
    worker::{Run, RunCost, RunProfile},
};

new_key_type! {
    /// Key of a job in the scheduler's arena.
    pub struct JobKey;
}

/// Longest period by which a start or a renewal extends a worker's lease, in milliseconds.
///
/// It outlasts a network partition of a few seconds between the leader and a worker, and bounds how
/// long the tasks of a lost worker wait before they are started elsewhere.
pub const MAX_LEASE_MS: u64 = 5_000;

/// Maximum amount by which a worker's clock may run slow, in thousandths. The protocol specifies 2%
/// (section "Running tasks").
pub const MAX_CLOCK_DRIFT_PERMILLE: u64 = 20;

/// How long a leader may act after the last confirmation of its leadership, in milliseconds.
pub const LEADERSHIP_TERM_MS: u64 = 2_000;

/// How long a leader whose leadership is no longer confirmed keeps renewing the leases of running
/// tasks, in milliseconds.
///
/// It lets running tasks survive an outage of the store. A successor waits this long before it
/// gives up a worker that it cannot reach.
pub const MAX_RENEWAL_MS: u64 = 8_000;

/// State of one task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    attempt: u32,
    failures: u32,
    /// Highest attempt whose failure has been counted. A worker lists an end until it is
    /// acknowledged, so a successor may see an end that the previous leader has already counted.
    counted_attempt: u32,
    /// Number of workers that were lost under a run of the task.
    crashes: u32,
    /// Number of those that were lost soon after the run had started.
    early_crashes: u32,
    checkpoint: Arc<str>,
    placement: Placement,
    /// Starts that a worker may still carry out; `None` if there are none.
    late_start: Option<LateStart>,
    /// Worker and run time in milliseconds of the run that completed the task.
    completed_run: Option<(WorkerKey, u64)>,
}

/// Whether a task is waiting, bound to a worker or done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Placement {
    /// The task waits for a worker.
    #[default]
    Waiting,
    /// The task is bound to a worker, which may already run it.
    Bound(WorkerKey),
    /// The task has completed.
    Done,
}

/// State of one step of an occurrence.
#[derive(Clone, Debug)]
struct Step {
    tasks: Vec<Task>,
    /// Number of tasks that are not done.
    unfinished: u32,
    /// Number of tasks that are neither bound nor done.
    waiting: u32,
    /// Rank under which the step is queued; `None` while it is not in the queue.
    queued: Option<Rank>,
    advice: AdviceState,
    /// Workers that are reserved for this step while it waits.
    reserved: Vec<WorkerKey>,
    /// Workers on which a task of this step failed, each with the time until which other workers
    /// are preferred.
    excluded: Vec<(WorkerKey, BootTime)>,
    /// Whether the step waits for room under the cap of its team.
    capped: bool,
    /// When the step last entered the queue.
    ready_at: BootTime,
    /// When the reason why the step waits was last logged.
    logged_at: BootTime,
}

/// State of an open occurrence of a job.
#[derive(Clone, Debug)]
struct Occurrence {
    number: u32,
    /// Time by which the occurrence should be done. Its credit decreases afterwards.
    due: BootTime,
    steps: Vec<Step>,
}

/// State of a job that is not final.
#[derive(Clone, Debug)]
pub struct Job {
    /// Identifier chosen by the caller.
    pub id: JobId,
    /// The job as it was submitted.
    pub spec: Arc<JobSpec>,
    /// Team that submitted the job; `None` if its caller needed no key.
    team: Option<TeamKey>,
    phase: JobPhase,
    /// All occurrences before this one are done.
    finished: u32,
    /// Later occurrences that are done and whose tasks are not kept.
    ended: OccurrenceSet,
    /// No lower occurrence is still to be opened.
    next_occurrence: u32,
    /// The open occurrences, by their numbers.
    occurrences: Vec<Occurrence>,
    cancelled: bool,
    /// Time by which the job should be done if it runs once. Its credit decreases afterwards.
    due: BootTime,
    /// When this leader first saw the job.
    admitted_at: BootTime,
}

/// Changed jobs, and what may be done once their records are durable.
#[derive(Debug, Default)]
pub struct Batch {
    /// Progress records to write.
    pub records: Vec<(JobId, JobProgress)>,
    /// Commands to send after the records are durable.
    pub commands: Vec<WorkerCommand>,
    /// Number of the last end covered by the records, for each worker that has one to acknowledge.
    pub acks: Vec<(WorkerKey, u64)>,
}

impl Batch {
    /// Returns true if there is nothing to record, send or acknowledge.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.commands.is_empty() && self.acks.is_empty()
    }
}

/// Scheduling state and decisions of the leader.
#[derive(Debug, Default)]
pub struct Scheduler {
    config: Arc<Config>,
    /// Offset up to which the records of former leaders had been read before the first decision.
    read_offset: u64,
    jobs: SlotMap<JobKey, Job>,
    job_index: HashMap<JobId, JobKey>,
    workers: SlotMap<WorkerKey, Worker>,
    worker_index: HashMap<Arc<str>, WorkerKey>,
    queue: BTreeSet<(Rank, StepId)>,
    /// Tasks with starts that may be carried out late, and until when, in the order in which they were sent.
    late_tasks: VecDeque<(BootTime, TaskId)>,
    /// Jobs with occurrences that have not been opened.
    scheduled: Vec<JobKey>,
    /// Number of jobs that had overdue occurrences which were not opened in the last pass.
    backlogged: usize,
    changed: HashSet<JobKey>,
    commands: Vec<WorkerCommand>,
    acks: HashMap<WorkerKey, u64>,
    advice_calls: Vec<AdviceCall>,
    advice_vms: Vec<AdviceVm>,
    /// Jobs in a final state, some of whose runs may still be on a worker.
    ended_jobs: HashMap<JobId, Arc<JobSpec>>,
    /// Jobs whose records this leader cannot read. The ends of their runs are kept for one that can.
    closed_jobs: HashSet<JobId>,
    /// Jobs of which no task is started because their progress cannot be recorded.
    held_jobs: HashSet<JobId>,
    /// Jobs that were cancelled before they were admitted.
    early_cancels: HashMap<JobId, Cancellers>,
    /// Workers reserved for waiting steps in the last scheduling pass.
    reserved: HashSet<WorkerKey>,
    /// Estimated share of named workers that the policy allows, by route name.
    allowed_shares: HashMap<Arc<str>, f64>,
    crash_history: CrashHistory,
    /// Lapses of leases that count as crashes until their worker returns a list.
    lapses: Vec<Lapse>,
    ledger: Ledger,
    cap_waits: CapWaits,
    /// When starts of teams with a cap no longer wait for workers that have not returned a list
    /// since the takeover.
    usage_known: BootTime,
    /// Multiple of its fair share up to which a team keeps its place in the queue.
    share_tolerance: f64,
    /// Highest fencing token of any command so far.
    token: FencingToken,
    /// Longest lease that workers accept, in milliseconds.
    lease_limit_ms: u64,
    /// Calls to removed workers that matter to the next incarnation, by the name of the worker.
    former_calls: HashMap<Arc<str>, FormerCalls>,
    /// When no call of a former leader can be carried out any more.
    calls_end: BootTime,
    /// When no start of a former leader can be carried out any more.
    starts_end: BootTime,
    /// Current delay between binding a task and its record being durable, in milliseconds.
    record_ms: u64,
    /// Counters since the last call of [`Scheduler::take_stats`].
    pub stats: SchedulerStats,
}

impl Scheduler {
    /// Creates a scheduler without jobs or workers.
    #[must_use]
    pub fn new(config: Arc<Config>) -> Self {
        let mut ledger = Ledger::default();
        ledger.configure(config.teams.as_ref());
        Self {
            config,
            ledger,
            share_tolerance: 1.0,
            lease_limit_ms: DEFAULT_LEASE_LIMIT_MS,
            ..Self::default()
        }
    }

    /// Sets the offset up to which the records of former leaders have been read. The log names it
    /// where a run is given up, so that a decision on an incomplete replica can be recognised.
    pub const fn set_read_offset(&mut self, offset: u64) {
        self.read_offset = offset;
    }

    /// Sets the multiple of its fair share up to which a team keeps its place in the queue, at least
    /// 1.
    pub const fn set_share_tolerance(&mut self, tolerance: f64) {
        self.share_tolerance = tolerance.max(1.0);
    }

    /// Applies a configuration, unless its revision is older than that of the current one.
    pub fn set_config(&mut self, config: Arc<Config>) {
        if config.revision < self.config.revision || Arc::ptr_eq(&config, &self.config) {
            return;
        }
        if config.teams != self.config.teams {
            self.set_teams(config.teams.as_ref());
        }
        self.config = config;
    }

    /// Returns the counters and resets them.
    pub fn take_stats(&mut self) -> SchedulerStats {
        mem::take(&mut self.stats)
    }

    /// Removes a job in a final state whose runs cannot exist any more.
    pub fn forget_job(&mut self, id: JobId) {
        self.ended_jobs.remove(&id);
        self.closed_jobs.remove(&id);
        self.early_cancels.remove(&id);
    }

    /// Returns the number of jobs that are not in a final state.
    #[must_use]
    pub fn open_job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the submission of a known job, also of an ended one.
    #[must_use]
    pub fn spec_of(&self, id: JobId) -> Option<&Arc<JobSpec>> {
        let job = self.job_index.get(&id).and_then(|&key| self.jobs.get(key));
        job.map(|job| &job.spec).or_else(|| self.ended_jobs.get(&id))
    }

    /// Returns the number of steps with waiting tasks.
    #[must_use]
    pub fn waiting_step_count(&self) -> usize {
        self.queue.len()
    }

    /// Adds a submitted job. A job that is already known is left unchanged.
    ///
    /// `progress` is what a previous leader recorded.
    pub fn admit(
        &mut self,
        id: JobId,
        spec: Arc<JobSpec>,
        progress: Option<&JobProgress>,
        cancelled: bool,
        now: BootTime,
        wall: WallTime,
    ) {
        if self.job_index.contains_key(&id) || self.ended_jobs.contains_key(&id) {
            return;
        }
        if progress.is_some_and(|known| known.phase.is_final()) {
            self.ended_jobs.insert(id, spec);
            return;
        }
        let age = wall.0.saturating_sub(spec.accepted_at.0);
        let start_ms =
            spec.repeat.map_or(now.0.saturating_sub(age.min(MAX_SUBMISSION_AGE_MS)), |_| now.0);
        let due = BootTime(start_ms).plus_ms(spec.objective_ms());
        let team = spec.team.as_deref().and_then(|name| self.ledger.team(Some(name)));
        let job = Job {
            id,
            team,
            phase: progress.map_or(JobPhase::Queued, |known| known.phase),
            finished: progress.map_or(0, |known| known.finished),
            ended: progress.map_or_else(OccurrenceSet::default, |known| known.ended.clone()),
            next_occurrence: 0,
            occurrences: Vec::new(),
            cancelled,
            due,
            admitted_at: now,
            spec,
        };
        let key = self.jobs.insert(job);
        self.job_index.insert(id, key);
        if let Some(known) = progress {
            self.restore_progress(key, known, now, wall);
        }
        self.open_first(key, now, wall);
        let early = self.early_cancels.remove(&id);
        if cancelled {
            self.cancel(id, now);
        } else if let Some(early) = early {
            self.cancel_by(id, &early, now);
        }
    }

    /// Adds a job from the replica, with the progress that a previous leader recorded.
    ///
    /// The submission may be read after the progress; until then the job is closed. So is it if the
    /// progress cannot be decoded: tasks of the job would run twice.
    pub fn admit_from_replica(&mut self, id: JobId, view: &JobView, now: BootTime, wall: WallTime) {
        match &view.spec {
            Some(spec) if !view.unreadable => {
                if self.closed_jobs.remove(&id) {
                    self.process_held_ends();
                }
                let progress = view.progress.as_deref();
                self.admit(id, spec.clone(), progress, view.is_cancelled(), now, wall);
            }
            _ if view.unreadable || view.progress.as_ref().is_some_and(|p| !p.phase.is_final()) => {
                self.closed_jobs.insert(id);
            }
            _ => {}
        }
    }

    /// Marks a job as changed, so that the next batch records its progress.
    fn mark_changed(&mut self, key: JobKey) {
        self.changed.insert(key);
    }

    /// Returns what has changed since the last call. The commands may be sent once the records are
    /// durable.
    pub fn take_batch(&mut self) -> Batch {
        let mut records = Vec::with_capacity(self.changed.len());
        for key in mem::take(&mut self.changed) {
            let Some(job) = self.jobs.get(key) else { continue };
            records.push((job.id, self.progress_record(job)));
            if job.phase.is_final() {
                self.job_index.remove(&job.id);
                self.ended_jobs.insert(job.id, Arc::clone(&job.spec));
                self.jobs.remove(key);
            }
        }
        let commands = mem::take(&mut self.commands);
        let acks = self.acks.drain().collect();
        Batch { records, commands, acks }
    }

    /// Returns the advice calls to make now.
    pub fn take_calls(&mut self) -> Vec<AdviceCall> {
        mem::take(&mut self.advice_calls)
    }

    /// Records that the ends of a batch are durable, so that they may be acknowledged to their
    /// workers.
    pub fn mark_recorded(&mut self, acks: &[(WorkerKey, u64)]) {
        for &(key, number) in acks {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.recorded_end = worker.recorded_end.max(number);
            }
        }
    }

    /// Returns the progress record of a job.
    fn progress_record(&self, job: &Job) -> JobProgress {
        let mut progress =
            JobProgress { phase: job.phase, finished: job.finished, ..JobProgress::default() };
        if job.phase.is_final() {
            progress.team = job.spec.team.clone();
            return progress;
        }
        progress.ended = job.ended.clone();
        for occurrence in &job.occurrences {
            for (step, state) in occurrence.steps.iter().enumerate() {
                for (index, task) in state.tasks.iter().enumerate() {
                    if task.attempt == 0 {
                        continue;
                    }
                    let id = TaskId {
                        job: job.id,
                        occurrence: occurrence.number,
                        step: step as u32,
                        index: index as u32,
                    };
                    let run = self.bound_run(id.step_id(), index, task);
                    let is_open = run.is_some_and(Run::is_open);
                    progress.tasks.push(TaskProgress {
                        occurrence: id.occurrence,
                        step: id.step,
                        index: id.index,
                        attempt: task.attempt,
                        failures: task.failures,
                        counted_attempt: task.counted_attempt,
                        crashes: task.crashes,
                        early_crashes: task.early_crashes,
                        done: task.placement == Placement::Done,
                        worker: self.worker_name(task.placement),
                        born: run.and_then(|run| run.born),
                        late_worker: task.late_worker(is_open).cloned(),
                        checkpoint: match task.placement {
                            Placement::Done => Arc::default(),
                            _ => Arc::clone(&task.checkpoint),
                        },
                    });
                }
            }
        }
        progress
    }

    fn worker_name(&self, placement: Placement) -> Option<Arc<str>> {
        match placement {
            Placement::Bound(key) => self.workers.get(key).map(|worker| Arc::clone(&worker.name)),
            Placement::Waiting | Placement::Done => None,
        }
    }

    /// Returns the current configuration of a job's route, or the one at submission if the route
    /// has been removed.
    fn route_of(&self, job: &Job) -> Arc<Route> {
        self.config.route_named(&job.spec.route.name).unwrap_or(&job.spec.route).clone()
    }

    /// Returns the properties of a task that matter while it runs.
    fn run_profile(&self, task: TaskId) -> RunProfile {
        let Some((job, spec, _)) = self.step(task.step_id()) else { return RunProfile::default() };
        let urgent = self.route_of(job).priority == URGENT_PRIORITY && !spec.lasting;
        let serves = spec.target_ms > 0;
        let (fills, lasting, gang) = (spec.fills, spec.lasting, spec.gang);
        RunProfile { estimate_ms: spec.estimate_ms, urgent, fills, serves, lasting, gang }
    }

    /// Returns what a run occupies and is charged, also for a job in a final state. A run of an
    /// unknown job is charged to no team, since it is stopped at once.
    fn run_cost(&mut self, task: TaskId) -> RunCost {
        let job = self.job_index.get(&task.job).and_then(|&key| self.jobs.get(key));
        let spec = job.map(|job| &job.spec).or_else(|| self.ended_jobs.get(&task.job));
        let Some(spec) = spec else { return RunCost::default() };
        let Some(step) = spec.steps.get(task.step as usize) else { return RunCost::default() };
        let team = self.ledger.team(spec.team.as_deref());
        RunCost {
            capacity: Some(step.capacity_charge()),
            charge: team.map(|team| Charge { team, need: step.need, lasting: step.lasting }),
        }
    }

    fn step(&self, id: StepId) -> Option<(&Job, &StepSpec, &Step)> {
        let job = self.jobs.get(*self.job_index.get(&id.job)?)?;
        let spec = job.spec.steps.get(id.step as usize)?;
        let step = job.step(id.occurrence, id.step)?;
        Some((job, spec, step))
    }

    fn step_mut(&mut self, id: StepId) -> Option<&mut Step> {
        self.jobs.get_mut(*self.job_index.get(&id.job)?)?.step_mut(id.occurrence, id.step)
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

/// Upper bound on the age of a submission, in milliseconds. An older job has missed its objective
/// in any case; the bound limits the effect of a wall-clock jump.
const MAX_SUBMISSION_AGE_MS: u64 = 60_000;

impl Step {
    fn new(spec: &StepSpec, now: BootTime) -> Self {
        Self {
            tasks: vec![Task::default(); spec.count as usize],
            unfinished: spec.count,
            waiting: spec.count,
            queued: None,
            advice: AdviceState::default(),
            reserved: Vec::new(),
            excluded: Vec::new(),
            capped: false,
            ready_at: now,
            logged_at: now,
        }
    }
}
