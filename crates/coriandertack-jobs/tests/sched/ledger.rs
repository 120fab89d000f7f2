//! The ledger agrees with the runs that workers may hold, after any order of events.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use {
    coriandertack_core::resources::Resources,
    coriandertack_jobs::{
        boot_time::{BootTime, WallTime},
        config::Config,
        ids::{JobId, TaskId},
        ledger::{Charge, Ledger, Usage},
        progress::JobProgress,
        report::{EndCause, RunList, StartRefusal, WorkerEntry},
        sched::{Batch, LossCause, Scheduler, StartOutcome, WorkerCommand, WorkerKey},
        spec::{JobSpec, StepSpec},
    },
    proptest::prelude::*,
};

use crate::support::{
    FakeWorker, INCARNATION, TestCluster, apply_list, config_with_teams, step, task, team_job,
    worker_entry,
};

const WORKER_COUNT: usize = 3;
const JOB_COUNT: u8 = 8;
const TEAMS: [&str; 3] = ["t0", "t1", "t2"];

#[derive(Clone, Copy, Debug)]
enum Event {
    Admit(u8),
    Pass,
    /// A pass that writes its records, and whose commands are lost with the leader.
    PassThenTakeover,
    /// A pass whose records are lost with the leader.
    TakeoverBeforeRecord,
    RunList(usize),
    /// A list that did not have room for all ends.
    TruncatedList(usize),
    End(usize, u8),
    Cancel(u8),
    /// The record of an ended job is dropped while its runs may still be on workers.
    Forget(u8),
    /// A start of an earlier leader that arrives only now.
    LateOrder(usize, u8),
    /// A run of a job that nobody knows.
    UnknownRun(usize),
    Lose(usize, u8),
    ListFailure(usize),
    /// The worker starts again under its name, with or without the runs that its list shows.
    Restart(usize, bool),
    Delay(u16),
    /// Caps in cores, where 0 is no limit; `None` is a configuration without teams.
    Caps(Option<[u32; 2]>),
}

fn event() -> impl Strategy<Value = Event> {
    let worker = 0..WORKER_COUNT;
    prop_oneof![
        5 => (0..JOB_COUNT).prop_map(Event::Admit),
        8 => Just(Event::Pass),
        1 => Just(Event::PassThenTakeover),
        1 => Just(Event::TakeoverBeforeRecord),
        8 => worker.clone().prop_map(Event::RunList),
        1 => worker.clone().prop_map(Event::TruncatedList),
        6 => (worker.clone(), any::<u8>()).prop_map(|(worker, pick)| Event::End(worker, pick)),
        1 => (0..JOB_COUNT).prop_map(Event::Cancel),
        1 => (0..JOB_COUNT).prop_map(Event::Forget),
        2 => (worker.clone(), any::<u8>()).prop_map(|(worker, pick)| Event::LateOrder(worker, pick)),
        1 => worker.clone().prop_map(Event::UnknownRun),
        1 => (worker.clone(), any::<u8>()).prop_map(|(worker, pick)| Event::Lose(worker, pick)),
        2 => worker.clone().prop_map(Event::ListFailure),
        1 => (worker, any::<bool>()).prop_map(|(worker, kept)| Event::Restart(worker, kept)),
        2 => (0..8_000_u16).prop_map(Event::Delay),
        1 => prop::option::of([0..6_u32, 0..6]).prop_map(Event::Caps),
    ]
}

struct Simulation {
    sched: Scheduler,
    keys: Vec<WorkerKey>,
    workers: Vec<FakeWorker>,
    born: [u64; WORKER_COUNT],
    config: Arc<Config>,
    specs: HashMap<JobId, Arc<JobSpec>>,
    cancelled: Vec<JobId>,
    records: HashMap<JobId, JobProgress>,
    /// Starts that were not answered.
    late: Vec<(TaskId, u32)>,
    /// Jobs that the leader no longer knows. A run of theirs that it knew before stays charged, and one
    /// that a list shows later is charged to no team.
    forgotten: HashSet<JobId>,
    now: BootTime,
}

