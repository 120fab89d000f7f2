//! Queues of the services and the decision which requests are worth queueing.
//!
//! A service has one queue for each class, ordered by deadline. A class or team that has used less of
//! the slots goes first, so neither a burst of one class nor a busy team starves the others. A request
//! that would start too late to be answered in time is refused at once, which leaves its caller the
//! rest of its deadline to try elsewhere.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use {
    slotmap::{SecondaryMap, SlotMap},
    tokio::time::Instant,
};

use crate::routing::{
    AccountKey, ClassKey, RequestKey, ServiceKey,
    estimate::{EwmaEstimate, LoadEstimate},
    request_length::{TypicalLatency, is_long},
};

/// Most classes of one service; further ones are treated as the unnamed class.
const MAX_CLASSES: usize = 32;

/// Most requests queued for one class, which bounds memory and the cost of an estimate.
const MAX_QUEUED: usize = 2_048;

/// Longest interval after which [`AdmissionQueues::expire`] runs again while something is queued.
pub const MAX_EXPIRY_INTERVAL: Duration = Duration::from_millis(5);

/// A class of requests of a service.
#[derive(Clone, Debug)]
pub struct RequestClass {
    name: Arc<str>,
    /// Response time in milliseconds.
    pub response_ms: EwmaEstimate,
    /// Response time that one slow instance does not change much.
    pub typical_ms: TypicalLatency,
    /// Whether its requests count as long.
    pub long: bool,
    /// Requests in flight.
    pub in_flight: u32,
    queue: BTreeMap<(Instant, u64), RequestKey>,
    used: f64,
}

/// The queues of a service.
#[derive(Clone, Debug)]
struct Lines {
    account: AccountKey,
    classes: Vec<ClassKey>,
    typical: TypicalLatency,
    used: f64,
    /// Short requests in flight or queued.
    short: LoadEstimate,
}

/// Queues of all services.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueues {
    /// Classes of all services.
    pub classes: SlotMap<ClassKey, RequestClass>,
    lines: SecondaryMap<ServiceKey, Lines>,
    accounts: SlotMap<AccountKey, f64>,
    account_names: HashMap<Arc<str>, AccountKey>,
    seq: u64,
    queued: usize,
}

/// Position of a request in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePosition {
    /// Class that it is queued in.
    pub class: ClassKey,
    at: (Instant, u64),
}

impl AdmissionQueues {
    /// Returns the class of this name, which is made if the service is new or has room for it.
    pub fn class_or_insert(
        &mut self,
        service: ServiceKey,
        service_name: &str,
        name: &str,
        now: Instant,
    ) -> ClassKey {
        if !self.lines.contains_key(service) {
            let account = self.account(service_name);
            let lines = Lines {
                account,
                classes: Vec::new(),
                typical: TypicalLatency::default(),
                used: 0.0,
                short: LoadEstimate::new(now),
            };
            self.lines.insert(service, lines);
        }
        let lines = &mut self.lines[service];
        let classes = &self.classes;
        if let Some(&known) = lines.classes.iter().find(|&&key| *classes[key].name == *name) {
            return known;
        }
        if lines.classes.len() >= MAX_CLASSES {
            return lines.classes[0];
        }
        let class = RequestClass {
            name: name.into(),
            response_ms: EwmaEstimate::default(),
            typical_ms: TypicalLatency::default(),
            long: is_long(&EwmaEstimate::default(), lines.typical, false),
            in_flight: 0,
            queue: BTreeMap::new(),
            used: 0.0,
        };
        let key = self.classes.insert(class);
        lines.classes.push(key);
        key
    }

    fn account(&mut self, service: &str) -> AccountKey {
        let team = service.split('.').next().unwrap_or(service);
        if let Some(&known) = self.account_names.get(team) {
            return known;
        }
        let key = self.accounts.insert(0.0);
        self.account_names.insert(team.into(), key);
        key
    }

