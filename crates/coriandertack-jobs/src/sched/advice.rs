//! Advice from a route's policy on which workers may run a step.
//!
//! Each worker that a call names adds to its duration, and the policy service answers each entry VM
//! one call at a time. The leader therefore names few workers, chosen by free capacity, and spreads
//! the calls over all VMs. A gang starts only if all of its tasks fit at one time, so it names more
//! workers, in several calls at once. Which workers a policy allows never changes for a step; a
//! ticket is valid for a limited time and for one incarnation of the worker.

use std::{collections::HashSet, sync::Arc};

use super::{
    Scheduler, Step, URGENT_PRIORITY, WorkerKey, advice_vms::MAX_ADVICE_QUEUE_MS, fit::StepFit,
    place::Headroom,
};

use crate::{
    boot_time::BootTime,
    config::{AdvicePolicy, Route},
    ids::StepId,
};

/// Maximum number of workers that one call may name (protocol, section "Running tasks").
const MAX_WORKERS_PER_CALL: usize = 100;

/// Maximum number of workers that the calls for a gang may name at once. It bounds how much of the
/// VMs' time one gang takes.
const MAX_GANG_WORKERS: usize = 400;

/// Minimum number of workers for which a call is worth its fixed duration when a call is divided.
const MIN_WORKERS_PER_PART: usize = 20;

/// Factor on the number of a gang's tasks for which unknown workers are named. A gang needs all of
/// its capacity at one time, so it has to know many more workers than it can fill.
const GANG_EXPLORE_FACTOR: f64 = 7.0;

/// Assumed share of named workers that a policy allows, until answers provide an estimate.
const INITIAL_ALLOWED_SHARE: f64 = 0.4;

/// Weight of a new answer in the moving average of the allowed share.
const ALLOWED_SHARE_WEIGHT: f64 = 0.1;

/// Lower bound of the estimated share, so that a call for a single task never names all workers.
const MIN_ALLOWED_SHARE: f64 = 0.05;

/// Factor on the number of waiting tasks for which a call should find capacity, since other steps
/// take capacity while the call is in progress.
const CALL_CAPACITY_FACTOR: f64 = 1.8;

/// Number of times that the allowed workers should hold a gang's tasks when empty, if free capacity
/// does not suffice now.
///
/// With a factor of 1, all of them would have to drain completely, and the gang would wait for the
/// longest task on any of them.
const GANG_CANDIDATE_FACTOR: u32 = 3;

/// How far ahead the capacity of the workers known to be allowed is predicted, in milliseconds. A
/// gang for which it does not suffice asks for further workers.
const GANG_LOOKAHEAD_MS: u64 = 2_000;

/// Factor on the number of tasks for which capacity is claimed while a call is in progress.
const CLAIM_CAPACITY_FACTOR: f64 = 1.1;

/// Factor on the number of a gang's tasks for which known workers are named. One more worker costs
/// a hundredth of the second call that is needed if one of them has less capacity than predicted.
const GANG_CALL_FACTOR: f64 = 1.5;

/// Minimum time between two calls that explore which workers are allowed, in milliseconds.
const MIN_EXPLORE_INTERVAL_MS: u64 = 500;

/// Time before its expiry at which a ticket is no longer used, in milliseconds. The start must
/// reach the worker before the ticket expires.
pub(crate) const TICKET_EXPIRY_MARGIN_MS: u64 = 250;

/// Maximum time that workers named beyond those needed may add to a call, in milliseconds. The
/// round trip to a VM takes about as long, so a second call would cost more.
const MAX_EXTRA_CALL_MS: f64 = 5.0;

/// Time beyond its expected duration after which a call without an answer is abandoned, in
/// milliseconds.
const CALL_TIMEOUT_SLACK_MS: u64 = 1_000;

/// Minimum time between two log lines on why a step waits, in milliseconds.
const WAIT_LOG_INTERVAL_MS: u64 = 2_000;

/// Delay before a failed call is retried, in milliseconds.
const CALL_RETRY_DELAY_MS: u64 = 100;

