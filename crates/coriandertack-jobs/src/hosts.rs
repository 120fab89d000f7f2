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

/// What one listing proves.
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
    machine: Arc<str>,
    /// The worker that was shown last.
    resident: Option<Resident>,
    /// The worker that was shown before.
    former: Option<Resident>,
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
    ///
    /// A listing from before one that was already read proves nothing either. It shows if it names a
    /// worker that has been replaced.
    pub fn read(&mut self, rows: &[Machine], complete: bool, requested_at: BootTime) -> Hosts {
        let unique = unique_rows(rows);
        let named: HashSet<&str> = rows.iter().filter_map(|row| row.worker.as_deref()).collect();
        if let Some(host) = self.hosts.values().find(|host| host.is_outdated(&named)) {
            log::warn!("event=listing_outdated machine={} rows={}", host.machine, rows.len());
            return Hosts::default();
        }
        for row in &unique {
            self.record_row(row, requested_at);
        }
        self.forget(requested_at);
        if !complete {
            return Hosts::default();
        }
        let mut hosts = Hosts::default();
        for row in &unique {
            let host = self.index.get(&row.id).and_then(|key| self.hosts.get(*key));
            let residents = host.into_iter().flat_map(|host| [&host.resident, &host.former]);
            for resident in residents.flatten() {
                let successor = row.worker.clone().filter(|_| row.state == MachineState::Up);
                let ended = row.state != MachineState::Up || successor.is_some();
                if !ended || named.contains(&*resident.worker) {
                    continue;
                }
                let departure = Departure {
                    machine: row.id.clone(),
                    state: row.state,
                    successor,
                    shown_at: resident.shown_at,
                };
                hosts.departures.insert(resident.worker.clone(), departure);
            }
        }
        hosts
    }

    /// Records which worker a machine hosts. A row without one leaves what was shown before.
    fn record_row(&mut self, row: &Machine, requested_at: BootTime) {
        let forget_at = requested_at.plus_ms(FORGET_MS);
        let key = *self.index.entry(row.id.clone()).or_insert_with(|| {
            let machine = row.id.clone();
            self.hosts.insert(Host { machine, resident: None, former: None, forget_at })
        });
        let Some(host) = self.hosts.get_mut(key) else { return };
        host.forget_at = forget_at;
        let Some(worker) = &row.worker else { return };
        match &mut host.resident {
            Some(resident) if resident.worker == *worker => resident.shown_at = requested_at,
            resident => {
                let shown = Resident { worker: worker.clone(), shown_at: requested_at };
                if let Some(replaced) = resident.replace(shown)
                    && let Some(forgotten) = host.former.replace(replaced)
                {
                    self.residents.remove(&forgotten.worker);
                }
                self.residents.insert(worker.clone(), key);
            }
        }
    }

    /// Forgets machines that have not been listed for [`FORGET_MS`].
    fn forget(&mut self, now: BootTime) {
        self.hosts.retain(|_, host| host.forget_at > now);
        let Self { hosts, index, residents } = self;
        index.retain(|_, key| hosts.contains_key(*key));
        residents.retain(|_, key| hosts.contains_key(*key));
    }
}

impl Host {
    /// Returns true if a listing with these workers is from before the last one: it names the worker
    /// that the machine's present one has replaced.
    fn is_outdated(&self, named: &HashSet<&str>) -> bool {
        let names = |resident: &Option<Resident>| {
            resident.as_ref().is_some_and(|resident| named.contains(&*resident.worker))
        };
        names(&self.former) && !names(&self.resident)
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
