//! Capacity of the workers that this VM owns.
//!
//! The owner alone grants a worker's capacity, from memory. A worker takes part only once its own
//! list has been read ([`WorkerPool::reconcile`]), because what already runs there counts first. The sum of
//! the grants on a worker never exceeds what it has.
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
    quarantine::{Health, Suspect},
    selection::Copies,
};

use crate::{
    keys::{GrantKey, LeaseId, WorkerKey},
    message::{AttemptSpec, CapacitySummary, RunningTask},
    resources::Resources,
};

/// What is done with granted capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantPhase {
    /// Held until the deadline, for a gang that is not complete yet.
    Held(Instant),
    /// The start was sent, or the task runs.
    Running,
    /// A stop was sent.
    Stopping,
}

/// Capacity granted to a lease.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The attempt and its needs.
    pub spec: AttemptSpec,
    /// The worker.
    pub worker: WorkerKey,
    /// What is done with it.
    pub phase: GrantPhase,
    /// When it was granted or its progress was last saved; work since then is lost if it is stopped.
    pub saved_at: Instant,
    /// Limit of its processor use in thousandths of a core, while it is throttled.
    pub cpu_limit: Option<u32>,
}

/// Why no capacity was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementError {
    /// No worker has room now.
    Full,
    /// The lease already has capacity.
    Duplicate,
}

/// Sums over many workers, which may exceed what [`Resources`] holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Total {
    millicores: u64,
    memory_mib: u64,
    accelerators: u64,
}

impl Total {
    fn add(&mut self, part: Resources) {
        self.millicores += u64::from(part.millicores);
        self.memory_mib += u64::from(part.memory_mib);
        self.accelerators += u64::from(part.accelerators);
    }

    fn remove(&mut self, part: Resources) {
        self.millicores -= u64::from(part.millicores);
        self.memory_mib -= u64::from(part.memory_mib);
        self.accelerators -= u64::from(part.accelerators);
    }
}

/// The workers owned here and the capacity granted on them.
#[derive(Clone, Debug, Default)]
pub struct WorkerPool {
    weights: Weights,
    owned_workers: SecondaryMap<WorkerKey, OwnedWorker>,
    /// Grants on each worker.
    tasks: SecondaryMap<WorkerKey, Vec<GrantKey>>,
    health: SecondaryMap<WorkerKey, Health>,
    grants: SlotMap<GrantKey, Grant>,
    leases: HashMap<LeaseId, GrantKey>,
    /// Urgent work that waits for preempted tasks to end, in order of age.
    claims: Vec<Claim>,
    /// Position of the worker that the next preemption looks at first.
    turn: usize,
    index: Index,
    copies: HashMap<Arc<str>, Copies>,
    suspects: Vec<Suspect>,
    /// What all workers have.
    capacity: Total,
    /// What is granted on all workers.
    granted: Total,
}

impl WorkerPool {
    /// Returns a pool without workers that places by `weights`.
    #[must_use]
    pub fn new(weights: Weights) -> Self {
        Self { weights, ..Self::default() }
    }

    /// Changes the weights for all later decisions.
    pub fn set_weights(&mut self, weights: Weights) {
        self.weights = weights;
    }

    /// Adds a worker, or updates what is known of it.
    pub fn upsert_worker(&mut self, worker: WorkerKey, owned_worker: OwnedWorker) {
        match self.owned_workers.get_mut(worker) {
            Some(known) => {
                self.capacity.remove(known.capacity);
                known.capacity = owned_worker.capacity;
                known.schedulable = owned_worker.schedulable;
                let moved = known.zone != owned_worker.zone || known.rack != owned_worker.rack;
                if moved {
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
                self.tasks.insert(worker, Vec::new());
            }
        }
        self.capacity.add(self.owned_workers[worker].capacity);
        self.reindex(worker);
    }

    /// Moves a worker to another rack, with the copies of services that it runs.
    fn move_worker(&mut self, worker: WorkerKey, owned_worker: &OwnedWorker) {
        let specs: Vec<AttemptSpec> =
            self.tasks[worker].iter().map(|&key| self.grants[key].spec.clone()).collect();
        for spec in &specs {
            self.uncount_copy(worker, spec);
        }
        self.index.remove(worker);
        self.owned_workers[worker].zone = Arc::clone(&owned_worker.zone);
        self.owned_workers[worker].rack = Arc::clone(&owned_worker.rack);
        self.reindex(worker);
        for spec in &specs {
            self.count_copy(worker, spec);
        }
    }

    /// Drops a worker and the grants on it, as when it is no longer owned or no longer exists.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        self.claims.retain(|claim| claim.worker != worker);
        for key in self.tasks.get(worker).cloned().unwrap_or_default() {
            let lease = self.grants[key].spec.lease;
            self.release(lease);
        }
        if let Some(owned_worker) = self.owned_workers.remove(worker) {
            self.capacity.remove(owned_worker.capacity);
        }
        self.tasks.remove(worker);
        self.health.remove(worker);
        self.index.remove(worker);
    }

    /// Adopts what a worker says it runs. From now on it takes new work.
    pub fn reconcile(&mut self, worker: WorkerKey, running: &[RunningTask]) {
        if !self.owned_workers.contains_key(worker) {
            return;
        }
        for task in running {
            if !self.leases.contains_key(&task.lease) {
                self.insert(worker, adopted(task), GrantPhase::Running);
            }
        }
        self.owned_workers[worker].reconciled = true;
        self.owned_workers[worker].reachable = true;
        self.reindex(worker);
    }

    /// Keeps new work away from a worker that does not answer, until [`WorkerPool::reconcile`].
    pub fn set_unreachable(&mut self, worker: WorkerKey) {
        if let Some(owned_worker) = self.owned_workers.get_mut(worker) {
            owned_worker.reachable = false;
            self.reindex(worker);
        }
    }

