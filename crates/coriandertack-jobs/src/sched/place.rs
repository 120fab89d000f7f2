//! Placement of waiting tasks on workers.
//!
//! Steps are served in queue order. A task goes to the worker on which it leaves the least free
//! capacity, so that large blocks of capacity stay available for large tasks; long-running tasks
//! are spread instead. A gang is bound as a whole or not at all. Capacity that a step is waiting
//! for, because an advice call is in progress or its gang does not fit yet, is deducted from the
//! headroom of the steps behind it.

use std::{
    cmp::Reverse,
    collections::{HashMap, HashSet},
    sync::Arc,
};

use {coriandertack_core::resources::Resources, slotmap::SecondaryMap};

use super::{
    Placement, Scheduler, StartCommand, Task, URGENT_PRIORITY, Worker, WorkerCommand, WorkerKey,
    late_starts::Destination, worker::Run,
};

use crate::{
    boot_time::BootTime,
    config::Route,
    ids::{StepId, TaskId},
    ledger::{TeamKey, Usage},
    spec::StepSpec,
};

/// Time for which a gang or a long-running task waits before workers are reserved for it, in
/// milliseconds.
const RESERVE_DELAY_MS: u64 = 300;

/// How far ahead a worker's free capacity is predicted when workers are chosen for a reservation,
/// in milliseconds. The first period after which the tasks fit is used.
const RESERVE_LOOKAHEADS_MS: [u64; 4] = [500, 1_000, 2_000, 4_000];

/// Divisor for the maximum share of all workers that may be reserved at once.
const MAX_RESERVED_DIVISOR: usize = 2;

/// Result of a scheduling pass over the queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PassResult {
    /// Number of tasks bound in this pass.
    pub bound: u32,
    /// When the next pass is due if nothing changes before; `None` if it need not run.
    pub retry_at: Option<BootTime>,
}

/// Free capacity during one pass, less what earlier steps have taken or wait for.
#[derive(Debug, Default)]
pub(super) struct Headroom {
    free: SecondaryMap<WorkerKey, Resources>,
    reserved: HashSet<WorkerKey>,
    /// What earlier steps of each team have taken of its cap without being charged, or wait for.
    held: SecondaryMap<TeamKey, Usage>,
    /// When caps may be filled; `None` if they may be already.
    pub(super) caps_open: Option<BootTime>,
}

/// Limits on the tasks of a step that are bound in one pass.
#[derive(Clone, Copy, Debug)]
struct PlaceLimits {
    /// Maximum number of tasks.
    tasks: u32,
    /// Maximum number of workers that get a task on probation.
    exposure: usize,
    /// Whether all tasks start on probation.
    unproven: bool,
}

impl Headroom {
    /// Returns the capacity left on a worker.
    pub(super) fn free(&self, key: WorkerKey) -> Resources {
        self.free.get(key).copied().unwrap_or(Resources::ZERO)
    }

    /// Returns the workers with capacity left.
    pub(super) fn workers(&self) -> impl Iterator<Item = (WorkerKey, Resources)> + '_ {
        self.free.iter().map(|(key, free)| (key, *free))
    }

    /// Deducts capacity, so that later steps of the pass do not use it.
    pub(super) fn take(&mut self, key: WorkerKey, amount: Resources) {
        if let Some(free) = self.free.get_mut(key) {
            *free = free.saturating_sub(amount);
        }
    }

    /// Returns what earlier steps of a team hold of its cap.
    pub(super) fn held(&self, team: TeamKey) -> Usage {
        self.held.get(team).copied().unwrap_or_default()
    }

    /// Holds a part of a team's cap, so that later steps of the pass do not use it.
    pub(super) fn hold(&mut self, team: TeamKey, amount: Usage) {
        if let Some(entry) = self.held.entry(team) {
            *entry.or_default() += amount;
        }
    }

    /// Leaves the rest of a worker unused in this pass.
    fn close(&mut self, key: WorkerKey) {
        self.free.remove(key);
    }

    fn reserve(&mut self, key: WorkerKey) {
        self.free.remove(key);
        self.reserved.insert(key);
    }
}

