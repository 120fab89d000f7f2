//! `trace`: the log lines of one job from the logs of several VMs, in order of time, and what they say about its end.
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

/// Characters of a time as far as its minute, as in `2026-02-15T17:20`.
const MINUTE_CHARS: usize = 16;

/// One log line: `key=value` pairs, of which a value may be quoted.
struct Line<'a> {
    time: &'a str,
    text: &'a str,
    fields: BTreeMap<&'a str, &'a str>,
}

/// Prints the lines of a job and the cause of its end.
pub fn trace(matches: &ArgMatches) -> Result<(), Failure> {
    let id = matches.get_one::<String>("id").map(String::as_str).unwrap_or_default();
    let files = matches.get_many::<PathBuf>("files").into_iter().flatten();
    let mut texts = Vec::new();
    for file in files {
        let text = fs::read_to_string(file)
            .map_err(|error| Failure::usage(format!("{}: {error}", file.display())))?;
        texts.push(text);
    }
    let lines = texts.iter().flat_map(|text| text.lines()).filter_map(parse);
    let (mut lines, context): (Vec<Line<'_>>, Vec<Line<'_>>) =
        lines.filter(|line| line.is_context() || line.names(id)).partition(|line| line.names(id));
    lines.sort_by(|a, b| a.time.cmp(b.time));
    let (Some(first), Some(last)) = (lines.first(), lines.last()) else {
        return Err(Failure::usage(format!("no line of these files names {id}")));
    };
    // What happened to many jobs may have begun before the first line, so the whole minute counts.
    let from = first.time.get(..MINUTE_CHARS).unwrap_or(first.time);
    let to = last.time;
    lines.extend(context.into_iter().filter(|line| from <= line.time && line.time <= to));
    lines.sort_by(|a, b| a.time.cmp(b.time));
    let mut out: Vec<String> = lines.iter().map(|line| line.text.to_owned()).collect();
    out.push(format!("cause: {}", cause(&lines)));
    print(&out.join("\n"))
}

/// Parses a line. What stands before the time is left out.
fn parse(line: &str) -> Option<Line<'_>> {
    let text = &line[line.find("time=")?..];
    let mut fields = BTreeMap::new();
    let mut rest = text;
    while let Some((key, after)) = rest.split_once('=') {
        let quoted = after.strip_prefix('"');
        let (value, next) = match quoted {
            Some(shared) => shared.split_once('"').unwrap_or((shared, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        fields.insert(key.trim(), value);
        rest = next;
    }
    Some(Line { time: fields.get("time").copied()?, text, fields })
}

impl Line<'_> {
    fn names(&self, id: &str) -> bool {
        self.text.contains(id)
    }

    /// Tells whether the line explains what happened to many jobs at its time.
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

/// Says what ended the job, or what held it back last.
fn cause(lines: &[Line<'_>]) -> String {
    let count = |event: &str| lines.iter().filter(|line| line.field("event") == event).count();
    let last = |event: &str| lines.iter().rev().find(|line| line.field("event") == event);
    if let Some(line) = last("job_failed") {
        let failed = lines.iter().filter(|line| line.field("event") == "run_ended");
        // An end is listed again to a new leader, so that its line can stand twice.
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
        return completed(lines, line);
    }
    if let Some(line) = last("step_waits") {
        return format!(
            "it waits: {}; {} tasks wait, {} workers are allowed",
            line.field("reason"),
            line.field("waiting"),
            line.field("allowed")
        );
    }
    match last("job_submitted") {
        Some(line) if line.field("stored") == "NotRun" => format!(
            "refused after {} ms: the store could not be reached, {} VMs or streams had lost it; the job was not accepted",
            line.field("waited_ms"),
            count("dependency_lost")
        ),
        Some(line) if line.field("stored") == "Unknown" => format!(
            "no certain answer after {} ms: the store did not confirm the submission",
            line.field("waited_ms")
        ),
        _ => "no line tells; it may still run".to_owned(),
    }
}

/// Says why a completed job took as long as it did.
fn completed(lines: &[Line<'_>], end: &Line<'_>) -> String {
    let count = |event: &str| lines.iter().filter(|line| line.field("event") == event).count();
    let late = end.number("late_ms");
    if late == 0 {
        return format!("completed in time after {} ms", end.field("waited_ms"));
    }
    let longest = lines
        .iter()
        .filter(|line| line.field("event") == "task_bound")
        .max_by_key(|line| line.number("waited_ms"));
    let waited = longest.map_or(0, |line| line.number("waited_ms"));
    let slowest = lines
        .iter()
        .filter(|line| line.field("event") == "run_ended")
        .max_by_key(|line| line.number("run_ms"));
    let ran = slowest.map_or(0, |line| line.number("run_ms"));
    let again = count("task_waits");
    let place = slowest.map_or("?", |line| line.field("worker"));
    format!(
        "completed {late} ms late: the longest wait for a worker was {waited} ms, the longest run {ran} ms \
         on {place}, {again} runs were repeated, {} takeovers since its first minute",
        count("leadership_taken")
    )
}
