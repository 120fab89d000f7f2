//! A recurring job whose occurrences are all due when it is submitted, beside ordinary jobs.

use std::{
    collections::HashSet,
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

const RECURRING: &str = "00000000000b16aa";

/// Occurrences of the recurring job, one a minute, each with a task of 20 ms that uses a tenth of a core: 100 core-seconds
/// in all, for 128 cores.
const OCCURRENCES: u64 = 50_000;
const INTERVAL_MS: u64 = 60_000;
const RUN_MS: u64 = 20;

/// When the recurring job is submitted, and when the traffic ends.
const SUBMIT_AT: Duration = Duration::from_secs(4);
const TRAFFIC: Duration = Duration::from_secs(40);

/// Pause between two ordinary jobs.
const PAUSE: Duration = Duration::from_millis(200);

/// `finish_s` of the site, and the time for which a job may have nothing running then.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

/// Pause between two attempts of a client without an answer, and their number.
const RETRY: Duration = Duration::from_millis(500);
const ATTEMPTS: usize = 6;

/// Returns the jobs of which a run has begun, and the number of runs that have not ended.
fn begun_jobs(cluster: &Cluster) -> (HashSet<String>, usize) {
    let runs = || cluster.workers.iter().flat_map(|(worker, _)| worker.recorded_runs());
    let jobs = runs().filter_map(|run| Some(run.task.split_once('.')?.0.to_owned())).collect();
    (jobs, runs().filter(|run| run.ended.is_none()).count())
}

/// Submits the recurring job, at one VM after the other until it is accepted.
async fn submit_recurring(cluster: &Cluster, overdue: bool, record: &mut Record) -> bool {
    let before_ms = if overdue { OCCURRENCES * INTERVAL_MS } else { 0 };
    let body = json!({
        "task-spec": "minute",
        "repeat-count": OCCURRENCES, "first-ms": unix_ms() - before_ms, "interval-ms": INTERVAL_MS,
        "steps": [{ "count": 1, "cpu": 100, "mem-mb": 16, "est-runtime-ms": RUN_MS }],
    })
    .to_string();
    for attempt in 0..ATTEMPTS {
        let vm = (attempt + 1) % VMS;
        let answer = cluster.call(vm, "POST", &format!("/plans/{RECURRING}"), &body).await;
        record.line(format!("POST /plans/{RECURRING} to VM {vm} {body}: {answer:?}"));
        if answer.is_some_and(|(status, _)| status == 200) {
            return true;
        }
        sleep(RETRY).await;
    }
    false
}

pub async fn run(program: &Path, trouble: bool, record: &mut Record) -> Verdict {
    let cluster = Cluster::start(program, VMS, &[Kind { label: "a", run_ms: RUN_MS }; 8]).await?;
    let began = Instant::now();
    let mut accepted = Vec::new();
    let mut submitted = false;
    for number in 0_u64.. {
        if began.elapsed() >= TRAFFIC {
            break;
        }
        if !submitted && began.elapsed() >= SUBMIT_AT {
            submitted = true;
            if !submit_recurring(&cluster, trouble, record).await {
                return Err("the recurring job was not accepted".to_owned());
            }
        }
        let job = format!("{:016x}", 0x1000 + number);
        let body = json!({
            "task-spec": "plan",
            "steps": [{ "count": 1, "cpu": 500, "mem-mb": 16, "est-runtime-ms": RUN_MS }],
        });
        let vm = number as usize % VMS;
        let sent = Instant::now();
        let answer = cluster.call(vm, "POST", &format!("/plans/{job}"), &body.to_string()).await;
        let status = answer.map(|(status, _)| status);
        let waited_ms = sent.elapsed().as_millis();
        record.line(format!("POST /plans/{job} to VM {vm}: {status:?} after {waited_ms} ms"));
        if status == Some(200) {
            accepted.push(job);
        }
        sleep(PAUSE).await;
    }
    record.line(format!("the traffic ends; {} ordinary jobs were accepted", accepted.len()));
    sleep(FINISH).await;
    // Jobs without a run, while no worker has anything running.
    let missing = || {
        let (begun, running) = begun_jobs(&cluster);
        let missing: HashSet<_> =
            accepted.iter().filter(|job| !begun.contains(*job)).cloned().collect();
        (missing, running)
    };
    let until = Instant::now() + IDLE;
    let (mut idle, mut busiest) = missing();
    while Instant::now() < until {
        sleep(RETRY).await;
        let (still, running) = missing();
        idle.retain(|job| still.contains(job));
        busiest = busiest.max(running);
    }
    let mut idle: Vec<_> = idle.into_iter().collect();
    idle.sort();
    let recurring = begun_jobs(&cluster).0.contains(RECURRING);
    record.line(format!(
        "for 3 s, {} accepted ordinary jobs had no run, while at most {busiest} tasks ran on 128 cores; the recurring job \
         has run: {recurring}",
        idle.len()
    ));
    let asked = idle.first().or(accepted.last()).cloned().unwrap_or_default();
    let mut answered = false;
    for vm in 0..VMS {
        let state = cluster.state(vm, &asked).await;
        record.line(format!("GET /plans/{asked} from VM {vm}: {state}"));
        answered |= state != "none";
    }
    Ok(idle.is_empty() && answered)
}
