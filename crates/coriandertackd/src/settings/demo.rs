//! The section `demo`: simulated workers, which only demo and bench use.

use std::collections::BTreeSet;

use coriandertack_core::resources::Resources;

use crate::settings::{Vm, section::Section};

/// A rack of simulated workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rack {
    /// Name, unique in its zone.
    pub name: String,
    /// Availability zone of the rack.
    pub zone: String,
    /// Number of workers in the rack.
    pub workers: u32,
}

/// Simulated workers, which all have the same capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demo {
    /// Racks, in the order of the file.
    pub racks: Vec<Rack>,
    /// Capacity of each worker.
    pub capacity: Resources,
    /// Callers' requests that each worker runs concurrently.
    pub slots: u32,
    /// Concurrent connections that each worker accepts.
    pub connections: u32,
}

impl Demo {
    /// Returns the number of workers in all racks.
    #[must_use]
    pub fn worker_count(&self) -> u32 {
        self.racks.iter().map(|rack| rack.workers).sum()
    }
}

/// Reads the section `demo`. If `vms` is given, each rack must be in the zone of one of them.
pub fn read(mut section: Section<'_>, vms: Option<&[Vm]>) -> Option<Demo> {
    let millicores = section.integer("worker_millicores", 1..=1_000_000, 16_000);
    let memory_mib = section.integer("worker_memory_mib", 1..=16_777_216, 32_768);
    let accelerators = section.integer("worker_accelerators", 0..=64, 0);
    let slots = section.integer("worker_slots", 1..=1_024, 8);
    let connections = section.integer("worker_connections", 1..=65_536, 64);
    let racks = read_racks(&mut section, vms);
    section.finish();
    let capacity = Resources::new(millicores?, memory_mib?, accelerators?);
    Some(Demo { racks, capacity, slots: slots?, connections: connections? })
}

fn read_racks(section: &mut Section<'_>, vms: Option<&[Vm]>) -> Vec<Rack> {
    let mut names = BTreeSet::new();
    let mut racks = Vec::new();
    for mut section in section.sections("racks", 1, 512) {
        let name = section.name("name");
        let zone = section.name("zone");
        let workers = section.integer("workers", 1..=64, 1);
        if let (Some(zone), Some(vms)) = (&zone, vms)
            && !vms.iter().any(|vm| vm.zone == *zone)
        {
            section
                .fault("zone", &format!("no [[vm]] is in zone `{zone}`; use the zone of a [[vm]]"));
        }
        if let (Some(name), Some(zone)) = (&name, &zone)
            && !names.insert((zone.clone(), name.clone()))
        {
            section
                .fault("name", &format!("zone `{zone}` has two racks named `{name}`; rename one"));
        }
        section.finish();
        if let (Some(name), Some(zone), Some(workers)) = (name, zone, workers) {
            racks.push(Rack { name, zone, workers });
        }
    }
    racks
}
