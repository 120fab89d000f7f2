//! All-or-nothing placement of gangs.
//!
//! Each gang that is being placed has a task of its own. It reserves capacity at the owners in ascending order of
//! their sessions, until a deadline that the owners store. No gang waits for capacity while it holds some, so two
//! gangs cannot deadlock, and a reservation that is not committed expires at its deadline. See docs/design.md,
//! section 4.

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

/// How long an owner holds capacity for some members while the rest of the gang is being placed.
const HOLD_DURATION: Duration = Duration::from_millis(1_500);

/// Longest pause before a gang that did not fit is queued again, in milliseconds. The pause is random, so that two
/// gangs that compete for the same capacity do not collide again.
const MAX_BACKOFF_MS: u64 = 400;

/// Capacity held at one owner, by lease.
struct HeldCapacity {
    vm: VmKey,
    leases: Vec<LeaseId>,
}

/// Places all tasks of a gang, or queues the gang again if there is no room for some of them.
pub async fn place(node: Arc<Node>, own_key: VmKey, pick: PickedWork) {
    let until = (Instant::now() + HOLD_DURATION).min(node.valid_until());
    let mut remaining = dispatch::hold_requests(&pick.specs, pick.epoch, until);
    let mut held = Vec::new();
    let mut answered = true;
    for vm in owners_to_ask(&node, own_key, &pick) {
        if remaining.is_empty() || !answered {
            break;
        }
        (remaining, answered) = hold_at_owner(&node, own_key, vm, remaining, &mut held).await;
    }
    let leases: Vec<LeaseId> = pick.specs.iter().map(|spec| spec.lease).collect();
    if !remaining.is_empty() || !answered {
        release_and_requeue(&node, held, &leases).await;
        return;
    }
    commit_all(&node, own_key, held, until).await;
    node.work_available.notify_one();
}

/// Returns the owners in the order in which to ask them. An owner whose summary shows room for the whole gang comes
/// first, which keeps the members close together. The others follow in the order of their sessions, because a summary
/// can overstate what the owner has room for.
fn owners_to_ask(node: &Node, own_key: VmKey, pick: &PickedWork) -> Vec<VmKey> {
    let now = Instant::now();
    node.with(|shared| {
        let first = owners::choose(shared, own_key, &pick.specs, &[], now).map(|choice| choice.vm);
        let links = &shared.links;
        let usable = |vm: &VmKey| {
            *vm == own_key || links.get(*vm).is_some_and(|link| !link.is_suspected(now))
        };
        let others = shared.state.sessions.values().copied();
        first.into_iter().chain(others.filter(|vm| Some(*vm) != first && usable(vm))).collect()
    })
}

/// Reserves as much capacity as one owner has. Returns the requests that it refused, and whether it answered.
///
/// Without an answer, no other owner may be asked under the same leases: this one may hold the capacity, and it reports
/// the end of the hold to the home, which would take it for the end of a run elsewhere.
async fn hold_at_owner(
    node: &Node,
    own_key: VmKey,
    vm: VmKey,
    requests: Vec<PlacementRequest>,
    held: &mut Vec<HeldCapacity>,
) -> (Vec<PlacementRequest>, bool) {
    let outcomes = request_hold(node, own_key, vm, &requests).await;
    let answered = !outcomes.contains(&PlacementOutcome::Unknown);
    let mut leases = Vec::new();
    let mut refused = Vec::new();
    for (request, outcome) in requests.into_iter().zip(outcomes) {
        match outcome {
            // Capacity that an owner may hold is released, or expires at its deadline.
            PlacementOutcome::Granted | PlacementOutcome::Unknown => {
                leases.push(request.spec.lease)
            }
            PlacementOutcome::Full | PlacementOutcome::Invalid => refused.push(request),
        }
    }
    if !leases.is_empty() {
        held.push(HeldCapacity { vm, leases });
    }
    (refused, answered)
}

async fn request_hold(
    node: &Node,
    own_key: VmKey,
    vm: VmKey,
    requests: &[PlacementRequest],
) -> Vec<PlacementOutcome> {
    if vm == own_key {
        return node.with(|shared| owner::hold_all(shared, own_key, requests, Instant::now()));
    }
    dispatch::request_placement(node, vm, requests.to_vec()).await
}

/// Releases the held capacity, and queues the gang again after a random pause.
async fn release_and_requeue(node: &Arc<Node>, held: Vec<HeldCapacity>, leases: &[LeaseId]) {
    for HeldCapacity { vm, leases } in held {
        dispatch::stop_tasks(Arc::clone(node), vm, leases).await;
    }
    let pause = rand::rng().random_range(0..MAX_BACKOFF_MS);
    sleep(Duration::from_millis(pause)).await;
    node.with(|shared| shared.team_queues.requeue(leases, Instant::now()));
    node.work_available.notify_one();
}

/// Commits the held capacity, which starts all members. If a member is refused or its outcome is unknown, the home
/// stops the others and starts the gang again.
async fn commit_all(node: &Arc<Node>, own_key: VmKey, held: Vec<HeldCapacity>, until: Instant) {
    let now = Instant::now();
    node.with(|shared| {
        for HeldCapacity { vm, leases } in &held {
            leases.iter().for_each(|&lease| shared.team_queues.mark_asked(lease, *vm, now));
        }
    });
    let commits = held.into_iter().map(|held| commit_at_owner(node, own_key, held, until));
    futures::future::join_all(commits).await;
}

async fn commit_at_owner(node: &Node, own_key: VmKey, held: HeldCapacity, until: Instant) {
    let HeldCapacity { vm, leases } = held;
    let outcomes = if vm == own_key {
        node.with(|shared| owner::commit(shared, &leases, Instant::now()))
    } else {
        match node.request(vm, PeerRequest::Commit(leases.clone()), until).await {
            Ok(PeerReply::Placed(outcomes)) if outcomes.len() == leases.len() => outcomes,
            _ => vec![PlacementOutcome::Unknown; leases.len()],
        }
    };
    let now = Instant::now();
    node.with(|shared| {
        for (lease, outcome) in leases.into_iter().zip(outcomes) {
            shared.team_queues.handle_placement(lease, vm, outcome, until, now);
        }
    });
}
