//! Binding of waiting tasks to workers.
//!
//! Steps are served in the order of the queue. A task goes to the worker that it leaves the least room on, so that
//! room for large tasks stays together; tasks that last are spread. A gang is bound as a whole or not at all. Room that a
//! step waits for, because a call for its tickets is under way or because its gang is not whole yet, is taken off the
//! headroom for the steps behind it.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    sync::Arc,
};

use {coriandertack_core::resources::Resources, slotmap::SecondaryMap};

use super::{
    Place, Rank, Scheduler, StartCommand, URGENT_PRIORITY, Worker, WorkerCommand, WorkerKey,
    queue::Urgency, worker::Run,
};

use crate::{
    boot_time::BootTime,
    config::Route,
    ids::{StepId, TaskId},
    spec::StepSpec,
};

/// Time after which a gang that finds no room reserves workers, in milliseconds.
const RESERVE_AFTER_MS: u64 = 300;

/// How far ahead the room of a worker is predicted for a reservation, in milliseconds.
const SOON_MS: u64 = 1_500;

/// Share of a service's workers that gangs may reserve together, as a divisor.
const RESERVE_DIVISOR: usize = 2;

/// Result of a pass over the queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PassResult {
    /// Tasks that were bound.
    pub bound: u32,
    /// When the next pass is due even if nothing changes.
    pub retry_at: Option<BootTime>,
}

/// Room of the open workers during one pass, as the steps that are still to come may use it.
#[derive(Debug, Default)]
pub(super) struct Headroom {
    free: SecondaryMap<WorkerKey, Resources>,
    reserved: HashSet<WorkerKey>,
}

impl Headroom {
    /// Returns what a worker has left.
    pub(super) fn free(&self, key: WorkerKey) -> Resources {
        self.free.get(key).copied().unwrap_or(Resources::ZERO)
    }

    /// Returns the open workers that have anything left.
    pub(super) fn workers(&self) -> impl Iterator<Item = (WorkerKey, Resources)> + '_ {
        self.free.iter().map(|(key, free)| (key, *free))
    }

    /// Takes room away from the steps that are still to come.
    pub(super) fn take(&mut self, key: WorkerKey, amount: Resources) {
        if let Some(free) = self.free.get_mut(key) {
            *free = free.saturating_sub(amount);
        }
    }

    fn reserve(&mut self, key: WorkerKey) {
        self.free.remove(key);
        self.reserved.insert(key);
    }
}

impl Scheduler {
    /// Binds what waits and asks for the advice that is missing.
    pub fn place(&mut self, now: BootTime) -> PassResult {
        self.pass(true, now)
    }

    /// Asks for the advice that is missing and binds nothing. It serves while a record is under way: what is bound
    /// meanwhile would only wait for the next one, with tickets that grow old.
    pub fn request_advice(&mut self, now: BootTime) -> PassResult {
        self.pass(false, now)
    }

    /// Notes how long starts wait for their record, in milliseconds.
    pub fn set_record_delay(&mut self, record_ms: u64) {
        self.record_ms = record_ms;
    }

