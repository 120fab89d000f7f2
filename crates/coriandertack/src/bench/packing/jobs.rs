//! The workers and the jobs of the experiment.

use {
    coriandertack_core::{
        keys::{JobId, LeaseId, TaskId, WorkerKey},
        message::AttemptSpec,
        pool::{GrantPhase, OwnedWorker, PlacementError, Weights, WorkerFilter, WorkerPool},
        record::Kind,
        resources::Resources,
    },
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    slotmap::SlotMap,
};

/// Workers in each rack.
const RACK: usize = 8;

/// Availability zones.
const ZONES: usize = 3;

/// A worker without accelerators.
const PLAIN: Resources = Resources::new(16_000, 32_768, 0);

/// A worker with accelerators.
pub(super) const ACCELERATED: Resources = Resources::new(16_000, 32_768, 4);

/// What the jobs mostly need.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mix {
    pub(super) name: &'static str,
    /// Jobs of each hundred that need accelerators.
    accelerated: u32,
    /// Memory for each core in MiB, from and to.
    memory: (u32, u32),
}

pub(super) const MIXES: [Mix; 4] = [
    Mix { name: "processors", accelerated: 5, memory: (512, 2_560) },
    Mix { name: "memory", accelerated: 5, memory: (1_536, 4_096) },
    Mix { name: "processors and accelerators", accelerated: 12, memory: (512, 2_560) },
    Mix { name: "accelerators", accelerated: 20, memory: (512, 2_560) },
];

/// Makes jobs of mixed kinds.
pub(super) struct Jobs {
    rng: ChaCha8Rng,
    mix: Mix,
    next: u64,
}

impl Jobs {
    pub(super) fn new(seed: u64, mix: Mix) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed), mix, next: 1 }
    }

    /// Returns the tasks of the next job.
    pub(super) fn job(&mut self) -> Vec<AttemptSpec> {
        let roll = self.rng.random_range(0..100);
        let accelerated = self.mix.accelerated;
        if roll < accelerated {
            let need = self.need(2, 8, 2);
            return self.specs(Kind::Batch, need, 1);
        }
        match (roll - accelerated) * 100 / (100 - accelerated) {
            0..20 => {
                let need = self.need(2, 16, 0);
                self.specs(Kind::Service, need, 1)
            }
            20..30 => {
                let (need, tasks) = (self.need(4, 8, 0), self.rng.random_range(2..=8));
                self.specs(Kind::Gang, need, tasks)
            }
            _ => {
                let need = self.need(1, 16, 0);
                self.specs(Kind::Batch, need, 1)
            }
        }
    }

    /// Returns a need with processors in quarters of a core and memory in steps of 64 MiB.
    fn need(&mut self, from: u32, to: u32, accelerators: u32) -> Resources {
        let quarters = self.rng.random_range(from..=to);
        let (least, most) = self.mix.memory;
        let per_core = self.rng.random_range(least..=most);
        let memory_mib = (quarters * per_core / 4 / 64).max(1) * 64;
        let accelerators = match accelerators {
            0 => 0,
            most => self.rng.random_range(1..=most),
        };
        Resources::new(quarters * 250, memory_mib, accelerators)
    }

    fn specs(&mut self, kind: Kind, need: Resources, tasks: u32) -> Vec<AttemptSpec> {
        let job = JobId(self.next);
        self.next += 1;
        let class = format!("team.{kind}-{}", self.next % 40);
        let spec = |index| AttemptSpec {
            lease: LeaseId { task: TaskId { job, index }, attempt: 1 },
            class: class.as_str().into(),
            kind,
            need,
            run_ms: 0,
            urgent: false,
            command: "".into(),
        };
        (0..tasks).map(spec).collect()
    }
}

/// Returns the capacities of a fleet with 1.1 accelerators for each worker, on 11 of each 40 workers.
pub(super) fn fleet(workers: usize) -> Vec<Resources> {
    let capacity = |at| if at * 11 % 40 < 11 { ACCELERATED } else { PLAIN };
    (0..workers).map(capacity).collect()
}

/// Returns cells that own the workers of a fleet in turn.
pub(super) fn worker_pools(
    fleet: &[Resources],
    owners: usize,
    weights: Weights,
) -> Vec<WorkerPool> {
    let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let mut worker_pools = vec![WorkerPool::new(weights); owners];
    for (at, &capacity) in fleet.iter().enumerate() {
        let rack = at / RACK;
        let (name, zone) = (format!("w{at}"), format!("z{}", rack % ZONES));
        let worker = keys.insert(());
        let worker_pool = &mut worker_pools[at % owners];
        worker_pool
            .upsert_worker(worker, OwnedWorker::new(&name, &zone, &format!("r{rack}"), capacity));
        worker_pool.reconcile(worker, &[]);
    }
    worker_pools
}

/// Places the tasks of one job in one cell.
pub(super) fn place_job(
    worker_pool: &mut WorkerPool,
    specs: &[AttemptSpec],
    filter: WorkerFilter,
) -> Result<(), PlacementError> {
    match specs {
        [spec] => worker_pool.place_filtered(spec, GrantPhase::Running, filter).map(drop),
        _ => worker_pool.place_all_filtered(specs, GrantPhase::Running, filter).map(drop),
    }
}
