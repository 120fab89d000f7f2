//! Tests of the control task of a worker against the stand-in worker, in virtual time.

mod chaos;
mod setup;

use std::time::Duration;

use {
    coriandertack_core::{
        message::{EndCause, WorkerCommand, WorkerEvent},
        record::{Entry, Record},
    },
    coriandertack_workers::update::{ExitReason, WorkerUpdate},
    tokio::time::{Instant, sleep},
};

use setup::{Fixture, lease};

/// Guards against a start that never runs and an end that is never reported.
#[tokio::test(start_paused = true)]
async fn start_runs_and_end_is_reported() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    assert_eq!(task.next_list().await, Vec::new());
    task.send(fixture.start_command(lease(1, 0), "run_ms=200"));
    assert_eq!(task.next_event().await, WorkerEvent::Started(lease(1, 0)));
    let (cause, run_ms) = task.end_of(lease(1, 0)).await;
    assert_eq!((cause, run_ms), (EndCause::Succeeded, 200));
}

/// Guards against tasks that end because their leases are not renewed, and leases that outlive the
/// control task that renews them.
#[tokio::test(start_paused = true)]
async fn leases_are_renewed_while_owned() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    task.send(fixture.start_command(lease(1, 0), ""));
    sleep(Duration::from_secs(200)).await;
    assert_eq!(fixture.worker.running(), 1);
    task.abort().await;
    sleep(Duration::from_secs(31)).await;
    assert_eq!(fixture.worker.running(), 0);
}

/// Guards against an outage of the log that ends running tasks, and against starts without a valid
/// copy of the state.
#[tokio::test(start_paused = true)]
async fn outage_keeps_tasks_and_drops_starts() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    task.send(fixture.start_command(lease(1, 0), ""));
    assert_eq!(task.next_event().await, WorkerEvent::Started(lease(1, 0)));
    fixture.stop_log_reads();
    sleep(Duration::from_secs(120)).await;
    assert_eq!(fixture.worker.running(), 1);
    task.send(fixture.start_command(lease(2, 0), ""));
    assert_eq!(task.end_of(lease(2, 0)).await.0, EndCause::LeaseExpired);
    assert_eq!(fixture.worker.audit().runs.len(), 1);
}

/// Guards against renewals without end while the log stays down.
#[tokio::test(start_paused = true)]
async fn renewals_end_after_the_outage_limit() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    task.send(fixture.start_command(lease(1, 0), ""));
    assert_eq!(task.next_event().await, WorkerEvent::Started(lease(1, 0)));
    fixture.stop_log_reads();
    sleep(Duration::from_secs(2 * 60 * 60 - 60)).await;
    assert_eq!(fixture.worker.running(), 1);
    sleep(Duration::from_secs(120)).await;
    assert_eq!(fixture.worker.running(), 0);
}

/// Guards against a new owner that ends or loses the tasks of the former owner.
#[tokio::test(start_paused = true)]
async fn successor_adopts_running_tasks_and_ends() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    task.send(fixture.start_command(lease(1, 0), ""));
    task.send(fixture.start_command(lease(2, 0), "run_ms=50"));
    task.end_of(lease(2, 0)).await;
    task.abort().await;

    let mut task = fixture.start_control();
    let WorkerUpdate::Listed { running, ended } = task.next_update().await else {
        panic!("the first update is not a list");
    };
    assert_eq!(running.iter().map(|task| task.lease).collect::<Vec<_>>(), [lease(1, 0)]);
    assert_eq!(ended.iter().map(|end| end.lease).collect::<Vec<_>>(), [lease(2, 0)]);
    assert_eq!(task.end_of(lease(2, 0)).await.0, EndCause::Succeeded);
    task.send(WorkerCommand::AckEnd(lease(2, 0)));
    sleep(Duration::from_secs(60)).await;
    assert_eq!(fixture.worker.running(), 1);
    assert_eq!(fixture.worker.audit().runs.len(), 2);
}

/// Guards against reading the list while a former owner can still change it.
#[tokio::test(start_paused = true)]
async fn epoch_is_raised_before_the_list_is_read() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    assert_eq!(fixture.worker.audit().listings, [1]);
}

