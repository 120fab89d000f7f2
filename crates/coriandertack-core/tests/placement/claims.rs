//! Guards against urgent work that waits for preempted tasks and is lost, or started by two homes.

use std::sync::Arc;

use {
    coriandertack_core::{
        cell::{Host, Phase},
        keys::{Epoch, Incarnation, Offset, WorkerKey},
        node::Node,
        owner,
        record::{Join, Kind},
    },
    slotmap::SlotMap,
    tokio::time::Instant,
};

use crate::support::{PLAIN, ask, urgent};

/// Returns a node with one worker, whose batch task makes way for an urgent task.
fn preempting() -> (Arc<Node>, WorkerKey) {
    let info = Join {
        name: "split-1".into(),
        zone: "split".into(),
        link: "127.0.0.1:7000".parse().expect("an address"),
        http: "127.0.0.1:7001".parse().expect("an address"),
    };
    let (node, _) = Node::new(info, Incarnation(1));
    let mut keys: SlotMap<WorkerKey, ()> = SlotMap::with_key();
    let worker = keys.insert(());
    node.with(|inner| {
        inner.cell.track(worker, Host::new("w0", "z0", "r0", PLAIN));
        inner.cell.resolve(worker, &[]);
        inner.cell.place(&ask(1, Kind::Batch, PLAIN), Phase::Running).expect("there is room");
        inner.cell.preempt(&urgent(2, PLAIN)).expect("batch work runs");
    });
    (node, worker)
}

#[test]
fn a_new_home_learns_of_urgent_work_that_waits() {
    let (node, _) = preempting();
    let now = Instant::now();
    let (known, _) = node.with(|inner| owner::list(inner, "team", Epoch(1), Offset(0), now));
    assert!(known.iter().any(|known| known.lease == urgent(2, PLAIN).lease));
}

#[test]
fn cancelled_urgent_work_does_not_start_later() {
    let (node, _) = preempting();
    node.with(|inner| {
        owner::release(inner, &[urgent(2, PLAIN).lease]);
        assert_eq!(inner.cell.claims().count(), 0);
        assert_eq!(inner.owner.unacknowledged(), 1, "its home learns of the end");
        inner.cell.release(ask(1, Kind::Batch, PLAIN).lease);
        assert!(inner.cell.settle().is_empty());
    });
}

#[test]
fn urgent_work_does_not_start_on_a_worker_that_is_lost() {
    let (node, worker) = preempting();
    node.with(|inner| {
        owner::expire_worker(inner, worker, Instant::now());
        assert_eq!(inner.cell.claims().count(), 0);
        assert_eq!(inner.cell.grants().count(), 0);
        assert_eq!(inner.owner.unacknowledged(), 2);
    });
}
