//! Membership, and the assignment of workers to owners and of teams to homes.
//!
//! Each membership record makes [`State::rebalance`] recompute the owner of each worker and the home of
//! each team, with as few moves as possible. The epoch of a move is the offset of the record that caused
//! it. Unless the former holder gave up its holdings itself, the new holder waits for [`HOLD_OFF`]; see
//! docs/design.md, section 3.1.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::{
    code::Code,
    keys::{Epoch, Incarnation, Offset, Session, TeamKey, VmKey, WorkerKey},
    record::{Presence, VmInfo, WorkerInfo},
    state::{ApplyEffect, ApplyResult, State, Vm, Worker},
    validity::{HOLD_OFF, LEASE_TERM},
};

/// Ended runs that are remembered, so that a late copy of one of their batches is ignored: seven weeks at
/// the target load of 199 ended sessions a day. No copy stays in transit for that long.
const MAX_ENDED_AUTHORS: usize = 10_000;

/// Assignment of a worker or a team to a VM.
#[derive(Clone, Copy, Debug)]
pub struct Ownership {
    /// VM that holds the worker or team, or `None` if it is unassigned.
    pub vm: Option<VmKey>,
    /// Offset of the record that made `vm` the holder.
    pub epoch: Epoch,
    /// Local time before which the holder must not act on the worker or team.
    pub ready_at: Instant,
}

impl Ownership {
    /// Returns an ownership without a holder, which can be assigned without a hold-off.
    #[must_use]
    pub fn vacant(now: Instant) -> Self {
        Self { vm: None, epoch: Epoch(0), ready_at: now }
    }

    /// Returns whether `vm` is the holder and its hold-off is over.
    #[must_use]
    pub fn is_ready(&self, vm: VmKey, now: Instant) -> bool {
        self.vm == Some(vm) && now >= self.ready_at
    }

    /// Assigns the ownership to `vm`. An earlier hold-off that is still running stays in force, because the
    /// holder before the last one may still be valid.
    fn assign(&mut self, vm: VmKey, epoch: Epoch, ready_at: Instant) {
        self.vm = Some(vm);
        self.epoch = epoch;
        self.ready_at = self.ready_at.max(ready_at);
    }
}

/// Number of workers or teams that a member holds.
#[derive(Clone, Copy)]
struct MemberLoad<'a> {
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
        if let Some(older) = self.session_by_name(&join.name) {
            // The process of the older session may still be running, so its holdings get a hold-off.
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

    fn session_by_name(&self, name: &str) -> Option<Session> {
        self.vms.values().find(|vm| vm.info.name == name).map(|vm| vm.session)
    }

    /// Removes a member. Its former holdings become usable at `ready_at`.
    fn end_session(&mut self, session: Session, ready_at: Instant) {
        let Some(key) = self.sessions.remove(&session) else {
            return;
        };
        let Some(vm) = self.vms.remove(key) else {
            return;
        };
        if let Some(author) = self.authors.get_mut(&vm.author) {
            author.ended = true;
            self.ended_authors.push_back(vm.author);
        }
        if self.ended_authors.len() > MAX_ENDED_AUTHORS {
            let oldest = self.ended_authors.pop_front();
            oldest.and_then(|author| self.authors.remove(&author));
        }
        let owners = self.workers.values_mut().map(|worker| &mut worker.owner);
        let team_queues = self.teams.values_mut().map(|team| &mut team.home);
        for ownership in owners.chain(team_queues).filter(|ownership| ownership.vm == Some(key)) {
            ownership.vm = None;
            ownership.ready_at = ownership.ready_at.max(ready_at);
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
                // The VM list may be wrong, and the owner may have renewed a lease just before this record.
                self.departed_workers.insert(name.clone(), now + LEASE_TERM + HOLD_OFF);
            }
        }
        self.rebalance(offset, now + HOLD_OFF);
        Ok(ApplyEffect::Done)
    }

    /// Assigns an owner to every worker and a home to every team, with as few moves as possible.
    ///
    /// What is moved from a live holder becomes usable at `hold_off_end`.
    pub(super) fn rebalance(&mut self, offset: Offset, hold_off_end: Instant) {
        self.ownership_offset = offset;
        if self.sessions.is_empty() {
            return;
        }
        let epoch = Epoch(offset.0);
        for (key, vm) in self.plan_worker_moves() {
            assign(&mut self.workers[key].owner, vm, epoch, hold_off_end);
        }
        for (key, vm) in self.plan_team_moves() {
            assign(&mut self.teams[key].home, vm, epoch, hold_off_end);
        }
    }

    fn loads(&self) -> Vec<MemberLoad<'_>> {
        let members = self.sessions.values();
        members.map(|&vm| MemberLoad { vm, zone: &self.vms[vm].info.zone, held: 0 }).collect()
    }

    fn plan_worker_moves(&self) -> Vec<(WorkerKey, VmKey)> {
        let ownerships = self.worker_names.values().map(|&key| {
            let worker = &self.workers[key];
            (key, worker.owner.vm, worker.info.zone.as_str())
        });
        plan_moves(self.loads(), ownerships.collect())
    }

    fn plan_team_moves(&self) -> Vec<(TeamKey, VmKey)> {
        let ownerships = self.team_names.values().map(|&key| (key, self.teams[key].home.vm, ""));
        plan_moves(self.loads(), ownerships.collect())
    }

    /// Returns the workers that `vm` owns, ordered by name.
    pub fn workers_owned_by(&self, vm: VmKey) -> impl Iterator<Item = WorkerKey> + '_ {
        let is_owned = move |key: &WorkerKey| self.workers[*key].owner.vm == Some(vm);
        self.worker_names.values().copied().filter(is_owned)
    }

    /// Returns whether a worker accepts new work: it is live and not cordoned.
    #[must_use]
    pub fn takes_work(&self, worker: WorkerKey) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|worker| !worker.cordoned && worker.info.presence == Presence::Live)
    }
}

