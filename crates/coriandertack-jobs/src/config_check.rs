//! Check of a configuration before it is published, and its differences from another version.
//!
//! The decoder of configurations is lenient, so that one wrong entry does not disable the others.
//! This module tells an operator what that leniency hides, and which entries can have no effect.
//! It has no network and no clock. Findings and differences contain no key of a team, only the
//! number of keys. See docs/design/config-check.md.
//!
//! The cost is quadratic in the number of routes, which is harmless at the thousands of routes of a
//! configuration: the check runs once for each change, on the operator's machine.

mod problem;

use std::{
    collections::{HashMap, HashSet},
    fmt,
    sync::Arc,
};

use {
    coriandertack_core::resources::Resources,
    derive_more::Display,
    sha2::{Digest, Sha256},
};

pub use self::problem::{Finding, Problem, Severity};

use crate::{
    config::{AdvicePolicy, Config, Limits, Route},
    ids::JOB_ID_DIGITS,
    sched::TICKET_EXPIRY_MARGIN_MS,
    spec::OBJECTIVE_ADVICE_WORKERS,
    teams::Team,
};

/// Length below which a key counts as short, in characters. 16 random letters and digits have more
/// than 80 bits, which cannot be guessed over the network.
pub const MIN_KEY_CHARS: usize = 16;

/// Need of the smallest task that is considered useful: one percent of a core, and memory for a
/// process that does nothing. A smaller cap fits no task.
pub const SMALLEST_TASK: Resources = Resources::new(10, 4, 1);

/// Thousandths in a core. A cap below one core often is a number of cores in the wrong unit.
const CORE_MILLICORES: u32 = 1_000;

/// A configuration as an operator wrote it.
#[derive(Clone, Debug, Default)]
pub struct Draft {
    /// Decoded configuration; the default if the decoder rejected it.
    pub config: Config,
    /// What the decoded configuration does not show.
    pub written: Written,
}

/// Parts of a written configuration that its decoded form does not show.
#[derive(Clone, Debug, Default)]
pub struct Written {
    /// Reason for which the decoder rejects the configuration as a whole.
    pub rejected: Option<String>,
    /// Readable entries in the order of the file. The decoded form keeps one of several services of
    /// a name.
    pub entries: Vec<Entry>,
    /// Entries that cannot be decoded, each with the reason.
    pub unreadable: Vec<(Entry, String)>,
    /// Fields that the platform does not define, each with its name.
    pub unknown: Vec<(Entry, String)>,
    /// Keys of the readable teams.
    pub keys: Vec<TeamKeys>,
    /// Size of the smallest request body with the longest payload, in bytes.
    pub body_need: usize,
    /// Size of the file, in bytes.
    pub bytes: usize,
}

/// Speed at which VMs with the narrowest links read a configuration, in bytes a millisecond: 8 of the
/// 10 Mbit/s, since the links carry other traffic too.
const NARROW_LINK_BYTES_MS: usize = 1_000;

/// Time for the transfer of a configuration from which it is reported, in milliseconds: half of the
/// smallest bound within which a version has to be in force.
const LONG_TRANSFER_MS: usize = 1_000;

/// Largest configuration that VMs can read, in bytes. The store lists it as text, which is a third
/// larger, in a response of at most 8 MiB.
const MAX_BYTES: usize = 6_000_000;

/// The keys of a team.
#[derive(Clone, Debug)]
pub struct TeamKeys {
    /// Name of the team.
    pub team: Arc<str>,
    /// Keys in the order of the file.
    pub keys: Vec<HeldKey>,
}

/// A key, which can be compared but not shown.
#[derive(Clone, Copy)]
pub struct HeldKey {
    digest: [u8; 32],
    chars: usize,
    usable: bool,
}

impl HeldKey {
    /// Creates the entry of a key. `usable` tells whether a request can carry the key.
    #[must_use]
    pub fn new(key: &str, usable: bool) -> Self {
        let digest = Sha256::digest(key.as_bytes()).into();
        Self { digest, chars: key.chars().count(), usable }
    }
}

impl fmt::Debug for HeldKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("HeldKey(..)")
    }
}

/// A list of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum List {
    /// Routes.
    #[display("routes")]
    Routes,
    /// Services.
    #[display("services")]
    Services,
    /// Teams.
    #[display("teams")]
    Teams,
}

