//! Workers divided among owners that a home knows only by their summaries.

use std::{collections::HashMap, sync::Arc};

use {
    coriandertack_core::{
        cell::{Cell, Phase, Reach, Refusal, Weights},
        home_choice::{Owner, rank_owners},
        keys::VmKey,
        message::{Ask, Summary},
        record::Kind,
        resources::Resources,
    },
    slotmap::SlotMap,
};

use super::jobs::{cells, place_job};

/// Owners in the part with split ownership.
const OWNERS: usize = 8;

/// Decisions between two heartbeats in the part with split ownership.
const HEARTBEAT_EVERY: usize = 20;

/// Owners with the summaries that a home has of them.
pub(super) struct Split {
    pub(super) cells: Vec<Cell>,
    vms: Vec<VmKey>,
    summaries: Vec<Summary>,
    /// Copies of each service at each owner.
    copies: HashMap<Arc<str>, Vec<u32>>,
    decisions: usize,
}

impl Split {
    pub(super) fn new(fleet: &[Resources], weights: Weights) -> Self {
        let cells = cells(fleet, OWNERS, weights);
        let mut keys: SlotMap<VmKey, ()> = SlotMap::with_key();
        let vms = (0..OWNERS).map(|_| keys.insert(())).collect();
        let copies = HashMap::new();
        let mut split = Self { cells, vms, summaries: Vec::new(), copies, decisions: 0 };
        split.hear();
        split
    }

    /// Takes the summaries of all owners, as from their heartbeats.
    fn hear(&mut self) {
        self.summaries = self.cells.iter().map(Cell::summary).collect();
    }

    /// Returns what the home knows of the owners.
    fn owners(&self, ask: &Ask) -> Vec<Owner> {
        let copies = self.copies.get(&ask.class);
        let owner = |at: usize| Owner {
            vm: self.vms[at],
            summary: self.summaries[at],
            copies: copies.map_or(0, |copies| copies[at]),
        };
        (0..OWNERS).map(owner).collect()
    }

    /// Places a job as a home does: on the owner that the summaries suggest, then on the next.
    pub(super) fn place(&mut self, asks: &[Ask]) -> Result<(), Refusal> {
        self.decisions += 1;
        if self.decisions.is_multiple_of(HEARTBEAT_EVERY) {
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
        let owners = rank_owners(&self.owners(&asks[0]), asks);
        for reach in [Reach::Kept, Reach::Any] {
            let own = owners.iter().filter(|choice| choice.reach == reach);
            for at in own.filter_map(|choice| self.position(choice.vm)).collect::<Vec<_>>() {
                if place_job(&mut self.cells[at], asks, reach).is_ok() {
                    self.count_copies(at, asks);
                    return Ok(());
                }
            }
            if self.try_parts(asks, reach).is_ok() {
                return Ok(());
            }
        }
        Err(Refusal::Full)
    }

    fn count_copies(&mut self, at: usize, asks: &[Ask]) {
        for ask in asks.iter().filter(|ask| ask.kind == Kind::Service) {
            let class = Arc::clone(&ask.class);
            self.copies.entry(class).or_insert_with(|| vec![0; OWNERS])[at] += 1;
        }
    }

    fn position(&self, vm: VmKey) -> Option<usize> {
        self.vms.iter().position(|&other| other == vm)
    }

    /// Places the tasks of a gang on several owners, or none of them.
    fn try_parts(&mut self, asks: &[Ask], reach: Reach) -> Result<(), Refusal> {
        for (at, ask) in asks.iter().enumerate() {
            let owners = rank_owners(&self.owners(ask), std::slice::from_ref(ask));
            let placed = owners.iter().filter(|choice| choice.reach == reach).any(|choice| {
                let cell = self.position(choice.vm).map(|at| &mut self.cells[at]);
                cell.is_some_and(|cell| cell.place_within(ask, Phase::Running, reach).is_ok())
            });
            if !placed {
                for ask in &asks[..at] {
                    for cell in &mut self.cells {
                        cell.release(ask.lease);
                    }
                }
                return Err(Refusal::Full);
            }
        }
        Ok(())
    }
}