    /// Forgets services that `keep` does not want.
    pub fn retain(&mut self, keep: impl Fn(ServiceKey) -> bool) {
        let classes = &mut self.classes;
        self.lines.retain(|service, lines| {
            let busy = lines
                .classes
                .iter()
                .any(|&key| classes[key].in_flight > 0 || !classes[key].queue.is_empty());
            let keep = busy || keep(service);
            if !keep {
                for &key in &lines.classes {
                    classes.remove(key);
                }
            }
            keep
        });
    }

    /// Tells whether something is known of a service.
    #[must_use]
    pub fn contains(&self, service: ServiceKey) -> bool {
        self.lines.contains_key(service)
    }

    /// Returns how many requests are queued for all services.
    #[must_use]
    pub fn queued_count(&self) -> usize {
        self.queued
    }

    /// Tells whether a request has a fair chance to be answered by `until`.
    ///
    /// The wait is the work queued before it in its lane, divided by the measured rate of the lane:
    /// its requests in flight over their response time. An unlearned class is given the benefit of
    /// the doubt.
    #[must_use]
    pub fn can_admit(
        &self,
        service: ServiceKey,
        class: ClassKey,
        until: Instant,
        now: Instant,
    ) -> bool {
        let Some(lines) = self.lines.get(service) else {
            return true;
        };
        let own = &self.classes[class];
        if own.queue.len() >= MAX_QUEUED {
            return false;
        }
        let class_queue = lines.classes.iter().map(|&key| &self.classes[key]);
        let class_queue = class_queue.filter(|other| other.long == own.long);
        let mut work_ms = 0.0;
        let mut in_flight = 0;
        for other in class_queue {
            let ahead = other.queue.range(..(until, u64::MAX)).count();
            work_ms += ahead as f64 * other.response_ms.mean();
            in_flight += other.in_flight;
        }
        let wait_ms = work_ms / f64::from(in_flight.max(1));
        now + duration_from_ms(wait_ms + own.response_ms.upper_bound()) <= until
    }

    /// Queues a request.
    pub fn push(
        &mut self,
        service: ServiceKey,
        class: ClassKey,
        until: Instant,
        key: RequestKey,
    ) -> QueuePosition {
        let idle = self.is_idle(service);
        if idle {
            self.catch_up(service);
        }
        let lines = &self.lines[service];
        let least = lines.classes.iter().map(|&key| &self.classes[key]);
        let least = least.filter(|class| !class.queue.is_empty()).map(|class| class.used);
        let least = least.reduce(f64::min);
        let class_queue = &mut self.classes[class];
        if class_queue.queue.is_empty() {
            // Slots left unused earlier give no claim on later ones.
            class_queue.used = class_queue.used.max(least.unwrap_or(class_queue.used));
        }
        self.seq += 1;
        let at = (until, self.seq);
        class_queue.queue.insert(at, key);
        self.queued += 1;
        QueuePosition { class, at }
    }

    fn is_idle(&self, service: ServiceKey) -> bool {
        self.lines[service].classes.iter().all(|&key| self.classes[key].queue.is_empty())
    }

    /// Raises the use of a service, and of its team, to the least of those that wait.
    fn catch_up(&mut self, service: ServiceKey) {
        let waiting = self.lines.iter().filter(|(other, _)| !self.is_idle(*other));
        let (mut of_account, mut of_service) = (None::<f64>, None::<f64>);
        for (_, lines) in waiting {
            let account = self.accounts[lines.account];
            of_account = Some(of_account.map_or(account, |least| least.min(account)));
            of_service = Some(of_service.map_or(lines.used, |least| least.min(lines.used)));
        }
        let lines = &mut self.lines[service];
        lines.used = lines.used.max(of_service.unwrap_or(lines.used));
        let account = &mut self.accounts[lines.account];
        *account = account.max(of_account.unwrap_or(*account));
    }

    /// Removes a request from its queue.
    pub fn remove(&mut self, position: QueuePosition) {
        let class = self.classes.get_mut(position.class);
        if class.is_some_and(|class| class.queue.remove(&position.at).is_some()) {
            self.queued -= 1;
        }
    }