/// A part of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Display)]
pub enum Entry {
    /// The configuration as a whole.
    #[display("configuration")]
    Whole,
    /// The limits on requests.
    #[display("limits")]
    Limits,
    /// A route, by its name.
    #[display("route {_0}")]
    Route(Arc<str>),
    /// A service, by its name.
    #[display("service {_0}")]
    Service(Arc<str>),
    /// A team, by its name.
    #[display("team {_0}")]
    Team(Arc<str>),
    /// An entry whose name is not known, by its position in a list, from 1.
    #[display("entry {_1} of the {_0}")]
    Numbered(List, usize),
}

/// A field of a configuration. The adapter to the platform knows the name that operators write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[expect(missing_docs, reason = "the names are those of the fields of the configuration")]
pub enum Field {
    Revision,
    Name,
    Host,
    Prefix,
    Service,
    Priority,
    MaxAttempts,
    Stretch,
    SloMs,
    CallMs,
    WorkerMs,
    ValidityMs,
    Open,
    Standby,
    Teams,
    Keys,
    Weight,
    CapMillicores,
    CapMemory,
    CapAccelerators,
    HeaderBytes,
    BodyBytes,
    HeaderMs,
    IdleMs,
}

/// Returns all findings on a configuration, errors first, in ascending order of their codes.
///
/// `in_force` is the version that the configuration is to replace, if known.
#[must_use]
pub fn findings(draft: &Draft, in_force: Option<&Draft>) -> Vec<Finding> {
    let Draft { config, written } = draft;
    let mut found = Findings::default();
    found.check_written(written);
    if written.rejected.is_none() {
        found.check_revision(draft, in_force);
        found.check_size(written.bytes);
        for route in &config.routes {
            found.check_route(config, route);
            found.check_neighbors(config, route);
        }
        found.check_services(config);
        found.check_teams(config, written);
        found.check_limits(config.limits, written.body_need);
    }
    let mut findings = found.0;
    // The sort is stable, so findings with the same code stay in the order of the file.
    findings.sort_by_key(|Finding { problem, .. }| {
        (std::cmp::Reverse(problem.severity()), problem.code())
    });
    findings
}

