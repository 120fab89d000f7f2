//! Starting a gang: all of its tasks or none.
//!
//! One task for each gang that is being placed. Capacity is held at the owners in ascending order of
//! their sessions until a stored deadline; nobody waits for capacity, so two gangs cannot block each other,
//! and whatever is not committed falls at the deadline. See docs/design.md, section 4.

use std::{sync::Arc, time::Duration};

use {
    coriandertack_core::{
        home::PickedWork,
        keys::{LeaseId, VmKey},
        message::{PeerReply, PeerRequest, PlacementOutcome, PlacementRequest},
        node::Node,
        owner,
    },
    rand::RngExt,
    tokio::time::{Instant, sleep},
};

use crate::{dispatch, owners};

/// How long capacity is held for the rest of a gang.
const HOLD: Duration = Duration::from_millis(1_500);

/// Longest pause before a gang without room tries again; the pause is drawn at random so that two gangs
/// do not meet again.
const BACK_OFF_MS: u64 = 400;

/// Capacity held at an owner.
struct Held {
    vm: VmKey,
    leases: Vec<LeaseId>,
}

/// Places a gang, or puts it back.
pub async fn place(node: Arc<Node>, me: VmKey, pick: PickedWork) {
    let until = (Instant::now() + HOLD).min(node.valid_until());
    let mut left = dispatch::holds(&pick.specs, pick.epoch, until);
    let mut held = Vec::new();
    for vm in owners(&node, me, &pick) {
        if left.is_empty() {
            break;
        }
        let refused = hold(&node, me, vm, left, &mut held).await;
        left = refused;
    }
    let leases: Vec<LeaseId> = pick.specs.iter().map(|spec| spec.lease).collect();
    if !left.is_empty() {
        give_up(&node, held, &leases).await;
        return;
    }
    start(&node, me, held, until).await;
    node.work_available.notify_one();
}

/// Returns the owners in the order in which to ask them: first one that shows room for all, which keeps the members
/// near each other, then the others in the order that every gang follows. The others are needed even then, because
/// what an owner shows may not hold every member.
fn owners(node: &Node, me: VmKey, pick: &PickedWork) -> Vec<VmKey> {
    let now = Instant::now();
    node.with(|shared| {
        let first = owners::choose(shared, me, &pick.specs, &[], now).map(|choice| choice.vm);
        let links = &shared.links;
        let usable =
            |vm: &VmKey| *vm == me || links.get(*vm).is_some_and(|link| !link.is_suspected(now));
        let others = shared.state.sessions.values().copied();
        first.into_iter().chain(others.filter(|vm| Some(*vm) != first && usable(vm))).collect()
    })
}

/// Holds as much as one owner can, and returns what it refused.
async fn hold(
    node: &Node,
    me: VmKey,
    vm: VmKey,
    places: Vec<PlacementRequest>,
    held: &mut Vec<Held>,
) -> Vec<PlacementRequest> {
    let placed = ask(node, me, vm, &places).await;
    let mut leases = Vec::new();
    let mut refused = Vec::new();
    for (place, placed) in places.into_iter().zip(placed) {
        match placed {
            // Held capacity whose answer was lost falls at its deadline.
            PlacementOutcome::Granted | PlacementOutcome::Unknown => leases.push(place.spec.lease),
            PlacementOutcome::Full | PlacementOutcome::Invalid => refused.push(place),
        }
    }
    if !leases.is_empty() {
        held.push(Held { vm, leases });
    }
    refused
}

async fn ask(
    node: &Node,
    me: VmKey,
    vm: VmKey,
    places: &[PlacementRequest],
) -> Vec<PlacementOutcome> {
    let now = Instant::now();
    if vm == me {
        return node.with(|shared| owner::hold_all(shared, me, places, now));
    }
    match node.request(vm, PeerRequest::Place(places.to_vec()), places[0].until).await {
        Ok(PeerReply::Placed(placed)) if placed.len() == places.len() => placed,
        _ => vec![PlacementOutcome::Full; places.len()],
    }
}

/// Lets go of what is held and queues the gang again after a random pause.
async fn give_up(node: &Arc<Node>, held: Vec<Held>, leases: &[LeaseId]) {
    for Held { vm, leases } in held {
        dispatch::stop(Arc::clone(node), vm, leases).await;
    }
    let pause = rand::rng().random_range(0..BACK_OFF_MS);
    sleep(Duration::from_millis(pause)).await;
    node.with(|shared| shared.team_queues.requeue(leases, Instant::now()));
    node.work_available.notify_one();
}

/// Starts every member. A member that does not start ends as refused or unknown; the home then stops the
/// others and starts the gang again.
async fn start(node: &Arc<Node>, me: VmKey, held: Vec<Held>, until: Instant) {
    let now = Instant::now();
    node.with(|shared| {
        for Held { vm, leases } in &held {
            leases.iter().for_each(|&lease| shared.team_queues.mark_asked(lease, *vm, now));
        }
    });
    let commits = held.into_iter().map(|held| commit(node, me, held, until));
    futures::future::join_all(commits).await;
}

async fn commit(node: &Node, me: VmKey, held: Held, until: Instant) {
    let Held { vm, leases } = held;
    let placed = if vm == me {
        node.with(|shared| owner::commit(shared, &leases, Instant::now()))
    } else {
        match node.request(vm, PeerRequest::Commit(leases.clone()), until).await {
            Ok(PeerReply::Placed(placed)) if placed.len() == leases.len() => placed,
            _ => vec![PlacementOutcome::Unknown; leases.len()],
        }
    };
    let now = Instant::now();
    node.with(|shared| {
        for (lease, placed) in leases.into_iter().zip(placed) {
            shared.team_queues.handle_placement(lease, vm, placed, until, now);
        }
    });
}
