//! `charges`, `audit` and `top`.

use std::{
    collections::BTreeMap,
    time::{SystemTime, UNIX_EPOCH},
};

use {
    clap::ArgMatches,
    serde_json::{Value, json},
};

use crate::cli::{
    Context, Failure, args,
    output::{Column, print},
    read::read_pages,
};

const CHARGES: &[Column] = &[
    ("PERIOD", "/period"),
    ("TEAM", "/team"),
    ("KIND", "/kind"),
    ("CORE MS", "/core_ms"),
    ("MIB S", "/mib_s"),
    ("ACCELERATOR MS", "/acc_ms"),
];

const AUDIT: &[Column] = &[
    ("POSITION", "/position"),
    ("TIME", "/time"),
    ("ACTOR", "/actor"),
    ("ACTION", "/action"),
    ("RESULT", "/result"),
    ("BEFORE", "/before"),
    ("AFTER", "/after"),
];

const TOP: &[Column] = &[
    ("TEAM", "/team"),
    ("CORE MS", "/core_ms"),
    ("MIB S", "/mib_s"),
    ("ACCELERATOR MS", "/acc_ms"),
];

/// Maximum number of charges that `top` adds up.
const MAX_CHARGES: usize = 1_000_000;

const HOUR_MS: u64 = 3_600_000;

fn filters<'a>(matches: &'a ArgMatches, ids: &[&'a str]) -> Vec<(&'a str, &'a str)> {
    ids.iter().filter_map(|&id| Some((id, args::string_value(matches, id)?))).collect()
}

fn limit(matches: &ArgMatches) -> usize {
    matches.get_one::<u64>("limit").map_or(1_000, |&limit| limit as usize)
}

/// Prints charges as a table, JSON or CSV.
pub async fn charges(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let mut query = filters(matches, &["team", "kind"]);
    if matches.get_flag("csv") {
        query.push(("format", "csv"));
        return print(&context.client.get_text("/v1/charges", &query).await?);
    }
    let entries =
        read_pages(&context.client, "/v1/charges", "charges", query, limit(matches)).await?;
    context.output.list(CHARGES, &entries)
}

/// Prints the entries of the audit trail.
pub async fn audit(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let mut query = filters(matches, &["actor", "action"]);
    if matches.get_flag("refused") {
        query.push(("refused", "true"));
    }
    let entries =
        read_pages(&context.client, "/v1/audit", "entries", query, limit(matches)).await?;
    context.output.list(AUDIT, &entries)
}

/// Sum of a team's charges. The order of the fields is the sort order of `top`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct UsageTotal {
    core_ms: u64,
    mib_s: u64,
    acc_ms: u64,
}

/// Prints the usage of each team in the last hours, the largest first.
pub async fn top(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let hours = matches.get_one::<u64>("hours").copied().unwrap_or(24);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
    let from_ms = now_ms.saturating_sub(hours * HOUR_MS).to_string();
    let query = vec![("from_ms", from_ms.as_str())];
    let entries = read_pages(&context.client, "/v1/charges", "charges", query, MAX_CHARGES).await?;
    let mut totals: BTreeMap<String, UsageTotal> = BTreeMap::new();
    for entry in &entries {
        let amount = |field: &str| entry[field].as_u64().unwrap_or(0);
        let total =
            totals.entry(entry["team"].as_str().unwrap_or_default().to_owned()).or_default();
        total.core_ms += amount("core_ms");
        total.mib_s += amount("mib_s");
        total.acc_ms += amount("acc_ms");
    }
    let mut teams: Vec<(String, UsageTotal)> = totals.into_iter().collect();
    teams.sort_by(|(_, left), (_, right)| right.cmp(left));
    let objects: Vec<Value> = teams.iter().map(|(team, total)| team_row(team, *total)).collect();
    context.output.list(TOP, &objects)
}

fn team_row(team: &str, total: UsageTotal) -> Value {
    let UsageTotal { core_ms, mib_s, acc_ms } = total;
    json!({ "team": team, "core_ms": core_ms, "mib_s": mib_s, "acc_ms": acc_ms })
}