fn assign(ownership: &mut Ownership, vm: VmKey, epoch: Epoch, hold_off_end: Instant) {
    // An unassigned worker or team already carries the time at which it becomes usable.
    let ready_at = if ownership.vm.is_some() { hold_off_end } else { ownership.ready_at };
    ownership.assign(vm, epoch, ready_at);
}

/// Computes the moves that balance `ownerships` over `loads`.
///
/// Unassigned workers and teams go to the least loaded member, or to one in the same zone if that holds at
/// most one more. Then workers or teams move one by one from the most to the least loaded member, until their counts
/// differ by at most one. Ties go to the older session and the lower name, so that all VMs agree.
fn plan_moves<K: Copy + Ord>(
    mut loads: Vec<MemberLoad<'_>>,
    ownerships: Vec<(K, Option<VmKey>, &str)>,
) -> Vec<(K, VmKey)> {
    let mut held: Vec<Vec<K>> = vec![Vec::new(); loads.len()];
    let mut vacant = Vec::new();
    for (key, vm, zone) in ownerships {
        match loads.iter().position(|load| Some(load.vm) == vm) {
            Some(index) => {
                loads[index].held += 1;
                held[index].push(key);
            }
            None => vacant.push((key, zone)),
        }
    }
    let mut moves = BTreeMap::new();
    for (key, zone) in vacant {
        let index = least_loaded_for(&loads, zone);
        loads[index].held += 1;
        held[index].push(key);
        moves.insert(key, loads[index].vm);
    }
    while let Some((from, to)) = imbalanced_pair(&loads) {
        let Some(key) = held[from].pop() else { break };
        loads[from].held -= 1;
        loads[to].held += 1;
        held[to].push(key);
        moves.insert(key, loads[to].vm);
    }
    moves.into_iter().collect()
}

fn least_loaded_for(loads: &[MemberLoad<'_>], zone: &str) -> usize {
    let least = loads.iter().map(|load| load.held).min().unwrap_or(0);
    let is_nearby = |load: &MemberLoad<'_>| load.zone == zone && load.held <= least + 1;
    let rank = |index: &usize| (!is_nearby(&loads[*index]), loads[*index].held, *index);
    (0..loads.len()).min_by_key(rank).unwrap_or(0)
}

/// Returns the most and the least loaded members if their counts differ by more than one.
fn imbalanced_pair(loads: &[MemberLoad<'_>]) -> Option<(usize, usize)> {
    let most = (0..loads.len()).max_by_key(|&index| (loads[index].held, loads.len() - index))?;
    let least = (0..loads.len()).min_by_key(|&index| (loads[index].held, index))?;
    (loads[most].held > loads[least].held + 1).then_some((most, least))
}
