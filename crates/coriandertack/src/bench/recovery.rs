//! Recovery from the loss of a VM, rate of appends to the log, and propagation time of a setting.

use std::{sync::Arc, time::Duration};

use {
    anyhow::{Context, Result},
    coriandertack_core::{node::Node, record::Outcome},
    coriandertack_standins::{audit, log::LogConfig},
    hyper::Method,
    serde_json::json,
    tokio::time::{Instant, sleep, sleep_until, timeout},
};

use super::row::Row;

use crate::{
    demo,
    local::{LocalDeployment, Options, wait_within},
};

const SCENARIO: &str = "recovery";

/// Target for the time until the workers of a killed VM accept new work, in seconds.
const TAKEOVER_TARGET_S: f64 = 10.0;

/// Target for the time until a setting is in force on every VM, in seconds.
const SETTING_TARGET_S: f64 = 10.0;

/// Target for the number of appends of all VMs in one second.
const APPENDS_TARGET: f64 = 300.0;

/// Task starts per second while the appends are counted.
const STARTS_PER_S: u64 = 600;

/// Length of that load, in seconds.
const LOAD_SECONDS: u64 = 5;

/// Response delay of the slow log service.
const LOG_DELAY: Duration = Duration::from_millis(500);

/// Number of tasks that run when the VM is killed.
const RUNNING_TASKS: u64 = 96;

/// Runs the scenario.
///
/// # Errors
///
/// Fails if a deployment does not start, or does not recover within a multiple of the target.
pub async fn run(seed: u64) -> Result<Vec<Row>> {
    let mut rows = kill_vm(seed).await?;
    rows.push(append_rate(seed).await?);
    rows.push(setting_propagation(seed).await?);
    Ok(rows)
}

async fn start_deployment(seed: u64) -> Result<LocalDeployment> {
    let deployment = demo::read_settings(None)?;
    let mut options = Options::for_deployment(&deployment, seed);
    options.log = LogConfig::default();
    let local = LocalDeployment::start(&deployment, &options).await?;
    let quota = json!({ "millicores": 800_000, "memory_mib": 1_600_000, "accelerators": 0 });
    for team in 0..8 {
        let path = format!("/v1/teams/team-{team}");
        let content = json!({ "quota": quota, "tokens": [] });
        local
            .operator_client(0)
            .change(Method::PUT, &path, &[("expect", "0")], Some(&content))
            .await?;
    }
    Ok(local)
}

async fn submit_job(
    local: &LocalDeployment,
    server: usize,
    team: u64,
    tasks: u64,
    run_ms: u64,
) -> Result<u64> {
    let job = json!({
        "team": format!("team-{team}"), "name": "work", "kind": "batch", "tasks": tasks,
        "need": { "millicores": 200, "memory_mib": 64 }, "run_ms": run_ms,
        "command": format!("run_ms={run_ms} use_millicores=200 use_mib=32"),
    });
    let answer =
        local.operator_client(server).change(Method::POST, "/v1/jobs", &[], Some(&job)).await?;
    answer["job"].as_u64().context("the response has no job number")
}

