//! Workers and tasks for the tests.

use {
    coriandertack_core::{
        cell::{Cell, Host, Weights},
        keys::{JobId, LeaseId, TaskId, WorkerKey},
        message::Ask,
        record::Kind,
        resources::Resources,
    },
    slotmap::SlotMap,
};

pub const PLAIN: Resources = Resources::new(16_000, 32_768, 0);
pub const ACCELERATED: Resources = Resources::new(16_000, 32_768, 4);

/// A cell with its workers in order of their creation.
pub struct Fleet {
    pub cell: Cell,
    pub workers: Vec<WorkerKey>,
    keys: SlotMap<WorkerKey, ()>,
}

impl Fleet {
    pub fn new(weights: Weights) -> Self {
        Self { cell: Cell::new(weights), workers: Vec::new(), keys: SlotMap::with_key() }
    }

    /// Returns a fleet of equal workers in one rack.
    pub fn of(count: usize, capacity: Resources) -> Self {
        let mut fleet = Self::new(Weights::default());
        for _ in 0..count {
            fleet.add("z0", "r0", capacity);
        }
        fleet
    }

    pub fn add(&mut self, zone: &str, rack: &str, capacity: Resources) -> WorkerKey {
        let worker = self.keys.insert(());
        let name = format!("w{}", self.workers.len());
        self.cell.track(worker, Host::new(&name, zone, rack, capacity));
        self.cell.resolve(worker, &[]);
        self.workers.push(worker);
        worker
    }
}

pub fn lease(job: u64, index: u32) -> LeaseId {
    LeaseId { task: TaskId { job: JobId(job), index }, attempt: 1 }
}

pub fn ask(job: u64, kind: Kind, need: Resources) -> Ask {
    Ask {
        lease: lease(job, 0),
        class: "team.work".into(),
        kind,
        need,
        run_ms: 0,
        urgent: false,
        command: "".into(),
    }
}

pub fn urgent(job: u64, need: Resources) -> Ask {
    Ask { urgent: true, ..ask(job, Kind::Batch, need) }
}

pub fn gang(job: u64, tasks: u32, need: Resources) -> Vec<Ask> {
    (0..tasks).map(|index| Ask { lease: lease(job, index), ..ask(job, Kind::Gang, need) }).collect()
}
