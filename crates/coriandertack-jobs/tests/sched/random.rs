//! Random orders of events, with takeovers at any time.

use std::{collections::HashMap, sync::Arc};

use {
    coriandertack_jobs::{
        boot_time::{BootTime, WallTime},
        config::Config,
        ids::{JobId, TaskId},
        progress::{JobPhase, JobProgress},
        report::EndCause,
        sched::{Batch, Scheduler, StartOutcome, WorkerCommand, WorkerKey},
        spec::JobSpec,
    },
    proptest::prelude::*,
};

use crate::support::{FakeWorker, INCARNATION, apply_list, job, step, worker_entry};

const WORKER_COUNT: usize = 3;
const CORES_PER_WORKER: u32 = 4;

#[derive(Clone, Copy, Debug)]
enum Event {
    Admit(u8),
    Pass,
    /// A pass whose records are written and whose commands are lost with the leader.
    PassThenCrash,
    /// A pass whose records are lost with the leader.
    CrashBeforeRecord,
    RunList(usize),
    End(usize, u8),
    Cancel(u8),
    Delay(usize),
    /// An entry of a worker with another number of cores.
    Resize(usize, u32),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..6_u8).prop_map(Event::Admit),
        8 => Just(Event::Pass),
        1 => Just(Event::PassThenCrash),
        1 => Just(Event::CrashBeforeRecord),
        8 => (0..WORKER_COUNT).prop_map(Event::RunList),
        6 => (0..WORKER_COUNT, any::<u8>()).prop_map(|(worker, pick)| Event::End(worker, pick)),
        1 => (0..6_u8).prop_map(Event::Cancel),
        1 => (0..WORKER_COUNT).prop_map(Event::Delay),
        1 => (0..WORKER_COUNT, 1..=CORES_PER_WORKER).prop_map(|(n, cores)| Event::Resize(n, cores)),
    ]
}

