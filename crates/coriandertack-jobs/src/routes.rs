//! The routes of a configuration, with indexes for the two ways in which they are looked up.
//!
//! Load: configurations with thousands of routes. Every request chooses a route by host and path,
//! and the scheduler looks up the route of each waiting step by its name, on every pass.

use std::{
    borrow::Cow,
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    sync::Arc,
};

use slotmap::{SlotMap, new_key_type};

use crate::config::Route;

new_key_type! {
    /// Key of a route.
    pub struct RouteKey;
}

/// Routes in the order of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    routes: SlotMap<RouteKey, Arc<Route>>,
    by_name: HashMap<Arc<str>, RouteKey>,
    /// Routes of each host in lower case.
    by_host: HashMap<Box<str>, HostRoutes>,
}

/// Routes of one host.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    by_prefix: HashMap<Arc<str>, RouteKey>,
    /// Lengths of the prefixes, the longest first. There are few, whatever the number of routes.
    lengths: BTreeSet<Reverse<usize>>,
}

impl Routes {
    /// Returns the number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Returns whether there are no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Returns all routes, in the order of the configuration.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values()
    }

    /// Returns the route with the given name, or the first of several.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&Arc<Route>> {
        self.by_name.get(name).map(|&key| &self.routes[key])
    }

    /// Returns the route of a host with the longest prefix of a path, and the rest of the path. Of several equal routes,
    /// the last one is chosen.
    #[must_use]
    pub fn matching<'a>(&self, host: &str, path: &'a str) -> Option<(&Arc<Route>, &'a str)> {
        let host = match host.bytes().any(|byte| byte.is_ascii_uppercase()) {
            true => Cow::Owned(host.to_ascii_lowercase()),
            false => Cow::Borrowed(host),
        };
        let host = self.by_host.get(&*host)?;
        host.lengths.iter().find_map(|&Reverse(length)| {
            let (prefix, rest) = path.split_at_checked(length)?;
            host.by_prefix.get(prefix).map(|&key| (&self.routes[key], rest))
        })
    }
}

impl FromIterator<Arc<Route>> for Routes {
    fn from_iter<I: IntoIterator<Item = Arc<Route>>>(routes: I) -> Self {
        let mut all = Self::default();
        for route in routes {
            let (name, prefix) = (route.name.clone(), route.prefix.clone());
            let host = route.host.to_ascii_lowercase().into_boxed_str();
            let key = all.routes.insert(route);
            all.by_name.entry(name).or_insert(key);
            let host = all.by_host.entry(host).or_default();
            host.lengths.insert(Reverse(prefix.len()));
            host.by_prefix.insert(prefix, key);
        }
        all
    }
}

impl<'a> IntoIterator for &'a Routes {
    type Item = &'a Arc<Route>;
    type IntoIter = slotmap::basic::Values<'a, RouteKey, Arc<Route>>;

    fn into_iter(self) -> Self::IntoIter {
        self.routes.values()
    }
}

impl PartialEq for Routes {
    fn eq(&self, other: &Self) -> bool {
        self.iter().eq(other.iter())
    }
}
