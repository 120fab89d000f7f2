//! Workers by free capacity, rack and zone.
//!
//! Workers with about the same free capacity share a bucket. A search visits only buckets that can hold
//! the need and looks at a few workers of each, so that its cost depends on the number of buckets
//! in use rather than on the number of workers.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use slotmap::{SecondaryMap, SlotMap, new_key_type};

use crate::{keys::WorkerKey, message::CapacitySummary, pool::OwnedWorker, resources::Resources};

new_key_type! {
    /// Handle of an availability zone.
    pub(super) struct ZoneKey;
    /// Handle of a rack.
    pub(super) struct RackKey;
}

/// Buckets for each doubling of an amount. With 4, the amounts in a bucket differ by at most 19%.
const STEPS_PER_OCTAVE: f64 = 4.0;

/// Free accelerators from which on workers share buckets.
const MAX_ACCELERATORS: u32 = 16;

/// A range of free capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Bucket {
    /// 0 for workers without accelerators, otherwise 1 more than the free accelerators.
    accelerators: u8,
    processors: u8,
    memory: u8,
}

impl Bucket {
    /// Returns the bucket of a worker's free capacity.
    fn of(capacity: Resources, free: Resources) -> Self {
        let accelerators = match capacity.accelerators {
            0 => 0,
            _ => 1 + step_of_accelerators(free.accelerators),
        };
        let (processors, memory) = (step(free.millicores), step(free.memory_mib));
        Self { accelerators, processors, memory }
    }
}

fn step_of_accelerators(count: u32) -> u8 {
    u8::try_from(count.min(MAX_ACCELERATORS)).unwrap_or(u8::MAX)
}

fn step(amount: u32) -> u8 {
    // The logarithm of 2^32 is 32, so the step is at most 4 * 32 + 1.
    let steps = (f64::from(amount) + 1.0).log2() * STEPS_PER_OCTAVE;
    steps as u8
}

/// Workers by whether they have accelerators, free or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    /// Workers without accelerators.
    Plain,
    /// Workers with accelerators.
    Accelerated,
    /// All workers.
    Both,
}

/// What the index knows of a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Position {
    pub(super) rack: RackKey,
    pub(super) zone: ZoneKey,
    pub(super) capacity: Resources,
    pub(super) free: Resources,
    in_use: bool,
    /// Where it is found; nothing while it takes no work.
    bucket: Option<Bucket>,
}

impl Position {
    /// Tells whether the worker takes work, is on this side and has room for `need`.
    pub(super) fn takes(&self, need: Resources, side: Side) -> bool {
        let on_side = match side {
            Side::Plain => self.capacity.accelerators == 0,
            Side::Accelerated => self.capacity.accelerators > 0,
            Side::Both => true,
        };
        on_side && self.bucket.is_some() && need.fits(self.free)
    }
}

/// A rack with its workers.
#[derive(Clone, Debug)]
pub(super) struct Rack {
    pub(super) zone: ZoneKey,
    pub(super) workers: Vec<WorkerKey>,
    /// Free capacity of those that take work.
    pub(super) summary: CapacitySummary,
}

/// The index.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    zones: SlotMap<ZoneKey, Arc<str>>,
    pub(super) racks: SlotMap<RackKey, Rack>,
    zone_names: HashMap<Arc<str>, ZoneKey>,
    rack_names: HashMap<(ZoneKey, Arc<str>), RackKey>,
    positions: SecondaryMap<WorkerKey, Position>,
    buckets: BTreeMap<Bucket, Vec<WorkerKey>>,
}

impl Index {
    /// Adds a worker, or notes what has changed of it.
    pub(super) fn update(&mut self, worker: WorkerKey, owned_worker: &OwnedWorker, takes: bool) {
        let free = owned_worker.free();
        let bucket = takes.then(|| Bucket::of(owned_worker.capacity, free));
        let (zone, rack) = match self.positions.get(worker) {
            Some(known) => (known.zone, known.rack),
            None => self.locate(worker, owned_worker),
        };
        let capacity = owned_worker.capacity;
        let in_use = owned_worker.granted != Resources::ZERO;
        let next = Position { rack, zone, capacity, free, in_use, bucket };
        let before = self.positions.insert(worker, next).and_then(|known| known.bucket);
        if before != bucket {
            self.leave(worker, before);
            if let Some(bucket) = bucket {
                self.buckets.entry(bucket).or_default().push(worker);
            }
        }
        self.measure(rack);
    }

