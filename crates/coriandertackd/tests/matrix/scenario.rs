//! The scenario that passes through every step.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use {
    coriandertack_core::{
        code::Code,
        home,
        keys::{JobId, Version},
        record::{JobSpec, Kind, Record, SettingChange},
        resources::Resources,
    },
    tokio::time::{sleep, timeout},
};

use crate::{
    audit,
    faults::Fault,
    world::{self, VMS, World},
};

/// Where a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Submit,
    Accept,
    Bind,
    Start,
    Renew,
    Finish,
    Charge,
    Cancel,
    Configure,
    HandOver,
}

impl Step {
    pub const ALL: &[Self] = &[
        Self::Submit,
        Self::Accept,
        Self::Bind,
        Self::Start,
        Self::Renew,
        Self::Finish,
        Self::Charge,
        Self::Cancel,
        Self::Configure,
        Self::HandOver,
    ];
}

/// What submitters were told.
#[derive(Default)]
pub struct Told {
    /// Jobs accepted, with their names.
    pub accepted: BTreeMap<JobId, String>,
    /// Keys of submissions that were refused as not run.
    pub not_run: Vec<String>,
    /// Whether a version of the setting went back at some VM.
    pub reverted: bool,
    /// Whether running services were interrupted by an outage of the log.
    pub interrupted: bool,
}

/// What the scenario has seen so far.
pub struct Outcomes {
    pub told: Mutex<Told>,
    number: Mutex<u64>,
}

/// The longest that everything may take to end after the last fault.
const LIMIT: Duration = Duration::from_secs(600);

/// Jobs that are submitted once, without a key.
pub const KEYLESS: [&str; 2] = ["settle", "flaky"];

/// Runs one cell and returns what was wrong at the end.
pub async fn run(fault: Fault, step: Step, seed: u64) -> Vec<String> {
    let world = World::start(seed).await;
    world.create_team("vans").await;
    world.create_team("herders").await;
    sleep(Duration::from_secs(1)).await;
    let outcomes = Arc::new(Outcomes { told: Mutex::default(), number: Mutex::new(0) });
    let watcher = tokio::spawn(watch_settings(world.clone(), Arc::clone(&outcomes)));
    let target = world.home_of("vans");
    let striker = tokio::spawn(strike(world.clone(), Arc::clone(&outcomes), fault, step, target));
    work(&world, &outcomes, step, target).await;
    let limit = if fault == Fault::LogDownForAnHour { 4_000 } else { 120 };
    if timeout(Duration::from_secs(limit), striker).await.is_err() {
        return vec!["the step was not reached".into()];
    }
    let mut wrong = finish(&world, &outcomes).await;
    watcher.abort();
    wrong.extend(audit::check(&world, &outcomes));
    wrong
}

/// Waits for the step and lets the fault strike.
async fn strike(world: World, outcomes: Arc<Outcomes>, fault: Fault, step: Step, target: usize) {
    while !is_reached(&world, step) {
        sleep(Duration::from_millis(1)).await;
    }
    sleep(world.random(Duration::from_millis(30))).await;
    fault.strike(&world, target, &outcomes).await;
}

fn is_reached(world: &World, step: Step) -> bool {
    let logged =
        |wanted: fn(&Record) -> bool| world.log.entries().iter().any(|entry| wanted(&entry.record));
    let runs = || world.workers.iter().flat_map(|worker| worker.record());
    match step {
        // The driver of the scenario submits, cancels, configures and hands over at its own times.
        Step::Submit => true,
        Step::Accept => logged(|record| matches!(record, Record::Accept(_))),
        Step::Bind => (0..VMS).filter_map(|index| world.node(index)).any(|node| {
            let bound = |task: &home::Task| {
                matches!(task.state, home::TaskState::Asked(_) | home::TaskState::Bound(_))
            };
            node.with(|shared| shared.team_queues.tasks().any(bound))
        }),
        Step::Start => runs().next().is_some(),
        Step::Renew => runs().any(|run| run.start.elapsed() > Duration::from_secs(4)),
        Step::Finish => runs().any(|run| run.end.is_some()),
        Step::Charge => logged(|record| matches!(record, Record::Usage(_))),
        Step::Cancel => logged(|record| matches!(record, Record::Cancel(_))),
        Step::Configure => logged(|record| matches!(record, Record::Setting(_))),
        Step::HandOver => logged(|record| matches!(record, Record::Leave)),
    }
}

/// Submits work, configures, cancels and stops a VM as planned.
async fn work(world: &World, outcomes: &Arc<Outcomes>, step: Step, target: usize) {
    let other = (target + 1) % VMS;
    let batch = "run_ms=8000";
    submit(world, other, outcomes, "plan", Kind::Batch, 6, batch).await;
    submit(world, target, outcomes, "settle", Kind::Gang, 3, "run_ms=6000").await;
    let service = submit(world, other, outcomes, "confirm", Kind::Service, 3, "").await;
    submit(world, other, outcomes, "flaky", Kind::Batch, 3, "run_ms=1500 fail=0.3").await;
    configure(world, other, 1).await;
    sleep(Duration::from_secs(14)).await;
    if let Some(service) = service {
        cancel(world, other, service).await;
    }
    if step == Step::HandOver {
        let leaving = (target + 2) % VMS;
        world::stop_vm(world, leaving).await;
        sleep(Duration::from_secs(6)).await;
        world.start_vm(leaving);
    }
    sleep(Duration::from_secs(5)).await;
    submit(world, other, outcomes, "late", Kind::Batch, 4, "run_ms=1000").await;
    configure(world, target, 2).await;
}

