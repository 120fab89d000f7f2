//! Configuration set by operators: routes, services and limits.
//!
//! A route is a queue of jobs, selected by host and path. A service is a pool of workers that run
//! the tasks of routes.

use std::{collections::HashMap, sync::Arc};

use crate::{routes::Routes, teams::Teams};

/// An accepted configuration. A higher revision replaces it as a whole.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Revision, which only increases.
    pub revision: u64,
    /// All routes.
    pub routes: Routes,
    /// Services by name.
    pub services: HashMap<Arc<str>, Service>,
    /// Teams and their keys; `None` if callers need no key.
    pub teams: Option<Teams>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

/// A queue of jobs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Route {
    /// Unique name.
    pub name: Arc<str>,
    /// Host that a request must name.
    pub host: Arc<str>,
    /// Path prefix that a request must have.
    pub prefix: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Priority; 0 is the most urgent and may preempt others.
    pub priority: u32,
    /// Maximum number of failed runs of one task. The job fails once it is reached.
    pub max_attempts: u32,
    /// Factor on the longest chain of work in a job's objective.
    pub stretch: f64,
    /// Fixed part of a job's objective, in milliseconds.
    pub slo_ms: u64,
    /// Policy that decides which workers may run a step; `None` if any worker of the service may.
    pub advice: Option<AdvicePolicy>,
    /// Whether calls need no key even if the configuration has teams.
    pub open: bool,
}

/// Cost of an advice call and validity of its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdvicePolicy {
    /// Fixed duration of a call, in milliseconds.
    pub call_ms: f64,
    /// Additional duration for each worker that the call names, in milliseconds.
    pub worker_ms: f64,
    /// Validity of a ticket, in milliseconds.
    pub validity_ms: u64,
}

impl AdvicePolicy {
    /// Returns the duration of a call that names this many workers, in milliseconds.
    #[must_use]
    pub fn cost_ms(self, workers: usize) -> f64 {
        self.call_ms + self.worker_ms * workers as f64
    }
}

/// A pool of workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// Whether the pool's machines stay switched off until one of them is moved to another pool.
    pub standby: bool,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request header, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time within which a request header must arrive, in milliseconds.
    pub header_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    /// Returns the limits that apply before the first configuration. They are small, since no
    /// request has a route until then.
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
    /// Returns the route of a host with the longest prefix of a path, and the rest of the path.
    #[must_use]
    pub fn route<'a>(&self, host: &str, path: &'a str) -> Option<(&Arc<Route>, &'a str)> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes.matching(host, path)
    }

    /// Returns the route with the given name.
    #[must_use]
    pub fn route_named(&self, name: &str) -> Option<&Arc<Route>> {
        self.routes.named(name)
    }
}
