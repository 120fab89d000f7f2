//! Takeover: a new leader starts from the records and the workers' lists.

use std::sync::Arc;

use coriandertack_jobs::{
    boot_time::{BootTime, WallTime},
    config::Config,
    ids::JobId,
    replica::JobView,
    report::{EndCause, RunList},
    sched::{Scheduler, WorkerCommand, WorkerKey},
    spec::JobSpec,
};

use crate::support::{BORN, World, entry, job, step, task};

/// Returns a successor that has read the records and the workers' entries.
fn successor(world: &World, spec: &JobSpec) -> (Scheduler, Vec<WorkerKey>) {
    let mut next = Scheduler::new(Arc::new(Config::default()));
    let mut keys = Vec::new();
    for number in 0..world.keys.len() {
        let name = Arc::from(format!("w{number}"));
        keys.push(next.upsert_worker(&name, Arc::new(entry(4)), world.now));
    }
    let progress = world.records.get(&JobId(1));
    next.admit(JobId(1), Arc::new(spec.clone()), progress, false, world.now, WallTime(0));
    (next, keys)
}

fn starts(next: &mut Scheduler, now: BootTime) -> usize {
    next.place(now);
    next.take_batch().commands.len()
}

/// Guards against a second run of what a former leader started.
#[test]
fn a_successor_adopts_what_runs() {
    let mut world = World::new(&[4, 4]);
    let spec = job(vec![step(2, 1)]);
    world.admit(1, spec.clone());
    world.turn();
    let (mut next, keys) = successor(&world, &spec);
    assert_eq!(starts(&mut next, world.now), 0, "no worker was listed yet");
    for (key, old) in keys.iter().zip(&world.keys) {
        let run_list = world.workers[old].run_list(BORN);
        next.apply_run_list(*key, world.now.plus_ms(1), &run_list, world.now.plus_ms(2));
    }
    assert_eq!(starts(&mut next, world.now.plus_ms(3)), 0);
}

/// Guards against a task that is lost because its recorded start was never sent.
#[test]
fn a_successor_starts_what_no_worker_lists() {
    let mut world = World::new(&[4, 4]);
    let spec = job(vec![step(1, 1)]);
    world.admit(1, spec.clone());
    world.sched.place(world.now);
    let batch = world.sched.take_batch();
    world.record(&batch);
    let (mut next, keys) = successor(&world, &spec);
    let empty = RunList { clock_ms: 1, born: BORN, ..RunList::default() };
    for key in keys {
        next.apply_run_list(key, world.now.plus_ms(1), &empty, world.now.plus_ms(2));
    }
    assert_eq!(starts(&mut next, world.now.plus_ms(3)), 1);
}

/// Guards against a start elsewhere while the former leader may still renew the lease on a worker out of reach: on
/// trouble-1 of vukic-hladni, tasks on a worker with a known entry were started again at its first missing answer.
#[test]
fn a_worker_out_of_reach_keeps_the_former_leaders_leases() {
    let mut world = World::new(&[4, 4]);
    let spec = job(vec![step(1, 1)]);
    world.admit(1, spec.clone());
    world.turn();
    let (next, keys) = successor(&world, &spec);
    let holder = world.places(task(1, 0, 0))[0];
    let position = world.keys.iter().position(|key| *key == holder).unwrap();
    let worker = next.worker(keys[position]).unwrap();
    assert!(worker.lease_end() >= world.now.plus_ms(8_000 + 5_000));
}

/// Guards against a task that runs again although its end was recorded.
#[test]
fn what_is_recorded_as_done_stays_done() {
    let mut world = World::new(&[4]);
    let spec = job(vec![step(2, 1)]);
    world.admit(1, spec.clone());
    world.turn();
    world.end(task(1, 0, 0), EndCause::Done);
    world.turn();
    let (mut next, keys) = successor(&world, &spec);
    let empty = RunList { clock_ms: 1, born: BORN, ..RunList::default() };
    next.apply_run_list(keys[0], world.now.plus_ms(1), &empty, world.now.plus_ms(2));
    next.place(world.now.plus_ms(3));
    let batch = next.take_batch();
    assert_eq!(batch.commands.len(), 1);
}

/// Guards against a submission that is read after its progress: the runs were taken for strangers, and the tasks started
/// again with the same attempts.
#[test]
fn a_submission_that_is_read_late_keeps_its_progress() {
    let mut world = World::new(&[4, 4]);
    let spec = job(vec![step(1, 1)]);
    world.admit(1, spec.clone());
    world.turn();
    let progress = world.records.get(&JobId(1)).cloned().map(Arc::new);
    let mut view = JobView { progress, ..JobView::default() };
    let mut next = Scheduler::new(Arc::new(Config::default()));
    for number in 0..world.keys.len() {
        let name = Arc::from(format!("w{number}"));
        next.upsert_worker(&name, Arc::new(entry(4)), world.now);
    }
    next.admit_from_replica(JobId(1), &view, world.now, WallTime(0));
    assert_eq!(next.open_job_count(), 0);
    view.spec = Some(Arc::new(spec));
    next.admit_from_replica(JobId(1), &view, world.now, WallTime(0));
    assert_eq!(next.open_job_count(), 1);
    assert_eq!(starts(&mut next, world.now), 0, "the run is adopted, not started again");
}

/// Guards against a gang of which a successor adopts a part.
#[test]
fn a_successor_stops_the_rest_of_a_broken_gang() {
    let mut world = World::new(&[4, 4]);
    let mut gang = step(6, 1);
    gang.gang = true;
    let spec = job(vec![gang]);
    world.admit(1, spec.clone());
    world.turn();
    let (mut next, keys) = successor(&world, &spec);
    let run_list = world.workers[&world.keys[0]].run_list(BORN);
    let empty = RunList { clock_ms: 1, born: BORN, ..RunList::default() };
    next.apply_run_list(keys[0], world.now.plus_ms(1), &run_list, world.now.plus_ms(2));
    next.apply_run_list(keys[1], world.now.plus_ms(1), &empty, world.now.plus_ms(2));
    let stopped: Vec<_> = next
        .take_batch()
        .commands
        .into_iter()
        .filter_map(|command| match command {
            WorkerCommand::Stop { task, .. } => Some(task),
            WorkerCommand::Start(_) => None,
        })
        .collect();
    assert!(run_list.running.iter().all(|run| stopped.contains(&run.task)));
}
