//! Workers and random jobs of the packing benchmark.

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

/// Number of workers in each rack.
const WORKERS_PER_RACK: usize = 8;

/// Number of availability zones.
const ZONES: usize = 3;

/// Capacity of a worker without accelerators.
const PLAIN: Resources = Resources::new(16_000, 32_768, 0);

/// Capacity of a worker with accelerators.
pub(super) const ACCELERATED: Resources = Resources::new(16_000, 32_768, 4);

/// Distribution of the needs of jobs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mix {
    pub(super) name: &'static str,
    /// Percentage of jobs that need accelerators.
    accelerated: u32,
    /// Minimum and maximum memory per core, in MiB.
    memory: (u32, u32),
}

pub(super) const MIXES: [Mix; 4] = [
    Mix { name: "processors", accelerated: 5, memory: (512, 2_560) },
    Mix { name: "memory", accelerated: 5, memory: (1_536, 4_096) },
    Mix { name: "processors and accelerators", accelerated: 12, memory: (512, 2_560) },
    Mix { name: "accelerators", accelerated: 20, memory: (512, 2_560) },
];

/// Generator of random jobs of mixed kinds.
pub(super) struct JobGenerator {
    rng: ChaCha8Rng,
    mix: Mix,
    next_id: u64,
}

impl JobGenerator {
    pub(super) fn new(seed: u64, mix: Mix) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed), mix, next_id: 1 }
    }

    /// Returns the tasks of the next random job.
    pub(super) fn next_job(&mut self) -> Vec<AttemptSpec> {
        let roll = self.rng.random_range(0..100);
        let accelerated = self.mix.accelerated;
        if roll < accelerated {
            let need = self.random_need(2, 8, 2);
            return self.attempt_specs(Kind::Batch, need, 1);
        }
        match (roll - accelerated) * 100 / (100 - accelerated) {
            0..20 => {
                let need = self.random_need(2, 16, 0);
                self.attempt_specs(Kind::Service, need, 1)
            }
            20..30 => {
                let (need, tasks) = (self.random_need(4, 8, 0), self.rng.random_range(2..=8));
                self.attempt_specs(Kind::Gang, need, tasks)
            }
            _ => {
                let need = self.random_need(1, 16, 0);
                self.attempt_specs(Kind::Batch, need, 1)
            }
        }
    }

    /// Returns a random need of `min_quarters` to `max_quarters` quarters of a core, with memory in steps of 64 MiB.
    /// If `accelerators` is not 0, the need includes one to that many accelerators.
    fn random_need(
        &mut self,
        min_quarters: u32,
        max_quarters: u32,
        accelerators: u32,
    ) -> Resources {
        let quarters = self.rng.random_range(min_quarters..=max_quarters);
        let (least, most) = self.mix.memory;
        let per_core = self.rng.random_range(least..=most);
        let memory_mib = (quarters * per_core / 4 / 64).max(1) * 64;
        let accelerators = match accelerators {
            0 => 0,
            most => self.rng.random_range(1..=most),
        };
        Resources::new(quarters * 250, memory_mib, accelerators)
    }

    fn attempt_specs(&mut self, kind: Kind, need: Resources, tasks: u32) -> Vec<AttemptSpec> {
        let job = JobId(self.next_id);
        self.next_id += 1;
        let class = format!("team.{kind}-{}", self.next_id % 40);
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

/// Returns the capacities of a fleet with an average of 1.1 accelerators per worker: 11 of every 40 workers have
/// four each.
pub(super) fn fleet(workers: usize) -> Vec<Resources> {
    let capacity = |index| if index * 11 % 40 < 11 { ACCELERATED } else { PLAIN };
    (0..workers).map(capacity).collect()
}

/// Returns the pools of `owners` owners, with the workers of a fleet assigned to them in turn.
pub(super) fn worker_pools(
    fleet: &[Resources],
    owners: usize,
    weights: Weights,
) -> Vec<WorkerPool> {
    let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let mut worker_pools = vec![WorkerPool::new(weights); owners];
    for (index, &capacity) in fleet.iter().enumerate() {
        let rack = index / WORKERS_PER_RACK;
        let (name, zone) = (format!("w{index}"), format!("z{}", rack % ZONES));
        let worker = keys.insert(());
        let worker_pool = &mut worker_pools[index % owners];
        worker_pool
            .upsert_worker(worker, OwnedWorker::new(&name, &zone, &format!("r{rack}"), capacity));
        worker_pool.reconcile(worker, &[]);
    }
    worker_pools
}

/// Places the tasks of one job in one pool.
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
