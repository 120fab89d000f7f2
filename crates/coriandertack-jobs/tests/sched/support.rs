//! A scheduler with simulated workers that execute its commands.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use {
    coriandertack_core::resources::Resources,
    coriandertack_jobs::{
        boot_time::{BootTime, WallTime},
        config::{AdvicePolicy, Config, Route},
        ids::{JobId, TaskId},
        progress::{JobPhase, JobProgress},
        report::{ActiveRun, EndCause, RunEnd, RunList, WorkerEntry},
        sched::{
            AdviceCall, Batch, ListCall, LossCause, Scheduler, StartCommand, StartOutcome,
            WorkerCommand, WorkerKey,
        },
        spec::{JobSpec, StepSpec},
        teams::{Team, Teams},
    },
};

/// A simulated worker, whose runs continue until a test ends them.
#[derive(Default)]
pub struct FakeWorker {
    pub running: BTreeMap<(TaskId, u32), (Arc<str>, u32)>,
    pub ended: Vec<RunEnd>,
    last_end: u64,
}

impl FakeWorker {
    pub fn end(&mut self, task: TaskId, attempt: u32, cause: EndCause) {
        let known = self.running.remove(&(task, attempt));
        let checkpoint = known.map_or_else(Arc::default, |(checkpoint, _)| checkpoint);
        self.last_end += 1;
        self.ended.push(RunEnd { number: self.last_end, task, attempt, cause, checkpoint });
    }

    pub fn run_list(&self, born: Option<u64>) -> RunList {
        let running =
            self.running.iter().map(|((task, attempt), (checkpoint, percent))| ActiveRun {
                task: *task,
                attempt: *attempt,
                checkpoint: checkpoint.clone(),
                percent: *percent,
                load: 0,
            });
        RunList {
            clock_ms: 1,
            born,
            running: running.collect(),
            ended: self.ended.clone(),
            truncated: false,
        }
    }
}

/// Applies a list that was requested at `sent` with the present fencing token.
pub fn apply_list(
    sched: &mut Scheduler,
    key: WorkerKey,
    sent: BootTime,
    list: &RunList,
    now: BootTime,
) -> Option<()> {
    let token = sched.worker(key)?.token();
    let call = ListCall { sent_at: sent, token, ..ListCall::default() };
    sched.apply_run_list(key, &call, list, now)
}

/// A scheduler, its simulated workers and the records that it wrote.
pub struct TestCluster {
    pub sched: Scheduler,
    pub workers: HashMap<WorkerKey, FakeWorker>,
    pub keys: Vec<WorkerKey>,
    pub records: HashMap<JobId, JobProgress>,
    pub starts: Vec<StartCommand>,
    pub stops: Vec<(WorkerKey, TaskId, u32)>,
    pub now: BootTime,
    /// Number of workers that were ever added.
    added: usize,
}

pub const INCARNATION: Option<u64> = Some(7);

/// The incarnation after [`INCARNATION`].
pub const NEXT_INCARNATION: Option<u64> = Some(8);

pub fn route() -> Route {
    Route {
        name: "plans".into(),
        service: "vans".into(),
        max_attempts: 2,
        stretch: 2.0,
        slo_ms: 1_000,
        ..Route::default()
    }
}

pub fn advised_route() -> Route {
    let advice = AdvicePolicy { call_ms: 10.0, worker_ms: 1.0, validity_ms: 2_000 };
    Route { advice: Some(advice), ..route() }
}

pub fn worker_entry(cores: u32) -> WorkerEntry {
    WorkerEntry {
        service: "vans".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "split".into(),
        capacity: Resources::new(cores * 1_000, cores * 2_048, 0),
        labels: vec!["a".into(), "r1".into()],
        draining: false,
        remaining_ms: 0,
        born: INCARNATION,
    }
}

pub fn step(count: u32, cores: u32) -> StepSpec {
    let need = Resources::new(cores * 1_000, 64, 0);
    StepSpec { count, need, estimate_ms: 1_000, ..StepSpec::default() }
}

pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    spec(route(), steps)
}

pub fn spec(route: Route, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        team: None,
        route: Arc::new(route),
        payload: "payload".into(),
        steps,
        repeat: None,
        accepted_at: WallTime(0),
    }
}

/// Returns a configuration with teams of the given names, weights and caps.
pub fn config_with_teams(revision: u64, teams: &[(&str, f64, Resources)]) -> Arc<Config> {
    let team = |&(name, weight, cap): &(&str, f64, Resources)| {
        (Team { name: name.into(), weight, cap }, vec![format!("key of {name}")])
    };
    let teams = Some(Teams::new(teams.iter().map(team)));
    Arc::new(Config { revision, teams, ..Config::default() })
}

/// Returns a job of a team.
pub fn team_job(team: &str, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec { team: Some(team.into()), ..job(steps) }
}

pub fn task(job: u64, step: u32, index: u32) -> TaskId {
    TaskId { job: JobId(job), occurrence: 0, step, index }
}

