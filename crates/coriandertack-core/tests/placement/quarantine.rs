//! Guards against placing tasks on workers where every task fails, and against quarantining healthy workers.

use std::{sync::Arc, time::Duration};

use {
    coriandertack_core::{
        message::EndCause,
        pool::{
            GrantPhase, MAX_QUICK_FAILURE, MAX_TRIAL_DELAY, MIN_TRIAL_DELAY, PlacementError,
            QuarantineChange,
        },
        record::Kind,
        resources::Resources,
    },
    tokio::time::{Instant, advance},
};

use crate::support::{Fleet, PLAIN, spec};

const CORE: Resources = Resources::new(1_000, 1_024, 0);

fn class(name: &str) -> Arc<str> {
    name.into()
}

fn record_failure(fleet: &mut Fleet, at: usize, name: &str) -> QuarantineChange {
    let worker = fleet.workers[at];
    fleet.pool.record_end(worker, &class(name), EndCause::Failed, 50, Instant::now())
}

fn quarantine(fleet: &mut Fleet, at: usize) -> Instant {
    record_failure(fleet, at, "a.one");
    record_failure(fleet, at, "a.two");
    match record_failure(fleet, at, "a.three") {
        QuarantineChange::Quarantined(until) => until,
        other => panic!("expected a quarantine, got {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn quick_failures_of_different_classes_quarantine_a_worker() {
    let mut fleet = Fleet::uniform(1, PLAIN);
    assert_eq!(quarantine(&mut fleet, 0), Instant::now() + MIN_TRIAL_DELAY);
    let refused = fleet.pool.place(&spec(1, Kind::Batch, CORE), GrantPhase::Running);
    assert_eq!(refused, Err(PlacementError::Full));
    assert_eq!(fleet.pool.summary().workers, 0);
}

#[tokio::test(start_paused = true)]
async fn failures_of_one_class_quarantine_no_worker() {
    let mut fleet = Fleet::uniform(1, PLAIN);
    for _ in 0..10 {
        assert_eq!(record_failure(&mut fleet, 0, "a.bad"), QuarantineChange::Unchanged);
    }
    let mut fleet = Fleet::uniform(3, PLAIN);
    for _ in 0..10 {
        for at in 0..3 {
            assert_eq!(record_failure(&mut fleet, at, "a.bad"), QuarantineChange::Unchanged);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn classes_that_fail_on_all_workers_quarantine_none() {
    let mut fleet = Fleet::uniform(20, PLAIN);
    for _ in 0..5 {
        for at in 0..20 {
            record_failure(&mut fleet, at, "a.bad");
            record_failure(&mut fleet, at, "a.worse");
        }
    }
    let quarantined =
        fleet.workers.iter().filter(|&&worker| fleet.pool.is_quarantined(worker)).count();
    assert_eq!(quarantined, 0);
}

#[tokio::test(start_paused = true)]
async fn success_resets_the_failure_count() {
    let mut fleet = Fleet::uniform(1, PLAIN);
    for _ in 0..5 {
        record_failure(&mut fleet, 0, "a.one");
        record_failure(&mut fleet, 0, "a.two");
        let worker = fleet.workers[0];
        fleet.pool.record_end(worker, &class("a.good"), EndCause::Succeeded, 50, Instant::now());
    }
    assert!(!fleet.pool.is_quarantined(fleet.workers[0]));
}

#[tokio::test(start_paused = true)]
async fn only_quick_failures_count() {
    let mut fleet = Fleet::uniform(1, PLAIN);
    let (worker, now) = (fleet.workers[0], Instant::now());
    for name in ["a.one", "a.two", "a.three", "a.four"] {
        fleet.pool.record_end(worker, &class(name), EndCause::Failed, 3_600_000, now);
        fleet.pool.record_end(worker, &class(name), EndCause::Stopped, 5, now);
        fleet.pool.record_end(worker, &class(name), EndCause::OutOfMemory, 5, now);
        fleet.pool.record_end(worker, &class(name), EndCause::LeaseExpired, 5, now);
    }
    assert!(!fleet.pool.is_quarantined(worker));
}

#[tokio::test(start_paused = true)]
async fn quarantined_worker_gets_one_trial_and_is_released_on_success() {
    let mut fleet = Fleet::uniform(1, PLAIN);
    let until = quarantine(&mut fleet, 0);
    advance(until - Instant::now()).await;
    let refused = fleet.pool.place(&spec(1, Kind::Service, CORE), GrantPhase::Running);
    assert_eq!(refused, Err(PlacementError::Full), "a service must not serve as a trial");
    let trial = spec(2, Kind::Batch, CORE);
    let worker = fleet.pool.place(&trial, GrantPhase::Running).expect("the trial is due");
    let second = fleet.pool.place(&spec(3, Kind::Batch, CORE), GrantPhase::Running);
    assert_eq!(second, Err(PlacementError::Full), "only one trial runs at a time");
    fleet.pool.release(trial.lease);
    let report =
        fleet.pool.record_end(worker, &trial.class, EndCause::Succeeded, 50, Instant::now());
    assert_eq!(report, QuarantineChange::Released);
    fleet
        .pool
        .place(&spec(4, Kind::Service, CORE), GrantPhase::Running)
        .expect("the quarantine is over");
}

#[tokio::test(start_paused = true)]
async fn failed_trials_double_the_delay_up_to_an_hour() {
    let mut fleet = Fleet::uniform(1, PLAIN);
    let mut until = quarantine(&mut fleet, 0);
    let mut delays = Vec::new();
    for job in 0..9 {
        advance(until - Instant::now()).await;
        let trial = spec(job, Kind::Batch, CORE);
        let worker = fleet.pool.place(&trial, GrantPhase::Running).expect("the trial is due");
        fleet.pool.release(trial.lease);
        match fleet.pool.record_end(worker, &trial.class, EndCause::Failed, 50, Instant::now()) {
            QuarantineChange::Quarantined(next) => until = next,
            other => panic!("expected a quarantine, got {other:?}"),
        }
        delays.push(until - Instant::now());
    }
    let expected = [60, 120, 240, 480, 960, 1_920, 3_600, 3_600, 3_600];
    assert_eq!(delays, expected.map(Duration::from_secs));
    assert_eq!(delays.last(), Some(&MAX_TRIAL_DELAY));
}

#[tokio::test(start_paused = true)]
async fn long_running_trial_ends_the_quarantine() {
    let mut fleet = Fleet::uniform(1, PLAIN);
    let until = quarantine(&mut fleet, 0);
    advance(until - Instant::now()).await;
    let trial = spec(1, Kind::Batch, CORE);
    fleet.pool.place(&trial, GrantPhase::Running).expect("the trial is due");
    advance(MAX_QUICK_FAILURE / 2).await;
    fleet.pool.expire_holds(Instant::now());
    assert!(fleet.pool.is_quarantined(fleet.workers[0]));
    advance(MAX_QUICK_FAILURE / 2).await;
    fleet.pool.expire_holds(Instant::now());
    fleet
        .pool
        .place(&spec(2, Kind::Service, CORE), GrantPhase::Running)
        .expect("the quarantine is over");
}
