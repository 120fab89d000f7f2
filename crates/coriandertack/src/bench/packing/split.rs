//! Workers split among owners of which a home knows only the capacity summaries.

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

/// Number of owners.
const OWNERS: usize = 8;

/// Estimates and counts that one home keeps of the owners.
struct Home {
    /// Estimated capacity of each owner.
    estimates: Vec<OwnerEstimate>,
    /// Number of tasks of each service class at each owner.
    copies: HashMap<Arc<str>, Vec<u32>>,
}

/// Owners and the homes that share them. Each VM is both an owner and a home.
pub(super) struct SplitOwnership {
    pub(super) worker_pools: Vec<WorkerPool>,
    vms: Vec<VmKey>,
    homes: Vec<Home>,
    decisions: usize,
    /// Number of decisions between two heartbeats.
    heartbeat_decisions: usize,
    /// Number of requests from homes to other owners.
    pub(super) requests: usize,
}

impl SplitOwnership {
    pub(super) fn new(fleet: &[Resources], weights: Weights, heartbeat_decisions: usize) -> Self {
        let worker_pools = worker_pools(fleet, OWNERS, weights);
        let mut keys: SlotMap<VmKey, ()> = SlotMap::with_key();
        let vms = (0..OWNERS).map(|_| keys.insert(())).collect();
        let home = || Home { estimates: Vec::new(), copies: HashMap::new() };
        let homes = (0..OWNERS).map(|_| home()).collect();
        let mut split =
            Self { worker_pools, vms, homes, decisions: 0, heartbeat_decisions, requests: 0 };
        split.refresh_all_estimates();
        split
    }

    fn refresh_all_estimates(&mut self) {
        (0..OWNERS).for_each(|home| self.refresh_estimates(home));
    }

    /// Replaces a home's estimates by the current summaries of all owners, as their heartbeats do.
    fn refresh_estimates(&mut self, home: usize) {
        self.homes[home].estimates =
            self.worker_pools.iter().map(|worker_pool| worker_pool.summary().into()).collect();
    }

    /// Places a job as its home does: it tries the owners in the order that the estimates suggest.
    pub(super) fn place(&mut self, specs: &[AttemptSpec]) -> Result<(), PlacementError> {
        // All jobs of a class get the same home, since the classes repeat after 40 jobs, a multiple of `OWNERS`.
        let home = specs[0].lease.task.job.0 as usize % OWNERS;
        self.decisions += 1;
        if self.decisions.is_multiple_of(self.heartbeat_decisions) {
            self.refresh_all_estimates();
        }
        // A home always knows its own workers.
        self.homes[home].estimates[home] = self.worker_pools[home].summary().into();
        if self.try_job(home, specs).is_ok() {
            return Ok(());
        }
        // A refused job is queued and retried with the next summaries.
        self.refresh_estimates(home);
        self.try_job(home, specs)
    }

    /// Tries to place the whole job on one owner, then a gang on several. Workers with accelerators are used for
    /// work that needs none only if both fail on the others.
    fn try_job(&mut self, home: usize, specs: &[AttemptSpec]) -> Result<(), PlacementError> {
        for filter in [WorkerFilter::NoAccelerators, WorkerFilter::Any] {
            for owner in self.ranked_owners(home, specs, filter) {
                self.requests += usize::from(owner != home);
                if place_job(&mut self.worker_pools[owner], specs, filter).is_ok() {
                    self.record_grants(home, owner, specs, filter);
                    return Ok(());
                }
                if let [spec] = specs {
                    self.record_refusal(home, owner, spec, filter);
                }
            }
            if specs.len() > 1 && self.try_gang(home, specs, filter).is_ok() {
                return Ok(());
            }
        }
        Err(PlacementError::Full)
    }

    /// Returns the indices of the owners to try, in order.
    fn ranked_owners(
        &self,
        home: usize,
        specs: &[AttemptSpec],
        filter: WorkerFilter,
    ) -> Vec<usize> {
        let known = &self.homes[home];
        let copies = known.copies.get(&specs[0].class);
        let candidate = |owner: usize| OwnerCandidate {
            vm: self.vms[owner],
            estimate: &known.estimates[owner],
            copies: copies.map_or(0, |copies| copies[owner]),
            local: owner == home,
        };
        let owners: Vec<OwnerCandidate<'_>> = (0..OWNERS).map(candidate).collect();
        let ranked = rank_owners(&owners, specs);
        let matching = ranked.into_iter().filter(|choice| choice.filter == filter);
        matching.filter_map(|choice| self.vms.iter().position(|&vm| vm == choice.vm)).collect()
    }

    fn record_refusal(
        &mut self,
        home: usize,
        owner: usize,
        spec: &AttemptSpec,
        filter: WorkerFilter,
    ) {
        let estimate = &mut self.homes[home].estimates[owner];
        estimate.deduct(spec.need, filter);
        estimate.record_refusal(spec.need, filter);
    }

    /// Updates a home's estimates and counts after an owner has granted tasks.
    fn record_grants(
        &mut self,
        home: usize,
        owner: usize,
        specs: &[AttemptSpec],
        filter: WorkerFilter,
    ) {
        let home = &mut self.homes[home];
        for spec in specs {
            home.estimates[owner].deduct(spec.need, filter);
        }
        for spec in specs.iter().filter(|spec| spec.kind == Kind::Service) {
            let class = Arc::clone(&spec.class);
            home.copies.entry(class).or_insert_with(|| vec![0; OWNERS])[owner] += 1;
        }
    }

    /// Places each task of a gang on any owner, or none of the tasks.
    fn try_gang(
        &mut self,
        home: usize,
        specs: &[AttemptSpec],
        filter: WorkerFilter,
    ) -> Result<(), PlacementError> {
        for (count, spec) in specs.iter().enumerate() {
            if !self.try_task(home, spec, filter) {
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

    fn try_task(&mut self, home: usize, spec: &AttemptSpec, filter: WorkerFilter) -> bool {
        for owner in self.ranked_owners(home, std::slice::from_ref(spec), filter) {
            self.requests += usize::from(owner != home);
            if self.worker_pools[owner].place_filtered(spec, GrantPhase::Running, filter).is_ok() {
                self.record_grants(home, owner, std::slice::from_ref(spec), filter);
                return true;
            }
            self.record_refusal(home, owner, spec, filter);
        }
        false
    }
}
