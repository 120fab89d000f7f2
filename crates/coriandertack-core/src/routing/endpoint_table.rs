//! Instances of each service, and the choice among them.
//!
//! All services on a worker share its slots, so slots are counted per worker ([`Upstream`]), while
//! latency and failures are tracked per instance ([`Endpoint`]). The choice scans all instances of the
//! service: with 50 of them a scan takes well under a microsecond, and unlike a choice between two random
//! instances it never misses the only free slot.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use {
    slotmap::{SecondaryMap, SlotMap},
    tokio::time::Instant,
};

use crate::{
    message::Instance,
    routing::{
        EndpointKey, ServiceKey, UpstreamKey,
        ejection::{EjectionState, Health, can_eject, is_slow},
        estimate::EwmaEstimate,
        retry_budget::RetryBudget,
        shares::{Share, SlotShares},
    },
};

/// One-way latency between availability zones in milliseconds.
pub const ZONE_LATENCY_MS: f64 = 1.5;

/// Expected response times are equal if they differ by at most this factor and [`EQUAL_MARGIN_MS`]. The
/// round trip of 3 ms between zones is more than the margin, so it still makes a difference.
const EQUAL_FACTOR: f64 = 1.1;
/// Margin of [`EQUAL_FACTOR`] in milliseconds.
const EQUAL_MARGIN_MS: f64 = 0.5;

/// Added to the expected response time of the instance to avoid, so that it is picked last.
const AVOID_PENALTY_MS: f64 = 1e9;

/// Criteria for picking an instance.
#[derive(Clone, Copy, Debug)]
pub struct EndpointQuery {
    /// Service that the request is for.
    pub service: ServiceKey,
    /// Typical response time of the request's class in milliseconds.
    pub expected_ms: f64,
    /// Instance to pick only if no other is free, because an earlier attempt there failed.
    pub avoid: Option<EndpointKey>,
    /// Whether the request may probe an instance that was ejected.
    pub probe: bool,
}

/// A worker that serves requests of callers.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Unique name of the worker.
    pub name: Arc<str>,
    /// Address to send requests to.
    pub address: SocketAddr,
    /// One-way network latency to the worker in milliseconds.
    pub latency_ms: f64,
    /// Slots and connections of the worker that this VM may use.
    pub share: Share,
    /// Slots that requests of this VM take.
    pub in_use: u32,
    /// Time until which the worker gets no requests because it refused one for lack of slots.
    pub backoff_until: Option<Instant>,
    /// Instances on the worker.
    pub endpoints: Vec<EndpointKey>,
}

impl Upstream {
    /// Returns whether another request may be started on the worker at `now`.
    #[must_use]
    pub fn has_slot(&self, now: Instant) -> bool {
        self.in_use < self.share.slots && self.backoff_until.is_none_or(|until| until <= now)
    }
}

/// An instance: one service on one worker.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Service that the instance belongs to.
    pub service: ServiceKey,
    /// Worker that the instance runs on.
    pub upstream: UpstreamKey,
    /// Whether the instance accepts new requests.
    pub open: bool,
    /// Requests of this VM in flight at the instance.
    pub in_flight: u32,
    /// Response time relative to the typical one of the request's class; 1 is typical.
    pub latency_ratio: EwmaEstimate,
    /// Recent failures and ejections.
    pub health: Health,
}

impl Endpoint {
    fn latency_ratio(&self) -> f64 {
        if self.latency_ratio.sample_count() == 0 { 1.0 } else { self.latency_ratio.mean() }
    }
}

/// A service and its instances.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Name of the service, `team.name`.
    pub name: Arc<str>,
    /// Instances of the service.
    pub endpoints: Vec<EndpointKey>,
    /// Retry budget. Each service has its own, so that a failing one does not use up the retries of others.
    pub retry_budget: RetryBudget,
    rotation: usize,
}

/// Services, their instances and the workers that run them.
#[derive(Clone, Debug)]
pub struct EndpointTable {
    zone: Arc<str>,
    /// Workers by arena key.
    pub upstreams: SlotMap<UpstreamKey, Upstream>,
    /// Instances by arena key.
    pub endpoints: SlotMap<EndpointKey, Endpoint>,
    /// Services by arena key.
    pub services: SlotMap<ServiceKey, Service>,
    upstream_names: HashMap<Arc<str>, UpstreamKey>,
    service_names: HashMap<Arc<str>, ServiceKey>,
}

impl EndpointTable {
    /// Returns an empty table of a VM in `zone`.
    #[must_use]
    pub fn new(zone: Arc<str>) -> Self {
        Self {
            zone,
            upstreams: SlotMap::with_key(),
            endpoints: SlotMap::with_key(),
            services: SlotMap::with_key(),
            upstream_names: HashMap::new(),
            service_names: HashMap::new(),
        }
    }

