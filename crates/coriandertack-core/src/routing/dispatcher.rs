//! From a request's admission to the verdict on its attempts.
//!
//! A router offers each request, asks for requests to start whenever a slot may be free, and reports
//! how each attempt ended. It keeps contents and connections itself; here are only decisions.

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

/// Attempts at one request, the first included.
const MAX_ATTEMPTS: u32 = 3;

/// Factor of the cautious response time after which a passed deadline counts as a failure of the worker.
const HANGING: u32 = 2;

/// How long a worker that refused a request for lack of slots gets none, in milliseconds.
const FULL_PAUSE_MS: f64 = 5.0;

/// A request as its caller states it.
#[derive(Clone, Copy, Debug)]
pub struct RequestInfo<'a> {
    /// Class of the service, `team.name`.
    pub service: &'a str,
    /// Class of the request within the service; may be empty.
    pub class: &'a str,
    /// When the caller stops waiting.
    pub until: Instant,
    /// Whether it may be sent twice.
    pub repeatable: bool,
}

/// A request to send now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Attempt {
    /// The request.
    pub request: RequestKey,
    /// The instance.
    pub endpoint: EndpointKey,
    /// Its worker.
    pub upstream: UpstreamKey,
    /// When the caller stops waiting.
    pub until: Instant,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete answer came.
    Answered,
    /// Nothing was sent.
    NotSent,
    /// The worker said that it did not run the request.
    NotRun,
    /// Bytes may have been sent and no valid answer came.
    MayHaveRun,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// Pass the answer on.
    Respond,
    /// Wait: the request is queued for another attempt.
    Retry,
    /// Refuse with this code.
    Refuse(Code),
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Queued(QueuePosition),
    /// In flight. `late` requests have been answered at their deadline, but still hold a slot.
    Running {
        endpoint: EndpointKey,
        since: Instant,
        late: bool,
    },
}

#[derive(Clone, Copy, Debug)]
struct Request {
    service: ServiceKey,
    class: ClassKey,
    until: Instant,
    repeatable: bool,
    attempts: u32,
    /// Whether an attempt may have run, after which no refusal may promise the opposite.
    tainted: bool,
    avoid: Option<EndpointKey>,
    phase: Phase,
}

impl Request {
    /// Returns the code for a request that gets no further attempt.
    fn refusal(&self, otherwise: Code) -> Code {
        match (self.tainted, self.repeatable) {
            (false, _) => otherwise,
            (true, true) => Code::UpstreamFailed,
            (true, false) => Code::OutcomeUnknown,
        }
    }
}

/// State of all decisions of a router.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    /// Division of the workers' slots.
    pub shares: SlotShares,
    /// Instances.
    pub table: EndpointTable,
    /// Queues.
    pub queues: AdmissionQueues,
    /// Least part of a service's slots that is kept for short requests, in percent.
    pub short_percent: u32,
    requests: SlotMap<RequestKey, Request>,
}

impl Dispatcher {
    /// Returns the state of a router in `zone` that has no share yet.
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

