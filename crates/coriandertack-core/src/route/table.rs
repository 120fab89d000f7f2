//! Instances of each service and the choice among them.
//!
//! A worker's slots are shared by all services on it, so slots are counted on the worker
//! ([`Upstream`]), while behaviour is learned for each instance ([`Site`]). The choice scans all
//! instances of the service: with 50 of them a scan takes well under a microsecond, and unlike the
//! choice between two random ones it never misses the only free slot.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use {
    slotmap::{SecondaryMap, SlotMap},
    tokio::time::Instant,
};

use crate::{
    message::Instance,
    route::{
        ServiceKey, SiteKey, UpstreamKey,
        budget::Budget,
        eject::{Health, Standing, is_slow, may_eject},
        estimate::Estimate,
        shares::{Share, Shares},
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
pub struct Wanted {
    /// The service.
    pub service: ServiceKey,
    /// Usual response time of the class.
    pub usual_ms: f64,
    /// Instance to pick only if there is no other, because an attempt there failed.
    pub avoid: Option<SiteKey>,
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
    pub sites: Vec<SiteKey>,
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
pub struct Site {
    /// The service.
    pub service: ServiceKey,
    /// The worker.
    pub upstream: UpstreamKey,
    /// Whether it takes new requests.
    pub open: bool,
    /// Requests of this VM in flight.
    pub in_flight: u32,
    /// Response time relative to what is expected of the class; 1 is usual.
    pub pace: Estimate,
    /// Recent failures.
    pub health: Health,
}

impl Site {
    fn pace(&self) -> f64 {
        if self.pace.samples() == 0 { 1.0 } else { self.pace.mean() }
    }
}

/// A service and its instances.
#[derive(Clone, Debug, Default)]
pub struct Service {
    /// Class of the service, `team.name`.
    pub name: Arc<str>,
    /// Its instances.
    pub sites: Vec<SiteKey>,
    /// Retries left; each service has its own, so a failing one uses up nobody else's.
    pub budget: Budget,
    turn: usize,
}

/// Services, their instances and the workers that hold them.
#[derive(Clone, Debug)]
pub struct Table {
    zone: Arc<str>,
    /// Workers.
    pub upstreams: SlotMap<UpstreamKey, Upstream>,
    /// Instances.
    pub sites: SlotMap<SiteKey, Site>,
    /// Services.
    pub services: SlotMap<ServiceKey, Service>,
    upstream_names: HashMap<Arc<str>, UpstreamKey>,
    service_names: HashMap<Arc<str>, ServiceKey>,
}

impl Table {
    /// Returns an empty table for a VM in `zone`.
    #[must_use]
    pub fn new(zone: Arc<str>) -> Self {
        Self {
            zone,
            upstreams: SlotMap::with_key(),
            sites: SlotMap::with_key(),
            services: SlotMap::with_key(),
            upstream_names: HashMap::new(),
            service_names: HashMap::new(),
        }
    }

    /// Returns the service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// Replaces the instances by the given ones and keeps what was learned of those that stay.
    pub fn update(&mut self, instances: &[Instance], shares: &Shares) {
        let mut seen: SecondaryMap<SiteKey, bool> = SecondaryMap::new();
        for instance in instances {
            let site = self.site(instance, shares);
            let open = seen.get(site).copied().unwrap_or(false) || instance.open;
            seen.insert(site, open);
        }
        for (key, site) in &mut self.sites {
            site.open = seen.get(key).copied().unwrap_or(false);
        }
        self.drop_sites(|key, _| seen.contains_key(key));
        self.sweep();
    }

    fn site(&mut self, instance: &Instance, shares: &Shares) -> SiteKey {
        let upstream = self.upstream(instance, shares);
        let service = self.service_named(&instance.service);
        let known = self.upstreams[upstream].sites.iter().copied();
        if let Some(site) = known.into_iter().find(|&key| self.sites[key].service == service) {
            return site;
        }
        let site = self.sites.insert(Site {
            service,
            upstream,
            open: instance.open,
            in_flight: 0,
            pace: Estimate::default(),
            health: Health::default(),
        });
        self.upstreams[upstream].sites.push(site);
        self.services[service].sites.push(site);
        site
    }

    fn upstream(&mut self, instance: &Instance, shares: &Shares) -> UpstreamKey {
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
            share: shares.allowed(&instance.worker),
            in_use: 0,
            full_until: None,
            sites: Vec::new(),
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
    fn drop_sites(&mut self, keep: impl Fn(SiteKey, &Site) -> bool) {
        self.sites.retain(|key, site| keep(key, site) || site.in_flight > 0);
        let sites = &self.sites;
        for upstream in self.upstreams.values_mut() {
            upstream.sites.retain(|&key| sites.contains_key(key));
        }
        for service in self.services.values_mut() {
            service.sites.retain(|&key| sites.contains_key(key));
        }
    }

    /// Drops workers without instances and requests in flight.
    fn sweep(&mut self) {
        let names = &mut self.upstream_names;
        self.upstreams.retain(|_, upstream| {
            let keep = !upstream.sites.is_empty() || upstream.in_use > 0;
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
            let keep = !service.sites.is_empty() || keep(key);
            if !keep {
                names.remove(&service.name);
            }
            keep
        });
    }

    /// Computes the share of each worker anew.
    pub fn reshare(&mut self, shares: &Shares) {
        for upstream in self.upstreams.values_mut() {
            upstream.share = shares.allowed(&upstream.name);
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
        self.services[service].sites.iter().any(|&site| self.sites[site].open)
    }

    /// Returns the slots of the service's open instances that this VM may use.
    #[must_use]
    pub fn slots(&self, service: ServiceKey) -> u32 {
        let sites = self.services[service].sites.iter().map(|&site| &self.sites[site]);
        let open = sites.filter(|site| site.open);
        open.map(|site| self.upstreams[site.upstream].share.slots).sum()
    }

    /// Picks the free instance from which an answer is expected soonest.
    ///
    /// Those within `LIKE` of the soonest count as equal and take turns, so that work spreads and
    /// small errors of what was learned do not matter.
    pub fn pick(&mut self, wanted: &Wanted, now: Instant) -> Option<SiteKey> {
        let service = &self.services[wanted.service];
        let (later, sooner) = service.sites.split_at(service.turn % service.sites.len().max(1));
        let in_turn = || sooner.iter().chain(later).copied();
        let expected = |key| self.expected_ms(key, wanted, now);
        let least = in_turn().filter_map(expected).reduce(f64::min)?;
        let alike = least * LIKE + LIKE_MS;
        let picked = in_turn().find(|&key| expected(key).is_some_and(|ms| ms <= alike));
        self.services[wanted.service].turn += 1;
        picked
    }

    /// Returns when an answer of an instance is expected, or nothing if it may not be sent anything.
    fn expected_ms(&self, key: SiteKey, wanted: &Wanted, now: Instant) -> Option<f64> {
        let site = &self.sites[key];
        if !self.is_free(site, now) {
            return None;
        }
        if wanted.probe && site.health.is_out() {
            // Without a preference an instance would be probed only when all others are busy.
            return Some(0.0);
        }
        let latency_ms = self.upstreams[site.upstream].latency_ms;
        let penalty_ms = if wanted.avoid == Some(key) { AVOIDED_MS } else { 0.0 };
        Some(penalty_ms + 2.0 * latency_ms + wanted.usual_ms * site.pace())
    }

    fn is_free(&self, site: &Site, now: Instant) -> bool {
        let standing = match site.health.standing(now) {
            Standing::Good => true,
            Standing::Probed => site.in_flight == 0,
            Standing::Ejected => false,
        };
        site.open && standing && self.upstreams[site.upstream].has_slot(now)
    }

    /// Takes a slot for a request to `site`.
    pub fn occupy(&mut self, site: SiteKey) {
        let site = &mut self.sites[site];
        site.in_flight += 1;
        self.upstreams[site.upstream].in_use += 1;
    }

    /// Returns a slot. Returns the worker whose slot is free now.
    pub fn vacate(&mut self, site: SiteKey) -> Option<UpstreamKey> {
        let site = self.sites.get_mut(site)?;
        site.in_flight -= 1;
        let upstream = site.upstream;
        let gone = !site.open && site.in_flight == 0;
        self.upstreams[upstream].in_use -= 1;
        if gone {
            // A closed instance may only be leaving; `update` drops it when the list no longer has it.
            self.sweep();
        }
        Some(upstream)
    }

    /// Notes an answer of `site` after `ms`, where `usual_ms` was expected.
    pub fn answered(&mut self, site: SiteKey, ms: f64, usual_ms: f64, now: Instant) {
        let Some(known) = self.sites.get_mut(site) else {
            return;
        };
        if usual_ms > 0.0 {
            known.pace.add(ms / usual_ms);
        }
        let (pace, samples, service) = (known.pace(), known.pace.samples(), known.service);
        let others = self.services[service].sites.iter().map(|&other| self.sites[other].pace());
        if is_slow(pace, samples, others) {
            self.eject(site, now);
        } else {
            self.sites[site].health.answered();
        }
    }

    /// Notes a failure of `site`.
    pub fn failed(&mut self, site: SiteKey, now: Instant) {
        if self.sites.get_mut(site).is_some_and(|known| known.health.failed()) {
            self.eject(site, now);
        }
    }

    fn eject(&mut self, site: SiteKey, now: Instant) {
        let sites = &self.services[self.sites[site].service].sites;
        let out = |&&key: &&SiteKey| key != site && self.sites[key].health.is_out();
        let (out, all) = (sites.iter().filter(out).count(), sites.len());
        if !may_eject(out, all) {
            return;
        }
        let known = &mut self.sites[site];
        known.health.eject(now);
        known.pace = Estimate::default();
        let service = &self.services[known.service].name;
        let worker = &self.upstreams[known.upstream].name;
        log::warn!("event=instance_ejected service={service} worker={worker}");
    }
}
