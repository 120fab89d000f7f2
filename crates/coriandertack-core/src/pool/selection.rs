//! The choice of one worker for one task.

use std::{collections::HashMap, sync::Arc};

use tokio::time::Instant;

use crate::{
    keys::WorkerKey,
    message::AttemptSpec,
    pool::{
        WorkerFilter, WorkerPool,
        index::{Position, RackKey, Side, ZoneKey},
    },
    record::Kind,
    resources::Resources,
};

/// Workers of one bucket that are compared. Those of a bucket differ little, so more gain nothing.
const COMPARED: usize = 8;

/// Share of a worker's processors above which a placement uses up headroom.
const BUSY: f64 = 0.8;

/// Power of a resource's relative use in the cost. With 1, a resource that is never short decides as
/// much as the scarce one, and more of the scarce one is stranded.
const SCARCITY_POWER: i32 = 4;

/// Running copies of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct Copies {
    zones: HashMap<ZoneKey, u32>,
    racks: HashMap<RackKey, u32>,
    workers: HashMap<WorkerKey, u32>,
}

impl Copies {
    fn add(&mut self, worker: WorkerKey, at: &Position) {
        *self.zones.entry(at.zone).or_default() += 1;
        *self.racks.entry(at.rack).or_default() += 1;
        *self.workers.entry(worker).or_default() += 1;
    }

    fn remove(&mut self, worker: WorkerKey, at: &Position) {
        remove_one(&mut self.zones, &at.zone);
        remove_one(&mut self.racks, &at.rack);
        remove_one(&mut self.workers, &worker);
    }

    fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }
}

fn remove_one<K: Copy + Eq + std::hash::Hash>(counts: &mut HashMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

impl WorkerPool {
    /// Returns the worker that suits a task best, if one within reach has room.
    pub(super) fn choose(&self, spec: &AttemptSpec, filter: WorkerFilter) -> Option<WorkerKey> {
        if let Some(worker) = self.due_trial(spec, Instant::now()) {
            return Some(worker);
        }
        match spec.kind {
            Kind::Service => filter.find(spec.need, |side| self.choose_spread(spec, side)),
            Kind::Batch | Kind::Gang => {
                filter.find(spec.need, |side| self.choose_packed(spec.need, side))
            }
        }
    }

    /// Chooses the worker on which least capacity is stranded.
    fn choose_packed(&self, need: Resources, side: Side) -> Option<WorkerKey> {
        let scarcity = self.scarcity();
        let fitting = self.index.fitting(need, side, COMPARED);
        let ranked = fitting.map(|(worker, at)| (self.cost(at, need, scarcity), worker));
        ranked.min_by(|one, two| one.0.total_cmp(&two.0)).map(|(_, worker)| worker)
    }

    /// Returns the cost of a placement for the weights of the pool; the lowest is best.
    ///
    /// The root makes it better to use up one resource of a worker than to leave a little of each on two
    /// workers. Figures for this and other costs are in docs/notes/placement.md.
    fn cost(&self, at: &Position, need: Resources, scarcity: [f64; 3]) -> f64 {
        let left = shares(at.free.saturating_sub(need), at.capacity);
        let open: f64 = left.iter().zip(scarcity).map(|(left, scarce)| scarce * left.sqrt()).sum();
        let busy = (1.0 - left[0] - BUSY).max(0.0);
        self.weights.packing * open + self.weights.headroom * busy
    }

    /// Returns how much it matters to use up each resource: 1 for the one of which most is granted in
    /// the whole pool, and much less for others.
    fn scarcity(&self) -> [f64; 3] {
        let share = |granted: u64, all: u64| granted as f64 / all.max(1) as f64;
        let (granted, all) = (self.granted, self.capacity);
        let shares = [
            share(granted.millicores, all.millicores),
            share(granted.memory_mib, all.memory_mib),
            share(granted.accelerators, all.accelerators),
        ];
        let most = shares.into_iter().fold(f64::MIN_POSITIVE, f64::max);
        shares.map(|share| (share / most).powi(SCARCITY_POWER))
    }

    /// Chooses the worker with the fewest copies of the class in its zone, then in its rack, then on
    /// itself. Among equals the load decides.
    fn choose_spread(&self, spec: &AttemptSpec, side: Side) -> Option<WorkerKey> {
        let none = Copies::default();
        let copies = self.copies.get(&spec.class).unwrap_or(&none);
        let mut best = None;
        for (key, rack) in &self.index.racks {
            if !spec.need.fits(rack.summary.max_free()) {
                continue;
            }
            let in_zone = copies.zones.get(&rack.zone).copied().unwrap_or(0);
            let in_rack = copies.racks.get(&key).copied().unwrap_or(0);
            let rank = (in_zone, in_rack);
            if best.is_some_and(|((known, _, _), _)| known < rank) {
                continue;
            }
            for &worker in &rack.workers {
                let Some(at) = self.index.position(worker).filter(|at| at.takes(spec.need, side))
                else {
                    continue;
                };
                let on_worker = copies.workers.get(&worker).copied().unwrap_or(0);
                let found = ((rank, on_worker, self.load(at, spec.need)), worker);
                if best.is_none_or(|known| is_before(found.0, known.0)) {
                    best = Some(found);
                }
            }
        }
        best.map(|(_, worker)| worker)
    }

    /// Returns the cost of the load that a worker would have; the lowest is best.
    ///
    /// A service gets a worker that is in use already, but one with processors left for bursts.
    fn load(&self, at: &Position, need: Resources) -> f64 {
        let left = at.free.saturating_sub(need);
        let used = at.capacity.saturating_sub(left).dominant_share(at.capacity);
        let crowded = (used - BUSY).max(0.0) / (1.0 - BUSY);
        self.weights.packing * (1.0 - used) + self.weights.spread * crowded
    }

    pub(super) fn count_copy(&mut self, worker: WorkerKey, spec: &AttemptSpec) {
        let Some(at) = self.index.position(worker).filter(|_| spec.kind == Kind::Service) else {
            return;
        };
        self.copies.entry(Arc::clone(&spec.class)).or_default().add(worker, at);
    }

    pub(super) fn uncount_copy(&mut self, worker: WorkerKey, spec: &AttemptSpec) {
        let Some(at) = self.index.position(worker).filter(|_| spec.kind == Kind::Service) else {
            return;
        };
        let Some(copies) = self.copies.get_mut(&spec.class) else {
            return;
        };
        copies.remove(worker, at);
        if copies.is_empty() {
            self.copies.remove(&spec.class);
        }
    }
}

/// Copies in zone and rack, copies on the worker, and load.
type SpreadRank = ((u32, u32), u32, f64);

fn is_before(one: SpreadRank, two: SpreadRank) -> bool {
    let counts = (one.0, one.1).cmp(&(two.0, two.1));
    counts.then(one.2.total_cmp(&two.2)).is_lt()
}

/// Returns the share of each resource of `whole`; a resource that it lacks counts as 0.
fn shares(part: Resources, whole: Resources) -> [f64; 3] {
    let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
    [
        share(part.millicores, whole.millicores),
        share(part.memory_mib, whole.memory_mib),
        share(part.accelerators, whole.accelerators),
    ]
}
