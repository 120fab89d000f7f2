//! The table of services that can answer callers, merged from all owners.

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

/// Publishes the table anew if it has changed.
pub fn refresh(node: &Node) {
    let mut all = node.with(|shared| {
        let mut all = owner::service_instances(shared);
        all.extend(shared.links.values().flat_map(|link| link.instances.iter().cloned()));
        all
    });
    all.sort_by(order);
    // While a worker moves from one owner to another, both may name it. If one of them knows that it is leaving, it
    // gets nothing new.
    all.dedup_by(|one, two| one.service == two.service && one.worker == two.worker);
    node.instances.send_if_modified(|known| {
        let changed = **known != all;
        if changed {
            *known = Arc::new(all);
        }
        changed
    });
}

fn order(one: &Instance, two: &Instance) -> std::cmp::Ordering {
    (&one.service, &one.worker, one.open).cmp(&(&two.service, &two.worker, two.open))
}

fn suspects(shared: &SharedState) -> Vec<Session> {
    let now = Instant::now();
    let silent = shared.links.iter().filter(|(_, link)| link.is_suspected(now));
    silent.filter_map(|(vm, _)| shared.state.vms.get(vm)).map(|vm| vm.session).collect()
}

/// What a link was last told.
#[derive(Debug, Default)]
pub struct Sent {
    summary: Option<CapacitySummary>,
    instances: Option<Vec<Instance>>,
}

/// Returns a value if it differs from what was sent last.
fn news<T: PartialEq + Clone>(sent: &mut Option<T>, value: T) -> Option<T> {
    if sent.as_ref() == Some(&value) {
        return None;
    }
    *sent = Some(value.clone());
    Some(value)
}

/// Makes this VM's next heartbeat for one link. Only what has changed since the last one is in it, which
/// keeps the traffic of idle VMs within the 4 KB/s allowed for control.
pub fn heartbeat(node: &Node, fresh: bool, sent: &mut Sent) -> Heartbeat {
    node.with(|shared| {
        let me = shared.state.vm_of(node.author);
        let session = me.map(|vm| shared.state.vms[vm].session).unwrap_or_default();
        let instances = owner::service_instances(shared);
        let summary = shared.pool.summary();
        if fresh {
            *sent = Sent::default();
        }
        Heartbeat {
            session,
            offset: shared.state.offset,
            confirmed_offset: *node.confirmed_offset.borrow(),
            summary: news(&mut sent.summary, summary),
            suspects: suspects(shared),
            instances: news(&mut sent.instances, instances),
        }
    })
}
