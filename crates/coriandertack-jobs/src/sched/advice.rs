//! Advice of a route's policy on the workers that may run a step.
//!
//! A call takes time for each worker that it names, and the service answers each entry VM one call at a time. The
//! leader therefore names few workers, those with room, and spreads the calls over all VMs. Which workers are
//! allowed never changes for a step; a ticket holds for a while and for one incarnation of the worker.

use std::{collections::HashSet, sync::Arc};

use super::{
    Scheduler, Step, URGENT_PRIORITY, WorkerKey, advice_vms::MAX_ADVICE_WAIT_MS, place::Headroom,
};

use crate::{
    boot_time::BootTime,
    config::{AdvicePolicy, Route},
    ids::StepId,
    spec::StepSpec,
};

/// Most workers that one call names (PROTOCOL, Running tasks).
const MAX_NAMED: usize = 100;

/// Share of named workers that a policy is taken to allow before its answers show it.
const ALLOWED_FIRST: f64 = 0.4;

/// Weight of a new answer in the learned share.
const ALLOWED_WEIGHT: f64 = 0.1;

/// Least learned share, so that a call never names all workers for a single task.
const ALLOWED_LEAST: f64 = 0.05;

/// Factor on the number of tasks for which a call should find room, since others take room during the call.
const SPARE: f64 = 1.8;

/// Multiple of a gang that the workers known to be allowed can hold when empty, from which on the gang waits for them.
/// A single one would have to be empty altogether, behind the longest task on it.
const ENOUGH_KNOWN: u32 = 3;

/// Factor on the number of a gang's tasks for which room is kept on workers that are known to be allowed during the call.
const SPARE_KEPT: f64 = 1.1;

/// Factor on the number of a gang's tasks for which such workers are named. A worker more costs a hundredth of another
/// call, which is due if one of them has less room than expected.
const SPARE_KNOWN: f64 = 1.5;

/// Time between two calls that learn which workers are allowed, in milliseconds.
const EXPLORE_MS: u64 = 500;

/// Time by which a ticket is taken to lapse earlier, in milliseconds: the start must arrive before.
const TICKET_MARGIN_MS: u64 = 250;

/// Time by which workers beyond those needed may lengthen a call, in milliseconds. The way to a VM and back takes about
/// as long, so that a second call would cost more.
const EXTRA_MS: f64 = 5.0;

/// Time after which a call without an answer is given up, beyond its cost, in milliseconds.
const CALL_SLACK_MS: u64 = 1_000;

/// Time between two log lines on why a step waits, in milliseconds.
const EXPLAIN_MS: u64 = 2_000;

/// Pause after a call that failed, in milliseconds.
const FAILED_MS: u64 = 100;

/// Permission of the policy to start a step's tasks on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Worker.
    pub worker: WorkerKey,
    /// Text that goes with the start.
    pub text: Arc<str>,
    /// When the ticket is used no more.
    pub until: BootTime,
}

/// What is known of a step's advice.
#[derive(Clone, Debug, Default)]
pub(super) struct AdviceState {
    /// When the call under way is given up.
    calling: Option<BootTime>,
    /// Tickets that were received, the newest of each worker.
    tickets: Vec<Ticket>,
    /// Workers that the policy allows.
    allowed: HashSet<WorkerKey>,
    /// Workers that the policy does not allow.
    barred: HashSet<WorkerKey>,
    /// Room on allowed workers that is kept while the call is under way, as a number of tasks.
    claims: Vec<(WorkerKey, u32)>,
    /// No call before this moment.
    retry: BootTime,
    /// When a call was last made although its answer could not suffice.
    explored: BootTime,
}

/// A worker that a call may name.
#[derive(Clone, Copy, Debug)]
struct Named {
    key: WorkerKey,
    /// Whether the policy is known to allow it.
    allowed: bool,
    /// Whether a ticket for it is still valid when the call is answered, so that the call need not name it.
    ticketed: bool,
    /// Number of waiting tasks that fit on it when the call is answered.
    room: u32,
}

/// Times of a call that is about to be made.
#[derive(Clone, Debug)]
struct Timing {
    now: BootTime,
    /// When the answer of a call for a step's tasks should be there.
    answered: BootTime,
    /// Until when a ticket must be valid so that the call need not renew it.
    needed: BootTime,
    /// Whether the call is urgent.
    urgent: bool,
    /// Workers that the step avoids.
    avoided: Vec<WorkerKey>,
    /// How many workers a call can name beyond those needed before they lengthen it noticeably.
    extra: usize,
}

impl AdviceState {
    pub(super) fn ticket(&self, worker: WorkerKey, now: BootTime) -> Option<&Ticket> {
        self.tickets.iter().find(|ticket| ticket.worker == worker && ticket.until > now)
    }

