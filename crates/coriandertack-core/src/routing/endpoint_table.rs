//! Instances of each service and the choice among them.
//!
//! A worker's slots are shared by all services on it, so slots are counted on the worker
//! ([`Upstream`]), while behaviour is learned for each instance ([`Endpoint`]). The choice scans all
//! instances of the service: with 50 of them a scan takes well under a microsecond, and unlike the
//! choice between two random ones it never misses the only free slot.

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

/// Factor and milliseconds within which expected response times count as equal. The latency between
/// zones stays a difference: 3 ms there and back.
const LIKE: f64 = 1.1;
const LIKE_MS: f64 = 0.5;

/// Added to the expected time of the instance that a retry comes from, so that it is picked last.
const AVOIDED_MS: f64 = 1e9;

/// What a request needs of an instance.
#[derive(Clone, Copy, Debug)]
pub struct EndpointQuery {
    /// The service.
    pub service: ServiceKey,
    /// Usual response time of the class.
    pub expected_ms: f64,
    /// Instance to pick only if there is no other, because an attempt there failed.
    pub avoid: Option<EndpointKey>,
    /// Whether it may go to an instance that failed before, to see whether it works again.
    pub probe: bool,
}

/// A worker that answers callers.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Unique name.
    pub name: Arc<str>,
    /// Where it answers.
    pub address: SocketAddr,
    /// One-way latency to it in milliseconds.
    pub latency_ms: f64,
    /// What this VM may use of it.
    pub share: Share,
    /// Slots in use by this VM.
    pub in_use: u32,
    /// Until when its slots are known to be full, because it refused a request.
    pub full_until: Option<Instant>,
    /// Instances on it.
    pub endpoints: Vec<EndpointKey>,
}

impl Upstream {
    /// Tells whether another request may be started on it at `now`.
    #[must_use]
    pub fn has_slot(&self, now: Instant) -> bool {
        self.in_use < self.share.slots && self.full_until.is_none_or(|until| until <= now)
    }
}

/// An instance: one service on one worker.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The service.
    pub service: ServiceKey,
    /// The worker.
    pub upstream: UpstreamKey,
    /// Whether it takes new requests.
    pub open: bool,
    /// Requests of this VM in flight.
    pub in_flight: u32,
    /// Response time relative to what is expected of the class; 1 is usual.
    pub latency_ratio: EwmaEstimate,
    /// Recent failures.
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
    /// Class of the service, `team.name`.
    pub name: Arc<str>,
    /// Its instances.
    pub endpoints: Vec<EndpointKey>,
    /// Retries left; each service has its own, so a failing one uses up nobody else's.
    pub retry_budget: RetryBudget,
    turn: usize,
}

/// Services, their instances and the workers that hold them.
#[derive(Clone, Debug)]
pub struct EndpointTable {
    zone: Arc<str>,
    /// Workers.
    pub upstreams: SlotMap<UpstreamKey, Upstream>,
    /// Instances.
    pub endpoints: SlotMap<EndpointKey, Endpoint>,
    /// Services.
    pub services: SlotMap<ServiceKey, Service>,
    upstream_names: HashMap<Arc<str>, UpstreamKey>,
    service_names: HashMap<Arc<str>, ServiceKey>,
}

impl EndpointTable {
    /// Returns an empty table for a VM in `zone`.
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

    /// Returns the service of this name.
    #[must_use]
    pub fn service_key(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// Replaces the instances by the given ones and keeps what was learned of those that stay.
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
        self.drop_endpoints(|key, _| seen.contains_key(key));
        self.sweep();
    }

