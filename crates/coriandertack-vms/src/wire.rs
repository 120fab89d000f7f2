//! JSON format of the VM list and its conversion.

use std::net::SocketAddr;

use {
    coriandertack_core::{
        record::{Presence, WorkerInfo},
        resources::Resources,
    },
    serde::Deserialize,
};

use crate::diff::VmListing;

/// Kind of a VM in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Entry,
    Worker,
    /// Any other kind; the platform may list VMs that are not part of this system.
    #[serde(other)]
    Other,
}

/// State of a VM in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Live,
    Leaving,
}

/// An entry of the list.
#[derive(Debug, Deserialize)]
pub(crate) struct Vm {
    name: String,
    kind: Kind,
    address: SocketAddr,
    zone: String,
    #[serde(default)]
    rack: String,
    state: State,
    millicores: u32,
    memory_mib: u32,
    #[serde(default)]
    accelerators: u32,
}

/// Converts the entries of a response; VMs of other kinds are left out.
pub(crate) fn to_listing(vms: Vec<Vm>) -> VmListing {
    let mut listing = VmListing::default();
    for vm in vms {
        match vm.kind {
            Kind::Entry => {
                listing.entries.insert(vm.name);
            }
            Kind::Worker => {
                listing.workers.insert(vm.name.clone(), to_worker_info(vm));
            }
            Kind::Other => {}
        }
    }
    listing
}

fn to_worker_info(vm: Vm) -> WorkerInfo {
    let presence = match vm.state {
        State::Live => Presence::Live,
        State::Leaving => Presence::Leaving,
    };
    WorkerInfo {
        name: vm.name,
        address: vm.address,
        zone: vm.zone,
        rack: vm.rack,
        presence,
        capacity: Resources::new(vm.millicores, vm.memory_mib, vm.accelerators),
    }
}