/// Guards against unsent starts of a former owner whose end is never reported to their homes.
#[tokio::test(start_paused = true)]
async fn unsent_starts_end_with_the_ownership() {
    let mut fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    fixture.fence_vm();
    task.send(fixture.start_command(lease(1, 0), ""));
    task.send(fixture.start_command(lease(2, 0), ""));
    assert_eq!(task.end_of(lease(1, 0)).await.0, EndCause::LeaseExpired);
    assert_eq!(task.end_of(lease(2, 0)).await.0, EndCause::LeaseExpired);
    assert_eq!(fixture.worker.audit().runs.len(), 0);
}

/// Guards against a former owner that keeps sending commands after the worker has seen a higher
/// epoch.
#[tokio::test(start_paused = true)]
async fn higher_epoch_stops_the_task() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    fixture.send_epoch(u64::MAX / 2).await;
    task.send(fixture.start_command(lease(1, 0), ""));
    assert_eq!(task.exit_reason().await, ExitReason::Superseded);
    assert_eq!(fixture.worker.running(), 0);
    assert!(fixture.worker.audit().stale > 0);
}

/// Guards against a control task that keeps running after its worker was removed from the state.
#[tokio::test(start_paused = true)]
async fn removed_worker_ends_the_task() {
    let mut fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    let record = Record::WorkersGone(vec![fixture.worker.name().to_owned()]);
    fixture.apply(vec![Entry { actor: "test".into(), at_ms: 0, record }]);
    assert_eq!(task.exit_reason().await, ExitReason::Gone);
}

/// Guards against a fenced VM that keeps sending commands to a worker that it no longer owns.
#[tokio::test(start_paused = true)]
async fn fenced_vm_stops_immediately() {
    let mut fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    fixture.fence_vm();
    task.send(fixture.start_command(lease(1, 0), ""));
    assert_eq!(task.exit_reason().await, ExitReason::Disowned);
    assert_eq!(fixture.worker.running(), 0);
}

/// Guards against a request before the hold-off is over, while the former owner's validity may not
/// have ended.
#[tokio::test(start_paused = true)]
async fn hold_off_delays_first_request() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    fixture.delay_ownership(Duration::from_millis(3_300));
    let ready_at = Instant::now() + Duration::from_millis(3_300);
    task.next_list().await;
    assert!(Instant::now() >= ready_at);
}

/// Guards against a start that runs after its end was reported, because the worker was paused when
/// it was sent.
#[tokio::test(start_paused = true)]
async fn paused_worker_refuses_late_start() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    fixture.worker.pause(true);
    task.send(fixture.start_command(lease(1, 0), ""));
    let lease_end = task.next_unreachable().await;
    assert!(lease_end >= Instant::now() + Duration::from_secs(25));
    assert!(lease_end <= Instant::now() + Duration::from_secs(35));
    sleep(Duration::from_secs(5)).await;
    fixture.worker.pause(false);
    assert_eq!(task.end_of(lease(1, 0)).await.0, EndCause::LeaseExpired);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(fixture.worker.audit().runs.len(), 0);
}

/// Guards against reporting a start as ended although it took effect and only its response was
/// lost.
#[tokio::test(start_paused = true)]
async fn start_with_a_lost_response_is_found_in_the_list() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    // Let the renewal that follows the list pass, so that the lost response is that of the start.
    sleep(Duration::from_secs(1)).await;
    fixture.worker.drop_responses(1);
    task.send(fixture.start_command(lease(1, 0), ""));
    let running = task.next_list().await;
    assert_eq!(running.iter().map(|task| task.lease).collect::<Vec<_>>(), [lease(1, 0)]);
    assert!(task.is_started(lease(1, 0)).await);
    sleep(Duration::from_secs(60)).await;
    assert_eq!(fixture.worker.running(), 1);
    assert_eq!(fixture.worker.audit().runs.len(), 1);
}

/// Guards against reporting a start as ended while it is still in transit and takes effect later.
#[tokio::test(start_paused = true)]
async fn unanswered_start_is_resolved_after_its_lease() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    sleep(Duration::from_secs(1)).await;
    // Longer than the client waits for a response, shorter than the first lease.
    fixture.worker.delay_commands(Duration::from_millis(2_500));
    task.send(fixture.start_command(lease(1, 0), ""));
    assert!(task.is_started(lease(1, 0)).await);
    assert_eq!(fixture.worker.running(), 1);
}