/// Permission from the policy to start a step's tasks on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Worker on which the tasks may start.
    pub worker: WorkerKey,
    /// Opaque text that is sent with the start command.
    pub text: Arc<str>,
    /// Time at which the ticket is no longer used, shortly before it expires.
    pub until: BootTime,
}

/// A call in progress.
#[derive(Clone, Debug)]
struct PendingCall {
    /// Name of the VM that makes the call.
    vm: Arc<str>,
    /// When the call is abandoned.
    until: BootTime,
}

/// State of the advice for one step.
#[derive(Clone, Debug, Default)]
pub(super) struct AdviceState {
    /// Calls in progress: several for a gang that needs more workers than one call can name in
    /// time.
    calls: Vec<PendingCall>,
    /// Received tickets, at most one for each worker.
    tickets: Vec<Ticket>,
    /// Workers that the policy is known to allow.
    allowed: HashSet<WorkerKey>,
    /// Workers that the policy is known to reject.
    rejected: HashSet<WorkerKey>,
    /// Capacity claimed while calls are in progress, as a number of tasks for each worker.
    claims: Vec<(WorkerKey, u32)>,
    /// Earliest time of the next call.
    retry_at: BootTime,
    /// When the last call ended. It delays the next call whose answer cannot suffice.
    call_end: BootTime,
}

/// A worker that a call may name.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    key: WorkerKey,
    /// Whether the policy is known to allow the worker.
    allowed: bool,
    /// Whether the ticket for the worker is still valid when the answer arrives, so that the call
    /// need not name it.
    ticketed: bool,
    /// Number of waiting tasks that are predicted to fit when the answer arrives.
    slots: u32,
}

/// Timing and limits of a call that is about to be made.
#[derive(Clone, Debug)]
struct CallTiming {
    now: BootTime,
    /// Number of tasks for which the call is made: those that wait and fit under the cap of their
    /// team.
    tasks: u32,
    /// When the answer to a call that names one worker for each waiting task is expected.
    answered_at: BootTime,
    /// Time until which a ticket must be valid for the call not to renew it.
    needed_until: BootTime,
    /// Whether the route has the highest priority.
    urgent: bool,
    /// Number of workers beyond those needed that a call may name without becoming noticeably
    /// longer.
    extra: usize,
}

impl AdviceState {
    pub(super) fn ticket(&self, worker: WorkerKey, now: BootTime) -> Option<&Ticket> {
        self.tickets.iter().find(|ticket| ticket.worker == worker && ticket.until > now)
    }

    pub(super) fn valid_tickets(&self, now: BootTime) -> impl Iterator<Item = &Ticket> {
        self.tickets.iter().filter(move |ticket| ticket.until > now)
    }

    /// Returns when the last of the calls in progress is abandoned, or `None` if there is none.
    fn calls_end(&self, now: BootTime) -> Option<BootTime> {
        self.calls.iter().map(|call| call.until).filter(|until| *until > now).max()
    }

    /// Returns the number of calls in progress.
    pub(super) fn call_count(&self, now: BootTime) -> u32 {
        self.calls.iter().filter(|call| call.until > now).count() as u32
    }

    /// Removes a call that has ended. Once there is no other, the claimed capacity is released.
    fn end_call(&mut self, call: &AdviceCall, now: BootTime) {
        self.calls.retain(|pending| pending.vm != call.vm || pending.until != call.until);
        if self.calls_end(now).is_none() {
            self.calls.clear();
            self.claims.clear();
            self.call_end = now;
        }
    }

    /// Returns true if a call may be made only to learn which workers are allowed, although its
    /// answer cannot suffice.
    fn may_explore(&self, now: BootTime) -> bool {
        self.allowed.is_empty() || now.ms_since(self.call_end) >= MIN_EXPLORE_INTERVAL_MS
    }

    pub(super) fn drop_ticket(&mut self, worker: WorkerKey) {
        self.tickets.retain(|ticket| ticket.worker != worker);
    }

    /// Returns true if the policy is known to allow a worker.
    pub(super) fn allows(&self, worker: WorkerKey) -> bool {
        self.allowed.contains(&worker)
    }

