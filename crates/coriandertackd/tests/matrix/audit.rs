//! Audit at the end of a cell, based on the log and on the workers' own records.

use std::collections::{BTreeMap, BTreeSet};

use {
    coriandertack_core::{
        home::TaskState,
        keys::{Offset, TaskId},
        state::State,
    },
    tokio::time::Instant,
};

use crate::{
    scenario::{KEYLESS, Outcomes},
    worker::TaskRun,
    world::{CAPACITY, World},
};

/// Returns the state after the whole log, as a new VM would compute it.
fn replay(world: &World) -> State {
    let mut state = State::default();
    for (offset, batch) in (1..).zip(world.log.batches()) {
        state.apply(Offset(offset), &batch, Instant::now());
    }
    state
}

fn charged_core_ms(state: &State) -> u64 {
    state.ledger.charges().map(|line| line.usage.core_ms).sum()
}

fn used_core_ms(world: &World) -> u64 {
    world.workers.iter().map(|worker| worker.used_core_ms()).sum()
}

/// Returns whether every job has ended, no task runs and all usage is charged.
pub fn is_finished(world: &World) -> bool {
    let state = replay(world);
    let ended = state.jobs.arena.values().all(|job| job.is_ended());
    let idle = world.workers.iter().all(|worker| worker.runs().iter().all(|run| run.end.is_some()));
    ended && idle && charged_core_ms(&state) == used_core_ms(world)
}

/// Describes the jobs and tasks that have not ended, and the usage that is not charged.
pub fn unfinished(world: &World) -> String {
    let state = replay(world);
    let open: Vec<String> = state
        .jobs
        .arena
        .values()
        .filter(|job| !job.is_ended())
        .map(|job| format!("{} {}/{}", job.spec.name, job.ends.len(), job.spec.tasks))
        .collect();
    let steps: Vec<String> = (0..crate::world::VMS)
        .filter_map(|index| world.node(index))
        .flat_map(|node| {
            node.with(|shared| {
                let tasks = shared.team_queues.tasks().map(|task| (task.spec.lease, task.state));
                let tasks = tasks.map(|(lease, step)| format!("{lease} {step:?}"));
                tasks.collect::<Vec<_>>()
            })
        })
        .collect();
    let running = world.workers.iter().flat_map(|worker| worker.runs());
    let running = running.filter(|run| run.end.is_none()).count();
    format!(
        "not finished: jobs [{}], tasks [{}], running {running}, charged {} of {} core-ms",
        open.join(", "),
        steps.join(", "),
        charged_core_ms(&state),
        used_core_ms(world),
    )
}

/// Returns every violated guarantee.
pub fn check(world: &World, outcomes: &Outcomes) -> Vec<String> {
    let mut violations = Vec::new();
    let state = replay(world);
    let results = outcomes.results.lock().expect("no panic while locked");
    for worker in world.workers.iter().filter(|worker| !worker.peak_grant().fits(CAPACITY)) {
        violations.push(format!("{} was overcommitted with {}", worker.name, worker.peak_grant()));
    }
    for task in overlapping_tasks(world) {
        violations.push(format!("two runs of task {task} overlap"));
    }
    for (job, name) in &results.accepted {
        if state.jobs.get(*job).is_none() {
            violations.push(format!("accepted job {name} is not in the log"));
        }
    }
    let keys: BTreeSet<&str> =
        state.jobs.arena.values().filter_map(|job| job.spec.key.as_deref()).collect();
    for key in results.not_run.iter().filter(|key| keys.contains(key.as_str())) {
        violations.push(format!("{key} was refused as not run, but was accepted"));
    }
    for name in KEYLESS {
        let count = state.jobs.arena.values().filter(|job| job.spec.name == name).count();
        if count > 1 {
            violations.push(format!("{name} was submitted once and accepted {count} times"));
        }
    }
    if results.reverted {
        violations.push("a VM reverted to an older version of a setting".into());
    }
    if results.interrupted {
        violations.push("running services did not survive the outage".into());
    }
    let (charged, used) = (charged_core_ms(&state), used_core_ms(world));
    if charged != used {
        violations.push(format!("charged {charged} core-ms but workers used {used}"));
    }
    let has_open_tasks = (0..crate::world::VMS).filter_map(|index| world.node(index)).any(|node| {
        node.with(|shared| shared.team_queues.tasks().any(|task| task.state != TaskState::Ending))
    });
    if has_open_tasks {
        violations.push("a home still has unfinished tasks".into());
    }
    violations
}

/// Returns the tasks that have two runs overlapping in time.
fn overlapping_tasks(world: &World) -> Vec<TaskId> {
    let mut runs: BTreeMap<TaskId, Vec<TaskRun>> = BTreeMap::new();
    for run in world.workers.iter().flat_map(|worker| worker.runs()) {
        runs.entry(run.lease.task).or_default().push(run);
    }
    let overlap = |runs: &[TaskRun]| {
        runs.windows(2).any(|pair| pair[0].end.is_none_or(|end| end > pair[1].start))
    };
    runs.iter_mut()
        .filter_map(|(task, runs)| {
            runs.sort_by_key(|run| run.start);
            overlap(runs).then_some(*task)
        })
        .collect()
}
