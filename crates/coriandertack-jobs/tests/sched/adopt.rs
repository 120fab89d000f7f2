//! Takeover: a new leader starts from the records and the workers' lists.

use std::sync::Arc;

use coriandertack_jobs::{
    config::Config,
    ids::JobId,
    moment::{Moment, WallTime},
    replica::JobView,
    report::{EndCause, Listing},
    sched::{Order, Scheduler, WorkerKey},
    spec::JobSpec,
};

use crate::support::{BORN, World, entry, job, step, task};

/// Returns a successor that has read the records and the workers' entries.
fn successor(world: &World, spec: &JobSpec) -> (Scheduler, Vec<WorkerKey>) {
    let mut next = Scheduler::new(Arc::new(Config::default()));
    let mut keys = Vec::new();
    for number in 0..world.keys.len() {
        let name = Arc::from(format!("w{number}"));
        keys.push(next.worker_seen(&name, Arc::new(entry(4)), world.now));
    }
    let progress = world.records.get(&JobId(1));
    next.admit(JobId(1), Arc::new(spec.clone()), progress, false, world.now, WallTime(0));
    (next, keys)
}

fn starts(next: &mut Scheduler, now: Moment) -> usize {
    next.place(now);
    next.take_batch().orders.len()
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
        let listing = world.workers[old].listing(BORN);
        next.listed(*key, world.now.after(1), &listing, world.now.after(2));
    }
    assert_eq!(starts(&mut next, world.now.after(3)), 0);
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
    let empty = Listing { clock_ms: 1, born: BORN, ..Listing::default() };
    for key in keys {
        next.listed(key, world.now.after(1), &empty, world.now.after(2));
    }
    assert_eq!(starts(&mut next, world.now.after(3)), 1);
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
    assert!(worker.lease_end() >= world.now.after(8_000 + 5_000));
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
    let empty = Listing { clock_ms: 1, born: BORN, ..Listing::default() };
    next.listed(keys[0], world.now.after(1), &empty, world.now.after(2));
    next.place(world.now.after(3));
    let batch = next.take_batch();
    assert_eq!(batch.orders.len(), 1);
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
        next.worker_seen(&name, Arc::new(entry(4)), world.now);
    }
    next.admit_view(JobId(1), &view, world.now, WallTime(0));
    assert_eq!(next.open_jobs(), 0);
    view.spec = Some(Arc::new(spec));
    next.admit_view(JobId(1), &view, world.now, WallTime(0));
    assert_eq!(next.open_jobs(), 1);
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
    let listing = world.workers[&world.keys[0]].listing(BORN);
    let empty = Listing { clock_ms: 1, born: BORN, ..Listing::default() };
    next.listed(keys[0], world.now.after(1), &listing, world.now.after(2));
    next.listed(keys[1], world.now.after(1), &empty, world.now.after(2));
    let stopped: Vec<_> = next
        .take_batch()
        .orders
        .into_iter()
        .filter_map(|order| match order {
            Order::Stop { task, .. } => Some(task),
            Order::Start(_) => None,
        })
        .collect();
    assert!(listing.running.iter().all(|run| stopped.contains(&run.task)));
}
