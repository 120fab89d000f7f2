//! Containment of routes whose tasks crash many workers.
//!
//! Each crashing task takes down two workers before it is given up, and a worker takes seconds to
//! return. If a route submits many such tasks, they can empty the whole service, to the harm of all
//! other routes. Once half of a service's workers are down, every start of the route is on
//! probation, comes after the work of other routes, and leaves half of the workers untouched.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use super::Scheduler;

use crate::{boot_time::BootTime, config::Route};

/// Time after which a crashed worker that was not replaced no longer counts as down, in milliseconds.
const DOWN_MS: u64 = 4_000;

/// Time for which crashes and tasks that were given up count against their route, in milliseconds.
const ROUTE_MEMORY_MS: u64 = 5_000;

/// Divisor for the share of a service's workers that tasks on probation and crashes may occupy.
const MAX_EXPOSED_DIVISOR: usize = 2;

/// Divisor for the share of a service's workers that must have crashed under tasks of one route for
/// the route to be contained.
const ROUTE_CRASHES_DIVISOR: usize = 12;

/// Recent crashes by service and by route, and recent tasks that were given up by route.
#[derive(Debug, Default)]
pub(super) struct CrashHistory {
    services: RecentTimes,
    routes: RecentTimes,
    given_up: RecentTimes,
}

/// Times of recent events, by name.
#[derive(Debug, Default)]
struct RecentTimes(HashMap<Arc<str>, VecDeque<BootTime>>);

impl RecentTimes {
    fn record(&mut self, name: &Arc<str>, now: BootTime) {
        let times = self.0.entry(Arc::clone(name)).or_default();
        times.retain(|at| now.ms_since(*at) < ROUTE_MEMORY_MS);
        times.push_back(now);
    }

    fn count(&self, name: &str, within_ms: u64, now: BootTime) -> usize {
        let times = self.0.get(name).into_iter().flatten();
        times.filter(|at| now.ms_since(**at) < within_ms).count()
    }
}

impl CrashHistory {
    /// Records the crash of a worker of a service. `route` is set if all runs that may have caused
    /// it are of one route, and none is of a task that was a suspect already.
    pub(super) fn record_crash(
        &mut self,
        service: &Arc<str>,
        route: Option<&Arc<str>>,
        now: BootTime,
    ) {
        self.services.record(service, now);
        if let Some(route) = route {
            self.routes.record(route, now);
        }
    }

    /// Records that a worker has joined a service, in place of one that crashed if there is one.
    pub(super) fn record_join(&mut self, service: &str) {
        if let Some(times) = self.services.0.get_mut(service) {
            times.pop_front();
        }
    }

    /// Records that a task of a route was given up.
    pub(super) fn record_given_up(&mut self, route: &Arc<str>, now: BootTime) {
        self.given_up.record(route, now);
    }
}

impl Scheduler {
    /// Returns how many more workers of a service may be put at risk by tasks on probation.
    pub(super) fn exposure_limit(&self, service: &str, now: BootTime) -> usize {
        let (all, exposed) = self.count_exposed(service, now);
        (all / MAX_EXPOSED_DIVISOR).max(1).saturating_sub(exposed)
    }

    /// Returns true if the tasks of a route crash so many workers that it is contained.
    pub(super) fn is_contained(&self, route: &Route, now: BootTime) -> bool {
        let history = &self.crash_history;
        if history.given_up.count(&route.name, ROUTE_MEMORY_MS, now) == 0 {
            return false;
        }
        let crashes = history.routes.count(&route.name, ROUTE_MEMORY_MS, now);
        let down = history.services.count(&route.service, DOWN_MS, now);
        let (all, _) = self.count_exposed(&route.service, now);
        crashes * ROUTE_CRASHES_DIVISOR >= all && down * MAX_EXPOSED_DIVISOR >= all
    }

    /// Returns the number of a service's workers, including those that are down after a crash, and
    /// how many are down or have a run on probation.
    fn count_exposed(&self, service: &str, now: BootTime) -> (usize, usize) {
        let down = self.crash_history.services.count(service, DOWN_MS, now);
        let (mut present, mut on_probation) = (0, 0);
        for worker in self.workers.values().filter(|worker| !worker.absent) {
            if worker.entry.as_ref().is_some_and(|entry| &*entry.service == service) {
                present += 1;
                on_probation += usize::from(worker.has_probation(now));
            }
        }
        (present + down, on_probation + down)
    }
}
