//! Capacity accounting and placement for the workers that this VM owns.
//!
//! Only the owner of a worker grants its capacity, and it does so from memory. A worker becomes
//! available once the list of tasks that it already runs has been read ([`WorkerPool::reconcile`]), since
//! these tasks count against its capacity. The sum of the grants on a worker never exceeds its capacity.
//!
//! ```
//! use coriandertack_core::{pool::{WorkerPool, OwnedWorker}, keys::WorkerKey, resources::Resources};
//! use slotmap::SlotMap;
//!
//! let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
//! let worker = keys.insert(());
//! let mut pool = WorkerPool::default();
//! pool.upsert_worker(worker, OwnedWorker::new("split-w1", "split", "r1", Resources::new(16_000, 32_768, 0)));
//! pool.reconcile(worker, &[]);
//! assert_eq!(pool.summary().free, Resources::new(16_000, 32_768, 0));
//! ```

mod filter;
mod gang;
mod index;
mod owned_worker;
mod preempt;
mod quarantine;
mod selection;
mod throttle;
mod weights;

use std::{collections::HashMap, sync::Arc};

use {
    slotmap::{SecondaryMap, SlotMap},
    tokio::time::Instant,
};

pub use self::{
    filter::WorkerFilter,
    owned_worker::OwnedWorker,
    preempt::{Claim, Victims},
    quarantine::{
        FAILURE_THRESHOLD, MAX_QUICK_FAILURE, MAX_TRIAL_DELAY, MIN_TRIAL_DELAY, QuarantineChange,
    },
    throttle::TaskUsage,
    weights::Weights,
};

use self::{
    index::Index,
    quarantine::{Health, SuspectClass},
    selection::CopyCounts,
};

use crate::{
    keys::{GrantKey, LeaseId, WorkerKey},
    message::{AttemptSpec, CapacitySummary, RunningTask},
    resources::Resources,
};

/// State of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantPhase {
    /// Reserved until the deadline for a gang whose other members have no capacity yet.
    Held(Instant),
    /// The start command was sent, or the task is running.
    Running,
    /// The stop command was sent.
    Stopping,
}

/// Worker capacity granted to a lease.
#[derive(Clone, Debug)]
pub struct Grant {
    /// Attempt that the grant is for, with its resource request.
    pub spec: AttemptSpec,
    /// Worker whose capacity is granted.
    pub worker: WorkerKey,
    /// State of the grant.
    pub phase: GrantPhase,
    /// Time of the grant or of the last checkpoint. Stopping the task loses the work done since then.
    pub saved_at: Instant,
    /// CPU limit in thousandths of a core while the task is throttled, `None` otherwise.
    pub cpu_limit: Option<u32>,
}

/// Reason why no capacity was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// No worker currently has enough free capacity.
    Full,
    /// The lease already has a grant or a claim.
    Duplicate,
}

/// Resource sums over many workers, which may overflow the 32-bit fields of [`Resources`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ResourceTotals {
    millicores: u64,
    memory_mib: u64,
    accelerators: u64,
}

impl ResourceTotals {
    fn add(&mut self, amount: Resources) {
        self.millicores += u64::from(amount.millicores);
        self.memory_mib += u64::from(amount.memory_mib);
        self.accelerators += u64::from(amount.accelerators);
    }

    fn remove(&mut self, amount: Resources) {
        self.millicores -= u64::from(amount.millicores);
        self.memory_mib -= u64::from(amount.memory_mib);
        self.accelerators -= u64::from(amount.accelerators);
    }
}

/// The workers that this VM owns, with the capacity granted on them.
#[derive(Clone, Debug, Default)]
pub struct WorkerPool {
    weights: Weights,
    owned_workers: SecondaryMap<WorkerKey, OwnedWorker>,
    worker_grants: SecondaryMap<WorkerKey, Vec<GrantKey>>,
    health: SecondaryMap<WorkerKey, Health>,
    grants: SlotMap<GrantKey, Grant>,
    leases: HashMap<LeaseId, GrantKey>,
    /// Urgent tasks that wait for preempted tasks to end, oldest first.
    claims: Vec<Claim>,
    /// Index of the first worker that the next preemption considers.
    preempt_cursor: usize,
    index: Index,
    /// Running copies of each service, by class.
    copies: HashMap<Arc<str>, CopyCounts>,
    suspect_classes: Vec<SuspectClass>,
    /// Capacity of all workers.
    capacity: ResourceTotals,
    /// Grants on all workers.
    granted: ResourceTotals,
}

impl WorkerPool {
    /// Returns an empty pool that ranks placements by `weights`.
    #[must_use]
    pub fn new(weights: Weights) -> Self {
        Self { weights, ..Self::default() }
    }

    /// Sets the weights for all later placements.
    pub fn set_weights(&mut self, weights: Weights) {
        self.weights = weights;
    }