fn spec(number: u8) -> JobSpec {
    let mut first = step(1 + u32::from(number) % 3, 1 + u32::from(number) % 2);
    first.gang = number.is_multiple_of(3);
    first.fills = number % 4 == 1;
    first.lasting = number == 5;
    let second = StepSpec { after: vec![0], ..step(2, 1) };
    let spec = team_job(TEAMS[usize::from(number) % 3], vec![first, second]);
    // One job is of a caller without a key.
    if number == 7 { JobSpec { team: None, ..spec } } else { spec }
}

fn config(revision: u64, caps: Option<[u32; 2]>) -> Arc<Config> {
    let Some([first, second]) = caps else {
        return Arc::new(Config { revision, ..Config::default() });
    };
    let cap = |cores: u32| Resources::new(cores * 1_000, 0, 0);
    // The third team is never configured.
    config_with_teams(revision, &[(TEAMS[0], 1.0, cap(first)), (TEAMS[1], 2.0, cap(second))])
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            sched: Scheduler::default(),
            keys: Vec::new(),
            workers: (0..WORKER_COUNT).map(|_| FakeWorker::default()).collect(),
            born: [INCARNATION.unwrap(); WORKER_COUNT],
            config: config(1, Some([4, 0])),
            specs: HashMap::new(),
            cancelled: Vec::new(),
            records: HashMap::new(),
            late: Vec::new(),
            forgotten: HashSet::new(),
            now: BootTime(1_000_000),
        };
        simulation.take_over();
        simulation
    }

    fn upsert(&mut self, n: usize) -> WorkerKey {
        let entry = WorkerEntry { born: Some(self.born[n]), ..worker_entry(4) };
        self.sched.upsert_worker(&format!("w{n}").into(), Arc::new(entry), self.now)
    }

    fn take_over(&mut self) {
        self.now = self.now.plus_ms(5);
        self.sched = Scheduler::new(self.config.clone());
        self.sched.succeed_leader(self.now);
        self.keys = (0..WORKER_COUNT).map(|n| self.upsert(n)).collect();
        for (id, spec) in &self.specs {
            let (progress, cancelled) = (self.records.get(id), self.cancelled.contains(id));
            self.sched.admit(*id, spec.clone(), progress, cancelled, self.now, WallTime(0));
        }
    }

    /// Returns the keys of the workers, adding those that were removed again.
    fn refresh_keys(&mut self) {
        for n in 0..WORKER_COUNT {
            if self.sched.worker(self.keys[n]).is_none() {
                self.keys[n] = self.upsert(n);
            }
        }
    }

    fn run_pass(&mut self) -> Batch {
        self.now = self.now.plus_ms(5);
        let before = self.usage();
        self.sched.place(self.now);
        for (name, usage) in self.usage() {
            let cap = self.cap(&name).millicores;
            let former = before.get(&name).copied().unwrap_or_default().millicores;
            assert!(
                cap == 0 || usage.millicores <= u64::from(cap).max(former),
                "team {name} was brought to {usage} above its cap of {cap}"
            );
        }
        self.sched.take_batch()
    }

    fn cap(&self, name: &str) -> Resources {
        let team = self.config.teams.as_ref().and_then(|teams| teams.named(name));
        team.map_or(Resources::ZERO, |team| team.cap)
    }

    fn record(&mut self, batch: &Batch) {
        for (id, progress) in &batch.records {
            self.records.insert(*id, progress.clone());
        }
        self.sched.mark_recorded(&batch.acks);
    }

    fn execute(&mut self, commands: Vec<WorkerCommand>) {
        for (number, command) in commands.into_iter().enumerate() {
            match command {
                WorkerCommand::Start(start) => {
                    let Some(n) = self.keys.iter().position(|key| *key == start.worker) else {
                        continue;
                    };
                    let (key, task, attempt) = (start.worker, start.task, start.attempt);
                    if !self.sched.prepare_start(key, task, attempt, self.now) {
                        continue;
                    }
                    let outcome = match (self.now.0 / 5 + number as u64) % 7 {
                        0 => StartOutcome::Unanswered,
                        1 => StartOutcome::NotSent,
                        2 => StartOutcome::Refused(StartRefusal::NoRoom),
                        _ => StartOutcome::Started,
                    };
                    match outcome {
                        StartOutcome::Started => {
                            let run = (start.checkpoint.clone(), 0);
                            self.workers[n].running.insert((task, attempt), run);
                        }
                        StartOutcome::Unanswered => self.late.push((task, attempt)),
                        StartOutcome::NotSent | StartOutcome::Refused(_) => {}
                    }
                    self.sched.record_start_outcome(key, task, attempt, outcome, self.now);
                }
                WorkerCommand::Stop { worker, task, attempt } => {
                    if let Some(n) = self.keys.iter().position(|key| *key == worker)
                        && self.workers[n].running.contains_key(&(task, attempt))
                    {
                        self.workers[n].end(task, attempt, EndCause::Stopped);
                    }
                    self.sched.record_stop(worker, task, attempt, self.now);
                }
            }
        }
    }

    fn list(&mut self, n: usize, truncated: bool) {
        self.now = self.now.plus_ms(5);
        let recorded = self.sched.worker(self.keys[n]).map_or(0, |w| w.recorded_end);
        self.workers[n].ended.retain(|end| end.number > recorded);
        let list = self.workers[n].run_list(Some(self.born[n]));
        let list = RunList { truncated, ..list };
        apply_list(&mut self.sched, self.keys[n], self.now, &list, self.now.plus_ms(1));
        self.now = self.now.plus_ms(2);
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Admit(n) => {
                let id = JobId(u64::from(n));
                let spec = self.specs.entry(id).or_insert_with(|| Arc::new(spec(n))).clone();
                self.sched.admit(id, spec, None, false, self.now, WallTime(0));
            }
            Event::Pass => {
                let batch = self.run_pass();
                self.record(&batch);
                self.execute(batch.commands);
            }
            Event::PassThenTakeover => {
                let batch = self.run_pass();
                self.record(&batch);
                self.take_over();
            }
            Event::TakeoverBeforeRecord => {
                self.run_pass();
                self.take_over();
            }
            Event::RunList(n) => self.list(n, false),
            Event::TruncatedList(n) => self.list(n, true),
            Event::End(n, pick) => {
                let runs: Vec<_> = self.workers[n].running.keys().copied().collect();
                if let Some(&(task, attempt)) = runs.get(usize::from(pick) % runs.len().max(1)) {
                    let causes = [EndCause::Done, EndCause::Failed, EndCause::Lapsed];
                    self.workers[n].end(task, attempt, causes[usize::from(pick) % 3]);
                }
            }
            Event::Cancel(n) => {
                self.cancelled.push(JobId(u64::from(n)));
                self.sched.cancel(JobId(u64::from(n)), self.now);
            }
            Event::Forget(n) => {
                let id = JobId(u64::from(n));
                if self.records.get(&id).is_some_and(|known| known.phase.is_final()) {
                    self.sched.forget_job(id);
                    self.forgotten.insert(id);
                }
            }
            Event::LateOrder(n, pick) => {
                if !self.late.is_empty() {
                    let run = self.late.remove(usize::from(pick) % self.late.len());
                    self.workers[n].running.insert(run, ("".into(), 0));
                }
            }
            Event::UnknownRun(n) => {
                self.workers[n].running.insert((task(1_000, 0, 0), 1), ("".into(), 0));
            }
            Event::Lose(n, pick) => {
                let cause = LossCause::ALL[usize::from(pick) % LossCause::ALL.len()];
                self.workers[n].running.clear();
                self.sched.record_list_failure(self.keys[n], self.now, true, self.now);
                self.sched.remove_lost_worker(self.keys[n], cause, self.now);
            }
            Event::ListFailure(n) => {
                self.sched.record_list_failure(self.keys[n], self.now, false, self.now);
            }
            Event::Restart(n, kept) => {
                self.born[n] += 1;
                let former = std::mem::take(&mut self.workers[n]);
                if kept {
                    self.workers[n].running = former.running;
                }
                self.list(n, false);
            }
            Event::Delay(ms) => self.now = self.now.plus_ms(u64::from(ms)),
            Event::Caps(caps) => {
                self.config = config(self.config.revision + 1, caps);
                self.sched.set_config(self.config.clone());
            }
        }
        self.refresh_keys();
    }

    /// Returns the usage of each team according to the ledger.
    fn usage(&self) -> HashMap<Arc<str>, Usage> {
        self.sched.team_states().into_iter().map(|state| (state.name, state.usage)).collect()
    }

    /// Returns the sum of the needs of all runs of each team that workers may hold, with or without
    /// those of jobs that the leader has forgotten.
    fn runs(&self, with_forgotten: bool) -> HashMap<Arc<str>, Usage> {
        let mut sums: HashMap<Arc<str>, Usage> = HashMap::new();
        for key in self.sched.worker_keys() {
            for (task, _) in self.sched.worker(key).unwrap().run_ids() {
                if self.forgotten.contains(&task.job) && !with_forgotten {
                    continue;
                }
                let Some(spec) = self.specs.get(&task.job) else { continue };
                // Jobs without a team are charged to callers without a key, if there are teams.
                let team = spec.team.clone().unwrap_or_default();
                let need = spec.steps[task.step as usize].need;
                *sums.entry(team).or_default() += need.into();
            }
        }
        sums
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against a run that is left out of the usage of its team, that stays in it, or that
    /// counts twice; and against passes that exceed a cap.
    #[test]
    fn ledger_equals_the_runs_of_all_workers(events in prop::collection::vec(event(), 1..150)) {
        let mut simulation = Simulation::new();
        for event in events {
            simulation.apply(event);
            if simulation.config.teams.is_none() {
                continue;
            }
            let (mut least, most) = (simulation.runs(false), simulation.runs(true));
            // Runs of callers without a key that were bound while there were no teams are not charged.
            least.remove("");
            for (name, usage) in simulation.usage() {
                let [least, most] =
                    [&least, &most].map(|runs| runs.get(&name).copied().unwrap_or_default());
                let parts = least.parts().into_iter().zip(usage.parts()).zip(most.parts());
                let agrees = parts.into_iter().all(|((a, b), c)| a <= b && b <= c);
                prop_assert!(
                    agrees,
                    "{name} is charged {usage} for {least} to {most} after {event:?}"
                );
            }
            let charged = simulation.usage();
            prop_assert!(least.keys().all(|name| charged.contains_key(name)));
        }
        // Whatever was forgotten, nothing stays charged once no worker has a run.
        for n in 0..WORKER_COUNT {
            simulation.apply(Event::Lose(n, 0));
        }
        simulation.apply(Event::Caps(Some([0, 0])));
        prop_assert!(simulation.usage().values().all(|usage| *usage == Usage::default()));
    }

    /// Guards against room that exceeds the cap or that is smaller than what fits, in any of the
    /// resources and near the ends of their ranges.
    #[test]
    fn room_is_what_fits_under_the_cap(
        cap in [0..50_u32, 0..50, 0..50],
        runs in prop::collection::vec([0..8_u32, 0..8, 0..8], 0..12),
        need in [0..8_u32, 0..8, 0..8],
    ) {
        let amounts = |[a, b, c]: [u32; 3]| Resources::new(a, b, c);
        let mut ledger = Ledger::default();
        let config = config_with_teams(1, &[("t", 1.0, amounts(cap))]);
        ledger.configure(config.teams.as_ref());
        let team = ledger.team(Some("t")).unwrap();
        let charges = runs.into_iter().map(|need| Charge { team, need: amounts(need), lasting: false });
        let charges: Vec<Charge> = charges.collect();
        charges.iter().for_each(|charge| ledger.charge(*charge));
        let fits = |count: u32| {
            let sum = ledger.usage(team).plus(Usage::of_tasks(amounts(need), count));
            let parts = sum.parts().into_iter().zip(cap);
            parts.into_iter().all(|(used, cap)| cap == 0 || used <= u64::from(cap))
        };
        let room = ledger.room(team, amounts(need));
        prop_assert!(room == 0 || fits(room.min(1_000)));
        prop_assert!(room == u32::MAX || !fits(room + 1));
        charges.iter().for_each(|charge| ledger.release(*charge));
        prop_assert_eq!(ledger.usage(team), Usage::default());
    }
}