    /// Returns true if the policy is known to reject a worker.
    pub(super) fn rejects(&self, worker: WorkerKey) -> bool {
        self.rejected.contains(&worker)
    }
}

/// An advice call to be made by a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceCall {
    /// Step for which tickets are requested.
    pub step: StepId,
    /// Name of the VM that makes the call.
    pub vm: Arc<str>,
    /// Key and name of each worker that the call names.
    pub workers: Vec<(WorkerKey, Arc<str>)>,
    /// When the call is abandoned.
    pub until: BootTime,
    /// Whether the route has the highest priority.
    pub urgent: bool,
}

/// Divides the workers to be named into calls of equal size for several VMs.
///
/// The longer a call takes, the more of the capacity that it was made for is gone when it is
/// answered, and the less time is left in which tickets of different calls are valid together. A
/// call is therefore divided once its workers take longer than its fixed duration.
fn call_parts(named: &[Candidate], policy: AdvicePolicy) -> std::slice::Chunks<'_, Candidate> {
    let balanced = (policy.call_ms / policy.worker_ms.max(f64::MIN_POSITIVE)) as usize;
    let largest = balanced.clamp(MIN_WORKERS_PER_PART, MAX_WORKERS_PER_CALL);
    let parts = named.len().div_ceil(largest).max(1);
    named.chunks(named.len().div_ceil(parts).max(1))
}

/// Takes at most `limit` candidates until their expected capacity reaches `wanted` tasks, and up to
/// `extra` more.
fn take_until(
    candidates: Vec<Candidate>,
    wanted: f64,
    share: f64,
    extra: usize,
    limit: usize,
) -> Vec<Candidate> {
    let (mut expected, mut surplus) = (0.0, 0);
    let mut taken = Vec::new();
    for candidate in candidates {
        if expected >= wanted {
            surplus += 1;
        }
        if surplus > extra || taken.len() >= limit {
            break;
        }
        let weight = if candidate.allowed { 1.0 } else { share };
        expected += f64::from(candidate.slots) * weight;
        taken.push(candidate);
    }
    taken
}

/// Chooses the capacity to claim while a call is in progress, so that it is still free when the
/// tickets arrive.
///
/// An urgent step also claims capacity on workers that may turn out not to be allowed, since its
/// next opportunity would come too late.
fn choose_claims(
    chosen: &[Candidate],
    waiting: u32,
    share: f64,
    urgent: bool,
) -> Vec<(WorkerKey, u32)> {
    let mut claimed = 0.0;
    let mut claims = Vec::new();
    for candidate in chosen.iter().filter(|candidate| candidate.allowed || urgent) {
        if claimed >= f64::from(waiting) * CLAIM_CAPACITY_FACTOR {
            break;
        }
        claimed += f64::from(candidate.slots) * if candidate.allowed { 1.0 } else { share };
        claims.push((candidate.key, candidate.slots));
    }
    claims
}