/// Guards against a start that takes effect after the owner's validity has ended, because it asked
/// for a longer first lease.
#[tokio::test(start_paused = true)]
async fn first_lease_ends_with_the_validity() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    sleep(Duration::from_secs(1)).await;
    fixture.worker.delay_commands(Duration::from_millis(3_100));
    let WorkerCommand::Start { spec, .. } = fixture.start_command(lease(1, 0), "") else {
        unreachable!("`start_command` returns a start");
    };
    let until = Instant::now() + Duration::from_secs(60);
    task.send(WorkerCommand::Start { spec, until });
    assert_eq!(task.end_of(lease(1, 0)).await.0, EndCause::LeaseExpired);
    assert_eq!(fixture.worker.audit().runs.len(), 0);
    assert_eq!(fixture.worker.audit().late, 1);
}

/// Guards against sending commands without a valid copy of the state, and against losing them while
/// they wait.
#[tokio::test(start_paused = true)]
async fn commands_wait_for_validity() {
    let mut fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    task.send(fixture.start_command(lease(1, 0), ""));
    assert!(task.is_started(lease(1, 0)).await);
    fixture.stop_log_reads();
    sleep(Duration::from_secs(10)).await;
    task.send(WorkerCommand::Stop(lease(1, 0)));
    sleep(Duration::from_secs(60)).await;
    assert_eq!(fixture.worker.running(), 1);
    fixture.resume_log_reads();
    assert_eq!(task.end_of(lease(1, 0)).await.0, EndCause::Stopped);
}

/// Guards against a control task that keeps acting under a former epoch when its VM owns the worker
/// again under a new one.
#[tokio::test(start_paused = true)]
async fn new_epoch_of_the_same_owner_ends_the_task() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    fixture.bump_epoch();
    assert_eq!(task.exit_reason().await, ExitReason::Disowned);
}

/// Guards against an owner that does not learn that its worker is leaving, also when the owner
/// changes later.
#[tokio::test(start_paused = true)]
async fn leaving_worker_is_reported() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    fixture.worker.leave();
    assert_eq!(task.next_event().await, WorkerEvent::Leaving);
    // The next poll acknowledged the event, so the new owner can only learn it from the list.
    sleep(Duration::from_secs(20)).await;
    task.abort().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    assert_eq!(task.next_event().await, WorkerEvent::Leaving);
}

/// Guards against reporting a refusal by the worker like a start that was never sent. Only a
/// refusal counts towards the worker's quarantine.
#[tokio::test(start_paused = true)]
async fn refusal_by_the_worker_is_reported() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    sleep(Duration::from_secs(1)).await;
    let start = fixture.start_command(lease(1, 0), "");
    let WorkerCommand::Start { spec, .. } = start else {
        unreachable!("`start_command` returns a start");
    };
    // The lease has ended when the command arrives, but the response still comes in time.
    fixture.worker.delay_commands(Duration::from_millis(500));
    let until = Instant::now() + Duration::from_millis(100);
    task.send(WorkerCommand::Start { spec, until });
    assert_eq!(task.end_of(lease(1, 0)).await.0, EndCause::Refused);
    assert_eq!(fixture.worker.audit().late, 1);
}

/// Guards against an owner that waits forever for the end of a task that its worker no longer
/// knows.
#[tokio::test(start_paused = true)]
async fn stop_of_unknown_lease_reports_its_end() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    task.send(WorkerCommand::Stop(lease(9, 0)));
    assert_eq!(task.end_of(lease(9, 0)).await.0, EndCause::Stopped);
}

/// Guards against losing an end that was seen only in a list when the worker crashes.
#[tokio::test(start_paused = true)]
async fn listed_end_is_reported_after_a_crash() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    sleep(Duration::from_secs(1)).await;
    fixture.worker.delay_commands(Duration::from_millis(2_100));
    task.send(fixture.start_command(lease(1, 0), "run_ms=10"));
    let WorkerUpdate::Listed { ended, .. } = task.next_update().await else {
        panic!("the first update is not a list");
    };
    assert_eq!(ended.iter().map(|end| end.lease).collect::<Vec<_>>(), [lease(1, 0)]);
    // The pause delays the events until the crash discards them.
    fixture.worker.pause(true);
    fixture.worker.crash().await;
    fixture.worker.pause(false);
    fixture.worker.restart().await.unwrap();
    task.end_of(lease(1, 0)).await;
}

