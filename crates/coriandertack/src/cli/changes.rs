//! `cancel` and `drain`: changes to a job or a worker.

use {clap::ArgMatches, hyper::Method};

use crate::cli::{Context, Failure, args};

/// Requests the cancellation of a job.
pub async fn cancel(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let job = matches.get_one::<u64>("job").copied().unwrap_or_default();
    post_change(context, matches, &format!("job {job}"), &format!("/v1/jobs/{job}/cancel")).await
}

/// Cordons a worker, or with `--undo` uncordons it.
pub async fn drain(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let worker = args::string_value(matches, "worker").unwrap_or_default();
    let action = if matches.get_flag("undo") { "uncordon" } else { "cordon" };
    let path = format!("/v1/workers/{worker}/{action}");
    post_change(context, matches, &format!("worker {worker}"), &path).await
}

async fn post_change(
    context: &Context,
    matches: &ArgMatches,
    label: &str,
    path: &str,
) -> Result<(), Failure> {
    let query: &[(&str, &str)] =
        if matches.get_flag("dry-run") { &[("dry_run", "true")] } else { &[] };
    let answer = context.client.change(Method::POST, path, query, None).await?;
    context.output.change_result(label, &answer)
}
