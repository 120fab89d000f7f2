//! Room for urgent work by stopping batch tasks.
//!
//! Only batch tasks that are not urgent are stopped. Stopping a copy of a service would interrupt its
//! callers, and stopping one member of a gang stops the whole gang, possibly on other owners'
//! workers, so neither is a candidate. What the stopped tasks held is withheld from all others until the urgent
//! task has its need; [`WorkerPool::grant_claims`] then turns the claim into a grant.

use tokio::time::Instant;

use crate::{
    keys::{LeaseId, WorkerKey},
    message::AttemptSpec,
    pool::{Grant, GrantPhase, WorkerPool},
    record::Kind,
    resources::Resources,
};

/// Cost of stopping one more task, in core-milliseconds of lost work.
///
/// A task that has just saved its progress still pays for its restart.
const RESTART_CORE_MS: f64 = 5_000.0;

/// Workers whose tasks are compared. All workers of the pool wait while the choice is made, so it is
/// bounded; each choice goes on where the one before stopped, so that no worker is always chosen.
const COMPARED: usize = 512;

/// Tasks to checkpoint and stop, all on one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Victims {
    /// The worker.
    pub worker: WorkerKey,
    /// Leases of the tasks.
    pub leases: Vec<LeaseId>,
}

/// Urgent work that waits for preempted tasks to end.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The urgent task.
    pub spec: AttemptSpec,
    /// Where it will run.
    pub worker: WorkerKey,
    /// What is kept for it so far; it starts when this is its need.
    pub reserved: Resources,
}

/// A task that may be stopped.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    lease: LeaseId,
    need: Resources,
    cost: f64,
}

impl WorkerPool {
    /// Chooses the cheapest tasks on one worker whose end makes room for urgent work, and keeps that room
    /// for it. The caller checkpoints and stops the victims, and calls [`WorkerPool::grant_claims`] after each release.
    ///
    /// The cost is the work since the last checkpoint plus a constant for each task. The claim ends
    /// with [`WorkerPool::grant_claims`], or with [`WorkerPool::release`] of the urgent lease.
    pub fn preempt(&mut self, spec: &AttemptSpec) -> Option<Victims> {
        if !spec.urgent || self.is_known(spec.lease) {
            return None;
        }
        let now = Instant::now();
        let count = self.owned_workers.len();
        let start = self.turn % count.max(1);
        self.turn = start + COMPARED;
        let all = self.owned_workers.keys().cycle().skip(start).take(count);
        let able = all.filter(|&worker| self.could_make_room(worker, spec.need));
        let options = able.take(COMPARED).filter_map(|worker| self.victims(worker, spec.need, now));
        let (_, victims) = options.min_by(|one, two| one.0.total_cmp(&two.0))?;
        for &lease in &victims.leases {
            self.set_phase(lease, GrantPhase::Stopping);
        }
        let worker = victims.worker;
        self.claims.push(Claim { spec: spec.clone(), worker, reserved: Resources::ZERO });
        self.withhold(worker);
        self.reindex(worker);
        Some(victims)
    }

    fn could_make_room(&self, worker: WorkerKey, need: Resources) -> bool {
        let owned_worker = &self.owned_workers[worker];
        let sound = owned_worker.is_available() && !self.is_quarantined(worker);
        let claimed = self.claims.iter().any(|claim| claim.worker == worker);
        if !sound || claimed || !need.fits(owned_worker.capacity) {
            return false;
        }
        let stoppable = self.grants_on(worker).filter(|grant| is_stoppable(grant));
        need.fits(stoppable.map(|grant| grant.spec.need).sum::<Resources>() + owned_worker.free())
    }

