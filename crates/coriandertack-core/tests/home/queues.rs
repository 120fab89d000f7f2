use std::time::Duration;

use coriandertack_core::{
    home::{NoticeAction, TaskState},
    message::{EndCause, ListedTask, PlacementOutcome},
    record::{Kind, Outcome, Record},
};

use crate::support::TestHome;

/// Guards against placing more work of a team than its quota allows.
#[test]
fn pick_stays_within_the_quota() {
    let mut home = TestHome::new();
    home.submit("plan", Kind::Batch, 10, 0);
    assert_eq!(home.place().len(), 4, "four tasks of half a core fit in two cores");
    assert!(home.pick().is_empty());
}

/// Guards against quota that is not released, or released twice, when a task ends.
#[test]
fn quota_is_released_once_per_task() {
    let mut home = TestHome::new();
    home.submit("plan", Kind::Batch, 10, 0);
    let leases = home.place();
    let NoticeAction::End(end) = home.end(leases[0], EndCause::Succeeded) else {
        panic!("the task has ended");
    };
    assert_eq!(end.outcome, Outcome::Succeeded);
    home.team_queues.remove_finished(end.task);
    home.team_queues.remove_finished(end.task);
    assert_eq!(home.place().len(), 1);
}

/// Guards against retrying a failed task more or less often than its job declares.
#[test]
fn failed_task_is_retried_as_declared() {
    let mut home = TestHome::new();
    home.submit("flaky", Kind::Batch, 1, 2);
    for _ in 0..2 {
        let lease = home.place()[0];
        assert_eq!(home.end(lease, EndCause::Failed), NoticeAction::Acknowledge);
        home.now += Duration::from_secs(1);
    }
    let lease = home.place()[0];
    assert!(
        matches!(home.end(lease, EndCause::Failed), NoticeAction::End(end) if end.outcome == Outcome::Failed)
    );
}

/// Guards against preemption or lost workers using up the retries of a task.
#[test]
fn interrupted_task_keeps_its_retries() {
    let mut home = TestHome::new();
    home.submit("plan", Kind::Batch, 1, 0);
    for cause in [EndCause::Stopped, EndCause::LeaseExpired, EndCause::Refused] {
        let lease = home.place()[0];
        assert_eq!(home.end(lease, cause), NoticeAction::Acknowledge);
        home.now += Duration::from_secs(1);
    }
    let lease = home.place()[0];
    assert!(matches!(home.end(lease, EndCause::Succeeded), NoticeAction::End(_)));
}

/// Guards against applying a notice of an older attempt to the current one.
#[test]
fn notices_of_an_older_attempt_are_ignored() {
    let mut home = TestHome::new();
    home.submit("plan", Kind::Batch, 1, 5);
    let old = home.place()[0];
    home.end(old, EndCause::Failed);
    home.now += Duration::from_secs(1);
    let new = home.place()[0];
    assert!(new.attempt > old.attempt);
    assert_eq!(home.end(old, EndCause::Succeeded), NoticeAction::Acknowledge);
    assert_eq!(home.team_queues.task(new.task).unwrap().state, TaskState::Bound(home.this_vm()));
}

/// Guards against members of a gang that keep running after the attempt of another member is over.
#[test]
fn gang_restarts_as_a_whole() {
    let mut home = TestHome::new();
    home.submit("settle", Kind::Gang, 3, 0);
    let leases = home.place();
    assert_eq!(leases.len(), 3);
    assert_eq!(home.end(leases[0], EndCause::LeaseExpired), NoticeAction::Acknowledge);
    assert!(home.pick().is_empty(), "the other members have not ended");
    let stops: Vec<_> =
        home.team_queues.due_stops(home.now).into_iter().map(|(_, lease)| lease).collect();
    assert_eq!(stops.len(), 2);
    for lease in stops {
        home.end(lease, EndCause::Stopped);
    }
    home.now += Duration::from_secs(1);
    assert_eq!(home.pick().iter().map(Vec::len).collect::<Vec<_>>(), [3]);
}

