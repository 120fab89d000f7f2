//! Queues of the services, and admission control.
//!
//! A service has one queue for each class of requests, ordered by deadline. The class, service or team that
//! has used the least slot time goes first, so that neither a burst of one class nor a busy team starves the
//! others. A request that would start too late to be answered in time is refused at once, which leaves its
//! caller the rest of its deadline to try elsewhere.

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

/// Maximum number of classes of a service; requests of further classes join the first class.
const MAX_CLASSES: usize = 32;

/// Maximum number of queued requests of a class, which bounds memory and the cost of an estimate.
const MAX_QUEUED: usize = 2_048;

/// Maximum interval between two runs of [`AdmissionQueues::expire`] while requests are queued.
pub const MAX_EXPIRY_INTERVAL: Duration = Duration::from_millis(5);

/// A class of requests of a service.
#[derive(Clone, Debug)]
pub struct RequestClass {
    name: Arc<str>,
    /// Response times in milliseconds.
    pub response_ms: EwmaEstimate,
    /// Typical response time, which one slow instance changes little.
    pub typical_ms: TypicalLatency,
    /// Whether the class is long.
    pub long: bool,
    /// Number of requests in flight.
    pub in_flight: u32,
    queue: BTreeMap<(Instant, u64), RequestKey>,
    used_ms: f64,
}

/// Classes and usage of a service.
#[derive(Clone, Debug)]
struct ServiceQueues {
    account: AccountKey,
    classes: Vec<ClassKey>,
    typical: TypicalLatency,
    used_ms: f64,
    /// Short requests in flight or queued.
    short_load: LoadEstimate,
}

/// Queues of all services.
#[derive(Clone, Debug, Default)]
pub struct AdmissionQueues {
    /// Classes of all services, by arena key.
    pub classes: SlotMap<ClassKey, RequestClass>,
    queues: SecondaryMap<ServiceKey, ServiceQueues>,
    accounts: SlotMap<AccountKey, f64>,
    account_names: HashMap<Arc<str>, AccountKey>,
    seq: u64,
    queued: usize,
}

/// Position of a request in the queue of its class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuePosition {
    /// Class in whose queue the request is.
    pub class: ClassKey,
    at: (Instant, u64),
}

impl AdmissionQueues {
    /// Returns the class with this name. A class that does not exist is created, unless the service already has
    /// the maximum number of classes; the first class is returned then.
    pub fn class_or_insert(
        &mut self,
        service: ServiceKey,
        service_name: &str,
        name: &str,
        now: Instant,
    ) -> ClassKey {
        if !self.queues.contains_key(service) {
            let account = self.account_or_insert(service_name);
            let queues = ServiceQueues {
                account,
                classes: Vec::new(),
                typical: TypicalLatency::default(),
                used_ms: 0.0,
                short_load: LoadEstimate::new(now),
            };
            self.queues.insert(service, queues);
        }
        let queues = &mut self.queues[service];
        let classes = &self.classes;
        if let Some(&existing) = queues.classes.iter().find(|&&key| *classes[key].name == *name) {
            return existing;
        }
        if queues.classes.len() >= MAX_CLASSES {
            return queues.classes[0];
        }
        let class = RequestClass {
            name: name.into(),
            response_ms: EwmaEstimate::default(),
            typical_ms: TypicalLatency::default(),
            long: is_long(&EwmaEstimate::default(), queues.typical, false),
            in_flight: 0,
            queue: BTreeMap::new(),
            used_ms: 0.0,
        };
        let key = self.classes.insert(class);
        queues.classes.push(key);
        key
    }

    fn account_or_insert(&mut self, service: &str) -> AccountKey {
        let team = service.split('.').next().unwrap_or(service);
        if let Some(&existing) = self.account_names.get(team) {
            return existing;
        }
        let key = self.accounts.insert(0.0);
        self.account_names.insert(team.into(), key);
        key
    }

    /// Removes services that `keep` rejects and that have no requests.
    pub fn retain(&mut self, keep: impl Fn(ServiceKey) -> bool) {
        let classes = &mut self.classes;
        self.queues.retain(|service, queues| {
            let busy = queues
                .classes
                .iter()
                .any(|&key| classes[key].in_flight > 0 || !classes[key].queue.is_empty());
            let keep = busy || keep(service);
            if !keep {
                for &key in &queues.classes {
                    classes.remove(key);
                }
            }
            keep
        });
    }