/// Findings so far.
#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn add(&mut self, entry: Entry, problem: Problem) {
        self.0.push(Finding { entry, problem });
    }

    fn check_written(&mut self, written: &Written) {
        if let Some(reason) = &written.rejected {
            self.add(Entry::Whole, Problem::Rejected { reason: reason.clone() });
        }
        for (entry, reason) in &written.unreadable {
            self.add(entry.clone(), Problem::Unreadable { reason: reason.clone() });
        }
        for (entry, name) in &written.unknown {
            self.add(entry.clone(), Problem::UnknownField { name: name.clone() });
        }
        let mut seen = HashSet::new();
        for entry in &written.entries {
            if !seen.insert(entry) {
                self.add(entry.clone(), Problem::DuplicateName);
            }
            let (Entry::Route(name) | Entry::Service(name) | Entry::Team(name)) = entry else {
                continue;
            };
            if name.is_empty() {
                self.add(entry.clone(), Problem::EmptyName);
            }
        }
        self.check_keys(&written.keys);
    }

    fn check_keys(&mut self, teams: &[TeamKeys]) {
        let mut holders: HashMap<[u8; 32], &Arc<str>> = HashMap::new();
        for TeamKeys { team, keys } in teams {
            let entry = Entry::Team(team.clone());
            let usable: Vec<&HeldKey> = keys.iter().filter(|key| key.usable).collect();
            if usable.is_empty() {
                self.add(entry.clone(), Problem::NoKeys);
            }
            if usable.len() < keys.len() {
                let count = keys.len() - usable.len();
                self.add(entry.clone(), Problem::UnusableKeys { count });
            }
            let mut repeated = 0;
            // Other holders in the order in which they are met, so that the output is stable.
            let mut shared: Vec<(&Arc<str>, usize)> = Vec::new();
            let mut own = HashSet::new();
            for key in &usable {
                if !own.insert(key.digest) {
                    repeated += 1;
                    continue;
                }
                let holder = *holders.entry(key.digest).or_insert(team);
                if holder == team {
                    continue;
                }
                match shared.iter_mut().find(|(other, _)| *other == holder) {
                    Some((_, count)) => *count += 1,
                    None => shared.push((holder, 1)),
                }
            }
            for (other, count) in shared {
                self.add(entry.clone(), Problem::SharedKey { other: other.clone(), count });
            }
            if repeated > 0 {
                self.add(entry.clone(), Problem::RepeatedKeys { count: repeated });
            }
            let count = usable.iter().filter(|key| key.chars < MIN_KEY_CHARS).count();
            if count > 0 {
                self.add(entry, Problem::ShortKeys { count, least: MIN_KEY_CHARS });
            }
        }
    }

    fn check_revision(&mut self, draft: &Draft, in_force: Option<&Draft>) {
        let revision = draft.config.revision;
        if revision == 0 {
            self.add(Entry::Whole, Problem::NoRevision);
        }
        let Some(old) = in_force else { return };
        // The version in force itself is no change, so it needs no newer revision.
        if revision <= old.config.revision && !differences(old, draft).is_empty() {
            let in_force = old.config.revision;
            self.add(Entry::Whole, Problem::OldRevision { revision, in_force });
        }
    }

    fn check_route(&mut self, config: &Config, route: &Arc<Route>) {
        let entry = Entry::Route(route.name.clone());
        if !config.services.contains_key(&route.service) {
            let service = route.service.clone();
            self.add(entry.clone(), Problem::UnknownService { service });
        }
        if !is_host(&route.host) {
            let host = route.host.clone();
            self.add(entry.clone(), Problem::UnreachableHost { host });
        }
        if !is_path(&route.prefix) {
            let prefix = route.prefix.clone();
            self.add(entry.clone(), Problem::UnreachablePrefix { prefix });
        }
        if let Some(policy) = route.advice {
            self.check_advice(entry, route, policy);
        }
    }

    fn check_advice(&mut self, entry: Entry, route: &Route, policy: AdvicePolicy) {
        let call_ms = policy.cost_ms(OBJECTIVE_ADVICE_WORKERS);
        let objective_ms = ((call_ms * route.stretch) as u64).saturating_add(route.slo_ms);
        if (objective_ms as f64) < call_ms.floor() {
            let call_ms = call_ms.ceil() as u64;
            self.add(entry.clone(), Problem::ShortObjective { objective_ms, call_ms });
        }
        if policy.validity_ms <= TICKET_EXPIRY_MARGIN_MS {
            let (validity_ms, least_ms) = (policy.validity_ms, TICKET_EXPIRY_MARGIN_MS);
            self.add(entry, Problem::ShortTickets { validity_ms, least_ms });
        }
    }

    /// Compares a route with the others of its host.
    fn check_neighbors(&mut self, config: &Config, route: &Arc<Route>) {
        if !is_host(&route.host) || !is_path(&route.prefix) {
            return;
        }
        let entry = || Entry::Route(route.name.clone());
        // The lookup itself tells which of several equal routes is chosen.
        if let Some((chosen, _)) = config.route(&route.host, &route.prefix)
            && !Arc::ptr_eq(chosen, route)
        {
            self.add(entry(), Problem::ShadowedRoute { by: chosen.name.clone() });
            return;
        }
        for other in &config.routes {
            if !other.host.eq_ignore_ascii_case(&route.host) {
                continue;
            }
            let Some(digits) = other.prefix.strip_prefix(&*route.prefix) else { continue };
            let divides = (1..=JOB_ID_DIGITS).contains(&digits.len())
                && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
            if divides {
                let (by, digits) = (other.name.clone(), digits.to_owned());
                self.add(entry(), Problem::DividedRoute { by, digits });
            }
        }
    }

    fn check_services(&mut self, config: &Config) {
        let used: HashSet<&str> = config.routes.iter().map(|route| &*route.service).collect();
        let mut unused: Vec<&Arc<str>> = config
            .services
            .iter()
            // The machines of a standby service are there to be moved to other services.
            .filter(|(name, service)| !service.standby && !used.contains(&***name))
            .map(|(name, _)| name)
            .collect();
        unused.sort();
        for name in unused {
            self.add(Entry::Service(name.clone()), Problem::UnusedService);
        }
    }

    fn check_teams(&mut self, config: &Config, written: &Written) {
        let Some(teams) = &config.teams else { return };
        let unreadable = written.unreadable.iter();
        let has_entries = teams.iter().next().is_some()
            || unreadable
                .into_iter()
                .any(|(entry, _)| matches!(entry, Entry::Numbered(List::Teams, _)));
        let routes = config.routes.iter().filter(|route| !route.open).count();
        if !has_entries && routes > 0 {
            self.add(Entry::Whole, Problem::NoTeams { routes });
        }
        for team in teams.iter() {
            self.check_team(team);
        }
    }

    fn check_team(&mut self, team: &Team) {
        let entry = Entry::Team(team.name.clone());
        if team.weight.is_nan() || team.weight <= 0.0 {
            self.add(entry.clone(), Problem::NoWeight { weight: team.weight });
        }
        let (cap, least) = (team.cap, SMALLEST_TASK);
        let parts = [
            (Field::CapMillicores, cap.millicores, least.millicores, "thousandths of a core"),
            (Field::CapMemory, cap.memory_mib, least.memory_mib, "MiB"),
            (Field::CapAccelerators, cap.accelerators, least.accelerators, "accelerators"),
        ];
        for (part, cap, least, unit) in parts {
            if (1..least).contains(&cap) {
                let problem = Problem::CapFitsNothing { part, cap, least, unit };
                self.add(entry.clone(), problem);
            }
        }
        if (least.millicores..CORE_MILLICORES).contains(&cap.millicores) {
            self.add(entry, Problem::CapBelowCore { cap: cap.millicores });
        }
    }

    fn check_size(&mut self, bytes: usize) {
        let transfer_ms = bytes / NARROW_LINK_BYTES_MS;
        if bytes > MAX_BYTES {
            self.add(Entry::Whole, Problem::TooLarge { bytes, limit: MAX_BYTES });
        } else if transfer_ms > LONG_TRANSFER_MS {
            self.add(Entry::Whole, Problem::LargeConfig { bytes, transfer_ms });
        }
    }

    fn check_limits(&mut self, limits: Limits, need: usize) {
        let Limits { body_bytes: limit, header_ms, idle_ms, .. } = limits;
        for (limit, time) in [(Field::HeaderMs, header_ms), (Field::IdleMs, idle_ms)] {
            if time == 0 {
                self.add(Entry::Limits, Problem::NoTime { limit });
            }
        }
        if header_ms > idle_ms {
            self.add(Entry::Limits, Problem::HeaderAboveIdle { header_ms, idle_ms });
        }
        if limit < need {
            self.add(Entry::Limits, Problem::SmallBodies { limit, need });
        }
    }
}

