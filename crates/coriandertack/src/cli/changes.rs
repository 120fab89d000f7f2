//! `cancel` and `drain`.

use {clap::ArgMatches, hyper::Method};

use crate::cli::{Context, Failure, args};

/// Cancels a job.
pub async fn cancel(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let job = matches.get_one::<u64>("job").copied().unwrap_or_default();
    post(context, matches, &format!("job {job}"), &format!("/v1/jobs/{job}/cancel")).await
}

/// Takes a worker out of service, or puts it back.
pub async fn drain(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let worker = args::text(matches, "worker").unwrap_or_default();
    let action = if matches.get_flag("undo") { "uncordon" } else { "cordon" };
    let path = format!("/v1/workers/{worker}/{action}");
    post(context, matches, &format!("worker {worker}"), &path).await
}

async fn post(
    context: &Context,
    matches: &ArgMatches,
    what: &str,
    path: &str,
) -> Result<(), Failure> {
    let query: &[(&str, &str)] =
        if matches.get_flag("dry-run") { &[("dry_run", "true")] } else { &[] };
    let answer = context.client.change(Method::POST, path, query, None).await?;
    context.output.change(what, &answer)
}
