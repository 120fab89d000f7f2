//! Guards against preemption of the wrong tasks, and against others taking the room made.

use std::time::Duration;

use {
    coriandertack_core::{
        message::AttemptSpec,
        pool::{GrantPhase, PlacementError, Victims},
        record::Kind,
        resources::Resources,
    },
    tokio::time::{Instant, advance},
};

use crate::support::{Fleet, PLAIN, gang, spec, urgent};

const HALF: Resources = Resources::new(8_000, 16_384, 0);

#[test]
fn services_gangs_and_urgent_work_are_never_victims() {
    let mut fleet = Fleet::of(4, PLAIN);
    for job in 1..=2 {
        let whole = spec(job, Kind::Service, PLAIN);
        fleet.pool.place(&whole, GrantPhase::Running).expect("there is room");
    }
    fleet.pool.place_all(&gang(3, 2, HALF), GrantPhase::Running).expect("there is room");
    fleet.pool.place(&urgent(4, PLAIN), GrantPhase::Running).expect("there is room");
    assert_eq!(fleet.pool.preempt(&urgent(5, HALF)), None);
}

#[test]
fn work_that_is_not_urgent_preempts_nothing() {
    let mut fleet = Fleet::of(1, PLAIN);
    fleet.pool.place(&spec(1, Kind::Batch, PLAIN), GrantPhase::Running).expect("there is room");
    assert_eq!(fleet.pool.preempt(&spec(2, Kind::Batch, HALF)), None);
}

#[test]
fn the_fewest_tasks_that_make_room_are_stopped() {
    let mut fleet = Fleet::of(1, PLAIN);
    let quarter = Resources::new(4_000, 8_192, 0);
    fleet.pool.place(&spec(1, Kind::Batch, quarter), GrantPhase::Running).expect("there is room");
    fleet.pool.place(&spec(2, Kind::Batch, quarter), GrantPhase::Running).expect("there is room");
    let large = spec(3, Kind::Batch, HALF);
    fleet.pool.place(&large, GrantPhase::Running).expect("there is room");
    let victims = fleet.pool.preempt(&urgent(4, HALF));
    assert_eq!(victims, Some(Victims { worker: fleet.workers[0], leases: vec![large.lease] }));
}

#[tokio::test(start_paused = true)]
async fn the_task_that_loses_least_work_is_stopped() {
    let mut fleet = Fleet::of(2, PLAIN);
    let old = spec(1, Kind::Batch, PLAIN);
    fleet.pool.place(&old, GrantPhase::Running).expect("there is room");
    advance(Duration::from_secs(600)).await;
    let young = spec(2, Kind::Batch, PLAIN);
    fleet.pool.place(&young, GrantPhase::Running).expect("there is room");
    advance(Duration::from_secs(60)).await;
    let victims = fleet.pool.preempt(&urgent(3, PLAIN)).expect("batch work runs");
    assert_eq!(victims.leases, [young.lease]);
    fleet.pool.release(young.lease);
    fleet.pool.grant_claims();
    advance(Duration::from_secs(60)).await;
    let younger = spec(4, Kind::Batch, PLAIN);
    assert_eq!(fleet.pool.place(&younger, GrantPhase::Running), Err(PlacementError::Full));

    // With its progress saved, the old task is cheap.
    let mut fleet = Fleet::of(2, PLAIN);
    fleet.pool.place(&old, GrantPhase::Running).expect("there is room");
    fleet.pool.place(&young, GrantPhase::Running).expect("there is room");
    advance(Duration::from_secs(60)).await;
    fleet.pool.record_checkpoint(old.lease, Instant::now());
    let victims = fleet.pool.preempt(&urgent(5, PLAIN)).expect("batch work runs");
    assert_eq!(victims.leases, [old.lease]);
}

#[test]
fn nobody_else_takes_the_room_of_the_victims() {
    let mut fleet = Fleet::of(1, PLAIN);
    let batch: Vec<AttemptSpec> = (1..=2).map(|job| spec(job, Kind::Batch, HALF)).collect();
    for spec in &batch {
        fleet.pool.place(spec, GrantPhase::Running).expect("there is room");
    }
    let urgent = urgent(3, PLAIN);
    let victims = fleet.pool.preempt(&urgent).expect("batch work runs");
    assert_eq!(victims.leases.len(), 2);
    fleet.pool.release(batch[0].lease);
    assert!(fleet.pool.grant_claims().is_empty(), "half of the room is not enough");
    let other = spec(4, Kind::Batch, HALF);
    assert_eq!(fleet.pool.place(&other, GrantPhase::Running), Err(PlacementError::Full));
    assert_eq!(fleet.pool.place(&urgent, GrantPhase::Running), Err(PlacementError::Duplicate));
    fleet.pool.release(batch[1].lease);
    let started = fleet.pool.grant_claims();
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].spec.lease, urgent.lease);
    assert_eq!(fleet.pool.summary().free, Resources::ZERO);
}

#[test]
fn a_second_urgent_task_does_not_count_on_the_same_victims() {
    let mut fleet = Fleet::of(2, PLAIN);
    for job in 1..=2 {
        fleet
            .pool
            .place(&spec(job, Kind::Batch, PLAIN), GrantPhase::Running)
            .expect("there is room");
    }
    let first = fleet.pool.preempt(&urgent(3, PLAIN)).expect("batch work runs");
    let second = fleet.pool.preempt(&urgent(4, PLAIN)).expect("batch work runs");
    assert_ne!(first.worker, second.worker);
    assert_eq!(fleet.pool.preempt(&urgent(5, PLAIN)), None);
}

#[test]
fn a_cancelled_urgent_task_returns_what_was_kept() {
    let mut fleet = Fleet::of(1, PLAIN);
    let batch = spec(1, Kind::Batch, HALF);
    fleet.pool.place(&batch, GrantPhase::Running).expect("there is room");
    let urgent = urgent(2, PLAIN);
    fleet.pool.preempt(&urgent).expect("batch work runs");
    assert_eq!(fleet.pool.summary().free, Resources::ZERO);
    fleet.pool.release(urgent.lease);
    fleet.pool.release(batch.lease);
    assert_eq!(fleet.pool.summary().free, PLAIN);
    assert!(fleet.pool.grant_claims().is_empty());
}