    /// Adds a worker, or updates its capacity, location and schedulability.
    pub fn upsert_worker(&mut self, worker: WorkerKey, owned_worker: OwnedWorker) {
        match self.owned_workers.get_mut(worker) {
            Some(existing) => {
                self.capacity.remove(existing.capacity);
                existing.capacity = owned_worker.capacity;
                existing.schedulable = owned_worker.schedulable;
                let relocated =
                    existing.zone != owned_worker.zone || existing.rack != owned_worker.rack;
                if relocated {
                    self.move_worker(worker, &owned_worker);
                }
            }
            None => {
                let owned_worker = OwnedWorker {
                    granted: Resources::ZERO,
                    reserved: Resources::ZERO,
                    ..owned_worker
                };
                self.owned_workers.insert(worker, owned_worker);
                self.worker_grants.insert(worker, Vec::new());
            }
        }
        self.capacity.add(self.owned_workers[worker].capacity);
        self.reindex(worker);
    }

    /// Moves a worker to another rack, and with it the counts of the service copies that it runs.
    fn move_worker(&mut self, worker: WorkerKey, owned_worker: &OwnedWorker) {
        let specs: Vec<AttemptSpec> =
            self.worker_grants[worker].iter().map(|&key| self.grants[key].spec.clone()).collect();
        for spec in &specs {
            self.remove_copy(worker, spec);
        }
        self.index.remove(worker);
        self.owned_workers[worker].zone = Arc::clone(&owned_worker.zone);
        self.owned_workers[worker].rack = Arc::clone(&owned_worker.rack);
        self.reindex(worker);
        for spec in &specs {
            self.add_copy(worker, spec);
        }
    }

