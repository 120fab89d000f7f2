//! Recovery of a team's running tasks from the lists of the owners.
//!
//! Each team that is being recovered has a task of its own. Tasks that no owner lists are queued again only if every
//! owner returned a complete list and no worker changed owners meanwhile.

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

/// Delay before the owners are asked again after a list was missing, incomplete or out of date.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// How long an owner may take to return its list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Teams whose recovery is in progress.
#[derive(Clone, Default)]
pub struct RecoveryTracker {
    teams: Arc<Mutex<HashSet<TeamKey>>>,
}

impl RecoveryTracker {
    /// Starts the recovery of each team that needs it and has none in progress, and settles leases of unknown outcome.
    pub fn start(&mut self, node: &Arc<Node>) {
        let now = Instant::now();
        let (teams, unsettled) = node.with(|shared| {
            (shared.team_queues.stale_teams(), shared.team_queues.unsettled_leases(now))
        });
        for (team, epoch) in teams {
            if !self.try_begin(team) {
                continue;
            }
            let (node, recovering) = (Arc::clone(node), self.clone());
            tokio::spawn(async move {
                recover_team(&node, team, epoch).await;
                recovering.finish(team);
            });
        }
        for (vm, lease) in unsettled {
            // One request per lease suffices: unsettled leases are rare, because they need a lost reply.
            if self.try_settle(node, lease) {
                tokio::spawn(dispatch::settle(Arc::clone(node), vm, vec![lease]));
            }
        }
    }

    fn try_begin(&self, team: TeamKey) -> bool {
        self.teams.lock().unwrap_or_else(PoisonError::into_inner).insert(team)
    }

    fn finish(&self, team: TeamKey) {
        self.teams.lock().unwrap_or_else(PoisonError::into_inner).remove(&team);
    }

    /// Postpones the next attempt to settle a lease. Returns whether the lease is still unsettled.
    fn try_settle(&self, node: &Node, lease: LeaseId) -> bool {
        node.with(|shared| shared.team_queues.postpone(lease, Instant::now() + LIST_TIMEOUT))
    }
}

/// The answers of the owners to one round of list requests.
struct OwnerLists {
    started_at: Instant,
    ownership_offset: Offset,
    complete: bool,
    lists: Vec<(VmKey, Vec<ListedTask>)>,
}

async fn recover_team(node: &Arc<Node>, team: TeamKey, epoch: Epoch) {
    let Some(name) = node.with(|shared| shared.state.teams.get(team).map(|team| team.name.clone()))
    else {
        return;
    };
    let lists = request_lists(node, &name, epoch).await;
    let complete = lists.complete;
    let found: usize = lists.lists.iter().map(|(_, tasks)| tasks.len()).sum();
    let now = Instant::now();
    let done = node.with(|shared| {
        if shared.team_queues.epoch(team) != Some(epoch) || !shared.validity.is_valid(now) {
            return false;
        }
        for (vm, tasks) in &lists.lists {
            shared.team_queues.adopt(*vm, tasks, now);
        }
        let current = complete && shared.state.ownership_offset == lists.ownership_offset;
        if current {
            shared.team_queues.finish_recovery(team, lists.started_at, now);
        }
        current
    });
    if done {
        log::info!("event=team_recovered team={name} epoch={epoch} tasks={found}");
        node.work_available.notify_one();
    } else {
        sleep(RETRY_DELAY).await;
    }
}

async fn request_lists(node: &Arc<Node>, team: &str, epoch: Epoch) -> OwnerLists {
    let started_at = Instant::now();
    let (ownership_offset, offset, vms) = node.with(|shared| {
        let vms: Vec<VmKey> = shared.state.sessions.values().copied().collect();
        (shared.state.ownership_offset, shared.state.offset, vms)
    });
    let requests = vms.into_iter().map(|vm| request_list(node, vm, team, epoch, offset));
    let mut complete = true;
    let mut lists = Vec::new();
    for answer in join_all(requests).await {
        match answer {
            Some((vm, tasks, is_complete)) => {
                complete &= is_complete;
                lists.push((vm, tasks));
            }
            None => complete = false,
        }
    }
    OwnerLists { started_at, ownership_offset, complete, lists }
}

async fn request_list(
    node: &Node,
    vm: VmKey,
    team: &str,
    epoch: Epoch,
    offset: Offset,
) -> Option<(VmKey, Vec<ListedTask>, bool)> {
    if node.own_key() == Some(vm) {
        let now = Instant::now();
        let (tasks, is_complete) =
            node.with(|shared| owner::list_tasks(shared, team, epoch, offset, now));
        return Some((vm, tasks, is_complete));
    }
    let request = PeerRequest::List { team: team.to_owned(), epoch, offset };
    match node.request(vm, request, Instant::now() + LIST_TIMEOUT).await {
        Ok(PeerReply::Listed { tasks, complete }) => Some((vm, tasks, complete)),
        _ => None,
    }
}
