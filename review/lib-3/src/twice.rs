//! A start that the next life of its worker carries out late, before that life has answered a list.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use {
    coriandertack_standins::platform::worker::{
        RecordedRun,
        held_calls::{CallKind, Hold},
    },
    serde_json::json,
    tokio::time::sleep,
};

use crate::{
    Verdict,
    cluster::{Cluster, Kind, unix_ms},
    record::Record,
};

const JOB: &str = "00000000000b16aa";

/// Workers, one of which crashes: a share of 0.125.
const WORKERS: usize = 8;

const RUN_MS: u64 = 12_000;

/// Jobs of one task before the one whose start is held up, so that it is one start of more than 24 (0.042).
const ORDINARY: u64 = 24;

/// When the worker crashes, from when the task runs elsewhere, and for how long it is down.
const CRASH_AFTER: Duration = Duration::from_millis(500);
const DOWN: Duration = Duration::from_millis(3_000);

/// How late a start may be carried out.
const LATE: (Duration, Duration) = (Duration::from_secs(2), Duration::from_secs(12));

const LIMIT: Duration = Duration::from_secs(10);
const WATCH: Duration = Duration::from_secs(16);
const POLL: Duration = Duration::from_millis(5);

fn task_runs(cluster: &Cluster) -> Vec<RecordedRun> {
    let runs = cluster.workers.iter().flat_map(|(worker, _)| worker.recorded_runs());
    runs.filter(|run| run.task.starts_with(JOB)).collect()
}

async fn wait_until(mut holds: impl FnMut() -> bool) -> Result<(), String> {
    let began = Instant::now();
    while !holds() {
        if began.elapsed() > LIMIT {
            return Err("the order of events did not come about".to_owned());
        }
        sleep(POLL).await;
    }
    Ok(())
}

pub async fn run(program: &Path, trouble: bool, record: &mut Record) -> Verdict {
    let cluster =
        Cluster::start(program, 3, &[Kind { label: "a", run_ms: RUN_MS }; WORKERS]).await?;
    // Of all starts of the case, only one is held up.
    for number in 0..ORDINARY {
        let body = json!({
            "task-spec": "run-ms=20",
            "steps": [{ "count": 1, "cpu": 500, "mem-mb": 16, "est-runtime-ms": 20 }],
        });
        let path = format!("/plans/{:016x}", 0x1000 + number);
        let answer = cluster.call(number as usize % 3, "POST", &path, &body.to_string()).await;
        record.line(format!("POST {path}: {:?}", answer.map(|(status, _)| status)));
    }
    let started = || -> usize {
        let runs = cluster.workers.iter().flat_map(|(worker, _)| worker.recorded_runs());
        runs.filter(|run| run.ended.is_some()).count()
    };
    wait_until(|| started() == ORDINARY as usize).await?;
    record.line(format!("{ORDINARY} starts were answered, and their runs are done"));
    let held = || {
        let held = |(worker, _): &(_, Kind)| {
            let worker: &coriandertack_standins::platform::worker::Worker = worker;
            worker.held_calls().iter().any(|call| call.kind == CallKind::Start)
        };
        cluster.workers.iter().position(held)
    };
    if trouble {
        let one = Hold { limit: 1, ..Hold::all(CallKind::Start) };
        cluster.workers.iter().for_each(|(worker, _)| worker.hold_calls(one));
    }
    let body = json!({
        "task-spec": "plan",
        "steps": [{ "count": 1, "cpu": 500, "mem-mb": 16, "est-runtime-ms": RUN_MS }],
    })
    .to_string();
    let answer = cluster.call(0, "POST", &format!("/plans/{JOB}"), &body).await;
    record.line(format!("POST /plans/{JOB} {body}: {answer:?}"));
    if answer.map(|(status, _)| status) != Some(200) {
        return Err("the job was not accepted".to_owned());
    }
    if trouble {
        wait_until(|| held().is_some()).await?;
        let sent = Instant::now();
        let first = held().unwrap_or_default();
        let worker = &cluster.workers[first].0;
        cluster.workers.iter().for_each(|(worker, _)| worker.hold_no_calls());
        record.line(format!("the start at {} is held up and not answered", worker.id()));
        wait_until(|| !task_runs(&cluster).is_empty()).await?;
        record.line("the task runs elsewhere");
        sleep(CRASH_AFTER).await;
        record.line(format!("{} crashes", worker.id()));
        let crashed = Instant::now();
        worker.go_down().await;
        sleep(DOWN.saturating_sub(crashed.elapsed())).await;
        worker.start_incarnation(unix_ms());
        let status = worker.deliver(0);
        worker.come_back();
        cluster.publish_entry(first);
        let late = sent.elapsed();
        record.line(format!(
            "{} is back under its id; it answers the start, {late:?} late, with {status:?}",
            worker.id()
        ));
        if status.is_none() || late < LATE.0 || late > LATE.1 {
            return Err("the start was not carried out in the time that the pages name".to_owned());
        }
    }
    sleep(WATCH).await;
    let runs = task_runs(&cluster);
    let Some(first) = runs.iter().map(|run| run.began).min() else {
        return Err("the task did not run".to_owned());
    };
    for run in &runs {
        let began = (run.began - first).as_millis();
        let ended = run.ended.map(|at| (at - first).as_millis());
        record.line(format!(
            "{} attempt {} on {}, life {}: from {began} ms to {ended:?} ms, {}",
            run.task, run.attempt, run.worker, run.born, run.cause
        ));
    }
    let overlap = |a: &RecordedRun, b: &RecordedRun| {
        let is_other = (a.began, &a.worker) != (b.began, &b.worker);
        is_other && a.began <= b.began && a.ended.is_none_or(|ended| ended > b.began)
    };
    let twice = runs.iter().any(|a| runs.iter().any(|b| a.task == b.task && overlap(a, b)));
    Ok(!twice)
}
