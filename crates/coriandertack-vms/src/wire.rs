//! JSON format of the VM list and its conversion.

use std::net::SocketAddr;

use {
    anyhow::{Result, ensure},
    coriandertack_core::{
        record::{Presence, WorkerInfo},
        resources::Resources,
    },
    serde::Deserialize,
    serde_json::value::RawValue,
};

use crate::diff::VmListing;

/// Maximum number of characters of an unreadable item in the log.
const LOGGED_CHARS: usize = 80;

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

/// The name of an item that cannot be decoded otherwise.
#[derive(Debug, Deserialize)]
struct Named {
    name: String,
}

/// Converts the items of a response; VMs of other kinds are left out.
///
/// Each item is decoded on its own, because one that another writer left must not hide the others. Odd items are logged,
/// and their names are kept: such a VM is not gone. Without a name, an item may be any of those that seem to be missing.
pub(crate) fn to_listing(items: &[Box<RawValue>]) -> VmListing {
    let mut listing = VmListing::default();
    for item in items {
        let vm = match decode(item) {
            Ok(vm) => vm,
            Err(error) => {
                let text: String = item.get().chars().take(LOGGED_CHARS).collect();
                log::warn!("event=vm_unreadable item={text:?} error=\"{error:#}\"");
                match serde_json::from_str::<Named>(item.get()) {
                    Ok(named) => drop(listing.unreadable.insert(named.name)),
                    Err(_) => listing.incomplete = true,
                }
                continue;
            }
        };
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

fn decode(item: &RawValue) -> Result<Vm> {
    let vm: Vm = serde_json::from_str(item.get())?;
    let capacity = Resources::new(vm.millicores, vm.memory_mib, vm.accelerators);
    ensure!(
        capacity.fits(Resources::LARGEST_MACHINE),
        "capacity {capacity} is larger than any machine"
    );
    ensure!(vm.address.port() > 0, "{} is not the address of a VM", vm.address);
    Ok(vm)
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