impl Scheduler {
    /// Binds waiting tasks and requests missing advice.
    pub fn place(&mut self, now: BootTime) -> PassResult {
        self.pass(true, now)
    }

    /// Requests missing advice without binding tasks.
    ///
    /// It is called while a record is being written: a task bound meanwhile would wait for the next
    /// record, and its ticket would be closer to expiry.
    pub fn request_advice(&mut self, now: BootTime) -> PassResult {
        self.pass(false, now)
    }

    /// Sets the current delay between binding a task and its record being durable, in milliseconds.
    pub fn set_record_delay(&mut self, record_ms: u64) {
        self.record_ms = record_ms;
    }

    fn pass(&mut self, bind_tasks: bool, now: BootTime) -> PassResult {
        self.classify_speeds();
        self.forget_late_starts(now);
        let mut order = self.serving_order(now);
        let mut pass = PassResult::default();
        let mut headroom = self.headroom(now);
        while let Some(turn) = order.next() {
            let placed = self.place_step(turn.id, turn.max_tasks(), &mut headroom, bind_tasks, now);
            if bind_tasks {
                pass.bound += placed;
            }
            if turn.is_cut_short(placed) {
                order.put_back(turn, placed);
                continue;
            }
            if !bind_tasks && turn.is_served(placed) {
                order.finish(turn, placed, 0);
                continue;
            }
            if !turn.may_call && !turn.is_served(placed) {
                order.put_back(turn, placed);
                continue;
            }
            let limit = turn.limit.saturating_sub(placed);
            let calls = self.advice_calls.len();
            let (held, retry_at) = self.request_step_advice(turn.id, limit, &mut headroom, now);
            let calls = (self.advice_calls.len() - calls) as u32;
            order.finish(turn, placed.saturating_add(held), calls);
            pass.retry_at = match (pass.retry_at, retry_at) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            };
        }
        self.reserved = headroom.reserved;
        pass
    }

    /// Returns the free capacity of the workers that accept tasks.
    fn headroom(&self, now: BootTime) -> Headroom {
        let accepting = self.workers.iter().filter(|(_, worker)| worker.accepts_tasks(now));
        let free = accepting.map(|(key, worker)| (key, worker.free()));
        Headroom {
            free: free.filter(|(_, free)| *free != Resources::ZERO).collect(),
            caps_open: self.caps_open_at(now),
            ..Headroom::default()
        }
    }

    /// Deducts capacity for the waiting tasks of a step that fit, at most `limit` unless they are a
    /// gang, and returns their number. With
    /// `bind_tasks`, they are bound to their workers.
    fn place_step(
        &mut self,
        id: StepId,
        limit: u32,
        headroom: &mut Headroom,
        bind_tasks: bool,
        now: BootTime,
    ) -> u32 {
        let Some((job, spec, _)) = self.step(id) else {
            self.queue.retain(|(_, known)| *known != id);
            return 0;
        };
        if self.held_jobs.contains(&id.job) {
            return 0;
        }
        let route = self.route_of(job);
        let (gang, charge, payload) = (spec.gang, spec.capacity_charge(), job.spec.payload.clone());
        let tasks = self.startable(id, headroom).min(limit);
        if tasks == 0 {
            return 0;
        }
        let candidates = self.candidates(id, &route, headroom, now);
        if candidates.is_empty() {
            return 0;
        }
        let contained = self.is_contained(&route, now);
        let unproven = contained || self.is_unproven(id, now);
        let suspected = contained || self.has_suspects(id);
        let exposure =
            if suspected { self.exposure_limit(&route.service, now) } else { usize::MAX };
        let limits = PlaceLimits { tasks, exposure, unproven };
        let chosen = match gang {
            true => self.choose_gang(id, candidates, now),
            false => self.choose_each(id, candidates, headroom, limits, now),
        };
        let attempt = gang.then(|| self.next_gang_attempt(id));
        let bound = chosen.len() as u32;
        for (index, worker) in chosen {
            let task = id.task(index);
            let probation = unproven || self.task(task).is_some_and(Task::is_suspect);
            if bind_tasks {
                self.bind(task, worker, attempt, probation, &payload, now);
            }
            headroom.take(worker, charge);
            if probation {
                headroom.close(worker);
            }
        }
        if !bind_tasks {
            self.hold_room(id, bound, headroom);
        }
        if self.step(id).is_some_and(|(_, _, step)| step.waiting == 0) {
            self.dequeue(id);
        }
        bound
    }

    /// Requests the advice that a queued step still needs and deducts the capacity it waits for.
    /// Returns for how many tasks it claims capacity, at most `limit`, and when to try again.
    fn request_step_advice(
        &mut self,
        id: StepId,
        limit: u32,
        headroom: &mut Headroom,
        now: BootTime,
    ) -> (u32, Option<BootTime>) {
        let Some((job, spec, step)) = self.step(id) else { return (0, None) };
        if step.queued.is_none() {
            return (0, None);
        }
        let route = self.route_of(job);
        let (gang, reserves) = (spec.gang, spec.gang || spec.lasting);
        let (waiting_ms, capped) = (now.ms_since(step.ready_at), step.capped);
        let tasks = self.startable(id, headroom);
        if tasks == 0 {
            self.wait_for_cap(id, headroom, now);
            return (0, headroom.caps_open);
        }
        if capped {
            self.end_cap_wait(id);
        }
        let retry_at = route
            .advice
            .and_then(|policy| self.request_advice_call(id, &route, policy, tasks, headroom, now));
        let claimed = self.deduct_claims(id, limit, headroom, now);
        let reserved = reserves
            && waiting_ms > RESERVE_DELAY_MS
            && self.reserve(id, &route, tasks, headroom, now);
        let whole = reserved || (gang && claimed > 0);
        let held = if whole { tasks } else { claimed.min(tasks) };
        self.hold_room(id, held, headroom);
        (held, retry_at)
    }

    /// Returns the workers that may run a step now, each with the number of its tasks that fit.
    fn candidates(
        &self,
        id: StepId,
        route: &Route,
        headroom: &Headroom,
        now: BootTime,
    ) -> Vec<(WorkerKey, u32)> {
        let Some((.., step)) = self.step(id) else { return Vec::new() };
        let Some(fit) = self.step_fit(id, &route.service, now) else { return Vec::new() };
        let fitting = |(key, free): (WorkerKey, Resources)| {
            let slots = fit.slots(key, self.workers.get(key)?, free);
            (slots > 0).then_some((key, slots))
        };
        match route.advice {
            Some(policy) => {
                let valid = step.advice.valid_tickets(self.start_arrival(policy, now));
                valid
                    .map(|ticket| (ticket.worker, headroom.free(ticket.worker)))
                    .filter_map(fitting)
                    .collect()
            }
            None => headroom.workers().filter_map(fitting).collect(),
        }
    }

    /// Chooses a worker for each waiting task of a step, until capacity runs out.
    fn choose_each(
        &self,
        id: StepId,
        mut candidates: Vec<(WorkerKey, u32)>,
        headroom: &Headroom,
        limits: PlaceLimits,
        now: BootTime,
    ) -> Vec<(u32, WorkerKey)> {
        let unproven = limits.unproven;
        let Some((job, spec, step)) = self.step(id) else { return Vec::new() };
        let urgent = self.route_of(job).priority == URGENT_PRIORITY;
        let charge = spec.capacity_charge();
        let awaits_isolation = self.awaits_isolation(id, now);
        let mut probations_left = self.probation_limit(id, now).min(limits.exposure);
        let mut taken: HashMap<WorkerKey, u32> = HashMap::new();
        let mut chosen = Vec::new();
        for (index, task) in step.tasks.iter().enumerate() {
            if chosen.len() >= limits.tasks as usize {
                break;
            }
            let probation = unproven || task.is_suspect();
            if task.placement != Placement::Waiting || (probation && probations_left == 0) {
                continue;
            }
            let destination = self.destination(id.task(index as u32), spec, task, now);
            if destination == Destination::Nowhere {
                continue;
            }
            let beside_young = |key: WorkerKey| {
                probation && (taken.contains_key(&key) || self.has_young_runs(key, now))
            };
            let best = candidates.iter().enumerate().filter(|(_, (key, slots))| {
                *slots > 0
                    && destination.includes(*key)
                    && !(awaits_isolation && beside_young(*key))
            });
            let best = best.min_by_key(|(_, (key, _))| {
                let extra = charge.checked_mul(taken.get(key).copied().unwrap_or(0) + 1);
                let left = headroom.free(*key).saturating_sub(extra.unwrap_or(charge));
                let spread = spec.lasting || probation;
                (beside_young(*key), self.preference(*key, spec, urgent, spread, left))
            });
            let Some((position, &(key, slots))) = best else {
                // A worker that is left out for a suspect, or for a task that may start on one worker only, may do for
                // the tasks after it.
                if (probation && !unproven) || destination != Destination::Any {
                    continue;
                }
                break;
            };
            if probation {
                candidates[position].1 = 0;
                probations_left -= 1;
            } else {
                candidates[position].1 = slots - 1;
            }
            *taken.entry(key).or_default() += 1;
            chosen.push((index as u32, key));
        }
        chosen
    }

    /// Returns the sort key of a worker for one task; the lowest is the best.
    ///
    /// Workers on the rack of the task's data come first, then workers that are not reserved for a
    /// gang, then those of suitable speed. Ties are resolved by the free capacity that the task
    /// would leave: the least, or the most if tasks are to be `spread`.
    fn preference(
        &self,
        key: WorkerKey,
        spec: &StepSpec,
        urgent: bool,
        spread: bool,
        left: Resources,
    ) -> (bool, bool, u8, u64) {
        let Some(worker) = self.workers.get(key) else { return (true, true, u8::MAX, u64::MAX) };
        // Other work that is placed on a reserved worker delays the gang, so it goes elsewhere if
        // it can.
        let reserved = !spec.gang && self.reserved.contains(&key);
        let remote = spec.data_rack.as_ref().is_some_and(|rack| !worker.has_label(rack));
        let share_left = (left.dominant_share(worker.capacity()) * 1_000_000.0) as u64;
        let mismatch = self.speed_mismatch(key, spec, urgent);
        (remote, reserved, mismatch, if spread { u64::MAX - share_left } else { share_left })
    }

    /// Chooses workers for all waiting tasks of a gang, or none if they do not all fit.
    fn choose_gang(
        &self,
        id: StepId,
        mut candidates: Vec<(WorkerKey, u32)>,
        now: BootTime,
    ) -> Vec<(u32, WorkerKey)> {
        let Some((job, spec, step)) = self.step(id) else { return Vec::new() };
        let urgent = self.route_of(job).priority == URGENT_PRIORITY;
        let unproven = self.is_unproven(id, now);
        if candidates.iter().map(|(_, slots)| slots).sum::<u32>() < step.waiting {
            return Vec::new();
        }
        if spec.same_rack
            && let Some(rack) = self.smallest_fitting_rack(&candidates, step.waiting)
        {
            candidates.retain(|(key, _)| self.rack(*key).as_deref() == Some(&*rack));
        }
        candidates.sort_by_key(|&(key, slots)| {
            let beside_young = unproven && self.has_young_runs(key, now);
            let remote = self.preference(key, spec, false, false, Resources::ZERO).0;
            (beside_young, remote, self.speed_mismatch(key, spec, urgent), Reverse(slots))
        });
        let Some(mut chosen) = self.choose_only_workers(id, &mut candidates, now) else {
            return Vec::new();
        };
        let workers = candidates
            .into_iter()
            .flat_map(|(key, slots)| std::iter::repeat_n(key, slots as usize));
        let is_free = |index: &u32| {
            let task = &step.tasks[*index as usize];
            task.placement == Placement::Waiting
                && self.destination(id.task(*index), spec, task, now) == Destination::Any
        };
        let members = (0..step.tasks.len() as u32).filter(is_free);
        chosen.extend(members.zip(workers));
        if chosen.len() < step.waiting as usize { Vec::new() } else { chosen }
    }

    /// Assigns the waiting tasks of a step that may be started on one worker only, and takes what they need from the
    /// candidates. Returns `None` if any of them can't be started.
    fn choose_only_workers(
        &self,
        id: StepId,
        candidates: &mut [(WorkerKey, u32)],
        now: BootTime,
    ) -> Option<Vec<(u32, WorkerKey)>> {
        let (_, spec, step) = self.step(id)?;
        let mut chosen = Vec::new();
        for (index, task) in step.tasks.iter().enumerate() {
            if task.placement != Placement::Waiting {
                continue;
            }
            let only = match self.destination(id.task(index as u32), spec, task, now) {
                Destination::Any => continue,
                Destination::Only(key) => key,
                Destination::Nowhere => return None,
            };
            let slot = candidates.iter_mut().find(|(key, slots)| *key == only && *slots > 0)?;
            slot.1 -= 1;
            chosen.push((index as u32, only));
        }
        Some(chosen)
    }

    fn has_young_runs(&self, key: WorkerKey, now: BootTime) -> bool {
        self.workers.get(key).is_some_and(|worker| worker.has_young_runs(now))
    }

    /// Returns the rack of a worker, which is its second label (protocol, section "Running tasks":
    /// kind and rack).
    fn rack(&self, key: WorkerKey) -> Option<Arc<str>> {
        self.workers.get(key)?.entry.as_ref()?.labels.get(1).cloned()
    }

    /// Returns the rack with the least free capacity that still holds a whole gang.
    fn smallest_fitting_rack(
        &self,
        candidates: &[(WorkerKey, u32)],
        count: u32,
    ) -> Option<Arc<str>> {
        let mut racks: HashMap<Arc<str>, u32> = HashMap::new();
        for &(key, slots) in candidates {
            if let Some(rack) = self.rack(key) {
                *racks.entry(rack).or_default() += slots;
            }
        }
        let fitting = racks.into_iter().filter(|&(_, slots)| slots >= count);
        fitting.min_by_key(|(name, slots)| (*slots, name.clone())).map(|(rack, _)| rack)
    }

    /// Reserves workers for `tasks` tasks of a waiting gang, or for waiting long-running tasks,
    /// which have to run again soon even while the service is full. A choice is kept until the
    /// tasks start, so that the workers do drain. Returns true if there are workers to reserve.
    fn reserve(
        &mut self,
        id: StepId,
        route: &Route,
        tasks: u32,
        headroom: &mut Headroom,
        now: BootTime,
    ) -> bool {
        let Some((.., step)) = self.step(id) else { return false };
        let Some(fit) = self.step_fit(id, &route.service, now) else { return false };
        let max_reserved = self.workers.len() / MAX_RESERVED_DIVISOR;
        let slots = |key: &WorkerKey, worker: &Worker, free: Resources| {
            let allowed = route.advice.is_none() || step.advice.allows(*key);
            let usable = allowed && !headroom.reserved.contains(key) && worker.accepts_tasks(now);
            if usable { fit.slots(*key, worker, free) } else { 0 }
        };
        let urgent = route.priority == URGENT_PRIORITY;
        let mismatch = |key| self.speed_mismatch(key, fit.spec, urgent);
        let drained = |key: &WorkerKey| {
            let worker = self.workers.get(*key)?;
            Some(slots(key, worker, worker.drainable_capacity()))
        };
        let reserved_slots: u32 = step.reserved.iter().filter_map(drained).sum();
        let chosen = match reserved_slots >= tasks {
            true => step.reserved.clone(),
            false => self.choose_reserved(tasks, slots, mismatch, now),
        };
        if chosen.is_empty() || headroom.reserved.len() + chosen.len() > max_reserved {
            return false;
        }
        chosen.iter().for_each(|key| headroom.reserve(*key));
        if let Some(step) = self.step_mut(id) {
            step.reserved = chosen;
        }
        true
    }

    /// Chooses the workers on which `count` tasks are predicted to fit soonest.
    ///
    /// Workers whose runs end soon are taken even if each adds little: the capacity that is already
    /// free on a reserved worker stays idle until the last of them is ready.
    fn choose_reserved(
        &self,
        count: u32,
        slots: impl Fn(&WorkerKey, &Worker, Resources) -> u32,
        mismatch: impl Fn(WorkerKey) -> u8,
        now: BootTime,
    ) -> Vec<WorkerKey> {
        for ahead_ms in RESERVE_LOOKAHEADS_MS {
            let predicted = |(key, worker): (WorkerKey, &Worker)| {
                let slots = slots(&key, worker, worker.free_within(ahead_ms, now));
                (slots > 0).then_some((mismatch(key), Reverse(slots), key))
            };
            let mut possible: Vec<_> = self.workers.iter().filter_map(predicted).collect();
            possible.sort_unstable();
            let mut total = 0;
            let mut chosen = Vec::new();
            for (_, Reverse(slots), key) in possible {
                if total >= count {
                    break;
                }
                total += slots;
                chosen.push(key);
            }
            if total >= count {
                return chosen;
            }
        }
        Vec::new()
    }

    /// Returns the next attempt of a gang, which all members share.
    fn next_gang_attempt(&self, id: StepId) -> u32 {
        let step = self.step(id).map(|(_, _, step)| step);
        step.map_or(1, |step| step.tasks.iter().map(|task| task.attempt).max().unwrap_or(0) + 1)
    }

    /// Binds a task to a worker and queues its start command.
    fn bind(
        &mut self,
        task: TaskId,
        worker: WorkerKey,
        gang_attempt: Option<u32>,
        probation: bool,
        payload: &Arc<str>,
        now: BootTime,
    ) {
        let Some((.., step)) = self.step(task.step_id()) else { return };
        let ticket = step.advice.ticket(worker, now).cloned();
        let waited_ms = now.ms_since(step.ready_at);
        let (cost, profile) = (self.run_cost(task), self.run_profile(task));
        let Some(&key) = self.job_index.get(&task.job) else { return };
        let Some(step) = self.step_mut(task.step_id()) else { return };
        step.waiting -= 1;
        let Some(state) = step.tasks.get_mut(task.index as usize) else { return };
        state.attempt = gang_attempt.unwrap_or(state.next_attempt(now));
        state.placement = Placement::Bound(worker);
        let (attempt, checkpoint) = (state.attempt, state.checkpoint.clone());
        let Some(target) = self.workers.get_mut(worker) else { return };
        let mut run = Run::new(cost, profile, now);
        (run.probation, run.born) = (probation, target.born);
        target.add_run(&mut self.ledger, (task, attempt), run);
        log::info!(
            "event=task_bound task={task} attempt={attempt} worker={} waited_ms={waited_ms} free={}{}",
            target.name,
            target.free(),
            if probation { " probation=true" } else { "" }
        );
        self.stats.bound += 1;
        self.mark_changed(key);
        self.commands.push(WorkerCommand::Start(StartCommand {
            worker,
            task,
            attempt,
            payload: payload.clone(),
            checkpoint,
            ticket,
            waited_ms,
        }));
    }
}
