//! Jobs that run at given times.

use std::sync::Arc;

use coriandertack_jobs::{
    boot_time::WallTime,
    ids::{JobId, TaskId},
    progress::JobPhase,
    report::EndCause,
    spec::RepeatSchedule,
};

use crate::support::{World, job, step};

fn timed(id: u32) -> TaskId {
    TaskId { job: JobId(1), occurrence: id, step: 0, index: 0 }
}

/// Guards against starts before an occurrence is due, and against occurrences that wait for each other.
#[test]
fn occurrences_start_when_they_are_due_and_overlap() {
    let mut world = World::new(&[4]);
    let mut spec = job(vec![step(1, 1)]);
    spec.repeat = Some(RepeatSchedule { count: 3, first: WallTime(1_000), interval_ms: 500 });
    world.sched.admit(JobId(1), Arc::new(spec), None, false, world.now, WallTime(900));
    assert_eq!(world.sched.open_due_occurrences(world.now, WallTime(999)), Some(WallTime(1_000)));
    world.turn();
    assert_eq!(world.running(), 0);
    world.sched.open_due_occurrences(world.now, WallTime(1_500));
    world.turn();
    assert_eq!(world.running(), 2);
    world.sched.open_due_occurrences(world.now, WallTime(2_000));
    world.turn();
    assert_eq!(world.running(), 3);
}

/// Guards against an occurrence that ended out of order and is run again by a successor.
#[test]
fn an_occurrence_that_ended_early_stays_recorded() {
    let mut world = World::new(&[4]);
    let mut spec = job(vec![step(1, 1)]);
    spec.repeat = Some(RepeatSchedule { count: 2, first: WallTime(1_000), interval_ms: 10 });
    world.sched.admit(JobId(1), Arc::new(spec), None, false, world.now, WallTime(2_000));
    world.turn();
    world.end(timed(1), EndCause::Done);
    world.turn();
    let progress = &world.records[&JobId(1)];
    assert_eq!((progress.finished, progress.phase), (0, JobPhase::Running));
    assert!(progress.tasks.iter().any(|task| task.occurrence == 1 && task.done));
    world.end(timed(0), EndCause::Done);
    world.turn();
    assert_eq!(world.phase(1), Some(JobPhase::Completed));
}
