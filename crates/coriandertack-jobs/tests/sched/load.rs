//! Plays the load of a busy fleet in simulated time, and checks what its callers get.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use {
    coriandertack_core::resources::Resources,
    coriandertack_jobs::{
        boot_time::{BootTime, WallTime},
        config::{AdvicePolicy, Config, Route},
        ids::{JobId, StepId, TaskId},
        progress::JobPhase,
        report::{ActiveRun, EndCause, RunEnd, RunList},
        sched::{AdviceCall, Scheduler, StartOutcome, WorkerCommand, WorkerKey},
        spec::{JobSpec, StepSpec},
    },
    rand::{Rng, RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
};

use crate::support::{INCARNATION, apply_list, worker_entry};

pub const TICK_MS: u64 = 20;

/// Time for which jobs arrive, in milliseconds.
const ARRIVALS_MS: u64 = 15_000;

/// Time between two lists of a worker without ends, in milliseconds.
const LIST_INTERVAL_MS: u64 = 400;

/// Number of plays, each with other sizes, run times and allowed workers.
const SEEDS: u64 = 1;

/// A kind of job.
pub struct Kind {
    pub route: Arc<Route>,
    /// Jobs a second.
    pub rate: f64,
    pub tasks: f64,
    pub millicores: f64,
    pub run_ms: f64,
    pub gang: bool,
    /// Share of workers that the policy allows.
    pub share: f64,
}

/// What the callers of one kind got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    pub owed: f64,
    pub earned: f64,
}

impl Served {
    pub fn share(self) -> f64 {
        self.earned / self.owed
    }
}

fn kind(name: &str, priority: u32, stretch: f64, slo_ms: u64, advice: (f64, f64)) -> Arc<Route> {
    Arc::new(Route {
        name: name.into(),
        service: "vans".into(),
        priority,
        max_attempts: 2,
        stretch,
        slo_ms,
        advice: Some(AdvicePolicy { call_ms: advice.0, worker_ms: advice.1, validity_ms: 2_000 }),
        ..Route::default()
    })
}

/// The kinds of the large fleet.
fn kinds(gang_factor: f64) -> Vec<Kind> {
    vec![
        Kind {
            route: kind("route-plan", 1, 2.2, 1_000, (637.0, 9.1)),
            rate: 7.7 * gang_factor,
            tasks: 18.0,
            millicores: 4_500.0,
            run_ms: 4_200.0,
            gang: true,
            share: 0.3,
        },
        Kind {
            route: kind("rental-recon", 2, 4.0, 3_000, (182.0, 2.6)),
            rate: 16.0,
            tasks: 18.0,
            millicores: 2_800.0,
            run_ms: 1_900.0,
            gang: false,
            share: 0.45,
        },
        Kind {
            route: kind("booking-confirm", 0, 1.5, 250, (26.0, 0.364)),
            rate: 76.0,
            tasks: 3.0,
            millicores: 3_900.0,
            run_ms: 850.0,
            gang: false,
            share: 0.7,
        },
    ]
}

/// Size of a job.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub tasks: u32,
    pub millicores: u32,
    pub run_ms: u64,
}

struct SimulatedRun {
    ends_at: BootTime,
    began: BootTime,
}

pub struct Fleet {
    pub sched: Scheduler,
    pub now: BootTime,
    rng: ChaCha8Rng,
    keys: Vec<WorkerKey>,
    runs: HashMap<WorkerKey, BTreeMap<(TaskId, u32), SimulatedRun>>,
    ended: HashMap<WorkerKey, Vec<RunEnd>>,
    last_end: HashMap<WorkerKey, u64>,
    listed_at: HashMap<WorkerKey, BootTime>,
    /// When each VM has answered the calls made so far.
    vms: HashMap<Arc<str>, BootTime>,
    calls: Vec<(BootTime, AdviceCall)>,
    shares: HashMap<JobId, f64>,
    run_ms: HashMap<StepId, u64>,
    pub completed: HashMap<JobId, BootTime>,
    policy: HashMap<JobId, AdvicePolicy>,
}

impl Fleet {
    pub fn new(workers: usize, vms: usize, seed: u64, config: Arc<Config>) -> Self {
        let mut sched = Scheduler::new(config);
        let now = BootTime(1_000_000);
        let name = |n: usize| -> Arc<str> { format!("w{n}").into() };
        let keys: Vec<_> = (0..workers)
            .map(|n| sched.upsert_worker(&name(n), Arc::new(worker_entry(16)), now))
            .collect();
        let names: Vec<Arc<str>> = (0..vms).map(|n| format!("vm-{n}").into()).collect();
        sched.set_advice_vms(&names);
        let mut fleet = Self {
            sched,
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            runs: keys.iter().map(|key| (*key, BTreeMap::new())).collect(),
            ended: HashMap::new(),
            last_end: HashMap::new(),
            listed_at: HashMap::new(),
            vms: names.into_iter().map(|vm| (vm, now)).collect(),
            calls: Vec::new(),
            shares: HashMap::new(),
            run_ms: HashMap::new(),
            completed: HashMap::new(),
            policy: HashMap::new(),
            keys,
        };
        for key in fleet.keys.clone() {
            fleet.list(key);
        }
        fleet
    }

