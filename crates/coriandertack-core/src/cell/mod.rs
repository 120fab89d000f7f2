//! Capacity of the workers that this VM owns.
//!
//! The owner alone grants a worker's capacity, from memory. A worker takes part only once its own
//! list has been read ([`Cell::resolve`]), because what already runs there counts first. The sum of
//! the grants on a worker never exceeds what it has.
//!
//! ```
//! use coriandertack_core::{cell::{Cell, Host}, keys::WorkerKey, resources::Resources};
//! use slotmap::SlotMap;
//!
//! let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
//! let worker = keys.insert(());
//! let mut cell = Cell::default();
//! cell.track(worker, Host::new("split-w1", "split", "r1", Resources::new(16_000, 32_768, 0)));
//! cell.resolve(worker, &[]);
//! assert_eq!(cell.summary().free, Resources::new(16_000, 32_768, 0));
//! ```

mod choose;
mod gang;
mod host;
mod index;
mod preempt;
mod quarantine;
mod reach;
mod throttle;
mod weights;

use std::{collections::HashMap, sync::Arc};

use {
    slotmap::{SecondaryMap, SlotMap},
    tokio::time::Instant,
};

pub use self::{
    host::Host,
    preempt::{Claim, Victims},
    quarantine::{FAILURES, FIRST_DELAY, LAST_DELAY, QUICK, Report},
    reach::Reach,
    throttle::TaskUse,
    weights::Weights,
};

use self::{
    choose::Copies,
    index::Index,
    quarantine::{Health, Suspect},
};

use crate::{
    keys::{GrantKey, LeaseId, WorkerKey},
    message::{Ask, Running, Summary},
    resources::Resources,
};

/// What is done with granted capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
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
    pub ask: Ask,
    /// The worker.
    pub worker: WorkerKey,
    /// What is done with it.
    pub phase: Phase,
    /// When it was granted or its progress was last saved; work since then is lost if it is stopped.
    pub saved: Instant,
    /// Limit of its processor use in thousandths of a core, while it is throttled.
    pub limit: Option<u32>,
}

/// Why no capacity was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
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
pub struct Cell {
    weights: Weights,
    hosts: SecondaryMap<WorkerKey, Host>,
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

impl Cell {
    /// Returns a cell without workers that places by `weights`.
    #[must_use]
    pub fn new(weights: Weights) -> Self {
        Self { weights, ..Self::default() }
    }

    /// Changes the weights for all later decisions.
    pub fn set_weights(&mut self, weights: Weights) {
        self.weights = weights;
    }

    /// Adds a worker, or updates what is known of it.
    pub fn track(&mut self, worker: WorkerKey, host: Host) {
        match self.hosts.get_mut(worker) {
            Some(known) => {
                self.capacity.remove(known.capacity);
                known.capacity = host.capacity;
                known.open = host.open;
                let moved = known.zone != host.zone || known.rack != host.rack;
                if moved {
                    self.move_host(worker, &host);
                }
            }
            None => {
                let host = Host { granted: Resources::ZERO, withheld: Resources::ZERO, ..host };
                self.hosts.insert(worker, host);
                self.tasks.insert(worker, Vec::new());
            }
        }
        self.capacity.add(self.hosts[worker].capacity);
        self.reindex(worker);
    }

    /// Moves a worker to another rack, with the copies of services that it runs.
    fn move_host(&mut self, worker: WorkerKey, host: &Host) {
        let asks: Vec<Ask> =
            self.tasks[worker].iter().map(|&key| self.grants[key].ask.clone()).collect();
        for ask in &asks {
            self.uncount_copy(worker, ask);
        }
        self.index.remove(worker);
        self.hosts[worker].zone = Arc::clone(&host.zone);
        self.hosts[worker].rack = Arc::clone(&host.rack);
        self.reindex(worker);
        for ask in &asks {
            self.count_copy(worker, ask);
        }
    }

    /// Drops a worker and the grants on it, as when it is no longer owned or no longer exists.
    pub fn forget(&mut self, worker: WorkerKey) {
        self.claims.retain(|claim| claim.worker != worker);
        for key in self.tasks.get(worker).cloned().unwrap_or_default() {
            let lease = self.grants[key].ask.lease;
            self.release(lease);
        }
        if let Some(host) = self.hosts.remove(worker) {
            self.capacity.remove(host.capacity);
        }
        self.tasks.remove(worker);
        self.health.remove(worker);
        self.index.remove(worker);
    }

    /// Adopts what a worker says it runs. From now on it takes new work.
    pub fn resolve(&mut self, worker: WorkerKey, running: &[Running]) {
        if !self.hosts.contains_key(worker) {
            return;
        }
        for task in running {
            if !self.leases.contains_key(&task.lease) {
                self.insert(worker, adopted(task), Phase::Running);
            }
        }
        self.hosts[worker].resolved = true;
        self.hosts[worker].reachable = true;
        self.reindex(worker);
    }

    /// Keeps new work away from a worker that does not answer, until [`Cell::resolve`].
    pub fn set_unreachable(&mut self, worker: WorkerKey) {
        if let Some(host) = self.hosts.get_mut(worker) {
            host.reachable = false;
            self.reindex(worker);
        }
    }