/// Returns whether a request can name a host. The port of a request is cut off before the lookup.
fn is_host(host: &str) -> bool {
    !host.is_empty() && host.bytes().all(|byte| byte.is_ascii_graphic() && !b":/".contains(&byte))
}

/// Returns whether a request path can begin with a prefix. Paths are compared as they are sent, so
/// characters that callers escape cannot occur.
fn is_path(prefix: &str) -> bool {
    prefix.starts_with('/')
        && prefix.bytes().all(|byte| byte.is_ascii_graphic() && !b"?#\"<>".contains(&byte))
}

/// A difference of a version of a configuration from the one that it replaces.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[display("{entry}: {change}")]
pub struct Difference {
    entry: Entry,
    field: Option<Field>,
    change: Change,
}

/// What differs between two versions.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Change {
    /// Only the new version has the entry.
    #[display("added")]
    Added,
    /// Only the old version has the entry.
    #[display("removed")]
    Removed,
    /// A field has another value.
    #[display("changed from {old} to {new}")]
    Value {
        /// Value in the old version.
        old: String,
        /// Value in the new version.
        new: String,
    },
    /// A team has other keys.
    #[display("{added} key(s) added, {removed} removed")]
    Keys {
        /// Number of keys that only the new version has.
        added: usize,
        /// Number of keys that only the old version has.
        removed: usize,
    },
}

impl Difference {
    /// Returns the entry that differs.
    #[must_use]
    pub const fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Returns the field that differs, if the entry exists in both versions.
    #[must_use]
    pub const fn field(&self) -> Option<Field> {
        self.field
    }

    /// Returns what differs.
    #[must_use]
    pub const fn change(&self) -> &Change {
        &self.change
    }
}

/// Fields of an entry with their values as text.
type Values = Vec<(Field, String)>;

