//! Tests of the task of a worker against the stand-in, in virtual time.

mod chaos;
mod setup;

use std::time::Duration;

use {
    coriandertack_core::{
        message::{EndCause, WorkerCommand, WorkerEvent},
        record::{Entry, Record},
    },
    coriandertack_workers::news::{Finish, WorkerNews},
    tokio::time::{Instant, sleep},
};

use setup::{Bench, lease};

/// Guards against a start that never runs or an end that never arrives.
#[tokio::test(start_paused = true)]
async fn start_runs_and_end_is_reported() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    assert_eq!(task.listed().await, Vec::new());
    task.send(bench.start_of(lease(1, 0), "run_ms=200"));
    assert_eq!(task.event().await, WorkerEvent::Started(lease(1, 0)));
    let (cause, run_ms) = task.end_of(lease(1, 0)).await;
    assert_eq!((cause, run_ms), (EndCause::Succeeded, 200));
}

/// Guards against tasks that die because nobody renews their leases, and against leases that outlive
/// the task that renews them.
#[tokio::test(start_paused = true)]
async fn leases_are_renewed_while_owned() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    task.send(bench.start_of(lease(1, 0), ""));
    sleep(Duration::from_secs(200)).await;
    assert_eq!(bench.worker.running(), 1);
    task.abort().await;
    sleep(Duration::from_secs(31)).await;
    assert_eq!(bench.worker.running(), 0);
}

/// Guards against an outage of the log that ends running tasks, and against starts without a valid
/// copy of the state.
#[tokio::test(start_paused = true)]
async fn outage_keeps_tasks_and_drops_starts() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    task.send(bench.start_of(lease(1, 0), ""));
    assert_eq!(task.event().await, WorkerEvent::Started(lease(1, 0)));
    bench.cut_log();
    sleep(Duration::from_secs(120)).await;
    assert_eq!(bench.worker.running(), 1);
    task.send(bench.start_of(lease(2, 0), ""));
    assert_eq!(task.end_of(lease(2, 0)).await.0, EndCause::LeaseExpired);
    assert_eq!(bench.worker.audit().stretches.len(), 1);
}

/// Guards against renewals that go on for ever when the log does not come back.
#[tokio::test(start_paused = true)]
async fn renewals_end_after_the_outage_limit() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    task.send(bench.start_of(lease(1, 0), ""));
    assert_eq!(task.event().await, WorkerEvent::Started(lease(1, 0)));
    bench.cut_log();
    sleep(Duration::from_secs(2 * 60 * 60 - 60)).await;
    assert_eq!(bench.worker.running(), 1);
    sleep(Duration::from_secs(120)).await;
    assert_eq!(bench.worker.running(), 0);
}

/// Guards against a successor that kills or loses the tasks of its predecessor.
#[tokio::test(start_paused = true)]
async fn successor_adopts_running_tasks_and_ends() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    task.send(bench.start_of(lease(1, 0), ""));
    task.send(bench.start_of(lease(2, 0), "run_ms=50"));
    task.end_of(lease(2, 0)).await;
    task.abort().await;

    let mut task = bench.control();
    let WorkerNews::Listed { running, ended } = task.news().await else {
        panic!("the list comes first");
    };
    assert_eq!(running.iter().map(|task| task.lease).collect::<Vec<_>>(), [lease(1, 0)]);
    assert_eq!(ended.iter().map(|end| end.lease).collect::<Vec<_>>(), [lease(2, 0)]);
    assert_eq!(task.end_of(lease(2, 0)).await.0, EndCause::Succeeded);
    task.send(WorkerCommand::AckEnd(lease(2, 0)));
    sleep(Duration::from_secs(60)).await;
    assert_eq!(bench.worker.running(), 1);
    assert_eq!(bench.worker.audit().stretches.len(), 2);
}

/// Guards against a list that a former owner changes after it has been read.
#[tokio::test(start_paused = true)]
async fn epoch_is_raised_before_the_list_is_read() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    assert_eq!(bench.worker.audit().listings, [1]);
}

