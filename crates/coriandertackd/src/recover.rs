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
        message::{Known, PeerReply, PeerRequest},
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
        let (teams, unsettled) =
            node.with(|inner| (inner.homes.to_recover(), inner.homes.unsettled(now)));
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
        node.with(|inner| inner.homes.postpone(lease, Instant::now() + LIST_TIMEOUT))
    }
}

/// What the owners said.
struct Lists {
    began: Instant,
    moved: Offset,
    complete: bool,
    lists: Vec<(VmKey, Vec<Known>)>,
}

async fn recover(node: &Arc<Node>, team: TeamKey, epoch: Epoch) {
    let Some(name) = node.with(|inner| inner.state.teams.get(team).map(|team| team.name.clone()))
    else {
        return;
    };
    let lists = ask_all(node, &name, epoch).await;
    let complete = lists.complete;
    let found: usize = lists.lists.iter().map(|(_, known)| known.len()).sum();
    let now = Instant::now();
    let done = node.with(|inner| {
        if inner.homes.epoch(team) != Some(epoch) || !inner.validity.holds(now) {
            return false;
        }
        for (vm, known) in &lists.lists {
            inner.homes.adopt(*vm, known, now);
        }
        let current = complete && inner.state.moved == lists.moved;
        if current {
            inner.homes.recovered(team, lists.began, now);
        }
        current
    });
    if done {
        log::info!("event=team_recovered team={name} epoch={epoch} tasks={found}");
        node.work.notify_one();
    } else {
        sleep(ASK_AGAIN).await;
    }
}

async fn ask_all(node: &Arc<Node>, team: &str, epoch: Epoch) -> Lists {
    let began = Instant::now();
    let (moved, offset, vms) = node.with(|inner| {
        let vms: Vec<VmKey> = inner.state.sessions.values().copied().collect();
        (inner.state.moved, inner.state.offset, vms)
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
) -> Option<(VmKey, Vec<Known>, bool)> {
    if node.me() == Some(vm) {
        let now = Instant::now();
        let (known, whole) = node.with(|inner| owner::list(inner, team, epoch, offset, now));
        return Some((vm, known, whole));
    }
    let request = PeerRequest::List { team: team.to_owned(), epoch, offset };
    match node.ask(vm, request, Instant::now() + LIST_TIMEOUT).await {
        Ok(PeerReply::Listed { tasks, complete }) => Some((vm, tasks, complete)),
        _ => None,
    }
}