    /// Returns a factor around 1, as run times and sizes vary.
    fn vary(&mut self) -> f64 {
        let sum: f64 = (0..4).map(|_| self.rng.random::<f64>()).sum();
        ((sum - 2.0) * 0.9).exp()
    }

    fn admit(&mut self, id: u64, kind: &Kind) {
        // Widths vary more than other sizes do: few gangs are several times as wide as the rest.
        let tasks = (kind.tasks * self.vary().powf(1.8)).round().clamp(1.0, 120.0) as u32;
        let millicores = (kind.millicores * self.vary()).clamp(500.0, 8_000.0) as u32;
        let run_ms = (kind.run_ms * self.vary()) as u64;
        self.admit_sized(id, kind, None, Size { tasks, millicores, run_ms });
    }

    /// Submits a job of a given size.
    pub fn admit_sized(&mut self, id: u64, kind: &Kind, team: Option<Arc<str>>, size: Size) {
        let step = StepSpec {
            count: size.tasks,
            need: Resources::new(size.millicores, 64, 0),
            estimate_ms: kind.run_ms as u64,
            gang: kind.gang,
            ..StepSpec::default()
        };
        let spec = JobSpec {
            team,
            route: kind.route.clone(),
            payload: "".into(),
            steps: vec![step],
            repeat: None,
            accepted_at: WallTime(0),
        };
        let id = JobId(id);
        self.shares.insert(id, kind.share);
        self.policy.extend(kind.route.advice.map(|policy| (id, policy)));
        self.run_ms.insert(StepId { job: id, occurrence: 0, step: 0 }, size.run_ms);
        self.sched.admit(id, Arc::new(spec), None, false, self.now, WallTime(0));
    }

    /// Returns whether the policy allows a worker to run a step, which never changes.
    fn allows(&self, job: JobId, worker: &str) -> bool {
        let number: u64 = worker.trim_start_matches('w').parse().unwrap();
        let mut rng =
            ChaCha8Rng::seed_from_u64(job.0.wrapping_mul(0x9e37_79b9).wrapping_add(number));
        (rng.next_u32() as f64 / f64::from(u32::MAX)) < self.shares[&job]
    }

    fn list(&mut self, key: WorkerKey) {
        let now = self.now;
        let running = self.runs[&key].iter().map(|((task, attempt), run)| {
            let (done, all) = (now.ms_since(run.began), run.ends_at.ms_since(run.began).max(1));
            let percent = (done * 100 / all).min(99) as u32;
            ActiveRun { task: *task, attempt: *attempt, checkpoint: "".into(), percent, load: 0 }
        });
        let running = running.collect();
        let ended = self.ended.remove(&key).unwrap_or_default();
        let run_list = RunList { clock_ms: 1, born: INCARNATION, running, ended, truncated: false };
        self.listed_at.insert(key, now);
        apply_list(&mut self.sched, key, now, &run_list, now);
    }

    fn end(&mut self, key: WorkerKey, task: TaskId, attempt: u32, cause: EndCause) {
        self.runs.get_mut(&key).unwrap().remove(&(task, attempt));
        let number = self.last_end.entry(key).or_default();
        *number += 1;
        let end = RunEnd { number: *number, task, attempt, cause, checkpoint: "".into() };
        self.ended.entry(key).or_default().push(end);
    }

    fn execute(&mut self, command: WorkerCommand) {
        match command {
            WorkerCommand::Start(start) => {
                let ends_at = self.now.plus_ms(self.run_ms[&start.task.step_id()]);
                let run = SimulatedRun { ends_at, began: self.now };
                self.runs.get_mut(&start.worker).unwrap().insert((start.task, start.attempt), run);
                let (key, outcome) = (start.worker, StartOutcome::Started);
                self.sched.record_start_outcome(key, start.task, start.attempt, outcome, self.now);
            }
            WorkerCommand::Stop { worker, task, attempt } => {
                if self.runs[&worker].contains_key(&(task, attempt)) {
                    self.end(worker, task, attempt, EndCause::Stopped);
                }
                self.sched.record_stop(worker, task, attempt, self.now);
            }
        }
    }