/// Guards against homes that wait for starts that a former owner never sent.
#[tokio::test(start_paused = true)]
async fn unsent_starts_end_with_the_ownership() {
    let mut bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    bench.fence();
    task.send(bench.start_of(lease(1, 0), ""));
    task.send(bench.start_of(lease(2, 0), ""));
    assert_eq!(task.end_of(lease(1, 0)).await.0, EndCause::LeaseExpired);
    assert_eq!(task.end_of(lease(2, 0)).await.0, EndCause::LeaseExpired);
    assert_eq!(bench.worker.audit().stretches.len(), 0);
}

/// Guards against a former owner that goes on after the worker has met its successor.
#[tokio::test(start_paused = true)]
async fn higher_epoch_stops_the_task() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    bench.raise_epoch(u64::MAX / 2).await;
    task.send(bench.start_of(lease(1, 0), ""));
    assert_eq!(task.finish().await, Finish::Superseded);
    assert_eq!(bench.worker.running(), 0);
    assert!(bench.worker.audit().stale > 0);
}

/// Guards against a task that goes on for a worker that has left the list.
#[tokio::test(start_paused = true)]
async fn removed_worker_ends_the_task() {
    let mut bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    let record = Record::WorkersGone(vec![bench.worker.name().to_owned()]);
    bench.apply(vec![Entry { actor: "test".into(), at_ms: 0, record }]);
    assert_eq!(task.finish().await, Finish::Gone);
}

/// Guards against a fenced VM that keeps renewing what it no longer owns.
#[tokio::test(start_paused = true)]
async fn fenced_vm_stops_at_once() {
    let mut bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    bench.fence();
    task.send(bench.start_of(lease(1, 0), ""));
    assert_eq!(task.finish().await, Finish::Disowned);
    assert_eq!(bench.worker.running(), 0);
}

/// Guards against acting before the former owner's permission has certainly ended.
#[tokio::test(start_paused = true)]
async fn hold_off_delays_first_contact() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    bench.delay_ready(Duration::from_millis(3_300));
    let ready = Instant::now() + Duration::from_millis(3_300);
    task.listed().await;
    assert!(Instant::now() >= ready);
}

/// Guards against a start that runs although its end was reported, when the worker was paused
/// while it was sent.
#[tokio::test(start_paused = true)]
async fn paused_worker_refuses_late_start() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    bench.worker.pause(true);
    task.send(bench.start_of(lease(1, 0), ""));
    let lease_end = task.unreachable().await;
    assert!(lease_end >= Instant::now() + Duration::from_secs(25));
    assert!(lease_end <= Instant::now() + Duration::from_secs(35));
    sleep(Duration::from_secs(5)).await;
    bench.worker.pause(false);
    assert_eq!(task.end_of(lease(1, 0)).await.0, EndCause::LeaseExpired);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(bench.worker.audit().stretches.len(), 0);
}

/// Guards against a start that is reported as ended although it took effect and only its answer was
/// lost.
#[tokio::test(start_paused = true)]
async fn start_with_a_lost_answer_is_found_in_the_list() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    // The renewal that follows the list must not be the request whose answer is lost.
    sleep(Duration::from_secs(1)).await;
    bench.worker.lose_answers(1);
    task.send(bench.start_of(lease(1, 0), ""));
    let running = task.listed().await;
    assert_eq!(running.iter().map(|task| task.lease).collect::<Vec<_>>(), [lease(1, 0)]);
    assert!(task.is_started(lease(1, 0)).await);
    sleep(Duration::from_secs(60)).await;
    assert_eq!(bench.worker.running(), 1);
    assert_eq!(bench.worker.audit().stretches.len(), 1);
}

