//! A recurring job whose record exceeds the limit of the store, and a crash of the worker of its last steps.

use std::{
    path::Path,
    time::{Duration, Instant},
};

use {serde_json::json, tokio::time::sleep};

use crate::{
    Verdict,
    cluster::{Cluster, Kind, unix_ms},
    record::Record,
};

const JOB: &str = "00000000000b16aa";

/// Occurrences and their interval, and the tasks of the first step of each.
const OCCURRENCES: u64 = 14;
const INTERVAL_MS: u64 = 1_000;
const WIDTH: u64 = 1_900;

/// Run time of a task of the first step, and of the task of the second one.
const SHORT_MS: u64 = 20;
const LONG_MS: u64 = 30_000;

/// Index of the only worker with the label that the second step needs. It is one of eight.
const SPECIAL: usize = 7;

/// When the worker crashes, from the submission of the job, and for how long it is down.
const CRASH_AT: Duration = Duration::from_secs(20);
const DOWN: Duration = Duration::from_millis(4_500);

/// `finish_s` of the site, and the time for which a job may have nothing running then.
const FINISH: Duration = Duration::from_secs(14);
const IDLE: Duration = Duration::from_secs(3);

/// How long the job is watched from its submission.
const WATCH: Duration = Duration::from_secs(90);

const POLL: Duration = Duration::from_millis(100);

/// What the workers have run of the job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Runs {
    running: usize,
    done: [u64; 2],
}

fn count_runs(cluster: &Cluster) -> Runs {
    let mut runs = Runs::default();
    for (worker, _) in &cluster.workers {
        for run in worker.recorded_runs() {
            let step = run.task.split('.').nth(2).and_then(|step| step.parse::<usize>().ok());
            match (run.ended, run.cause, step) {
                (None, ..) => runs.running += 1,
                (Some(_), "done", Some(step @ 0..=1)) => runs.done[step] += 1,
                _ => {}
            }
        }
    }
    runs
}

pub async fn run(program: &Path, trouble: bool, record: &mut Record) -> Verdict {
    let common = Kind { label: "a", run_ms: SHORT_MS };
    let mut kinds = [common; SPECIAL + 1];
    kinds[SPECIAL] = Kind { label: "b", run_ms: LONG_MS };
    let cluster = Cluster::start(program, 3, &kinds).await?;
    let body = json!({
        "task-spec": "steps",
        "repeat-count": OCCURRENCES, "first-ms": unix_ms() + 500, "interval-ms": INTERVAL_MS,
        "steps": [
            { "count": WIDTH, "cpu": 100, "mem-mb": 16, "est-runtime-ms": SHORT_MS, "constraints": "a" },
            { "count": 1, "cpu": 500, "mem-mb": 64, "est-runtime-ms": LONG_MS, "depends-on": [0], "constraints": "b" },
        ],
    })
    .to_string();
    let answer = cluster.call(0, "POST", &format!("/plans/{JOB}"), &body).await;
    record.line(format!("POST /plans/{JOB} {body}: {answer:?}"));
    if answer.map(|(status, _)| status) != Some(200) {
        return Err("the job was not accepted".to_owned());
    }
    let submitted = Instant::now();
    let mut crashed = false;
    let mut idle_since: Option<Instant> = None;
    let mut last = None;
    let mut reported = Instant::now();
    while submitted.elapsed() < WATCH {
        if trouble && !crashed && submitted.elapsed() >= CRASH_AT {
            record.line(format!("the worker with the label b crashes; {:?}", count_runs(&cluster)));
            crashed = true;
            let down = Instant::now();
            let worker = &cluster.workers[SPECIAL].0;
            worker.go_down().await;
            cluster.withdraw_entry(SPECIAL);
            sleep(DOWN.saturating_sub(down.elapsed())).await;
            worker.start_incarnation(unix_ms());
            worker.come_back();
            cluster.publish_entry(SPECIAL);
            record.line("the worker with the label b is back, without a run");
        }
        let state = cluster.state(1, JOB).await;
        let runs = count_runs(&cluster);
        let line = (state.clone(), runs);
        if last.as_ref() != Some(&line) && reported.elapsed() >= Duration::from_secs(2) {
            reported = Instant::now();
            record.line(format!("GET /plans/{JOB}: {state}; {runs:?}"));
            last = Some(line);
        }
        if state == "completed" {
            record.line(format!("GET /plans/{JOB}: {state}; {runs:?}"));
            return Ok(true);
        }
        // All occurrences are due once the worker is back, and every step but the last ones is done or can run: the
        // workers with the label a are idle, and the last steps need 7 of the 16 cores of the one with the label b.
        match runs.running {
            0 => idle_since = idle_since.or(Some(Instant::now())),
            _ => idle_since = None,
        }
        let finish = submitted + CRASH_AT + DOWN + FINISH;
        if let Some(idle) = idle_since
            && Instant::now() >= idle.max(finish) + IDLE
        {
            let idle_s = idle.elapsed().as_secs_f64();
            record.line(format!(
                "the job is {state} with nothing running for {idle_s:.1} s; {runs:?}"
            ));
            return Ok(false);
        }
        sleep(POLL).await;
    }
    record.line(format!("{:?}", count_runs(&cluster)));
    Err("the job was neither completed nor idle in the time of the case".to_owned())
}
