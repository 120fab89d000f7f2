//! Waiting: from the acceptance of a task to its start, on eight VMs at 2,000 placements a second.
//!
//! Acceptance counts from the answer to the submitter, the start from the moment at which the worker
//! begins the task, which is later than the moment at which the start was sent. The second part fills the
//! cell with batch work and submits urgent work.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use {
    anyhow::{Context, Result},
    bytes::Bytes,
    coriandertack_core::keys::{JobId, MAX_BATCH_ENTRIES, Offset},
    coriandertack_log::client::Client as LogClient,
    coriandertack_standins::log::{LogConfig, LogService},
    futures::future::join_all,
    hdrhistogram::Histogram,
    hyper::Method,
    serde_json::{Value, json},
    tokio::time::{Instant, sleep, sleep_until},
};

use super::row::Row;

use crate::{
    demo,
    local::{Local, Options, within},
};

const SCENARIO: &str = "wait";

/// Placements per second.
const RATE: u64 = 2_000;

/// Tasks of one job. A caller's HTTP request carries one job.
const TASKS: u64 = 10;

/// Length of the load.
const SECONDS: u64 = 8;

/// Teams, so that every VM is the home of some.
const TEAMS: usize = 16;

/// Bound on the 99th percentile of the waiting time.
const WAIT_TARGET_MS: f64 = 50.0;

/// Bound on every urgent start.
const URGENT_TARGET_MS: f64 = 1_000.0;

/// Urgent tasks on the full cell.
const URGENT: u64 = 32;

/// Length of the baseline's load, shorter because its queue grows without bound.
const BASELINE_SECONDS: u64 = 2;

/// Runs the scenario.
///
/// # Errors
///
/// Fails if a deployment does not start or a submission is refused.
pub async fn run(seed: u64) -> Result<Vec<Row>> {
    let mut rows = vec![steady(seed).await?];
    rows.extend(urgent(seed).await?);
    Ok(rows)
}

async fn start(seed: u64, workers: Option<usize>) -> Result<Local> {
    let deployment = demo::read(None)?;
    let mut options = Options::of(&deployment, seed);
    options.workers = workers.unwrap_or(options.workers);
    options.charge = Duration::from_secs(10);
    let local = Local::start(&deployment, &options).await?;
    for team in 0..TEAMS {
        let quota = json!({ "millicores": 800_000, "memory_mib": 1_600_000, "accelerators": 0 });
        let team_path = format!("/v1/teams/team-{team}");
        let content = json!({ "quota": quota, "tokens": [] });
        local
            .operator(0)
            .change(Method::PUT, &team_path, &[("expect", "0")], Some(&content))
            .await?;
    }
    let nodes = local.nodes();
    within(Duration::from_secs(5), "teams known everywhere", || {
        nodes.iter().all(|node| node.with(|shared| shared.state.teams.len() == TEAMS))
    })
    .await?;
    // The limit on one caller's requests is lifted: this load stands for many callers.
    for name in ["api.rate_per_s", "api.burst"] {
        let path = format!("/v1/settings/{name}");
        let content = json!({ "value": if name == "api.burst" { "100000" } else { "100000.0" } });
        local.operator(0).change(Method::PUT, &path, &[("expect", "0")], Some(&content)).await?;
    }
    sleep(Duration::from_millis(200)).await;
    Ok(local)
}

/// An accepted job.
struct Accepted {
    job: u64,
    at: Instant,
}

async fn submit(local: &Local, number: u64, job: &Value) -> Result<Accepted> {
    let server = usize::try_from(number)? % local.entries.len();
    let answer = local.operator(server).change(Method::POST, "/v1/jobs", &[], Some(job)).await?;
    let job = answer["job"].as_u64().context("no job in the answer")?;
    Ok(Accepted { job, at: Instant::now() })
}

fn job(team: u64, name: &str, tasks: u64, millicores: u32, run_ms: u64, urgent: bool) -> Value {
    json!({
        "team": format!("team-{team}"), "name": name, "kind": "batch", "tasks": tasks,
        "need": { "millicores": millicores, "memory_mib": 64 }, "run_ms": run_ms, "urgent": urgent,
        "command": format!("run_ms={run_ms} use_millicores={millicores} use_mib=32"),
    })
}

