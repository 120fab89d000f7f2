//! Jobs whose names have hexadecimal digits in upper case.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
    time::Duration,
};

use {serde_json::json, tokio::time::sleep};

use crate::{
    Verdict,
    cluster::{Cluster, Kind},
    record::Record,
};

/// Names of jobs of several clients. The last two differ only in the case of their digits.
const JOBS: [&str; 4] =
    ["5C0E7A21D94B36F8", "00000000000B16AA", "A1B2C3D4E5F60718", "a1b2c3d4e5f60718"];

/// The same without letters in upper case, and all different.
const PLAIN_JOBS: [&str; 4] =
    ["5c0e7a21d94b36f8", "00000000000b16aa", "a1b2c3d4e5f60718", "a1b2c3d4e5f60719"];

const VMS: usize = 3;
const RUN_MS: u64 = 200;

/// How long the workers are watched, far longer than the jobs take.
const WATCH: Duration = Duration::from_secs(17);

pub async fn run(program: &Path, trouble: bool, record: &mut Record) -> Verdict {
    let cluster = Cluster::start(program, VMS, &[Kind { label: "a", run_ms: RUN_MS }; 4]).await?;
    let jobs = if trouble { JOBS } else { PLAIN_JOBS };
    let mut sent = BTreeSet::new();
    for (number, job) in jobs.into_iter().enumerate() {
        let body = json!({
            "task-spec": format!("spec-{number}"),
            "steps": [{ "count": 1, "cpu": 500, "mem-mb": 16, "est-runtime-ms": RUN_MS }],
        })
        .to_string();
        let vm = number % VMS;
        let answer = cluster.call(vm, "POST", &format!("/plans/{job}"), &body).await;
        record.line(format!("POST /plans/{job} to VM {vm} {body}: {answer:?}"));
        if answer.map(|(status, _)| status) != Some(200) {
            return Err("a job was not accepted".to_owned());
        }
        sent.insert(job.to_owned());
        // The next job is sent once all VMs know this one.
        sleep(Duration::from_secs(1)).await;
    }
    sleep(WATCH).await;
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for (worker, _) in &cluster.workers {
        for run in worker.recorded_runs() {
            let job = run.task.split('.').next().unwrap_or_default().to_owned();
            record.line(format!(
                "{} ran {} attempt {}: {}",
                worker.id(),
                run.task,
                run.attempt,
                run.cause
            ));
            *runs.entry(job).or_default() += 1;
        }
    }
    let unasked: Vec<_> = runs.keys().filter(|job| !sent.contains(*job)).collect();
    let missing: Vec<_> = sent.iter().filter(|job| !runs.contains_key(*job)).collect();
    for job in &sent {
        record.line(format!("GET /plans/{job}: {}", cluster.state(0, job).await));
    }
    record.line(format!("started, but sent by no client: {unasked:?}"));
    record.line(format!("accepted, but never started under its name: {missing:?}"));
    Ok(unasked.is_empty() && missing.is_empty())
}