async fn configure(world: &World, index: usize, value: u64) {
    let Some(node) = world.node(index) else { return };
    let seen = node.with(|shared| {
        shared.state.settings.get("api.burst").map_or(Version(0), |setting| setting.version)
    });
    let change =
        SettingChange { name: "api.burst".into(), expect: seen, value: Some(value.to_string()) };
    let changed = node.submit_one("operator", Record::Setting(change));
    let _ = timeout(Duration::from_secs(30), changed).await;
}

async fn cancel(world: &World, index: usize, job: JobId) {
    // An operator repeats a cancellation until it is answered.
    for _ in 0..60 {
        if let Some(node) = world.node(index).or_else(|| world.any_serving(index)) {
            let cancelled = node.submit_one("operator", Record::Cancel(job));
            if let Ok(Ok(_)) = timeout(Duration::from_secs(15), cancelled).await {
                return;
            }
        }
        sleep(Duration::from_secs(1)).await;
    }
}

/// Submits a job once and notes what the submitter is told.
pub async fn submit(
    world: &World,
    index: usize,
    outcomes: &Outcomes,
    name: &str,
    kind: Kind,
    tasks: u32,
    command: &str,
) -> Option<JobId> {
    let key = {
        let mut number = outcomes.number.lock().expect("no panic while locked");
        *number += 1;
        format!("{name}-{number}")
    };
    let spec = JobSpec {
        team: if kind == Kind::Gang { "herders".into() } else { "vans".into() },
        name: name.into(),
        kind,
        tasks,
        need: Resources::new(500, 256, 0),
        run_ms: 0,
        urgent: false,
        retries: 20,
        command: command.into(),
        // Without a key, only the number of the batch keeps a job from being accepted twice.
        key: (!KEYLESS.contains(&name)).then(|| key.clone()),
    };
    let answer = world.submit(index, spec).await;
    let mut told = outcomes.told.lock().expect("no panic while locked");
    match answer {
        Some(Ok(job)) => {
            told.accepted.insert(job, name.into());
            Some(job)
        }
        Some(Err(code)) if code.guarantees_not_run() && code != Code::Fenced => {
            told.not_run.push(key);
            None
        }
        _ => None,
    }
}

/// Submits a job that fits nowhere, past the check of the resource API, and cancels it at the end.
pub async fn submit_impossible(world: &World, index: usize, outcomes: &Outcomes) {
    let spec = JobSpec {
        team: "vans".into(),
        name: "impossible".into(),
        kind: Kind::Batch,
        tasks: 2,
        need: Resources::new(8_000, 256, 0),
        run_ms: 0,
        urgent: false,
        retries: 0,
        command: "run_ms=100".into(),
        key: None,
    };
    if let Some(Ok(job)) = world.submit(index, spec).await {
        outcomes
            .told
            .lock()
            .expect("no panic while locked")
            .accepted
            .insert(job, "impossible".into());
        sleep(Duration::from_secs(30)).await;
        cancel(world, index, job).await;
    }
}

/// Notes whether the version in force at a VM ever goes back.
async fn watch_settings(world: World, outcomes: Arc<Outcomes>) {
    let mut highest = [Version(0); VMS];
    loop {
        for (index, highest) in highest.iter_mut().enumerate() {
            let Some(node) = world.node(index).filter(|node| node.is_valid()) else { continue };
            let version = node.with(|shared| {
                shared.state.settings.get("api.burst").map_or(Version(0), |setting| setting.version)
            });
            if version < *highest {
                outcomes.told.lock().expect("no panic while locked").reverted = true;
            }
            *highest = version;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Waits until every accepted job has ended and all use is charged.
async fn finish(world: &World, outcomes: &Outcomes) -> Vec<String> {
    world.serving().await;
    // Accepted work whose submitter was not told ends as well; services are cancelled.
    let Some(node) = world.any_serving(0) else { return vec!["no VM serves".into()] };
    let open: Vec<JobId> = node.with(|shared| {
        let jobs = shared.state.jobs.arena.values();
        let services = jobs.filter(|job| job.spec.kind == Kind::Service || job.spec.name == "wave");
        services.map(|job| job.id).collect()
    });
    for job in open {
        cancel(world, 0, job).await;
    }
    let ended = async {
        while !audit::is_finished(world) {
            sleep(Duration::from_millis(200)).await;
        }
    };
    if timeout(LIMIT, ended).await.is_err() {
        return vec![audit::unfinished(world)];
    }
    let _ = outcomes;
    Vec::new()
}
