//! The operators' configuration: routes, services and limits.
//!
//! A route is a queue of jobs, found by host and path; a service is a pool of workers that run its tasks.

use std::{collections::HashMap, sync::Arc};

/// One accepted configuration. A higher revision replaces it as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Revision, which only increases.
    pub revision: u64,
    /// Routes.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

/// A queue of jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host that requests must name.
    pub host: Arc<str>,
    /// Prefix of the path.
    pub prefix: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Rank; 0 is the most urgent and may preempt others.
    pub priority: u32,
    /// Runs of one task that may fail.
    pub max_attempts: u32,
    /// Factor on the longest chain of work in the objective.
    pub stretch: f64,
    /// Fixed part of the objective, in milliseconds.
    pub slo_ms: u64,
    /// Policy that decides which workers may run a step.
    pub advice: Option<AdvicePolicy>,
}

/// What a call for advice costs and how long its answer holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdvicePolicy {
    /// Fixed time of a call, in milliseconds.
    pub call_ms: f64,
    /// Time for each worker that the call names, in milliseconds.
    pub worker_ms: f64,
    /// How long a ticket is valid, in milliseconds.
    pub validity_ms: u64,
}

impl AdvicePolicy {
    /// Returns the time that a call for this many workers takes, in milliseconds.
    #[must_use]
    pub fn cost_ms(self, workers: usize) -> f64 {
        self.call_ms + self.worker_ms * workers as f64
    }
}

/// A pool of workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Whether the pool's machines are switched off until one is moved elsewhere.
    pub standby: bool,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time in which a head must arrive, in milliseconds.
    pub header_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// Returns the limits that hold before the first configuration: a request has no route then, so small ones do.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1_024,
            body_bytes: 256 * 1_024,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

impl Config {
    /// Returns the route with the longest prefix for a host and a path, and the rest of the path.
    #[must_use]
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Arc<Route>, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter_map(|route| path.strip_prefix(&*route.prefix).map(|rest| (route, rest)))
            .max_by_key(|(route, _)| route.prefix.len())
    }

    /// Returns the route of a name.
    #[must_use]
    pub fn route_named(&self, name: &str) -> Option<&Arc<Route>> {
        self.routes.iter().find(|route| &*route.name == name)
    }
}
