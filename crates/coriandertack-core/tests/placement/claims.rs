//! Guards against losing an urgent task that waits for preempted tasks, and against starting it twice after a
//! change of the home.

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

/// Returns a node with one worker on which an urgent task has preempted a batch task that has not ended yet.
fn node_with_claim() -> (Arc<Node>, WorkerKey) {
    let info = VmInfo {
        name: "split-1".into(),
        zone: "split".into(),
        link: "127.0.0.1:7000".parse().expect("a valid address"),
        http: "127.0.0.1:7001".parse().expect("a valid address"),
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
            .expect("enough capacity");
        shared.pool.preempt(&urgent(2, PLAIN)).expect("a batch task can be preempted");
    });
    (node, worker)
}

#[test]
fn claims_are_listed_for_a_new_home() {
    let (node, _) = node_with_claim();
    let now = Instant::now();
    let (known, _) =
        node.with(|shared| owner::list_tasks(shared, "team", Epoch(1), Offset(0), now));
    assert!(known.iter().any(|known| known.lease == urgent(2, PLAIN).lease));
}

#[test]
fn cancelled_claim_does_not_start() {
    let (node, _) = node_with_claim();
    node.with(|shared| {
        owner::release(shared, &[urgent(2, PLAIN).lease]);
        assert_eq!(shared.pool.claims().count(), 0);
        assert_eq!(shared.owner_state.unacknowledged(), 1, "the end must be reported to the home");
        shared.pool.release(spec(1, Kind::Batch, PLAIN).lease);
        assert!(shared.pool.grant_claims().is_empty());
    });
}

#[test]
fn claim_on_a_lost_worker_does_not_start() {
    let (node, worker) = node_with_claim();
    node.with(|shared| {
        owner::expire_worker(shared, worker, Instant::now());
        assert_eq!(shared.pool.claims().count(), 0);
        assert_eq!(shared.pool.grants().count(), 0);
        assert_eq!(shared.owner_state.unacknowledged(), 2);
    });
}
