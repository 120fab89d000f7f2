//! Finding out what runs for the teams of this home, from the owners' lists.
//!
//! One task for each team that is being recovered. The tasks that no owner lists are queued again only if
//! every owner has given a complete list and ownership has not moved meanwhile.

use std::{
    collections::HashSet,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use {
    coriandertack_core::{
        keys::{Epoch, LeaseId, Offset, TeamKey, VmKey},
        message::{ListedTask, PeerReply, PeerRequest},
        node::Node,
        owner,
    },
    futures::future::join_all,
    tokio::time::{Instant, sleep},
};

use crate::dispatch;

/// Pause before the owners are asked again, while a worker is not resolved yet.
const ASK_AGAIN: Duration = Duration::from_millis(300);

/// How long a list may take.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Teams that are being recovered now.
#[derive(Clone, Default)]
pub struct Recovering {
    teams: Arc<Mutex<HashSet<TeamKey>>>,
}

impl Recovering {
    /// Starts a recovery for each team that needs one and has none, and settles open requests.
    pub fn start(&mut self, node: &Arc<Node>) {
        let now = Instant::now();
        let (teams, unsettled) = node.with(|shared| {
            (shared.team_queues.stale_teams(), shared.team_queues.unsettled_leases(now))
        });
        for (team, epoch) in teams {
            if !self.begin(team) {
                continue;
            }
            let (node, recovering) = (Arc::clone(node), self.clone());
            tokio::spawn(async move {
                recover(&node, team, epoch).await;
                recovering.end(team);
            });
        }
        for (vm, lease) in unsettled {
            // One request a lease: they are rare, since they need a reply that did not come.
            if self.begin_settling(node, lease) {
                tokio::spawn(dispatch::settle(Arc::clone(node), vm, vec![lease]));
            }
        }
    }

    fn begin(&self, team: TeamKey) -> bool {
        self.teams.lock().unwrap_or_else(PoisonError::into_inner).insert(team)
    }

    fn end(&self, team: TeamKey) {
        self.teams.lock().unwrap_or_else(PoisonError::into_inner).remove(&team);
    }

    /// Postpones the next attempt to settle a lease, and tells whether this one may go ahead.
    fn begin_settling(&self, node: &Node, lease: LeaseId) -> bool {
        node.with(|shared| shared.team_queues.postpone(lease, Instant::now() + LIST_TIMEOUT))
    }
}

/// What the owners said.
struct Lists {
    began: Instant,
    moved: Offset,
    complete: bool,
    lists: Vec<(VmKey, Vec<ListedTask>)>,
}

async fn recover(node: &Arc<Node>, team: TeamKey, epoch: Epoch) {
    let Some(name) = node.with(|shared| shared.state.teams.get(team).map(|team| team.name.clone()))
    else {
        return;
    };
    let lists = ask_all(node, &name, epoch).await;
    let complete = lists.complete;
    let found: usize = lists.lists.iter().map(|(_, known)| known.len()).sum();
    let now = Instant::now();
    let done = node.with(|shared| {
        if shared.team_queues.epoch(team) != Some(epoch) || !shared.validity.is_valid(now) {
            return false;
        }
        for (vm, known) in &lists.lists {
            shared.team_queues.adopt(*vm, known, now);
        }
        let current = complete && shared.state.moved_offset == lists.moved;
        if current {
            shared.team_queues.finish_recovery(team, lists.began, now);
        }
        current
    });
    if done {
        log::info!("event=team_recovered team={name} epoch={epoch} tasks={found}");
        node.work_available.notify_one();
    } else {
        sleep(ASK_AGAIN).await;
    }
}

async fn ask_all(node: &Arc<Node>, team: &str, epoch: Epoch) -> Lists {
    let began = Instant::now();
    let (moved, offset, vms) = node.with(|shared| {
        let vms: Vec<VmKey> = shared.state.sessions.values().copied().collect();
        (shared.state.moved_offset, shared.state.offset, vms)
    });
    let asked = vms.into_iter().map(|vm| list(node, vm, team, epoch, offset));
    let mut complete = true;
    let mut lists = Vec::new();
    for answer in join_all(asked).await {
        match answer {
            Some((vm, known, whole)) => {
                complete &= whole;
                lists.push((vm, known));
            }
            None => complete = false,
        }
    }
    Lists { began, moved, complete, lists }
}

async fn list(
    node: &Node,
    vm: VmKey,
    team: &str,
    epoch: Epoch,
    offset: Offset,
) -> Option<(VmKey, Vec<ListedTask>, bool)> {
    if node.own_key() == Some(vm) {
        let now = Instant::now();
        let (known, whole) =
            node.with(|shared| owner::list_tasks(shared, team, epoch, offset, now));
        return Some((vm, known, whole));
    }
    let request = PeerRequest::List { team: team.to_owned(), epoch, offset };
    match node.request(vm, request, Instant::now() + LIST_TIMEOUT).await {
        Ok(PeerReply::Listed { tasks, complete }) => Some((vm, tasks, complete)),
        _ => None,
    }
}
