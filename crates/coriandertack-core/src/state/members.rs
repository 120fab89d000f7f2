//! Membership and the tables of owners and homes.
//!
//! Each membership record makes [`State::rebalance`] recompute who owns each worker and who is the
//! home of each team, with as few moves as possible. A move names the offset of its record as the
//! epoch. Unless the former holder released it itself, the new holder waits for
//! [`HOLD_OFF`]; see docs/design.md, section 3.1.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::{
    code::Code,
    keys::{Epoch, Incarnation, Offset, Session, TeamKey, VmKey, WorkerKey},
    record::{Presence, VmInfo, WorkerInfo},
    state::{ApplyEffect, ApplyResult, State, Vm, Worker},
    validity::{HOLD_OFF, LEASE_TERM},
};

/// Ended runs that are remembered, so that a late copy of their batches does not count: seven weeks at the
/// 199 ends a day of the target. No copy is under way for that long.
const MAX_PAST: usize = 10_000;

/// Which VM holds a worker or a team, since when, and from when on it may act.
#[derive(Clone, Copy, Debug)]
pub struct Ownership {
    /// The holder.
    pub vm: Option<VmKey>,
    /// Offset of the record that made it the holder.
    pub epoch: Epoch,
    /// Local time before which the holder must not act.
    pub ready_at: Instant,
}

impl Ownership {
    /// Returns a holding without a holder, free to be taken at once.
    #[must_use]
    pub fn vacant(now: Instant) -> Self {
        Self { vm: None, epoch: Epoch(0), ready_at: now }
    }

    /// Tells whether `vm` holds it and the hold-off is over.
    #[must_use]
    pub fn is_ready(&self, vm: VmKey, now: Instant) -> bool {
        self.vm == Some(vm) && now >= self.ready_at
    }

    /// Gives it to `vm`. An earlier hold-off that is still running stays in force, because the
    /// holder before the last one may still be valid.
    fn give(&mut self, vm: VmKey, epoch: Epoch, ready: Instant) {
        self.vm = Some(vm);
        self.epoch = epoch;
        self.ready_at = self.ready_at.max(ready);
    }
}

/// A member that holds workers or teams, with the number that it holds.
#[derive(Clone, Copy)]
struct Load<'a> {
    vm: VmKey,
    zone: &'a str,
    held: usize,
}

impl State {
    pub(super) fn join(
        &mut self,
        author: Incarnation,
        join: &VmInfo,
        offset: Offset,
        now: Instant,
    ) -> ApplyResult {
        let session = Session(offset.0);
        if let Some(older) = self.session_named(&join.name) {
            // The process behind the older session may still run, so its holdings wait.
            self.end_session(older, now + HOLD_OFF);
        }
        let vm = self.vms.insert(Vm { session, author, info: join.clone() });
        self.sessions.insert(session, vm);
        if let Some(author) = self.authors.get_mut(&author) {
            author.session = Some(session);
        }
        self.rebalance(offset, now + HOLD_OFF);
        Ok(ApplyEffect::Session(session))
    }

    pub(super) fn leave(
        &mut self,
        author: Incarnation,
        offset: Offset,
        now: Instant,
    ) -> ApplyResult {
        let vm = self.vm_of(author).ok_or(Code::Fenced)?;
        let session = self.vms[vm].session;
        self.end_session(session, now);
        self.rebalance(offset, now + HOLD_OFF);
        Ok(ApplyEffect::Done)
    }

    pub(super) fn fence(&mut self, session: Session, offset: Offset, now: Instant) -> ApplyResult {
        if !self.sessions.contains_key(&session) {
            return Ok(ApplyEffect::Unchanged);
        }
        self.end_session(session, now + HOLD_OFF);
        self.rebalance(offset, now + HOLD_OFF);
        Ok(ApplyEffect::Done)
    }

    fn session_named(&self, name: &str) -> Option<Session> {
        self.vms.values().find(|vm| vm.info.name == name).map(|vm| vm.session)
    }

    /// Removes a member; what it held can be used from `ready` on.
    fn end_session(&mut self, session: Session, ready: Instant) {
        let Some(key) = self.sessions.remove(&session) else {
            return;
        };
        let Some(vm) = self.vms.remove(key) else {
            return;
        };
        if let Some(author) = self.authors.get_mut(&vm.author) {
            author.ended = true;
            self.past.push_back(vm.author);
        }
        if self.past.len() > MAX_PAST {
            let oldest = self.past.pop_front();
            oldest.and_then(|author| self.authors.remove(&author));
        }
        let owners = self.workers.values_mut().map(|worker| &mut worker.owner);
        let team_queues = self.teams.values_mut().map(|team| &mut team.home);
        for ownership in owners.chain(team_queues).filter(|ownership| ownership.vm == Some(key)) {
            ownership.vm = None;
            ownership.ready_at = ownership.ready_at.max(ready);
        }
    }

    pub(super) fn observe_workers(
        &mut self,
        infos: &[WorkerInfo],
        offset: Offset,
        now: Instant,
    ) -> ApplyResult {
        for info in infos {
            match self.worker_names.get(&info.name) {
                Some(&key) => self.workers[key].info = info.clone(),
                None => {
                    let owner = Ownership::vacant(now);
                    let worker = Worker { info: info.clone(), cordoned: false, owner };
                    let key = self.workers.insert(worker);
                    self.worker_names.insert(info.name.clone(), key);
                }
            }
        }
        self.rebalance(offset, now + HOLD_OFF);
        Ok(ApplyEffect::Done)
    }