impl TestCluster {
    /// Creates a cluster with one worker per entry of `cores`, each of which has returned a list of
    /// runs.
    pub fn new(cores: &[u32]) -> Self {
        let mut cluster = Self {
            sched: Scheduler::new(Arc::new(Config::default())),
            workers: HashMap::new(),
            keys: Vec::new(),
            records: HashMap::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            now: BootTime(1_000_000),
            added: 0,
        };
        for cores in cores {
            cluster.add_worker(*cores);
        }
        cluster
    }

    /// Adds a worker that has returned a list of runs.
    pub fn add_worker(&mut self, cores: u32) -> WorkerKey {
        let name = Arc::from(format!("w{}", self.added));
        self.added += 1;
        let key = self.sched.upsert_worker(&name, Arc::new(worker_entry(cores)), self.now);
        self.workers.insert(key, FakeWorker::default());
        self.keys.push(key);
        self.apply_run_lists();
        key
    }

    pub fn admit(&mut self, id: u64, spec: JobSpec) {
        self.sched.admit(JobId(id), Arc::new(spec), None, false, self.now, WallTime(0));
    }

    /// Runs a scheduling pass, records its batch and executes its commands. Returns the advice
    /// calls.
    pub fn run_pass(&mut self) -> Vec<AdviceCall> {
        self.now = self.now.plus_ms(20);
        self.sched.place(self.now);
        let batch = self.sched.take_batch();
        let calls = self.sched.take_calls();
        self.record(&batch);
        for command in batch.commands {
            self.execute(command);
        }
        calls
    }

    pub fn record(&mut self, batch: &Batch) {
        for (id, progress) in &batch.records {
            self.records.insert(*id, progress.clone());
        }
        self.sched.mark_recorded(&batch.acks);
    }

    fn execute(&mut self, command: WorkerCommand) {
        match command {
            WorkerCommand::Start(start) => {
                let run = (start.checkpoint.clone(), 0);
                let worker = self.workers.entry(start.worker).or_default();
                worker.running.insert((start.task, start.attempt), run);
                let (key, task, attempt) = (start.worker, start.task, start.attempt);
                // The leader's sender does so before each start.
                if let Some(worker) = self.sched.worker_mut(key) {
                    let _lease_end = worker.grant_lease(self.now);
                }
                self.sched.record_start_outcome(
                    key,
                    task,
                    attempt,
                    StartOutcome::Started,
                    self.now,
                );
                self.starts.push(start);
            }
            WorkerCommand::Stop { worker, task, attempt } => {
                self.stops.push((worker, task, attempt));
                let fake = self.workers.entry(worker).or_default();
                if fake.running.contains_key(&(task, attempt)) {
                    fake.end(task, attempt, EndCause::Stopped);
                }
                self.sched.record_stop(worker, task, attempt, self.now);
            }
        }
    }

    pub fn apply_run_lists(&mut self) {
        self.now = self.now.plus_ms(20);
        for key in self.keys.clone() {
            let run_list = self.workers[&key].run_list(INCARNATION);
            apply_list(&mut self.sched, key, self.now, &run_list, self.now.plus_ms(1));
        }
        self.now = self.now.plus_ms(2);
    }

    /// Applies an entry of a worker with another capacity.
    pub fn resize_worker(&mut self, key: WorkerKey, cores: u32) {
        let name = self.sched.worker(key).unwrap().name.clone();
        self.sched.upsert_worker(&name, Arc::new(worker_entry(cores)), self.now);
    }

    /// Breaks the connection to a worker now and removes it with its runs, as the leader does when
    /// another worker answers at the address of a crashed one.
    pub fn crash_worker(&mut self, key: WorkerKey) {
        self.workers.remove(&key);
        self.keys.retain(|known| *known != key);
        self.sched.record_list_failure(key, self.now, true, self.now);
        self.sched.remove_lost_worker(key, LossCause::Replaced, self.now);
    }

    /// Ends the runs of a task on all workers.
    pub fn end_runs(&mut self, task: TaskId, cause: EndCause) {
        for worker in self.workers.values_mut() {
            let runs: Vec<_> =
                worker.running.keys().filter(|(id, _)| *id == task).copied().collect();
            for (task, attempt) in runs {
                worker.end(task, attempt, cause);
            }
        }
        self.apply_run_lists();
    }

    /// Returns the workers that run a task.
    pub fn workers_running(&self, task: TaskId) -> Vec<WorkerKey> {
        let runs = |worker: &FakeWorker| worker.running.keys().any(|(id, _)| *id == task);
        self.workers.iter().filter(|(_, worker)| runs(worker)).map(|(key, _)| *key).collect()
    }

    pub fn running(&self) -> usize {
        self.workers.values().map(|worker| worker.running.len()).sum()
    }

    pub fn phase(&self, id: u64) -> Option<JobPhase> {
        self.records.get(&JobId(id)).map(|progress| progress.phase)
    }
}