    /// Notes that every lease on an unreachable worker is over, so that nothing runs there.
    pub fn set_leases_expired(&mut self, worker: WorkerKey) {
        if let Some(owned_worker) = self.owned_workers.get_mut(worker) {
            owned_worker.reconciled = true;
        }
    }

    /// Keeps new work away from a worker that is leaving.
    pub fn set_leaving(&mut self, worker: WorkerKey) {
        if let Some(owned_worker) = self.owned_workers.get_mut(worker) {
            owned_worker.leaving = true;
            self.reindex(worker);
        }
    }

    /// Tells whether every worker has been resolved.
    #[must_use]
    pub fn is_reconciled(&self) -> bool {
        self.owned_workers.values().all(|owned_worker| owned_worker.reconciled)
    }

    /// Returns a worker owned here.
    #[must_use]
    pub fn worker(&self, worker: WorkerKey) -> Option<&OwnedWorker> {
        self.owned_workers.get(worker)
    }

    /// Returns the workers owned here.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerKey, &OwnedWorker)> {
        self.owned_workers.iter()
    }

    /// Returns the grants.
    pub fn grants(&self) -> impl Iterator<Item = &Grant> {
        self.grants.values()
    }

    /// Returns the grants on a worker.
    pub fn grants_on(&self, worker: WorkerKey) -> impl Iterator<Item = &Grant> {
        self.tasks.get(worker).into_iter().flatten().map(|&key| &self.grants[key])
    }

    /// Returns the grant of a lease.
    #[must_use]
    pub fn grant(&self, lease: LeaseId) -> Option<&Grant> {
        self.leases.get(&lease).map(|&key| &self.grants[key])
    }

    /// Grants capacity to `spec` on the worker that suits its kind best.
    ///
    /// # Errors
    ///
    /// Fails if no worker has room, or if the lease already has capacity.
    pub fn place(
        &mut self,
        spec: &AttemptSpec,
        phase: GrantPhase,
    ) -> Result<WorkerKey, PlacementError> {
        self.place_filtered(spec, phase, WorkerFilter::Any)
    }

    /// Grants capacity as [`WorkerPool::place`] does, on workers within reach only.
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
        if self.is_known(spec.lease) {
            return Err(PlacementError::Duplicate);
        }
        let worker = self.choose(spec, filter).ok_or(PlacementError::Full)?;
        self.insert(worker, spec.clone(), phase);
        Ok(worker)
    }

    /// Tells whether a lease has capacity or waits for preempted tasks to end.
    fn is_known(&self, lease: LeaseId) -> bool {
        self.leases.contains_key(&lease) || self.claim(lease).is_some()
    }

    fn insert(&mut self, worker: WorkerKey, spec: AttemptSpec, phase: GrantPhase) {
        let lease = spec.lease;
        self.owned_workers[worker].granted += spec.need;
        self.granted.add(spec.need);
        self.count_copy(worker, &spec);
        let grant = Grant { spec, worker, phase, saved_at: Instant::now(), cpu_limit: None };
        let key = self.grants.insert(grant);
        self.tasks[worker].push(key);
        self.leases.insert(lease, key);
        self.begin_trial(worker, lease);
        self.reindex(worker);
    }

    /// Lets the index know what has changed of a worker.
    fn reindex(&mut self, worker: WorkerKey) {
        let takes = self.owned_workers[worker].is_available() && !self.is_quarantined(worker);
        self.index.update(worker, &self.owned_workers[worker], takes);
    }

    /// Changes what is done with the capacity of a lease. Returns the grant if there is one.
    pub fn set_phase(&mut self, lease: LeaseId, phase: GrantPhase) -> Option<&Grant> {
        let grant = &mut self.grants[*self.leases.get(&lease)?];
        grant.phase = phase;
        Some(grant)
    }

    /// Notes that the progress of a task was saved, so that stopping it now loses nothing.
    pub fn record_checkpoint(&mut self, lease: LeaseId, now: Instant) {
        if let Some(&key) = self.leases.get(&lease) {
            self.grants[key].saved_at = now;
        }
    }

    /// Returns the capacity of a lease to its worker, or first to the urgent work that waits for it.
    pub fn release(&mut self, lease: LeaseId) -> Option<Grant> {
        self.drop_claim(lease);
        let key = self.leases.remove(&lease)?;
        let grant = self.grants.remove(key)?;
        let worker = grant.worker;
        self.granted.remove(grant.spec.need);
        self.uncount_copy(worker, &grant.spec);
        let owned_worker = &mut self.owned_workers[worker];
        owned_worker.granted = owned_worker.granted.saturating_sub(grant.spec.need);
        self.tasks[worker].retain(|&other| other != key);
        self.end_trial(worker, lease);
        self.withhold(worker);
        self.reindex(worker);
        Some(grant)
    }

    /// Releases held capacity whose deadline has passed, and opens workers whose trial went well.
    /// Returns how many leases lost their capacity.
    pub fn expire_holds(&mut self, now: Instant) -> usize {
        self.end_quarantines(now);
        let over = |grant: &&Grant| matches!(grant.phase, GrantPhase::Held(until) if until <= now);
        let leases: Vec<LeaseId> =
            self.grants.values().filter(over).map(|grant| grant.spec.lease).collect();
        leases.iter().filter_map(|&lease| self.release(lease)).count()
    }

    /// Returns the free capacity of the workers that take work.
    #[must_use]
    pub fn summary(&self) -> CapacitySummary {
        self.index.summary()
    }
}

fn adopted(task: &RunningTask) -> AttemptSpec {
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
