//! Workers divided among owners that a home knows only by their summaries.

use std::{collections::HashMap, sync::Arc};

use {
    coriandertack_core::{
        cell::{Cell, Phase, Reach, Refusal, Weights},
        home_choice::{Estimate, Owner, rank_owners},
        keys::VmKey,
        message::Ask,
        record::Kind,
        resources::Resources,
    },
    slotmap::SlotMap,
};

use super::jobs::{cells, place_job};

/// Owners in the part with split ownership.
const OWNERS: usize = 8;

/// Owners with the summaries that a home has of them.
pub(super) struct Split {
    pub(super) cells: Vec<Cell>,
    vms: Vec<VmKey>,
    estimates: Vec<Estimate>,
    /// Copies of each service at each owner.
    copies: HashMap<Arc<str>, Vec<u32>>,
    decisions: usize,
    /// Decisions between two heartbeats.
    every: usize,
    /// Requests to owners, and jobs placed.
    pub(super) requests: usize,
}

impl Split {
    pub(super) fn new(fleet: &[Resources], weights: Weights, every: usize) -> Self {
        let cells = cells(fleet, OWNERS, weights);
        let mut keys: SlotMap<VmKey, ()> = SlotMap::with_key();
        let vms = (0..OWNERS).map(|_| keys.insert(())).collect();
        let copies = HashMap::new();
        let mut split =
            Self { cells, vms, estimates: Vec::new(), copies, decisions: 0, every, requests: 0 };
        split.hear();
        split
    }

    /// Takes the summaries of all owners, as from their heartbeats.
    fn hear(&mut self) {
        self.estimates = self.cells.iter().map(|cell| cell.summary().into()).collect();
    }

    /// Returns what the home knows of the owners.
    fn owners(&self, ask: &Ask) -> Vec<Owner<'_>> {
        let copies = self.copies.get(&ask.class);
        let owner = |at: usize| Owner {
            vm: self.vms[at],
            estimate: &self.estimates[at],
            copies: copies.map_or(0, |copies| copies[at]),
        };
        (0..OWNERS).map(owner).collect()
    }

    /// Places a job as a home does: on the owner that the summaries suggest, then on the next.
    pub(super) fn place(&mut self, asks: &[Ask]) -> Result<(), Refusal> {
        self.decisions += 1;
        if self.decisions.is_multiple_of(self.every) {
            self.hear();
        }
        if self.try_job(asks).is_ok() {
            return Ok(());
        }
        // A refused job is queued and tried again with the next summaries.
        self.hear();
        self.try_job(asks)
    }

    /// Tries the owners that may hold the whole job, then several together. Workers with accelerators
    /// are used for other work only when that fails.
    fn try_job(&mut self, asks: &[Ask]) -> Result<(), Refusal> {
        for reach in [Reach::Kept, Reach::Any] {
            for at in self.ranked(asks, reach) {
                self.requests += 1;
                if place_job(&mut self.cells[at], asks, reach).is_ok() {
                    self.note(at, asks, reach);
                    return Ok(());
                }
                if let [ask] = asks {
                    self.estimates[at].refused(ask.need, reach);
                }
            }
            if asks.len() > 1 && self.try_parts(asks, reach).is_ok() {
                return Ok(());
            }
        }
        Err(Refusal::Full)
    }

    /// Returns the positions of the owners to ask, in order.
    fn ranked(&self, asks: &[Ask], reach: Reach) -> Vec<usize> {
        let ranked = rank_owners(&self.owners(&asks[0]), asks);
        let own = ranked.into_iter().filter(|choice| choice.reach == reach);
        own.filter_map(|choice| self.vms.iter().position(|&vm| vm == choice.vm)).collect()
    }

    /// Notes what an owner has granted.
    fn note(&mut self, at: usize, asks: &[Ask], reach: Reach) {
        for ask in asks {
            self.estimates[at].granted(ask.need, reach);
        }
        for ask in asks.iter().filter(|ask| ask.kind == Kind::Service) {
            let class = Arc::clone(&ask.class);
            self.copies.entry(class).or_insert_with(|| vec![0; OWNERS])[at] += 1;
        }
    }

    /// Places the tasks of a gang on several owners, or none of them.
    fn try_parts(&mut self, asks: &[Ask], reach: Reach) -> Result<(), Refusal> {
        for (count, ask) in asks.iter().enumerate() {
            if !self.try_part(ask, reach) {
                for ask in &asks[..count] {
                    for cell in &mut self.cells {
                        cell.release(ask.lease);
                    }
                }
                return Err(Refusal::Full);
            }
        }
        Ok(())
    }

    fn try_part(&mut self, ask: &Ask, reach: Reach) -> bool {
        for at in self.ranked(std::slice::from_ref(ask), reach) {
            self.requests += 1;
            if self.cells[at].place_within(ask, Phase::Running, reach).is_ok() {
                self.note(at, std::slice::from_ref(ask), reach);
                return true;
            }
            self.estimates[at].refused(ask.need, reach);
        }
        false
    }
}
