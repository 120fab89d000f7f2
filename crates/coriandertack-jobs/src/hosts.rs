//! Which workers the platform's machines host.
//!
//! A worker is one life of a machine, so a worker whose machine is down, or hosts another worker, has
//! ended, and its runs with it. This holds whether or not the worker can be reached, and so tells a
//! worker that crashed from one that is cut off and runs on.
//!
//! Only what a listing shows counts, never what it omits: a row may be unreadable, and a listing may
//! be empty, partial or seconds old. A worker's end is proven by the row of the machine that an
//! earlier listing showed as its host. See docs/design.md, "When a run has ended".
//!
//! ```
//! use coriandertack_jobs::{
//!     boot_time::BootTime,
//!     hosts::HostReader,
//!     maintenance::{Machine, MachineState},
//! };
//!
//! let row = |state, worker: Option<&str>| {
//!     vec![Machine { id: "m-1".into(), state, worker: worker.map(Into::into) }]
//! };
//! let mut reader = HostReader::default();
//! let hosts = reader.read(&row(MachineState::Up, Some("w-1")), true, BootTime(1));
//! assert!(hosts.departure("w-1").is_none());
//! let hosts = reader.read(&row(MachineState::Up, None), true, BootTime(2));
//! assert!(hosts.departure("w-1").is_none(), "the machine may not have learnt its worker's name");
//! let hosts = reader.read(&row(MachineState::Down, None), true, BootTime(3));
//! assert_eq!(&*hosts.departure("w-1").unwrap().machine, "m-1");
//! ```

use std::{
    collections::{HashMap, HashSet},
    mem,
    sync::Arc,
};

use {
    derive_more::Display,
    slotmap::{SlotMap, new_key_type},
};

use crate::{
    boot_time::BootTime,
    maintenance::{Machine, MachineState},
};

new_key_type! {
    /// Key of a machine in the reader's arena.
    struct HostKey;
}

/// How long a machine proves nothing after a listing has named its former worker again, in
/// milliseconds. Such a listing is older than one before it.
const DISORDER_MS: u64 = 10_000;

/// How long a machine that is no longer listed is remembered, in milliseconds. It bounds memory; a
/// worker's leases expire much earlier.
const FORGET_MS: u64 = 600_000;

/// A worker whose machine has been shown without it.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("machine={machine} state={state} hosts={}", successor.as_deref().unwrap_or("none"))]
pub struct Departure {
    /// The machine that hosted the worker.
    pub machine: Arc<str>,
    /// The state of the machine.
    pub state: MachineState,
    /// The worker that the machine hosts now, if it is up.
    pub successor: Option<Arc<str>>,
    /// When the listing was requested that last showed the worker.
    pub shown_at: BootTime,
}

/// Ends of workers that one listing proves.
#[derive(Clone, Debug, Default)]
pub struct Hosts {
    departures: HashMap<Arc<str>, Departure>,
}

impl Hosts {
    /// Returns the proof that a worker has ended, or `None` if the listing has none.
    #[must_use]
    pub fn departure(&self, worker: &str) -> Option<&Departure> {
        self.departures.get(worker)
    }
}

/// A worker as the host that a listing showed for it.
#[derive(Clone, Debug)]
struct Resident {
    worker: Arc<str>,
    shown_at: BootTime,
}

/// What listings have shown of a machine.
#[derive(Clone, Debug)]
struct Host {
    /// Worker that was shown last.
    resident: Option<Resident>,
    /// Worker that was shown before it.
    former: Option<Resident>,
    /// Time until which the machine proves nothing.
    disordered_until: BootTime,
    forget_at: BootTime,
}

/// Follows the listings of machines.
#[derive(Debug, Default)]
pub struct HostReader {
    hosts: SlotMap<HostKey, Host>,
    index: HashMap<Arc<str>, HostKey>,
    residents: HashMap<Arc<str>, HostKey>,
}

impl HostReader {
    /// Returns true if a listing has shown the worker.
    #[must_use]
    pub fn has_shown(&self, worker: &str) -> bool {
        self.residents.contains_key(worker)
    }

