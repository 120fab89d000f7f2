//! Admission of requests, their start on an instance, and the handling of the result of each attempt.
//!
//! The router offers each request, asks for requests to start whenever a slot may be free, and reports the
//! outcome of each attempt. It keeps the contents and the connections; this module only decides.

use std::sync::Arc;

use {slotmap::SlotMap, tokio::time::Instant};

use crate::{
    code::Code,
    message::Instance,
    routing::{
        ClassKey, EndpointKey, RequestKey, ServiceKey, UpstreamKey,
        admission::{AdmissionQueues, QueuePosition, duration_from_ms},
        endpoint_table::{EndpointQuery, EndpointTable},
        request_length::{MIN_SHORT_PERCENT, max_long_slots},
        shares::SlotShares,
    },
};

/// Maximum number of attempts at one request, including the first.
const MAX_ATTEMPTS: u32 = 3;

/// Multiple of the upper bound of the response time after which a missed deadline counts as a failure of
/// the instance.
const HANGING_FACTOR: u32 = 2;

/// Time for which a worker gets no requests after it refused one for lack of slots, in milliseconds.
const FULL_BACKOFF_MS: f64 = 5.0;

/// What the caller states about a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestInfo<'a> {
    /// Name of the service, `team.name`.
    pub service: &'a str,
    /// Class of the request within the service, which may be empty.
    pub class: &'a str,
    /// Deadline, after which the caller no longer waits.
    pub until: Instant,
    /// Whether the request may run more than once.
    pub repeatable: bool,
}

/// An attempt to send now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// Request to send.
    pub request: RequestKey,
    /// Instance to send it to.
    pub endpoint: EndpointKey,
    /// Worker of the instance.
    pub upstream: UpstreamKey,
    /// Deadline of the request.
    pub until: Instant,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response arrived.
    Answered,
    /// No byte of the request was sent.
    NotSent,
    /// The worker reported that it did not run the request.
    NotRun,
    /// Bytes may have been sent, and no valid response arrived.
    MayHaveRun,
}

/// What to do with a request after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Pass the response on to the caller.
    Respond,
    /// Wait: the request was queued for another attempt.
    Retry,
    /// Refuse the request with this code.
    Refuse(Code),
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Queued(QueuePosition),
    /// In flight. An `overdue` request was answered at its deadline but still takes a slot.
    Running {
        endpoint: EndpointKey,
        started_at: Instant,
        overdue: bool,
    },
}

#[derive(Clone, Copy, Debug)]
struct Request {
    service: ServiceKey,
    class: ClassKey,
    until: Instant,
    repeatable: bool,
    attempts: u32,
    /// Whether an attempt may have run, after which no refusal may claim that the request was not run.
    possibly_run: bool,
    avoid: Option<EndpointKey>,
    phase: Phase,
}

impl Request {
    /// Returns the code for a request that gets no further attempt: `otherwise`, unless an attempt may have run.
    fn refusal(&self, otherwise: Code) -> Code {
        match (self.possibly_run, self.repeatable) {
            (false, _) => otherwise,
            (true, true) => Code::UpstreamFailed,
            (true, false) => Code::OutcomeUnknown,
        }
    }
}

/// Decides for a router which requests to admit, start, retry and refuse.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    /// This VM's shares of the workers' slots.
    pub shares: SlotShares,
    /// Services and their instances.
    pub table: EndpointTable,
    /// Queues of the services.
    pub queues: AdmissionQueues,
    /// Minimum share of a service's slots that is reserved for short requests, in percent.
    pub short_percent: u32,
    requests: SlotMap<RequestKey, Request>,
}

impl Dispatcher {
    /// Returns the dispatcher of a VM in `zone`, without instances and with no share of any worker.
    #[must_use]
    pub fn new(zone: Arc<str>) -> Self {
        Self {
            shares: SlotShares::default(),
            table: EndpointTable::new(zone),
            queues: AdmissionQueues::default(),
            short_percent: MIN_SHORT_PERCENT,
            requests: SlotMap::with_key(),
        }
    }

    /// Replaces the instances, and forgets the services that are no longer in use.
    pub fn update(&mut self, instances: &[Instance]) {
        self.table.update(instances, &self.shares);
        let table = &self.table;
        self.queues.retain(|service| table.is_served(service));
        let queues = &self.queues;
        self.table.retain_services(|service| queues.contains(service));
    }

