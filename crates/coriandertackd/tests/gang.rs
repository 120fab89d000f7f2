//! Placement of gangs at owners whose answers are lost.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use {
    coriandertack_core::{
        home::PickedWork,
        keys::{Epoch, Incarnation, JobId, LeaseId, Offset, TaskId, VmKey},
        message::{AttemptSpec, OutgoingRequest, PeerReply, PeerRequest, PlacementOutcome},
        node::Node,
        peer_link::PeerLink,
        record::{Batch, Entry, Kind, Record, VmInfo},
        resources::Resources,
    },
    coriandertackd::gang,
    tokio::{sync::mpsc, time::Instant},
};

fn info(name: &str) -> VmInfo {
    let unused = "127.0.0.1:1".parse().unwrap();
    VmInfo { name: name.into(), zone: "split".into(), link: unused, http: unused }
}

/// Lets VMs join, of which the first is the home, and returns their keys.
fn join(node: &Node, names: [&str; 3]) -> [VmKey; 3] {
    let mut offset = Offset(0);
    names.map(|name| {
        offset = offset.next();
        let author = Incarnation(offset.0);
        let entry = Entry { actor: "ana".into(), at_ms: 0, record: Record::Join(info(name)) };
        node.apply(offset, &Batch { author, seq: 1, entries: vec![entry] });
        node.with(|shared| shared.state.vm_of(author)).unwrap()
    })
}

fn member(index: u32) -> AttemptSpec {
    let task = TaskId { job: JobId(7), index };
    AttemptSpec {
        lease: LeaseId { task, attempt: 0 },
        class: "herders.march".into(),
        kind: Kind::Gang,
        need: Resources::new(500, 512, 0),
        run_ms: 0,
        urgent: false,
        command: "run_ms=100".into(),
    }
}

/// Leases that an owner was asked to hold, and those that it was asked to start.
#[derive(Debug, Default)]
struct Asked {
    held: BTreeSet<LeaseId>,
    committed: BTreeSet<LeaseId>,
    released: BTreeSet<LeaseId>,
}

/// Serves an owner that grants everything until its link closes. With `silent`, its answers are lost.
async fn serve(mut requests: mpsc::Receiver<OutgoingRequest>, silent: bool) -> Asked {
    let mut asked = Asked::default();
    while let Some(OutgoingRequest { request, reply, .. }) = requests.recv().await {
        let count = match request {
            PeerRequest::Place(requests) => {
                asked.held.extend(requests.iter().map(|request| request.spec.lease));
                requests.len()
            }
            PeerRequest::Commit(leases) => {
                asked.committed.extend(&leases);
                leases.len()
            }
            PeerRequest::Release(leases) => {
                asked.released.extend(&leases);
                0
            }
            _ => 0,
        };
        if !silent {
            // The sender may have stopped waiting.
            let _unsent = reply.send(PeerReply::Placed(vec![PlacementOutcome::Granted; count]));
        }
    }
    asked
}

/// Guards against a member that runs twice: an owner whose answer was lost holds its capacity, and reports the end of the
/// hold to the home. If another owner has started the same lease, the home takes it for the end of that run.
#[tokio::test(start_paused = true)]
async fn lease_that_an_owner_may_hold_is_started_by_no_other() {
    let (node, _submissions) = Node::new(info("split-1"), Incarnation(1));
    let [home, first, second] = join(&node, ["split-1", "split-2", "split-3"]);
    node.extend_validity(Instant::now());
    let mut owners = Vec::new();
    for (vm, silent) in [(first, true), (second, false)] {
        let (sender, requests) = mpsc::channel(16);
        node.with(|shared| shared.links.insert(vm, PeerLink::new(sender, Instant::now())));
        owners.push(tokio::spawn(serve(requests, silent)));
    }
    let pick = PickedWork { specs: vec![member(0), member(1)], epoch: Epoch(1) };
    gang::place(Arc::clone(&node), home, pick).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    node.with(|shared| shared.links.clear());
    let [first, second] = [owners.remove(0).await.unwrap(), owners.remove(0).await.unwrap()];
    assert_eq!(first.held.len(), 2, "the first owner was not asked");
    let doubled: Vec<_> = second.committed.intersection(&first.held).collect();
    assert_eq!(doubled, Vec::<&LeaseId>::new(), "held by the first owner, started by the second");
    assert_eq!(first.released, first.held, "capacity that may be held is not released");
}
