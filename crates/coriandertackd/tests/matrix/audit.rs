//! What must hold at the end of a cell, from the log and from the workers' own records.

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
    worker::Stretch,
    world::{CAPACITY, World},
};

/// Replays the whole log, as a new VM would.
fn replay(world: &World) -> State {
    let mut state = State::default();
    for (offset, batch) in (1..).zip(world.log.batches()) {
        state.apply(Offset(offset), &batch, Instant::now());
    }
    state
}

fn charged(state: &State) -> u64 {
    state.ledger.charges().map(|line| line.usage.core_ms).sum()
}

fn used(world: &World) -> u64 {
    world.workers.iter().map(|worker| worker.used()).sum()
}

/// Tells whether every job has ended, nothing runs and all use is charged.
pub fn is_finished(world: &World) -> bool {
    let state = replay(world);
    let ended = state.jobs.arena.values().all(|job| job.is_ended());
    let idle =
        world.workers.iter().all(|worker| worker.record().iter().all(|run| run.end.is_some()));
    ended && idle && charged(&state) == used(world)
}

/// Describes what has not ended.
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
    let running = world.workers.iter().flat_map(|worker| worker.record());
    let running = running.filter(|run| run.end.is_none()).count();
    format!(
        "not finished: jobs [{}], tasks [{}], running {running}, charged {} of {}",
        open.join(", "),
        steps.join(", "),
        charged(&state),
        used(world),
    )
}

/// Returns every promise that was broken.
pub fn check(world: &World, outcomes: &Outcomes) -> Vec<String> {
    let mut wrong = Vec::new();
    let state = replay(world);
    let told = outcomes.told.lock().expect("no panic while locked");
    for worker in world.workers.iter().filter(|worker| !worker.granted().fits(CAPACITY)) {
        wrong.push(format!("{} was given {}", worker.name, worker.granted()));
    }
    for task in doubled(world) {
        wrong.push(format!("task {task} ran in two places at once"));
    }
    for (job, name) in &told.accepted {
        if state.jobs.get(*job).is_none() {
            wrong.push(format!("accepted job {name} is lost"));
        }
    }
    let keys: BTreeSet<&str> =
        state.jobs.arena.values().filter_map(|job| job.spec.key.as_deref()).collect();
    for key in told.not_run.iter().filter(|key| keys.contains(key.as_str())) {
        wrong.push(format!("{key} was refused as not run, but was accepted"));
    }
    for name in KEYLESS {
        let count = state.jobs.arena.values().filter(|job| job.spec.name == name).count();
        if count > 1 {
            wrong.push(format!("{name} was submitted once and accepted {count} times"));
        }
    }
    if told.reverted {
        wrong.push("a setting went back".into());
    }
    if told.interrupted {
        wrong.push("running services did not outlast the outage".into());
    }
    let (charged, used) = (charged(&state), used(world));
    if charged != used {
        wrong.push(format!("charged {charged} core-ms for {used} used"));
    }
    let stuck = (0..crate::world::VMS).filter_map(|index| world.node(index)).any(|node| {
        node.with(|shared| shared.team_queues.tasks().any(|task| task.state != TaskState::Ending))
    });
    if stuck {
        wrong.push("a home still holds tasks".into());
    }
    wrong
}

/// Returns the tasks of which two runs overlap in time.
fn doubled(world: &World) -> Vec<TaskId> {
    let mut runs: BTreeMap<TaskId, Vec<Stretch>> = BTreeMap::new();
    for run in world.workers.iter().flat_map(|worker| worker.record()) {
        runs.entry(run.lease.task).or_default().push(run);
    }
    let overlap = |runs: &[Stretch]| {
        runs.windows(2).any(|pair| pair[0].end.is_none_or(|end| end > pair[1].start))
    };
    runs.iter_mut()
        .filter_map(|(task, runs)| {
            runs.sort_by_key(|run| run.start);
            overlap(runs).then_some(*task)
        })
        .collect()
}