/// Guards against a start that is reported as ended while it is still on its way and takes effect
/// afterwards.
#[tokio::test(start_paused = true)]
async fn unanswered_start_is_settled_only_after_its_lease() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    sleep(Duration::from_secs(1)).await;
    // Longer than the client waits for an answer, shorter than the first lease.
    bench.worker.delay_commands(Duration::from_millis(2_500));
    task.send(bench.start_of(lease(1, 0), ""));
    assert!(task.is_started(lease(1, 0)).await);
    assert_eq!(bench.worker.running(), 1);
}

/// Guards against a start that takes effect after the end of the owner's validity, whatever lease
/// was asked for.
#[tokio::test(start_paused = true)]
async fn first_lease_ends_with_the_validity() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    sleep(Duration::from_secs(1)).await;
    bench.worker.delay_commands(Duration::from_millis(3_100));
    let WorkerCommand::Start { spec, .. } = bench.start_of(lease(1, 0), "") else {
        unreachable!("a start");
    };
    let until = Instant::now() + Duration::from_secs(60);
    task.send(WorkerCommand::Start { spec, until });
    assert_eq!(task.end_of(lease(1, 0)).await.0, EndCause::LeaseExpired);
    assert_eq!(bench.worker.audit().stretches.len(), 0);
    assert_eq!(bench.worker.audit().late, 1);
}

/// Guards against commands of a VM whose copy of the state may be out of date, and against losing
/// them.
#[tokio::test(start_paused = true)]
async fn commands_wait_for_validity() {
    let mut bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    task.send(bench.start_of(lease(1, 0), ""));
    assert!(task.is_started(lease(1, 0)).await);
    bench.cut_log();
    sleep(Duration::from_secs(10)).await;
    task.send(WorkerCommand::Stop(lease(1, 0)));
    sleep(Duration::from_secs(60)).await;
    assert_eq!(bench.worker.running(), 1);
    bench.mend_log();
    assert_eq!(task.end_of(lease(1, 0)).await.0, EndCause::Stopped);
}

/// Guards against acting under an epoch that ended while the VM did not look.
#[tokio::test(start_paused = true)]
async fn new_epoch_of_the_same_owner_ends_the_task() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    bench.renew_epoch();
    assert_eq!(task.finish().await, Finish::Disowned);
}

/// Guards against a leaving worker that is taken for a staying one, by an old or a new owner.
#[tokio::test(start_paused = true)]
async fn leaving_is_reported() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    bench.worker.leave();
    assert_eq!(task.event().await, WorkerEvent::Leaving);
    // The event was confirmed by the next poll, so only the list tells the next owner.
    sleep(Duration::from_secs(20)).await;
    task.abort().await;
    let mut task = bench.control();
    task.listed().await;
    assert_eq!(task.event().await, WorkerEvent::Leaving);
}

/// Guards against the refusal of a worker that is not told from a start that was never sent: only the
/// former speaks against the worker.
#[tokio::test(start_paused = true)]
async fn refusal_by_the_worker_is_reported() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    sleep(Duration::from_secs(1)).await;
    let start = bench.start_of(lease(1, 0), "");
    let WorkerCommand::Start { spec, .. } = start else {
        unreachable!("a start");
    };
    // The lease is over on arrival, but the answer arrives in time.
    bench.worker.delay_commands(Duration::from_millis(500));
    let until = Instant::now() + Duration::from_millis(100);
    task.send(WorkerCommand::Start { spec, until });
    assert_eq!(task.end_of(lease(1, 0)).await.0, EndCause::Refused);
    assert_eq!(bench.worker.audit().late, 1);
}

/// Guards against an owner that waits for the end of a task that its worker has forgotten.
#[tokio::test(start_paused = true)]
async fn stop_of_an_unknown_lease_is_an_end() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    task.send(WorkerCommand::Stop(lease(9, 0)));
    assert_eq!(task.end_of(lease(9, 0)).await.0, EndCause::Stopped);
}