/// Guards against losing a start that a list shows while another start is still unanswered, if the
/// worker then crashes.
#[tokio::test(start_paused = true)]
async fn listed_start_is_kept_while_another_is_unanswered() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    sleep(Duration::from_secs(1)).await;
    fixture.worker.delay_commands(Duration::from_millis(200));
    fixture.worker.drop_responses(1);
    let WorkerCommand::Start { spec, .. } = fixture.start_command(lease(2, 0), "") else {
        unreachable!("`start_command` returns a start");
    };
    let until = Instant::now() + Duration::from_millis(100);
    task.send(fixture.start_command(lease(1, 0), ""));
    task.send(WorkerCommand::Start { spec, until });
    sleep(Duration::from_millis(300)).await;
    assert_eq!((fixture.worker.running(), fixture.worker.audit().late), (1, 1));
    fixture.worker.crash().await;
    fixture.worker.restart().await.unwrap();
    task.end_of(lease(1, 0)).await;
    task.end_of(lease(2, 0)).await;
}

/// Guards against tasks that stay assigned to a worker that lost them in a crash.
#[tokio::test(start_paused = true)]
async fn crash_ends_running_leases() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    task.send(fixture.start_command(lease(1, 0), ""));
    assert!(task.is_started(lease(1, 0)).await);
    fixture.worker.crash().await;
    task.next_unreachable().await;
    fixture.worker.restart().await.unwrap();
    assert_eq!(task.next_list().await, Vec::new());
    assert_eq!(task.end_of(lease(1, 0)).await.0, EndCause::LeaseExpired);
    // The sequence numbers of the events start again after the restart.
    task.send(fixture.start_command(lease(1, 1), ""));
    assert!(task.is_started(lease(1, 1)).await);
}

/// Guards against losing a stop, or another command that is not a start, whose request got no
/// response.
#[tokio::test(start_paused = true)]
async fn unanswered_commands_are_sent_again() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control();
    task.next_list().await;
    task.send(fixture.start_command(lease(1, 0), ""));
    assert!(task.is_started(lease(1, 0)).await);
    fixture.worker.pause(true);
    task.send(WorkerCommand::Stop(lease(1, 0)));
    task.next_unreachable().await;
    fixture.worker.pause(false);
    assert_eq!(task.end_of(lease(1, 0)).await.0, EndCause::Stopped);
}

/// Guards against lost usage. Intervals are duplicated, delayed and reordered, and must still add
/// up to the worker's total.
#[tokio::test(start_paused = true)]
async fn usage_arrives_in_full() {
    let fixture = Fixture::start_with(|config| {
        config.interval_ms = 100;
        config.usage_delay_ms = 50;
        config.usage_jitter_ms = 700;
        config.doubled = 0.5;
    })
    .await;
    let mut task = fixture.start_control();
    task.next_list().await;
    task.send(fixture.start_command(lease(1, 0), "run_ms=2050 use_millicores=333"));
    let usage = task.usage_of(lease(1, 0)).await;
    assert!(usage.duplicated > 0, "no interval was duplicated");
    assert!(usage.reordered > 0, "no interval was reordered");
    assert_eq!(usage.core_ms, fixture.worker.used("1.0.0").core_ms);
    assert_eq!(usage.core_ms, 2_050 * 333 / 1_000);
}

/// Guards against a restart of the worker between two polls for events. Without a new list, the tasks of its former life
/// would count as running, and its events would be skipped up to the number that the former life had reached.
#[tokio::test(start_paused = true)]
async fn restart_between_two_polls_is_noticed() {
    let fixture = Fixture::start().await;
    let mut task = fixture.start_control_with_capacity(1);
    task.next_list().await;
    task.send(fixture.start_command(lease(1, 0), ""));
    assert!(task.is_started(lease(1, 0)).await);
    // The owner is busy: the task waits to report two of these events, and polls for no more.
    for job in 2..6 {
        task.send(fixture.start_command(lease(job, 0), "run_ms=10"));
    }
    sleep(Duration::from_secs(1)).await;
    fixture.worker.crash().await;
    fixture.worker.restart().await.unwrap();
    assert_eq!(task.end_of(lease(1, 0)).await.0, EndCause::LeaseExpired);
    task.send(fixture.start_command(lease(9, 0), "run_ms=10"));
    assert_eq!(task.end_of(lease(9, 0)).await.0, EndCause::Succeeded);
}