impl Scheduler {
    /// Queues an advice call for a step if its answer can provide workers for waiting tasks.
    /// Returns when to try again.
    pub(super) fn request_advice_call(
        &mut self,
        id: StepId,
        route: &Arc<Route>,
        policy: AdvicePolicy,
        tasks: u32,
        headroom: &Headroom,
        now: BootTime,
    ) -> Option<BootTime> {
        let (.., step) = self.step(id)?;
        if let Some(until) = step.advice.calls_end(now) {
            return Some(until);
        }
        if step.advice.retry_at > now {
            return Some(step.advice.retry_at);
        }
        // Choosing candidates visits all workers, so it is skipped when no call can be made now.
        let urgent = route.priority == URGENT_PRIORITY;
        if let Err(free_at) = self.free_advice_vm(urgent, now) {
            self.log_wait_reason(id, "no VM is free to make an advice call", now);
            return free_at;
        }
        let (_, spec, step) = self.step(id)?;
        let fit = self.step_fit(id, &route.service, now)?;
        let share = self.allowed_shares.get(&route.name).copied().unwrap_or(INITIAL_ALLOWED_SHARE);
        let named = (tasks as usize).min(MAX_WORKERS_PER_CALL);
        let answered_at = now.plus_ms(policy.cost_ms(named) as u64);
        // Tasks outside a gang start as soon as they have a ticket, so their tickets need not last
        // until the answer arrives.
        let needed_until = self.start_arrival(policy, if spec.gang { answered_at } else { now });
        let timing = CallTiming {
            now,
            tasks,
            urgent,
            answered_at,
            needed_until,
            extra: (MAX_EXTRA_CALL_MS / policy.worker_ms.max(f64::MIN_POSITIVE)) as usize,
        };
        let chosen = self.choose_candidates(&fit, step, share, headroom, &timing);
        let claims = choose_claims(&chosen, tasks, share, urgent);
        let unticketed: Vec<Candidate> =
            chosen.into_iter().filter(|candidate| !candidate.ticketed).collect();
        if unticketed.is_empty() {
            self.log_wait_reason(id, "no worker can be named in an advice call", now);
            return None;
        }
        if let Some(step) = self.step_mut(id) {
            step.advice.calls.clear();
            step.advice.claims = claims;
        }
        for part in call_parts(&unticketed, policy) {
            if !self.start_call(id, part, policy, urgent, now) {
                break;
            }
        }
        self.step(id)?.2.advice.calls_end(now)
    }

    /// Queues a call that names the given workers. Returns false if no VM is free to make it.
    fn start_call(
        &mut self,
        id: StepId,
        named: &[Candidate],
        policy: AdvicePolicy,
        urgent: bool,
        now: BootTime,
    ) -> bool {
        let cost = policy.cost_ms(named.len());
        let Some(advice_vm) = self.take_advice_vm(cost as u64, urgent, now) else { return false };
        let until = now.plus_ms(cost as u64 + CALL_TIMEOUT_SLACK_MS + MAX_ADVICE_QUEUE_MS);
        log::debug!("event=advice_asked step={id} vm={advice_vm} workers={}", named.len());
        self.stats.advice += 1;
        let name = |candidate: &Candidate| {
            Some((candidate.key, self.workers.get(candidate.key)?.name.clone()))
        };
        let workers: Vec<(WorkerKey, Arc<str>)> = named.iter().filter_map(name).collect();
        if let Some(step) = self.step_mut(id) {
            step.advice.calls.push(PendingCall { vm: advice_vm.clone(), until });
        }
        self.advice_calls.push(AdviceCall { step: id, vm: advice_vm, workers, until, urgent });
        true
    }

    /// Returns when a start decided now is assumed to reach the worker, for which its ticket must
    /// still be valid.
    ///
    /// The record delay is counted only up to half of a ticket's validity, so that tickets remain
    /// usable while the store is slow.
    pub(super) fn start_arrival(&self, policy: AdvicePolicy, now: BootTime) -> BootTime {
        now.plus_ms(self.record_ms.min(policy.validity_ms / 2))
    }

    /// Deducts the capacity that a step has claimed while its call is in progress, until it is that
    /// of `limit` tasks. Returns for how many tasks it has been claimed.
    pub(super) fn deduct_claims(
        &self,
        id: StepId,
        limit: u32,
        headroom: &mut Headroom,
        now: BootTime,
    ) -> u32 {
        let Some((_, spec, step)) = self.step(id) else { return 0 };
        if step.advice.calls_end(now).is_none() {
            return 0;
        }
        let mut claimed = 0_u32;
        for &(key, slots) in &step.advice.claims {
            if claimed >= limit {
                break;
            }
            claimed = claimed.saturating_add(slots);
            if let Some(amount) = spec.capacity_charge().checked_mul(slots) {
                headroom.take(key, amount);
            }
        }
        claimed
    }

