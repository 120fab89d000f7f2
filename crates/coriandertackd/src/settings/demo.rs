//! Workers of the stand-ins, which only demo and bench read.

use std::collections::BTreeSet;

use coriandertack_core::resources::Resources;

use crate::settings::{Vm, section::Section};

/// Workers in one rack.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rack {
    /// Name, unique in its zone.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Number of workers.
    pub workers: u32,
}

/// Workers of the stand-ins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demo {
    /// The racks.
    pub racks: Vec<Rack>,
    /// What each worker has.
    pub capacity: Resources,
    /// Callers' requests that a worker runs at once.
    pub slots: u32,
    /// Connections that a worker takes.
    pub connections: u32,
}

impl Demo {
    /// Returns the number of workers.
    #[must_use]
    pub fn workers(&self) -> u32 {
        self.racks.iter().map(|rack| rack.workers).sum()
    }
}

/// Reads the section `demo`. The zones of the racks are checked against those of `vms`, if given.
pub fn read(mut section: Section<'_>, vms: Option<&[Vm]>) -> Option<Demo> {
    let millicores = section.whole("worker_millicores", 1..=1_000_000, 16_000);
    let memory_mib = section.whole("worker_memory_mib", 1..=16_777_216, 32_768);
    let accelerators = section.whole("worker_accelerators", 0..=64, 0);
    let slots = section.whole("worker_slots", 1..=1_024, 8);
    let connections = section.whole("worker_connections", 1..=65_536, 64);
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
        let workers = section.whole("workers", 1..=64, 1);
        if let (Some(zone), Some(vms)) = (&zone, vms)
            && !vms.iter().any(|vm| vm.zone == *zone)
        {
            section.fault("zone", "no [[vm]] is in this zone");
        }
        if let (Some(name), Some(zone)) = (&name, &zone)
            && !names.insert((zone.clone(), name.clone()))
        {
            section.fault("name", "is used twice in this zone");
        }
        section.finish();
        if let (Some(name), Some(zone), Some(workers)) = (name, zone, workers) {
            racks.push(Rack { name, zone, workers });
        }
    }
    racks
}
