use std::time::Duration;

use coriandertack_core::{
    home::{NoticeAction, TaskState},
    message::{EndCause, ListedTask, PlacementOutcome},
    record::{Kind, Outcome, Record},
};

use crate::support::Bed;

/// Guards against a team that holds more than its quota.
#[test]
fn a_pick_keeps_to_the_quota() {
    let mut bed = Bed::new();
    bed.submit("plan", Kind::Batch, 10, 0);
    assert_eq!(bed.place().len(), 4, "four tasks of half a core fit two cores");
    assert!(bed.pick().is_empty());
}

/// Guards against quota that is not returned, or returned twice, when a task ends.
#[test]
fn an_end_frees_the_quota_once() {
    let mut bed = Bed::new();
    bed.submit("plan", Kind::Batch, 10, 0);
    let leases = bed.place();
    let NoticeAction::End(end) = bed.end(leases[0], EndCause::Succeeded) else {
        panic!("the task has ended");
    };
    assert_eq!(end.outcome, Outcome::Succeeded);
    bed.team_queues.remove_finished(end.task);
    bed.team_queues.remove_finished(end.task);
    assert_eq!(bed.place().len(), 1);
}

/// Guards against a failed task that is tried more or less often than was asked.
#[test]
fn a_failed_task_is_tried_as_often_as_asked() {
    let mut bed = Bed::new();
    bed.submit("flaky", Kind::Batch, 1, 2);
    for _ in 0..2 {
        let lease = bed.place()[0];
        assert_eq!(bed.end(lease, EndCause::Failed), NoticeAction::Acknowledge);
        bed.now += Duration::from_secs(1);
    }
    let lease = bed.place()[0];
    assert!(
        matches!(bed.end(lease, EndCause::Failed), NoticeAction::End(end) if end.outcome == Outcome::Failed)
    );
}

/// Guards against an interrupted task whose retries are used up by preemption or lost workers.
#[test]
fn a_stopped_task_keeps_its_retries() {
    let mut bed = Bed::new();
    bed.submit("plan", Kind::Batch, 1, 0);
    for cause in [EndCause::Stopped, EndCause::LeaseExpired, EndCause::Refused] {
        let lease = bed.place()[0];
        assert_eq!(bed.end(lease, cause), NoticeAction::Acknowledge);
        bed.now += Duration::from_secs(1);
    }
    let lease = bed.place()[0];
    assert!(matches!(bed.end(lease, EndCause::Succeeded), NoticeAction::End(_)));
}

/// Guards against news of an older attempt that is taken for the present one.
#[test]
fn news_of_an_older_attempt_changes_nothing() {
    let mut bed = Bed::new();
    bed.submit("plan", Kind::Batch, 1, 5);
    let old = bed.place()[0];
    bed.end(old, EndCause::Failed);
    bed.now += Duration::from_secs(1);
    let new = bed.place()[0];
    assert!(new.attempt > old.attempt);
    assert_eq!(bed.end(old, EndCause::Succeeded), NoticeAction::Acknowledge);
    assert_eq!(bed.team_queues.task(new.task).unwrap().state, TaskState::Bound(bed.me()));
}

/// Guards against a gang of which a part runs on after a member is over.
#[test]
fn a_gang_starts_again_as_a_whole() {
    let mut bed = Bed::new();
    bed.submit("settle", Kind::Gang, 3, 0);
    let leases = bed.place();
    assert_eq!(leases.len(), 3);
    assert_eq!(bed.end(leases[0], EndCause::LeaseExpired), NoticeAction::Acknowledge);
    assert!(bed.pick().is_empty(), "the others have not ended");
    let stops: Vec<_> =
        bed.team_queues.due_stops(bed.now).into_iter().map(|(_, lease)| lease).collect();
    assert_eq!(stops.len(), 2);
    for lease in stops {
        bed.end(lease, EndCause::Stopped);
    }
    bed.now += Duration::from_secs(1);
    assert_eq!(bed.pick().iter().map(Vec::len).collect::<Vec<_>>(), [3]);
}