    /// Removes a worker with its grants and claims, once it has another owner or no longer exists.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        self.claims.retain(|claim| claim.worker != worker);
        for key in self.worker_grants.get(worker).cloned().unwrap_or_default() {
            let lease = self.grants[key].spec.lease;
            self.release(lease);
        }
        if let Some(owned_worker) = self.owned_workers.remove(worker) {
            self.capacity.remove(owned_worker.capacity);
        }
        self.worker_grants.remove(worker);
        self.health.remove(worker);
        self.index.remove(worker);
    }

    /// Adds grants for the tasks that a worker reports as running, and makes it available for placement.
    pub fn reconcile(&mut self, worker: WorkerKey, running: &[RunningTask]) {
        if !self.owned_workers.contains_key(worker) {
            return;
        }
        for task in running {
            if !self.leases.contains_key(&task.lease) {
                self.insert(worker, adopted_spec(task), GrantPhase::Running);
            }
        }
        self.owned_workers[worker].reconciled = true;
        self.owned_workers[worker].reachable = true;
        self.reindex(worker);
    }

    /// Excludes an unresponsive worker from placement until [`WorkerPool::reconcile`].
    pub fn set_unreachable(&mut self, worker: WorkerKey) {
        if let Some(owned_worker) = self.owned_workers.get_mut(worker) {
            owned_worker.reachable = false;
            self.reindex(worker);
        }
    }

    /// Marks an unreachable worker as reconciled, since all leases on it have expired and nothing runs there.
    pub fn set_leases_expired(&mut self, worker: WorkerKey) {
        if let Some(owned_worker) = self.owned_workers.get_mut(worker) {
            owned_worker.reconciled = true;
        }
    }

    /// Excludes a worker from placement because it announced that it is leaving.
    pub fn set_leaving(&mut self, worker: WorkerKey) {
        if let Some(owned_worker) = self.owned_workers.get_mut(worker) {
            owned_worker.leaving = true;
            self.reindex(worker);
        }
    }

    /// Returns whether the running tasks of every worker are known.
    #[must_use]
    pub fn is_reconciled(&self) -> bool {
        self.owned_workers.values().all(|owned_worker| owned_worker.reconciled)
    }

    /// Returns a worker of the pool.
    #[must_use]
    pub fn worker(&self, worker: WorkerKey) -> Option<&OwnedWorker> {
        self.owned_workers.get(worker)
    }

    /// Returns all workers of the pool.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &OwnedWorker)> {
        self.owned_workers.iter()
    }

    /// Returns all grants, in no particular order.
    pub fn grants(&self) -> impl Iterator<Item = &Grant> {
        self.grants.values()
    }

    /// Returns the grants on a worker.
    pub fn grants_on(&self, worker: WorkerKey) -> impl Iterator<Item = &Grant> {
        self.worker_grants.get(worker).into_iter().flatten().map(|&key| &self.grants[key])
    }

    /// Returns the grant of a lease.
    #[must_use]
    pub fn grant(&self, lease: LeaseId) -> Option<&Grant> {
        self.leases.get(&lease).map(|&key| &self.grants[key])
    }

    /// Grants capacity to `spec` on the worker that ranks best for its kind.
    ///
    /// # Errors
    ///
    /// Fails if no worker has enough free capacity, or if the lease already has a grant or a claim.
    pub fn place(
        &mut self,
        spec: &AttemptSpec,
        phase: GrantPhase,
    ) -> Result<WorkerKey, PlacementError> {
        self.place_filtered(spec, phase, WorkerFilter::Any)
    }

    /// Grants capacity as [`WorkerPool::place`] does, but only on the workers that `filter` allows.
    ///
    /// # Errors
    ///
    /// Fails as [`WorkerPool::place`] does.
    pub fn place_filtered(
        &mut self,
        spec: &AttemptSpec,
        phase: GrantPhase,
        filter: WorkerFilter,
    ) -> Result<WorkerKey, PlacementError> {
        if self.has_grant_or_claim(spec.lease) {
            return Err(PlacementError::Duplicate);
        }
        let worker = self.select_worker(spec, filter).ok_or(PlacementError::Full)?;
        self.insert(worker, spec.clone(), phase);
        Ok(worker)
    }

    /// Returns whether a lease has a grant, or a claim that waits for preempted tasks to end.
    fn has_grant_or_claim(&self, lease: LeaseId) -> bool {
        self.leases.contains_key(&lease) || self.claim(lease).is_some()
    }

    fn insert(&mut self, worker: WorkerKey, spec: AttemptSpec, phase: GrantPhase) {
        let lease = spec.lease;
        self.owned_workers[worker].granted += spec.need;
        self.granted.add(spec.need);
        self.add_copy(worker, &spec);
        let grant = Grant { spec, worker, phase, saved_at: Instant::now(), cpu_limit: None };
        let key = self.grants.insert(grant);
        self.worker_grants[worker].push(key);
        self.leases.insert(lease, key);
        self.begin_trial(worker, lease);
        self.reindex(worker);
    }

    /// Updates the index entry of a worker.
    fn reindex(&mut self, worker: WorkerKey) {
        let accepts_work =
            self.owned_workers[worker].is_available() && !self.is_quarantined(worker);
        self.index.update(worker, &self.owned_workers[worker], accepts_work);
    }

    /// Sets the phase of a lease's grant and returns the grant, or `None` if the lease has none.
    pub fn set_phase(&mut self, lease: LeaseId, phase: GrantPhase) -> Option<&Grant> {
        let grant = &mut self.grants[*self.leases.get(&lease)?];
        grant.phase = phase;
        Some(grant)
    }

    /// Records that the progress of a task was saved, so that stopping it now would lose no work.
    pub fn record_checkpoint(&mut self, lease: LeaseId, now: Instant) {
        if let Some(&key) = self.leases.get(&lease) {
            self.grants[key].saved_at = now;
        }
    }

    /// Releases the grant or the claim of a lease.
    ///
    /// Freed capacity goes to the claims on the worker first. Returns the grant if there was one.
    pub fn release(&mut self, lease: LeaseId) -> Option<Grant> {
        self.drop_claim(lease);
        let key = self.leases.remove(&lease)?;
        let grant = self.grants.remove(key)?;
        let worker = grant.worker;
        self.granted.remove(grant.spec.need);
        self.remove_copy(worker, &grant.spec);
        let owned_worker = &mut self.owned_workers[worker];
        owned_worker.granted = owned_worker.granted.saturating_sub(grant.spec.need);
        self.worker_grants[worker].retain(|&other| other != key);
        self.end_trial(worker, lease);
        self.reserve_for_claims(worker);
        self.reindex(worker);
        Some(grant)
    }

    /// Releases holds whose deadline has passed, and ends the quarantine of workers whose trial passed.
    ///
    /// Returns the number of holds released.
    pub fn expire_holds(&mut self, now: Instant) -> usize {
        self.end_quarantines(now);
        let expired =
            |grant: &&Grant| matches!(grant.phase, GrantPhase::Held(until) if until <= now);
        let leases: Vec<LeaseId> =
            self.grants.values().filter(expired).map(|grant| grant.spec.lease).collect();
        leases.iter().filter_map(|&lease| self.release(lease)).count()
    }

    /// Returns the free capacity of the workers that accept work.
    #[must_use]
    pub fn summary(&self) -> CapacitySummary {
        self.index.summary()
    }
}

/// Returns the spec of a task that a worker reported. Its run time and command are not known.
fn adopted_spec(task: &RunningTask) -> AttemptSpec {
    AttemptSpec {
        lease: task.lease,
        class: Arc::clone(&task.class),
        kind: task.kind,
        need: task.grant,
        run_ms: 0,
        urgent: task.urgent,
        command: "".into(),
    }
}