    /// Notes that every lease on an unreachable worker is over, so that nothing runs there.
    pub fn set_expired(&mut self, worker: WorkerKey) {
        if let Some(host) = self.hosts.get_mut(worker) {
            host.resolved = true;
        }
    }

    /// Keeps new work away from a worker that is leaving.
    pub fn set_leaving(&mut self, worker: WorkerKey) {
        if let Some(host) = self.hosts.get_mut(worker) {
            host.leaving = true;
            self.reindex(worker);
        }
    }

    /// Tells whether every worker has been resolved.
    #[must_use]
    pub fn is_resolved(&self) -> bool {
        self.hosts.values().all(|host| host.resolved)
    }

    /// Returns a worker owned here.
    #[must_use]
    pub fn host(&self, worker: WorkerKey) -> Option<&Host> {
        self.hosts.get(worker)
    }

    /// Returns the workers owned here.
    pub fn hosts(&self) -> impl Iterator<Item = (WorkerKey, &Host)> {
        self.hosts.iter()
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

    /// Grants capacity to `ask` on the worker that suits its kind best.
    ///
    /// # Errors
    ///
    /// Fails if no worker has room, or if the lease already has capacity.
    pub fn place(&mut self, ask: &Ask, phase: Phase) -> Result<WorkerKey, Refusal> {
        self.place_within(ask, phase, Reach::Any)
    }

    /// Grants capacity as [`Cell::place`] does, on workers within reach only.
    ///
    /// # Errors
    ///
    /// Fails as [`Cell::place`] does.
    pub fn place_within(
        &mut self,
        ask: &Ask,
        phase: Phase,
        reach: Reach,
    ) -> Result<WorkerKey, Refusal> {
        if self.is_known(ask.lease) {
            return Err(Refusal::Duplicate);
        }
        let worker = self.choose(ask, reach).ok_or(Refusal::Full)?;
        self.insert(worker, ask.clone(), phase);
        Ok(worker)
    }

    /// Tells whether a lease has capacity or waits for preempted tasks to end.
    fn is_known(&self, lease: LeaseId) -> bool {
        self.leases.contains_key(&lease) || self.claim(lease).is_some()
    }

    fn insert(&mut self, worker: WorkerKey, ask: Ask, phase: Phase) {
        let lease = ask.lease;
        self.hosts[worker].granted += ask.need;
        self.granted.add(ask.need);
        self.count_copy(worker, &ask);
        let grant = Grant { ask, worker, phase, saved: Instant::now(), limit: None };
        let key = self.grants.insert(grant);
        self.tasks[worker].push(key);
        self.leases.insert(lease, key);
        self.begin_trial(worker, lease);
        self.reindex(worker);
    }

    /// Lets the index know what has changed of a worker.
    fn reindex(&mut self, worker: WorkerKey) {
        let takes = self.hosts[worker].is_available() && !self.is_quarantined(worker);
        self.index.update(worker, &self.hosts[worker], takes);
    }

    /// Changes what is done with the capacity of a lease. Returns the grant if there is one.
    pub fn set_phase(&mut self, lease: LeaseId, phase: Phase) -> Option<&Grant> {
        let grant = &mut self.grants[*self.leases.get(&lease)?];
        grant.phase = phase;
        Some(grant)
    }

    /// Notes that the progress of a task was saved, so that stopping it now loses nothing.
    pub fn checkpointed(&mut self, lease: LeaseId, now: Instant) {
        if let Some(&key) = self.leases.get(&lease) {
            self.grants[key].saved = now;
        }
    }

    /// Returns the capacity of a lease to its worker, or first to the urgent work that waits for it.
    pub fn release(&mut self, lease: LeaseId) -> Option<Grant> {
        self.drop_claim(lease);
        let key = self.leases.remove(&lease)?;
        let grant = self.grants.remove(key)?;
        let worker = grant.worker;
        self.granted.remove(grant.ask.need);
        self.uncount_copy(worker, &grant.ask);
        let host = &mut self.hosts[worker];
        host.granted = host.granted.saturating_sub(grant.ask.need);
        self.tasks[worker].retain(|&other| other != key);
        self.end_trial(worker, lease);
        self.withhold(worker);
        self.reindex(worker);
        Some(grant)
    }

    /// Releases held capacity whose deadline has passed, and opens workers whose trial went well.
    /// Returns how many leases lost their capacity.
    pub fn expire(&mut self, now: Instant) -> usize {
        self.end_quarantines(now);
        let over = |grant: &&Grant| matches!(grant.phase, Phase::Held(until) if until <= now);
        let leases: Vec<LeaseId> =
            self.grants.values().filter(over).map(|grant| grant.ask.lease).collect();
        leases.iter().filter_map(|&lease| self.release(lease)).count()
    }

    /// Returns the free capacity of the workers that take work.
    #[must_use]
    pub fn summary(&self) -> Summary {
        self.index.summary()
    }
}

fn adopted(task: &Running) -> Ask {
    Ask {
        lease: task.lease,
        class: Arc::clone(&task.class),
        kind: task.kind,
        need: task.grant,
        run_ms: 0,
        urgent: task.urgent,
        command: "".into(),
    }
}
