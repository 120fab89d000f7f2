//! Binding of waiting tasks to workers.
//!
//! Steps are served in the order of the queue. A task goes to the worker that it leaves the least room on, so that
//! room for large tasks stays together; tasks that last are spread. A gang is bound as a whole or not at all, and a gang that
//! waits reserves the workers that it needs against work behind it in the queue.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    sync::Arc,
};

use coriandertack_core::resources::Resources;

use super::{
    Order, Place, Rank, Scheduler, StartOrder, Worker, WorkerKey,
    worker::Run,
};

use crate::{
    config::Route,
    ids::{StepId, TaskId},
    moment::Moment,
    spec::StepSpec,
};

/// Time after which a gang that finds no room reserves workers, in milliseconds.
const RESERVE_AFTER_MS: u64 = 300;

/// Share of a service's workers that gangs may reserve together, as a divisor.
const RESERVE_DIVISOR: usize = 2;

/// Result of a pass over the queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pass {
    /// Tasks that were bound.
    pub bound: u32,
    /// When the next pass is due even if nothing changes.
    pub again: Option<Moment>,
}

impl Scheduler {
    /// Binds what waits and asks for the advice that is missing.
    pub fn place(&mut self, now: Moment) -> Pass {
        let queued: Vec<(Rank, StepId)> = self.queue.iter().copied().collect();
        let mut pass = Pass::default();
        let mut reserved = HashSet::new();
        for (_, id) in queued {
            let Some((job, spec, _)) = self.step(id) else {
                self.queue.retain(|(_, known)| *known != id);
                continue;
            };
            let route = self.route_of(job);
            let (gang, payload) = (spec.gang, job.spec.payload.clone());
            let chosen = match gang {
                true => self.choose_gang(id, &route, &reserved, now),
                false => self.choose_each(id, &route, &reserved, now),
            };
            pass.bound += chosen.len() as u32;
            let gang_attempt = self.next_attempt(id);
            for (index, worker) in chosen {
                let task = TaskId {
                    job: id.job,
                    occurrence: id.occurrence,
                    step: id.step,
                    index,
                };
                self.bind(task, worker, gang.then_some(gang_attempt), &payload, now);
            }
            let Some((_, spec, step)) = self.step(id) else { continue };
            if step.waiting == 0 {
                self.dequeue(id);
                continue;
            }
            let overdue = spec.gang && now.since(step.ready) > RESERVE_AFTER_MS;
            if overdue {
                self.reserve(id, &route, &mut reserved, now);
            }
            if let Some(policy) = route.advice {
                let again = self.ask_advice(id, &route, policy, now);
                pass.again = match (pass.again, again) {
                    (Some(a), Some(b)) => Some(a.min(b)),
                    (a, b) => a.or(b),
                };
            }
        }
        pass
    }

    /// Tells whether a worker may run a step's tasks at all, its room aside.
    pub(super) fn suits(&self, worker: &Worker, spec: &StepSpec, service: &str, now: Moment) -> bool {
        let of_service = worker.entry.as_ref().is_some_and(|entry| &*entry.service == service);
        of_service
            && worker.is_open(now)
            && spec.label.as_ref().is_none_or(|label| worker.has_label(label))
    }

    /// Returns the workers that may run a step now, with the number of its tasks that fit on each.
    fn candidates(
        &self,
        id: StepId,
        route: &Route,
        reserved: &HashSet<WorkerKey>,
        now: Moment,
    ) -> Vec<(WorkerKey, u32)> {
        let Some((_, spec, step)) = self.step(id) else { return Vec::new() };
        let charge = spec.charge();
        let spread = self.spread(id);
        let fits = |key: WorkerKey| {
            let worker = self.workers.get(key)?;
            if reserved.contains(&key) || !self.suits(worker, spec, &route.service, now) {
                return None;
            }
            let mut room = charge.count_in(worker.free());
            if spec.spread > 0 {
                let there = spread.get(&key).copied().unwrap_or(0);
                room = room.min(spec.spread.saturating_sub(there));
            }
            (room > 0).then_some((key, room))
        };
        match route.advice {
            Some(_) => {
                let ticketed = self.workers.keys().filter(|&key| {
                    step.advice.ticket(key, now).is_some()
                });
                ticketed.filter_map(fits).collect()
            }
            None => self.workers.keys().filter_map(fits).collect(),
        }
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
        route: &Route,
        reserved: &HashSet<WorkerKey>,
        now: Moment,
    ) -> Vec<(u32, WorkerKey)> {
        let mut candidates = self.candidates(id, route, reserved, now);
        let Some((_, spec, step)) = self.step(id) else { return Vec::new() };
        let charge = spec.charge();
        let mut taken: HashMap<WorkerKey, u32> = HashMap::new();
        let mut chosen = Vec::new();
        for (index, task) in step.tasks.iter().enumerate() {
            if task.place != Place::Waiting {
                continue;
            }
            let best = candidates.iter().enumerate().filter(|(_, (_, room))| *room > 0);
            let best = best.min_by_key(|(_, (key, _))| {
                self.preference(*key, spec, charge, taken.get(key).copied().unwrap_or(0))
            });
            let Some((position, &(key, room))) = best else { break };
            candidates[position].1 = room - 1;
            *taken.entry(key).or_default() += 1;
            chosen.push((index as u32, key));
        }
        chosen
    }