/// Guards against sums beyond 32 bits: 5,000 runs with 1 TiB each are more MiB than fit.
#[test]
fn usage_exceeds_32_bits() {
    let mut ledger = Ledger::default();
    ledger.configure(config_with_teams(1, &[("t", 1.0, Resources::ZERO)]).teams.as_ref());
    let team = ledger.team(Some("t")).unwrap();
    let need = Resources::new(0, 1 << 20, 0);
    (0..5_000).for_each(|_| ledger.charge(Charge { team, need, lasting: false }));
    assert_eq!(ledger.usage(team).memory_mib, 5_000 << 20);
    assert_eq!(ledger.room(team, need), u32::MAX);
}

/// Guards against a run that a worker listed before the leader had read its job, and that counts as
/// of unknown need, or twice, after the job's record has been read: the worker got no other task.
#[test]
fn run_listed_before_its_job_is_read_counts_once() {
    let mut cluster = TestCluster::new(&[4]);
    cluster.sched.set_config(config(1, Some([4, 0])));
    let spec = team_job(TEAMS[0], vec![step(1, 1)]);
    cluster.admit(1, spec.clone());
    cluster.run_pass();
    let mut next = Scheduler::new(config(1, Some([4, 0])));
    let key = next.upsert_worker(&"w0".into(), Arc::new(worker_entry(4)), cluster.now);
    let list = cluster.workers[&cluster.keys[0]].run_list(INCARNATION);
    apply_list(&mut next, key, cluster.now, &list, cluster.now.plus_ms(1));
    assert_eq!(next.worker(key).unwrap().free(), Resources::ZERO);
    let progress = cluster.records.get(&JobId(1));
    next.admit(JobId(1), Arc::new(spec), progress, false, cluster.now.plus_ms(2), WallTime(0));
    assert_eq!(next.worker(key).unwrap().free().millicores, 3_000);
    let state = &next.team_states()[0];
    assert_eq!((&*state.name, state.usage.millicores), (TEAMS[0], 1_000));
}

