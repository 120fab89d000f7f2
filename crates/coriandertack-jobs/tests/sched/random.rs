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

use crate::support::{BORN, FakeWorker, entry, job, step};

const WORKERS: usize = 3;
const CORES: u32 = 4;

#[derive(Clone, Copy, Debug)]
enum Event {
    Admit(u8),
    Turn,
    /// A turn whose records are written and whose orders are lost with the leader.
    TurnAndCrash,
    /// A turn whose records are lost with the leader.
    LostTurn,
    List(usize),
    End(usize, u8),
    Cancel(u8),
    Silent(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..6_u8).prop_map(Event::Admit),
        8 => Just(Event::Turn),
        1 => Just(Event::TurnAndCrash),
        1 => Just(Event::LostTurn),
        8 => (0..WORKERS).prop_map(Event::List),
        6 => (0..WORKERS, any::<u8>()).prop_map(|(w, n)| Event::End(w, n)),
        1 => (0..6_u8).prop_map(Event::Cancel),
        1 => (0..WORKERS).prop_map(Event::Silent),
    ]
}

struct Run {
    sched: Scheduler,
    keys: Vec<WorkerKey>,
    fakes: Vec<FakeWorker>,
    specs: HashMap<JobId, Arc<JobSpec>>,
    cancelled: Vec<JobId>,
    records: HashMap<JobId, JobProgress>,
    done: HashMap<TaskId, u32>,
    now: BootTime,
}

impl Run {
    fn new() -> Self {
        let mut run = Self {
            sched: Scheduler::new(Arc::new(Config::default())),
            keys: Vec::new(),
            fakes: (0..WORKERS).map(|_| FakeWorker::default()).collect(),
            specs: HashMap::new(),
            cancelled: Vec::new(),
            records: HashMap::new(),
            done: HashMap::new(),
            now: BootTime(1_000_000),
        };
        run.take_over();
        run
    }

    fn take_over(&mut self) {
        self.now = self.now.plus_ms(5);
        self.sched = Scheduler::new(Arc::new(Config::default()));
        self.keys = (0..WORKERS)
            .map(|n| {
                let name = Arc::from(format!("w{n}"));
                self.sched.upsert_worker(&name, Arc::new(entry(CORES)), self.now)
            })
            .collect();
        for (id, spec) in &self.specs {
            let progress = self.records.get(id);
            let cancelled = self.cancelled.contains(id);
            self.sched.admit(*id, spec.clone(), progress, cancelled, self.now, WallTime(0));
        }
    }

    fn decide(&mut self) -> Batch {
        self.now = self.now.plus_ms(5);
        self.sched.place(self.now);
        self.sched.take_batch()
    }

    fn write(&mut self, batch: &Batch) {
        for (id, progress) in &batch.records {
            self.records.insert(*id, progress.clone());
        }
        self.sched.mark_recorded(&batch.acks);
    }

    fn send(&mut self, commands: Vec<WorkerCommand>) {
        for command in commands {
            match command {
                WorkerCommand::Start(start) => {
                    let Some(n) = self.keys.iter().position(|key| *key == start.worker) else {
                        continue;
                    };
                    let elsewhere = self
                        .fakes
                        .iter()
                        .any(|fake| fake.running.keys().any(|(task, _)| *task == start.task));
                    assert!(!elsewhere, "{} runs twice", start.task);
                    assert!(!self.done.contains_key(&start.task), "{} is done", start.task);
                    let run = (start.checkpoint.clone(), 0);
                    self.fakes[n].running.insert((start.task, start.attempt), run);
                    assert!(self.fakes[n].running.len() <= CORES as usize, "w{n} is too full");
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
                        && self.fakes[n].running.contains_key(&(task, attempt))
                    {
                        self.fakes[n].end(task, attempt, EndCause::Stopped);
                    }
                    self.sched.record_stop(worker, task, attempt, self.now);
                }
            }
        }
    }

    fn play(&mut self, event: Event) {
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
            Event::Turn => {
                let batch = self.decide();
                self.write(&batch);
                self.send(batch.commands);
            }
            Event::TurnAndCrash => {
                let batch = self.decide();
                self.write(&batch);
                self.take_over();
            }
            Event::LostTurn => {
                self.decide();
                self.take_over();
            }
            Event::List(n) => {
                self.now = self.now.plus_ms(5);
                let recorded = self.sched.worker(self.keys[n]).map_or(0, |w| w.recorded_end);
                self.fakes[n].ended.retain(|end| end.number > recorded);
                let run_list = self.fakes[n].run_list(BORN);
                self.sched.apply_run_list(self.keys[n], self.now, &run_list, self.now.plus_ms(1));
                self.now = self.now.plus_ms(2);
            }
            Event::End(n, pick) => {
                let runs: Vec<_> = self.fakes[n].running.keys().copied().collect();
                if runs.is_empty() {
                    return;
                }
                let (task, attempt) = runs[usize::from(pick) % runs.len()];
                let cause =
                    [EndCause::Done, EndCause::Failed, EndCause::Lapsed][usize::from(pick) % 3];
                let gang = self.specs[&task.job].steps[task.step as usize].gang;
                if cause == EndCause::Done && !gang {
                    self.done.insert(task, attempt);
                }
                self.fakes[n].end(task, attempt, cause);
            }
            Event::Cancel(n) => {
                let id = JobId(u64::from(n));
                if self.specs.contains_key(&id) {
                    self.cancelled.push(id);
                    self.sched.cancel(id, self.now);
                }
            }
            Event::Silent(n) => self.now = self.now.plus_ms(n as u64 * 700),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    /// Guards against a task that runs twice, a start after its end, a worker that holds too much, and a job that is
    /// shown as completed too early, over takeovers with written and lost records.
    #[test]
    fn no_order_of_events_breaks_a_promise(events in prop::collection::vec(event(), 1..120)) {
        let mut run = Run::new();
        for event in events {
            run.play(event);
        }
        for (id, progress) in &run.records {
            if progress.phase == JobPhase::Completed {
                for fake in &run.fakes {
                    let alive = fake.running.keys().any(|(task, _)| {
                        task.job == *id && !run.specs[id].steps[task.step as usize].gang
                    });
                    prop_assert!(!alive, "{id} is completed and runs");
                }
            }
        }
    }
}