    fn pass(&mut self, binds: bool, now: BootTime) -> PassResult {
        let queued = self.ranked(now);
        let mut pass = PassResult::default();
        let mut headroom = self.headroom(now);
        for id in queued {
            let placed = self.place_step(id, &mut headroom, binds, now);
            if binds {
                pass.bound += placed;
            } else if self.step(id).is_some_and(|(_, _, step)| placed >= step.waiting) {
                continue;
            }
            let again = self.ask_for_step(id, &mut headroom, now);
            pass.retry_at = match (pass.retry_at, again) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            };
        }
        self.reserved = headroom.reserved;
        pass
    }

    /// Returns the queue in the order of this moment.
    fn ranked(&self, now: BootTime) -> Vec<StepId> {
        let ranked = self.queue.iter().map(|&(rank, id)| (self.urgency(id, now), rank, id));
        let mut queued: Vec<(Urgency, Rank, StepId)> = ranked.collect();
        queued.sort_unstable();
        queued.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Returns the room of the open workers.
    fn headroom(&self, now: BootTime) -> Headroom {
        let open = self.workers.iter().filter(|(_, worker)| worker.is_open(now));
        let free = open.map(|(key, worker)| (key, worker.free()));
        Headroom {
            free: free.filter(|(_, free)| *free != Resources::ZERO).collect(),
            ..Headroom::default()
        }
    }

    /// Takes room for the tasks of a step that find some, and returns their number. They are bound if `binds`.
    fn place_step(
        &mut self,
        id: StepId,
        headroom: &mut Headroom,
        binds: bool,
        now: BootTime,
    ) -> u32 {
        let Some((job, spec, _)) = self.step(id) else {
            self.queue.retain(|(_, known)| *known != id);
            return 0;
        };
        let route = self.route_of(job);
        let (gang, charge, payload) = (spec.gang, spec.capacity_charge(), job.spec.payload.clone());
        let candidates = self.candidates(id, &route, headroom, now);
        if candidates.is_empty() {
            return 0;
        }
        let chosen = match gang {
            true => self.choose_gang(id, candidates),
            false => self.choose_each(id, candidates, headroom),
        };
        let attempt = gang.then(|| self.next_attempt(id));
        let bound = chosen.len() as u32;
        for (index, worker) in chosen {
            let StepId { job, occurrence, step } = id;
            if binds {
                self.bind(TaskId { job, occurrence, step, index }, worker, attempt, &payload, now);
            }
            headroom.take(worker, charge);
        }
        if self.step(id).is_some_and(|(_, _, step)| step.waiting == 0) {
            self.dequeue(id);
        }
        bound
    }

    /// Asks for the advice that a step still needs, and keeps the room that it waits for.
    fn ask_for_step(
        &mut self,
        id: StepId,
        headroom: &mut Headroom,
        now: BootTime,
    ) -> Option<BootTime> {
        let (job, spec, step) = self.step(id)?;
        step.queued?;
        let route = self.route_of(job);
        let (gang, waiting_ms) = (spec.gang, now.ms_since(step.ready));
        let again =
            route.advice.and_then(|policy| self.ask_advice(id, &route, policy, headroom, now));
        self.keep_claims(id, headroom, now);
        if gang && waiting_ms > RESERVE_AFTER_MS {
            self.reserve(id, &route, headroom, now);
        }
        again
    }

    /// Tells whether a worker may run a step's tasks at all, its room aside.
    pub(super) fn suits(&self, worker: &Worker, spec: &StepSpec, service: &str) -> bool {
        let of_service = worker.entry.as_ref().is_some_and(|entry| &*entry.service == service);
        of_service
            && worker.is_compatible(spec)
            && spec.label.as_ref().is_none_or(|label| worker.has_label(label))
    }

    /// Returns the workers that may run a step now, with the number of its tasks that fit on each.
    fn candidates(
        &self,
        id: StepId,
        route: &Route,
        headroom: &Headroom,
        now: BootTime,
    ) -> Vec<(WorkerKey, u32)> {
        let Some((_, spec, step)) = self.step(id) else { return Vec::new() };
        let charge = spec.capacity_charge();
        let spread = self.spread(id);
        let excluded = self.excluded(id, &route.service, now);
        let fits = |(key, free): (WorkerKey, Resources)| {
            let mut room = charge.count_in(free);
            if spec.spread > 0 {
                let there = spread.get(&key).copied().unwrap_or(0);
                room = room.min(spec.spread.saturating_sub(there));
            }
            let suits = room > 0 && self.suits(self.workers.get(key)?, spec, &route.service);
            (suits && !excluded.contains(&key)).then_some((key, room))
        };
        match route.advice {
            Some(policy) => {
                let valid = step.advice.valid_tickets(self.started_by(policy, now));
                valid
                    .map(|ticket| (ticket.worker, headroom.free(ticket.worker)))
                    .filter_map(fits)
                    .collect()
            }
            None => headroom.workers().filter_map(fits).collect(),
        }
    }

    /// Returns the workers that a step avoids because its tasks failed there, as long as there are others.
    pub(super) fn excluded(&self, id: StepId, service: &str, now: BootTime) -> Vec<WorkerKey> {
        let Some((_, spec, step)) = self.step(id) else { return Vec::new() };
        let fresh = step.excluded.iter().filter(|(_, until)| *until > now);
        let excluded: Vec<WorkerKey> = fresh.map(|(key, _)| *key).collect();
        let other = |(key, worker): (WorkerKey, &Worker)| {
            let capacity = worker.entry.as_ref().map_or(Resources::ZERO, |entry| entry.capacity);
            let fits = spec.capacity_charge().count_in(capacity) > 0 && !excluded.contains(&key);
            fits && worker.is_open(now) && self.suits(worker, spec, service)
        };
        if excluded.is_empty() || self.workers.iter().any(other) { excluded } else { Vec::new() }
    }

    /// Counts the runs of a step that limits them on each worker.
    fn spread(&self, id: StepId) -> HashMap<WorkerKey, u32> {
        let mut spread = HashMap::new();
        if self.step(id).is_none_or(|(_, spec, _)| spec.spread == 0) {
            return spread;
        }
        for (key, worker) in &self.workers {
            let there = worker.runs.keys().filter(|(task, _)| task.step_id() == id).count();
            if there > 0 {
                spread.insert(key, there as u32);
            }
        }
        spread
    }

    /// Chooses a worker for each waiting task of a step, as far as there is room.
    fn choose_each(
        &self,
        id: StepId,
        mut candidates: Vec<(WorkerKey, u32)>,
        headroom: &Headroom,
    ) -> Vec<(u32, WorkerKey)> {
        let Some((job, spec, step)) = self.step(id) else { return Vec::new() };
        let urgent = self.route_of(job).priority == URGENT_PRIORITY;
        let charge = spec.capacity_charge();
        let mut taken: HashMap<WorkerKey, u32> = HashMap::new();
        let mut chosen = Vec::new();
        for (index, task) in step.tasks.iter().enumerate() {
            if task.place != Place::Waiting {
                continue;
            }
            let best = candidates.iter().enumerate().filter(|(_, (_, room))| *room > 0);
            let best = best.min_by_key(|(_, (key, _))| {
                let extra = charge.checked_mul(taken.get(key).copied().unwrap_or(0) + 1);
                let left = headroom.free(*key).saturating_sub(extra.unwrap_or(charge));
                self.preference(*key, spec, urgent, left)
            });
            let Some((position, &(key, room))) = best else { break };
            candidates[position].1 = room - 1;
            *taken.entry(key).or_default() += 1;
            chosen.push((index as u32, key));
        }
        chosen
    }

    /// Orders workers for one task: data on the rack first, then those that no gang reserved, then those of the right
    /// speed, then by what the task would leave: the least room, or the most for tasks that last.
    fn preference(
        &self,
        key: WorkerKey,
        spec: &StepSpec,
        urgent: bool,
        left: Resources,
    ) -> (bool, bool, bool, u64) {
        let Some(worker) = self.workers.get(key) else { return (true, true, true, u64::MAX) };
        // A gang waits until a reserved worker is empty; other work goes elsewhere if it can.
        let reserved = !spec.gang && self.reserved.contains(&key);
        let remote = spec.data_rack.as_ref().is_some_and(|rack| !worker.has_label(rack));
        let capacity = worker.entry.as_ref().map_or(Resources::ZERO, |entry| entry.capacity);
        let share = (left.dominant_share(capacity) * 1_000_000.0) as u64;
        let mismatch = self.mismatches(key, spec, urgent);
        (remote, reserved, mismatch, if spec.lasting { u64::MAX - share } else { share })
    }

    /// Chooses workers for all tasks of a gang, or none.
    fn choose_gang(
        &self,
        id: StepId,
        mut candidates: Vec<(WorkerKey, u32)>,
    ) -> Vec<(u32, WorkerKey)> {
        let Some((_, spec, step)) = self.step(id) else { return Vec::new() };
        if candidates.iter().map(|(_, room)| room).sum::<u32>() < step.waiting {
            return Vec::new();
        }
        if spec.same_rack
            && let Some(rack) = self.rack_with_room(&candidates, step.waiting)
        {
            candidates.retain(|(key, _)| self.rack(*key).as_deref() == Some(&*rack));
        }
        candidates.sort_by_key(|&(key, room)| {
            let remote = self.preference(key, spec, false, Resources::ZERO).0;
            (remote, self.mismatches(key, spec, false), Reverse(room))
        });
        let mut slots =
            candidates.into_iter().flat_map(|(key, room)| std::iter::repeat_n(key, room as usize));
        let waiting = step.tasks.iter().enumerate();
        waiting
            .filter(|(_, task)| task.place == Place::Waiting)
            .filter_map(|(index, _)| slots.next().map(|key| (index as u32, key)))
            .collect()
    }

    /// Returns the rack of a worker: its second label (PROTOCOL, Running tasks: kind and rack).
    fn rack(&self, key: WorkerKey) -> Option<Arc<str>> {
        self.workers.get(key)?.entry.as_ref()?.labels.get(1).cloned()
    }

    /// Returns the rack with the least room that holds a whole gang.
    fn rack_with_room(&self, candidates: &[(WorkerKey, u32)], count: u32) -> Option<Arc<str>> {
        let mut racks: HashMap<Arc<str>, u32> = HashMap::new();
        for &(key, room) in candidates {
            if let Some(rack) = self.rack(key) {
                *racks.entry(rack).or_default() += room;
            }
        }
        let fitting = racks.into_iter().filter(|&(_, room)| room >= count);
        fitting.min_by_key(|(name, room)| (*room, name.clone())).map(|(rack, _)| rack)
    }

    /// Reserves workers for a waiting gang. The choice is kept until the gang starts, so that they do become empty.
    fn reserve(&mut self, id: StepId, route: &Route, headroom: &mut Headroom, now: BootTime) {
        let Some((_, spec, step)) = self.step(id) else { return };
        let charge = spec.capacity_charge();
        let most = self.workers.len() / RESERVE_DIVISOR;
        let slots = |key: &WorkerKey| {
            let worker = self.workers.get(*key)?;
            let allowed = route.advice.is_none() || step.advice.allows(*key);
            let usable = allowed && !headroom.reserved.contains(key) && worker.is_open(now);
            let whole = worker.entry.as_ref().map_or(Resources::ZERO, |entry| entry.capacity);
            (usable && self.suits(worker, spec, &route.service)).then(|| charge.count_in(whole))
        };
        let kept: u32 = step.reserved.iter().filter_map(slots).sum();
        let chosen = match kept >= step.waiting {
            true => step.reserved.clone(),
            false => self.choose_reserved(charge, step.waiting, slots, now),
        };
        if chosen.is_empty() || headroom.reserved.len() + chosen.len() > most {
            return;
        }
        chosen.iter().for_each(|key| headroom.reserve(*key));
        if let Some(step) = self.step_mut(id) {
            step.reserved = chosen;
        }
    }

    /// Chooses the workers that should soon have the most room, enough to hold `count` tasks when they are empty.
    fn choose_reserved(
        &self,
        charge: Resources,
        count: u32,
        slots: impl Fn(&WorkerKey) -> Option<u32>,
        now: BootTime,
    ) -> Vec<WorkerKey> {
        let mut possible: Vec<(bool, Reverse<u32>, u32, WorkerKey)> = self
            .workers
            .iter()
            .filter_map(|(key, worker)| {
                let slots = slots(&key).filter(|slots| *slots > 0)?;
                let soon = charge.count_in(worker.free_soon(SOON_MS, now));
                Some((worker.speed.is_slow(), Reverse(soon), slots, key))
            })
            .collect();
        possible.sort_unstable();
        let mut room = 0;
        let mut chosen = Vec::new();
        for (_, _, slots, key) in possible {
            if room >= count {
                break;
            }
            room += slots;
            chosen.push(key);
        }
        if room >= count { chosen } else { Vec::new() }
    }

    /// Returns the next attempt of a gang, which is the same for all members.
    fn next_attempt(&self, id: StepId) -> u32 {
        let step = self.step(id).map(|(_, _, step)| step);
        step.map_or(1, |step| step.tasks.iter().map(|task| task.attempt).max().unwrap_or(0) + 1)
    }

    /// Binds a task to a worker and prepares its start.
    fn bind(
        &mut self,
        task: TaskId,
        worker: WorkerKey,
        gang_attempt: Option<u32>,
        payload: &Arc<str>,
        now: BootTime,
    ) {
        let Some((_, spec, step)) = self.step(task.step_id()) else { return };
        let (charge, ticket) = (spec.capacity_charge(), step.advice.ticket(worker, now).cloned());
        let waited = now.ms_since(step.ready);
        let traits = self.traits(task);
        let Some(&key) = self.names.get(&task.job) else { return };
        let Some(step) = self.step_mut(task.step_id()) else { return };
        step.waiting -= 1;
        let Some(state) = step.tasks.get_mut(task.index as usize) else { return };
        state.attempt = gang_attempt.unwrap_or(state.attempt + 1);
        state.place = Place::Bound(worker);
        let (attempt, checkpoint) = (state.attempt, state.checkpoint.clone());
        let Some(target) = self.workers.get_mut(worker) else { return };
        target.used += charge;
        let run = Run::new(charge, traits, now);
        target.runs.insert((task, attempt), run);
        log::info!(
            "event=task_bound task={task} attempt={attempt} worker={} waited_ms={waited} free={}",
            target.name,
            target.free()
        );
        self.stats.bound += 1;
        self.mark(key);
        self.commands.push(WorkerCommand::Start(StartCommand {
            worker,
            task,
            attempt,
            payload: payload.clone(),
            checkpoint,
            ticket,
            waited_ms: waited,
        }));
    }
}
