//! Gangs: one attempt, one checkpoint, one end.

use coriandertack_jobs::{progress::JobPhase, report::EndCause};

use crate::support::{World, job, step, task};

fn gang(count: u32, cores: u32) -> coriandertack_jobs::spec::StepSpec {
    let mut gang = step(count, cores);
    gang.gang = true;
    gang
}

/// Guards against a part of a gang that waits for the rest and ends alone.
#[test]
fn a_gang_starts_as_a_whole_or_not_at_all() {
    let mut world = World::new(&[4, 4]);
    world.admit(1, job(vec![gang(9, 1)]));
    world.turn();
    assert_eq!(world.running(), 0);
    let mut world = World::new(&[4, 4]);
    world.admit(1, job(vec![gang(8, 1)]));
    world.turn();
    assert_eq!(world.running(), 8);
}

/// Guards against a gang whose other members are started again after one of them is done.
#[test]
fn one_end_is_the_end_of_all() {
    let mut world = World::new(&[4]);
    world.admit(1, job(vec![gang(3, 1)]));
    world.turn();
    world.end(task(1, 0, 1), EndCause::Done);
    world.turn();
    assert_eq!(world.phase(1), Some(JobPhase::Completed));
    assert_eq!(world.starts.len(), 3);
}

/// Guards against members with different attempts after one was lost.
#[test]
fn a_broken_gang_starts_again_with_one_attempt() {
    let mut world = World::new(&[4]);
    world.admit(1, job(vec![gang(3, 1)]));
    world.turn();
    world.end(task(1, 0, 0), EndCause::Lapsed);
    world.turn();
    world.list_all();
    world.turn();
    let again: Vec<u32> = world.starts.iter().skip(3).map(|start| start.attempt).collect();
    assert_eq!(again, [2, 2, 2]);
}

/// Guards against a gang whose failure counts once for each member.
#[test]
fn a_failure_of_a_gang_counts_once() {
    let mut world = World::new(&[4]);
    world.admit(1, job(vec![gang(2, 1)]));
    world.turn();
    world.end(task(1, 0, 0), EndCause::Failed);
    world.end(task(1, 0, 1), EndCause::Failed);
    world.turn();
    assert_eq!(world.phase(1), Some(JobPhase::Running));
    assert_eq!(world.running(), 2);
}

/// Guards against small work that takes every core that a gang waits for.
#[test]
fn a_waiting_gang_reserves_its_workers() {
    let mut world = World::new(&[4, 4]);
    for id in 10..18 {
        world.admit(id, job(vec![step(1, 1)]));
    }
    world.turn();
    assert_eq!(world.running(), 8);
    world.admit(1, job(vec![gang(4, 1)]));
    world.turn();
    world.now = world.now.plus_ms(500);
    for id in 20..28 {
        world.admit(id, job(vec![step(1, 1)]));
    }
    for id in 10..18 {
        world.end(task(id, 0, 0), EndCause::Done);
        world.turn();
    }
    assert_eq!(world.places(task(1, 0, 0)).len(), 1);
}
