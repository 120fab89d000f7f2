//! `apply`: teams, settings and jobs of a TOML file.
//!
//! ```toml
//! [teams.vans]
//! quota = { millicores = 64000, memory_mib = 131072 }
//! tokens = ["SHA-256 of a token in hexadecimal"]
//!
//! [settings]
//! "placement.packing_weight" = 0.5
//!
//! [[jobs]]
//! team = "vans"
//! name = "confirm"
//! kind = "service"
//! tasks = 4
//! need = { millicores = 500, memory_mib = 512 }
//! ```
//!
//! A team or a setting that already has the content is left alone. A job without a `key` gets one from
//! its content, so that a file applied twice submits each job once.

use std::{collections::BTreeMap, fs};

use {
    clap::ArgMatches,
    coriandertack_core::{code::Code, record::JobSpec, resources::Resources},
    hyper::Method,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    xxhash_rust::xxh3::xxh3_128,
};

use crate::cli::{Context, Failure, args};

/// Content of a file.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    teams: BTreeMap<String, TeamContent>,
    #[serde(default)]
    settings: BTreeMap<String, toml::Value>,
    #[serde(default)]
    jobs: Vec<JobSpec>,
}

/// A team as a file declares it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamContent {
    quota: Resources,
    #[serde(default)]
    tokens: Vec<String>,
}

/// Applies a file: teams first, since jobs need them.
pub async fn apply(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let path = args::text(matches, "file").unwrap_or_default();
    let text = fs::read_to_string(path)
        .map_err(|error| Failure::usage(format!("{path}: {error}; check the name of the file")))?;
    let file: File = toml::from_str(&text).map_err(|error| {
        let error = error.to_string();
        Failure::usage(format!("{path}: {}\ncorrect the file", error.trim_end()))
    })?;
    let dry_run = matches.get_flag("dry-run");
    for (name, team) in &file.teams {
        let path = format!("/v1/teams/{name}");
        let content = json!(team);
        put(context, &format!("team {name}"), &path, "team", &content, dry_run).await?;
    }
    for (name, value) in &file.settings {
        let path = format!("/v1/settings/{name}");
        let content = json!({ "value": value.to_string() });
        put(context, &format!("setting {name}"), &path, "setting", &content, dry_run).await?;
    }
    for job in file.jobs {
        let what = format!("job {}/{}", job.team, job.name);
        let is_new_team = file.teams.contains_key(&job.team);
        match submit(context, &what, job, dry_run).await {
            // The team of the file was not created in a dry run either.
            Err(failure) if dry_run && is_new_team && failure.code == Some(Code::NotFound) => {
                let answer = json!({ "code": 2000, "text": "not checked, its team is new" });
                context.output.change(&what, &answer)?;
            }
            result => result?,
        }
    }
    Ok(())
}

/// Creates or changes an object unless it has the content already.
async fn put(
    context: &Context,
    what: &str,
    path: &str,
    field: &str,
    content: &Value,
    dry_run: bool,
) -> Result<(), Failure> {
    let seen = match context.client.get(path, &[]).await {
        Ok(mut answer) => answer[field].take(),
        Err(failure) if failure.code == Some(Code::NotFound) => Value::Null,
        Err(failure) => return Err(failure),
    };
    if is_same(&seen, content) {
        return context.output.change(what, &json!({ "code": 2004, "text": "nothing to change" }));
    }
    let version = seen["version"].as_u64().unwrap_or(0).to_string();
    let mut query = vec![("expect", version.as_str())];
    if dry_run {
        query.push(("dry_run", "true"));
    }
    let answer = context.client.change(Method::PUT, path, &query, Some(content)).await?;
    context.output.change(what, &answer)
}

fn is_same(seen: &Value, content: &Value) -> bool {
    content.as_object().is_some_and(|fields| {
        fields.iter().all(|(key, value)| seen.get(key).is_some_and(|seen| seen == value))
    })
}

async fn submit(
    context: &Context,
    what: &str,
    mut job: JobSpec,
    dry_run: bool,
) -> Result<(), Failure> {
    if job.key.is_none() {
        job.key = Some(format!("content-{:032x}", xxh3_128(json!(job).to_string().as_bytes())));
    }
    let query: &[(&str, &str)] = if dry_run { &[("dry_run", "true")] } else { &[] };
    let answer = context.client.change(Method::POST, "/v1/jobs", query, Some(&json!(job))).await?;
    let what = answer["job"].as_u64().map_or(what.to_owned(), |id| format!("{what} {id}"));
    context.output.change(&what, &answer)
}