    /// Returns whether the service has queues.
    #[must_use]
    pub fn contains(&self, service: ServiceKey) -> bool {
        self.queues.contains_key(service)
    }

    /// Returns how many requests of all services are queued.
    #[must_use]
    pub fn queued_count(&self) -> usize {
        self.queued
    }

    /// Returns whether a request can probably be answered by `until`.
    ///
    /// The expected wait is the time that the requests queued ahead in the classes of the same length, long or
    /// short, will take, divided by the number of requests that these classes have in flight. A class without
    /// measurements counts as taking no time, so that its first requests are admitted.
    #[must_use]
    pub fn can_admit(
        &self,
        service: ServiceKey,
        class: ClassKey,
        until: Instant,
        now: Instant,
    ) -> bool {
        let Some(queues) = self.queues.get(service) else {
            return true;
        };
        let own = &self.classes[class];
        if own.queue.len() >= MAX_QUEUED {
            return false;
        }
        let same_length = queues.classes.iter().map(|&key| &self.classes[key]);
        let same_length = same_length.filter(|other| other.long == own.long);
        let mut work_ms = 0.0;
        let mut in_flight = 0;
        for other in same_length {
            let ahead = other.queue.range(..(until, u64::MAX)).count();
            work_ms += ahead as f64 * other.response_ms.mean();
            in_flight += other.in_flight;
        }
        let wait_ms = work_ms / f64::from(in_flight.max(1));
        now + duration_from_ms(wait_ms + own.response_ms.upper_bound()) <= until
    }

    /// Adds a request to the queue of its class.
    pub fn push(
        &mut self,
        service: ServiceKey,
        class: ClassKey,
        until: Instant,
        key: RequestKey,
    ) -> QueuePosition {
        let was_idle = self.is_idle(service);
        if was_idle {
            self.raise_usage(service);
        }
        let queues = &self.queues[service];
        let queued = queues.classes.iter().map(|&key| &self.classes[key]);
        let queued = queued.filter(|class| !class.queue.is_empty()).map(|class| class.used_ms);
        let least_used_ms = queued.reduce(f64::min);
        let class_queue = &mut self.classes[class];
        if class_queue.queue.is_empty() {
            // A class that was idle gets no credit for the slots that it did not use.
            class_queue.used_ms =
                class_queue.used_ms.max(least_used_ms.unwrap_or(class_queue.used_ms));
        }
        self.seq += 1;
        let at = (until, self.seq);
        class_queue.queue.insert(at, key);
        self.queued += 1;
        QueuePosition { class, at }
    }

    fn is_idle(&self, service: ServiceKey) -> bool {
        self.queues[service].classes.iter().all(|&key| self.classes[key].queue.is_empty())
    }

    /// Raises the usage of a service and of its team to the least usage of those with queued requests.
    fn raise_usage(&mut self, service: ServiceKey) {
        let waiting = self.queues.iter().filter(|(other, _)| !self.is_idle(*other));
        let (mut least_account_ms, mut least_service_ms) = (None::<f64>, None::<f64>);
        for (_, queues) in waiting {
            let account = self.accounts[queues.account];
            least_account_ms = Some(least_account_ms.map_or(account, |least| least.min(account)));
            least_service_ms =
                Some(least_service_ms.map_or(queues.used_ms, |least| least.min(queues.used_ms)));
        }
        let queues = &mut self.queues[service];
        queues.used_ms = queues.used_ms.max(least_service_ms.unwrap_or(queues.used_ms));
        let account = &mut self.accounts[queues.account];
        *account = account.max(least_account_ms.unwrap_or(*account));
    }

    /// Removes a request from its queue, if it is still there.
    pub fn remove(&mut self, position: QueuePosition) {
        let class = self.classes.get_mut(position.class);
        if class.is_some_and(|class| class.queue.remove(&position.at).is_some()) {
            self.queued -= 1;
        }
    }

