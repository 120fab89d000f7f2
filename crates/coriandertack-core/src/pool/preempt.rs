//! Preemption of batch tasks by urgent tasks.
//!
//! Only batch tasks that are not urgent are preempted. Stopping a copy of a service would interrupt its
//! callers, and stopping one member of a gang stops the whole gang, possibly on workers of other owners,
//! so neither is a candidate. Capacity freed by the victims is reserved for the urgent task until its
//! whole request is covered; [`WorkerPool::grant_claims`] then turns the claim into a grant.

use tokio::time::Instant;

use crate::{
    keys::{LeaseId, WorkerKey},
    message::AttemptSpec,
    pool::{Grant, GrantPhase, WorkerPool},
    record::Kind,
    resources::Resources,
};

/// Fixed cost of preempting a task, in core-milliseconds of lost work.
///
/// It covers the restart, which costs time even if the task has just saved a checkpoint.
const RESTART_CORE_MS: f64 = 5_000.0;

/// Maximum number of workers compared in one preemption, which bounds the time that it blocks the pool.
///
/// Each preemption continues after the workers of the previous one, so that the victims are not always
/// taken from the same workers.
const MAX_COMPARED: usize = 512;

/// Tasks to checkpoint and stop for an urgent task, all on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Victims {
    /// Worker that runs the tasks.
    pub worker: WorkerKey,
    /// Leases of the tasks to stop.
    pub leases: Vec<LeaseId>,
}

/// An urgent task that waits for preempted tasks to end.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Attempt that the capacity is for.
    pub spec: AttemptSpec,
    /// Worker that the task will run on.
    pub worker: WorkerKey,
    /// Capacity reserved so far. The task can start once this equals its request.
    pub reserved: Resources,
}

/// A task that may be preempted.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    lease: LeaseId,
    need: Resources,
    /// Work that stopping the task loses, in core-milliseconds.
    cost: f64,
}

impl WorkerPool {
    /// Selects the cheapest set of tasks on one worker whose end makes room for an urgent task, and claims
    /// that room for it. Returns `None` if `spec` is not urgent or no worker has suitable tasks.
    ///
    /// The caller checkpoints and stops the victims, and calls [`WorkerPool::grant_claims`] after each release.
    /// The cost of a victim is its work since the last checkpoint plus a constant for the restart. The claim
    /// ends with [`WorkerPool::grant_claims`], or with [`WorkerPool::release`] of the urgent lease.
    pub fn preempt(&mut self, spec: &AttemptSpec) -> Option<Victims> {
        if !spec.urgent || self.has_grant_or_claim(spec.lease) {
            return None;
        }
        let now = Instant::now();
        let count = self.owned_workers.len();
        let start = self.preempt_cursor % count.max(1);
        self.preempt_cursor = start + MAX_COMPARED;
        let all = self.owned_workers.keys().cycle().skip(start).take(count);
        let eligible = all.filter(|&worker| self.can_make_room(worker, spec.need));
        let options = eligible
            .take(MAX_COMPARED)
            .filter_map(|worker| self.find_victims(worker, spec.need, now));
        let (_, victims) = options.min_by(|a, b| a.0.total_cmp(&b.0))?;
        for &lease in &victims.leases {
            self.set_phase(lease, GrantPhase::Stopping);
        }
        let worker = victims.worker;
        self.claims.push(Claim { spec: spec.clone(), worker, reserved: Resources::ZERO });
        self.reserve_for_claims(worker);
        self.reindex(worker);
        Some(victims)
    }

    fn can_make_room(&self, worker: WorkerKey, need: Resources) -> bool {
        let owned_worker = &self.owned_workers[worker];
        let healthy = owned_worker.is_available() && !self.is_quarantined(worker);
        let claimed = self.claims.iter().any(|claim| claim.worker == worker);
        if !healthy || claimed || !need.fits(owned_worker.capacity) {
            return false;
        }
        let preemptible = self.grants_on(worker).filter(|grant| is_preemptible(grant));
        need.fits(preemptible.map(|grant| grant.spec.need).sum::<Resources>() + owned_worker.free())
    }

