//! A task that lasts and crashes each of its workers after some time.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use {
    coriandertack_standins::platform::worker::{CRASH_PREFIX, RecordedRun},
    serde_json::json,
    tokio::time::sleep,
};

use crate::{
    Verdict,
    cluster::{Cluster, Kind},
    record::Record,
};

const JOB: &str = "00000000000b16aa";
const WORKERS: usize = 8;

/// Time from a start to the crash. A run without a crash takes longer than the case.
const CRASH_MS: u64 = 10_500;
const RUN_MS: u64 = 200_000;

/// Time for which a machine is without a worker after a crash.
const DOWN: Duration = Duration::from_millis(3_000);

/// Crashes after which starts count, and their number that breaks the rule.
const CRASHES: usize = 3;
const EXCESS: usize = 3;

const WATCH: Duration = Duration::from_secs(75);
const POLL: Duration = Duration::from_millis(20);

pub async fn run(program: &Path, trouble: bool, record: &mut Record) -> Verdict {
    let kind = Kind { label: "a", run_ms: RUN_MS };
    let mut cluster = Cluster::start(program, 3, &[kind; WORKERS]).await?;
    let spec = if trouble { format!("{CRASH_PREFIX}{CRASH_MS}") } else { "serve".to_owned() };
    let body = json!({
        "task-spec": spec,
        "steps": [{ "count": 1, "cpu": 500, "mem-mb": 16, "est-runtime-ms": 1_000, "long-running": true }],
    })
    .to_string();
    let answer = cluster.call(0, "POST", &format!("/plans/{JOB}"), &body).await;
    record.line(format!("POST /plans/{JOB} {body}: {answer:?}"));
    if answer.map(|(status, _)| status) != Some(200) {
        return Err("the job was not accepted".to_owned());
    }
    let began = Instant::now();
    let mut former: Vec<RecordedRun> = Vec::new();
    let mut crashes = 0;
    let mut known = 0;
    while began.elapsed() < WATCH {
        for index in 0..WORKERS {
            let Some(crashed_at) = cluster.workers[index].0.crashed_at() else { continue };
            if cluster.vacate(index) {
                crashes += 1;
                record.line(format!(
                    "{} has crashed, the {crashes}. crash",
                    cluster.workers[index].0.id()
                ));
            }
            if crashed_at.elapsed() >= DOWN {
                let (gone, _) = cluster.replace_worker(index).await?;
                former.extend(gone.recorded_runs());
            }
        }
        let present = cluster.workers.iter().flat_map(|(worker, _)| worker.recorded_runs());
        let mut runs: Vec<_> = former.iter().cloned().chain(present).collect();
        runs.sort_by_key(|run| run.began);
        for run in &runs[known..] {
            record.line(format!("{} attempt {} starts on {}", run.task, run.attempt, run.worker));
        }
        known = runs.len();
        let mut ends: Vec<_> =
            runs.iter().filter(|run| run.cause == "crashed").filter_map(|run| run.ended).collect();
        ends.sort();
        let excess = ends
            .get(CRASHES - 1)
            .map_or(0, |third| runs.iter().filter(|run| run.began > *third).count());
        if excess >= EXCESS {
            record.line(format!(
                "{excess} starts after {CRASHES} workers have crashed under the task"
            ));
            record.line(format!("GET /plans/{JOB}: {}", cluster.state(1, JOB).await));
            return Ok(false);
        }
        sleep(POLL).await;
    }
    record.line(format!(
        "GET /plans/{JOB}: {}; {known} starts, {crashes} crashes",
        cluster.state(1, JOB).await
    ));
    Ok(true)
}