    /// Returns how many requests are queued or in flight.
    #[must_use]
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Admits a request to the queue of its service.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::NoUpstream`] if no instance accepts requests, and with [`Code::Overloaded`] if the
    /// response would probably come after the deadline.
    pub fn admit(
        &mut self,
        request_info: &RequestInfo<'_>,
        now: Instant,
    ) -> Result<RequestKey, Code> {
        let service = self.table.service_key(request_info.service).ok_or(Code::NoUpstream)?;
        if !self.table.is_served(service) {
            return Err(Code::NoUpstream);
        }
        let class =
            self.queues.class_or_insert(service, request_info.service, request_info.class, now);
        self.queues.record_short_load(service, now);
        if !self.queues.can_admit(service, class, request_info.until, now) {
            return Err(Code::Overloaded);
        }
        self.table.services[service].retry_budget.deposit();
        let queues = &mut self.queues;
        let key = self.requests.insert_with_key(|key| Request {
            service,
            class,
            until: request_info.until,
            repeatable: request_info.repeatable,
            attempts: 0,
            possibly_run: false,
            avoid: None,
            phase: Phase::Queued(queues.push(service, class, request_info.until, key)),
        });
        Ok(key)
    }

    /// Starts the next request of the service of `request`, if there is a free slot for it.
    pub fn start_for(&mut self, request: RequestKey, now: Instant) -> Option<Attempt> {
        let service = self.requests.get(request)?.service;
        self.start(service, now)
    }

    /// Starts the next request of a service on `upstream`, where a slot became free. The service that has used
    /// least goes first, and the request may start on another worker if that is expected to respond sooner.
    pub fn start_on(&mut self, upstream: UpstreamKey, now: Instant) -> Option<Attempt> {
        let endpoints = &self.table.upstreams.get(upstream)?.endpoints;
        let mut services: Vec<_> =
            endpoints.iter().map(|&endpoint| self.table.endpoints[endpoint].service).collect();
        self.queues.sort_by_usage(&mut services);
        services.into_iter().find_map(|service| self.start(service, now))
    }

    /// Starts the next request of any service. The service that has used least goes first.
    pub fn start_any(&mut self, now: Instant) -> Option<Attempt> {
        if self.queues.queued_count() == 0 {
            return None;
        }
        let mut services: Vec<_> = self.table.services.keys().collect();
        self.queues.sort_by_usage(&mut services);
        services.into_iter().find_map(|service| self.start(service, now))
    }

    fn start(&mut self, service: ServiceKey, now: Instant) -> Option<Attempt> {
        let short_peak = self.queues.short_peak(service);
        let long_limit = max_long_slots(self.table.slots(service), short_peak, self.short_percent);
        let allow_long = self.queues.long_in_flight(service) < long_limit;
        let (class, key) = self.queues.peek(service, allow_long)?;
        let request = &mut self.requests[key];
        let expected_ms = self.queues.classes[class].typical_ms.ms().unwrap_or(0.0);
        let query = EndpointQuery {
            service,
            expected_ms,
            avoid: request.avoid,
            // If the probe fails, a repeatable request can be sent again.
            probe: request.repeatable && request.attempts == 0,
        };
        let endpoint = self.table.pick(&query, now)?;
        if let Phase::Queued(position) = request.phase {
            self.queues.remove(position);
        }
        request.phase = Phase::Running { endpoint, started_at: now, overdue: false };
        request.attempts += 1;
        self.queues.record_start(service, class);
        self.table.acquire_slot(endpoint);
        let upstream = self.table.endpoints[endpoint].upstream;
        Some(Attempt { request: key, endpoint, upstream, until: request.until })
    }

    /// Records the outcome of an attempt, releases its slot and returns what to do with the request.
    pub fn end_attempt(
        &mut self,
        key: RequestKey,
        outcome: AttemptOutcome,
        now: Instant,
    ) -> NextAction {
        let Some(request) = self.requests.get_mut(key) else {
            return NextAction::Refuse(Code::Internal);
        };
        request.possibly_run |= outcome == AttemptOutcome::MayHaveRun;
        let request = *request;
        let Phase::Running { endpoint, started_at, overdue } = request.phase else {
            return NextAction::Refuse(Code::Internal);
        };
        self.queues.record_end(request.class);
        self.record_outcome(&request, endpoint, started_at, outcome, now);
        self.table.release_slot(endpoint);
        if overdue {
            self.requests.remove(key);
            return NextAction::Refuse(Code::OutcomeUnknown);
        }
        let next_action = self.next_action(&request, outcome, now);
        if next_action == NextAction::Retry {
            self.requeue(key, endpoint);
        } else {
            self.requests.remove(key);
        }
        next_action
    }

    /// Drops a request that is queued or was started but not sent, and releases its slot. Returns the code for
    /// the caller: `otherwise`, unless an earlier attempt may have run.
    pub fn abandon(&mut self, key: RequestKey, otherwise: Code) -> Code {
        let Some(request) = self.requests.remove(key) else {
            return Code::Internal;
        };
        match request.phase {
            Phase::Queued(position) => self.queues.remove(position),
            Phase::Running { endpoint, .. } => {
                self.queues.record_end(request.class);
                self.table.release_slot(endpoint);
            }
        }
        request.refusal(otherwise)
    }

    /// Records that the deadline of a request in flight has passed. The request keeps its slot until
    /// [`Dispatcher::end_attempt`], because the worker may still be running it.
    pub fn mark_overdue(&mut self, key: RequestKey, now: Instant) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let Phase::Running { endpoint, started_at, overdue } = &mut request.phase else {
            return;
        };
        *overdue = true;
        // This ejects an instance that hangs; the attempt itself ends only much later. A request that spent its
        // time in the queue says nothing about the instance.
        let upper_bound =
            duration_from_ms(self.queues.classes[request.class].response_ms.upper_bound());
        if now.duration_since(*started_at) > upper_bound * HANGING_FACTOR {
            self.table.record_failure(*endpoint, now);
        }
    }

    /// Updates the statistics of the instance and of the request's class after an attempt.
    fn record_outcome(
        &mut self,
        request: &Request,
        endpoint: EndpointKey,
        started_at: Instant,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let ms = now.duration_since(started_at).as_secs_f64() * 1_000.0;
        match outcome {
            AttemptOutcome::Answered => {
                let expected_ms = self.queues.classes[request.class].typical_ms.ms().unwrap_or(ms);
                self.table.record_response(endpoint, ms, expected_ms, now);
                self.queues.record_latency(request.service, request.class, ms);
            }
            AttemptOutcome::NotSent | AttemptOutcome::MayHaveRun => {
                self.table.record_failure(endpoint, now)
            }
            AttemptOutcome::NotRun => {
                let upstream = self.table.endpoints.get(endpoint).map(|endpoint| endpoint.upstream);
                if let Some(upstream) = upstream {
                    self.table.upstreams[upstream].backoff_until =
                        Some(now + duration_from_ms(FULL_BACKOFF_MS));
                }
            }
        }
    }

    /// Decides what follows an attempt, and withdraws a retry from the budget.
    fn next_action(
        &mut self,
        request: &Request,
        outcome: AttemptOutcome,
        now: Instant,
    ) -> NextAction {
        let otherwise = match outcome {
            AttemptOutcome::Answered => return NextAction::Respond,
            AttemptOutcome::NotSent => Code::NoUpstream,
            AttemptOutcome::NotRun | AttemptOutcome::MayHaveRun => Code::Overloaded,
        };
        let may_repeat = request.repeatable || !request.possibly_run;
        let expected_time = duration_from_ms(self.queues.classes[request.class].response_ms.mean());
        let in_time = now + expected_time < request.until && request.attempts < MAX_ATTEMPTS;
        let retry_budget = &mut self.table.services[request.service].retry_budget;
        if may_repeat && in_time && retry_budget.withdraw() {
            NextAction::Retry
        } else {
            NextAction::Refuse(request.refusal(otherwise))
        }
    }

    fn requeue(&mut self, key: RequestKey, endpoint: EndpointKey) {
        let request = &mut self.requests[key];
        let position = self.queues.push(request.service, request.class, request.until, key);
        request.phase = Phase::Queued(position);
        request.avoid = Some(endpoint);
    }

    /// Removes and returns the queued requests that can no longer be answered before their deadline, with the
    /// code for each caller.
    pub fn expire(&mut self, now: Instant) -> Vec<(RequestKey, Code)> {
        let expired = self.queues.expire(now);
        expired
            .into_iter()
            .filter_map(|key| Some((key, self.requests.remove(key)?.refusal(Code::Overloaded))))
            .collect()
    }
}
