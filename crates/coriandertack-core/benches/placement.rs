//! Benchmarks of placement decisions in a pool with 90% of its processors granted.

use std::{collections::VecDeque, hint::black_box};

use {
    coriandertack_core::{
        keys::{JobId, LeaseId, TaskId, WorkerKey},
        message::AttemptSpec,
        pool::{GrantPhase, OwnedWorker, Weights, WorkerPool},
        record::Kind,
        resources::Resources,
    },
    criterion::{Criterion, criterion_group, criterion_main},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    slotmap::SlotMap,
};

/// Workers in each rack.
const WORKERS_PER_RACK: usize = 8;

const ZONES: usize = 3;

/// Share of the processors that is granted before the benchmarks run, in percent.
const FULL_PERCENT: u64 = 90;

/// A pool with running tasks and a generator of new ones.
struct LoadedPool {
    pool: WorkerPool,
    rng: ChaCha8Rng,
    running: VecDeque<AttemptSpec>,
    next: u64,
}

impl LoadedPool {
    fn new(workers: usize) -> Self {
        let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
        let mut pool = WorkerPool::new(Weights::VUKIC);
        for at in 0..workers {
            let accelerators = if at % 4 == 0 { 4 } else { 0 };
            let capacity = Resources::new(16_000, 32_768, accelerators);
            let (zone, rack) = (
                format!("z{}", at / WORKERS_PER_RACK % ZONES),
                format!("r{}", at / WORKERS_PER_RACK),
            );
            let worker = keys.insert(());
            pool.upsert_worker(worker, OwnedWorker::new(&format!("w{at}"), &zone, &rack, capacity));
            pool.reconcile(worker, &[]);
        }
        let rng = ChaCha8Rng::seed_from_u64(1);
        let mut load = Self { pool, rng, running: VecDeque::new(), next: 0 };
        let full = workers as u64 * 16_000 * FULL_PERCENT / 100;
        let mut granted = 0;
        while granted < full {
            let spec = load.spec();
            granted += u64::from(spec.need.millicores);
            load.place(spec);
        }
        load
    }

    /// Returns a task of a random kind and size.
    fn spec(&mut self) -> AttemptSpec {
        self.next += 1;
        let quarters = self.rng.random_range(1..=16);
        let memory_mib = quarters * self.rng.random_range(128..=640);
        let accelerators = u32::from(self.rng.random_range(0..20) == 0);
        let kind = if self.rng.random_range(0..5) == 0 { Kind::Service } else { Kind::Batch };
        AttemptSpec {
            lease: LeaseId { task: TaskId { job: JobId(self.next), index: 0 }, attempt: 1 },
            class: format!("team.{}", self.next % 40).into(),
            kind,
            need: Resources::new(quarters * 250, memory_mib, accelerators),
            run_ms: 0,
            urgent: false,
            command: "".into(),
        }
    }

    fn place(&mut self, spec: AttemptSpec) -> bool {
        let placed = self.pool.place(&spec, GrantPhase::Running).is_ok();
        if placed {
            self.running.push_back(spec);
        }
        placed
    }

    /// Ends the oldest task and tries to place a new one. Returns whether the new task was placed.
    fn replace_oldest(&mut self) -> bool {
        if let Some(ended) = self.running.pop_front() {
            self.pool.release(ended.lease);
        }
        let spec = self.spec();
        self.place(spec)
    }

    /// Preempts tasks for an urgent task and reverts the preemption. Returns the number of victims.
    fn preempt(&mut self) -> usize {
        let need = Resources::new(8_000, 8_192, 0);
        let spec = AttemptSpec { urgent: true, kind: Kind::Batch, need, ..self.spec() };
        let Some(victims) = self.pool.preempt(&spec) else {
            return 0;
        };
        self.pool.release(spec.lease);
        for &lease in &victims.leases {
            self.pool.set_phase(lease, GrantPhase::Running);
        }
        victims.leases.len()
    }

    /// Tries to place a gang and releases it again. Returns whether the gang was placed.
    fn gang(&mut self, tasks: u32, need: Resources) -> bool {
        let first = AttemptSpec { kind: Kind::Gang, need, ..self.spec() };
        let member = |index| {
            let task = TaskId { index, ..first.lease.task };
            AttemptSpec { lease: LeaseId { task, ..first.lease }, ..first.clone() }
        };
        let specs: Vec<AttemptSpec> = (0..tasks).map(member).collect();
        let placed = self.pool.place_all(&specs, GrantPhase::Running).is_ok();
        for spec in &specs {
            self.pool.release(spec.lease);
        }
        placed
    }
}

fn bench_placement(criterion: &mut Criterion) {
    for workers in [100, 1_000, 10_000] {
        let mut load = LoadedPool::new(workers);
        let small = Resources::new(1_000, 1_024, 0);
        criterion.bench_function(&format!("end and place/{workers}"), |bench| {
            bench.iter(|| black_box(load.replace_oldest()));
        });
        criterion.bench_function(&format!("preempt/{workers}"), |bench| {
            bench.iter(|| black_box(load.preempt()));
        });
        criterion.bench_function(&format!("gang of 32/{workers}"), |bench| {
            bench.iter(|| black_box(load.gang(32, small)));
        });
        // Many of the tasks fit, but never all of them.
        let large = Resources::new(4_000, 4_096, 0);
        let tasks = workers as u32 * 2;
        criterion.bench_function(&format!("gang refused/{workers}"), |bench| {
            bench.iter(|| black_box(load.gang(tasks, large)));
        });
        criterion.bench_function(&format!("summary/{workers}"), |bench| {
            bench.iter(|| black_box(load.pool.summary()));
        });
    }
}

criterion_group!(benches, bench_placement);
criterion_main!(benches);
