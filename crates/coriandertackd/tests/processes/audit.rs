//! Audit at the end of a run, based on the log and on the workers' own records.

use std::collections::{BTreeMap, BTreeSet};

use {
    coriandertack_core::{keys::Offset, record::Batch, state::State},
    coriandertack_log::codec,
    coriandertack_standins::{audit, log::LogService, worker::Worker},
    tokio::time::Instant,
};

use crate::{
    client::Outcome,
    cluster::STREAM,
    load::{KeyedCall, Observed},
};

/// The state that results from the log, as a new VM would compute it.
#[derive(Default)]
pub struct Replay {
    pub state: State,
    applied: usize,
}

impl Replay {
    /// Applies the records that were appended since the last call.
    pub fn apply_new(&mut self, log: &LogService) {
        for record in log.records(STREAM).into_iter().skip(self.applied) {
            let batch: Batch =
                codec::decode(&record.body).expect("records of the log can be decoded");
            self.state.apply(Offset(record.offset), &batch, Instant::now());
            self.applied += 1;
        }
    }

    /// Returns the keys of the jobs that have not ended.
    pub fn unfinished_jobs(&self) -> BTreeSet<String> {
        let jobs = self.state.jobs.arena.values().filter(|job| !job.is_ended());
        jobs.filter_map(|job| job.spec.key.clone()).collect()
    }

    pub fn charged(&self) -> u64 {
        self.state.ledger.charges().map(|line| line.usage.core_ms).sum()
    }
}

/// Returns every violated guarantee. `accepted` holds the keys of jobs that were certainly accepted.
pub fn check(
    replay: &Replay,
    workers: &[Worker],
    observed: &Observed,
    accepted: &[String],
) -> Vec<String> {
    let report = audit::check(workers);
    let mut violations = Vec::new();
    let mut count = |number: usize, what: &str| {
        if number > 0 {
            violations.push(format!("{number} {what}"));
        }
    };
    count(report.duplicated, "tasks ran in two places at once");
    count(report.overcommitted, "workers were overcommitted");
    count(report.repeated_keys, "keyed requests ran twice");
    violations.extend(check_jobs(replay, observed, accepted));
    violations.extend(check_calls(workers, observed));
    let charged = replay.charged();
    if charged != report.core_ms {
        violations.push(format!("charged {charged} core-ms but workers used {}", report.core_ms));
    }
    violations
}

fn check_jobs(replay: &Replay, observed: &Observed, accepted: &[String]) -> Vec<String> {
    let mut violations = Vec::new();
    let jobs = replay.state.jobs.arena.values();
    let keys: BTreeSet<&str> = jobs.filter_map(|job| job.spec.key.as_deref()).collect();
    for probe in &observed.probes {
        let is_in_log = keys.contains(probe.key.as_str());
        match &probe.outcome {
            Outcome::Done(_) if !is_in_log => violations.push(format!("{} was lost", probe.key)),
            Outcome::NotRun(code) if is_in_log => {
                violations.push(format!("{} was refused with {code}, but was accepted", probe.key));
            }
            _ => {}
        }
    }
    let lost = accepted.iter().filter(|key| !keys.contains(key.as_str()));
    violations.extend(lost.map(|key| format!("{key} was lost")));
    violations
        .extend(replay.unfinished_jobs().iter().map(|key| format!("job {key} has not ended")));
    violations
}

fn check_calls(workers: &[Worker], observed: &Observed) -> Vec<String> {
    let mut violations = Vec::new();
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for (key, count) in workers.iter().flat_map(|worker| worker.audit().keys) {
        *runs.entry(key).or_default() += count;
    }
    for KeyedCall { key, body, outcome } in &observed.keyed {
        let ran = runs.get(key).copied().unwrap_or(0);
        if outcome.iter().all(|outcome| matches!(outcome, Outcome::NotRun(_))) && ran > 0 {
            violations.push(format!("{key} was refused with {outcome:?}, but ran"));
        }
        if outcome.iter().any(|outcome| matches!(outcome, Outcome::Done(_))) && ran != 1 {
            violations.push(format!("{key} was answered but ran {ran} times"));
        }
        violations.extend(outcome.iter().filter_map(|outcome| mismatched_answer(body, outcome)));
    }
    violations.extend(
        observed.plain.iter().filter_map(|(body, outcome)| mismatched_answer(body, outcome)),
    );
    violations
}

/// Describes an answer that belongs to another request. The service echoes the content of each request.
fn mismatched_answer(body: &str, outcome: &Outcome) -> Option<String> {
    match outcome {
        Outcome::Done(answer) if answer != body.as_bytes() => {
            Some(format!("`{body}` was answered with {answer:?}"))
        }
        _ => None,
    }
}

/// Summarizes the outcomes that clients observed, for the output of the test.
pub fn summary(observed: &Observed, workers: &[Worker]) -> String {
    let count = |outcome: &mut dyn Iterator<Item = &Outcome>| {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for outcome in outcome {
            let name = match outcome {
                Outcome::Done(_) => "done".to_owned(),
                Outcome::NotRun(code) => code.number().to_string(),
                Outcome::Unknown(_) => "unknown".to_owned(),
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    };
    let keyed = count(&mut observed.keyed.iter().flat_map(|keyed| &keyed.outcome));
    let plain = count(&mut observed.plain.iter().map(|(_, outcome)| outcome));
    let jobs = count(&mut observed.probes.iter().map(|probe| &probe.outcome));
    let late: u64 = workers.iter().map(|worker| worker.audit().late).sum();
    let runs = audit::check(workers).runs;
    format!("keyed {keyed:?}, plain {plain:?}, jobs {jobs:?}, runs {runs}, late starts {late}")
}
