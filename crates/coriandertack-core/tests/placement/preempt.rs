//! Guards against preemption of the wrong tasks, and against others taking the room made.

use std::time::Duration;

use {
    coriandertack_core::{
        cell::{Phase, Refusal, Victims},
        message::Ask,
        record::Kind,
        resources::Resources,
    },
    tokio::time::{Instant, advance},
};

use crate::support::{Fleet, PLAIN, ask, gang, urgent};

const HALF: Resources = Resources::new(8_000, 16_384, 0);

#[test]
fn services_gangs_and_urgent_work_are_never_victims() {
    let mut fleet = Fleet::of(4, PLAIN);
    for job in 1..=2 {
        let whole = ask(job, Kind::Service, PLAIN);
        fleet.cell.place(&whole, Phase::Running).expect("there is room");
    }
    fleet.cell.place_all(&gang(3, 2, HALF), Phase::Running).expect("there is room");
    fleet.cell.place(&urgent(4, PLAIN), Phase::Running).expect("there is room");
    assert_eq!(fleet.cell.preempt(&urgent(5, HALF)), None);
}

#[test]
fn work_that_is_not_urgent_preempts_nothing() {
    let mut fleet = Fleet::of(1, PLAIN);
    fleet.cell.place(&ask(1, Kind::Batch, PLAIN), Phase::Running).expect("there is room");
    assert_eq!(fleet.cell.preempt(&ask(2, Kind::Batch, HALF)), None);
}

#[test]
fn the_fewest_tasks_that_make_room_are_stopped() {
    let mut fleet = Fleet::of(1, PLAIN);
    let quarter = Resources::new(4_000, 8_192, 0);
    fleet.cell.place(&ask(1, Kind::Batch, quarter), Phase::Running).expect("there is room");
    fleet.cell.place(&ask(2, Kind::Batch, quarter), Phase::Running).expect("there is room");
    let large = ask(3, Kind::Batch, HALF);
    fleet.cell.place(&large, Phase::Running).expect("there is room");
    let victims = fleet.cell.preempt(&urgent(4, HALF));
    assert_eq!(victims, Some(Victims { worker: fleet.workers[0], leases: vec![large.lease] }));
}

#[tokio::test(start_paused = true)]
async fn the_task_that_loses_least_work_is_stopped() {
    let mut fleet = Fleet::of(2, PLAIN);
    let old = ask(1, Kind::Batch, PLAIN);
    fleet.cell.place(&old, Phase::Running).expect("there is room");
    advance(Duration::from_secs(600)).await;
    let young = ask(2, Kind::Batch, PLAIN);
    fleet.cell.place(&young, Phase::Running).expect("there is room");
    advance(Duration::from_secs(60)).await;
    let victims = fleet.cell.preempt(&urgent(3, PLAIN)).expect("batch work runs");
    assert_eq!(victims.leases, [young.lease]);
    fleet.cell.release(young.lease);
    fleet.cell.settle();
    advance(Duration::from_secs(60)).await;
    let younger = ask(4, Kind::Batch, PLAIN);
    assert_eq!(fleet.cell.place(&younger, Phase::Running), Err(Refusal::Full));

    // With its progress saved, the old task is cheap.
    let mut fleet = Fleet::of(2, PLAIN);
    fleet.cell.place(&old, Phase::Running).expect("there is room");
    fleet.cell.place(&young, Phase::Running).expect("there is room");
    advance(Duration::from_secs(60)).await;
    fleet.cell.checkpointed(old.lease, Instant::now());
    let victims = fleet.cell.preempt(&urgent(5, PLAIN)).expect("batch work runs");
    assert_eq!(victims.leases, [old.lease]);
}

#[test]
fn nobody_else_takes_the_room_of_the_victims() {
    let mut fleet = Fleet::of(1, PLAIN);
    let batch: Vec<Ask> = (1..=2).map(|job| ask(job, Kind::Batch, HALF)).collect();
    for ask in &batch {
        fleet.cell.place(ask, Phase::Running).expect("there is room");
    }
    let urgent = urgent(3, PLAIN);
    let victims = fleet.cell.preempt(&urgent).expect("batch work runs");
    assert_eq!(victims.leases.len(), 2);
    fleet.cell.release(batch[0].lease);
    assert!(fleet.cell.settle().is_empty(), "half of the room is not enough");
    let other = ask(4, Kind::Batch, HALF);
    assert_eq!(fleet.cell.place(&other, Phase::Running), Err(Refusal::Full));
    assert_eq!(fleet.cell.place(&urgent, Phase::Running), Err(Refusal::Duplicate));
    fleet.cell.release(batch[1].lease);
    let started = fleet.cell.settle();
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].ask.lease, urgent.lease);
    assert_eq!(fleet.cell.summary().free, Resources::ZERO);
}

#[test]
fn a_second_urgent_task_does_not_count_on_the_same_victims() {
    let mut fleet = Fleet::of(2, PLAIN);
    for job in 1..=2 {
        fleet.cell.place(&ask(job, Kind::Batch, PLAIN), Phase::Running).expect("there is room");
    }
    let first = fleet.cell.preempt(&urgent(3, PLAIN)).expect("batch work runs");
    let second = fleet.cell.preempt(&urgent(4, PLAIN)).expect("batch work runs");
    assert_ne!(first.worker, second.worker);
    assert_eq!(fleet.cell.preempt(&urgent(5, PLAIN)), None);
}

#[test]
fn a_cancelled_urgent_task_returns_what_was_kept() {
    let mut fleet = Fleet::of(1, PLAIN);
    let batch = ask(1, Kind::Batch, HALF);
    fleet.cell.place(&batch, Phase::Running).expect("there is room");
    let urgent = urgent(2, PLAIN);
    fleet.cell.preempt(&urgent).expect("batch work runs");
    assert_eq!(fleet.cell.summary().free, Resources::ZERO);
    fleet.cell.release(urgent.lease);
    fleet.cell.release(batch.lease);
    assert_eq!(fleet.cell.summary().free, PLAIN);
    assert!(fleet.cell.settle().is_empty());
}
