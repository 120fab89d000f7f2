//! Recovery from the loss of a VM, the rate of appends, and the time until a configuration is in force.

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
    local::{Local, Options, within},
};

const SCENARIO: &str = "recovery";

/// Bound on the time until a killed VM's workers take new work.
const TAKEOVER_TARGET_S: f64 = 10.0;

/// Bound on the time until a configuration is in force everywhere.
const SETTING_TARGET_S: f64 = 10.0;

/// Bound on the appends of all VMs in one second.
const APPENDS_TARGET: f64 = 300.0;

/// Starts per second while the appends are counted.
const STARTS: u64 = 600;

/// Length of that load.
const SECONDS: u64 = 5;

/// Time that a slow log service takes for an answer.
const SLOW: Duration = Duration::from_millis(500);

/// Tasks that run while a VM is killed.
const RUNNING: u64 = 96;

/// Runs the scenario.
///
/// # Errors
///
/// Fails if a deployment does not start, or does not recover within some multiple of the bound.
pub async fn run(seed: u64) -> Result<Vec<Row>> {
    let mut rows = lose_vm(seed).await?;
    rows.push(appends(seed).await?);
    rows.push(setting(seed).await?);
    Ok(rows)
}

async fn start(seed: u64) -> Result<Local> {
    let deployment = demo::read(None)?;
    let mut options = Options::of(&deployment, seed);
    options.log = LogConfig::default();
    let local = Local::start(&deployment, &options).await?;
    let quota = json!({ "millicores": 800_000, "memory_mib": 1_600_000, "accelerators": 0 });
    for team in 0..8 {
        let path = format!("/v1/teams/team-{team}");
        let content = json!({ "quota": quota, "tokens": [] });
        local.operator(0).change(Method::PUT, &path, &[("expect", "0")], Some(&content)).await?;
    }
    Ok(local)
}

async fn submit(local: &Local, server: usize, team: u64, tasks: u64, run_ms: u64) -> Result<u64> {
    let job = json!({
        "team": format!("team-{team}"), "name": "work", "kind": "batch", "tasks": tasks,
        "need": { "millicores": 200, "memory_mib": 64 }, "run_ms": run_ms,
        "command": format!("run_ms={run_ms} use_millicores=200 use_mib=32"),
    });
    let answer = local.operator(server).change(Method::POST, "/v1/jobs", &[], Some(&job)).await?;
    answer["job"].as_u64().context("no job in the answer")
}

/// Kills a VM while tasks run, and checks what becomes of them.
async fn lose_vm(seed: u64) -> Result<Vec<Row>> {
    let mut local = start(seed).await?;
    let mut jobs = Vec::new();
    for team in 0..8 {
        jobs.push(submit(&local, 0, team, RUNNING / 8, 15_000).await?);
    }
    let workers = local.workers.clone();
    within(Duration::from_secs(10), "tasks run", || {
        workers.iter().map(|worker| worker.running()).sum::<usize>() == RUNNING as usize
    })
    .await?;
    let began = Instant::now();
    local.kill(local.entries.len() - 1).await;
    timeout(Duration::from_secs(30), local.ready()).await.context("no takeover in 30 s")??;
    let takeover = began.elapsed().as_secs_f64();
    let node = Arc::clone(&local.nodes()[0]);
    within(Duration::from_secs(40), "every task ends", || {
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
    let again = report.runs - RUNNING as usize;
    let lost = RUNNING as usize - succeeded;
    let lease = Some(("leases alone, 30 s", 30.0));
    Ok(vec![
        Row::at_most(
            SCENARIO,
            "killed VM's workers take new work",
            "s",
            TAKEOVER_TARGET_S,
            takeover,
            lease,
        ),
        Row::at_most(SCENARIO, "running tasks started again", "tasks", 0.0, again as f64, None),
        Row::at_most(SCENARIO, "running tasks without success", "tasks", 0.0, lost as f64, None),
        Row::at_most(SCENARIO, "tasks in two places", "tasks", 0.0, report.duplicated as f64, None),
    ])
}

/// Counts the appends of the busiest second at 600 starts/s.
async fn appends(seed: u64) -> Result<Row> {
    let mut local = start(seed).await?;
    let stream = local.entries[0].settings.common.log.stream.clone();
    let began = Instant::now();
    let count = SECONDS * STARTS / 10;
    let local_ref = &local;
    let submissions = (0..count).map(|number| async move {
        let gap = Duration::from_micros(10_000_000 / STARTS);
        sleep_until(began + gap * u32::try_from(number)?).await;
        submit(local_ref, usize::try_from(number)? % 8, number % 8, 10, 100).await
    });
    let mut counts = Vec::new();
    let sampled = async {
        for _ in 0..SECONDS {
            let before = local_ref.log.records(&stream).len();
            sleep(Duration::from_secs(1)).await;
            counts.push(local_ref.log.records(&stream).len() - before);
        }
    };
    let (submitted, ()) = tokio::join!(futures::future::join_all(submissions), sampled);
    submitted.into_iter().collect::<Result<Vec<_>>>()?;
    local.stop().await?;
    let most = counts.into_iter().max().unwrap_or(0) as f64;
    let metric = format!("appends in the busiest second at {STARTS} starts/s");
    let baseline = Some(("one append for each placement", STARTS as f64));
    Ok(Row::at_most(SCENARIO, &metric, "appends/s", APPENDS_TARGET, most, baseline))
}

/// Measures the time until a setting is in force on every VM, with the log slow and one VM restarting.
async fn setting(seed: u64) -> Result<Row> {
    let mut local = start(seed).await?;
    local.log.set_slow(SLOW);
    let last = local.entries.len() - 1;
    local.kill(last).await;
    local.restart(last);
    let began = Instant::now();
    let content = json!({ "value": "\"warn\"" });
    let path = "/v1/settings/log.level";
    local.operator(0).change(Method::PUT, path, &[("expect", "0")], Some(&content)).await?;
    let in_force =
        |node: &Arc<Node>| node.with(|shared| shared.state.settings.contains_key("log.level"));
    let count = local.entries.len();
    within(Duration::from_secs(60), "the setting is in force", || {
        let nodes = local.nodes();
        nodes.len() == count && nodes.iter().all(in_force)
    })
    .await?;
    let took = began.elapsed().as_secs_f64();
    local.log.set_slow(Duration::ZERO);
    local.stop().await?;
    let metric = "setting in force on every VM, log slow by 0.5 s, one VM restarting";
    Ok(Row::at_most(SCENARIO, metric, "s", SETTING_TARGET_S, took, None))
}