struct Simulation {
    sched: Scheduler,
    keys: Vec<WorkerKey>,
    workers: Vec<FakeWorker>,
    cores: [u32; WORKER_COUNT],
    specs: HashMap<JobId, Arc<JobSpec>>,
    cancelled: Vec<JobId>,
    records: HashMap<JobId, JobProgress>,
    completed: HashMap<TaskId, u32>,
    now: BootTime,
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            sched: Scheduler::new(Arc::new(Config::default())),
            keys: Vec::new(),
            workers: (0..WORKER_COUNT).map(|_| FakeWorker::default()).collect(),
            cores: [CORES_PER_WORKER; WORKER_COUNT],
            specs: HashMap::new(),
            cancelled: Vec::new(),
            records: HashMap::new(),
            completed: HashMap::new(),
            now: BootTime(1_000_000),
        };
        simulation.take_over();
        simulation
    }

    fn take_over(&mut self) {
        self.now = self.now.plus_ms(5);
        self.sched = Scheduler::new(Arc::new(Config::default()));
        self.keys = (0..WORKER_COUNT)
            .map(|n| {
                let name = Arc::from(format!("w{n}"));
                self.sched.upsert_worker(&name, Arc::new(worker_entry(self.cores[n])), self.now)
            })
            .collect();
        for (id, spec) in &self.specs {
            let progress = self.records.get(id);
            let cancelled = self.cancelled.contains(id);
            self.sched.admit(*id, spec.clone(), progress, cancelled, self.now, WallTime(0));
        }
    }

    fn run_pass(&mut self) -> Batch {
        self.now = self.now.plus_ms(5);
        self.sched.place(self.now);
        self.sched.take_batch()
    }

    fn record(&mut self, batch: &Batch) {
        for (id, progress) in &batch.records {
            self.records.insert(*id, progress.clone());
        }
        self.sched.mark_recorded(&batch.acks);
    }

    fn execute(&mut self, commands: Vec<WorkerCommand>) {
        for command in commands {
            match command {
                WorkerCommand::Start(start) => {
                    let Some(n) = self.keys.iter().position(|key| *key == start.worker) else {
                        continue;
                    };
                    let elsewhere = self
                        .workers
                        .iter()
                        .any(|worker| worker.running.keys().any(|(task, _)| *task == start.task));
                    assert!(!elsewhere, "{} is started while another run is active", start.task);
                    assert!(
                        !self.completed.contains_key(&start.task),
                        "{} is started after it completed",
                        start.task
                    );
                    let run = (start.checkpoint.clone(), 0);
                    self.workers[n].running.insert((start.task, start.attempt), run);
                    assert!(
                        self.workers[n].running.len() <= self.cores[n] as usize,
                        "worker w{n} exceeds its capacity"
                    );
                    let started = StartOutcome::Started;
                    self.sched.record_start_outcome(
                        start.worker,
                        start.task,
                        start.attempt,
                        started,
                        self.now,
                    );
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

    fn apply(&mut self, event: Event) {
        match event {
            Event::Admit(n) => {
                let id = JobId(u64::from(n));
                let spec = self.specs.entry(id).or_insert_with(|| {
                    let mut first = step(1 + u32::from(n) % 3, 1);
                    first.gang = n % 2 == 0;
                    let mut second = step(2, 1);
                    second.after = vec![0];
                    Arc::new(job(vec![first, second]))
                });
                let spec = spec.clone();
                self.sched.admit(id, spec, None, false, self.now, WallTime(0));
            }
            Event::Pass => {
                let batch = self.run_pass();
                self.record(&batch);
                self.execute(batch.commands);
            }
            Event::PassThenCrash => {
                let batch = self.run_pass();
                self.record(&batch);
                self.take_over();
            }
            Event::CrashBeforeRecord => {
                self.run_pass();
                self.take_over();
            }
            Event::RunList(n) => {
                self.now = self.now.plus_ms(5);
                let recorded = self.sched.worker(self.keys[n]).map_or(0, |w| w.recorded_end);
                self.workers[n].ended.retain(|end| end.number > recorded);
                let run_list = self.workers[n].run_list(INCARNATION);
                apply_list(&mut self.sched, self.keys[n], self.now, &run_list, self.now.plus_ms(1));
                self.now = self.now.plus_ms(2);
            }
            Event::End(n, pick) => {
                let runs: Vec<_> = self.workers[n].running.keys().copied().collect();
                if runs.is_empty() {
                    return;
                }
                let (task, attempt) = runs[usize::from(pick) % runs.len()];
                let cause =
                    [EndCause::Done, EndCause::Failed, EndCause::Lapsed][usize::from(pick) % 3];
                let gang = self.specs[&task.job].steps[task.step as usize].gang;
                if cause == EndCause::Done && !gang {
                    self.completed.insert(task, attempt);
                }
                self.workers[n].end(task, attempt, cause);
            }
            Event::Cancel(n) => {
                let id = JobId(u64::from(n));
                if self.specs.contains_key(&id) {
                    self.cancelled.push(id);
                    self.sched.cancel(id, self.now);
                }
            }
            Event::Delay(n) => self.now = self.now.plus_ms(n as u64 * 700),
            Event::Resize(n, cores) => {
                self.cores[n] = cores;
                let name = Arc::from(format!("w{n}"));
                self.sched.upsert_worker(&name, Arc::new(worker_entry(cores)), self.now);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against a task that runs twice, a start after a task completed, an overloaded worker
    /// and a job that is reported as completed too early, across takeovers with written and lost
    /// records.
    #[test]
    fn invariants_hold_for_any_order_of_events(events in prop::collection::vec(event(), 1..120)) {
        let mut simulation = Simulation::new();
        for event in events {
            simulation.apply(event);
        }
        for (id, progress) in &simulation.records {
            if progress.phase == JobPhase::Completed {
                for worker in &simulation.workers {
                    let active = worker.running.keys().any(|(task, _)| {
                        task.job == *id && !simulation.specs[id].steps[task.step as usize].gang
                    });
                    prop_assert!(!active, "{id} is completed but has active runs");
                }
            }
        }
    }
}
