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

/// What one home knows.
struct Home {
    estimates: Vec<Estimate>,
    /// Copies of each service at each owner.
    copies: HashMap<Arc<str>, Vec<u32>>,
}

/// Owners, and homes that share them. Each VM is both.
pub(super) struct Split {
    pub(super) cells: Vec<Cell>,
    vms: Vec<VmKey>,
    homes: Vec<Home>,
    decisions: usize,
    /// Decisions between two heartbeats.
    every: usize,
    /// Requests of homes to other owners.
    pub(super) requests: usize,
}

impl Split {
    pub(super) fn new(fleet: &[Resources], weights: Weights, every: usize) -> Self {
        let cells = cells(fleet, OWNERS, weights);
        let mut keys: SlotMap<VmKey, ()> = SlotMap::with_key();
        let vms = (0..OWNERS).map(|_| keys.insert(())).collect();
        let home = || Home { estimates: Vec::new(), copies: HashMap::new() };
        let homes = (0..OWNERS).map(|_| home()).collect();
        let mut split = Self { cells, vms, homes, decisions: 0, every, requests: 0 };
        split.hear_all();
        split
    }

    fn hear_all(&mut self) {
        (0..OWNERS).for_each(|home| self.hear(home));
    }

    /// Takes the summaries of all owners, as from their heartbeats.
    fn hear(&mut self, home: usize) {
        self.homes[home].estimates = self.cells.iter().map(|cell| cell.summary().into()).collect();
    }

    /// Places a job as its home does: on the owner that the estimates suggest, then on the next.
    pub(super) fn place(&mut self, asks: &[Ask]) -> Result<(), Refusal> {
        // Jobs of one class have one home, since the classes repeat after a multiple of 8 jobs.
        let home = asks[0].lease.task.job.0 as usize % OWNERS;
        self.decisions += 1;
        if self.decisions.is_multiple_of(self.every) {
            self.hear_all();
        }
        // A home always knows its own workers.
        self.homes[home].estimates[home] = self.cells[home].summary().into();
        if self.try_job(home, asks).is_ok() {
            return Ok(());
        }
        // A refused job is queued and tried again with the next summaries.
        self.hear(home);
        self.try_job(home, asks)
    }

    /// Tries the owners that may hold the whole job, then several together. Workers with accelerators
    /// are used for other work only when that fails.
    fn try_job(&mut self, home: usize, asks: &[Ask]) -> Result<(), Refusal> {
        for reach in [Reach::Kept, Reach::Any] {
            for at in self.ranked(home, asks, reach) {
                self.requests += usize::from(at != home);
                if place_job(&mut self.cells[at], asks, reach).is_ok() {
                    self.note(home, at, asks, reach);
                    return Ok(());
                }
                if let [ask] = asks {
                    self.refuse(home, at, ask, reach);
                }
            }
            if asks.len() > 1 && self.try_parts(home, asks, reach).is_ok() {
                return Ok(());
            }
        }
        Err(Refusal::Full)
    }

    /// Returns the positions of the owners to ask, in order.
    fn ranked(&self, home: usize, asks: &[Ask], reach: Reach) -> Vec<usize> {
        let known = &self.homes[home];
        let copies = known.copies.get(&asks[0].class);
        let owner = |at: usize| Owner {
            vm: self.vms[at],
            estimate: &known.estimates[at],
            copies: copies.map_or(0, |copies| copies[at]),
            local: at == home,
        };
        let owners: Vec<Owner<'_>> = (0..OWNERS).map(owner).collect();
        let ranked = rank_owners(&owners, asks);
        let own = ranked.into_iter().filter(|choice| choice.reach == reach);
        own.filter_map(|choice| self.vms.iter().position(|&vm| vm == choice.vm)).collect()
    }

    fn refuse(&mut self, home: usize, at: usize, ask: &Ask, reach: Reach) {
        let estimate = &mut self.homes[home].estimates[at];
        estimate.ask(ask.need, reach);
        estimate.refuse(ask.need, reach);
    }

    /// Notes what an owner has granted.
    fn note(&mut self, home: usize, at: usize, asks: &[Ask], reach: Reach) {
        let home = &mut self.homes[home];
        for ask in asks {
            home.estimates[at].ask(ask.need, reach);
        }
        for ask in asks.iter().filter(|ask| ask.kind == Kind::Service) {
            let class = Arc::clone(&ask.class);
            home.copies.entry(class).or_insert_with(|| vec![0; OWNERS])[at] += 1;
        }
    }

    /// Places the tasks of a gang on several owners, or none of them.
    fn try_parts(&mut self, home: usize, asks: &[Ask], reach: Reach) -> Result<(), Refusal> {
        for (count, ask) in asks.iter().enumerate() {
            if !self.try_part(home, ask, reach) {
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

    fn try_part(&mut self, home: usize, ask: &Ask, reach: Reach) -> bool {
        for at in self.ranked(home, std::slice::from_ref(ask), reach) {
            self.requests += usize::from(at != home);
            if self.cells[at].place_within(ask, Phase::Running, reach).is_ok() {
                self.note(home, at, std::slice::from_ref(ask), reach);
                return true;
            }
            self.refuse(home, at, ask, reach);
        }
        false
    }
}