/// Kills a VM while tasks run, and measures the time of the takeover and the outcomes of the tasks.
async fn kill_vm(seed: u64) -> Result<Vec<Row>> {
    let mut local = start_deployment(seed).await?;
    let mut jobs = Vec::new();
    for team in 0..8 {
        jobs.push(submit_job(&local, 0, team, RUNNING_TASKS / 8, 15_000).await?);
    }
    let workers = local.workers.clone();
    wait_within(Duration::from_secs(10), "all tasks run", || {
        workers.iter().map(|worker| worker.running()).sum::<usize>() == RUNNING_TASKS as usize
    })
    .await?;
    let started = Instant::now();
    local.kill(local.entries.len() - 1).await;
    timeout(Duration::from_secs(30), local.ready())
        .await
        .context("the workers of the killed VM were not taken over within 30 s")??;
    let takeover = started.elapsed().as_secs_f64();
    let node = Arc::clone(&local.nodes()[0]);
    wait_within(Duration::from_secs(40), "every job ended", || {
        node.with(|shared| {
            let ended =
                |job: &u64| shared.state.jobs.get((*job).into()).is_some_and(|job| job.is_ended());
            jobs.iter().all(ended)
        })
    })
    .await?;
    let succeeded: usize = node.with(|shared| {
        let known = jobs.iter().filter_map(|&job| shared.state.jobs.get(job.into()));
        known.map(|job| job.count(Outcome::Succeeded)).sum()
    });
    let report = audit::check(&local.workers);
    local.stop().await?;
    let restarted = report.runs - RUNNING_TASKS as usize;
    let lost = RUNNING_TASKS as usize - succeeded;
    let lease_baseline = Some(("leases alone, 30 s", 30.0));
    Ok(vec![
        Row::at_most(
            SCENARIO,
            "killed VM's workers take new work",
            "s",
            TAKEOVER_TARGET_S,
            takeover,
            lease_baseline,
        ),
        Row::at_most(SCENARIO, "running tasks started again", "tasks", 0.0, restarted as f64, None),
        Row::at_most(SCENARIO, "running tasks without success", "tasks", 0.0, lost as f64, None),
        Row::at_most(SCENARIO, "tasks in two places", "tasks", 0.0, report.duplicated as f64, None),
    ])
}

/// Counts the appends in the busiest second at 600 starts per second.
async fn append_rate(seed: u64) -> Result<Row> {
    let mut local = start_deployment(seed).await?;
    let stream = local.entries[0].settings.common.log.stream.clone();
    let started = Instant::now();
    let count = LOAD_SECONDS * STARTS_PER_S / 10;
    let local_ref = &local;
    let submissions = (0..count).map(|number| async move {
        let gap = Duration::from_micros(10_000_000 / STARTS_PER_S);
        sleep_until(started + gap * u32::try_from(number)?).await;
        submit_job(local_ref, usize::try_from(number)? % 8, number % 8, 10, 100).await
    });
    let mut counts = Vec::new();
    let sampled = async {
        for _ in 0..LOAD_SECONDS {
            let before = local_ref.log.records(&stream).len();
            sleep(Duration::from_secs(1)).await;
            counts.push(local_ref.log.records(&stream).len() - before);
        }
    };
    let (submitted, ()) = tokio::join!(futures::future::join_all(submissions), sampled);
    submitted.into_iter().collect::<Result<Vec<_>>>()?;
    local.stop().await?;
    let busiest = counts.into_iter().max().unwrap_or(0) as f64;
    let metric = format!("appends in the busiest second at {STARTS_PER_S} starts/s");
    let baseline = Some(("one append for each placement", STARTS_PER_S as f64));
    Ok(Row::at_most(SCENARIO, &metric, "appends/s", APPENDS_TARGET, busiest, baseline))
}

/// Measures the time until a setting is in force on every VM while the log service is slow and one VM restarts.
async fn setting_propagation(seed: u64) -> Result<Row> {
    let mut local = start_deployment(seed).await?;
    local.log.set_slow(LOG_DELAY);
    let last = local.entries.len() - 1;
    local.kill(last).await;
    local.restart(last);
    let started = Instant::now();
    let content = json!({ "value": "\"warn\"" });
    let path = "/v1/settings/log.level";
    local.operator_client(0).change(Method::PUT, path, &[("expect", "0")], Some(&content)).await?;
    let in_force =
        |node: &Arc<Node>| node.with(|shared| shared.state.settings.contains_key("log.level"));
    let count = local.entries.len();
    wait_within(Duration::from_secs(60), "the setting is in force", || {
        let nodes = local.nodes();
        nodes.len() == count && nodes.iter().all(in_force)
    })
    .await?;
    let elapsed_s = started.elapsed().as_secs_f64();
    local.log.set_slow(Duration::ZERO);
    local.stop().await?;
    let metric = "setting in force on every VM, log slow by 0.5 s, one VM restarting";
    Ok(Row::at_most(SCENARIO, metric, "s", SETTING_TARGET_S, elapsed_s, None))
}
