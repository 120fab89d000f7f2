//! Gangs: all tasks of a list or none, near each other.

use std::{cmp::Reverse, collections::HashSet};

use slotmap::SecondaryMap;

use crate::{
    keys::WorkerKey,
    message::AttemptSpec,
    pool::{
        GrantPhase, PlacementError, WorkerFilter, WorkerPool,
        index::{RackKey, Side, ZoneKey},
    },
    resources::Resources,
};

/// The tasks of a gang and the workers that are searched.
#[derive(Clone, Copy, Debug)]
struct Search<'a> {
    specs: &'a [AttemptSpec],
    side: Side,
}

/// A rack, with an upper bound of the tasks that it has room for.
#[derive(Clone, Copy, Debug)]
struct Near {
    rack: RackKey,
    zone: ZoneKey,
    count: usize,
}

/// A choice of workers that is not granted yet.
#[derive(Debug)]
struct Draft {
    /// What the workers chosen so far have left.
    left: SecondaryMap<WorkerKey, Resources>,
    /// Worker of each task.
    chosen: Vec<Option<WorkerKey>>,
}

impl WorkerPool {
    /// Grants capacity to all of `specs` or to none, in one rack if possible, else in one zone, else
    /// in as few racks as possible. Returns one worker for each task, in order.
    ///
    /// # Errors
    ///
    /// Fails without any grant if not all have room, or if a lease already has capacity.
    pub fn place_all(
        &mut self,
        specs: &[AttemptSpec],
        phase: GrantPhase,
    ) -> Result<Vec<WorkerKey>, PlacementError> {
        self.place_all_filtered(specs, phase, WorkerFilter::Any)
    }

    /// Grants capacity as [`WorkerPool::place_all`] does, on workers within reach only.
    ///
    /// # Errors
    ///
    /// Fails as [`WorkerPool::place_all`] does.
    pub fn place_all_filtered(
        &mut self,
        specs: &[AttemptSpec],
        phase: GrantPhase,
        filter: WorkerFilter,
    ) -> Result<Vec<WorkerKey>, PlacementError> {
        let mut leases = HashSet::new();
        if specs.iter().any(|spec| self.is_known(spec.lease) || !leases.insert(spec.lease)) {
            return Err(PlacementError::Duplicate);
        }
        let workers = self.draft(specs, filter).ok_or(PlacementError::Full)?;
        for (spec, &worker) in specs.iter().zip(&workers) {
            self.insert(worker, spec.clone(), phase);
        }
        Ok(workers)
    }

    /// Chooses workers for all tasks.
    ///
    /// Keeping workers with accelerators for work that needs them goes before nearness.
    fn draft(&self, specs: &[AttemptSpec], filter: WorkerFilter) -> Option<Vec<WorkerKey>> {
        let most = specs.iter().map(|spec| spec.need).fold(Resources::ZERO, Resources::max);
        if most.accelerators > 0 {
            // Tasks without accelerators stay near those of their gang that have some.
            return self.draft_near(specs, Side::Both);
        }
        self.draft_near(specs, Side::Plain).or_else(|| match filter {
            WorkerFilter::NoAccelerators => None,
            WorkerFilter::Any => self.draft_near(specs, Side::Both),
        })
    }

    /// Chooses workers of a side near each other.
    fn draft_near(&self, specs: &[AttemptSpec], side: Side) -> Option<Vec<WorkerKey>> {
        let Some(least) = specs.iter().map(|spec| spec.need).reduce(Resources::min) else {
            return Some(Vec::new());
        };
        let able = self.index.racks.iter().filter(|(_, rack)| least.fits(rack.summary.max_free()));
        let counted = able.map(|(key, rack)| {
            let count = self.count_in(key, least, side);
            Near { rack: key, zone: rack.zone, count }
        });
        let mut racks: Vec<Near> = counted.filter(|near| near.count > 0).collect();
        // Racks with room for many tasks first, so that few are needed.
        racks.sort_by_key(|near| Reverse(near.count));
        if racks.iter().fold(0, |sum: usize, near| sum.saturating_add(near.count)) < specs.len() {
            return None;
        }
        let search = Search { specs, side };
        self.in_one_rack(search, &racks)
            .or_else(|| self.in_one_zone(search, &racks))
            .or_else(|| self.in_racks(search, racks.iter()))
    }