async fn steady(seed: u64) -> Result<Row> {
    let mut local = start(seed, None).await?;
    let began = Instant::now();
    let gap = Duration::from_micros(1_000_000 * TASKS / RATE);
    let count = SECONDS * RATE / TASKS;
    let submissions = (0..count).map(|number| {
        let local = &local;
        async move {
            sleep_until(began + gap * u32::try_from(number)?).await;
            let content = job(number % TEAMS as u64, "short", TASKS, 100, 100, false);
            submit(local, number, &content).await
        }
    });
    let accepted = join_all(submissions).await.into_iter().collect::<Result<Vec<_>>>()?;
    let total = (count * TASKS) as usize;
    let workers = local.workers.clone();
    within(Duration::from_secs(20), "every task has started", || {
        workers.iter().map(|worker| worker.audit().stretches.len()).sum::<usize>() >= total
    })
    .await?;
    let waits = waits(&local, &accepted)?;
    local.stop().await?;
    let baseline = append_each(seed).await?;
    let measured = waits.value_at_quantile(0.99) as f64 / 1_000.0;
    let metric = format!("p99 from acceptance to start, {RATE} placements/s, 8 VMs");
    let baseline = Some(("one append for each placement", baseline));
    Ok(Row::at_most(SCENARIO, &metric, "ms", WAIT_TARGET_MS, measured, baseline))
}

/// Returns the waiting times in microseconds, from the workers' own records.
fn waits(local: &Local, accepted: &[Accepted]) -> Result<Histogram<u64>> {
    let accepted: HashMap<u64, Instant> = accepted.iter().map(|job| (job.job, job.at)).collect();
    let mut first: BTreeMap<String, Instant> = BTreeMap::new();
    for worker in &local.workers {
        for stretch in worker.audit().stretches {
            let start = first.entry(stretch.task().to_owned()).or_insert(stretch.start);
            *start = (*start).min(stretch.start);
        }
    }
    let mut waits = Histogram::new(3)?;
    for (task, start) in first {
        let job: u64 = task.split('.').next().unwrap_or_default().parse()?;
        let Some(at) = accepted.get(&job) else { continue };
        let wait = start.saturating_duration_since(*at);
        waits.record(u64::try_from(wait.as_micros())?)?;
    }
    Ok(waits)
}

/// Measures the baseline: each placement is one append to the log service, which takes 400 a second.
async fn append_each(seed: u64) -> Result<f64> {
    let log = LogService::start(LogConfig::default(), seed).await?;
    let client = LogClient::new(log.address(), "placements", "baseline")?;
    let began = Instant::now();
    let until = began + Duration::from_secs(30);
    let appends = (0..RATE * BASELINE_SECONDS).map(|number| {
        let client = &client;
        async move {
            let planned = began + Duration::from_micros(1_000_000 * number / RATE);
            sleep_until(planned).await;
            // A refused append is tried again, as a scheduler of that kind would.
            while client.append(Bytes::from_static(&[0; 60]), until).await.is_err()
                && Instant::now() < until
            {
                sleep(Duration::from_millis(20)).await;
            }
            planned.elapsed()
        }
    });
    let mut waits: Histogram<u64> = Histogram::new(3)?;
    for wait in join_all(appends).await {
        waits.record(u64::try_from(wait.as_micros())?)?;
    }
    Ok(waits.value_at_quantile(0.99) as f64 / 1_000.0)
}

/// Measures urgent starts on a full cell, beside the same work without urgency.
async fn urgent(seed: u64) -> Result<Vec<Row>> {
    let preempting = full_cell(seed, true).await?;
    let waiting = full_cell(seed, false).await?;
    let baseline = Some(("the same work, not urgent", waiting));
    let metric = format!("slowest of {URGENT} urgent starts on a full cell");
    Ok(vec![Row::at_most(SCENARIO, &metric, "ms", URGENT_TARGET_MS, preempting, baseline)])
}

/// Returns the slowest start in milliseconds of work submitted to a full cell.
async fn full_cell(seed: u64, urgent: bool) -> Result<f64> {
    let mut local = start(seed, Some(16)).await?;
    // 16 workers of 16 cores hold 256 tasks of a core each.
    for team in 0..8 {
        submit(&local, team, &job(team, "filler", 32, 1_000, 4_000, false)).await?;
    }
    let workers = local.workers.clone();
    within(Duration::from_secs(10), "the cell is full", || {
        workers.iter().map(|worker| worker.running()).sum::<usize>() == 256
    })
    .await?;
    let accepted = join_all((0..4).map(|number| {
        let content = job(8 + number, "rush", URGENT / 4, 1_000, 100, urgent);
        let local = &local;
        async move { submit(local, number, &content).await }
    }))
    .await
    .into_iter()
    .collect::<Result<Vec<_>>>()?;
    let jobs: Vec<JobId> = accepted.iter().map(|job| JobId(job.job)).collect();
    let last = Offset(jobs.iter().map(|job| job.0).max().unwrap_or(0) / MAX_BATCH_ENTRIES as u64);
    let node = std::sync::Arc::clone(&local.nodes()[0]);
    within(Duration::from_secs(20), "the work on the full cell ends", || {
        node.with(|shared| {
            let ended = |job: &JobId| shared.state.jobs.get(*job).is_some_and(|job| job.is_ended());
            shared.state.offset >= last && jobs.iter().all(ended)
        })
    })
    .await?;
    let waits = waits(&local, &accepted)?;
    local.stop().await?;
    Ok(waits.max() as f64 / 1_000.0)
}