/// Guards against a gang that is not offered again after it found no room.
#[test]
fn refused_gang_is_requeued() {
    let mut home = TestHome::new();
    home.submit("settle", Kind::Gang, 3, 0);
    let leases = home.pick().concat();
    for &lease in &leases {
        home.team_queues.mark_asked(lease, home.this_vm(), home.now);
    }
    home.team_queues.requeue(&leases, home.now);
    home.now += Duration::from_secs(1);
    assert_eq!(home.pick().iter().map(Vec::len).collect::<Vec<_>>(), [3]);
}

/// Guards against work that found no room and blocks the work of other classes.
#[test]
fn class_without_room_does_not_block_others() {
    let mut home = TestHome::new();
    home.submit("large", Kind::Batch, 1, 0);
    let large = home.pick()[0][0];
    home.team_queues.mark_asked(large, home.this_vm(), home.now);
    home.team_queues.handle_placement(
        large,
        home.this_vm(),
        PlacementOutcome::Full,
        home.now,
        home.now,
    );
    home.submit("small", Kind::Batch, 1, 0);
    let picked = home.pick().concat();
    assert_eq!(picked.len(), 1);
    assert_ne!(picked[0].task, large.task);
    home.now += Duration::from_secs(1);
    assert_eq!(
        home.pick().concat()[0].task,
        large.task,
        "the task is offered again after the delay"
    );
}

/// Guards against a cancelled task that starts later, or that keeps running.
#[test]
fn cancelled_job_ends_queued_and_running_tasks() {
    let mut home = TestHome::new();
    let job = home.submit("plan", Kind::Batch, 6, 0);
    let running = home.place();
    home.apply(Record::Cancel(job)).unwrap();
    home.sync();
    assert_eq!(home.team_queues.take_cancelled(home.now).len(), 2, "two tasks were queued");
    assert_eq!(home.team_queues.due_stops(home.now).len(), running.len());
    assert!(
        home.team_queues.due_stops(home.now).is_empty(),
        "a stop must not be repeated immediately"
    );
    let end = home.end(running[0], EndCause::Stopped);
    assert!(matches!(end, NoticeAction::End(end) if end.outcome == Outcome::Cancelled));
}

/// Guards against a new home that starts running tasks again, or loses tasks that do not run.
#[test]
fn recovery_adopts_running_tasks_and_queues_the_rest() {
    let mut home = TestHome::new();
    home.submit("plan", Kind::Batch, 3, 0);
    let leases = home.place();
    let gone = |_| false;
    home.team_queues.unbind_departed(gone, home.now);
    assert!(home.pick().is_empty());
    let known = ListedTask { lease: leases[1], worker: "w".into(), ended: None };
    home.now += Duration::from_secs(1);
    home.team_queues.adopt(home.this_vm(), &[known], home.now);
    let team = home.state.team_names["vans"];
    home.team_queues.finish_recovery(team, home.now, home.now);
    home.now += Duration::from_secs(1);
    let again = home.pick().concat();
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|lease| lease.task != leases[1].task));
    assert!(again.iter().all(|lease| !leases.contains(lease)), "the tasks must get new attempts");
}

/// Guards against treating an unanswered request as a refusal, which could start the task twice.
#[test]
fn unanswered_placement_waits_until_settled() {
    let mut home = TestHome::new();
    home.submit("plan", Kind::Batch, 1, 0);
    let lease = home.pick()[0][0];
    let this_vm = home.this_vm();
    home.team_queues.mark_asked(lease, this_vm, home.now);
    let until = home.now + Duration::from_secs(3);
    home.team_queues.handle_placement(lease, this_vm, PlacementOutcome::Unknown, until, home.now);
    home.now += Duration::from_secs(4);
    assert!(home.pick().is_empty());
    assert!(home.team_queues.unsettled_leases(home.now).is_empty(), "the hold-off is not over");
    home.now += Duration::from_secs(3);
    assert_eq!(home.team_queues.unsettled_leases(home.now), [(this_vm, lease)]);
    home.team_queues.settle_lease(lease, this_vm, false, home.now);
    home.now += Duration::from_secs(1);
    assert_eq!(home.pick().concat().len(), 1);
}
