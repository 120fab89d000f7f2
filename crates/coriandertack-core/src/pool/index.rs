//! Index of workers by free capacity, rack and zone.
//!
//! Workers with similar free capacity share a bucket. A search visits only the buckets that can satisfy
//! the request and examines a few workers of each, so its cost depends on the number of non-empty
//! buckets rather than on the number of workers.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use slotmap::{SecondaryMap, SlotMap, new_key_type};

use crate::{keys::WorkerKey, message::CapacitySummary, pool::OwnedWorker, resources::Resources};

new_key_type! {
    /// Arena key of an availability zone.
    pub(super) struct ZoneKey;
    /// Arena key of a rack.
    pub(super) struct RackKey;
}

/// Buckets for each doubling of an amount. With 4, the amounts in one bucket differ by at most 19%.
const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// Workers with at least this many free accelerators share a bucket.
const MAX_ACCELERATOR_BUCKET: u32 = 16;

/// A range of free capacity, ordered by accelerators first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Bucket {
    /// 0 for workers without accelerators, otherwise the number of free accelerators plus 1.
    accelerators: u8,
    /// Logarithmic bucket of the free millicores.
    processors: u8,
    /// Logarithmic bucket of the free memory.
    memory: u8,
}

impl Bucket {
    /// Returns the bucket of a worker's free capacity.
    fn of(capacity: Resources, free: Resources) -> Self {
        let accelerators = match capacity.accelerators {
            0 => 0,
            _ => 1 + accelerator_bucket(free.accelerators),
        };
        let (processors, memory) = (log_bucket(free.millicores), log_bucket(free.memory_mib));
        Self { accelerators, processors, memory }
    }
}

fn accelerator_bucket(count: u32) -> u8 {
    u8::try_from(count.min(MAX_ACCELERATOR_BUCKET)).unwrap_or(u8::MAX)
}

fn log_bucket(amount: u32) -> u8 {
    // log2(2^32) is 32, so the bucket is at most 4 * 32 and fits in a u8.
    let buckets = (f64::from(amount) + 1.0).log2() * BUCKETS_PER_OCTAVE;
    buckets as u8
}

/// A group of workers by whether their capacity includes accelerators, free or in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WorkerGroup {
    /// Workers without accelerators.
    Plain,
    /// Workers with accelerators.
    Accelerated,
    /// All workers.
    All,
}

/// Indexed state of a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct IndexEntry {
    pub(super) rack: RackKey,
    pub(super) zone: ZoneKey,
    pub(super) capacity: Resources,
    pub(super) free: Resources,
    /// Whether anything is granted on the worker.
    in_use: bool,
    /// Bucket that lists the worker, `None` while it accepts no work.
    bucket: Option<Bucket>,
}

impl IndexEntry {
    /// Returns whether the worker accepts work, belongs to `group` and has `need` free.
    pub(super) fn can_host(&self, need: Resources, group: WorkerGroup) -> bool {
        let in_group = match group {
            WorkerGroup::Plain => self.capacity.accelerators == 0,
            WorkerGroup::Accelerated => self.capacity.accelerators > 0,
            WorkerGroup::All => true,
        };
        in_group && self.bucket.is_some() && need.fits(self.free)
    }
}

/// A rack with its workers.
#[derive(Clone, Debug)]
pub(super) struct Rack {
    pub(super) zone: ZoneKey,
    pub(super) workers: Vec<WorkerKey>,
    /// Free capacity of the workers that accept work.
    pub(super) summary: CapacitySummary,
}

/// Index of the workers in a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    zones: SlotMap<ZoneKey, Arc<str>>,
    pub(super) racks: SlotMap<RackKey, Rack>,
    zone_names: HashMap<Arc<str>, ZoneKey>,
    rack_names: HashMap<(ZoneKey, Arc<str>), RackKey>,
    entries: SecondaryMap<WorkerKey, IndexEntry>,
    buckets: BTreeMap<Bucket, Vec<WorkerKey>>,
}

