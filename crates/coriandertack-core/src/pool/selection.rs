//! Selection of a worker for a single task.

use std::{collections::HashMap, sync::Arc};

use tokio::time::Instant;

use crate::{
    keys::WorkerKey,
    message::AttemptSpec,
    pool::{
        WorkerFilter, WorkerPool,
        index::{IndexEntry, RackKey, WorkerGroup, ZoneKey},
    },
    record::Kind,
    resources::Resources,
};

/// Maximum number of workers compared for each bucket. Workers of one bucket differ little, so comparing more
/// of them does not improve placements.
const MAX_COMPARED: usize = 8;

/// Share of a worker's processors in use above which a placement takes from the headroom of the worker.
const BUSY_SHARE: f64 = 0.8;

/// Exponent of a resource's relative use in its scarcity. With 1, a resource that is never short weighs as much
/// as the scarce one, and more of the scarce one is stranded.
const SCARCITY_POWER: i32 = 4;

/// Number of running copies of a service by zone, rack and worker.
#[derive(Clone, Debug, Default)]
pub(super) struct CopyCounts {
    zones: HashMap<ZoneKey, u32>,
    racks: HashMap<RackKey, u32>,
    workers: HashMap<WorkerKey, u32>,
}

impl CopyCounts {
    fn add(&mut self, worker: WorkerKey, entry: &IndexEntry) {
        *self.zones.entry(entry.zone).or_default() += 1;
        *self.racks.entry(entry.rack).or_default() += 1;
        *self.workers.entry(worker).or_default() += 1;
    }

    fn remove(&mut self, worker: WorkerKey, entry: &IndexEntry) {
        decrement(&mut self.zones, &entry.zone);
        decrement(&mut self.racks, &entry.rack);
        decrement(&mut self.workers, &worker);
    }

    fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }
}