    pub(super) fn valid_tickets(&self, now: BootTime) -> impl Iterator<Item = &Ticket> {
        self.tickets.iter().filter(move |ticket| ticket.until > now)
    }

    /// Tells whether a call may be made whose answer cannot suffice, only to learn which workers are allowed.
    fn explores(&self, now: BootTime) -> bool {
        self.allowed.is_empty() || now.ms_since(self.explored) >= EXPLORE_MS
    }

    pub(super) fn drop_ticket(&mut self, worker: WorkerKey) {
        self.tickets.retain(|ticket| ticket.worker != worker);
    }

    /// Returns the workers that may get a ticket, as far as is known.
    pub(super) fn allows(&self, worker: WorkerKey) -> bool {
        self.allowed.contains(&worker)
    }
}

/// A call for advice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceCall {
    /// Step that the advice is for.
    pub step: StepId,
    /// VM that makes the call.
    pub vm: Arc<str>,
    /// Workers that are named.
    pub workers: Vec<(WorkerKey, Arc<str>)>,
    /// When the answer is given up.
    pub until: BootTime,
    /// Whether the call is for a route of the highest priority.
    pub urgent: bool,
}

/// Takes candidates until the room that they should bring is enough, and then `extra` more.
fn name_until(candidates: Vec<Named>, wanted: f64, share: f64, extra: usize) -> Vec<Named> {
    let (mut expected, mut beyond) = (0.0, 0);
    let mut named = Vec::new();
    for candidate in candidates {
        if expected >= wanted {
            beyond += 1;
        }
        if beyond > extra || named.len() >= MAX_NAMED {
            break;
        }
        let weight = if candidate.allowed { 1.0 } else { share };
        expected += f64::from(candidate.room) * weight;
        named.push(candidate);
    }
    named
}

/// Chooses the room that is kept during a call, so that it is still there when the tickets come. An urgent step also keeps
/// room on workers that may turn out not to be allowed: its next chance would be late.
fn claims(chosen: &[Named], waiting: u32, share: f64, urgent: bool) -> Vec<(WorkerKey, u32)> {
    let mut kept = 0.0;
    let mut claims = Vec::new();
    for named in chosen.iter().filter(|named| named.allowed || urgent) {
        if kept >= f64::from(waiting) * SPARE_KEPT {
            break;
        }
        kept += f64::from(named.room) * if named.allowed { 1.0 } else { share };
        claims.push((named.key, named.room));
    }
    claims
}

impl Scheduler {
    /// Asks for advice on a step if a call can bring room for waiting tasks. Returns when to try again.
    pub(super) fn ask_advice(
        &mut self,
        id: StepId,
        route: &Arc<Route>,
        policy: AdvicePolicy,
        headroom: &Headroom,
        now: BootTime,
    ) -> Option<BootTime> {
        let (.., step) = self.step(id)?;
        if let Some(until) = step.advice.calling.filter(|&until| until > now) {
            return Some(until);
        }
        if step.advice.retry > now {
            return Some(step.advice.retry);
        }
        // Which workers to name takes a look at all of them, so it is not decided for a call that cannot be made now.
        let urgent = route.priority == URGENT_PRIORITY;
        if let Err(free) = self.free_advice_vm(urgent, now) {
            self.explain(id, "no lane for advice", now);
            return free;
        }
        let (_, spec, step) = self.step(id)?;
        let share = self.allowed.get(&route.name).copied().unwrap_or(ALLOWED_FIRST);
        let tasks = (step.waiting as usize).min(MAX_NAMED);
        let answered = now.plus_ms(policy.cost_ms(tasks) as u64);
        // A ticket of a step without gang is used while it is valid; there is nothing to complete.
        let needed = self.started_by(policy, if spec.gang { answered } else { now });
        let timing = Timing {
            now,
            urgent,
            avoided: self.excluded(id, &route.service, now),
            answered,
            needed,
            extra: (EXTRA_MS / policy.worker_ms.max(f64::MIN_POSITIVE)) as usize,
        };
        let chosen = self.choose_named(spec, step, &route.service, share, headroom, &timing);
        let claims = claims(&chosen, step.waiting, share, urgent);
        let named: Vec<Named> = chosen.into_iter().filter(|named| !named.ticketed).collect();
        if named.is_empty() {
            self.explain(id, "no worker to ask about", now);
            return None;
        }
        let cost = policy.cost_ms(named.len());
        let advice_vm = self.take_advice_vm(cost as u64, urgent, now)?;
        let until = now.plus_ms(cost as u64 + CALL_SLACK_MS + MAX_ADVICE_WAIT_MS);
        log::debug!("event=advice_asked step={id} vm={advice_vm} workers={}", named.len());
        self.stats.advice += 1;
        let workers: Vec<(WorkerKey, Arc<str>)> = named
            .iter()
            .filter_map(|named| Some((named.key, self.workers.get(named.key)?.name.clone())))
            .collect();
        if let Some(step) = self.step_mut(id) {
            step.advice.calling = Some(until);
            step.advice.claims = claims;
        }
        self.calls.push(AdviceCall { step: id, vm: advice_vm, workers, until, urgent });
        Some(until)
    }

