//! `get` and `describe`.

use {clap::ArgMatches, serde_json::Value};

use crate::cli::{Context, Failure, args, client::Client, output::Column};

const TEAMS: &[Column] = &[
    ("NAME", "/name"),
    ("VERSION", "/version"),
    ("MILLICORES", "/quota/millicores"),
    ("MEMORY MIB", "/quota/memory_mib"),
    ("ACCELERATORS", "/quota/accelerators"),
    ("HOME", "/home"),
];

const SETTINGS: &[Column] = &[
    ("NAME", "/name"),
    ("VERSION", "/version"),
    ("VALUE", "/value"),
    ("DEFAULT", "/default"),
    ("MEANING", "/text"),
];

const JOBS: &[Column] = &[
    ("JOB", "/job"),
    ("TEAM", "/spec/team"),
    ("NAME", "/spec/name"),
    ("KIND", "/spec/kind"),
    ("STANDING", "/standing"),
    ("TASKS", "/spec/tasks"),
    ("SUCCEEDED", "/succeeded"),
    ("FAILED", "/failed"),
    ("CANCELLED", "/cancelled"),
];

const WORKERS: &[Column] = &[
    ("NAME", "/name"),
    ("ZONE", "/zone"),
    ("RACK", "/rack"),
    ("STATE", "/presence"),
    ("CORDONED", "/cordoned"),
    ("MILLICORES", "/capacity/millicores"),
    ("MEMORY MIB", "/capacity/memory_mib"),
    ("ACCELERATORS", "/capacity/accelerators"),
    ("OWNER", "/owner"),
];

const VMS: &[Column] = &[
    ("NAME", "/name"),
    ("ZONE", "/zone"),
    ("HTTP", "/http"),
    ("SESSION", "/session"),
    ("WORKERS", "/workers"),
    ("TEAMS", "/teams"),
    ("HERE", "/here"),
];

/// Maximum number of objects requested per page.
const PAGE_SIZE: usize = 500;

fn columns(kind: &str) -> &'static [Column] {
    match kind {
        "teams" => TEAMS,
        "settings" => SETTINGS,
        "jobs" => JOBS,
        "workers" => WORKERS,
        _ => VMS,
    }
}

/// Returns whether the server pages a list. Settings and VMs are few and are listed in one response.
fn is_paged(kind: &str) -> bool {
    !matches!(kind, "settings" | "vms")
}

/// Lists objects, or prints a single one as a table row.
pub async fn get(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let kind = args::string_value(matches, "kind").unwrap_or_default();
    let objects = match args::string_value(matches, "name") {
        Some(name) => vec![read_object(&context.client, kind, name).await?],
        None if !is_paged(kind) => {
            let mut answer = context.client.get(&format!("/v1/{kind}"), &[]).await?;
            answer[kind].as_array_mut().map(std::mem::take).unwrap_or_default()
        }
        None => {
            let filters = ["team", "standing", "zone"];
            let given =
                filters.iter().filter_map(|id| Some((*id, args::string_value(matches, id)?)));
            let limit = matches.get_one::<u64>("limit").map_or(PAGE_SIZE, |&limit| limit as usize);
            read_pages(&context.client, &format!("/v1/{kind}"), kind, given.collect(), limit)
                .await?
        }
    };
    context.output.list(columns(kind), &objects)
}

/// Prints all fields of one object.
pub async fn describe(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let kind = args::string_value(matches, "kind").unwrap_or_default();
    let name = args::string_value(matches, "name").unwrap_or_default();
    let object = read_object(&context.client, kind, name).await?;
    context.output.object(&object)
}

/// Reads one object by name. The API has no path for a single VM, so it is picked from the list.
pub async fn read_object(client: &Client, kind: &str, name: &str) -> Result<Value, Failure> {
    if kind == "vms" {
        let list = client.get("/v1/vms", &[]).await?;
        let vms = list["vms"].as_array().into_iter().flatten();
        let found = vms.into_iter().find(|vm| vm["name"] == name).cloned();
        let missing = || {
            Failure::new(
                crate::cli::failure::NOT_FOUND,
                format!("no VM is named `{name}`; list the VMs with `coriandertack get vms`"),
            )
        };
        return found.ok_or_else(missing);
    }
    if name.is_empty() || name.contains(['/', '?', '#', '%']) {
        return Err(Failure::usage(format!(
            "invalid name `{name}`: it must not be empty or contain `/`, `?`, `#` or `%`"
        )));
    }
    let mut answer = client.get(&format!("/v1/{kind}/{name}"), &[]).await?;
    Ok(answer[kind.trim_end_matches('s')].take())
}

/// Reads a paged list until its end or until `limit` objects are read.
pub async fn read_pages(
    client: &Client,
    path: &str,
    field: &str,
    filters: Vec<(&str, &str)>,
    limit: usize,
) -> Result<Vec<Value>, Failure> {
    let mut objects: Vec<Value> = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let page = (limit - objects.len()).min(PAGE_SIZE).to_string();
        let mut query = filters.clone();
        query.push(("limit", &page));
        if let Some(after) = &after {
            query.push(("after", after));
        }
        let mut answer = client.get(path, &query).await?;
        if let Value::Array(list) = answer[field].take() {
            objects.extend(list);
        }
        after = match &answer["next"] {
            Value::Null => None,
            Value::String(text) => Some(text.clone()),
            next => Some(next.to_string()),
        };
        if after.is_none() || objects.len() >= limit {
            objects.truncate(limit);
            return Ok(objects);
        }
    }
}
