//! The table of service instances, merged from the reports of all owners, and the heartbeats that carry them.

use std::sync::Arc;

use {
    coriandertack_core::{
        keys::Session,
        message::{CapacitySummary, Heartbeat, Instance},
        node::{Node, SharedState},
        owner,
    },
    tokio::time::Instant,
};

/// Rebuilds the table of service instances, and publishes it if it has changed.
pub fn refresh(node: &Node) {
    let mut instances = node.with(|shared| {
        let mut instances = owner::service_instances(shared);
        instances.extend(shared.links.values().flat_map(|link| link.instances.iter().cloned()));
        instances
    });
    instances.sort_by(compare);
    // While a worker moves between owners, both may list it. The entry that is not open for new requests wins, because
    // its owner knows that the instance is leaving.
    instances.dedup_by(|a, b| a.service == b.service && a.worker == b.worker);
    node.instances.send_if_modified(|table| {
        let changed = **table != instances;
        if changed {
            *table = Arc::new(instances);
        }
        changed
    });
}

fn compare(a: &Instance, b: &Instance) -> std::cmp::Ordering {
    (&a.service, &a.worker, a.open).cmp(&(&b.service, &b.worker, b.open))
}

fn suspected_sessions(shared: &SharedState) -> Vec<Session> {
    let now = Instant::now();
    let suspected = shared.links.iter().filter(|(_, link)| link.is_suspected(now));
    suspected.filter_map(|(vm, _)| shared.state.vms.get(vm)).map(|vm| vm.session).collect()
}

/// Values last sent over a link, which later heartbeats leave out while they are unchanged.
#[derive(Debug, Default)]
pub struct LastSent {
    summary: Option<CapacitySummary>,
    instances: Option<Vec<Instance>>,
}

/// Returns the value if it differs from the last one sent, and records it as sent.
fn if_changed<T: PartialEq + Clone>(sent: &mut Option<T>, value: T) -> Option<T> {
    if sent.as_ref() == Some(&value) {
        return None;
    }
    *sent = Some(value.clone());
    Some(value)
}

/// Builds the next heartbeat for one link.
///
/// Summary and instances are included only if they changed since the last heartbeat, which keeps the traffic of idle
/// VMs within the 4 KB/s allowed for control. On a new connection, `reset` makes the heartbeat complete.
pub fn build_heartbeat(node: &Node, reset: bool, sent: &mut LastSent) -> Heartbeat {
    node.with(|shared| {
        let own_key = shared.state.vm_of(node.author);
        let session = own_key.map(|vm| shared.state.vms[vm].session).unwrap_or_default();
        let instances = owner::service_instances(shared);
        let summary = shared.pool.summary();
        if reset {
            *sent = LastSent::default();
        }
        Heartbeat {
            session,
            offset: shared.state.offset,
            confirmed_offset: *node.confirmed_offset.borrow(),
            summary: if_changed(&mut sent.summary, summary),
            suspects: suspected_sessions(shared),
            instances: if_changed(&mut sent.instances, instances),
        }
    })
}