    /// Returns the request of a service to start next, without removing it.
    ///
    /// `long_room` tells whether long requests may take another slot.
    #[must_use]
    pub fn peek(&self, service: ServiceKey, long_room: bool) -> Option<(ClassKey, RequestKey)> {
        let classes = self.lines.get(service)?.classes.iter();
        let ready = classes.filter(|&&key| {
            let class = &self.classes[key];
            !class.queue.is_empty() && (long_room || !class.long)
        });
        let by_use = |one: &&ClassKey, two: &&ClassKey| {
            self.classes[**one].used.total_cmp(&self.classes[**two].used)
        };
        let &class = ready.min_by(by_use)?;
        let (_, &request) = self.classes[class].queue.first_key_value()?;
        Some((class, request))
    }

    /// Sorts services so that the one whose team and which itself used least comes first.
    pub fn sort_by_usage(&self, services: &mut [ServiceKey]) {
        let rank = |service: &ServiceKey| {
            let lines = self.lines.get(*service);
            lines.map_or((0.0, 0.0), |lines| (self.accounts[lines.account], lines.used))
        };
        services.sort_by(|one, two| {
            let (one, two) = (rank(one), rank(two));
            one.0.total_cmp(&two.0).then(one.1.total_cmp(&two.1))
        });
    }

    /// Notes that a request of a class starts.
    pub fn record_start(&mut self, service: ServiceKey, class: ClassKey) {
        let known = &mut self.classes[class];
        known.in_flight += 1;
        // An unlearned class is charged a nominal millisecond, so that it takes its turn.
        let cost = known.response_ms.mean().max(1.0);
        known.used += cost;
        let lines = &mut self.lines[service];
        lines.used += cost;
        self.accounts[lines.account] += cost;
    }

    /// Notes that the slot of a request is free again.
    pub fn record_end(&mut self, class: ClassKey) {
        if let Some(class) = self.classes.get_mut(class) {
            class.in_flight -= 1;
        }
    }

    /// Learns from an answer after `ms`.
    pub fn record_latency(&mut self, service: ServiceKey, class: ClassKey, ms: f64) {
        let Some(lines) = self.lines.get_mut(service) else {
            return;
        };
        lines.typical.add(ms);
        self.classes[class].response_ms.add(ms);
        self.classes[class].typical_ms.add(ms);
        for &key in &lines.classes {
            let class = &mut self.classes[key];
            class.long = is_long(&class.response_ms, lines.typical, class.long);
        }
    }

    /// Notes how many short requests of a service are in flight or queued.
    pub fn record_short_load(&mut self, service: ServiceKey, now: Instant) {
        let Some(lines) = self.lines.get_mut(service) else {
            return;
        };
        let classes = lines.classes.iter().map(|&key| &self.classes[key]);
        let short = classes.filter(|class| !class.long);
        let number: usize = short.map(|class| class.in_flight as usize + class.queue.len()).sum();
        lines.short.add(number as f64, now);
    }

    /// Returns the number of short requests of a service that is rarely exceeded.
    #[must_use]
    pub fn short_peak(&self, service: ServiceKey) -> f64 {
        self.lines.get(service).map_or(0.0, |lines| lines.short.upper_bound())
    }

    /// Returns how many long requests of a service are in flight.
    #[must_use]
    pub fn long_in_flight(&self, service: ServiceKey) -> u32 {
        let Some(lines) = self.lines.get(service) else {
            return 0;
        };
        let classes = lines.classes.iter().map(|&key| &self.classes[key]);
        classes.filter(|class| class.long).map(|class| class.in_flight).sum()
    }

    /// Removes and returns the requests that can no longer be answered in time.
    ///
    /// It runs at least every [`MAX_EXPIRY_INTERVAL`] while something is queued, so whatever would be late by
    /// the next run goes now.
    pub fn expire(&mut self, now: Instant) -> Vec<RequestKey> {
        let mut late = Vec::new();
        for class in self.classes.values_mut() {
            let need = duration_from_ms(class.response_ms.upper_bound()) + MAX_EXPIRY_INTERVAL;
            while let Some(first) = class.queue.first_entry() {
                if first.key().0 >= now + need {
                    break;
                }
                late.push(first.remove());
            }
        }
        self.queued -= late.len();
        late
    }
}

/// Returns a number of milliseconds as a duration.
#[must_use]
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1_000.0).clamp(0.0, 3_600.0))
}
