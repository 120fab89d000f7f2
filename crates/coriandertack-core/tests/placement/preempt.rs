//! Guards against preempting the wrong tasks, and against granting the freed capacity to other tasks.

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
fn services_gangs_and_urgent_tasks_are_not_preempted() {
    let mut fleet = Fleet::uniform(4, PLAIN);
    for job in 1..=2 {
        let whole = spec(job, Kind::Service, PLAIN);
        fleet.pool.place(&whole, GrantPhase::Running).expect("enough capacity");
    }
    fleet.pool.place_all(&gang(3, 2, HALF), GrantPhase::Running).expect("enough capacity");
    fleet.pool.place(&urgent(4, PLAIN), GrantPhase::Running).expect("enough capacity");
    assert_eq!(fleet.pool.preempt(&urgent(5, HALF)), None);
}

#[test]
fn only_urgent_tasks_preempt() {
    let mut fleet = Fleet::uniform(1, PLAIN);
    fleet.pool.place(&spec(1, Kind::Batch, PLAIN), GrantPhase::Running).expect("enough capacity");
    assert_eq!(fleet.pool.preempt(&spec(2, Kind::Batch, HALF)), None);
}

#[test]
fn no_more_tasks_than_necessary_are_preempted() {
    let mut fleet = Fleet::uniform(1, PLAIN);
    let quarter = Resources::new(4_000, 8_192, 0);
    fleet.pool.place(&spec(1, Kind::Batch, quarter), GrantPhase::Running).expect("enough capacity");
    fleet.pool.place(&spec(2, Kind::Batch, quarter), GrantPhase::Running).expect("enough capacity");
    let large = spec(3, Kind::Batch, HALF);
    fleet.pool.place(&large, GrantPhase::Running).expect("enough capacity");
    let victims = fleet.pool.preempt(&urgent(4, HALF));
    assert_eq!(victims, Some(Victims { worker: fleet.workers[0], leases: vec![large.lease] }));
}

#[tokio::test(start_paused = true)]
async fn task_with_least_unsaved_work_is_preempted() {
    let mut fleet = Fleet::uniform(2, PLAIN);
    let long_running = spec(1, Kind::Batch, PLAIN);
    fleet.pool.place(&long_running, GrantPhase::Running).expect("enough capacity");
    advance(Duration::from_secs(600)).await;
    let recent = spec(2, Kind::Batch, PLAIN);
    fleet.pool.place(&recent, GrantPhase::Running).expect("enough capacity");
    advance(Duration::from_secs(60)).await;
    let victims = fleet.pool.preempt(&urgent(3, PLAIN)).expect("a batch task can be preempted");
    assert_eq!(victims.leases, [recent.lease]);
    fleet.pool.release(recent.lease);
    fleet.pool.grant_claims();
    advance(Duration::from_secs(60)).await;
    let newest = spec(4, Kind::Batch, PLAIN);
    assert_eq!(fleet.pool.place(&newest, GrantPhase::Running), Err(PlacementError::Full));

    // After a checkpoint, the long-running task has the least unsaved work.
    let mut fleet = Fleet::uniform(2, PLAIN);
    fleet.pool.place(&long_running, GrantPhase::Running).expect("enough capacity");
    fleet.pool.place(&recent, GrantPhase::Running).expect("enough capacity");
    advance(Duration::from_secs(60)).await;
    fleet.pool.record_checkpoint(long_running.lease, Instant::now());
    let victims = fleet.pool.preempt(&urgent(5, PLAIN)).expect("a batch task can be preempted");
    assert_eq!(victims.leases, [long_running.lease]);
}

#[test]
fn freed_capacity_is_reserved_for_the_urgent_task() {
    let mut fleet = Fleet::uniform(1, PLAIN);
    let batch: Vec<AttemptSpec> = (1..=2).map(|job| spec(job, Kind::Batch, HALF)).collect();
    for spec in &batch {
        fleet.pool.place(spec, GrantPhase::Running).expect("enough capacity");
    }
    let urgent = urgent(3, PLAIN);
    let victims = fleet.pool.preempt(&urgent).expect("a batch task can be preempted");
    assert_eq!(victims.leases.len(), 2);
    fleet.pool.release(batch[0].lease);
    assert!(fleet.pool.grant_claims().is_empty(), "half of the request is not enough to start");
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
fn second_urgent_task_gets_other_victims() {
    let mut fleet = Fleet::uniform(2, PLAIN);
    for job in 1..=2 {
        fleet
            .pool
            .place(&spec(job, Kind::Batch, PLAIN), GrantPhase::Running)
            .expect("enough capacity");
    }
    let first = fleet.pool.preempt(&urgent(3, PLAIN)).expect("a batch task can be preempted");
    let second = fleet.pool.preempt(&urgent(4, PLAIN)).expect("a batch task can be preempted");
    assert_ne!(first.worker, second.worker);
    assert_eq!(fleet.pool.preempt(&urgent(5, PLAIN)), None);
}

#[test]
fn cancelled_urgent_task_releases_its_reservation() {
    let mut fleet = Fleet::uniform(1, PLAIN);
    let batch = spec(1, Kind::Batch, HALF);
    fleet.pool.place(&batch, GrantPhase::Running).expect("enough capacity");
    let urgent = urgent(2, PLAIN);
    fleet.pool.preempt(&urgent).expect("a batch task can be preempted");
    assert_eq!(fleet.pool.summary().free, Resources::ZERO);
    fleet.pool.release(urgent.lease);
    fleet.pool.release(batch.lease);
    assert_eq!(fleet.pool.summary().free, PLAIN);
    assert!(fleet.pool.grant_claims().is_empty());
}
