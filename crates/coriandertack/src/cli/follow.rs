//! `watch` and `events`: print the changes that the API reports.

use std::time::Duration;

use {clap::ArgMatches, serde_json::Value, tokio::time::sleep};

use crate::cli::{
    Context, Failure, args,
    failure::RETRYABLE,
    output::{Output, print},
};

/// Time for which the server may hold a watch request when there is no change, in milliseconds.
const LONG_POLL_MS: &str = "25000";

/// Delay before a watch retries after a failure.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Prints changes as they occur, until the process is stopped.
///
/// Positions are the same on every VM, so a watch resumes at its position when the load balancer switches to
/// another VM.
pub async fn watch(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let mut from = args::string_value(matches, "from").unwrap_or("now").to_owned();
    loop {
        match print_page(context, &from, LONG_POLL_MS).await {
            Ok((position, _)) => from = position,
            // A watch from `now` has no position to resume from before its first response.
            Err(failure) if failure.exit_code == RETRYABLE && from != "now" => {
                eprintln!("{failure}");
                sleep(RETRY_DELAY).await;
            }
            Err(failure) => return Err(failure),
        }
    }
}

/// Prints the changes that the VM still retains.
pub async fn events(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let mut from = args::string_value(matches, "from").unwrap_or("oldest").to_owned();
    loop {
        let (position, count) = print_page(context, &from, "0").await?;
        if count == 0 {
            return Ok(());
        }
        from = position;
    }
}

/// Prints the changes after a position. Returns the next position and the number of changes.
async fn print_page(
    context: &Context,
    from: &str,
    wait_ms: &str,
) -> Result<(String, usize), Failure> {
    let query = [("from", from), ("wait_ms", wait_ms)];
    let answer = context.client.get("/v1/watch", &query).await?;
    let changes = answer["changes"].as_array().cloned().unwrap_or_default();
    for change in &changes {
        print(&match context.output {
            Output::Json => change.to_string(),
            Output::Table => format_change(change),
        })?;
    }
    Ok((answer["position"].to_string(), changes.len()))
}

fn format_change(change: &Value) -> String {
    let text = |at: &str| match change.pointer(at) {
        Some(Value::String(text)) => text.clone(),
        Some(value) => value.to_string(),
        None => String::new(),
    };
    let tasks = change["tasks"].as_u64().map(|tasks| format!(" tasks={tasks}"));
    let (offset, subject, name) = (text("/offset"), text("/subject/type"), text("/subject/name"));
    let (event, actor) = (text("/event"), text("/actor"));
    format!("{offset} {subject} {name} {event}{} by {actor}", tasks.unwrap_or_default())
}