    /// Logs why a step waits, at most once per [`WAIT_LOG_INTERVAL_MS`].
    fn log_wait_reason(&mut self, id: StepId, reason: &'static str, now: BootTime) {
        let Some((_, spec, step)) = self.step(id) else { return };
        if now.ms_since(step.logged_at) < WAIT_LOG_INTERVAL_MS {
            return;
        }
        log::info!(
            "event=step_waits step={id} reason=\"{reason}\" waiting={} gang={} tickets={} \
             allowed={} barred={} calls={} accepting={}",
            step.waiting,
            spec.gang,
            step.advice.valid_tickets(now).count(),
            step.advice.allowed.len(),
            step.advice.rejected.len(),
            self.regular_calls(),
            self.workers.values().filter(|worker| worker.accepts_tasks(now)).count(),
        );
        if let Some(step) = self.step_mut(id) {
            step.logged_at = now;
        }
    }

    /// Chooses the workers for a call: those to name, and those whose valid tickets the answer
    /// complements.
    ///
    /// A gang starts only when all its tickets are valid at once. A call for a gang therefore names
    /// every worker whose ticket expires before the answer arrives; if it named only the missing
    /// ones, the others would repeatedly expire meanwhile. No call is made for a gang that no
    /// answer could complete, since its tickets would expire before the capacity is free.
    fn choose_candidates(
        &self,
        fit: &StepFit,
        step: &Step,
        share: f64,
        headroom: &Headroom,
        timing: &CallTiming,
    ) -> Vec<Candidate> {
        let spec = fit.spec;
        let candidates = self.call_candidates(fit, step, headroom, timing);
        let sum = |allowed: bool| -> u32 {
            candidates
                .iter()
                .filter(|candidate| candidate.allowed == allowed)
                .map(|candidate| candidate.slots)
                .sum()
        };
        let (known, unknown) = (sum(true), f64::from(sum(false)) * share);
        let waiting = f64::from(timing.tasks);
        if spec.gang && known >= timing.tasks {
            return take_until(candidates, waiting * GANG_CALL_FACTOR, share, 0, MAX_GANG_WORKERS);
        }
        if spec.gang {
            let capacity = self.allowed_capacity(fit, step, timing.now);
            let sufficient = f64::from(known) + unknown >= waiting * CLAIM_CAPACITY_FACTOR;
            // Calls for gangs take the longest. Naming more workers is worth a call if the answer
            // can suffice at once, or while too little capacity of the workers known to be allowed
            // is predicted to become free soon. Otherwise the gang waits for the known ones.
            let capacity_short = capacity < timing.tasks;
            if !step.advice.may_explore(timing.now) || (!capacity_short && !sufficient) {
                return Vec::new();
            }
            if !sufficient {
                return self.choose_by_capacity(fit, step, share, timing);
            }
            return take_until(
                candidates,
                waiting * GANG_EXPLORE_FACTOR,
                share,
                0,
                MAX_GANG_WORKERS,
            );
        }
        let wanted = waiting * CALL_CAPACITY_FACTOR;
        take_until(candidates, wanted, share, timing.extra, MAX_WORKERS_PER_CALL)
    }

    /// Chooses unknown workers by total capacity, so that the ones allowed among them could hold a
    /// gang several times over when empty.
    fn choose_by_capacity(
        &self,
        fit: &StepFit,
        step: &Step,
        share: f64,
        timing: &CallTiming,
    ) -> Vec<Candidate> {
        let ahead_ms = timing.answered_at.ms_since(timing.now);
        let unknown = |(key, worker): (WorkerKey, &super::Worker)| {
            let known = step.advice.allows(key) || step.advice.rejects(key);
            if known || !worker.accepts_tasks(timing.now) {
                return None;
            }
            let slots = fit.slots(key, worker, worker.drainable_capacity()).min(timing.tasks);
            let free_slots = fit.slots(key, worker, worker.free_within(ahead_ms, timing.now));
            let candidate = Candidate { key, allowed: false, ticketed: false, slots };
            let mismatch = self.speed_mismatch(key, fit.spec, timing.urgent);
            (slots > 0).then_some(((mismatch, std::cmp::Reverse(free_slots)), candidate))
        };
        let mut candidates: Vec<_> = self.workers.iter().filter_map(unknown).collect();
        candidates.sort_by_key(|(order, _)| *order);
        let candidates = candidates.into_iter().map(|(_, candidate)| candidate).collect();
        let known = self.allowed_capacity(fit, step, timing.now);
        let wanted = (timing.tasks * GANG_CANDIDATE_FACTOR).saturating_sub(known);
        take_until(candidates, f64::from(wanted), share, 0, MAX_GANG_WORKERS)
    }