    fn endpoint(&mut self, instance: &Instance, shares: &SlotShares) -> EndpointKey {
        let upstream = self.upstream(instance, shares);
        let service = self.service_named(&instance.service);
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
            full_until: None,
            endpoints: Vec::new(),
        });
        self.upstream_names.insert(Arc::clone(&instance.worker), key);
        key
    }

    fn service_named(&mut self, name: &Arc<str>) -> ServiceKey {
        if let Some(&key) = self.service_names.get(name) {
            return key;
        }
        let service = Service { name: Arc::clone(name), ..Service::default() };
        let key = self.services.insert(service);
        self.service_names.insert(Arc::clone(name), key);
        key
    }

    /// Drops the instances that `keep` does not want and that have nothing in flight.
    fn drop_endpoints(&mut self, keep: impl Fn(EndpointKey, &Endpoint) -> bool) {
        self.endpoints.retain(|key, endpoint| keep(key, endpoint) || endpoint.in_flight > 0);
        let endpoints = &self.endpoints;
        for upstream in self.upstreams.values_mut() {
            upstream.endpoints.retain(|&key| endpoints.contains_key(key));
        }
        for service in self.services.values_mut() {
            service.endpoints.retain(|&key| endpoints.contains_key(key));
        }
    }

    /// Drops workers without instances and requests in flight.
    fn sweep(&mut self) {
        let names = &mut self.upstream_names;
        self.upstreams.retain(|_, upstream| {
            let keep = !upstream.endpoints.is_empty() || upstream.in_use > 0;
            if !keep {
                names.remove(&upstream.name);
            }
            keep
        });
    }

    /// Drops services without instances that `keep` does not want.
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

    /// Computes the share of each worker anew.
    pub fn update_shares(&mut self, shares: &SlotShares) {
        for upstream in self.upstreams.values_mut() {
            upstream.share = shares.share_of(&upstream.name);
        }
    }

    /// Tells whether no worker has more of this VM's requests than the share allows.
    #[must_use]
    pub fn is_within_share(&self) -> bool {
        self.upstreams.values().all(|upstream| upstream.in_use <= upstream.share.slots)
    }

    /// Tells whether a service has an instance that takes new requests.
    #[must_use]
    pub fn is_served(&self, service: ServiceKey) -> bool {
        self.services[service].endpoints.iter().any(|&endpoint| self.endpoints[endpoint].open)
    }

    /// Returns the slots of the service's open instances that this VM may use.
    #[must_use]
    pub fn slots(&self, service: ServiceKey) -> u32 {
        let endpoints =
            self.services[service].endpoints.iter().map(|&endpoint| &self.endpoints[endpoint]);
        let open = endpoints.filter(|endpoint| endpoint.open);
        open.map(|endpoint| self.upstreams[endpoint.upstream].share.slots).sum()
    }

    /// Picks the free instance from which an answer is expected soonest.
    ///
    /// Those within `LIKE` of the soonest count as equal and take turns, so that work spreads and
    /// small errors of what was learned do not matter.
    pub fn pick(&mut self, query: &EndpointQuery, now: Instant) -> Option<EndpointKey> {
        let service = &self.services[query.service];
        let (later, sooner) =
            service.endpoints.split_at(service.turn % service.endpoints.len().max(1));
        let in_turn = || sooner.iter().chain(later).copied();
        let expected = |key| self.expected_ms(key, query, now);
        let least = in_turn().filter_map(expected).reduce(f64::min)?;
        let alike = least * LIKE + LIKE_MS;
        let picked = in_turn().find(|&key| expected(key).is_some_and(|ms| ms <= alike));
        self.services[query.service].turn += 1;
        picked
    }

    /// Returns when an answer of an instance is expected, or nothing if it may not be sent anything.
    fn expected_ms(&self, key: EndpointKey, query: &EndpointQuery, now: Instant) -> Option<f64> {
        let endpoint = &self.endpoints[key];
        if !self.is_free(endpoint, now) {
            return None;
        }
        if query.probe && endpoint.health.is_restricted() {
            // Without a preference an instance would be probed only when all others are busy.
            return Some(0.0);
        }
        let latency_ms = self.upstreams[endpoint.upstream].latency_ms;
        let penalty_ms = if query.avoid == Some(key) { AVOIDED_MS } else { 0.0 };
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

    /// Returns a slot. Returns the worker whose slot is free now.
    pub fn release_slot(&mut self, endpoint: EndpointKey) -> Option<UpstreamKey> {
        let endpoint = self.endpoints.get_mut(endpoint)?;
        endpoint.in_flight -= 1;
        let upstream = endpoint.upstream;
        let gone = !endpoint.open && endpoint.in_flight == 0;
        self.upstreams[upstream].in_use -= 1;
        if gone {
            // A closed instance may only be leaving; `update` drops it when the list no longer has it.
            self.sweep();
        }
        Some(upstream)
    }

    /// Notes an answer of `endpoint` after `ms`, where `usual_ms` was expected.
    pub fn record_response(&mut self, endpoint: EndpointKey, ms: f64, usual_ms: f64, now: Instant) {
        let Some(known) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        if usual_ms > 0.0 {
            known.latency_ratio.add(ms / usual_ms);
        }
        let (latency_ratio, samples, service) =
            (known.latency_ratio(), known.latency_ratio.sample_count(), known.service);
        let others = self.services[service]
            .endpoints
            .iter()
            .map(|&other| self.endpoints[other].latency_ratio());
        if is_slow(latency_ratio, samples, others) {
            self.eject(endpoint, now);
        } else {
            self.endpoints[endpoint].health.record_success();
        }
    }

    /// Notes a failure of `endpoint`.
    pub fn record_failure(&mut self, endpoint: EndpointKey, now: Instant) {
        if self.endpoints.get_mut(endpoint).is_some_and(|known| known.health.record_failure()) {
            self.eject(endpoint, now);
        }
    }

    fn eject(&mut self, endpoint: EndpointKey, now: Instant) {
        let endpoints = &self.services[self.endpoints[endpoint].service].endpoints;
        let out =
            |&&key: &&EndpointKey| key != endpoint && self.endpoints[key].health.is_restricted();
        let (out, all) = (endpoints.iter().filter(out).count(), endpoints.len());
        if !can_eject(out, all) {
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
