//! `watch` and `events`.

use std::time::Duration;

use {clap::ArgMatches, serde_json::Value, tokio::time::sleep};

use crate::cli::{
    Context, Failure, args,
    failure::TRY_AGAIN,
    output::{Output, print},
};

/// Time that the server waits for a change, in milliseconds.
const WAIT_MS: &str = "25000";

/// Pause before a watch asks again after a failure.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Prints changes as they are made, until the process is ended.
///
/// Positions mean the same on every VM, so a watch goes on where it was when a VM is replaced behind the load
/// balancer.
pub async fn watch(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let mut from = args::text(matches, "from").unwrap_or("now").to_owned();
    loop {
        match page(context, &from, WAIT_MS).await {
            Ok((position, _)) => from = position,
            // Before the first answer there is no position to go on from.
            Err(failure) if failure.exit == TRY_AGAIN && from != "now" => {
                eprintln!("{failure}");
                sleep(RETRY_AFTER).await;
            }
            Err(failure) => return Err(failure),
        }
    }
}

/// Prints the changes that the VM still keeps.
pub async fn events(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let mut from = args::text(matches, "from").unwrap_or("oldest").to_owned();
    loop {
        let (position, count) = page(context, &from, "0").await?;
        if count == 0 {
            return Ok(());
        }
        from = position;
    }
}

/// Prints the changes after a position. Returns the next position and the number of changes.
async fn page(context: &Context, from: &str, wait_ms: &str) -> Result<(String, usize), Failure> {
    let query = [("from", from), ("wait_ms", wait_ms)];
    let answer = context.client.get("/v1/watch", &query).await?;
    let changes = answer["changes"].as_array().cloned().unwrap_or_default();
    for change in &changes {
        print(&match context.output {
            Output::Json => change.to_string(),
            Output::Table => line(change),
        })?;
    }
    Ok((answer["position"].to_string(), changes.len()))
}

fn line(change: &Value) -> String {
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
