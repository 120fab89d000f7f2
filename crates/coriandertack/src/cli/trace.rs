//! `trace`: merges the log lines of one job from several VMs by time and derives the cause of its end.
//!
//! ```text
//! coriandertack trace 5c0e7a21d94b36f8 split-1.log zadar-1.log
//! ```

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::PathBuf,
};

use clap::ArgMatches;

use crate::cli::{Failure, output::print};

/// Length of a timestamp up to its minute, as in `2026-02-15T17:20`.
const MINUTE_CHARS: usize = 16;

/// Log line of `key=value` pairs. A value may be quoted.
struct LogLine<'a> {
    time: &'a str,
    text: &'a str,
    fields: BTreeMap<&'a str, &'a str>,
}

/// Prints the log lines of a job, the events around it that affect many jobs, and the cause of its end.
pub fn trace(matches: &ArgMatches) -> Result<(), Failure> {
    let id = matches.get_one::<String>("id").map(String::as_str).unwrap_or_default();
    let files = matches.get_many::<PathBuf>("files").into_iter().flatten();
    let mut texts = Vec::new();
    for file in files {
        let text = fs::read_to_string(file)
            .map_err(|error| Failure::usage(format!("cannot read {}: {error}", file.display())))?;
        texts.push(text);
    }
    let lines = texts.iter().flat_map(|text| text.lines()).filter_map(parse_line);
    let (mut lines, context): (Vec<LogLine<'_>>, Vec<LogLine<'_>>) = lines
        .filter(|line| line.is_context() || line.mentions(id))
        .partition(|line| line.mentions(id));
    lines.sort_by(|a, b| a.time.cmp(b.time));
    let (Some(first), Some(last)) = (lines.first(), lines.last()) else {
        return Err(Failure::usage(format!("no line in the given files contains the ID {id}")));
    };
    // An event that affects many jobs may precede the job's first line, so its whole minute is included.
    let from = first.time.get(..MINUTE_CHARS).unwrap_or(first.time);
    let to = last.time;
    lines.extend(context.into_iter().filter(|line| from <= line.time && line.time <= to));
    lines.sort_by(|a, b| a.time.cmp(b.time));
    let mut output: Vec<String> = lines.iter().map(|line| line.text.to_owned()).collect();
    output.push(format!("cause: {}", cause(&lines)));
    print(&output.join("\n"))
}

/// Parses a line from its `time` field on. Anything before it is dropped.
fn parse_line(line: &str) -> Option<LogLine<'_>> {
    let text = &line[line.find("time=")?..];
    let mut fields = BTreeMap::new();
    let mut rest = text;
    while let Some((key, after)) = rest.split_once('=') {
        let quoted = after.strip_prefix('"');
        let (value, next) = match quoted {
            Some(quoted_rest) => quoted_rest.split_once('"').unwrap_or((quoted_rest, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        fields.insert(key.trim(), value);
        rest = next;
    }
    Some(LogLine { time: fields.get("time").copied()?, text, fields })
}

impl LogLine<'_> {
    fn mentions(&self, id: &str) -> bool {
        self.text.contains(id)
    }

    /// Returns whether the event affects many jobs, not only those that the line names.
    fn is_context(&self) -> bool {
        matches!(
            self.field("event"),
            "leadership_taken" | "dependency_lost" | "dependency_regained"
        )
    }

    fn field(&self, key: &str) -> &str {
        self.fields.get(key).copied().unwrap_or("?")
    }

    fn number(&self, key: &str) -> u64 {
        self.field(key).parse().unwrap_or(0)
    }
}

/// Returns why the job ended or, if it has not, what last delayed it.
fn cause(lines: &[LogLine<'_>]) -> String {
    let count = |event: &str| lines.iter().filter(|line| line.field("event") == event).count();
    let last = |event: &str| lines.iter().rev().find(|line| line.field("event") == event);
    if let Some(line) = last("job_failed") {
        if let Some(given_up) = last("task_given_up") {
            return crashed_cause(lines, line, given_up);
        }
        let failed = lines.iter().filter(|line| line.field("event") == "run_ended");
        // An end is reported again to a new leader, so the same run can be logged twice.
        let runs: BTreeSet<_> = failed
            .filter(|line| line.field("cause") == "failed")
            .map(|line| (line.field("task"), line.field("attempt"), line.field("worker")))
            .collect();
        let workers: Vec<&str> = runs.into_iter().map(|(_, _, worker)| worker).collect();
        let allowed = last("run_failed").map_or("?", |line| line.field("allowed"));
        return format!(
            "failed at {}: a task failed in each of its {allowed} allowed runs; runs failed on {}",
            line.time,
            workers.join(", ")
        );
    }
    if let Some(line) = last("job_cancelled") {
        return format!("cancelled by its caller, seen at {}", line.time);
    }
    if let Some(line) = last("job_completed") {
        return completed_cause(lines, line);
    }
    if let Some(line) = last("step_waits") {
        return format!(
            "waiting: {}; {} tasks wait, {} workers are eligible",
            line.field("reason"),
            line.field("waiting"),
            line.field("allowed")
        );
    }
    match last("job_submitted") {
        Some(line) if line.field("stored") == "NotRun" => format!(
            "refused after {} ms: the store was unreachable ({} dependency_lost events); the job was not accepted",
            line.field("waited_ms"),
            count("dependency_lost")
        ),
        Some(line) if line.field("stored") == "Unknown" => format!(
            "outcome unknown after {} ms: the store did not confirm the submission",
            line.field("waited_ms")
        ),
        _ => "no log line shows an end; the job may still be running".to_owned(),
    }
}

/// Returns which task failed the job because its workers crashed, and on which workers it ran.
fn crashed_cause(lines: &[LogLine<'_>], end: &LogLine<'_>, given_up: &LogLine<'_>) -> String {
    let task = given_up.field("task");
    let lost = lines.iter().filter(|line| line.field("event") == "run_lost");
    // A takeover repeats the loss of a worker that the former leader had not recorded.
    let workers: BTreeSet<_> =
        lost.filter(|line| line.field("task") == task).map(|line| line.field("worker")).collect();
    let workers: Vec<&str> = workers.into_iter().collect();
    format!(
        "failed at {}: {} workers crashed under task {task}, {} of them soon after its start; lost on {}",
        end.time,
        given_up.field("crashes"),
        given_up.field("early"),
        workers.join(", ")
    )
}

/// Returns what delayed a completed job, if it was late.
fn completed_cause(lines: &[LogLine<'_>], end: &LogLine<'_>) -> String {
    let count = |event: &str| lines.iter().filter(|line| line.field("event") == event).count();
    let late_ms = end.number("late_ms");
    if late_ms == 0 {
        return format!("completed in time after {} ms", end.field("waited_ms"));
    }
    let longest = lines
        .iter()
        .filter(|line| line.field("event") == "task_bound")
        .max_by_key(|line| line.number("waited_ms"));
    let waited_ms = longest.map_or(0, |line| line.number("waited_ms"));
    let slowest = lines
        .iter()
        .filter(|line| line.field("event") == "run_ended")
        .max_by_key(|line| line.number("run_ms"));
    let run_ms = slowest.map_or(0, |line| line.number("run_ms"));
    let retries = count("task_waits");
    let worker = slowest.map_or("?", |line| line.field("worker"));
    format!(
        "completed {late_ms} ms late: the longest wait for a worker was {waited_ms} ms, the longest run {run_ms} ms \
         on {worker}, {retries} runs were repeated, {} takeovers since its first minute",
        count("leadership_taken")
    )
}