    /// Returns a low-cost set of victims on a worker, and its cost.
    ///
    /// The search is greedy: it adds tasks in order of cost relative to the missing capacity that they
    /// free, and then drops those that turn out to be unnecessary, most expensive first.
    fn find_victims(
        &self,
        worker: WorkerKey,
        need: Resources,
        now: Instant,
    ) -> Option<(f64, Victims)> {
        let free = self.owned_workers[worker].free();
        let missing = need.saturating_sub(free);
        let preemptible = self.grants_on(worker).filter(|grant| is_preemptible(grant));
        let mut candidates: Vec<Candidate> =
            preemptible.map(|grant| candidate(grant, now)).collect();
        let cost_per_share =
            |task: &Candidate| task.cost / task.need.min(missing).dominant_share(missing);
        candidates.sort_by(|a, b| cost_per_share(a).total_cmp(&cost_per_share(b)));
        let mut available = free;
        let mut chosen: Vec<Candidate> = Vec::new();
        for candidate in candidates {
            if need.fits(available) {
                break;
            }
            available += candidate.need;
            chosen.push(candidate);
        }
        if !need.fits(available) {
            return None;
        }
        chosen.sort_by(|a, b| b.cost.total_cmp(&a.cost));
        chosen.retain(|candidate| {
            let remaining = available - candidate.need;
            let unneeded = need.fits(remaining);
            if unneeded {
                available = remaining;
            }
            !unneeded
        });
        let cost = chosen.iter().map(|candidate| candidate.cost).sum();
        let leases = chosen.iter().map(|candidate| candidate.lease).collect();
        Some((cost, Victims { worker, leases }))
    }

    /// Reserves free capacity of a worker for the claims on it, oldest first.
    pub(super) fn reserve_for_claims(&mut self, worker: WorkerKey) {
        let owned_worker = &mut self.owned_workers[worker];
        for claim in self.claims.iter_mut().filter(|claim| claim.worker == worker) {
            let more = claim.spec.need.saturating_sub(claim.reserved).min(owned_worker.free());
            claim.reserved += more;
            owned_worker.reserved += more;
        }
    }

    /// Turns the fully reserved claims into grants in the phase [`GrantPhase::Running`] and returns them.
    ///
    /// The caller sends the start commands.
    pub fn grant_claims(&mut self) -> Vec<Grant> {
        let ready = |claim: &Claim| claim.reserved == claim.spec.need;
        let leases: Vec<LeaseId> =
            self.claims.iter().filter(|claim| ready(claim)).map(|claim| claim.spec.lease).collect();
        let mut grants = Vec::with_capacity(leases.len());
        for lease in leases {
            let Some(claim) = self.remove_claim(lease) else { continue };
            self.insert(claim.worker, claim.spec, GrantPhase::Running);
            grants.extend(self.grant(lease).cloned());
        }
        grants
    }

    /// Drops the claim of a lease, if it has one, and makes its reserved capacity available again.
    pub(super) fn drop_claim(&mut self, lease: LeaseId) {
        if let Some(claim) = self.remove_claim(lease) {
            self.reserve_for_claims(claim.worker);
            self.reindex(claim.worker);
        }
    }

    fn remove_claim(&mut self, lease: LeaseId) -> Option<Claim> {
        let index = self.claims.iter().position(|claim| claim.spec.lease == lease)?;
        let claim = self.claims.remove(index);
        let owned_worker = &mut self.owned_workers[claim.worker];
        owned_worker.reserved = owned_worker.reserved.saturating_sub(claim.reserved);
        Some(claim)
    }

    /// Returns the urgent tasks that wait for preempted tasks to end, oldest first.
    pub fn claims(&self) -> impl Iterator<Item = &Claim> {
        self.claims.iter()
    }

    /// Returns the claim of a lease.
    #[must_use]
    pub fn claim(&self, lease: LeaseId) -> Option<&Claim> {
        self.claims.iter().find(|claim| claim.spec.lease == lease)
    }
}

fn is_preemptible(grant: &Grant) -> bool {
    grant.spec.kind == Kind::Batch && !grant.spec.urgent && grant.phase == GrantPhase::Running
}

fn candidate(grant: &Grant, now: Instant) -> Candidate {
    let lost_ms = now.saturating_duration_since(grant.saved_at).as_secs_f64() * 1_000.0;
    let cores = f64::from(grant.spec.need.millicores) / 1_000.0;
    let cost = RESTART_CORE_MS + lost_ms * cores;
    Candidate { lease: grant.spec.lease, need: grant.spec.need, cost }
}