    /// Returns when a start that is decided now should arrive, for whose ticket that counts. Where records take long, half of
    /// a ticket's time is left to its use.
    pub(super) fn started_by(&self, policy: AdvicePolicy, now: BootTime) -> BootTime {
        now.plus_ms(self.record_ms.min(policy.validity_ms / 2))
    }

    /// Keeps room for a step on allowed workers while a call for their tickets is under way.
    pub(super) fn keep_claims(&self, id: StepId, headroom: &mut Headroom, now: BootTime) {
        let Some((_, spec, step)) = self.step(id) else { return };
        if step.advice.calling.is_none_or(|until| until <= now) {
            return;
        }
        for &(key, room) in &step.advice.claims {
            if let Some(amount) = spec.capacity_charge().checked_mul(room) {
                headroom.take(key, amount);
            }
        }
    }

    /// Logs why a step waits, from time to time.
    fn explain(&mut self, id: StepId, reason: &'static str, now: BootTime) {
        let Some((_, spec, step)) = self.step(id) else { return };
        if now.ms_since(step.explained) < EXPLAIN_MS {
            return;
        }
        log::info!(
            "event=step_waits step={id} reason=\"{reason}\" waiting={} gang={} tickets={} \
             allowed={} barred={} calls={}",
            step.waiting,
            spec.gang,
            step.advice.valid_tickets(now).count(),
            step.advice.allowed.len(),
            step.advice.barred.len(),
            self.regular_calls(),
        );
        if let Some(step) = self.step_mut(id) {
            step.explained = now;
        }
    }

    /// Chooses the workers that a call names, and with them those whose tickets the answer completes.
    ///
    /// A gang starts only when all its tickets are valid at once. A call for one therefore names all workers whose tickets
    /// lapse before its answer; naming only what is missing now would let the others lapse meanwhile, over and over. A call
    /// for a gang that no answer could complete is not made: its tickets would lapse before the room is there.
    fn choose_named(
        &self,
        spec: &StepSpec,
        step: &Step,
        service: &str,
        share: f64,
        headroom: &Headroom,
        timing: &Timing,
    ) -> Vec<Named> {
        let candidates = self.nameable(spec, step, service, headroom, timing);
        let sum = |allowed: bool| -> u32 {
            candidates.iter().filter(|n| n.allowed == allowed).map(|n| n.room).sum()
        };
        let (known, unknown) = (sum(true), f64::from(sum(false)) * share);
        let waiting = f64::from(step.waiting);
        if spec.gang && known >= step.waiting {
            return name_until(candidates, waiting * SPARE_KNOWN, share, 0);
        }
        if spec.gang {
            let whole = self.allowed_capacity(spec, step, timing.now);
            let hopeful = f64::from(known) + unknown >= waiting * SPARE_KEPT;
            // Calls for gangs are the longest. More workers are worth one if it can suffice at once, or while those known
            // to be allowed could not hold the gang a few times over; otherwise the gang waits for them.
            let few = whole < step.waiting * ENOUGH_KNOWN;
            if !step.advice.explores(timing.now) || (!few && !hopeful) {
                return Vec::new();
            }
            if !hopeful {
                return self.name_by_capacity(spec, step, service, share, timing);
            }
        }
        name_until(candidates, waiting * SPARE, share, timing.extra)
    }

    /// Chooses unknown workers so that those allowed among them could hold a gang a few times over when empty.
    fn name_by_capacity(
        &self,
        spec: &StepSpec,
        step: &Step,
        service: &str,
        share: f64,
        timing: &Timing,
    ) -> Vec<Named> {
        let charge = spec.capacity_charge();
        let ahead_ms = timing.answered.ms_since(timing.now);
        let unknown = |(key, worker): (WorkerKey, &super::Worker)| {
            let known = step.advice.allows(key) || step.advice.barred.contains(&key);
            if known
                || timing.avoided.contains(&key)
                || !worker.is_open(timing.now)
                || !self.suits(worker, spec, service)
            {
                return None;
            }
            let capacity = worker.entry.as_ref()?.capacity;
            let room = charge.count_in(capacity).min(step.waiting);
            let soon = charge.count_in(worker.free_soon(ahead_ms, timing.now));
            let named = Named { key, allowed: false, ticketed: false, room };
            let mismatch = self.mismatches(key, spec, timing.urgent);
            (room > 0).then_some(((mismatch, std::cmp::Reverse(soon)), named))
        };
        let mut candidates: Vec<_> = self.workers.iter().filter_map(unknown).collect();
        candidates.sort_by_key(|(soon, _)| *soon);
        let candidates = candidates.into_iter().map(|(_, named)| named).collect();
        let known = self.allowed_capacity(spec, step, timing.now);
        let wanted = (step.waiting * ENOUGH_KNOWN).saturating_sub(known);
        name_until(candidates, f64::from(wanted), share, 0)
    }

