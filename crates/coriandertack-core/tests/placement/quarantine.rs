//! Guards against work for workers that fail everything, and against closing sound workers.

use std::{sync::Arc, time::Duration};

use {
    coriandertack_core::{
        cell::{FIRST_DELAY, LAST_DELAY, Phase, QUICK, Refusal, Report},
        message::EndCause,
        record::Kind,
        resources::Resources,
    },
    tokio::time::{Instant, advance},
};

use crate::support::{Fleet, PLAIN, ask};

const CORE: Resources = Resources::new(1_000, 1_024, 0);

fn class(name: &str) -> Arc<str> {
    name.into()
}

fn fail(fleet: &mut Fleet, at: usize, name: &str) -> Report {
    let worker = fleet.workers[at];
    fleet.cell.report(worker, &class(name), EndCause::Failed, 50, Instant::now())
}

fn close(fleet: &mut Fleet, at: usize) -> Instant {
    fail(fleet, at, "a.one");
    fail(fleet, at, "a.two");
    match fail(fleet, at, "a.three") {
        Report::Closed(until) => until,
        other => panic!("not closed: {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn quick_failures_of_different_classes_close_a_worker() {
    let mut fleet = Fleet::of(1, PLAIN);
    assert_eq!(close(&mut fleet, 0), Instant::now() + FIRST_DELAY);
    let refused = fleet.cell.place(&ask(1, Kind::Batch, CORE), Phase::Running);
    assert_eq!(refused, Err(Refusal::Full));
    assert_eq!(fleet.cell.summary().workers, 0);
}

#[tokio::test(start_paused = true)]
async fn one_bad_class_closes_no_worker() {
    let mut fleet = Fleet::of(1, PLAIN);
    for _ in 0..10 {
        assert_eq!(fail(&mut fleet, 0, "a.bad"), Report::Kept);
    }
    let mut fleet = Fleet::of(3, PLAIN);
    for _ in 0..10 {
        for at in 0..3 {
            assert_eq!(fail(&mut fleet, at, "a.bad"), Report::Kept);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn two_bad_classes_that_fail_everywhere_close_few_workers() {
    let mut fleet = Fleet::of(20, PLAIN);
    for _ in 0..5 {
        for at in 0..20 {
            fail(&mut fleet, at, "a.bad");
            fail(&mut fleet, at, "a.worse");
        }
    }
    let closed = fleet.workers.iter().filter(|&&worker| fleet.cell.is_quarantined(worker)).count();
    assert_eq!(closed, 0);
}

#[tokio::test(start_paused = true)]
async fn a_success_breaks_the_row() {
    let mut fleet = Fleet::of(1, PLAIN);
    for _ in 0..5 {
        fail(&mut fleet, 0, "a.one");
        fail(&mut fleet, 0, "a.two");
        let worker = fleet.workers[0];
        fleet.cell.report(worker, &class("a.good"), EndCause::Succeeded, 50, Instant::now());
    }
    assert!(!fleet.cell.is_quarantined(fleet.workers[0]));
}

#[tokio::test(start_paused = true)]
async fn long_runs_and_stops_are_no_quick_failures() {
    let mut fleet = Fleet::of(1, PLAIN);
    let (worker, now) = (fleet.workers[0], Instant::now());
    for name in ["a.one", "a.two", "a.three", "a.four"] {
        fleet.cell.report(worker, &class(name), EndCause::Failed, 3_600_000, now);
        fleet.cell.report(worker, &class(name), EndCause::Stopped, 5, now);
        fleet.cell.report(worker, &class(name), EndCause::OutOfMemory, 5, now);
        fleet.cell.report(worker, &class(name), EndCause::LeaseExpired, 5, now);
    }
    assert!(!fleet.cell.is_quarantined(worker));
}

#[tokio::test(start_paused = true)]
async fn a_closed_worker_gets_a_single_trial_and_opens_on_success() {
    let mut fleet = Fleet::of(1, PLAIN);
    let until = close(&mut fleet, 0);
    advance(until - Instant::now()).await;
    let refused = fleet.cell.place(&ask(1, Kind::Service, CORE), Phase::Running);
    assert_eq!(refused, Err(Refusal::Full), "a service is no trial");
    let trial = ask(2, Kind::Batch, CORE);
    let worker = fleet.cell.place(&trial, Phase::Running).expect("the trial is due");
    let second = fleet.cell.place(&ask(3, Kind::Batch, CORE), Phase::Running);
    assert_eq!(second, Err(Refusal::Full), "only one trial at a time");
    fleet.cell.release(trial.lease);
    let report = fleet.cell.report(worker, &trial.class, EndCause::Succeeded, 50, Instant::now());
    assert_eq!(report, Report::Opened);
    fleet.cell.place(&ask(4, Kind::Service, CORE), Phase::Running).expect("it is open again");
}

#[tokio::test(start_paused = true)]
async fn failed_trials_double_the_delay_up_to_an_hour() {
    let mut fleet = Fleet::of(1, PLAIN);
    let mut until = close(&mut fleet, 0);
    let mut delays = Vec::new();
    for job in 0..9 {
        advance(until - Instant::now()).await;
        let trial = ask(job, Kind::Batch, CORE);
        let worker = fleet.cell.place(&trial, Phase::Running).expect("the trial is due");
        fleet.cell.release(trial.lease);
        match fleet.cell.report(worker, &trial.class, EndCause::Failed, 50, Instant::now()) {
            Report::Closed(next) => until = next,
            other => panic!("not closed: {other:?}"),
        }
        delays.push(until - Instant::now());
    }
    let expected = [60, 120, 240, 480, 960, 1_920, 3_600, 3_600, 3_600];
    assert_eq!(delays, expected.map(Duration::from_secs));
    assert_eq!(delays.last(), Some(&LAST_DELAY));
}

#[tokio::test(start_paused = true)]
async fn a_trial_that_runs_for_long_opens_the_worker() {
    let mut fleet = Fleet::of(1, PLAIN);
    let until = close(&mut fleet, 0);
    advance(until - Instant::now()).await;
    let trial = ask(1, Kind::Batch, CORE);
    fleet.cell.place(&trial, Phase::Running).expect("the trial is due");
    advance(QUICK / 2).await;
    fleet.cell.expire(Instant::now());
    assert!(fleet.cell.is_quarantined(fleet.workers[0]));
    advance(QUICK / 2).await;
    fleet.cell.expire(Instant::now());
    fleet.cell.place(&ask(2, Kind::Service, CORE), Phase::Running).expect("it is open again");
}