    pub(super) fn remove_workers(
        &mut self,
        names: &[String],
        offset: Offset,
        now: Instant,
    ) -> ApplyResult {
        self.departed_workers.retain(|_, until| *until > now);
        for name in names {
            if let Some(key) = self.worker_names.remove(name) {
                self.workers.remove(key);
                // The list may be wrong, and the owner may have renewed a moment ago.
                self.departed_workers.insert(name.clone(), now + LEASE_TERM + HOLD_OFF);
            }
        }
        self.rebalance(offset, now + HOLD_OFF);
        Ok(ApplyEffect::Done)
    }

    /// Gives every worker an owner and every team a home, with the fewest moves.
    ///
    /// What is moved from a live holder can be used from `moved` on.
    pub(super) fn rebalance(&mut self, offset: Offset, moved: Instant) {
        self.moved_offset = offset;
        if self.sessions.is_empty() {
            return;
        }
        let epoch = Epoch(offset.0);
        for (key, vm) in self.plan_workers() {
            give(&mut self.workers[key].owner, vm, epoch, moved);
        }
        for (key, vm) in self.plan_teams() {
            give(&mut self.teams[key].home, vm, epoch, moved);
        }
    }

    fn loads(&self) -> Vec<Load<'_>> {
        let members = self.sessions.values();
        members.map(|&vm| Load { vm, zone: &self.vms[vm].info.zone, held: 0 }).collect()
    }

    fn plan_workers(&self) -> Vec<(WorkerKey, VmKey)> {
        let ownerships = self.worker_names.values().map(|&key| {
            let worker = &self.workers[key];
            (key, worker.owner.vm, worker.info.zone.as_str())
        });
        plan(self.loads(), ownerships.collect())
    }

    fn plan_teams(&self) -> Vec<(TeamKey, VmKey)> {
        let ownerships = self.team_names.values().map(|&key| (key, self.teams[key].home.vm, ""));
        plan(self.loads(), ownerships.collect())
    }

    /// Returns the workers that take new work and that `vm` owns, in the order of their names.
    pub fn workers_owned_by(&self, vm: VmKey) -> impl Iterator<Item = WorkerKey> + '_ {
        let owned = move |key: &WorkerKey| self.workers[*key].owner.vm == Some(vm);
        self.worker_names.values().copied().filter(owned)
    }

    /// Tells whether a worker takes new work.
    #[must_use]
    pub fn takes_work(&self, worker: WorkerKey) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|worker| !worker.cordoned && worker.info.presence == Presence::Live)
    }
}

fn give(ownership: &mut Ownership, vm: VmKey, epoch: Epoch, moved: Instant) {
    // A vacant holding already carries the time from which it can be used.
    let ready = if ownership.vm.is_some() { moved } else { ownership.ready_at };
    ownership.give(vm, epoch, ready);
}

/// Computes the moves that spread `ownerships` evenly over `loads`.
///
/// Vacant holdings go to the least loaded member, of the same zone if it is no worse than one above
/// the least load. Then single moves go from the most to the least loaded until they differ by at most
/// one. Ties go to the older session and the lower name, so that all VMs agree.
fn plan<K: Copy + Ord>(
    mut loads: Vec<Load<'_>>,
    ownerships: Vec<(K, Option<VmKey>, &str)>,
) -> Vec<(K, VmKey)> {
    let mut held: Vec<Vec<K>> = vec![Vec::new(); loads.len()];
    let mut vacant = Vec::new();
    for (key, vm, zone) in ownerships {
        match loads.iter().position(|load| Some(load.vm) == vm) {
            Some(at) => {
                loads[at].held += 1;
                held[at].push(key);
            }
            None => vacant.push((key, zone)),
        }
    }
    let mut moves = BTreeMap::new();
    for (key, zone) in vacant {
        let at = least_loaded(&loads, zone);
        loads[at].held += 1;
        held[at].push(key);
        moves.insert(key, loads[at].vm);
    }
    while let Some((from, to)) = uneven(&loads) {
        let Some(key) = held[from].pop() else { break };
        loads[from].held -= 1;
        loads[to].held += 1;
        held[to].push(key);
        moves.insert(key, loads[to].vm);
    }
    moves.into_iter().collect()
}

fn least_loaded(loads: &[Load<'_>], zone: &str) -> usize {
    let least = loads.iter().map(|load| load.held).min().unwrap_or(0);
    let near = |load: &Load<'_>| load.zone == zone && load.held <= least + 1;
    let rank = |at: &usize| (!near(&loads[*at]), loads[*at].held, *at);
    (0..loads.len()).min_by_key(rank).unwrap_or(0)
}

/// Returns the most and the least loaded members if they differ by more than one.
fn uneven(loads: &[Load<'_>]) -> Option<(usize, usize)> {
    let most = (0..loads.len()).max_by_key(|&at| (loads[at].held, loads.len() - at))?;
    let least = (0..loads.len()).min_by_key(|&at| (loads[at].held, at))?;
    (loads[most].held > loads[least].held + 1).then_some((most, least))
}
