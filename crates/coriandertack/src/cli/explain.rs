//! `explain`: shows why a job has not started.

use {clap::ArgMatches, serde_json::Value};

use crate::cli::{
    Context, Failure,
    output::{Output, print},
};

/// Prints the server's explanation or, if another VM is the home of the job's team, that VM's explanation.
pub async fn explain(context: &Context, matches: &ArgMatches) -> Result<(), Failure> {
    let job = matches.get_one::<u64>("job").copied().unwrap_or_default();
    let path = format!("/v1/explain/{job}");
    let mut answer = context.client.get(&path, &[]).await?;
    if let (Some(false), Some(home)) =
        (answer["home"]["here"].as_bool(), answer["home"]["http"].as_str())
    {
        // The home may be unreachable from this machine; the first answer is used then.
        if let Ok(home_answer) = context.client.with_server(home).get(&path, &[]).await {
            answer = home_answer;
        }
    }
    match context.output {
        Output::Json => context.output.object(&answer),
        Output::Table => print(&explanation(job, &answer)),
    }
}

fn explanation(job: u64, answer: &Value) -> String {
    let list = |field: &str| answer[field].as_array().cloned().unwrap_or_default();
    let mut lines = vec![format!("job {job}")];
    if let Some(vm) = answer["home"]["vm"].as_str() {
        lines.push(format!("home of the team: {vm}"));
    }
    for entry in list("steps") {
        let step = entry["step"].as_str().unwrap_or_default();
        lines.push(format!("{step} tasks: {}", entry["tasks"]));
    }
    let reasons = list("reasons");
    if reasons.is_empty() {
        lines.push("no known reason holds it back".into());
    }
    lines.extend(reasons.iter().filter_map(Value::as_str).map(|reason| format!("- {reason}")));
    lines.join("\n")
}