    /// Returns the workers that a call could name, the best first.
    fn call_candidates(
        &self,
        fit: &StepFit,
        step: &Step,
        headroom: &Headroom,
        timing: &CallTiming,
    ) -> Vec<Candidate> {
        let spec = fit.spec;
        let mut candidates = Vec::new();
        let ahead_ms = timing.answered_at.ms_since(timing.now);
        for (key, mut free) in headroom.workers() {
            let Some(worker) = self.workers.get(key) else { continue };
            if spec.gang && step.advice.allows(key) {
                // The capacity for a gang is claimed during the call, so runs that end before the
                // answer count as free.
                free = free.saturating_add(worker.ending_capacity(ahead_ms, timing.now));
            }
            let slots = fit.slots(key, worker, free);
            if slots == 0 || step.advice.rejects(key) {
                continue;
            }
            let ticketed = step.advice.ticket(key, timing.needed_until).is_some();
            let allowed = ticketed || step.advice.allows(key);
            candidates.push(Candidate { key, allowed, ticketed, slots: slots.min(timing.tasks) });
        }
        candidates.sort_by_key(|candidate| {
            let reserved = !spec.gang && self.reserved.contains(&candidate.key);
            let mismatch = self.speed_mismatch(candidate.key, spec, timing.urgent);
            (
                !candidate.allowed,
                reserved,
                !candidate.ticketed,
                mismatch,
                std::cmp::Reverse(candidate.slots),
            )
        });
        candidates
    }

    /// Returns how many tasks are predicted to fit on the allowed workers within
    /// [`GANG_LOOKAHEAD_MS`].
    fn allowed_capacity(&self, fit: &StepFit, step: &Step, now: BootTime) -> u32 {
        let capacity = |key: &WorkerKey| {
            let worker = self.workers.get(*key).filter(|worker| worker.accepts_tasks(now))?;
            Some(fit.slots(*key, worker, worker.free_within(GANG_LOOKAHEAD_MS, now)))
        };
        step.advice.allowed.iter().filter_map(capacity).sum()
    }

    /// Records the answer to a call. `eligible` holds the name and ticket of each allowed worker,
    /// or `None` if the call failed.
    pub fn record_advice(
        &mut self,
        call: &AdviceCall,
        eligible: Option<&[(Arc<str>, Arc<str>)]>,
        now: BootTime,
    ) {
        self.release_advice_vm(call, eligible.is_none().then_some(CALL_RETRY_DELAY_MS), now);
        let route = self.step(call.step).map(|(job, ..)| self.route_of(job));
        let validity_ms =
            route.as_ref().and_then(|route| route.advice).map_or(0, |policy| policy.validity_ms);
        let Some(step) = self.step_mut(call.step) else { return };
        step.advice.end_call(call, now);
        let Some(eligible) = eligible else {
            step.advice.retry_at = now.plus_ms(CALL_RETRY_DELAY_MS);
            log::info!("event=advice_failed step={} vm={}", call.step, call.vm);
            return;
        };
        let until = BootTime(now.plus_ms(validity_ms).0.saturating_sub(TICKET_EXPIRY_MARGIN_MS));
        let (mut unknown, mut found) = (0_u32, 0_u32);
        for (key, name) in &call.workers {
            step.advice.drop_ticket(*key);
            // Workers already known to be allowed are always granted again and would bias the
            // estimated share.
            if !step.advice.allows(*key) {
                unknown += 1;
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
                    step.advice.rejected.insert(*key);
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
            && unknown > 0
        {
            let share = f64::from(found) / f64::from(unknown);
            let known =
                self.allowed_shares.entry(route.name.clone()).or_insert(INITIAL_ALLOWED_SHARE);
            *known = (*known + (share - *known) * ALLOWED_SHARE_WEIGHT).max(MIN_ALLOWED_SHARE);
        }
    }
}