/// Guards against an end that only a list has shown when the worker crashes.
#[tokio::test(start_paused = true)]
async fn end_seen_in_a_list_survives_a_crash() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    sleep(Duration::from_secs(1)).await;
    bench.worker.delay_commands(Duration::from_millis(2_100));
    task.send(bench.start_of(lease(1, 0), "run_ms=10"));
    let WorkerNews::Listed { ended, .. } = task.news().await else {
        panic!("nothing else is reported before the list");
    };
    assert_eq!(ended.iter().map(|end| end.lease).collect::<Vec<_>>(), [lease(1, 0)]);
    // The pause holds the events back until they are lost.
    bench.worker.pause(true);
    bench.worker.crash().await;
    bench.worker.pause(false);
    bench.worker.restart().await.unwrap();
    task.end_of(lease(1, 0)).await;
}

/// Guards against a start that is forgotten when a list shows it while another start is still open, and
/// the worker then crashes.
#[tokio::test(start_paused = true)]
async fn start_seen_beside_an_open_one_survives_a_crash() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    sleep(Duration::from_secs(1)).await;
    bench.worker.delay_commands(Duration::from_millis(200));
    bench.worker.lose_answers(1);
    let WorkerCommand::Start { spec, .. } = bench.start_of(lease(2, 0), "") else {
        unreachable!("a start");
    };
    let until = Instant::now() + Duration::from_millis(100);
    task.send(bench.start_of(lease(1, 0), ""));
    task.send(WorkerCommand::Start { spec, until });
    sleep(Duration::from_millis(300)).await;
    assert_eq!((bench.worker.running(), bench.worker.audit().late), (1, 1));
    bench.worker.crash().await;
    bench.worker.restart().await.unwrap();
    task.end_of(lease(1, 0)).await;
    task.end_of(lease(2, 0)).await;
}

/// Guards against tasks that stay bound to a worker that has lost them in a crash.
#[tokio::test(start_paused = true)]
async fn crash_ends_what_ran() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    task.send(bench.start_of(lease(1, 0), ""));
    assert!(task.is_started(lease(1, 0)).await);
    bench.worker.crash().await;
    task.unreachable().await;
    bench.worker.restart().await.unwrap();
    assert_eq!(task.listed().await, Vec::new());
    assert_eq!(task.end_of(lease(1, 0)).await.0, EndCause::LeaseExpired);
    // The numbers of the events begin again.
    task.send(bench.start_of(lease(1, 1), ""));
    assert!(task.is_started(lease(1, 1)).await);
}

/// Guards against stops, throttles and acknowledgements that are lost with an answer.
#[tokio::test(start_paused = true)]
async fn commands_survive_a_pause() {
    let bench = Bench::start().await;
    let mut task = bench.control();
    task.listed().await;
    task.send(bench.start_of(lease(1, 0), ""));
    assert!(task.is_started(lease(1, 0)).await);
    bench.worker.pause(true);
    task.send(WorkerCommand::Stop(lease(1, 0)));
    task.unreachable().await;
    bench.worker.pause(false);
    assert_eq!(task.end_of(lease(1, 0)).await.0, EndCause::Stopped);
}

/// Guards against usage that is lost, and checks what the owner has to cope with: doubled, late and
/// reordered intervals that still add up.
#[tokio::test(start_paused = true)]
async fn usage_arrives_in_full() {
    let bench = Bench::start_with(|config| {
        config.interval_ms = 100;
        config.usage_delay_ms = 50;
        config.usage_jitter_ms = 700;
        config.doubled = 0.5;
    })
    .await;
    let mut task = bench.control();
    task.listed().await;
    task.send(bench.start_of(lease(1, 0), "run_ms=2050 use_millicores=333"));
    let usage = task.usage_of(lease(1, 0)).await;
    assert!(usage.doubled > 0, "no interval came twice");
    assert!(usage.reordered > 0, "no interval came out of order");
    assert_eq!(usage.core_ms, bench.worker.used("1.0.0").core_ms);
    assert_eq!(usage.core_ms, 2_050 * 333 / 1_000);
}
