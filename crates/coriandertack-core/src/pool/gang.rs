//! Placement of gangs: all tasks of a gang or none, on workers close to each other.

use std::{cmp::Reverse, collections::HashSet};

use slotmap::SecondaryMap;

use crate::{
    keys::WorkerKey,
    message::AttemptSpec,
    pool::{
        GrantPhase, PlacementError, WorkerFilter, WorkerPool,
        index::{RackKey, WorkerGroup, ZoneKey},
    },
    resources::Resources,
};

/// The tasks of a gang and the group of workers to search.
#[derive(Clone, Copy, Debug)]
struct Search<'a> {
    specs: &'a [AttemptSpec],
    group: WorkerGroup,
}

/// A rack with an upper bound on the number of the gang's tasks that fit on it.
#[derive(Clone, Copy, Debug)]
struct RackCapacity {
    rack: RackKey,
    zone: ZoneKey,
    count: usize,
}

/// A selection of workers that is not granted yet.
#[derive(Debug)]
struct Plan {
    /// Free capacity left on the workers selected so far.
    remaining: SecondaryMap<WorkerKey, Resources>,
    /// Worker of each task, in the order of the specs.
    chosen: Vec<Option<WorkerKey>>,
}

impl WorkerPool {
    /// Grants capacity to all of `specs` or to none, in one rack if possible, otherwise in one zone,
    /// otherwise in few racks. Returns one worker for each task, in order.
    ///
    /// # Errors
    ///
    /// Fails without granting anything if not all tasks fit, if a lease occurs twice, or if a lease already
    /// has a grant or a claim.
    pub fn place_all(
        &mut self,
        specs: &[AttemptSpec],
        phase: GrantPhase,
    ) -> Result<Vec<WorkerKey>, PlacementError> {
        self.place_all_filtered(specs, phase, WorkerFilter::Any)
    }

