//! What must hold at the end, from the log and from the workers' own records.

use std::collections::{BTreeMap, BTreeSet};

use {
    coriandertack_core::{keys::Offset, record::Batch, state::State},
    coriandertack_log::codec,
    coriandertack_standins::{audit, log::LogService, worker::Worker},
    tokio::time::Instant,
};

use crate::{
    client::Told,
    cluster::STREAM,
    load::{Heard, Keyed},
};

/// The state that follows from the log, as a new VM would compute it.
#[derive(Default)]
pub struct Replay {
    pub state: State,
    read: usize,
}

impl Replay {
    /// Applies the records that were added to the log.
    pub fn follow(&mut self, log: &LogService) {
        for kept in log.records(STREAM).into_iter().skip(self.read) {
            let batch: Batch = codec::decode(&kept.body).expect("the log holds readable records");
            self.state.apply(Offset(kept.offset), &batch, Instant::now());
            self.read += 1;
        }
    }

    /// Returns the keys of jobs that have not ended.
    pub fn open(&self) -> BTreeSet<String> {
        let jobs = self.state.jobs.arena.values().filter(|job| !job.is_ended());
        jobs.filter_map(|job| job.spec.key.clone()).collect()
    }

    pub fn charged(&self) -> u64 {
        self.state.ledger.charges().map(|line| line.usage.core_ms).sum()
    }
}

/// Returns every promise that was broken. `accepted` has the keys of the jobs that were accepted for certain.
pub fn check(
    replay: &Replay,
    workers: &[Worker],
    heard: &Heard,
    accepted: &[String],
) -> Vec<String> {
    let report = audit::check(workers);
    let mut wrong = Vec::new();
    let mut count = |number: usize, what: &str| {
        if number > 0 {
            wrong.push(format!("{number} {what}"));
        }
    };
    count(report.duplicated, "tasks ran in two places at once");
    count(report.overcommitted, "workers were given more than they have");
    count(report.repeated_keys, "keys ran twice");
    wrong.extend(check_jobs(replay, heard, accepted));
    wrong.extend(check_calls(workers, heard));
    let charged = replay.charged();
    if charged != report.core_ms {
        wrong.push(format!("charged {charged} core-ms for {} used", report.core_ms));
    }
    wrong
}

fn check_jobs(replay: &Replay, heard: &Heard, accepted: &[String]) -> Vec<String> {
    let mut wrong = Vec::new();
    let jobs = replay.state.jobs.arena.values();
    let keys: BTreeSet<&str> = jobs.filter_map(|job| job.spec.key.as_deref()).collect();
    for probe in &heard.probes {
        let is_in_log = keys.contains(probe.key.as_str());
        match &probe.told {
            Told::Done(_) if !is_in_log => wrong.push(format!("{} is lost", probe.key)),
            Told::NotRun(code) if is_in_log => {
                wrong.push(format!("{} was refused with {code}, but was accepted", probe.key));
            }
            _ => {}
        }
    }
    let lost = accepted.iter().filter(|key| !keys.contains(key.as_str()));
    wrong.extend(lost.map(|key| format!("{key} is lost")));
    wrong.extend(replay.open().iter().map(|key| format!("{key} has not ended")));
    wrong
}

fn check_calls(workers: &[Worker], heard: &Heard) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut runs: BTreeMap<String, u32> = BTreeMap::new();
    for (key, count) in workers.iter().flat_map(|worker| worker.audit().keys) {
        *runs.entry(key).or_default() += count;
    }
    for Keyed { key, body, told } in &heard.keyed {
        let ran = runs.get(key).copied().unwrap_or(0);
        if told.iter().all(|told| matches!(told, Told::NotRun(_))) && ran > 0 {
            wrong.push(format!("{key} was refused with {told:?}, but ran"));
        }
        if told.iter().any(|told| matches!(told, Told::Done(_))) && ran != 1 {
            wrong.push(format!("{key} was answered and ran {ran} times"));
        }
        wrong.extend(told.iter().filter_map(|told| foreign(body, told)));
    }
    wrong.extend(heard.plain.iter().filter_map(|(body, told)| foreign(body, told)));
    wrong
}

/// Describes an answer that is not the caller's own. The service returns the content of the request.
fn foreign(body: &str, told: &Told) -> Option<String> {
    match told {
        Told::Done(answer) if answer != body.as_bytes() => {
            Some(format!("`{body}` was answered with {answer:?}"))
        }
        _ => None,
    }
}

/// Counts what the clients were told, for the report of a run.
pub fn summary(heard: &Heard, workers: &[Worker]) -> String {
    let count = |told: &mut dyn Iterator<Item = &Told>| {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for told in told {
            let name = match told {
                Told::Done(_) => "done".to_owned(),
                Told::NotRun(code) => code.number().to_string(),
                Told::Unknown(_) => "unknown".to_owned(),
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    };
    let keyed = count(&mut heard.keyed.iter().flat_map(|keyed| &keyed.told));
    let plain = count(&mut heard.plain.iter().map(|(_, told)| told));
    let jobs = count(&mut heard.probes.iter().map(|probe| &probe.told));
    let late: u64 = workers.iter().map(|worker| worker.audit().late).sum();
    let runs = audit::check(workers).runs;
    format!("keyed {keyed:?}, plain {plain:?}, jobs {jobs:?}, runs {runs}, late starts {late}")
}