/// Returns the differences of a version from the one that it replaces, except the revision.
///
/// Entries are compared by their names. Of several entries of a name, the first counts.
#[must_use]
pub fn differences(old: &Draft, new: &Draft) -> Vec<Difference> {
    let mut found = Vec::new();
    let (before, after) = (entries_of(&old.config), entries_of(&new.config));
    let find = |entries: &[(Entry, Values)], entry: &Entry| {
        entries.iter().find(|(other, _)| other == entry).map(|(_, values)| values.clone())
    };
    let (keys_before, keys_after) = (keys_of(&old.written), keys_of(&new.written));
    let none = HashSet::new();
    for (entry, values) in &after {
        match find(&before, entry) {
            None => found.push(whole_entry(entry, Change::Added)),
            Some(former) => found.extend(changes(entry, former, values)),
        }
        if let Entry::Team(team) = entry {
            let keys = |all: &HashMap<_, _>| all.get(team).cloned().unwrap_or_else(|| none.clone());
            let (former, current) = (keys(&keys_before), keys(&keys_after));
            let added = current.difference(&former).count();
            let removed = former.difference(&current).count();
            if added + removed > 0 {
                let change = Change::Keys { added, removed };
                found.push(Difference { entry: entry.clone(), field: Some(Field::Keys), change });
            }
        }
    }
    let gone = before.iter().filter(|(entry, _)| find(&after, entry).is_none());
    found.extend(gone.map(|(entry, _)| whole_entry(entry, Change::Removed)));
    found
}

fn whole_entry(entry: &Entry, change: Change) -> Difference {
    Difference { entry: entry.clone(), field: None, change }
}

fn changes(entry: &Entry, former: Values, values: &Values) -> Vec<Difference> {
    let pairs = former.into_iter().zip(values).filter(|((_, old), (_, new))| old != new);
    let changed = pairs.map(|((field, old), (_, new))| {
        let change = Change::Value { old, new: new.clone() };
        Difference { entry: entry.clone(), field: Some(field), change }
    });
    changed.collect()
}

/// Returns the digests of the keys of each team.
fn keys_of(written: &Written) -> HashMap<&Arc<str>, HashSet<[u8; 32]>> {
    let mut keys: HashMap<_, HashSet<_>> = HashMap::new();
    for team in &written.keys {
        let digests = team.keys.iter().filter(|key| key.usable).map(|key| key.digest);
        keys.entry(&team.team).or_default().extend(digests);
    }
    keys
}

/// Returns the first entry of each name with its values. All entries of a kind have the same fields
/// in the same order.
fn entries_of(config: &Config) -> Vec<(Entry, Values)> {
    let needed = if config.teams.is_some() { "needed" } else { "not needed" };
    let whole = vec![(Field::Teams, format!("keys {needed}"))];
    let mut entries = vec![(Entry::Whole, whole), (Entry::Limits, limit_values(config.limits))];
    let routes = config.routes.iter();
    entries.extend(routes.map(|route| (Entry::Route(route.name.clone()), route_values(route))));
    let mut services: Vec<_> = config.services.iter().collect();
    services.sort_by_key(|(name, _)| *name);
    entries.extend(services.into_iter().map(|(name, service)| {
        (Entry::Service(name.clone()), vec![(Field::Standby, service.standby.to_string())])
    }));
    let teams = config.teams.iter().flat_map(|teams| teams.iter());
    entries.extend(teams.map(|team| (Entry::Team(team.name.clone()), team_values(team))));
    let mut seen = HashSet::new();
    entries.retain(|(entry, _)| seen.insert(entry.clone()));
    entries
}

fn route_values(route: &Route) -> Values {
    let advice = |value: fn(AdvicePolicy) -> String| route.advice.map_or("none".into(), value);
    vec![
        (Field::Host, route.host.to_string()),
        (Field::Prefix, route.prefix.to_string()),
        (Field::Service, route.service.to_string()),
        (Field::Priority, route.priority.to_string()),
        (Field::MaxAttempts, route.max_attempts.to_string()),
        (Field::Stretch, route.stretch.to_string()),
        (Field::SloMs, route.slo_ms.to_string()),
        (Field::CallMs, advice(|policy| policy.call_ms.to_string())),
        (Field::WorkerMs, advice(|policy| policy.worker_ms.to_string())),
        (Field::ValidityMs, advice(|policy| policy.validity_ms.to_string())),
        (Field::Open, route.open.to_string()),
    ]
}

fn team_values(team: &Team) -> Values {
    vec![
        (Field::Weight, team.weight.to_string()),
        (Field::CapMillicores, team.cap.millicores.to_string()),
        (Field::CapMemory, team.cap.memory_mib.to_string()),
        (Field::CapAccelerators, team.cap.accelerators.to_string()),
    ]
}

fn limit_values(limits: Limits) -> Values {
    vec![
        (Field::HeaderBytes, limits.header_bytes.to_string()),
        (Field::BodyBytes, limits.body_bytes.to_string()),
        (Field::HeaderMs, limits.header_ms.to_string()),
        (Field::IdleMs, limits.idle_ms.to_string()),
    ]
}
