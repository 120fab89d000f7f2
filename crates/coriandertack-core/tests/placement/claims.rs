//! Guards against urgent work that waits for preempted tasks and is lost, or started by two homes.

use std::sync::Arc;

use {
    coriandertack_core::{
        keys::{Epoch, Incarnation, Offset, WorkerKey},
        node::Node,
        owner,
        pool::{GrantPhase, OwnedWorker},
        record::{Kind, VmInfo},
    },
    slotmap::SlotMap,
    tokio::time::Instant,
};

use crate::support::{PLAIN, spec, urgent};

/// Returns a node with one worker, whose batch task makes way for an urgent task.
fn preempting() -> (Arc<Node>, WorkerKey) {
    let info = VmInfo {
        name: "split-1".into(),
        zone: "split".into(),
        link: "127.0.0.1:7000".parse().expect("an address"),
        http: "127.0.0.1:7001".parse().expect("an address"),
    };
    let (node, _) = Node::new(info, Incarnation(1));
    let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let worker = keys.insert(());
    node.with(|shared| {
        shared.pool.upsert_worker(worker, OwnedWorker::new("w0", "z0", "r0", PLAIN));
        shared.pool.reconcile(worker, &[]);
        shared
            .pool
            .place(&spec(1, Kind::Batch, PLAIN), GrantPhase::Running)
            .expect("there is room");
        shared.pool.preempt(&urgent(2, PLAIN)).expect("batch work runs");
    });
    (node, worker)
}

#[test]
fn a_new_home_learns_of_urgent_work_that_waits() {
    let (node, _) = preempting();
    let now = Instant::now();
    let (known, _) =
        node.with(|shared| owner::list_tasks(shared, "team", Epoch(1), Offset(0), now));
    assert!(known.iter().any(|known| known.lease == urgent(2, PLAIN).lease));
}

#[test]
fn cancelled_urgent_work_does_not_start_later() {
    let (node, _) = preempting();
    node.with(|shared| {
        owner::release(shared, &[urgent(2, PLAIN).lease]);
        assert_eq!(shared.pool.claims().count(), 0);
        assert_eq!(shared.owner_state.unacknowledged(), 1, "its home learns of the end");
        shared.pool.release(spec(1, Kind::Batch, PLAIN).lease);
        assert!(shared.pool.grant_claims().is_empty());
    });
}

#[test]
fn urgent_work_does_not_start_on_a_worker_that_is_lost() {
    let (node, worker) = preempting();
    node.with(|shared| {
        owner::expire_worker(shared, worker, Instant::now());
        assert_eq!(shared.pool.claims().count(), 0);
        assert_eq!(shared.pool.grants().count(), 0);
        assert_eq!(shared.owner_state.unacknowledged(), 2);
    });
}