    /// Orders workers for one task: data on the rack first, then the least room left, or the most for tasks that last.
    fn preference(
        &self,
        key: WorkerKey,
        spec: &StepSpec,
        charge: Resources,
        taken: u32,
    ) -> (bool, Reverse<u64>) {
        let Some(worker) = self.workers.get(key) else { return (true, Reverse(0)) };
        let remote = spec.data_rack.as_ref().is_some_and(|rack| !worker.has_label(rack));
        let extra = charge.checked_mul(taken + 1).unwrap_or(charge);
        let capacity = worker.entry.as_ref().map_or(Resources::ZERO, |entry| entry.capacity);
        let share = (worker.used + extra).dominant_share(capacity);
        let fullness = (share * 1_000_000.0) as u64;
        let rank = if spec.lasting { u64::MAX - fullness } else { fullness };
        (remote, Reverse(rank))
    }

    /// Chooses workers for all tasks of a gang, or none.
    fn choose_gang(
        &self,
        id: StepId,
        route: &Route,
        reserved: &HashSet<WorkerKey>,
        now: Moment,
    ) -> Vec<(u32, WorkerKey)> {
        let mut candidates = self.candidates(id, route, reserved, now);
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
            let remote = self.preference(key, spec, spec.charge(), 0).0;
            (remote, Reverse(room))
        });
        let mut slots = candidates
            .into_iter()
            .flat_map(|(key, room)| std::iter::repeat_n(key, room as usize));
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

    /// Reserves the workers that need to become free for a waiting gang, those with the most room first.
    fn reserve(
        &self,
        id: StepId,
        route: &Route,
        reserved: &mut HashSet<WorkerKey>,
        now: Moment,
    ) {
        let Some((_, spec, step)) = self.step(id) else { return };
        let charge = spec.charge();
        let most = self.workers.len() / RESERVE_DIVISOR;
        let mut possible: Vec<(Reverse<u32>, u32, WorkerKey)> = Vec::new();
        for (key, worker) in &self.workers {
            let allowed = route.advice.is_none() || step.advice.allows(key);
            if !allowed || reserved.contains(&key) || !self.suits(worker, spec, &route.service, now)
            {
                continue;
            }
            let whole = worker.entry.as_ref().map_or(Resources::ZERO, |entry| entry.capacity);
            possible.push((Reverse(charge.count_in(worker.free())), charge.count_in(whole), key));
        }
        possible.sort_unstable();
        let mut room = 0;
        let mut chosen = Vec::new();
        for (_, whole, key) in possible {
            if room >= step.waiting {
                break;
            }
            room += whole;
            chosen.push(key);
        }
        if room >= step.waiting && reserved.len() + chosen.len() <= most {
            reserved.extend(chosen);
        }
    }

    /// Returns the next attempt of a gang, which is the same for all members.
    fn next_attempt(&self, id: StepId) -> u32 {
        let step = self.step(id).map(|(_, _, step)| step);
        step.map_or(1, |step| {
            step.tasks.iter().map(|task| task.attempt).max().unwrap_or(0) + 1
        })
    }

    /// Binds a task to a worker and prepares its start.
    fn bind(
        &mut self,
        task: TaskId,
        worker: WorkerKey,
        gang_attempt: Option<u32>,
        payload: &Arc<str>,
        now: Moment,
    ) {
        let Some((_, spec, step)) = self.step(task.step_id()) else { return };
        let (charge, ticket) = (spec.charge(), step.advice.ticket(worker, now).cloned());
        let waited = now.since(step.ready);
        let Some(&key) = self.names.get(&task.job) else { return };
        let Some(step) = self.step_mut(task.step_id()) else { return };
        step.waiting -= 1;
        let Some(state) = step.tasks.get_mut(task.index as usize) else { return };
        state.attempt = gang_attempt.unwrap_or(state.attempt + 1);
        state.place = Place::Bound(worker);
        let (attempt, checkpoint) = (state.attempt, state.checkpoint.clone());
        let Some(target) = self.workers.get_mut(worker) else { return };
        target.used += charge;
        let run = Run {
            charge,
            confirmed: None,
            stopped: None,
            percent: 0,
            moved: now,
            bound: now,
        };
        target.runs.insert((task, attempt), run);
        log::info!(
            "event=task_bound task={task} attempt={attempt} worker={} waited_ms={waited} free={}",
            target.name,
            target.free()
        );
        self.counts.bound += 1;
        self.mark(key);
        self.orders.push(Order::Start(StartOrder {
            worker,
            task,
            attempt,
            payload: payload.clone(),
            checkpoint,
            ticket,
        }));
    }
}