impl Index {
    /// Adds a worker, or updates its entry.
    pub(super) fn update(
        &mut self,
        worker: WorkerKey,
        owned_worker: &OwnedWorker,
        accepts_work: bool,
    ) {
        let free = owned_worker.free();
        let bucket = accepts_work.then(|| Bucket::of(owned_worker.capacity, free));
        let (zone, rack) = match self.entries.get(worker) {
            Some(previous) => (previous.zone, previous.rack),
            None => self.intern_location(worker, owned_worker),
        };
        let capacity = owned_worker.capacity;
        let in_use = owned_worker.granted != Resources::ZERO;
        let entry = IndexEntry { rack, zone, capacity, free, in_use, bucket };
        let previous_bucket =
            self.entries.insert(worker, entry).and_then(|previous| previous.bucket);
        if previous_bucket != bucket {
            self.remove_from_bucket(worker, previous_bucket);
            if let Some(bucket) = bucket {
                self.buckets.entry(bucket).or_default().push(worker);
            }
        }
        self.update_rack_summary(rack);
    }

    /// Removes a worker, and its rack if no other worker is left there.
    pub(super) fn remove(&mut self, worker: WorkerKey) {
        let Some(entry) = self.entries.remove(worker) else {
            return;
        };
        self.remove_from_bucket(worker, entry.bucket);
        self.racks[entry.rack].workers.retain(|&other| other != worker);
        self.update_rack_summary(entry.rack);
        if self.racks[entry.rack].workers.is_empty() {
            self.racks.remove(entry.rack);
            self.rack_names.retain(|_, rack| *rack != entry.rack);
        }
    }

    fn remove_from_bucket(&mut self, worker: WorkerKey, bucket: Option<Bucket>) {
        let Some(bucket) = bucket else { return };
        let Some(workers) = self.buckets.get_mut(&bucket) else {
            return;
        };
        if let Some(index) = workers.iter().position(|&other| other == worker) {
            workers.swap_remove(index);
        }
        if workers.is_empty() {
            self.buckets.remove(&bucket);
        }
    }

    /// Returns the zone and rack of a new worker, which are added if they are unknown, and lists it there.
    fn intern_location(
        &mut self,
        worker: WorkerKey,
        owned_worker: &OwnedWorker,
    ) -> (ZoneKey, RackKey) {
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

    fn update_rack_summary(&mut self, rack: RackKey) {
        let rack = &mut self.racks[rack];
        let entries = &self.entries;
        let rack_entries = rack.workers.iter().filter_map(|&worker| entries.get(worker));
        let mut summary = CapacitySummary::default();
        for entry in rack_entries.filter(|entry| entry.bucket.is_some()) {
            summary.add_worker(entry.free, entry.capacity.accelerators > 0, entry.in_use);
        }
        rack.summary = summary;
    }

    /// Returns the free capacity of the workers that accept work.
    pub(super) fn summary(&self) -> CapacitySummary {
        self.racks.values().fold(CapacitySummary::default(), |sum, rack| sum.combined(rack.summary))
    }

    /// Returns the entry of a worker.
    pub(super) fn entry(&self, worker: WorkerKey) -> Option<&IndexEntry> {
        self.entries.get(worker)
    }

    /// Returns workers of a group that have `need` free, at most `limit` of each bucket.
    pub(super) fn candidates(
        &self,
        need: Resources,
        group: WorkerGroup,
        limit: usize,
    ) -> impl Iterator<Item = (WorkerKey, &IndexEntry)> {
        let min_bucket = Bucket::of(Resources::ZERO, need);
        let min_accelerators = match need.accelerators {
            0 => 0,
            count => 1 + accelerator_bucket(count),
        };
        let (from, to) = match group {
            WorkerGroup::Plain => (min_accelerators, 0),
            WorkerGroup::Accelerated => (min_accelerators.max(1), u8::MAX),
            WorkerGroup::All => (min_accelerators, u8::MAX),
        };
        let from = Bucket { accelerators: from, ..min_bucket };
        let to = Bucket { accelerators: to, processors: u8::MAX, memory: u8::MAX }.max(from);
        let large_enough = move |bucket: &Bucket| {
            bucket.processors >= min_bucket.processors && bucket.memory >= min_bucket.memory
        };
        let buckets = self.buckets.range(from..=to).filter(move |(bucket, _)| large_enough(bucket));
        buckets.flat_map(move |(_, workers)| {
            let listed = workers.iter().map(|&worker| (worker, &self.entries[worker]));
            listed.filter(move |(_, entry)| need.fits(entry.free)).take(limit)
        })
    }
}
