//! What a play showed: tasks that ran twice and jobs that were not completed, each with the log lines that name them.

use std::{collections::BTreeMap, fmt::Write};

use {coriandertack_standins::platform::worker::RecordedRun, tokio::time::Instant};

use crate::cluster::Cluster;

/// Maximum number of log lines that are printed for a job that failed or a task that ran twice.
const MAX_LINES: usize = 60;

/// What a play showed.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Descriptions of the tasks that ran twice, and of what failed otherwise.
    pub broken: Vec<String>,
    /// Workers that the VMs gave up, by the cause that they logged.
    pub evidence: BTreeMap<String, usize>,
}

/// Returns the first of some log lines as an indented text.
pub fn log_text(lines: Vec<(usize, String)>) -> String {
    lines.iter().take(MAX_LINES).map(|(vm, line)| format!("    vm-{vm}: {line}\n")).collect()
}

/// Describes two runs of a task, with the log lines that name the task, or one of the two workers without a task.
pub fn describe(cluster: &Cluster, pair: &[RecordedRun; 2], cut_at: Instant) -> String {
    let offset = |at: Instant| {
        let late = at.saturating_duration_since(cut_at).as_millis() as i64;
        late - cut_at.saturating_duration_since(at).as_millis() as i64
    };
    let mut text = format!("  {} ran twice (milliseconds since the cut):\n", pair[0].task);
    for run in pair {
        let ended = run.ended.map_or_else(|| String::from("-"), |at| offset(at).to_string());
        let _infallible = writeln!(
            text,
            "    attempt {} on {}: {} to {ended}, {}, acknowledged {}",
            run.attempt,
            run.worker,
            offset(run.began),
            run.cause,
            run.acknowledged
        );
    }
    let workers = [0, 1].map(|n| format!("worker={} ", pair[n].worker));
    let names = |line: &str| {
        let of_worker = workers.iter().any(|worker| line.contains(worker));
        line.contains(&pair[0].task) || of_worker && !line.contains(" task=")
    };
    text + &log_text(cluster.log_lines(names))
}

pub fn table_row(name: &str, outcomes: &[Outcome]) -> String {
    let broken = outcomes.iter().filter(|outcome| !outcome.broken.is_empty()).count();
    let pairs: usize = outcomes.iter().map(|outcome| outcome.broken.len()).sum();
    let mut evidence: BTreeMap<&str, usize> = BTreeMap::new();
    for (cause, count) in outcomes.iter().flat_map(|outcome| &outcome.evidence) {
        *evidence.entry(cause).or_default() += count;
    }
    let evidence: Vec<_> = evidence.iter().map(|(cause, n)| format!("{cause} {n}")).collect();
    let plays = outcomes.len();
    format!("| {name} | {plays} | {broken} | {pairs} | {} |", evidence.join(", "))
}
