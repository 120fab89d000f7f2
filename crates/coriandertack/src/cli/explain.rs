//! `explain`: why a job has not started.

use {clap::ArgMatches, serde_json::Value};

use crate::cli::{
    Context, Failure,
    output::{Output, print},
};

/// Asks the server, and then the home of the team if that is another VM.
pub async fn explain(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let job = matches.get_one::<u64>("job").copied().unwrap_or_default();
    let path = format!("/v1/explain/{job}");
    let mut answer = context.client.get(&path, &[]).await?;
    if let (Some(false), Some(home)) =
        (answer["home"]["here"].as_bool(), answer["home"]["http"].as_str())
    {
        // The home may not be reachable from here; then the first answer has to do.
        if let Ok(better) = context.client.at(home).get(&path, &[]).await {
            answer = better;
        }
    }
    match context.output {
        Output::Json => context.output.object(&answer),
        Output::Table => print(&lines(job, &answer)),
    }
}

fn lines(job: u64, answer: &Value) -> String {
    let list = |field: &str| answer[field].as_array().cloned().unwrap_or_default();
    let mut lines = vec![format!("job {job}")];
    if let Some(vm) = answer["home"]["vm"].as_str() {
        lines.push(format!("home of the team: {vm}"));
    }
    for count in list("steps") {
        let step = count["step"].as_str().unwrap_or_default();
        lines.push(format!("{step} tasks: {}", count["tasks"]));
    }
    let reasons = list("reasons");
    if reasons.is_empty() {
        lines.push("nothing is known to hold it back".into());
    }
    lines.extend(reasons.iter().filter_map(Value::as_str).map(|reason| format!("- {reason}")));
    lines.join("\n")
}