    /// Grants capacity as [`WorkerPool::place_all`] does, but only on the workers that `filter` allows.
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
        if specs
            .iter()
            .any(|spec| self.has_grant_or_claim(spec.lease) || !leases.insert(spec.lease))
        {
            return Err(PlacementError::Duplicate);
        }
        let workers = self.plan_gang(specs, filter).ok_or(PlacementError::Full)?;
        for (spec, &worker) in specs.iter().zip(&workers) {
            self.insert(worker, spec.clone(), phase);
        }
        Ok(workers)
    }

    /// Selects workers for all tasks of a gang.
    ///
    /// Keeping workers with accelerators free for tasks that need them takes precedence over locality.
    fn plan_gang(&self, specs: &[AttemptSpec], filter: WorkerFilter) -> Option<Vec<WorkerKey>> {
        let max_need = specs.iter().map(|spec| spec.need).fold(Resources::ZERO, Resources::max);
        if max_need.accelerators > 0 {
            // Members without accelerators stay close to the members that need accelerators.
            return self.plan_in_group(specs, WorkerGroup::All);
        }
        self.plan_in_group(specs, WorkerGroup::Plain).or_else(|| match filter {
            WorkerFilter::NoAccelerators => None,
            WorkerFilter::Any => self.plan_in_group(specs, WorkerGroup::All),
        })
    }

    /// Selects workers of one group that are close to each other.
    fn plan_in_group(&self, specs: &[AttemptSpec], group: WorkerGroup) -> Option<Vec<WorkerKey>> {
        let Some(min_need) = specs.iter().map(|spec| spec.need).reduce(Resources::min) else {
            return Some(Vec::new());
        };
        let usable =
            self.index.racks.iter().filter(|(_, rack)| min_need.fits(rack.summary.max_free()));
        let counted = usable.map(|(key, rack)| {
            let count = self.max_tasks_in_rack(key, min_need, group);
            RackCapacity { rack: key, zone: rack.zone, count }
        });
        let mut racks: Vec<RackCapacity> =
            counted.filter(|rack_capacity| rack_capacity.count > 0).collect();
        // Racks that fit many tasks come first, so that few racks are needed.
        racks.sort_by_key(|rack_capacity| Reverse(rack_capacity.count));
        if racks.iter().fold(0, |sum: usize, rack_capacity| sum.saturating_add(rack_capacity.count))
            < specs.len()
        {
            return None;
        }
        let search = Search { specs, group };
        self.plan_in_one_rack(search, &racks)
            .or_else(|| self.plan_in_one_zone(search, &racks))
            .or_else(|| self.fill_racks(search, racks.iter()))
    }

    /// Selects workers in a single rack, trying the racks with the least spare room first.
    fn plan_in_one_rack(
        &self,
        search: Search<'_>,
        racks: &[RackCapacity],
    ) -> Option<Vec<WorkerKey>> {
        let mut usable =
            racks.iter().rev().filter(|rack_capacity| rack_capacity.count >= search.specs.len());
        usable.find_map(|rack_capacity| self.fill_racks(search, std::iter::once(rack_capacity)))
    }

    /// Selects workers in a single zone.
    fn plan_in_one_zone(
        &self,
        search: Search<'_>,
        racks: &[RackCapacity],
    ) -> Option<Vec<WorkerKey>> {
        let mut zones: Vec<ZoneKey> =
            racks.iter().map(|rack_capacity| rack_capacity.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.into_iter().find_map(|zone| {
            let in_zone = racks.iter().filter(|rack_capacity| rack_capacity.zone == zone);
            let fitting = in_zone
                .clone()
                .fold(0, |sum: usize, rack_capacity| sum.saturating_add(rack_capacity.count));
            if fitting < search.specs.len() {
                return None;
            }
            self.fill_racks(search, in_zone)
        })
    }

    /// Returns an upper bound on the number of tasks of size `need` that fit on a rack.
    fn max_tasks_in_rack(&self, rack: RackKey, need: Resources, group: WorkerGroup) -> usize {
        let workers = &self.index.racks[rack].workers;
        let entries = workers.iter().filter_map(|&worker| self.index.entry(worker));
        let usable = entries.filter(|entry| entry.can_host(need, group));
        let counts = usable.map(|entry| need.count_in(entry.free) as usize);
        counts.fold(0, usize::saturating_add)
    }

    /// Fills the racks in the given order, placing the largest tasks first.
    fn fill_racks<'a>(
        &self,
        search: Search<'_>,
        racks: impl Iterator<Item = &'a RackCapacity>,
    ) -> Option<Vec<WorkerKey>> {
        let specs = search.specs;
        let mut order: Vec<usize> = (0..specs.len()).collect();
        let size = |&index: &usize| {
            let need = specs[index].need;
            Reverse((need.accelerators, need.millicores, need.memory_mib))
        };
        order.sort_by_key(size);
        let mut plan = Plan { remaining: SecondaryMap::new(), chosen: vec![None; specs.len()] };
        for rack_capacity in racks {
            // Tasks of equal size are adjacent, so if one does not fit on this rack, the ones after it don't either.
            let mut unplaced = None;
            order.retain(|&index| {
                let need = specs[index].need;
                let misfit = unplaced == Some(need)
                    || !self.plan_task(search, &mut plan, rack_capacity.rack, index);
                if misfit {
                    unplaced = Some(need);
                }
                misfit
            });
            if order.is_empty() {
                return plan.chosen.into_iter().collect();
            }
        }
        None
    }

    /// Adds one task to the plan on the rack's worker with the least free capacity that still fits it.
    ///
    /// Returns whether a worker was found.
    fn plan_task(&self, search: Search<'_>, plan: &mut Plan, rack: RackKey, index: usize) -> bool {
        let need = search.specs[index].need;
        let workers = self.index.racks[rack].workers.iter();
        let entries = workers.filter_map(|&worker| Some((worker, self.index.entry(worker)?)));
        let usable = entries.filter(|(_, entry)| entry.can_host(need, search.group));
        let with_remaining = usable.map(|(worker, entry)| {
            let remaining = plan.remaining.get(worker).copied().unwrap_or(entry.free);
            (worker, remaining, entry.capacity)
        });
        let candidates = with_remaining.filter(|(_, remaining, _)| need.fits(*remaining));
        let waste = |(_, remaining, capacity): &(WorkerKey, Resources, Resources)| {
            // Prefer workers without accelerators if the task does not need any.
            let wastes_accelerators = need.accelerators == 0 && capacity.accelerators > 0;
            (wastes_accelerators, remaining.dominant_share(*capacity))
        };
        let tightest = candidates.min_by(|a, b| {
            let (a, b) = (waste(a), waste(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        let Some((worker, remaining, _)) = tightest else {
            return false;
        };
        plan.remaining.insert(worker, remaining.saturating_sub(need));
        plan.chosen[index] = Some(worker);
        true
    }
}