    /// Reads a listing that was requested at `requested_at`. With `complete`, each of its rows could
    /// be read; otherwise any worker may be in one that could not, and the listing proves no end.
    pub fn read(&mut self, rows: &[Machine], complete: bool, requested_at: BootTime) -> Hosts {
        let unique = unique_rows(rows);
        for row in &unique {
            self.record_row(row, requested_at);
        }
        self.forget(requested_at);
        let mut hosts = Hosts::default();
        if !complete {
            return hosts;
        }
        let named: HashSet<&str> = rows.iter().filter_map(|row| row.worker.as_deref()).collect();
        for row in &unique {
            let successor = row.worker.clone().filter(|_| row.state == MachineState::Up);
            if row.state == MachineState::Up && successor.is_none() {
                continue;
            }
            for resident in self.residents_of(&row.id, requested_at) {
                if named.contains(&*resident.worker) {
                    continue;
                }
                let departure = Departure {
                    machine: row.id.clone(),
                    state: row.state,
                    successor: successor.clone(),
                    shown_at: resident.shown_at,
                };
                hosts.departures.insert(resident.worker.clone(), departure);
            }
        }
        hosts
    }

    /// Returns the workers that were last shown on a machine, unless its listings were out of order.
    fn residents_of(&self, machine: &str, now: BootTime) -> impl Iterator<Item = &Resident> {
        let key = self.index.get(machine).copied();
        let host = key.and_then(|key| self.hosts.get(key));
        let host = host.filter(|host| host.disordered_until <= now);
        let residents = host.into_iter().flat_map(|host| [&host.resident, &host.former]);
        residents.flatten().filter(move |shown| self.residents.get(&shown.worker).copied() == key)
    }

    /// Records which worker a machine hosts. A row without one leaves what was shown before.
    fn record_row(&mut self, row: &Machine, requested_at: BootTime) {
        let forget_at = requested_at.plus_ms(FORGET_MS);
        let key = *self.index.entry(row.id.clone()).or_insert_with(|| {
            self.hosts.insert(Host {
                resident: None,
                former: None,
                disordered_until: BootTime(0),
                forget_at,
            })
        });
        let Some(host) = self.hosts.get_mut(key) else { return };
        host.forget_at = forget_at;
        let Some(worker) = &row.worker else { return };
        let names = |shown: &Resident| shown.worker == *worker;
        if !host.resident.as_ref().is_some_and(names) {
            if host.former.as_ref().is_some_and(names) {
                log::warn!("event=listing_outdated machine={} worker={worker}", row.id);
                host.disordered_until = requested_at.plus_ms(DISORDER_MS);
            }
            let shown = Resident { worker: worker.clone(), shown_at: requested_at };
            let replaced = host.resident.replace(shown);
            let forgotten = mem::replace(&mut host.former, replaced);
            if let Some(forgotten) = forgotten.filter(|forgotten| !names(forgotten)) {
                self.residents.remove(&forgotten.worker);
            }
        } else if let Some(resident) = &mut host.resident {
            resident.shown_at = requested_at;
        }
        self.residents.insert(worker.clone(), key);
    }

    /// Forgets machines that have not been listed for [`FORGET_MS`].
    fn forget(&mut self, now: BootTime) {
        self.hosts.retain(|_, host| host.forget_at > now);
        let Self { hosts, index, residents } = self;
        index.retain(|_, key| hosts.contains_key(*key));
        residents.retain(|_, key| hosts.contains_key(*key));
    }
}

/// Returns the rows of machines that are listed once. Of a machine with several rows, and of machines
/// with the same worker, it is unknown which row is right.
fn unique_rows(rows: &[Machine]) -> Vec<&Machine> {
    let mut machines: HashMap<&str, usize> = HashMap::new();
    let mut workers: HashMap<&str, usize> = HashMap::new();
    for row in rows {
        *machines.entry(&row.id).or_default() += 1;
        if let Some(worker) = &row.worker {
            *workers.entry(worker).or_default() += 1;
        }
    }
    let is_unique = |row: &&Machine| {
        let shared = row.worker.as_deref().is_some_and(|worker| workers[worker] > 1);
        machines[&*row.id] == 1 && !shared
    };
    rows.iter().filter(is_unique).collect()
}
