//! Time of placement decisions in a cell that is 90% full.

use std::{collections::VecDeque, hint::black_box};

use {
    coriandertack_core::{
        cell::{Cell, Host, Phase, Weights},
        keys::{JobId, LeaseId, TaskId, WorkerKey},
        message::Ask,
        record::Kind,
        resources::Resources,
    },
    criterion::{Criterion, criterion_group, criterion_main},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    slotmap::SlotMap,
};

/// Workers in each rack.
const RACK: usize = 8;

/// Availability zones.
const ZONES: usize = 3;

/// Part of the processors that is granted.
const FULL_PERCENT: u64 = 90;

/// A cell with running tasks, and more to come.
struct Load {
    cell: Cell,
    rng: ChaCha8Rng,
    running: VecDeque<Ask>,
    next: u64,
}

impl Load {
    fn new(workers: usize) -> Self {
        let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
        let mut cell = Cell::new(Weights::VUKIC);
        for at in 0..workers {
            let accelerators = if at % 4 == 0 { 4 } else { 0 };
            let capacity = Resources::new(16_000, 32_768, accelerators);
            let (zone, rack) = (format!("z{}", at / RACK % ZONES), format!("r{}", at / RACK));
            let worker = keys.insert(());
            cell.track(worker, Host::new(&format!("w{at}"), &zone, &rack, capacity));
            cell.resolve(worker, &[]);
        }
        let rng = ChaCha8Rng::seed_from_u64(1);
        let mut load = Self { cell, rng, running: VecDeque::new(), next: 0 };
        let full = workers as u64 * 16_000 * FULL_PERCENT / 100;
        let mut granted = 0;
        while granted < full {
            let ask = load.ask();
            granted += u64::from(ask.need.millicores);
            load.place(ask);
        }
        load
    }

    /// Returns a task of a random kind and size.
    fn ask(&mut self) -> Ask {
        self.next += 1;
        let quarters = self.rng.random_range(1..=16);
        let memory_mib = quarters * self.rng.random_range(128..=640);
        let accelerators = u32::from(self.rng.random_range(0..20) == 0);
        let kind = if self.rng.random_range(0..5) == 0 { Kind::Service } else { Kind::Batch };
        Ask {
            lease: LeaseId { task: TaskId { job: JobId(self.next), index: 0 }, attempt: 1 },
            class: format!("team.{}", self.next % 40).into(),
            kind,
            need: Resources::new(quarters * 250, memory_mib, accelerators),
            run_ms: 0,
            urgent: false,
            command: "".into(),
        }
    }

    fn place(&mut self, ask: Ask) -> bool {
        let placed = self.cell.place(&ask, Phase::Running).is_ok();
        if placed {
            self.running.push_back(ask);
        }
        placed
    }

    /// Ends the oldest task and places a new one.
    fn turn(&mut self) -> bool {
        if let Some(ended) = self.running.pop_front() {
            self.cell.release(ended.lease);
        }
        let ask = self.ask();
        self.place(ask)
    }

    /// Chooses victims for urgent work, and takes the choice back.
    fn preempt(&mut self) -> usize {
        let need = Resources::new(8_000, 8_192, 0);
        let ask = Ask { urgent: true, kind: Kind::Batch, need, ..self.ask() };
        let Some(victims) = self.cell.preempt(&ask) else {
            return 0;
        };
        self.cell.release(ask.lease);
        for &lease in &victims.leases {
            self.cell.set_phase(lease, Phase::Running);
        }
        victims.leases.len()
    }

    /// Places a gang, and takes it back.
    fn gang(&mut self, tasks: u32, need: Resources) -> bool {
        let first = Ask { kind: Kind::Gang, need, ..self.ask() };
        let member = |index| {
            let task = TaskId { index, ..first.lease.task };
            Ask { lease: LeaseId { task, ..first.lease }, ..first.clone() }
        };
        let asks: Vec<Ask> = (0..tasks).map(member).collect();
        let placed = self.cell.place_all(&asks, Phase::Running).is_ok();
        for ask in &asks {
            self.cell.release(ask.lease);
        }
        placed
    }
}

fn decisions(criterion: &mut Criterion) {
    for workers in [100, 1_000, 10_000] {
        let mut load = Load::new(workers);
        let small = Resources::new(1_000, 1_024, 0);
        criterion.bench_function(&format!("end and place/{workers}"), |bench| {
            bench.iter(|| black_box(load.turn()));
        });
        criterion.bench_function(&format!("preempt/{workers}"), |bench| {
            bench.iter(|| black_box(load.preempt()));
        });
        criterion.bench_function(&format!("gang of 32/{workers}"), |bench| {
            bench.iter(|| black_box(load.gang(32, small)));
        });
        // Many tasks have room, but never all of them.
        let large = Resources::new(4_000, 4_096, 0);
        let tasks = workers as u32 * 2;
        criterion.bench_function(&format!("gang refused/{workers}"), |bench| {
            bench.iter(|| black_box(load.gang(tasks, large)));
        });
        criterion.bench_function(&format!("summary/{workers}"), |bench| {
            bench.iter(|| black_box(load.cell.summary()));
        });
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
