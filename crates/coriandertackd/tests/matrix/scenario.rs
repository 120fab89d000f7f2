//! The scenario that passes through every step, and the injection of the fault.

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

/// Step of the scenario at which the fault is injected. `MATRIX_CELL` selects steps by the names of the variants.
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

/// Answers to submissions, and violations seen while the scenario runs.
#[derive(Default)]
pub struct Results {
    /// Names of the jobs that were reported as accepted.
    pub accepted: BTreeMap<JobId, String>,
    /// Keys of the submissions that were reported as not run.
    pub not_run: Vec<String>,
    /// Whether the version of the setting ever decreased at a VM.
    pub reverted: bool,
    /// Whether an outage of the log interrupted running services.
    pub interrupted: bool,
}

/// Results that the tasks of the scenario share.
pub struct Outcomes {
    pub results: Mutex<Results>,
    number: Mutex<u64>,
}

/// Longest time in which all work must end after the fault is repaired.
const END_TIMEOUT: Duration = Duration::from_secs(600);

/// Names of the jobs that are submitted once and without a key.
pub const KEYLESS: [&str; 2] = ["settle", "flaky"];

/// Runs one cell and returns the violations found.
pub async fn run(fault: Fault, step: Step, seed: u64) -> Vec<String> {
    let world = World::start(seed).await;
    world.create_team("vans").await;
    world.create_team("herders").await;
    sleep(Duration::from_secs(1)).await;
    let outcomes = Arc::new(Outcomes { results: Mutex::default(), number: Mutex::new(0) });
    let watcher = tokio::spawn(watch_setting(world.clone(), Arc::clone(&outcomes)));
    let target = world.home_of("vans");
    let injector = tokio::spawn(inject(world.clone(), Arc::clone(&outcomes), fault, step, target));
    run_scenario(&world, &outcomes, step, target).await;
    let limit = if fault == Fault::LogDownForAnHour { 4_000 } else { 120 };
    if timeout(Duration::from_secs(limit), injector).await.is_err() {
        return vec!["the step was not reached, or its fault was not repaired in time".into()];
    }
    let mut violations = finish(&world, &outcomes).await;
    watcher.abort();
    violations.extend(audit::check(&world, &outcomes));
    violations
}

/// Waits for the step and then injects the fault, after a random delay of up to 30 ms.
async fn inject(world: World, outcomes: Arc<Outcomes>, fault: Fault, step: Step, target: usize) {
    while !is_reached(&world, step) {
        sleep(Duration::from_millis(1)).await;
    }
    sleep(world.random(Duration::from_millis(30))).await;
    fault.inject(&world, target, &outcomes).await;
}

fn is_reached(world: &World, step: Step) -> bool {
    let logged =
        |test: fn(&Record) -> bool| world.log.entries().iter().any(|entry| test(&entry.record));
    let runs = || world.workers.iter().flat_map(|worker| worker.runs());
    match step {
        // The scenario submits, cancels, configures and hands over at its own times. It starts with a submission.
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

/// Runs the scenario: submissions, changes of a setting, a cancellation and, for its step, a planned stop.
async fn run_scenario(world: &World, outcomes: &Arc<Outcomes>, step: Step, target: usize) {
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
    // The cancellation is repeated until it succeeds, as an operator would.
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

/// Submits a job once and records the answer.
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
        // Without a key, only the sequence number of the batch prevents a second acceptance.
        key: (!KEYLESS.contains(&name)).then(|| key.clone()),
    };
    let answer = world.submit(index, spec).await;
    let mut results = outcomes.results.lock().expect("no panic while locked");
    match answer {
        Some(Ok(job)) => {
            results.accepted.insert(job, name.into());
            Some(job)
        }
        Some(Err(code)) if code.guarantees_not_run() && code != Code::Fenced => {
            results.not_run.push(key);
            None
        }
        _ => None,
    }
}

/// Submits a job that fits on no worker, bypassing the check of the resource API, and cancels it after 30 s.
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
            .results
            .lock()
            .expect("no panic while locked")
            .accepted
            .insert(job, "impossible".into());
        sleep(Duration::from_secs(30)).await;
        cancel(world, index, job).await;
    }
}

/// Records whether the version in effect at a VM ever decreases.
async fn watch_setting(world: World, outcomes: Arc<Outcomes>) {
    let mut highest = [Version(0); VMS];
    loop {
        for (index, highest) in highest.iter_mut().enumerate() {
            let Some(node) = world.node(index).filter(|node| node.is_valid()) else { continue };
            let version = node.with(|shared| {
                shared.state.settings.get("api.burst").map_or(Version(0), |setting| setting.version)
            });
            if version < *highest {
                outcomes.results.lock().expect("no panic while locked").reverted = true;
            }
            *highest = version;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// Cancels the services, and waits until every job has ended and all usage is charged.
async fn finish(world: &World, outcomes: &Outcomes) -> Vec<String> {
    world.wait_until_serving().await;
    // Jobs are taken from the state, because some were accepted although their submitter got no answer.
    let Some(node) = world.any_serving(0) else { return vec!["no VM is serving".into()] };
    let to_cancel: Vec<JobId> = node.with(|shared| {
        let jobs = shared.state.jobs.arena.values();
        let services = jobs.filter(|job| job.spec.kind == Kind::Service || job.spec.name == "wave");
        services.map(|job| job.id).collect()
    });
    for job in to_cancel {
        cancel(world, 0, job).await;
    }
    let ended = async {
        while !audit::is_finished(world) {
            sleep(Duration::from_millis(200)).await;
        }
    };
    if timeout(END_TIMEOUT, ended).await.is_err() {
        return vec![audit::unfinished(world)];
    }
    let _ = outcomes;
    Vec::new()
}