    /// Returns the key of the service with this name.
    #[must_use]
    pub fn service_key(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// Replaces the instances, keeping the statistics of those that remain.
    pub fn update(&mut self, instances: &[Instance], shares: &SlotShares) {
        let mut seen: SecondaryMap<EndpointKey, bool> = SecondaryMap::new();
        for instance in instances {
            let endpoint = self.endpoint(instance, shares);
            let open = seen.get(endpoint).copied().unwrap_or(false) || instance.open;
            seen.insert(endpoint, open);
        }
        for (key, endpoint) in &mut self.endpoints {
            endpoint.open = seen.get(key).copied().unwrap_or(false);
        }
        self.retain_endpoints(|key, _| seen.contains_key(key));
        self.remove_unused_upstreams();
    }

    fn endpoint(&mut self, instance: &Instance, shares: &SlotShares) -> EndpointKey {
        let upstream = self.upstream(instance, shares);
        let service = self.service_or_insert(&instance.service);
        let known = self.upstreams[upstream].endpoints.iter().copied();
        if let Some(endpoint) =
            known.into_iter().find(|&key| self.endpoints[key].service == service)
        {
            return endpoint;
        }
        let endpoint = self.endpoints.insert(Endpoint {
            service,
            upstream,
            open: instance.open,
            in_flight: 0,
            latency_ratio: EwmaEstimate::default(),
            health: Health::default(),
        });
        self.upstreams[upstream].endpoints.push(endpoint);
        self.services[service].endpoints.push(endpoint);
        endpoint
    }

    fn upstream(&mut self, instance: &Instance, shares: &SlotShares) -> UpstreamKey {
        let latency_ms = if instance.zone == self.zone { 0.0 } else { ZONE_LATENCY_MS };
        if let Some(&key) = self.upstream_names.get(&instance.worker) {
            let known = &mut self.upstreams[key];
            known.address = instance.address;
            known.latency_ms = latency_ms;
            return key;
        }
        let key = self.upstreams.insert(Upstream {
            name: Arc::clone(&instance.worker),
            address: instance.address,
            latency_ms,
            share: shares.share_of(&instance.worker),
            in_use: 0,
            backoff_until: None,
            endpoints: Vec::new(),
        });
        self.upstream_names.insert(Arc::clone(&instance.worker), key);
        key
    }

    fn service_or_insert(&mut self, name: &Arc<str>) -> ServiceKey {
        if let Some(&key) = self.service_names.get(name) {
            return key;
        }
        let service = Service { name: Arc::clone(name), ..Service::default() };
        let key = self.services.insert(service);
        self.service_names.insert(Arc::clone(name), key);
        key
    }

    /// Removes the instances that `keep` rejects and that have no requests in flight.
    fn retain_endpoints(&mut self, keep: impl Fn(EndpointKey, &Endpoint) -> bool) {
        self.endpoints.retain(|key, endpoint| keep(key, endpoint) || endpoint.in_flight > 0);
        let endpoints = &self.endpoints;
        for upstream in self.upstreams.values_mut() {
            upstream.endpoints.retain(|&key| endpoints.contains_key(key));
        }
        for service in self.services.values_mut() {
            service.endpoints.retain(|&key| endpoints.contains_key(key));
        }
    }

    /// Removes workers that have neither instances nor requests in flight.
    fn remove_unused_upstreams(&mut self) {
        let names = &mut self.upstream_names;
        self.upstreams.retain(|_, upstream| {
            let keep = !upstream.endpoints.is_empty() || upstream.in_use > 0;
            if !keep {
                names.remove(&upstream.name);
            }
            keep
        });
    }

    /// Removes services that have no instances and that `keep` rejects.
    pub fn retain_services(&mut self, keep: impl Fn(ServiceKey) -> bool) {
        let names = &mut self.service_names;
        self.services.retain(|key, service| {
            let keep = !service.endpoints.is_empty() || keep(key);
            if !keep {
                names.remove(&service.name);
            }
            keep
        });
    }

    /// Recomputes the share of each worker.
    pub fn update_shares(&mut self, shares: &SlotShares) {
        for upstream in self.upstreams.values_mut() {
            upstream.share = shares.share_of(&upstream.name);
        }
    }

    /// Returns whether this VM's requests in flight are within its share of every worker.
    #[must_use]
    pub fn is_within_share(&self) -> bool {
        self.upstreams.values().all(|upstream| upstream.in_use <= upstream.share.slots)
    }

    /// Returns whether a service has an instance that accepts new requests.
    #[must_use]
    pub fn is_served(&self, service: ServiceKey) -> bool {
        self.services[service].endpoints.iter().any(|&endpoint| self.endpoints[endpoint].open)
    }

    /// Returns how many slots this VM may use on the workers of the service's open instances.
    #[must_use]
    pub fn slots(&self, service: ServiceKey) -> u32 {
        let endpoints =
            self.services[service].endpoints.iter().map(|&endpoint| &self.endpoints[endpoint]);
        let open = endpoints.filter(|endpoint| endpoint.open);
        open.map(|endpoint| self.upstreams[endpoint.upstream].share.slots).sum()
    }

    /// Picks the free instance with the shortest expected response time.
    ///
    /// Instances within `EQUAL_FACTOR` of the shortest count as equal and take turns, so that the load is spread
    /// and small errors of the estimates do not matter.
    pub fn pick(&mut self, query: &EndpointQuery, now: Instant) -> Option<EndpointKey> {
        let service = &self.services[query.service];
        let (before_rotation, after_rotation) =
            service.endpoints.split_at(service.rotation % service.endpoints.len().max(1));
        let candidates = || after_rotation.iter().chain(before_rotation).copied();
        let expected = |key| self.expected_ms(key, query, now);
        let least_ms = candidates().filter_map(expected).reduce(f64::min)?;
        let max_equal_ms = least_ms * EQUAL_FACTOR + EQUAL_MARGIN_MS;
        let picked = candidates().find(|&key| expected(key).is_some_and(|ms| ms <= max_equal_ms));
        self.services[query.service].rotation += 1;
        picked
    }

    /// Returns the expected response time of an instance, or `None` if it may not be sent a request.
    fn expected_ms(&self, key: EndpointKey, query: &EndpointQuery, now: Instant) -> Option<f64> {
        let endpoint = &self.endpoints[key];
        if !self.is_free(endpoint, now) {
            return None;
        }
        if query.probe && endpoint.health.is_restricted() {
            // Without this preference, an instance would be probed only when all others are busy.
            return Some(0.0);
        }
        let latency_ms = self.upstreams[endpoint.upstream].latency_ms;
        let penalty_ms = if query.avoid == Some(key) { AVOID_PENALTY_MS } else { 0.0 };
        Some(penalty_ms + 2.0 * latency_ms + query.expected_ms * endpoint.latency_ratio())
    }

    fn is_free(&self, endpoint: &Endpoint, now: Instant) -> bool {
        let allowed = match endpoint.health.state(now) {
            EjectionState::Healthy => true,
            EjectionState::Probing => endpoint.in_flight == 0,
            EjectionState::Ejected => false,
        };
        endpoint.open && allowed && self.upstreams[endpoint.upstream].has_slot(now)
    }

    /// Takes a slot for a request to `endpoint`.
    pub fn acquire_slot(&mut self, endpoint: EndpointKey) {
        let endpoint = &mut self.endpoints[endpoint];
        endpoint.in_flight += 1;
        self.upstreams[endpoint.upstream].in_use += 1;
    }

    /// Releases a slot and returns the worker that has a free slot now.
    pub fn release_slot(&mut self, endpoint: EndpointKey) -> Option<UpstreamKey> {
        let endpoint = self.endpoints.get_mut(endpoint)?;
        endpoint.in_flight -= 1;
        let upstream = endpoint.upstream;
        let may_be_unused = !endpoint.open && endpoint.in_flight == 0;
        self.upstreams[upstream].in_use -= 1;
        if may_be_unused {
            // A closed instance may still be in the list; `update` removes it once the list no longer has it.
            self.remove_unused_upstreams();
        }
        Some(upstream)
    }

    /// Records a response of `endpoint` after `ms`, where `usual_ms` is typical for the request's class.
    pub fn record_response(&mut self, endpoint: EndpointKey, ms: f64, usual_ms: f64, now: Instant) {
        let Some(known) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if usual_ms > 0.0 {
            known.latency_ratio.add(ms / usual_ms);
        }
        let (latency_ratio, samples, service) =
            (known.latency_ratio(), known.latency_ratio.sample_count(), known.service);
        let latency_ratios = self.services[service]
            .endpoints
            .iter()
            .map(|&other| self.endpoints[other].latency_ratio());
        if is_slow(latency_ratio, samples, latency_ratios) {
            self.eject(endpoint, now);
        } else {
            self.endpoints[endpoint].health.record_success();
        }
    }

    /// Records a failure of `endpoint`, and ejects it after too many.
    pub fn record_failure(&mut self, endpoint: EndpointKey, now: Instant) {
        if self.endpoints.get_mut(endpoint).is_some_and(|known| known.health.record_failure()) {
            self.eject(endpoint, now);
        }
    }

    fn eject(&mut self, endpoint: EndpointKey, now: Instant) {
        let endpoints = &self.services[self.endpoints[endpoint].service].endpoints;
        let is_restricted_other =
            |&&key: &&EndpointKey| key != endpoint && self.endpoints[key].health.is_restricted();
        let (ejected, total) =
            (endpoints.iter().filter(is_restricted_other).count(), endpoints.len());
        if !can_eject(ejected, total) {
            return;
        }
        let known = &mut self.endpoints[endpoint];
        known.health.eject(now);
        known.latency_ratio = EwmaEstimate::default();
        let service = &self.services[known.service].name;
        let worker = &self.upstreams[known.upstream].name;
        log::warn!("event=instance_ejected service={service} worker={worker}");
    }
}
