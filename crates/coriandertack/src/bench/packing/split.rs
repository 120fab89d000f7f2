//! Workers divided among owners that a home knows only by their summaries.

use std::{collections::HashMap, sync::Arc};

use {
    coriandertack_core::{
        keys::VmKey,
        message::AttemptSpec,
        owner_selection::{OwnerCandidate, OwnerEstimate, rank_owners},
        pool::{GrantPhase, PlacementError, Weights, WorkerFilter, WorkerPool},
        record::Kind,
        resources::Resources,
    },
    slotmap::SlotMap,
};

use super::jobs::{place_job, worker_pools};

/// Owners in the part with split ownership.
const OWNERS: usize = 8;

/// What one home knows.
struct Home {
    estimates: Vec<OwnerEstimate>,
    /// Copies of each service at each owner.
    copies: HashMap<Arc<str>, Vec<u32>>,
}

/// Owners, and homes that share them. Each VM is both.
pub(super) struct Split {
    pub(super) worker_pools: Vec<WorkerPool>,
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
        let worker_pools = worker_pools(fleet, OWNERS, weights);
        let mut keys: SlotMap<VmKey, ()> = SlotMap::with_key();
        let vms = (0..OWNERS).map(|_| keys.insert(())).collect();
        let home = || Home { estimates: Vec::new(), copies: HashMap::new() };
        let homes = (0..OWNERS).map(|_| home()).collect();
        let mut split = Self { worker_pools, vms, homes, decisions: 0, every, requests: 0 };
        split.hear_all();
        split
    }

    fn hear_all(&mut self) {
        (0..OWNERS).for_each(|home| self.hear(home));
    }

    /// Takes the summaries of all owners, as from their heartbeats.
    fn hear(&mut self, home: usize) {
        self.homes[home].estimates =
            self.worker_pools.iter().map(|worker_pool| worker_pool.summary().into()).collect();
    }

    /// Places a job as its home does: on the owner that the estimates suggest, then on the next.
    pub(super) fn place(&mut self, specs: &[AttemptSpec]) -> Result<(), PlacementError> {
        // Jobs of one class have one home, since the classes repeat after a multiple of 8 jobs.
        let home = specs[0].lease.task.job.0 as usize % OWNERS;
        self.decisions += 1;
        if self.decisions.is_multiple_of(self.every) {
            self.hear_all();
        }
        // A home always knows its own workers.
        self.homes[home].estimates[home] = self.worker_pools[home].summary().into();
        if self.try_job(home, specs).is_ok() {
            return Ok(());
        }
        // A refused job is queued and tried again with the next summaries.
        self.hear(home);
        self.try_job(home, specs)
    }

    /// Tries the owners that may hold the whole job, then several together. Workers with accelerators
    /// are used for other work only when that fails.
    fn try_job(&mut self, home: usize, specs: &[AttemptSpec]) -> Result<(), PlacementError> {
        for filter in [WorkerFilter::NoAccelerators, WorkerFilter::Any] {
            for at in self.ranked(home, specs, filter) {
                self.requests += usize::from(at != home);
                if place_job(&mut self.worker_pools[at], specs, filter).is_ok() {
                    self.note(home, at, specs, filter);
                    return Ok(());
                }
                if let [spec] = specs {
                    self.refuse(home, at, spec, filter);
                }
            }
            if specs.len() > 1 && self.try_parts(home, specs, filter).is_ok() {
                return Ok(());
            }
        }
        Err(PlacementError::Full)
    }

    /// Returns the positions of the owners to ask, in order.
    fn ranked(&self, home: usize, specs: &[AttemptSpec], filter: WorkerFilter) -> Vec<usize> {
        let known = &self.homes[home];
        let copies = known.copies.get(&specs[0].class);
        let owner = |at: usize| OwnerCandidate {
            vm: self.vms[at],
            estimate: &known.estimates[at],
            copies: copies.map_or(0, |copies| copies[at]),
            local: at == home,
        };
        let owners: Vec<OwnerCandidate<'_>> = (0..OWNERS).map(owner).collect();
        let ranked = rank_owners(&owners, specs);
        let own = ranked.into_iter().filter(|choice| choice.filter == filter);
        own.filter_map(|choice| self.vms.iter().position(|&vm| vm == choice.vm)).collect()
    }

    fn refuse(&mut self, home: usize, at: usize, spec: &AttemptSpec, filter: WorkerFilter) {
        let estimate = &mut self.homes[home].estimates[at];
        estimate.deduct(spec.need, filter);
        estimate.record_refusal(spec.need, filter);
    }

    /// Notes what an owner has granted.
    fn note(&mut self, home: usize, at: usize, specs: &[AttemptSpec], filter: WorkerFilter) {
        let home = &mut self.homes[home];
        for spec in specs {
            home.estimates[at].deduct(spec.need, filter);
        }
        for spec in specs.iter().filter(|spec| spec.kind == Kind::Service) {
            let class = Arc::clone(&spec.class);
            home.copies.entry(class).or_insert_with(|| vec![0; OWNERS])[at] += 1;
        }
    }

    /// Places the tasks of a gang on several owners, or none of them.
    fn try_parts(
        &mut self,
        home: usize,
        specs: &[AttemptSpec],
        filter: WorkerFilter,
    ) -> Result<(), PlacementError> {
        for (count, spec) in specs.iter().enumerate() {
            if !self.try_part(home, spec, filter) {
                for spec in &specs[..count] {
                    for worker_pool in &mut self.worker_pools {
                        worker_pool.release(spec.lease);
                    }
                }
                return Err(PlacementError::Full);
            }
        }
        Ok(())
    }

    fn try_part(&mut self, home: usize, spec: &AttemptSpec, filter: WorkerFilter) -> bool {
        for at in self.ranked(home, std::slice::from_ref(spec), filter) {
            self.requests += usize::from(at != home);
            if self.worker_pools[at].place_filtered(spec, GrantPhase::Running, filter).is_ok() {
                self.note(home, at, std::slice::from_ref(spec), filter);
                return true;
            }
            self.refuse(home, at, spec, filter);
        }
        false
    }
}
