//! From a request's admission to the verdict on its attempts.
//!
//! A router offers each request, asks for requests to start whenever a slot may be free, and reports
//! how each attempt ended. It keeps contents and connections itself; here are only decisions.

use std::sync::Arc;

use {slotmap::SlotMap, tokio::time::Instant};

use crate::{
    code::Code,
    message::Instance,
    route::{
        ClassKey, RequestKey, ServiceKey, SiteKey, UpstreamKey,
        admission::{Place, Queues, millis},
        lanes::{LEAST_KEPT_PERCENT, long_limit},
        shares::Shares,
        table::{Table, Wanted},
    },
};

/// Attempts at one request, the first included.
const MOST_ATTEMPTS: u32 = 3;

/// Factor of the cautious response time after which a passed deadline counts as a failure of the worker.
const HANGING: u32 = 2;

/// How long a worker that refused a request for lack of slots gets none, in milliseconds.
const FULL_PAUSE_MS: f64 = 5.0;

/// A request as its caller states it.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
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
pub struct Start {
    /// The request.
    pub request: RequestKey,
    /// The instance.
    pub site: SiteKey,
    /// Its worker.
    pub upstream: UpstreamKey,
    /// When the caller stops waiting.
    pub until: Instant,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
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
pub enum Step {
    /// Pass the answer on.
    Answer,
    /// Wait: the request is queued for another attempt.
    Again,
    /// Refuse with this code.
    Refuse(Code),
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Queued(Place),
    /// In flight. `late` requests have been answered at their deadline, but still hold a slot.
    Running {
        site: SiteKey,
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
    avoid: Option<SiteKey>,
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
pub struct Dispatch {
    /// Division of the workers' slots.
    pub shares: Shares,
    /// Instances.
    pub table: Table,
    /// Queues.
    pub queues: Queues,
    /// Least part of a service's slots that is kept for short requests, in percent.
    pub kept: u32,
    requests: SlotMap<RequestKey, Request>,
}

impl Dispatch {
    /// Returns the state of a router in `zone` that has no share yet.
    #[must_use]
    pub fn new(zone: Arc<str>) -> Self {
        Self {
            shares: Shares::default(),
            table: Table::new(zone),
            queues: Queues::default(),
            kept: LEAST_KEPT_PERCENT,
            requests: SlotMap::with_key(),
        }
    }

    /// Replaces the instances.
    pub fn update(&mut self, instances: &[Instance]) {
        self.table.update(instances, &self.shares);
        let table = &self.table;
        self.queues.retain(|service| table.is_served(service));
        let queues = &self.queues;
        self.table.retain_services(|service| queues.knows(service));
    }

    /// Returns how many requests are queued or in flight.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.len()
    }

    /// Admits a request to the queue of its service.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::NoUpstream`] if no instance takes requests, and with [`Code::Overloaded`] if
    /// the request would probably be answered too late.
    pub fn offer(&mut self, offer: &Offer<'_>, now: Instant) -> Result<RequestKey, Code> {
        let service = self.table.service(offer.service).ok_or(Code::NoUpstream)?;
        if !self.table.is_served(service) {
            return Err(Code::NoUpstream);
        }
        let class = self.queues.class(service, offer.service, offer.class, now);
        self.queues.observe(service, now);
        if !self.queues.admits(service, class, offer.until, now) {
            return Err(Code::Overloaded);
        }
        self.table.services[service].budget.deposit();
        let queues = &mut self.queues;
        let key = self.requests.insert_with_key(|key| Request {
            service,
            class,
            until: offer.until,
            repeatable: offer.repeatable,
            attempts: 0,
            tainted: false,
            avoid: None,
            phase: Phase::Queued(queues.push(service, class, offer.until, key)),
        });
        Ok(key)
    }

    /// Returns the next request of the service of `request` to start now.
    pub fn start_for(&mut self, request: RequestKey, now: Instant) -> Option<Start> {
        let service = self.requests.get(request)?.service;
        self.start(service, now)
    }

    /// Returns the next request to start on a worker whose slot became free, of the service that has
    /// used least. The request may start on another worker if that one answers sooner.
    pub fn start_on(&mut self, upstream: UpstreamKey, now: Instant) -> Option<Start> {
        let sites = &self.table.upstreams.get(upstream)?.sites;
        let mut services: Vec<_> =
            sites.iter().map(|&site| self.table.sites[site].service).collect();
        self.queues.sort_by_use(&mut services);
        services.into_iter().find_map(|service| self.start(service, now))
    }

    /// Returns the next request to start of any service.
    pub fn start_any(&mut self, now: Instant) -> Option<Start> {
        if self.queues.queued() == 0 {
            return None;
        }
        let mut services: Vec<_> = self.table.services.keys().collect();
        self.queues.sort_by_use(&mut services);
        services.into_iter().find_map(|service| self.start(service, now))
    }

    fn start(&mut self, service: ServiceKey, now: Instant) -> Option<Start> {
        let short_peak = self.queues.short_peak(service);
        let long_limit = long_limit(self.table.slots(service), short_peak, self.kept);
        let long_room = self.queues.long_in_flight(service) < long_limit;
        let (class, key) = self.queues.first(service, long_room)?;
        let request = &mut self.requests[key];
        let usual_ms = self.queues.classes[class].typical.ms().unwrap_or(0.0);
        let wanted = Wanted {
            service,
            usual_ms,
            avoid: request.avoid,
            // A request that may be sent again is lost to nobody if the probe fails.
            probe: request.repeatable && request.attempts == 0,
        };
        let site = self.table.pick(&wanted, now)?;
        if let Phase::Queued(place) = request.phase {
            self.queues.remove(place);
        }
        request.phase = Phase::Running { site, since: now, late: false };
        request.attempts += 1;
        self.queues.started(service, class);
        self.table.occupy(site);
        let upstream = self.table.sites[site].upstream;
        Some(Start { request: key, site, upstream, until: request.until })
    }

    /// Notes that an attempt ended and that its slot is free. Says what to do with the request.
    pub fn end(&mut self, key: RequestKey, ending: Ending, now: Instant) -> Step {
        let Some(request) = self.requests.get_mut(key) else {
            return Step::Refuse(Code::Internal);
        };
        request.tainted |= ending == Ending::MayHaveRun;
        let request = *request;
        let Phase::Running { site, since, late } = request.phase else {
            return Step::Refuse(Code::Internal);
        };
        self.queues.ended(request.class);
        self.judge(&request, site, since, ending, now);
        self.table.vacate(site);
        if late {
            self.requests.remove(key);
            return Step::Refuse(Code::OutcomeUnknown);
        }
        let step = self.step(&request, ending, now);
        if step == Step::Again {
            self.queue_again(key, site);
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
            Phase::Running { site, .. } => {
                self.queues.ended(request.class);
                self.table.vacate(site);
            }
        }
        request.refusal(otherwise)
    }

    /// Notes that the deadline of a request in flight has passed. Its slot stays in use until
    /// [`Dispatch::end`], because the worker may still be running it.
    pub fn overdue(&mut self, key: RequestKey, now: Instant) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        let Phase::Running { site, since, late } = &mut request.phase else {
            return;
        };
        *late = true;
        // A worker that hangs is ejected by this; the end of the attempt comes only much later. A request
        // that spent its time in the queue says nothing of the worker.
        let usual = millis(self.queues.classes[request.class].response.cautious());
        if now.duration_since(*since) > usual * HANGING {
            self.table.failed(*site, now);
        }
    }

