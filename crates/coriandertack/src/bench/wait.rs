//! Waiting time from the acceptance of a task to its start, on eight VMs at 2,000 placements per second.
//!
//! A task counts as accepted when the submitter receives the response, and as started when the worker begins to
//! run it, which is later than when the VM sends the start. The second part fills the cell with batch work and
//! then submits urgent work.

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
    local::{LocalDeployment, Options, wait_within},
};

const SCENARIO: &str = "wait";

/// Placements per second of the steady load.
const PLACEMENTS_PER_S: u64 = 2_000;

/// Tasks per job. Each HTTP request submits one job.
const TASKS_PER_JOB: u64 = 10;

/// Length of the steady load, in seconds.
const LOAD_SECONDS: u64 = 8;

/// Number of teams, chosen so that every VM is the home of some.
const TEAMS: usize = 16;

/// Target for the 99th percentile of the waiting time, in milliseconds.
const WAIT_TARGET_MS: f64 = 50.0;

/// Target for the slowest urgent start, in milliseconds.
const URGENT_TARGET_MS: f64 = 1_000.0;

/// Number of urgent tasks submitted to the full cell.
const URGENT_TASKS: u64 = 32;

/// Length of the baseline's load in seconds. It is shorter because the baseline's queue grows without bound.
const BASELINE_SECONDS: u64 = 2;

/// Runs both parts of the scenario.
///
/// # Errors
///
/// Fails if a deployment does not start or a submission is refused.
pub async fn run(seed: u64) -> Result<Vec<Row>> {
    let mut rows = vec![steady_load(seed).await?];
    rows.extend(urgent_starts(seed).await?);
    Ok(rows)
}

async fn start_deployment(seed: u64, workers: Option<usize>) -> Result<LocalDeployment> {
    let deployment = demo::read_settings(None)?;
    let mut options = Options::for_deployment(&deployment, seed);
    options.workers = workers.unwrap_or(options.workers);
    options.charge_interval = Duration::from_secs(10);
    let local = LocalDeployment::start(&deployment, &options).await?;
    for team in 0..TEAMS {
        let quota = json!({ "millicores": 800_000, "memory_mib": 1_600_000, "accelerators": 0 });
        let team_path = format!("/v1/teams/team-{team}");
        let content = json!({ "quota": quota, "tokens": [] });
        local
            .operator_client(0)
            .change(Method::PUT, &team_path, &[("expect", "0")], Some(&content))
            .await?;
    }
    let nodes = local.nodes();
    wait_within(Duration::from_secs(5), "every VM knows the teams", || {
        nodes.iter().all(|node| node.with(|shared| shared.state.teams.len() == TEAMS))
    })
    .await?;
    // The rate limit per caller is raised, since this load represents many callers.
    for name in ["api.rate_per_s", "api.burst"] {
        let path = format!("/v1/settings/{name}");
        let content = json!({ "value": if name == "api.burst" { "100000" } else { "100000.0" } });
        local
            .operator_client(0)
            .change(Method::PUT, &path, &[("expect", "0")], Some(&content))
            .await?;
    }
    sleep(Duration::from_millis(200)).await;
    Ok(local)
}

/// Job with the time at which the response that accepts it arrived.
struct AcceptedJob {
    job: u64,
    accepted_at: Instant,
}

async fn submit_job(local: &LocalDeployment, number: u64, job: &Value) -> Result<AcceptedJob> {
    let server = usize::try_from(number)? % local.entries.len();
    let answer =
        local.operator_client(server).change(Method::POST, "/v1/jobs", &[], Some(job)).await?;
    let job = answer["job"].as_u64().context("the response has no job number")?;
    Ok(AcceptedJob { job, accepted_at: Instant::now() })
}

fn batch_job(
    team: u64,
    name: &str,
    tasks: u64,
    millicores: u32,
    run_ms: u64,
    urgent: bool,
) -> Value {
    json!({
        "team": format!("team-{team}"), "name": name, "kind": "batch", "tasks": tasks,
        "need": { "millicores": millicores, "memory_mib": 64 }, "run_ms": run_ms, "urgent": urgent,
        "command": format!("run_ms={run_ms} use_millicores={millicores} use_mib=32"),
    })
}