    /// Returns the request of a service to start next, without removing it.
    ///
    /// Long requests are considered only if `allow_long` is set.
    #[must_use]
    pub fn peek(&self, service: ServiceKey, allow_long: bool) -> Option<(ClassKey, RequestKey)> {
        let classes = self.queues.get(service)?.classes.iter();
        let ready = classes.filter(|&&key| {
            let class = &self.classes[key];
            !class.queue.is_empty() && (allow_long || !class.long)
        });
        let by_usage = |one: &&ClassKey, two: &&ClassKey| {
            self.classes[**one].used_ms.total_cmp(&self.classes[**two].used_ms)
        };
        let &class = ready.min_by(by_usage)?;
        let (_, &request) = self.classes[class].queue.first_key_value()?;
        Some((class, request))
    }

    /// Sorts services by the usage of their team, then by their own, least first.
    pub fn sort_by_usage(&self, services: &mut [ServiceKey]) {
        let rank = |service: &ServiceKey| {
            let queues = self.queues.get(*service);
            queues.map_or((0.0, 0.0), |queues| (self.accounts[queues.account], queues.used_ms))
        };
        services.sort_by(|one, two| {
            let (one, two) = (rank(one), rank(two));
            one.0.total_cmp(&two.0).then(one.1.total_cmp(&two.1))
        });
    }

    /// Records the start of a request and charges its expected time to the class, the service and the team.
    pub fn record_start(&mut self, service: ServiceKey, class: ClassKey) {
        let existing = &mut self.classes[class];
        existing.in_flight += 1;
        // A class without measurements is charged at least 1 ms, so that it takes turns with the others.
        let cost = existing.response_ms.mean().max(1.0);
        existing.used_ms += cost;
        let queues = &mut self.queues[service];
        queues.used_ms += cost;
        self.accounts[queues.account] += cost;
    }

    /// Records that a request of the class is no longer in flight.
    pub fn record_end(&mut self, class: ClassKey) {
        if let Some(class) = self.classes.get_mut(class) {
            class.in_flight -= 1;
        }
    }

    /// Records a response time in milliseconds, and reclassifies the service's classes as long or short.
    pub fn record_latency(&mut self, service: ServiceKey, class: ClassKey, ms: f64) {
        let Some(queues) = self.queues.get_mut(service) else {
            return;
        };
        queues.typical.add(ms);
        self.classes[class].response_ms.add(ms);
        self.classes[class].typical_ms.add(ms);
        for &key in &queues.classes {
            let class = &mut self.classes[key];
            class.long = is_long(&class.response_ms, queues.typical, class.long);
        }
    }

    /// Records how many short requests of a service are in flight or queued.
    pub fn record_short_load(&mut self, service: ServiceKey, now: Instant) {
        let Some(queues) = self.queues.get_mut(service) else {
            return;
        };
        let classes = queues.classes.iter().map(|&key| &self.classes[key]);
        let short = classes.filter(|class| !class.long);
        let count: usize = short.map(|class| class.in_flight as usize + class.queue.len()).sum();
        queues.short_load.add(count as f64, now);
    }

    /// Returns a number of short requests of a service that is rarely exceeded.
    #[must_use]
    pub fn short_peak(&self, service: ServiceKey) -> f64 {
        self.queues.get(service).map_or(0.0, |queues| queues.short_load.upper_bound())
    }

    /// Returns how many long requests of a service are in flight.
    #[must_use]
    pub fn long_in_flight(&self, service: ServiceKey) -> u32 {
        let Some(queues) = self.queues.get(service) else {
            return 0;
        };
        let classes = queues.classes.iter().map(|&key| &self.classes[key]);
        classes.filter(|class| class.long).map(|class| class.in_flight).sum()
    }

    /// Removes and returns the requests that can no longer be answered before their deadline.
    ///
    /// While requests are queued, this is called at least every [`MAX_EXPIRY_INTERVAL`], so requests that would be
    /// late by the next call are removed too.
    pub fn expire(&mut self, now: Instant) -> Vec<RequestKey> {
        let mut expired = Vec::new();
        for class in self.classes.values_mut() {
            let required = duration_from_ms(class.response_ms.upper_bound()) + MAX_EXPIRY_INTERVAL;
            while let Some(first) = class.queue.first_entry() {
                if first.key().0 >= now + required {
                    break;
                }
                expired.push(first.remove());
            }
        }
        self.queued -= expired.len();
        expired
    }
}

/// Converts milliseconds to a duration between zero and one hour.
#[must_use]
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64((ms / 1_000.0).clamp(0.0, 3_600.0))
}
