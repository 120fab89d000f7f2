//! Tasks that share workers: labels, racks, limits, response targets.

use coriandertack_jobs::spec::StepSpec;

use crate::support::{World, job, step, task};

fn serving() -> StepSpec {
    let mut serving = step(1, 1);
    serving.lasting = true;
    serving.target_ms = 50;
    serving
}

fn filling(count: u32) -> StepSpec {
    let mut filling = step(count, 2);
    filling.fills = true;
    filling
}

/// Guards against tasks that fill beside a task whose response target they would break.
#[test]
fn tasks_that_fill_stay_away_from_tasks_that_serve() {
    let mut world = World::new(&[4, 4]);
    world.admit(1, job(vec![serving()]));
    world.turn();
    let holder = world.places(task(1, 0, 0))[0];
    world.admit(2, job(vec![filling(6)]));
    world.turn();
    for index in 0..6 {
        assert_ne!(world.places(task(2, 0, index)), [holder]);
    }
    world.admit(3, job(vec![serving(), serving()]));
    world.turn();
    assert_eq!(world.places(task(3, 0, 0)), [holder]);
}

/// Guards against processor time of tasks that fill which counts against the worker's capacity.
#[test]
fn tasks_that_fill_leave_the_capacity_to_others() {
    let mut world = World::new(&[4]);
    world.admit(1, job(vec![filling(3)]));
    world.turn();
    world.admit(2, job(vec![step(4, 1)]));
    world.turn();
    assert_eq!(world.running(), 7);
}

/// Guards against a start on a worker without the label that the step demands.
#[test]
fn a_label_is_demanded() {
    let mut world = World::new(&[4]);
    let mut labelled = step(1, 1);
    labelled.label = Some("gpu".into());
    world.admit(1, job(vec![labelled.clone()]));
    world.turn();
    assert_eq!(world.running(), 0);
    labelled.label = Some("a".into());
    world.admit(2, job(vec![labelled]));
    world.turn();
    assert_eq!(world.running(), 1);
}

/// Guards against more tasks of a step on one worker than it allows.
#[test]
fn a_spread_limit_is_kept() {
    let mut world = World::new(&[8, 8]);
    let mut spread = step(5, 1);
    spread.spread = 2;
    world.admit(1, job(vec![spread]));
    world.turn();
    assert_eq!(world.running(), 4);
    world.turn();
    assert_eq!(world.running(), 4);
}

/// Guards against a lasting task that is stopped because it makes no further progress.
#[test]
fn a_lasting_task_is_not_taken_for_stalled() {
    let mut world = World::new(&[4]);
    world.admit(1, job(vec![serving()]));
    world.turn();
    world.list_all();
    world.now = world.now.plus_ms(10_000);
    world.list_all();
    world.turn();
    assert!(world.stops.is_empty());
}