    /// Learns from an attempt.
    fn judge(
        &mut self,
        request: &Request,
        site: SiteKey,
        since: Instant,
        ending: Ending,
        now: Instant,
    ) {
        let ms = now.duration_since(since).as_secs_f64() * 1_000.0;
        match ending {
            Ending::Answered => {
                let usual_ms = self.queues.classes[request.class].typical.ms().unwrap_or(ms);
                self.table.answered(site, ms, usual_ms, now);
                self.queues.learn(request.service, request.class, ms);
            }
            Ending::NotSent | Ending::MayHaveRun => self.table.failed(site, now),
            Ending::NotRun => {
                let upstream = self.table.sites.get(site).map(|site| site.upstream);
                if let Some(upstream) = upstream {
                    self.table.upstreams[upstream].full_until = Some(now + millis(FULL_PAUSE_MS));
                }
            }
        }
    }

    /// Decides what follows an attempt, and pays for a retry.
    fn step(&mut self, request: &Request, ending: Ending, now: Instant) -> Step {
        let otherwise = match ending {
            Ending::Answered => return Step::Answer,
            Ending::NotSent => Code::NoUpstream,
            Ending::NotRun | Ending::MayHaveRun => Code::Overloaded,
        };
        let may_repeat = request.repeatable || !request.tainted;
        let need = millis(self.queues.classes[request.class].response.mean());
        let in_time = now + need < request.until && request.attempts < MOST_ATTEMPTS;
        let budget = &mut self.table.services[request.service].budget;
        if may_repeat && in_time && budget.withdraw() {
            Step::Again
        } else {
            Step::Refuse(request.refusal(otherwise))
        }
    }

    fn queue_again(&mut self, key: RequestKey, site: SiteKey) {
        let request = &mut self.requests[key];
        let place = self.queues.push(request.service, request.class, request.until, key);
        request.phase = Phase::Queued(place);
        request.avoid = Some(site);
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
