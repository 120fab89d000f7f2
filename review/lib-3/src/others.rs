//! A recurring job that is held for the size of its record, and the jobs of other callers meanwhile.

use std::{
    collections::HashMap,
    path::Path,
    time::{Duration, Instant},
};

use {serde_json::json, tokio::time::sleep};

use crate::{
    Verdict,
    cluster::{Cluster, Kind, unix_ms},
    record::Record,
};

const VMS: usize = 3;

/// The recurring job, as in `hold`, with a longer last step.
const RECURRING: &str = "00000000000b16aa";
const OCCURRENCES: u64 = 14;
const INTERVAL_MS: u64 = 1_000;
const WIDTH: u64 = 1_900;
const SHORT_MS: u64 = 20;
const LONG_MS: u64 = 80_000;

/// Number of workers with the label `a`, on which all tasks but the last ones of the recurring job run.
const COMMON: usize = 7;

/// An ordinary job: tasks of its first step, and the pause between two jobs.
const TASKS: u64 = 10;
const PAUSE: Duration = Duration::from_millis(30);

/// When the ordinary jobs begin and end, from the submission of the recurring one.
const TRAFFIC: (Duration, Duration) = (Duration::from_secs(16), Duration::from_secs(36));

/// `finish_s` of the site, and the time for which a job may have nothing running then.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

/// Returns, for each ordinary job, the number of tasks of its first step that have ended `done`, and whether its second step
/// has begun or anything of it is running.
fn progress(cluster: &Cluster) -> HashMap<String, (u64, bool)> {
    let mut jobs: HashMap<String, (u64, bool)> = HashMap::new();
    for (worker, _) in &cluster.workers {
        for run in worker.recorded_runs() {
            let mut parts = run.task.split('.');
            let (Some(job), Some(step)) = (parts.next(), parts.nth(1)) else { continue };
            let entry = jobs.entry(job.to_owned()).or_default();
            entry.0 += u64::from(step == "0" && run.cause == "done");
            entry.1 |= step == "1" || run.ended.is_none();
        }
    }
    jobs
}

pub async fn run(program: &Path, trouble: bool, record: &mut Record) -> Verdict {
    let common = Kind { label: "a", run_ms: SHORT_MS };
    let mut kinds = [common; COMMON + 1];
    kinds[COMMON] = Kind { label: "b", run_ms: LONG_MS };
    let cluster = Cluster::start_limited(program, VMS, &kinds).await?;
    if trouble {
        let body = json!({
            "task-spec": "steps",
            "repeat-count": OCCURRENCES, "first-ms": unix_ms() + 500, "interval-ms": INTERVAL_MS,
            "steps": [
                { "count": WIDTH, "cpu": 100, "mem-mb": 16, "est-runtime-ms": SHORT_MS, "constraints": "a" },
                { "count": 1, "cpu": 500, "mem-mb": 64, "est-runtime-ms": LONG_MS, "depends-on": [0], "constraints": "b" },
            ],
        })
        .to_string();
        let answer = cluster.call(0, "POST", &format!("/plans/{RECURRING}"), &body).await;
        record.line(format!("POST /plans/{RECURRING} {body}: {answer:?}"));
        if answer.map(|(status, _)| status) != Some(200) {
            return Err("the recurring job was not accepted".to_owned());
        }
    }
    let began = Instant::now();
    sleep(TRAFFIC.0).await;
    let mut accepted = Vec::new();
    let body = json!({
        "task-spec": "plan",
        "steps": [
            { "count": TASKS, "cpu": 100, "mem-mb": 16, "est-runtime-ms": SHORT_MS, "constraints": "a" },
            { "count": 1, "cpu": 100, "mem-mb": 16, "est-runtime-ms": SHORT_MS, "depends-on": [0], "constraints": "a" },
        ],
    })
    .to_string();
    record.line(format!("ordinary jobs: POST /plans/ID {body}"));
    for number in 0_u64.. {
        if began.elapsed() >= TRAFFIC.1 {
            break;
        }
        let job = format!("{:016x}", 0x1000 + number);
        let vm = number as usize % VMS;
        let answer = cluster.call(vm, "POST", &format!("/plans/{job}"), &body).await;
        if answer.is_some_and(|(status, _)| status == 200) {
            accepted.push(job);
        }
        sleep(PAUSE).await;
    }
    record.line(format!("the traffic ends; {} ordinary jobs were accepted", accepted.len()));
    sleep(FINISH).await;
    // Jobs whose first step is done, with nothing running, and whose second step has not begun.
    let waiting = || {
        let jobs = progress(&cluster);
        let is_waiting = |job: &&String| jobs.get(*job) == Some(&(TASKS, false));
        let is_unstarted = |job: &&String| !jobs.contains_key(*job);
        let stuck: Vec<_> =
            accepted.iter().filter(|job| is_waiting(job) || is_unstarted(job)).cloned().collect();
        stuck
    };
    let until = Instant::now() + IDLE;
    let mut stuck = waiting();
    while Instant::now() < until {
        sleep(Duration::from_millis(250)).await;
        let still = waiting();
        stuck.retain(|job| still.contains(job));
    }
    let running: usize = cluster.workers[..COMMON]
        .iter()
        .map(|(worker, _)| worker.recorded_runs().iter().filter(|run| run.ended.is_none()).count())
        .sum();
    record.line(format!(
        "for 3 s, {} of {} accepted ordinary jobs had nothing running and a step whose turn had come; {running} tasks run on the \
         {COMMON} workers for them",
        stuck.len(),
        accepted.len()
    ));
    if let Some(job) = stuck.first() {
        for vm in 0..VMS {
            record.line(format!("GET /plans/{job} from VM {vm}: {}", cluster.state(vm, job).await));
        }
    }
    Ok(stuck.is_empty())
}
