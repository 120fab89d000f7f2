//! The table of services that can answer callers, merged from all owners.

use std::sync::Arc;

use {
    coriandertack_core::{
        keys::Session,
        message::{Heartbeat, Instance},
        node::{Inner, Node},
        owner,
    },
    tokio::time::Instant,
};

/// Publishes the table anew if it has changed.
pub fn refresh(node: &Node) {
    let mut all = node.with(|inner| {
        let mut all = owner::instances(inner);
        all.extend(inner.links.values().flat_map(|link| link.instances.iter().cloned()));
        all
    });
    all.sort_by(order);
    // While a worker moves from one owner to another, both may name it.
    all.dedup_by(|one, two| one.service == two.service && one.worker == two.worker);
    node.routes.send_if_modified(|known| {
        let changed = **known != all;
        if changed {
            *known = Arc::new(all);
        }
        changed
    });
}

fn order(one: &Instance, two: &Instance) -> std::cmp::Ordering {
    (&one.service, &one.worker, !one.open).cmp(&(&two.service, &two.worker, !two.open))
}

fn suspects(inner: &Inner) -> Vec<Session> {
    let now = Instant::now();
    let silent = inner.links.iter().filter(|(_, link)| link.is_suspected(now));
    silent.filter_map(|(vm, _)| inner.state.vms.get(vm)).map(|vm| vm.session).collect()
}

/// Makes this VM's next heartbeat for one link. `sent` holds the services that the link was last told.
pub fn heartbeat(node: &Node, fresh: bool, sent: &mut Option<Vec<Instance>>) -> Heartbeat {
    node.with(|inner| {
        let me = inner.state.vm_of(node.author);
        let session = me.map(|vm| inner.state.vms[vm].session).unwrap_or_default();
        let instances = owner::instances(inner);
        let news = fresh || sent.as_ref() != Some(&instances);
        if news {
            *sent = Some(instances.clone());
        }
        Heartbeat {
            session,
            offset: inner.state.offset,
            settled: inner.state.offset,
            summary: inner.cell.summary(),
            suspects: suspects(inner),
            instances: news.then_some(instances),
        }
    })
}