/// Guards against teams that a configuration without teams limits or charges.
#[test]
fn nothing_is_limited_without_teams() {
    let mut ledger = Ledger::default();
    assert!(ledger.configure(None).is_empty());
    assert_eq!(ledger.team(None), None);
    let team = ledger.team(Some("former")).unwrap();
    assert_eq!(ledger.room(team, Resources::new(1, 1, 1)), u32::MAX);
    let cluster = TestCluster::new(&[4]);
    assert!(cluster.sched.team_states().is_empty());
}

/// Guards against cap changes that operators do not see, and against lines about caps that did not
/// change.
#[test]
fn only_changed_caps_are_reported() {
    let mut ledger = Ledger::default();
    let cap = |cores: u32| Resources::new(cores, 0, 0);
    let mut changes = |revision, teams: &[(&str, f64, Resources)]| {
        let changes = ledger.configure(config_with_teams(revision, teams).teams.as_ref());
        changes.into_iter().map(|change| change.name.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(changes(1, &[("a", 1.0, cap(1)), ("b", 1.0, cap(0))]), ["a"]);
    assert!(changes(2, &[("a", 2.0, cap(1)), ("b", 1.0, cap(0))]).is_empty());
    assert_eq!(changes(3, &[("b", 1.0, cap(2))]), ["a", "b"]);
}
