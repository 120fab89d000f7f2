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

use std::{collections::HashMap, sync::Arc};

use {
    slotmap::{SecondaryMap, SlotMap},
    tokio::time::Instant,
};

use crate::{
    keys::{GrantKey, LeaseId, WorkerKey},
    message::{Ask, Running, Summary},
    record::Kind,
    resources::Resources,
};

/// A worker owned here.
#[derive(Clone, Debug)]
pub struct Host {
    /// Name of the worker.
    pub name: Arc<str>,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Rack within the zone.
    pub rack: Arc<str>,
    /// What it has.
    pub capacity: Resources,
    /// What is granted.
    pub granted: Resources,
    /// Whether its own list has been read under this ownership.
    pub resolved: bool,
    /// Whether it takes new work.
    pub open: bool,
}

impl Host {
    /// Returns a worker whose list has not been read yet.
    #[must_use]
    pub fn new(name: &str, zone: &str, rack: &str, capacity: Resources) -> Self {
        Self {
            name: name.into(),
            zone: zone.into(),
            rack: rack.into(),
            capacity,
            granted: Resources::ZERO,
            resolved: false,
            open: true,
        }
    }

    /// Returns what is left.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(self.granted)
    }

    fn takes(&self, need: Resources) -> bool {
        self.resolved && self.open && need.fits(self.free())
    }
}

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
}

/// Why no capacity was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No worker has room now.
    Full,
    /// The lease already has capacity.
    Duplicate,
}

/// The workers owned here and the capacity granted on them.
#[derive(Clone, Debug, Default)]
pub struct Cell {
    hosts: SecondaryMap<WorkerKey, Host>,
    grants: SlotMap<GrantKey, Grant>,
    leases: HashMap<LeaseId, GrantKey>,
}

impl Cell {
    /// Adds a worker, or updates what is known of it.
    pub fn track(&mut self, worker: WorkerKey, host: Host) {
        match self.hosts.get_mut(worker) {
            Some(known) => {
                known.capacity = host.capacity;
                known.open = host.open;
            }
            None => {
                self.hosts.insert(worker, host);
            }
        }
    }

    /// Drops a worker and the grants on it, as when it is no longer owned or no longer exists.
    pub fn forget(&mut self, worker: WorkerKey) {
        self.hosts.remove(worker);
        self.grants.retain(|_, grant| grant.worker != worker);
        let grants = &self.grants;
        self.leases.retain(|_, key| grants.contains_key(*key));
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
        if self.leases.contains_key(&ask.lease) {
            return Err(Refusal::Duplicate);
        }
        let worker = self.choose(ask).ok_or(Refusal::Full)?;
        self.insert(worker, ask.clone(), phase);
        Ok(worker)
    }

    /// Chooses the tightest worker for batch and gang tasks and the loosest for services.
    fn choose(&self, ask: &Ask) -> Option<WorkerKey> {
        let fitting = self.hosts.iter().filter(|(_, host)| host.takes(ask.need));
        let rank = |host: &Host| host.granted.dominant_share(host.capacity);
        let ranked = fitting.map(|(key, host)| (key, rank(host)));
        let chosen = match ask.kind {
            Kind::Service => ranked.min_by(|one, two| one.1.total_cmp(&two.1)),
            Kind::Batch | Kind::Gang => ranked.max_by(|one, two| one.1.total_cmp(&two.1)),
        };
        chosen.map(|(key, _)| key)
    }

    fn insert(&mut self, worker: WorkerKey, ask: Ask, phase: Phase) {
        let lease = ask.lease;
        self.hosts[worker].granted += ask.need;
        let key = self.grants.insert(Grant { ask, worker, phase });
        self.leases.insert(lease, key);
    }

    /// Changes what is done with the capacity of a lease. Returns the grant if there is one.
    pub fn set_phase(&mut self, lease: LeaseId, phase: Phase) -> Option<&Grant> {
        let grant = &mut self.grants[*self.leases.get(&lease)?];
        grant.phase = phase;
        Some(grant)
    }

    /// Returns the capacity of a lease to its worker.
    pub fn release(&mut self, lease: LeaseId) -> Option<Grant> {
        let grant = self.grants.remove(self.leases.remove(&lease)?)?;
        if let Some(host) = self.hosts.get_mut(grant.worker) {
            host.granted = host.granted.saturating_sub(grant.ask.need);
        }
        Some(grant)
    }

    /// Releases held capacity whose deadline has passed. Returns how many leases lost it.
    pub fn expire(&mut self, now: Instant) -> usize {
        let over = |grant: &&Grant| matches!(grant.phase, Phase::Held(until) if until <= now);
        let leases: Vec<LeaseId> =
            self.grants.values().filter(over).map(|grant| grant.ask.lease).collect();
        leases.iter().filter_map(|&lease| self.release(lease)).count()
    }

    /// Returns the free capacity of the workers that take work.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let mut summary = Summary::default();
        for host in self.hosts.values().filter(|host| host.resolved && host.open) {
            let free = host.free();
            summary.free += free;
            summary.workers += 1;
            if free.millicores > summary.largest.millicores {
                summary.largest = free;
            }
        }
        summary
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