async fn steady_load(seed: u64) -> Result<Row> {
    let mut local = start_deployment(seed, None).await?;
    let started = Instant::now();
    let gap = Duration::from_micros(1_000_000 * TASKS_PER_JOB / PLACEMENTS_PER_S);
    let count = LOAD_SECONDS * PLACEMENTS_PER_S / TASKS_PER_JOB;
    let submissions = (0..count).map(|number| {
        let local = &local;
        async move {
            sleep_until(started + gap * u32::try_from(number)?).await;
            let content = batch_job(number % TEAMS as u64, "short", TASKS_PER_JOB, 100, 100, false);
            submit_job(local, number, &content).await
        }
    });
    let accepted = join_all(submissions).await.into_iter().collect::<Result<Vec<_>>>()?;
    let total = (count * TASKS_PER_JOB) as usize;
    let workers = local.workers.clone();
    wait_within(Duration::from_secs(20), "every task has started", || {
        workers.iter().map(|worker| worker.audit().runs.len()).sum::<usize>() >= total
    })
    .await?;
    let waits = waits(&local, &accepted)?;
    local.stop().await?;
    let baseline = append_per_placement(seed).await?;
    let measured = waits.value_at_quantile(0.99) as f64 / 1_000.0;
    let metric = format!("p99 from acceptance to start, {PLACEMENTS_PER_S} placements/s, 8 VMs");
    let baseline = Some(("one append for each placement", baseline));
    Ok(Row::at_most(SCENARIO, &metric, "ms", WAIT_TARGET_MS, measured, baseline))
}

/// Returns the waiting times in microseconds, with the starts that the workers recorded.
fn waits(local: &LocalDeployment, accepted: &[AcceptedJob]) -> Result<Histogram<u64>> {
    let accepted: HashMap<u64, Instant> =
        accepted.iter().map(|job| (job.job, job.accepted_at)).collect();
    let mut first: BTreeMap<String, Instant> = BTreeMap::new();
    for worker in &local.workers {
        for run in worker.audit().runs {
            let start = first.entry(run.task().to_owned()).or_insert(run.start);
            *start = (*start).min(run.start);
        }
    }
    let mut waits = Histogram::new(3)?;
    for (task, start) in first {
        let job: u64 = task.split('.').next().unwrap_or_default().parse()?;
        let Some(accepted_at) = accepted.get(&job) else { continue };
        let wait = start.saturating_duration_since(*accepted_at);
        waits.record(u64::try_from(wait.as_micros())?)?;
    }
    Ok(waits)
}

/// Measures a baseline that appends each placement separately. The log service accepts 400 appends per second.
///
/// Returns the 99th percentile of the delay in milliseconds.
async fn append_per_placement(seed: u64) -> Result<f64> {
    let log = LogService::start(LogConfig::default(), seed).await?;
    let client = LogClient::new(log.address(), "placements", "baseline")?;
    let started = Instant::now();
    let deadline = started + Duration::from_secs(30);
    let appends = (0..PLACEMENTS_PER_S * BASELINE_SECONDS).map(|number| {
        let client = &client;
        async move {
            let planned = started + Duration::from_micros(1_000_000 * number / PLACEMENTS_PER_S);
            sleep_until(planned).await;
            // A scheduler that appends each placement would retry a refused append.
            while client.append(Bytes::from_static(&[0; 60]), deadline).await.is_err()
                && Instant::now() < deadline
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

/// Measures urgent starts on a full cell, with the same work without `urgent` as the baseline.
async fn urgent_starts(seed: u64) -> Result<Vec<Row>> {
    let urgent_ms = slowest_start_on_full_cell(seed, true).await?;
    let normal_ms = slowest_start_on_full_cell(seed, false).await?;
    let baseline = Some(("the same work, not urgent", normal_ms));
    let metric = format!("slowest of {URGENT_TASKS} urgent starts on a full cell");
    Ok(vec![Row::at_most(SCENARIO, &metric, "ms", URGENT_TARGET_MS, urgent_ms, baseline)])
}

/// Submits work to a full cell and returns the longest waiting time of its tasks, in milliseconds.
async fn slowest_start_on_full_cell(seed: u64, urgent: bool) -> Result<f64> {
    let mut local = start_deployment(seed, Some(16)).await?;
    // 16 workers with 16 cores each hold 256 tasks that need one core.
    for team in 0..8 {
        submit_job(&local, team, &batch_job(team, "filler", 32, 1_000, 4_000, false)).await?;
    }
    let workers = local.workers.clone();
    wait_within(Duration::from_secs(10), "the cell is full", || {
        workers.iter().map(|worker| worker.running()).sum::<usize>() == 256
    })
    .await?;
    let accepted = join_all((0..4).map(|number| {
        let content = batch_job(8 + number, "rush", URGENT_TASKS / 4, 1_000, 100, urgent);
        let local = &local;
        async move { submit_job(local, number, &content).await }
    }))
    .await
    .into_iter()
    .collect::<Result<Vec<_>>>()?;
    let jobs: Vec<JobId> = accepted.iter().map(|job| JobId(job.job)).collect();
    let last = Offset(jobs.iter().map(|job| job.0).max().unwrap_or(0) / MAX_BATCH_ENTRIES as u64);
    let node = std::sync::Arc::clone(&local.nodes()[0]);
    wait_within(Duration::from_secs(20), "the jobs submitted to the full cell ended", || {
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
