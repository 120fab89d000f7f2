//! Comparison of the VM list with the replicated state.

use std::collections::{BTreeMap, BTreeSet};

use coriandertack_core::{
    keys::Session,
    record::{Record, WorkerInfo},
    state::State,
};

/// Contents of one response of the VM list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VmListing {
    /// Names of the entry VMs.
    pub entries: BTreeSet<String>,
    /// Workers by name.
    pub workers: BTreeMap<String, WorkerInfo>,
    /// Names of VMs with an item that cannot be decoded.
    pub unreadable: BTreeSet<String>,
    /// Whether some item has no readable name, so that no VM is known to be missing.
    pub incomplete: bool,
}

/// Names that were missing from the last response.
///
/// A single response can omit a live VM, so a VM counts as gone only when it is missing from two
/// consecutive responses.
#[derive(Clone, Debug, Default)]
pub struct AbsenceTracker {
    workers: BTreeSet<String>,
    entries: BTreeSet<String>,
}

/// Differences between one response and the replicated state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Differences {
    /// Records that bring the state in line with the list.
    pub records: Vec<Record>,
    /// Sessions of members that are missing from two consecutive responses.
    pub missing: BTreeSet<Session>,
    /// Whether a VM is missing for the first time, so that the next response must confirm it.
    pub unconfirmed: bool,
}

impl AbsenceTracker {
    /// Compares a response with the state and remembers the missing names.
    pub fn compare(&mut self, state: &State, listing: &VmListing) -> Differences {
        let is_unreadable = |name: &str| listing.incomplete || listing.unreadable.contains(name);
        let known = state.worker_names.keys();
        let absent =
            missing(known, |name| listing.workers.contains_key(name) || is_unreadable(name));
        let gone: Vec<String> = absent.intersection(&self.workers).cloned().collect();
        let mut unconfirmed = !absent.is_subset(&self.workers);
        self.workers = absent;

        let members = state.sessions.values().map(|&vm| &state.vms[vm].info.name);
        let absent = missing(members, |name| listing.entries.contains(name) || is_unreadable(name));
        let lost = |name: &String| absent.contains(name) && self.entries.contains(name);
        let vms = state.sessions.iter().filter(|&(_, &vm)| lost(&state.vms[vm].info.name));
        let missing = vms.map(|(&session, _)| session).collect();
        unconfirmed |= !absent.is_subset(&self.entries);
        self.entries = absent;

        let mut records = Vec::new();
        let changed = changed(state, listing);
        if !changed.is_empty() {
            records.push(Record::Workers(changed));
        }
        if !gone.is_empty() {
            records.push(Record::WorkersGone(gone));
        }
        Differences { records, missing, unconfirmed }
    }
}

fn missing<'a>(
    names: impl Iterator<Item = &'a String>,
    is_listed: impl Fn(&str) -> bool,
) -> BTreeSet<String> {
    names.filter(|name| !is_listed(name)).cloned().collect()
}

fn changed(state: &State, listing: &VmListing) -> Vec<WorkerInfo> {
    let differs =
        |info: &&WorkerInfo| state.worker(&info.name).is_none_or(|known| known.info != **info);
    listing.workers.values().filter(differs).cloned().collect()
}