    /// Tries the racks with the least room to spare first.
    fn in_one_rack(&self, search: Search<'_>, racks: &[Near]) -> Option<Vec<WorkerKey>> {
        let mut able = racks.iter().rev().filter(|near| near.count >= search.specs.len());
        able.find_map(|near| self.in_racks(search, std::iter::once(near)))
    }

    fn in_one_zone(&self, search: Search<'_>, racks: &[Near]) -> Option<Vec<WorkerKey>> {
        let mut zones: Vec<ZoneKey> = racks.iter().map(|near| near.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.into_iter().find_map(|zone| {
            let own = racks.iter().filter(|near| near.zone == zone);
            let room = own.clone().fold(0, |sum: usize, near| sum.saturating_add(near.count));
            if room < search.specs.len() {
                return None;
            }
            self.in_racks(search, own)
        })
    }

    /// Returns an upper bound of the tasks of `need` that a rack has room for.
    fn count_in(&self, rack: RackKey, need: Resources, side: Side) -> usize {
        let workers = &self.index.racks[rack].workers;
        let open = workers.iter().filter_map(|&worker| self.index.position(worker));
        let open = open.filter(|at| at.takes(need, side));
        let counts = open.map(|at| need.count_in(at.free) as usize);
        counts.fold(0, usize::saturating_add)
    }

    /// Fills the racks in order, with the largest tasks first.
    fn in_racks<'a>(
        &self,
        search: Search<'_>,
        racks: impl Iterator<Item = &'a Near>,
    ) -> Option<Vec<WorkerKey>> {
        let specs = search.specs;
        let mut order: Vec<usize> = (0..specs.len()).collect();
        let size = |&at: &usize| {
            let need = specs[at].need;
            Reverse((need.accelerators, need.millicores, need.memory_mib))
        };
        order.sort_by_key(size);
        let mut draft = Draft { left: SecondaryMap::new(), chosen: vec![None; specs.len()] };
        for near in racks {
            // Equal needs are adjacent, so one that finds no room here decides for those after it.
            let mut refused = None;
            order.retain(|&at| {
                let need = specs[at].need;
                let kept =
                    refused == Some(need) || !self.draft_one(search, &mut draft, near.rack, at);
                if kept {
                    refused = Some(need);
                }
                kept
            });
            if order.is_empty() {
                return draft.chosen.into_iter().collect();
            }
        }
        None
    }

    /// Adds one task to the draft on the tightest worker of a rack, if one has room.
    fn draft_one(&self, search: Search<'_>, draft: &mut Draft, rack: RackKey, at: usize) -> bool {
        let need = search.specs[at].need;
        let workers = self.index.racks[rack].workers.iter();
        let known = workers.filter_map(|&worker| Some((worker, self.index.position(worker)?)));
        let open = known.filter(|(_, position)| position.takes(need, search.side));
        let rooms = open.map(|(worker, position)| {
            let left = draft.left.get(worker).copied().unwrap_or(position.free);
            (worker, left, position.capacity)
        });
        let fitting = rooms.filter(|(_, left, _)| need.fits(*left));
        let spare = |(_, left, capacity): &(WorkerKey, Resources, Resources)| {
            // Accelerators that the task does not need are left to others if possible.
            let kept = need.accelerators == 0 && capacity.accelerators > 0;
            (kept, left.dominant_share(*capacity))
        };
        let tightest = fitting.min_by(|one, two| {
            let (one, two) = (spare(one), spare(two));
            one.0.cmp(&two.0).then(one.1.total_cmp(&two.1))
        });
        let Some((worker, left, _)) = tightest else {
            return false;
        };
        draft.left.insert(worker, left.saturating_sub(need));
        draft.chosen[at] = Some(worker);
        true
    }
}