/// Guards against a gang that found no room and is never offered again.
#[test]
fn a_refused_gang_is_queued_again() {
    let mut bed = Bed::new();
    bed.submit("settle", Kind::Gang, 3, 0);
    let leases = bed.pick().concat();
    for &lease in &leases {
        bed.team_queues.mark_asked(lease, bed.me(), bed.now);
    }
    bed.team_queues.requeue(&leases, bed.now);
    bed.now += Duration::from_secs(1);
    assert_eq!(bed.pick().iter().map(Vec::len).collect::<Vec<_>>(), [3]);
}

/// Guards against a full owner that blocks work of other classes.
#[test]
fn work_without_room_blocks_no_other_class() {
    let mut bed = Bed::new();
    bed.submit("large", Kind::Batch, 1, 0);
    let large = bed.pick()[0][0];
    bed.team_queues.mark_asked(large, bed.me(), bed.now);
    bed.team_queues.handle_placement(large, bed.me(), PlacementOutcome::Full, bed.now, bed.now);
    bed.submit("small", Kind::Batch, 1, 0);
    let picked = bed.pick().concat();
    assert_eq!(picked.len(), 1);
    assert_ne!(picked[0].task, large.task);
    bed.now += Duration::from_secs(1);
    assert_eq!(bed.pick().concat()[0].task, large.task, "it is offered again");
}

/// Guards against a cancelled task that starts later, and against one that runs on.
#[test]
fn a_cancelled_job_ends_where_it_is() {
    let mut bed = Bed::new();
    let job = bed.submit("plan", Kind::Batch, 6, 0);
    let running = bed.place();
    bed.apply(Record::Cancel(job)).unwrap();
    bed.sync();
    assert_eq!(bed.team_queues.take_cancelled(bed.now).len(), 2, "two tasks were queued");
    assert_eq!(bed.team_queues.due_stops(bed.now).len(), running.len());
    assert!(bed.team_queues.due_stops(bed.now).is_empty(), "a stop is not repeated at once");
    let end = bed.end(running[0], EndCause::Stopped);
    assert!(matches!(end, NoticeAction::End(end) if end.outcome == Outcome::Cancelled));
}

/// Guards against a new home that starts what runs, or forgets what does not.
#[test]
fn recovery_adopts_what_runs_and_queues_the_rest() {
    let mut bed = Bed::new();
    bed.submit("plan", Kind::Batch, 3, 0);
    let leases = bed.place();
    let gone = |_| false;
    bed.team_queues.unbind_departed(gone, bed.now);
    assert!(bed.pick().is_empty());
    let known = ListedTask { lease: leases[1], worker: "w".into(), ended: None };
    bed.now += Duration::from_secs(1);
    bed.team_queues.adopt(bed.me(), &[known], bed.now);
    let team = bed.state.team_names["vans"];
    bed.team_queues.finish_recovery(team, bed.now, bed.now);
    bed.now += Duration::from_secs(1);
    let again = bed.pick().concat();
    assert_eq!(again.len(), 2);
    assert!(again.iter().all(|lease| lease.task != leases[1].task));
    assert!(again.iter().all(|lease| !leases.contains(lease)), "attempts are new");
}

/// Guards against an unanswered request that is taken for a refusal.
#[test]
fn an_unanswered_placement_waits_until_it_is_settled() {
    let mut bed = Bed::new();
    bed.submit("plan", Kind::Batch, 1, 0);
    let lease = bed.pick()[0][0];
    let me = bed.me();
    bed.team_queues.mark_asked(lease, me, bed.now);
    let until = bed.now + Duration::from_secs(3);
    bed.team_queues.handle_placement(lease, me, PlacementOutcome::Unknown, until, bed.now);
    bed.now += Duration::from_secs(4);
    assert!(bed.pick().is_empty());
    assert!(bed.team_queues.unsettled_leases(bed.now).is_empty(), "the hold-off is not over");
    bed.now += Duration::from_secs(3);
    assert_eq!(bed.team_queues.unsettled_leases(bed.now), [(me, lease)]);
    bed.team_queues.settle_lease(lease, me, false, bed.now);
    bed.now += Duration::from_secs(1);
    assert_eq!(bed.pick().concat().len(), 1);
}
