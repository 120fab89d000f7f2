//! Worker pools and task specs for the placement tests.

use {
    coriandertack_core::{
        keys::{JobId, LeaseId, TaskId, WorkerKey},
        message::AttemptSpec,
        pool::{OwnedWorker, Weights, WorkerPool},
        record::Kind,
        resources::Resources,
    },
    slotmap::SlotMap,
};

pub const PLAIN: Resources = Resources::new(16_000, 32_768, 0);
pub const ACCELERATED: Resources = Resources::new(16_000, 32_768, 4);

/// A worker pool with the keys of its workers in order of creation.
pub struct Fleet {
    pub pool: WorkerPool,
    pub workers: Vec<WorkerKey>,
    keys: SlotMap<WorkerKey, ()>,
}

impl Fleet {
    pub fn new(weights: Weights) -> Self {
        Self { pool: WorkerPool::new(weights), workers: Vec::new(), keys: SlotMap::with_key() }
    }

    /// Returns a fleet of workers with equal capacity in one rack.
    pub fn uniform(count: usize, capacity: Resources) -> Self {
        let mut fleet = Self::new(Weights::default());
        for _ in 0..count {
            fleet.add_worker("z0", "r0", capacity);
        }
        fleet
    }

    pub fn add_worker(&mut self, zone: &str, rack: &str, capacity: Resources) -> WorkerKey {
        let worker = self.keys.insert(());
        let name = format!("w{}", self.workers.len());
        self.pool.upsert_worker(worker, OwnedWorker::new(&name, zone, rack, capacity));
        self.pool.reconcile(worker, &[]);
        self.workers.push(worker);
        worker
    }
}

pub fn lease(job: u64, index: u32) -> LeaseId {
    LeaseId { task: TaskId { job: JobId(job), index }, attempt: 1 }
}

pub fn spec(job: u64, kind: Kind, need: Resources) -> AttemptSpec {
    AttemptSpec {
        lease: lease(job, 0),
        class: "team.work".into(),
        kind,
        need,
        run_ms: 0,
        urgent: false,
        command: "".into(),
    }
}

pub fn urgent(job: u64, need: Resources) -> AttemptSpec {
    AttemptSpec { urgent: true, ..spec(job, Kind::Batch, need) }
}

pub fn gang(job: u64, tasks: u32, need: Resources) -> Vec<AttemptSpec> {
    (0..tasks)
        .map(|index| AttemptSpec { lease: lease(job, index), ..spec(job, Kind::Gang, need) })
        .collect()
}
