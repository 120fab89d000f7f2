//! Workers of different speed.

use coriandertack_jobs::{config::Route, report::EndCause, sched::WorkerKey};

use crate::support::{World, job, route, spec, step, task};

const RUN_MS: u64 = 1_000;

/// Returns a world of six workers of which the first is 1.3 times as slow as the others, as thirty steps have shown.
fn world_with_a_slow_worker() -> (World, WorkerKey) {
    let mut world = World::new(&[4; 6]);
    let slow = world.keys[0];
    for id in 1..=30 {
        let mut spread = step(6, 1);
        spread.spread = 1;
        world.admit(id, job(vec![spread]));
        world.turn();
        let late: Vec<u32> = (0..6).filter(|n| world.places(task(id, 0, *n)) == [slow]).collect();
        world.now = world.now.plus_ms(RUN_MS);
        for index in (0..6).filter(|index| !late.contains(index)) {
            world.end(task(id, 0, index), EndCause::Done);
        }
        world.now = world.now.plus_ms(RUN_MS * 3 / 10);
        for index in late {
            world.end(task(id, 0, index), EndCause::Done);
        }
        world.turn();
    }
    (world, slow)
}

/// Guards against an urgent job that is late because one of its tasks is on a slow worker.
#[test]
fn urgent_tasks_go_to_quick_workers() {
    let (mut world, slow) = world_with_a_slow_worker();
    world.admit(100, spec(Route { priority: 0, ..route() }, vec![step(20, 1)]));
    world.turn();
    for index in 0..20 {
        assert_ne!(world.places(task(100, 0, index)), [slow]);
    }
}

/// Guards against a gang that runs at the speed of one slow worker.
#[test]
fn gangs_go_to_quick_workers() {
    let (mut world, slow) = world_with_a_slow_worker();
    let mut gang = step(20, 1);
    gang.gang = true;
    world.admit(100, spec(Route { priority: 1, ..route() }, vec![gang]));
    world.turn();
    assert_eq!(world.running(), 20);
    for index in 0..20 {
        assert_ne!(world.places(task(100, 0, index)), [slow]);
    }
}

/// Guards against work that can wait on the quick workers, which urgent tasks and gangs need.
#[test]
fn work_that_can_wait_goes_to_slow_workers() {
    let (mut world, slow) = world_with_a_slow_worker();
    world.admit(100, spec(Route { priority: 2, ..route() }, vec![step(4, 1)]));
    world.turn();
    for index in 0..4 {
        assert_eq!(world.places(task(100, 0, index)), [slow]);
    }
}
