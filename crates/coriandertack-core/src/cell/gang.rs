//! Gangs: all tasks of a list or none, near each other.

use std::{cmp::Reverse, collections::HashSet};

use slotmap::SecondaryMap;

use crate::{
    cell::{
        Cell, Phase, Refusal,
        index::{RackKey, ZoneKey},
    },
    keys::WorkerKey,
    message::Ask,
    resources::Resources,
};

/// A choice of workers that is not granted yet.
#[derive(Debug)]
struct Draft {
    /// What the workers chosen so far have left.
    left: SecondaryMap<WorkerKey, Resources>,
    /// Worker of each task.
    chosen: Vec<Option<WorkerKey>>,
}

impl Cell {
    /// Grants capacity to all of `asks` or to none, in one rack if possible, else in one zone, else
    /// in as few racks as possible. Returns one worker for each task, in order.
    ///
    /// # Errors
    ///
    /// Fails without any grant if not all have room, or if a lease already has capacity.
    pub fn place_all(&mut self, asks: &[Ask], phase: Phase) -> Result<Vec<WorkerKey>, Refusal> {
        let mut leases = HashSet::new();
        if asks.iter().any(|ask| self.is_known(ask.lease) || !leases.insert(ask.lease)) {
            return Err(Refusal::Duplicate);
        }
        let workers = self.draft(asks).ok_or(Refusal::Full)?;
        for (ask, &worker) in asks.iter().zip(&workers) {
            self.insert(worker, ask.clone(), phase);
        }
        Ok(workers)
    }

    fn draft(&self, asks: &[Ask]) -> Option<Vec<WorkerKey>> {
        let Some(least) = asks.iter().map(|ask| ask.need).reduce(Resources::min) else {
            return Some(Vec::new());
        };
        let able = self.index.racks.iter().filter(|(_, rack)| least.fits(rack.most));
        // Racks with many takers first, so that few are needed.
        let mut racks: Vec<(RackKey, ZoneKey, usize)> =
            able.map(|(key, rack)| (key, rack.zone, self.count_in(key, least))).collect();
        racks.sort_by_key(|&(_, _, count)| Reverse(count));
        self.in_one_rack(asks, &racks)
            .or_else(|| self.in_one_zone(asks, &racks))
            .or_else(|| self.in_racks(asks, racks.iter().map(|&(rack, _, _)| rack)))
    }

    /// Tries the racks with the least room to spare first.
    fn in_one_rack(
        &self,
        asks: &[Ask],
        racks: &[(RackKey, ZoneKey, usize)],
    ) -> Option<Vec<WorkerKey>> {
        let able = racks.iter().rev().filter(|(_, _, count)| *count >= asks.len());
        let mut drafts = able.map(|&(rack, _, _)| self.in_racks(asks, std::iter::once(rack)));
        drafts.find_map(|draft| draft)
    }

    fn in_one_zone(
        &self,
        asks: &[Ask],
        racks: &[(RackKey, ZoneKey, usize)],
    ) -> Option<Vec<WorkerKey>> {
        let mut zones: Vec<ZoneKey> = racks.iter().map(|&(_, zone, _)| zone).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.into_iter().find_map(|zone| {
            let own = racks.iter().filter(|(_, other, _)| *other == zone);
            if own.clone().map(|(_, _, count)| count).sum::<usize>() < asks.len() {
                return None;
            }
            self.in_racks(asks, own.map(|&(rack, _, _)| rack))
        })
    }

    /// Returns an upper bound of the tasks of `need` that a rack has room for.
    fn count_in(&self, rack: RackKey, need: Resources) -> usize {
        let workers = &self.index.racks[rack].workers;
        let open = workers.iter().filter_map(|&worker| self.index.position(worker));
        let counts = open.filter(|at| at.takes(need)).map(|at| need.count_in(at.free) as usize);
        counts.fold(0, usize::saturating_add)
    }

    /// Fills the racks in order, with the largest tasks first.
    fn in_racks(
        &self,
        asks: &[Ask],
        racks: impl Iterator<Item = RackKey>,
    ) -> Option<Vec<WorkerKey>> {
        let mut order: Vec<usize> = (0..asks.len()).collect();
        let size = |&at: &usize| {
            let need = asks[at].need;
            Reverse((need.accelerators, need.millicores, need.memory_mib))
        };
        order.sort_by_key(size);
        let mut draft = Draft { left: SecondaryMap::new(), chosen: vec![None; asks.len()] };
        for rack in racks {
            order.retain(|&at| !self.draft_one(&mut draft, rack, at, asks[at].need));
            if order.is_empty() {
                return draft.chosen.into_iter().collect();
            }
        }
        None
    }

    /// Adds one task to the draft on the tightest worker of a rack, if one has room.
    fn draft_one(&self, draft: &mut Draft, rack: RackKey, at: usize, need: Resources) -> bool {
        let workers = self.index.racks[rack].workers.iter();
        let known = workers.filter_map(|&worker| Some((worker, self.index.position(worker)?)));
        let open = known.filter(|(_, position)| position.takes(need));
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
