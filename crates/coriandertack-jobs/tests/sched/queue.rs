//! The order in which waiting steps are served.

use coriandertack_jobs::{config::Route, spec::JobSpec};

use crate::support::{World, route, spec, step, task};

/// Returns a job of one task that takes a whole worker, of the route with this priority. With an estimate of 1 s its
/// objective is 3 s.
fn whole(priority: u32) -> JobSpec {
    spec(Route { priority, ..route() }, vec![step(1, 4)])
}

/// Submits jobs at the given ages while the only worker is busy, and tells which one is started when it is free.
fn first_of(jobs: &[(u64, u32)]) -> usize {
    let mut world = World::new(&[4]);
    world.admit(1, whole(0));
    world.turn();
    let oldest = jobs.iter().map(|(age, _)| *age).max().unwrap_or(0);
    let end = world.now.plus_ms(oldest + 1);
    let mut command: Vec<(usize, &(u64, u32))> = jobs.iter().enumerate().collect();
    command.sort_by_key(|(_, (age, _))| std::cmp::Reverse(*age));
    for (number, (age, priority)) in command {
        world.now = coriandertack_jobs::boot_time::BootTime(end.0 - age);
        world.admit(10 + number as u64, whole(*priority));
    }
    world.now = end;
    world.end(task(1, 0, 0), coriandertack_jobs::report::EndCause::Done);
    world.turn();
    let runs = |number: &usize| !world.places(task(10 + *number as u64, 0, 0)).is_empty();
    (0..jobs.len()).find(runs).expect("a job runs")
}

/// Guards against urgent jobs that wait behind all others once they are late: on ancfcc-sales-grown trouble-2 they waited for 4 s
/// although work with seconds to spare was started meanwhile.
#[test]
fn late_urgent_work_comes_before_work_that_can_wait() {
    // The estimate of the second is long, so that it has seconds to spare.
    let mut world = World::new(&[4]);
    world.admit(1, whole(0));
    world.turn();
    world.admit(10, whole(0));
    world.now = world.now.plus_ms(2_500);
    let mut long = step(1, 4);
    long.estimate_ms = 10_000;
    world.admit(11, spec(Route { priority: 2, ..route() }, vec![long]));
    world.end(task(1, 0, 0), coriandertack_jobs::report::EndCause::Done);
    world.turn();
    assert_eq!(world.places(task(10, 0, 0)).len(), 1);
}

/// Guards against work in time that is made late by work that is late already.
#[test]
fn late_work_comes_after_work_in_time() {
    assert_eq!(first_of(&[(2_500, 1), (100, 1)]), 1);
    assert_eq!(first_of(&[(2_500, 1), (100, 2)]), 1);
    assert_eq!(first_of(&[(2_500, 0), (100, 0)]), 1);
}

/// Guards against urgent work that waits behind work of a lower priority, when both are in time.
#[test]
fn urgent_work_comes_first() {
    assert_eq!(first_of(&[(500, 1), (100, 0)]), 1);
}

/// Guards against work that earns nothing any more and holds up work that does.
#[test]
fn expired_work_comes_last() {
    assert_eq!(first_of(&[(9_000, 0), (2_500, 1)]), 1);
}