    /// Returns the cheapest victims found on a worker.
    ///
    /// Tasks are added by cost for what they contribute; then those that turn out not to be needed are
    /// left out again, the dearest first.
    fn victims(&self, worker: WorkerKey, need: Resources, now: Instant) -> Option<(f64, Victims)> {
        let free = self.owned_workers[worker].free();
        let missing = need.saturating_sub(free);
        let stoppable = self.grants_on(worker).filter(|grant| is_stoppable(grant));
        let mut candidates: Vec<Candidate> = stoppable.map(|grant| candidate(grant, now)).collect();
        let rate = |one: &Candidate| one.cost / one.need.min(missing).dominant_share(missing);
        candidates.sort_by(|one, two| rate(one).total_cmp(&rate(two)));
        let mut room = free;
        let mut chosen: Vec<Candidate> = Vec::new();
        for candidate in candidates {
            if need.fits(room) {
                break;
            }
            room += candidate.need;
            chosen.push(candidate);
        }
        if !need.fits(room) {
            return None;
        }
        chosen.sort_by(|one, two| two.cost.total_cmp(&one.cost));
        chosen.retain(|candidate| {
            let spared = room - candidate.need;
            let spare = need.fits(spared);
            if spare {
                room = spared;
            }
            !spare
        });
        let cost = chosen.iter().map(|candidate| candidate.cost).sum();
        let leases = chosen.iter().map(|candidate| candidate.lease).collect();
        Some((cost, Victims { worker, leases }))
    }

    /// Keeps free capacity of a worker for the claims on it, the oldest first.
    pub(super) fn withhold(&mut self, worker: WorkerKey) {
        let owned_worker = &mut self.owned_workers[worker];
        for claim in self.claims.iter_mut().filter(|claim| claim.worker == worker) {
            let more = claim.spec.need.saturating_sub(claim.reserved).min(owned_worker.free());
            claim.reserved += more;
            owned_worker.reserved += more;
        }
    }

    /// Turns the claims that have their need into grants in the phase [`GrantPhase::Running`], and returns
    /// them. The caller sends the starts.
    pub fn grant_claims(&mut self) -> Vec<Grant> {
        let ready = |claim: &Claim| claim.reserved == claim.spec.need;
        let leases: Vec<LeaseId> =
            self.claims.iter().filter(|claim| ready(claim)).map(|claim| claim.spec.lease).collect();
        let mut grants = Vec::with_capacity(leases.len());
        for lease in leases {
            let Some(claim) = self.take_claim(lease) else { continue };
            self.insert(claim.worker, claim.spec, GrantPhase::Running);
            grants.extend(self.grant(lease).cloned());
        }
        grants
    }

    /// Gives up a claim, if the lease has one. What was kept for it can be granted to others.
    pub(super) fn drop_claim(&mut self, lease: LeaseId) {
        if let Some(claim) = self.take_claim(lease) {
            self.withhold(claim.worker);
            self.reindex(claim.worker);
        }
    }

    fn take_claim(&mut self, lease: LeaseId) -> Option<Claim> {
        let at = self.claims.iter().position(|claim| claim.spec.lease == lease)?;
        let claim = self.claims.remove(at);
        let owned_worker = &mut self.owned_workers[claim.worker];
        owned_worker.reserved = owned_worker.reserved.saturating_sub(claim.reserved);
        Some(claim)
    }

    /// Returns the urgent work that waits for preempted tasks to end.
    pub fn claims(&self) -> impl Iterator<Item = &Claim> {
        self.claims.iter()
    }

    /// Returns the claim of a lease.
    #[must_use]
    pub fn claim(&self, lease: LeaseId) -> Option<&Claim> {
        self.claims.iter().find(|claim| claim.spec.lease == lease)
    }
}

fn is_stoppable(grant: &Grant) -> bool {
    grant.spec.kind == Kind::Batch && !grant.spec.urgent && grant.phase == GrantPhase::Running
}

fn candidate(grant: &Grant, now: Instant) -> Candidate {
    let lost_ms = now.saturating_duration_since(grant.saved_at).as_secs_f64() * 1_000.0;
    let cores = f64::from(grant.spec.need.millicores) / 1_000.0;
    let cost = RESTART_CORE_MS + lost_ms * cores;
    Candidate { lease: grant.spec.lease, need: grant.spec.need, cost }
}