    /// Replaces the instances.
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
    /// Fails with [`Code::NoUpstream`] if no instance takes requests, and with [`Code::Overloaded`] if
    /// the request would probably be answered too late.
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
            tainted: false,
            avoid: None,
            phase: Phase::Queued(queues.push(service, class, request_info.until, key)),
        });
        Ok(key)
    }

    /// Returns the next request of the service of `request` to start now.
    pub fn start_for(&mut self, request: RequestKey, now: Instant) -> Option<Attempt> {
        let service = self.requests.get(request)?.service;
        self.start(service, now)
    }

    /// Returns the next request to start on a worker whose slot became free, of the service that has
    /// used least. The request may start on another worker if that one answers sooner.
    pub fn start_on(&mut self, upstream: UpstreamKey, now: Instant) -> Option<Attempt> {
        let endpoints = &self.table.upstreams.get(upstream)?.endpoints;
        let mut services: Vec<_> =
            endpoints.iter().map(|&endpoint| self.table.endpoints[endpoint].service).collect();
        self.queues.sort_by_usage(&mut services);
        services.into_iter().find_map(|service| self.start(service, now))
    }

    /// Returns the next request to start of any service.
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
        let long_room = self.queues.long_in_flight(service) < long_limit;
        let (class, key) = self.queues.peek(service, long_room)?;
        let request = &mut self.requests[key];
        let expected_ms = self.queues.classes[class].typical_ms.ms().unwrap_or(0.0);
        let query = EndpointQuery {
            service,
            expected_ms,
            avoid: request.avoid,
            // A request that may be sent again is lost to nobody if the probe fails.
            probe: request.repeatable && request.attempts == 0,
        };
        let endpoint = self.table.pick(&query, now)?;
        if let Phase::Queued(place) = request.phase {
            self.queues.remove(place);
        }
        request.phase = Phase::Running { endpoint, since: now, late: false };
        request.attempts += 1;
        self.queues.record_start(service, class);
        self.table.acquire_slot(endpoint);
        let upstream = self.table.endpoints[endpoint].upstream;
        Some(Attempt { request: key, endpoint, upstream, until: request.until })
    }

    /// Notes that an attempt ended and that its slot is free. Says what to do with the request.
    pub fn end_attempt(
        &mut self,
        key: RequestKey,
        outcome: AttemptOutcome,
        now: Instant,
    ) -> NextAction {
        let Some(request) = self.requests.get_mut(key) else {
            return NextAction::Refuse(Code::Internal);
        };
        request.tainted |= outcome == AttemptOutcome::MayHaveRun;
        let request = *request;
        let Phase::Running { endpoint, since, late } = request.phase else {
            return NextAction::Refuse(Code::Internal);
        };
        self.queues.record_end(request.class);
        self.judge(&request, endpoint, since, outcome, now);
        self.table.release_slot(endpoint);
        if late {
            self.requests.remove(key);
            return NextAction::Refuse(Code::OutcomeUnknown);
        }
        let step = self.step(&request, outcome, now);
        if step == NextAction::Retry {
            self.queue_again(key, endpoint);
        } else {
            self.requests.remove(key);
        }
        step
    }

    /// Gives back the slot of a request that was started but not sent, and drops the request. Returns
    /// the code for its caller: `otherwise`, unless an earlier attempt may have run.
    pub fn abandon(&mut self, key: RequestKey, otherwise: Code) -> Code {
        let Some(request) = self.requests.remove(key) else {
            return Code::Internal;
        };
        match request.phase {
            Phase::Queued(place) => self.queues.remove(place),
            Phase::Running { endpoint, .. } => {
                self.queues.record_end(request.class);
                self.table.release_slot(endpoint);
            }
        }
        request.refusal(otherwise)
    }

    /// Notes that the deadline of a request in flight has passed. Its slot stays in use until
    /// [`Dispatcher::end_attempt`], because the worker may still be running it.
    pub fn mark_overdue(&mut self, key: RequestKey, now: Instant) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let Phase::Running { endpoint, since, late } = &mut request.phase else {
            return;
        };
        *late = true;
        // A worker that hangs is ejected by this; the end of the attempt comes only much later. A request
        // that spent its time in the queue says nothing of the worker.
        let usual = duration_from_ms(self.queues.classes[request.class].response_ms.upper_bound());
        if now.duration_since(*since) > usual * HANGING {
            self.table.record_failure(*endpoint, now);
        }
    }

    /// Learns from an attempt.
    fn judge(
        &mut self,
        request: &Request,
        endpoint: EndpointKey,
        since: Instant,
        outcome: AttemptOutcome,
        now: Instant,
    ) {
        let ms = now.duration_since(since).as_secs_f64() * 1_000.0;
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
                    self.table.upstreams[upstream].full_until =
                        Some(now + duration_from_ms(FULL_PAUSE_MS));
                }
            }
        }
    }

    /// Decides what follows an attempt, and pays for a retry.
    fn step(&mut self, request: &Request, outcome: AttemptOutcome, now: Instant) -> NextAction {
        let otherwise = match outcome {
            AttemptOutcome::Answered => return NextAction::Respond,
            AttemptOutcome::NotSent => Code::NoUpstream,
            AttemptOutcome::NotRun | AttemptOutcome::MayHaveRun => Code::Overloaded,
        };
        let may_repeat = request.repeatable || !request.tainted;
        let need = duration_from_ms(self.queues.classes[request.class].response_ms.mean());
        let in_time = now + need < request.until && request.attempts < MAX_ATTEMPTS;
        let budget = &mut self.table.services[request.service].retry_budget;
        if may_repeat && in_time && budget.withdraw() {
            NextAction::Retry
        } else {
            NextAction::Refuse(request.refusal(otherwise))
        }
    }

    fn queue_again(&mut self, key: RequestKey, endpoint: EndpointKey) {
        let request = &mut self.requests[key];
        let place = self.queues.push(request.service, request.class, request.until, key);
        request.phase = Phase::Queued(place);
        request.avoid = Some(endpoint);
    }

    /// Removes and returns the queued requests that can no longer be answered in time, with the code
    /// for each.
    pub fn expire(&mut self, now: Instant) -> Vec<(RequestKey, Code)> {
        let late = self.queues.expire(now);
        late.into_iter()
            .filter_map(|key| Some((key, self.requests.remove(key)?.refusal(Code::Overloaded))))
            .collect()
    }
}