    /// Returns the workers that a call could name, the best first.
    fn nameable(
        &self,
        spec: &StepSpec,
        step: &Step,
        service: &str,
        headroom: &Headroom,
        timing: &Timing,
    ) -> Vec<Named> {
        let charge = spec.capacity_charge();
        let mut candidates = Vec::new();
        let ahead_ms = timing.answered.ms_since(timing.now);
        for (key, mut free) in headroom.workers() {
            let Some(worker) = self.workers.get(key) else { continue };
            if spec.gang && step.advice.allows(key) {
                // The room of a gang is kept, so what ends during the call counts.
                free = free.saturating_add(worker.ending(ahead_ms, timing.now));
            }
            let mut room = charge.count_in(free);
            if spec.spread > 0 {
                room = room.min(spec.spread);
            }
            let barred = step.advice.barred.contains(&key) || timing.avoided.contains(&key);
            if room == 0 || barred || !self.suits(worker, spec, service) {
                continue;
            }
            let ticketed = step.advice.ticket(key, timing.needed).is_some();
            let allowed = ticketed || step.advice.allows(key);
            candidates.push(Named { key, allowed, ticketed, room: room.min(step.waiting) });
        }
        candidates.sort_by_key(|named| {
            let kept = !spec.gang && self.reserved.contains(&named.key);
            let mismatch = self.mismatches(named.key, spec, timing.urgent);
            (!named.allowed, kept, !named.ticketed, mismatch, std::cmp::Reverse(named.room))
        });
        candidates
    }

    /// Returns how many tasks the allowed workers could hold if nothing else ran on them.
    fn allowed_capacity(&self, spec: &StepSpec, step: &Step, now: BootTime) -> u32 {
        let charge = spec.capacity_charge();
        let whole = |key: &WorkerKey| {
            let worker = self.workers.get(*key)?;
            let open = worker.is_open(now);
            worker.entry.as_ref().filter(|_| open).map(|entry| charge.count_in(entry.capacity))
        };
        step.advice.allowed.iter().filter_map(whole).sum()
    }

    /// Notes the answer to a call. `eligible` holds worker and ticket of those allowed; nothing if the call failed.
    pub fn record_advice(
        &mut self,
        call: &AdviceCall,
        eligible: Option<&[(Arc<str>, Arc<str>)]>,
        now: BootTime,
    ) {
        self.release_advice_vm(call, eligible.is_none().then_some(FAILED_MS), now);
        let route = self.step(call.step).map(|(job, ..)| self.route_of(job));
        let validity_ms = route.as_ref().and_then(|r| r.advice).map_or(0, |a| a.validity_ms);
        let Some(step) = self.step_mut(call.step) else { return };
        step.advice.calling = None;
        step.advice.claims.clear();
        step.advice.explored = now;
        let Some(eligible) = eligible else {
            step.advice.retry = now.plus_ms(FAILED_MS);
            log::info!("event=advice_failed step={} vm={}", call.step, call.vm);
            return;
        };
        let until = BootTime(now.plus_ms(validity_ms).0.saturating_sub(TICKET_MARGIN_MS));
        let (mut asked, mut found) = (0_u32, 0_u32);
        for (key, name) in &call.workers {
            step.advice.drop_ticket(*key);
            // Workers that were known to be allowed say nothing of the share of the others.
            if !step.advice.allows(*key) {
                asked += 1;
                found += u32::from(eligible.iter().any(|(allowed, _)| allowed == name));
            }
            match eligible.iter().find(|(allowed, _)| allowed == name) {
                Some((_, text)) => {
                    step.advice.allowed.insert(*key);
                    let ticket = Ticket { worker: *key, text: text.clone(), until };
                    step.advice.tickets.push(ticket);
                }
                None => {
                    step.advice.allowed.remove(key);
                    step.advice.barred.insert(*key);
                }
            }
        }
        log::debug!(
            "event=advised step={} vm={} workers={} allowed={}",
            call.step,
            call.vm,
            call.workers.len(),
            eligible.len()
        );
        if let Some(route) = route
            && asked > 0
        {
            let share = f64::from(found) / f64::from(asked);
            let known = self.allowed.entry(route.name.clone()).or_insert(ALLOWED_FIRST);
            *known = (*known + (share - *known) * ALLOWED_WEIGHT).max(ALLOWED_LEAST);
        }
    }
}