/// Decrements a count and removes it when it reaches 0.
fn decrement<K: Copy + Eq + std::hash::Hash>(counts: &mut HashMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

impl WorkerPool {
    /// Returns the best worker for a task among those that `filter` allows, or `None` if none has room.
    ///
    /// A quarantined worker whose trial is due takes precedence.
    pub(super) fn select_worker(
        &self,
        spec: &AttemptSpec,
        filter: WorkerFilter,
    ) -> Option<WorkerKey> {
        if let Some(worker) = self.due_trial(spec, Instant::now()) {
            return Some(worker);
        }
        match spec.kind {
            Kind::Service => filter.find(spec.need, |group| self.select_spread(spec, group)),
            Kind::Batch | Kind::Gang => {
                filter.find(spec.need, |group| self.select_packed(spec.need, group))
            }
        }
    }

    /// Selects the worker on which the placement strands the least capacity.
    fn select_packed(&self, need: Resources, group: WorkerGroup) -> Option<WorkerKey> {
        let scarcity = self.scarcity();
        let candidates = self.index.candidates(need, group, MAX_COMPARED);
        let ranked =
            candidates.map(|(worker, entry)| (self.packing_cost(entry, need, scarcity), worker));
        ranked.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, worker)| worker)
    }

    /// Returns the cost of a batch placement under the weights of the pool. The lowest cost is best.
    ///
    /// The square root favours using up one resource of a worker over leaving a little of each on two
    /// workers. For measurements of this and other cost functions, see docs/notes/placement.md.
    fn packing_cost(&self, entry: &IndexEntry, need: Resources, scarcity: [f64; 3]) -> f64 {
        let left = shares(entry.free.saturating_sub(need), entry.capacity);
        let stranded: f64 =
            left.iter().zip(scarcity).map(|(left, scarce)| scarce * left.sqrt()).sum();
        let excess = (1.0 - left[0] - BUSY_SHARE).max(0.0);
        self.weights.packing * stranded + self.weights.headroom * excess
    }

    /// Returns the scarcity of each resource: 1 for the one with the largest granted share in the whole
    /// pool, and much less for the others.
    fn scarcity(&self) -> [f64; 3] {
        let share = |granted: u64, total: u64| granted as f64 / total.max(1) as f64;
        let (granted, total) = (self.granted, self.capacity);
        let shares = [
            share(granted.millicores, total.millicores),
            share(granted.memory_mib, total.memory_mib),
            share(granted.accelerators, total.accelerators),
        ];
        let max_share = shares.into_iter().fold(f64::MIN_POSITIVE, f64::max);
        shares.map(|share| (share / max_share).powi(SCARCITY_POWER))
    }

    /// Selects the worker with the fewest copies of the class in its zone, then in its rack, then on the
    /// worker itself. Ties are broken by [`Self::service_cost`].
    fn select_spread(&self, spec: &AttemptSpec, group: WorkerGroup) -> Option<WorkerKey> {
        let none = CopyCounts::default();
        let copies = self.copies.get(&spec.class).unwrap_or(&none);
        let mut best = None;
        for (key, rack) in &self.index.racks {
            if !spec.need.fits(rack.summary.max_free()) {
                continue;
            }
            let in_zone = copies.zones.get(&rack.zone).copied().unwrap_or(0);
            let in_rack = copies.racks.get(&key).copied().unwrap_or(0);
            let rank = (in_zone, in_rack);
            if best.is_some_and(|((best_rank, _, _), _)| best_rank < rank) {
                continue;
            }
            for &worker in &rack.workers {
                let Some(entry) =
                    self.index.entry(worker).filter(|entry| entry.can_host(spec.need, group))
                else {
                    continue;
                };
                let on_worker = copies.workers.get(&worker).copied().unwrap_or(0);
                let candidate = ((rank, on_worker, self.service_cost(entry, spec.need)), worker);
                if best.is_none_or(|best| ranks_before(candidate.0, best.0)) {
                    best = Some(candidate);
                }
            }
        }
        best.map(|(_, worker)| worker)
    }

    /// Returns the cost of a service placement under the weights of the pool. The lowest cost is best.
    ///
    /// It favours workers that are already in use but keep processors free for bursts.
    fn service_cost(&self, entry: &IndexEntry, need: Resources) -> f64 {
        let left = entry.free.saturating_sub(need);
        let used = entry.capacity.saturating_sub(left).dominant_share(entry.capacity);
        let excess = (used - BUSY_SHARE).max(0.0) / (1.0 - BUSY_SHARE);
        self.weights.packing * (1.0 - used) + self.weights.spread * excess
    }

    /// Counts a copy of a service on a worker. Does nothing for other kinds.
    pub(super) fn add_copy(&mut self, worker: WorkerKey, spec: &AttemptSpec) {
        let Some(entry) = self.index.entry(worker).filter(|_| spec.kind == Kind::Service) else {
            return;
        };
        self.copies.entry(Arc::clone(&spec.class)).or_default().add(worker, entry);
    }

    /// Reverses [`Self::add_copy`].
    pub(super) fn remove_copy(&mut self, worker: WorkerKey, spec: &AttemptSpec) {
        let Some(entry) = self.index.entry(worker).filter(|_| spec.kind == Kind::Service) else {
            return;
        };
        let Some(copies) = self.copies.get_mut(&spec.class) else {
            return;
        };
        copies.remove(worker, entry);
        if copies.is_empty() {
            self.copies.remove(&spec.class);
        }
    }
}

/// Copies in the zone and in the rack, copies on the worker, and cost of the load.
type SpreadRank = ((u32, u32), u32, f64);

fn ranks_before(a: SpreadRank, b: SpreadRank) -> bool {
    let counts = (a.0, a.1).cmp(&(b.0, b.1));
    counts.then(a.2.total_cmp(&b.2)).is_lt()
}

/// Returns `part` as a fraction of `whole` for each resource. A resource that neither has counts as 0.
fn shares(part: Resources, whole: Resources) -> [f64; 3] {
    let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
    [
        share(part.millicores, whole.millicores),
        share(part.memory_mib, whole.memory_mib),
        share(part.accelerators, whole.accelerators),
    ]
}
