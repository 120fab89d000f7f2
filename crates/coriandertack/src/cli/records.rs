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
    read::pages,
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

/// The most lines that `top` adds up.
const MAX_LINES: usize = 1_000_000;

const HOUR_MS: u64 = 3_600_000;

fn filters<'a>(matches: &'a ArgMatches, ids: &[&'a str]) -> Vec<(&'a str, &'a str)> {
    ids.iter().filter_map(|&id| Some((id, args::text(matches, id)?))).collect()
}

fn limit(matches: &ArgMatches) -> usize {
    matches.get_one::<u64>("limit").map_or(1_000, |&limit| limit as usize)
}

/// Lists charges.
pub async fn charges(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let mut query = filters(matches, &["team", "kind"]);
    if matches.get_flag("csv") {
        query.push(("format", "csv"));
        return print(&context.client.get_text("/v1/charges", &query).await?);
    }
    let lines = pages(&context.client, "/v1/charges", "charges", query, limit(matches)).await?;
    context.output.list(CHARGES, &lines)
}

/// Lists the audit trail.
pub async fn audit(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let mut query = filters(matches, &["actor", "action"]);
    if matches.get_flag("refused") {
        query.push(("refused", "true"));
    }
    let lines = pages(&context.client, "/v1/audit", "entries", query, limit(matches)).await?;
    context.output.list(AUDIT, &lines)
}

/// Sum of a team's charges.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Sum {
    core_ms: u64,
    mib_s: u64,
    acc_ms: u64,
}

/// Lists teams by what they used lately.
pub async fn top(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let hours = matches.get_one::<u64>("hours").copied().unwrap_or(24);
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
    let from_ms = now_ms.saturating_sub(hours * HOUR_MS).to_string();
    let query = vec![("from_ms", from_ms.as_str())];
    let lines = pages(&context.client, "/v1/charges", "charges", query, MAX_LINES).await?;
    let mut sums: BTreeMap<String, Sum> = BTreeMap::new();
    for line in &lines {
        let part = |field: &str| line[field].as_u64().unwrap_or(0);
        let sum = sums.entry(line["team"].as_str().unwrap_or_default().to_owned()).or_default();
        sum.core_ms += part("core_ms");
        sum.mib_s += part("mib_s");
        sum.acc_ms += part("acc_ms");
    }
    let mut teams: Vec<(String, Sum)> = sums.into_iter().collect();
    teams.sort_by(|(_, left), (_, right)| right.cmp(left));
    let objects: Vec<Value> = teams.iter().map(|(team, sum)| object(team, *sum)).collect();
    context.output.list(TOP, &objects)
}

fn object(team: &str, sum: Sum) -> Value {
    let Sum { core_ms, mib_s, acc_ms } = sum;
    json!({ "team": team, "core_ms": core_ms, "mib_s": mib_s, "acc_ms": acc_ms })
}
