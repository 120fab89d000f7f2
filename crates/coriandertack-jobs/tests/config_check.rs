//! Tests of the check of a configuration and of the differences between two versions.

use std::{collections::HashSet, fs, sync::Arc};

use {
    coriandertack_core::resources::Resources,
    coriandertack_jobs::{
        config::{AdvicePolicy, Config, Limits, Route, Service},
        config_check::{
            Draft, Entry, HeldKey, List, MIN_KEY_CHARS, Problem, SMALLEST_TASK, Severity, TeamKeys,
            Written, differences, findings,
        },
        teams::{Team, Teams},
    },
    expect_test::{Expect, expect},
    proptest::prelude::*,
};

/// A key that is long enough, and must never be shown.
const KEY: &str = "k3y-of-the-bookings-team";

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "vans.example".into(),
        prefix: prefix.into(),
        service: "vans".into(),
        priority: 1,
        max_attempts: 3,
        stretch: 2.0,
        slo_ms: 1_000,
        advice: Some(AdvicePolicy { call_ms: 5.0, worker_ms: 0.5, validity_ms: 2_000 }),
        open: false,
    }
}

/// A configuration with routes and a team, of which nothing is to be found.
struct Sample {
    routes: Vec<Route>,
    services: Vec<(&'static str, Service)>,
    teams: Option<Vec<(Team, Vec<&'static str>)>>,
    limits: Limits,
    revision: u64,
}

impl Sample {
    fn new() -> Self {
        let team = Team { name: "bookings".into(), weight: 3.0, cap: Resources::new(64_000, 0, 0) };
        Self {
            routes: vec![route("plans", "/plans/"), route("trips", "/trips/")],
            services: vec![("vans", Service::default())],
            teams: Some(vec![(team, vec![KEY])]),
            limits: Limits::default(),
            revision: 7,
        }
    }

    fn team(&mut self) -> &mut Team {
        &mut self.teams.as_mut().unwrap()[0].0
    }

    fn add_team(&mut self, name: &str, keys: Vec<&'static str>) {
        let team = Team { name: name.into(), weight: 1.0, cap: Resources::ZERO };
        self.teams.as_mut().unwrap().push((team, keys));
    }

    fn draft(&self) -> Draft {
        let mut written = Written { body_need: 4_038, ..Written::default() };
        let entries = self.routes.iter().map(|route| Entry::Route(route.name.clone()));
        written.entries.extend(entries);
        let entries = self.services.iter().map(|(name, _)| Entry::Service((*name).into()));
        written.entries.extend(entries);
        for (team, keys) in self.teams.iter().flatten() {
            written.entries.push(Entry::Team(team.name.clone()));
            let keys = keys.iter().map(|key| HeldKey::new(key, !key.is_empty())).collect();
            written.keys.push(TeamKeys { team: team.name.clone(), keys });
        }
        let services = self.services.iter().map(|(name, service)| (Arc::from(*name), *service));
        let config = Config {
            revision: self.revision,
            routes: self.routes.iter().cloned().map(Arc::new).collect(),
            services: services.collect(),
            teams: self.teams.clone().map(Teams::new),
            limits: self.limits,
        };
        Draft { config, written }
    }
}

/// Changes a sample and compares the findings on it.
fn expect_findings(change: impl FnOnce(&mut Sample), expected: Expect) {
    let mut sample = Sample::new();
    change(&mut sample);
    expected.assert_eq(&listed(&sample.draft()));
}

fn listed(draft: &Draft) -> String {
    let lines = findings(draft, None).into_iter().map(|finding| {
        let problem = &finding.problem;
        format!("{} {} {finding}\n", problem.severity(), problem.code())
    });
    lines.collect()
}

/// Guards against findings on a configuration that works, with and without teams.
#[test]
fn a_sound_configuration_has_no_findings() {
    expect_findings(|_| {}, expect![[""]]);
    expect_findings(|sample| sample.teams = None, expect![[""]]);
}

/// Guards against entries of the same name passing unnoticed, since the decoder keeps one of them or the first is used.
#[test]
fn duplicate_and_empty_names_are_errors() {
    expect_findings(
        |sample| {
            sample.routes.push(route("plans", "/more/"));
            sample.services.push(("vans", Service { standby: true }));
            sample.services.push(("", Service { standby: true }));
            sample.add_team("bookings", vec!["another-key-of-the-team"]);
        },
        expect![[r#"
            error C103 route plans: an earlier entry has the same name
            error C103 service vans: an earlier entry has the same name
            error C103 team bookings: an earlier entry has the same name
            error C105 service : the name is empty
        "#]],
    );
}

/// Guards against keys that let one team act as another, cannot be used, or can be guessed.
#[test]
fn keys_are_compared_without_being_shown() {
    let mut sample = Sample::new();
    sample.add_team(
        "sales",
        vec![KEY, "shorty", "", "sales-key-that-is-long", "sales-key-that-is-long"],
    );
    sample.add_team("idle", vec![]);
    sample.add_team("lost", vec![""]);
    let draft = sample.draft();
    let text = listed(&draft);
    expect![[r#"
        error C104 team sales: 1 key(s) are also held by team bookings, which is listed first and gets the jobs
        error C107 team sales: 1 key(s) are empty, or have blanks at an end or control characters, so that no request can carry them
        error C107 team lost: 1 key(s) are empty, or have blanks at an end or control characters, so that no request can carry them
        warning C108 team sales: 1 key(s) are listed more than once
        warning C309 team idle: the team has no key, so it can submit nothing
        warning C309 team lost: the team has no key, so it can submit nothing
        warning C310 team sales: 1 key(s) are shorter than 16 characters
    "#]].assert_eq(&text);
    let debug = format!("{draft:?} {:?}", findings(&draft, None));
    for secret in [KEY, "shorty", "sales-key-that-is-long"] {
        assert!(!text.contains(secret) && !debug.contains(secret), "{secret}");
    }
}

/// Guards against a limit on the length of keys that is off by one.
#[test]
fn keys_of_the_least_length_are_not_short() {
    let count = |key: &'static str| {
        let mut sample = Sample::new();
        sample.teams.as_mut().unwrap()[0].1 = vec![key];
        findings(&sample.draft(), None).len()
    };
    assert_eq!("0123456789abcdef".len(), MIN_KEY_CHARS);
    assert_eq!(count("0123456789abcdef"), 0);
    assert_eq!(count("0123456789abcde"), 1);
}

/// Guards against what the decoder rejects or passes over being lost.
#[test]
fn what_the_decoder_passes_over_is_reported() {
    let mut draft = Sample::new().draft();
    draft
        .written
        .unreadable
        .push((Entry::Numbered(List::Teams, 2), "the weight is negative".into()));
    draft.written.unknown.push((Entry::Limits, "max-bodies".into()));
    expect![[r#"
        error C102 entry 2 of the teams: the entry cannot be read: the weight is negative
        warning C106 limits: the field max-bodies is not known and has no effect
    "#]]
    .assert_eq(&listed(&draft));
    draft.written.rejected = Some("missing field `hostname`".into());
    draft.config = Config::default();
    expect![[r#"
        error C101 configuration: no VM can read it: missing field `hostname`
        error C102 entry 2 of the teams: the entry cannot be read: the weight is negative
        warning C106 limits: the field max-bodies is not known and has no effect
    "#]]
    .assert_eq(&listed(&draft));
}

/// Guards against a finding on the wrong one of two equal routes: the lookup chooses the later one.
#[test]
fn a_route_with_a_later_equal_is_shadowed() {
    let mut sample = Sample::new();
    let later = Route { host: "VANS.example".into(), ..route("later", "/plans/") };
    sample.routes.push(later);
    let draft = sample.draft();
    expect![[r#"
        error C201 route plans: no request reaches it: route later is listed later with the same host and prefix
    "#]].assert_eq(&listed(&draft));
    let (chosen, _) = draft.config.route("vans.example", "/plans/0123456789abcdef").unwrap();
    assert_eq!(&*chosen.name, "later");
}

/// Guards against a prefix that continues another with hexadecimal digits, so that some jobs of the shorter one get 400.
#[test]
fn a_prefix_of_digits_divides_the_jobs_of_another() {
    let mut sample = Sample::new();
    sample.routes.push(route("bulk", "/plans/b"));
    sample.routes.push(route("more", "/plans/more/"));
    let draft = sample.draft();
    expect![[r#"
        error C205 route plans: requests for jobs whose ID begins with b reach route bulk and are refused
    "#]].assert_eq(&listed(&draft));
    let (_, rest) = draft.config.route("vans.example", "/plans/b123456789abcdef").unwrap();
    assert_eq!(rest.len(), 15);
}

/// Guards against hosts and prefixes that no request can have.
#[test]
fn unreachable_routes_are_errors() {
    expect_findings(
        |sample| {
            let with_host = |name, host: &str| Route { host: host.into(), ..route(name, "/a/") };
            sample.routes.push(with_host("port", "vans.example:8080"));
            sample.routes.push(with_host("url", "http://vans.example"));
            sample.routes.push(with_host("no-host", ""));
            sample.routes.push(route("relative", "plans/"));
            sample.routes.push(route("empty", ""));
            sample.routes.push(route("query", "/plans?of="));
            sample.routes.push(route("blank", "/my plans/"));
        },
        expect![[r#"
            error C203 route port: no request matches the host "vans.example:8080"
            error C203 route url: no request matches the host "http://vans.example"
            error C203 route no-host: no request matches the host ""
            error C204 route relative: no request path matches the prefix "plans/"
            error C204 route empty: no request path matches the prefix ""
            error C204 route query: no request path matches the prefix "/plans?of="
            error C204 route blank: no request path matches the prefix "/my plans/"
        "#]],
    );
}

/// Guards against routes and services that do not belong together.
#[test]
fn services_of_routes_must_exist_and_be_used() {
    expect_findings(
        |sample| {
            sample.routes[1].service = "vnas".into();
            sample.services.push(("trains", Service::default()));
            sample.services.push(("boats", Service::default()));
            sample.services.push(("spare", Service { standby: true }));
        },
        expect![[r#"
            error C202 route trips: the service "vnas" is not configured, so its jobs would wait for ever
            warning C206 service boats: no route uses it, so its workers get no tasks
            warning C206 service trains: no route uses it, so its workers get no tasks
        "#]],
    );
}

/// Guards against an empty list of teams, which refuses all callers, and against a finding where all routes are open.
#[test]
fn an_empty_list_of_teams_is_reported_unless_all_routes_are_open() {
    expect_findings(
        |sample| sample.teams = Some(Vec::new()),
        expect![[r#"
        warning C207 configuration: the list of teams is empty, so all calls on 2 route(s) are refused with 401
    "#]],
    );
    expect_findings(
        |sample| {
            sample.teams = Some(Vec::new());
            sample.routes.iter_mut().for_each(|route| route.open = true);
        },
        expect![[""]],
    );
}

/// Guards against weights without a share.
#[test]
fn weights_must_be_above_zero() {
    expect_findings(
        |sample| sample.team().weight = 0.0,
        expect![[r#"
        error C301 team bookings: the weight is 0, which gives the team no share while the workers are full
    "#]],
    );
    expect_findings(
        |sample| sample.team().weight = -1.5,
        expect![[r#"
        error C301 team bookings: the weight is -1.5, which gives the team no share while the workers are full
    "#]],
    );
    expect_findings(|sample| sample.team().weight = 0.001, expect![[""]]);
}

/// Guards against caps that exclude all work, also by a wrong unit, and against findings on caps without a limit.
#[test]
fn caps_must_fit_a_task() {
    expect_findings(
        |sample| sample.team().cap = Resources::new(1, 1, 0),
        expect![[r#"
        error C302 team bookings: a cap of 1 thousandths of a core fits no task; the smallest useful task needs 10
        error C302 team bookings: a cap of 1 MiB fits no task; the smallest useful task needs 4
    "#]],
    );
    expect_findings(
        |sample| sample.team().cap = Resources::new(64, 0, 0),
        expect![[r#"
        warning C303 team bookings: the cap of 64 is less than one core
    "#]],
    );
    expect_findings(|sample| sample.team().cap = Resources::ZERO, expect![[""]]);
    let least = Resources { millicores: 1_000, ..SMALLEST_TASK };
    expect_findings(|sample| sample.team().cap = least, expect![[""]]);
}

/// Guards against an objective that ends before advice can arrive. The call is assumed to name 30 workers, as in the
/// objective itself, and takes 20 ms here.
#[test]
fn objectives_must_leave_time_for_advice() {
    let with = |stretch, slo_ms| {
        move |sample: &mut Sample| {
            sample.routes[0].stretch = stretch;
            sample.routes[0].slo_ms = slo_ms;
        }
    };
    expect_findings(
        with(0.0, 19),
        expect![[r#"
        error C304 route plans: a job has 19 ms for the call for advice, which alone takes 20 ms
    "#]],
    );
    expect_findings(
        with(0.5, 9),
        expect![[r#"
        error C304 route plans: a job has 19 ms for the call for advice, which alone takes 20 ms
    "#]],
    );
    expect_findings(with(0.0, 20), expect![[""]]);
    expect_findings(with(0.5, 10), expect![[""]]);
    expect_findings(with(1.0, 0), expect![[""]]);
    expect_findings(
        |sample| {
            sample.routes[0].advice = None;
            sample.routes[0].slo_ms = 1;
        },
        expect![[""]],
    );
}

/// Guards against tickets that expire before the margin within which they are not used.
#[test]
fn tickets_must_outlast_the_margin() {
    let with = |validity_ms| {
        move |sample: &mut Sample| {
            let advice = sample.routes[0].advice.as_mut().unwrap();
            advice.validity_ms = validity_ms;
        }
    };
    expect_findings(
        with(250),
        expect![[r#"
        error C308 route plans: a ticket valid for 250 ms is never used; starts need more than 250 ms
    "#]],
    );
    expect_findings(with(251), expect![[""]]);
}

/// Guards against limits that contradict each other or exclude valid requests.
#[test]
fn limits_must_admit_requests() {
    let limits =
        Limits { header_bytes: 8_192, body_bytes: 4_038, header_ms: 3_000, idle_ms: 3_000 };
    expect_findings(|sample| sample.limits = limits, expect![[""]]);
    let limits = Limits { body_bytes: 4_037, header_ms: 3_001, ..limits };
    expect_findings(
        |sample| sample.limits = limits,
        expect![[r#"
        error C305 limits: the time for a request head, 3001 ms, is longer than that for an idle connection, 3000 ms
        error C306 limits: a body of 4037 bytes cannot hold the longest payload, which needs 4038
    "#]],
    );
    let limits = Limits { header_ms: 0, idle_ms: 0, ..Limits::default() };
    expect_findings(
        |sample| sample.limits = limits,
        expect![[r#"
        error C307 limits: a time limit of 0 ms closes every connection
        error C307 limits: a time limit of 0 ms closes every connection
    "#]],
    );
}

/// Guards against a configuration that some VMs cannot read in time, or at all, and that the check calls sound.
#[test]
fn large_configurations_are_reported_before_they_are_published() {
    let mut listings = Vec::new();
    for bytes in [1_000_000, 1_200_000, 6_000_001] {
        let mut draft = Sample::new().draft();
        draft.written.bytes = bytes;
        listings.push(listed(&draft));
    }
    expect![[r#"
        warning C311 configuration: its 1200000 bytes take 1200 ms to reach a VM with a link of 10 Mbit/s, which refuses requests if it has not read them in time
        error C312 configuration: its 6000001 bytes exceed the 6000000 that a VM reads when it starts
    "#]].assert_eq(&listings.concat());
}

/// Guards against a version that VMs ignore since they have a newer one, and against a finding on the version in force.
#[test]
fn a_change_needs_a_newer_revision() {
    let old = Sample::new().draft();
    let codes = |draft: &Draft| -> Vec<&str> {
        findings(draft, Some(&old)).iter().map(|finding| finding.problem.code()).collect()
    };
    assert_eq!(codes(&old), [""; 0]);
    let mut changed = Sample::new();
    changed.routes[0].slo_ms = 2_000;
    assert_eq!(codes(&changed.draft()), ["C401"]);
    changed.revision = 6;
    assert_eq!(codes(&changed.draft()), ["C401"]);
    changed.revision = 8;
    assert_eq!(codes(&changed.draft()), [""; 0]);
    changed.revision = 0;
    assert_eq!(codes(&changed.draft()), ["C109", "C401"]);
}

/// Guards against differences that are omitted, and against keys in them.
#[test]
fn differences_name_what_changes_and_count_keys() {
    let old = Sample::new().draft();
    assert_eq!(differences(&old, &old), []);
    let mut sample = Sample::new();
    sample.routes.remove(1);
    sample.routes.push(route("tours", "/tours/"));
    sample.routes[0].slo_ms = 2_500;
    sample.routes[0].advice = None;
    sample.routes[0].open = true;
    sample.services = vec![("vans", Service { standby: true }), ("boats", Service::default())];
    sample.team().weight = 0.5;
    sample.team().cap = Resources::new(32_000, 1, 2);
    sample.teams.as_mut().unwrap()[0].1 =
        vec!["first-new-key-of-the-team", "other-new-key-of-the-team"];
    sample.add_team("sales", vec!["key-of-the-sales-team"]);
    sample.limits.body_bytes = 100_000;
    sample.limits.idle_ms = 20_000;
    let new = sample.draft();
    let text = |old: &Draft, new: &Draft| -> String {
        differences(old, new).iter().map(|difference| format!("{difference}\n")).collect()
    };
    let changes = text(&old, &new);
    expect![[r#"
        limits: changed from 262144 to 100000
        limits: changed from 15000 to 20000
        route plans: changed from 1000 to 2500
        route plans: changed from 5 to none
        route plans: changed from 0.5 to none
        route plans: changed from 2000 to none
        route plans: changed from false to true
        route tours: added
        service boats: added
        service vans: changed from false to true
        team bookings: changed from 3 to 0.5
        team bookings: changed from 64000 to 32000
        team bookings: changed from 0 to 1
        team bookings: changed from 0 to 2
        team bookings: 2 key(s) added, 1 removed
        team sales: added
        team sales: 1 key(s) added, 0 removed
        route trips: removed
    "#]]
    .assert_eq(&changes);
    assert!(!changes.contains("key-of-the") && !changes.contains(KEY));
    sample.teams = None;
    expect![[r#"
        configuration: changed from keys needed to keys not needed
        team bookings: removed
        team sales: removed
    "#]]
    .assert_eq(&text(&new, &sample.draft()));
}

/// Guards against codes that change or are used twice, and against a page that lacks one.
#[test]
fn the_page_lists_all_codes() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/RESULT-CODES.md");
    let page = fs::read_to_string(path).unwrap();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| C"));
    let listed: Vec<(String, String)> = rows
        .map(|row| {
            let cells: Vec<&str> = row.trim_end_matches('|').split('|').map(str::trim).collect();
            assert_eq!(cells.len(), 4, "{row}");
            assert!(cells.iter().all(|cell| !cell.is_empty()), "{row}");
            (format!("C{}", cells[0]), cells[1].to_owned())
        })
        .collect();
    let expected: Vec<(String, String)> = Problem::ALL
        .iter()
        .map(|(code, severity)| ((*code).to_owned(), severity.to_string()))
        .collect();
    assert_eq!(listed, expected);
    assert!(expected.is_sorted());
    let codes: HashSet<&String> = expected.iter().map(|(code, _)| code).collect();
    assert_eq!(codes.len(), expected.len());
    assert!(Severity::Warning < Severity::Error);
}

proptest! {
    /// Guards against a route that the check accepts although the lookup never chooses it for some job: the check must
    /// follow the rule of the lookup, whatever the order of the routes.
    #[test]
    fn accepted_routes_receive_their_jobs(
        paths in prop::collection::vec(("(A|a|b)(:1)?", "/?(a|b|/){0,3}"), 1..6),
        job in any::<u64>(),
    ) {
        let mut sample = Sample::new();
        sample.routes = paths
            .iter()
            .enumerate()
            .map(|(index, (host, prefix))| Route { host: host.as_str().into(), ..route(&index.to_string(), prefix) })
            .collect();
        let draft = sample.draft();
        let found = findings(&draft, None);
        for route in &draft.config.routes {
            let entry = Entry::Route(route.name.clone());
            let path = format!("{}{job:016x}", route.prefix);
            let is_chosen = |(chosen, _): (&Arc<Route>, _)| Arc::ptr_eq(chosen, route);
            let receives = path.starts_with('/') && draft.config.route(&route.host, &path).is_some_and(is_chosen);
            prop_assert!(receives || found.iter().any(|finding| finding.entry == entry), "{entry}: {path}");
        }
    }
}
