//! `apply`: creates or updates the teams, settings and jobs in a TOML file.
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
//! Teams and settings that already have the given content are not written. A job without a `key` gets one
//! derived from its content, so that applying a file twice submits each job once.

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

/// Content of a file to apply.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct Manifest {
    #[serde(default)]
    teams: BTreeMap<String, TeamContent>,
    #[serde(default)]
    settings: BTreeMap<String, toml::Value>,
    #[serde(default)]
    jobs: Vec<JobSpec>,
}

/// Team as declared in a file.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct TeamContent {
    quota: Resources,
    #[serde(default)]
    tokens: Vec<String>,
}

/// Applies a file. Teams come first, since a job is refused if its team does not exist.
pub async fn apply(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let path = args::string_value(matches, "file").unwrap_or_default();
    let text = fs::read_to_string(path)
        .map_err(|error| Failure::usage(format!("cannot read {path}: {error}; check the path")))?;
    let file: Manifest = toml::from_str(&text).map_err(|error| {
        let error = error.to_string();
        Failure::usage(format!("{path}: {}\ncorrect the file", error.trim_end()))
    })?;
    let dry_run = matches.get_flag("dry-run");
    for (name, team) in &file.teams {
        let path = format!("/v1/teams/{name}");
        let content = json!(team);
        apply_object(context, &format!("team {name}"), &path, "team", &content, dry_run).await?;
    }
    for (name, value) in &file.settings {
        let path = format!("/v1/settings/{name}");
        let content = json!({ "value": value.to_string() });
        apply_object(context, &format!("setting {name}"), &path, "setting", &content, dry_run)
            .await?;
    }
    for job in file.jobs {
        let label = format!("job {}/{}", job.team, job.name);
        let is_new_team = file.teams.contains_key(&job.team);
        match submit_job(context, &label, job, dry_run).await {
            // A dry run does not create the team, so the server cannot check the job against it.
            Err(failure) if dry_run && is_new_team && failure.code == Some(Code::NotFound) => {
                let answer = json!({ "code": 2000, "text": "not checked because its team does not exist yet" });
                context.output.change_result(&label, &answer)?;
            }
            result => result?,
        }
    }
    Ok(())
}

/// Creates or updates an object unless it already has the content.
async fn apply_object(
    context: &Context,
    label: &str,
    path: &str,
    field: &str,
    content: &Value,
    dry_run: bool,
) -> Result<(), Failure> {
    let current = match context.client.get(path, &[]).await {
        Ok(mut answer) => answer[field].take(),
        Err(failure) if failure.code == Some(Code::NotFound) => Value::Null,
        Err(failure) => return Err(failure),
    };
    if has_content(&current, content) {
        return context
            .output
            .change_result(label, &json!({ "code": 2004, "text": "nothing to change" }));
    }
    let version = current["version"].as_u64().unwrap_or(0).to_string();
    let mut query = vec![("expect", version.as_str())];
    if dry_run {
        query.push(("dry_run", "true"));
    }
    let answer = context.client.change(Method::PUT, path, &query, Some(content)).await?;
    context.output.change_result(label, &answer)
}

fn has_content(current: &Value, content: &Value) -> bool {
    content.as_object().is_some_and(|fields| {
        fields.iter().all(|(key, value)| current.get(key).is_some_and(|current| current == value))
    })
}

async fn submit_job(
    context: &Context,
    label: &str,
    mut job: JobSpec,
    dry_run: bool,
) -> Result<(), Failure> {
    if job.key.is_none() {
        job.key = Some(format!("content-{:032x}", xxh3_128(json!(job).to_string().as_bytes())));
    }
    let query: &[(&str, &str)] = if dry_run { &[("dry_run", "true")] } else { &[] };
    let answer = context.client.change(Method::POST, "/v1/jobs", query, Some(&json!(job))).await?;
    let label = answer["job"].as_u64().map_or(label.to_owned(), |id| format!("{label} {id}"));
    context.output.change_result(&label, &answer)
}