    pub fn advance(&mut self) {
        self.now = self.now.plus_ms(TICK_MS);
        let now = self.now;
        for key in self.keys.clone() {
            let due = self.runs[&key].iter().filter(|(_, run)| run.ends_at <= now);
            let due: Vec<_> = due.map(|(id, _)| *id).collect();
            let any = !due.is_empty();
            due.into_iter()
                .for_each(|(task, attempt)| self.end(key, task, attempt, EndCause::Done));
            let busy = !self.runs[&key].is_empty() || self.ended.contains_key(&key);
            if any || (busy && now.ms_since(self.listed_at[&key]) >= LIST_INTERVAL_MS) {
                self.list(key);
            }
        }
        let (answered, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.calls).into_iter().partition(|(at, _)| *at <= now);
        self.calls = rest;
        for (_, call) in answered {
            let granted = call.workers.iter().filter(|(_, name)| self.allows(call.step.job, name));
            let tickets: Vec<_> =
                granted.map(|(_, name)| (name.clone(), "ticket".into())).collect();
            self.sched.record_advice(&call, Some(&tickets), now);
        }
        self.sched.place(now);
        let batch = self.sched.take_batch();
        for call in self.sched.take_calls() {
            let free_at = self.vms.get_mut(&call.vm).unwrap();
            let cost_ms = self.policy[&call.step.job].cost_ms(call.workers.len()) as u64;
            *free_at = (*free_at).max(now).plus_ms(cost_ms);
            self.calls.push((*free_at, call));
        }
        for (id, progress) in &batch.records {
            if progress.phase == JobPhase::Completed {
                self.completed.entry(*id).or_insert(now);
            }
        }
        self.sched.mark_recorded(&batch.acks);
        batch.commands.into_iter().for_each(|command| self.execute(command));
    }
}

/// Plays jobs of all kinds, with `burst` times as many gangs in the second third of the time.
/// Returns what the callers of each kind got.
fn play(workers: usize, vms: usize, burst: f64, seed: u64) -> HashMap<Arc<str>, Served> {
    let mut fleet = Fleet::new(workers, vms, seed, Arc::default());
    let began = fleet.now;
    let mut jobs: Vec<(JobId, usize, BootTime)> = Vec::new();
    let (usual, more) = (kinds(1.0), kinds(burst));
    while fleet.now.ms_since(began) < ARRIVALS_MS + 12_000 {
        let elapsed = fleet.now.ms_since(began);
        let in_burst = (ARRIVALS_MS / 3..ARRIVALS_MS * 2 / 3).contains(&elapsed);
        for (number, kind) in if in_burst { &more } else { &usual }.iter().enumerate() {
            let arrives = fleet.rng.random::<f64>() < kind.rate * TICK_MS as f64 / 1_000.0;
            if arrives && elapsed < ARRIVALS_MS {
                let id = jobs.len() as u64 + 1;
                jobs.push((JobId(id), number, fleet.now));
                fleet.admit(id, kind);
            }
        }
        fleet.advance();
    }
    let mut served: HashMap<Arc<str>, Served> = HashMap::new();
    for (id, number, at) in jobs {
        let kind = &usual[number];
        let run_ms = fleet.run_ms[&StepId { job: id, occurrence: 0, step: 0 }] as f64;
        let advice_ms = kind.route.advice.unwrap().cost_ms(30);
        let objective = (run_ms + advice_ms) * kind.route.stretch + kind.route.slo_ms as f64;
        let took = fleet.completed.get(&id).map(|done| done.ms_since(at) as f64);
        let entry = served.entry(kind.route.name.clone()).or_default();
        entry.owed += 1.0;
        entry.earned += match took {
            Some(took) if took <= objective => 1.0,
            Some(took) if took <= 3.0 * objective => 0.2,
            _ => 0.0,
        };
    }
    served
}

/// Guards against gangs that wait for tens of seconds while a third of the fleet is idle, because
/// each knows too few of the workers that its policy allows. The load is that of the large fleet with
/// a burst of gangs.
#[test]
fn gangs_are_served_in_time_on_a_busy_fleet() {
    let mut served: HashMap<Arc<str>, Served> = HashMap::new();
    for seed in 1..=SEEDS {
        for (route, one) in play(500, 90, 2.3, seed) {
            let sum = served.entry(route).or_default();
            sum.owed += one.owed;
            sum.earned += one.earned;
        }
    }
    assert!(served["route-plan"].share() >= 0.75, "{served:?}");
    assert!(served["booking-confirm"].share() >= 0.75, "{served:?}");
    assert!(served["rental-recon"].share() >= 0.75, "{served:?}");
}