    /// Drops a worker.
    pub(super) fn remove(&mut self, worker: WorkerKey) {
        let Some(known) = self.positions.remove(worker) else {
            return;
        };
        self.leave(worker, known.bucket);
        self.racks[known.rack].workers.retain(|&other| other != worker);
        self.measure(known.rack);
        if self.racks[known.rack].workers.is_empty() {
            self.racks.remove(known.rack);
            self.rack_names.retain(|_, rack| *rack != known.rack);
        }
    }

    fn leave(&mut self, worker: WorkerKey, bucket: Option<Bucket>) {
        let Some(bucket) = bucket else { return };
        let Some(workers) = self.buckets.get_mut(&bucket) else {
            return;
        };
        if let Some(at) = workers.iter().position(|&other| other == worker) {
            workers.swap_remove(at);
        }
        if workers.is_empty() {
            self.buckets.remove(&bucket);
        }
    }

    /// Returns the keys of a new worker's zone and rack, which may be new as well.
    fn locate(&mut self, worker: WorkerKey, owned_worker: &OwnedWorker) -> (ZoneKey, RackKey) {
        let zones = &mut self.zones;
        let name = || zones.insert(Arc::clone(&owned_worker.zone));
        let zone = *self.zone_names.entry(Arc::clone(&owned_worker.zone)).or_insert_with(name);
        let racks = &mut self.racks;
        let empty = || {
            racks.insert(Rack { zone, workers: Vec::new(), summary: CapacitySummary::default() })
        };
        let name = (zone, Arc::clone(&owned_worker.rack));
        let rack = *self.rack_names.entry(name).or_insert_with(empty);
        self.racks[rack].workers.push(worker);
        (zone, rack)
    }

    fn measure(&mut self, rack: RackKey) {
        let rack = &mut self.racks[rack];
        let positions = &self.positions;
        let known = rack.workers.iter().filter_map(|&worker| positions.get(worker));
        let mut summary = CapacitySummary::default();
        for at in known.filter(|at| at.bucket.is_some()) {
            summary.add_worker(at.free, at.capacity.accelerators > 0, at.in_use);
        }
        rack.summary = summary;
    }

    /// Returns the free capacity of the workers that take work.
    pub(super) fn summary(&self) -> CapacitySummary {
        self.racks.values().fold(CapacitySummary::default(), |sum, rack| sum.combined(rack.summary))
    }

    /// Returns what is known of a worker.
    pub(super) fn position(&self, worker: WorkerKey) -> Option<&Position> {
        self.positions.get(worker)
    }

    /// Returns the workers of a side that have room for `need`, at most `limit` of each bucket.
    pub(super) fn fitting(
        &self,
        need: Resources,
        side: Side,
        limit: usize,
    ) -> impl Iterator<Item = (WorkerKey, &Position)> {
        let low = Bucket::of(Resources::ZERO, need);
        let least = match need.accelerators {
            0 => 0,
            count => 1 + step_of_accelerators(count),
        };
        let (from, to) = match side {
            Side::Plain => (least, 0),
            Side::Accelerated => (least.max(1), u8::MAX),
            Side::Both => (least, u8::MAX),
        };
        let from = Bucket { accelerators: from, ..low };
        let to = Bucket { accelerators: to, processors: u8::MAX, memory: u8::MAX }.max(from);
        let able = move |bucket: &Bucket| {
            bucket.processors >= low.processors && bucket.memory >= low.memory
        };
        let buckets = self.buckets.range(from..=to).filter(move |(bucket, _)| able(bucket));
        buckets.flat_map(move |(_, workers)| {
            let known = workers.iter().map(|&worker| (worker, &self.positions[worker]));
            known.filter(move |(_, position)| need.fits(position.free)).take(limit)
        })
    }
}
