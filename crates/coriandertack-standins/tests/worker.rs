//! Tests of the worker stand-in. A fault in the stand-in would hide faults of the product.

mod setup;

use std::time::Duration;

use {
    coriandertack_standins::{
        audit,
        worker::{Checkpoints, SLOTS, Worker, WorkerConfig},
    },
    futures::future::join_all,
    hyper::{Method, StatusCode},
    serde_json::json,
    tokio::{net::TcpStream, time::sleep},
};

use setup::Client;

async fn start_worker(adjust: impl FnOnce(&mut WorkerConfig)) -> (Worker, Client) {
    let mut config = WorkerConfig::new("split-w1", "split", "r1");
    adjust(&mut config);
    let worker = Worker::start(config, 7).await.unwrap();
    let client = Client::new(&worker);
    (worker, client)
}

/// Guards against a delayed start that runs after its lease has expired, when its owner has lost the
/// right to run the task.
#[tokio::test(start_paused = true)]
async fn late_start_is_refused() {
    let (worker, client) = start_worker(|_| {}).await;
    let start = client.start_command("1.0.0", "", 1_000).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(client.send_commands(json!([start])).await, ["refused"]);
    assert_eq!(worker.running(), 0);
    assert_eq!(worker.audit().late, 1);
}

/// Guards against a start that is executed twice, including after its end has been acknowledged.
#[tokio::test(start_paused = true)]
async fn repeated_start_runs_once() {
    let (worker, client) = start_worker(|_| {}).await;
    let start = client.start_command("1.0.0", "run_ms=100", 2_000).await;
    assert_eq!(client.send_commands(json!([start, start])).await, ["done", "known"]);
    client.wait_for_end("1.0.0").await;
    let ack = json!({ "type": "ack_end", "lease": "1.0.0" });
    assert_eq!(client.send_commands(json!([start, ack, start])).await, ["known", "done", "known"]);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(client.send_commands(json!([start])).await, ["refused"]);
    assert_eq!(worker.audit().runs.len(), 1);
}

/// Guards against a former owner whose commands still take effect after a new owner has sent a higher
/// epoch.
#[tokio::test(start_paused = true)]
async fn lower_epoch_is_refused() {
    let (worker, client) = start_worker(|_| {}).await;
    client.start("1.0.0", "", 60_000).await;
    for (epoch, status) in [(5, StatusCode::OK), (4, StatusCode::CONFLICT), (5, StatusCode::OK)] {
        let body = json!({ "epoch": epoch, "commands": [] }).to_string();
        assert_eq!(client.send(Method::POST, "/v1/commands", &[], body).await.status, status);
    }
    let body = json!({ "epoch": 4, "commands": [{ "type": "stop", "lease": "1.0.0" }] });
    client.send(Method::POST, "/v1/commands", &[], body.to_string()).await;
    assert_eq!(worker.running(), 1);
    assert_eq!(worker.audit().stale, 2);
}

/// Guards against tasks that outlive their leases, and against a renewal that extends an excepted
/// lease.
#[tokio::test(start_paused = true)]
async fn lease_ends_unless_renewed() {
    let (worker, client) = start_worker(|_| {}).await;
    client.start("1.0.0", "", 1_000).await;
    client.start("2.0.0", "", 1_000).await;
    let until_ms = client.now_ms().await + 5_000;
    let renew = json!({ "type": "renew", "until_ms": until_ms, "except": ["2.0.0"] });
    client.send_commands(json!([renew])).await;
    assert_eq!(client.wait_for_end("2.0.0").await, ("lease_expired".to_owned(), 1_000));
    assert_eq!(worker.running(), 1);
    assert_eq!(client.wait_for_end("1.0.0").await.0, "lease_expired");
    assert!(client.now_ms().await >= until_ms);
}

/// Guards against a new owner that does not learn of running tasks and of ends that its predecessor
/// did not acknowledge.
#[tokio::test(start_paused = true)]
async fn list_shows_running_tasks_and_ends_until_acknowledged() {
    let (_worker, client) = start_worker(|_| {}).await;
    client.start("1.0.0", "", 60_000).await;
    client.start("2.0.0", "run_ms=10", 60_000).await;
    client.wait_for_end("2.0.0").await;
    for _ in 0..2 {
        let tasks = client.get_json("/v1/tasks").await;
        assert_eq!(tasks["running"][0]["lease"], "1.0.0");
        assert_eq!(tasks["ended"][0]["lease"], "2.0.0");
    }
    client.send_commands(json!([{ "type": "ack_end", "lease": "2.0.0" }])).await;
    let tasks = client.get_json("/v1/tasks").await;
    assert_eq!(tasks["ended"], json!([]));
    assert_eq!(tasks["running"].as_array().unwrap().len(), 1);
}

/// Guards against usage beyond the grant without an effect: a CPU limit must slow the task, and
/// memory beyond the grant must end it.
#[tokio::test(start_paused = true)]
async fn grant_limits_usage() {
    let (worker, client) = start_worker(|_| {}).await;
    client.start("1.0.0", "run_ms=100 use_millicores=1000", 60_000).await;
    assert_eq!(client.wait_for_end("1.0.0").await, ("succeeded".to_owned(), 200));
    assert_eq!(worker.used("1.0.0").core_ms, 100);
    client.start("2.0.0", "run_ms=100 use_mib=2000", 60_000).await;
    assert_eq!(client.wait_for_end("2.0.0").await, ("out_of_memory".to_owned(), 50));
    client.start("3.0.0", "run_ms=100", 60_000).await;
    let throttle = json!({ "type": "throttle", "lease": "3.0.0", "millicores": 100 });
    client.send_commands(json!([throttle])).await;
    assert_eq!(client.wait_for_end("3.0.0").await, ("succeeded".to_owned(), 500));
    assert_eq!(worker.used("3.0.0").core_ms, 50);
}

/// Guards against a preempted task that loses its checkpointed progress when it resumes on another
/// worker.
#[tokio::test(start_paused = true)]
async fn next_attempt_resumes_from_checkpoint() {
    let checkpoints = Checkpoints::default();
    let (_first, first_client) =
        start_worker(|config| config.checkpoints = checkpoints.clone()).await;
    let (_second, second_client) = start_worker(|config| config.checkpoints = checkpoints).await;
    first_client.start("1.0.0", "run_ms=1000", 60_000).await;
    sleep(Duration::from_millis(700)).await;
    let commands = json!([
        { "type": "checkpoint", "lease": "1.0.0" },
        { "type": "stop", "lease": "1.0.0" },
    ]);
    assert_eq!(first_client.send_commands(commands).await, ["done", "done"]);
    let (cause, before) = first_client.wait_for_end("1.0.0").await;
    assert_eq!(cause, "stopped");
    second_client.start("1.0.1", "run_ms=1000", 60_000).await;
    let (cause, after) = second_client.wait_for_end("1.0.1").await;
    assert_eq!(cause, "succeeded");
    assert_eq!(before + after, 1_000);
}

/// Guards against charges that differ from the actual usage. Reports arrive twice, late and out of
/// order, and counting each interval once must give the exact total.
#[tokio::test(start_paused = true)]
async fn usage_adds_up_and_is_kept_until_acknowledged() {
    let (worker, client) = start_worker(|config| {
        config.interval_ms = 100;
        config.usage_jitter_ms = 500;
        config.doubled = 0.5;
    })
    .await;
    client.start("1.0.0", "run_ms=1030 use_millicores=77", 60_000).await;
    sleep(Duration::from_secs(5)).await;
    let usage_events = |events: &serde_json::Value| {
        let events = events["events"].as_array().unwrap().clone();
        events.into_iter().filter(|event| event["type"] == "usage").collect::<Vec<_>>()
    };
    let reports = usage_events(&client.get_json("/v1/events?after=0").await);
    let intervals: Vec<u64> =
        reports.iter().map(|report| report["interval"].as_u64().unwrap()).collect();
    let mut unique = intervals.clone();
    unique.sort_unstable();
    unique.dedup();
    assert_eq!(unique, (0..11).collect::<Vec<_>>());
    assert!(intervals.len() > unique.len(), "no report was sent twice");
    assert!(!intervals.is_sorted(), "all reports were in order");
    let core_ms: u64 = unique
        .iter()
        .filter_map(|interval| reports.iter().find(|report| report["interval"] == *interval))
        .map(|report| report["usage"]["core_ms"].as_u64().unwrap())
        .sum();
    assert_eq!(core_ms, 1_030 * 77 / 1_000);
    assert_eq!(core_ms, worker.used("1.0.0").core_ms);
    assert_eq!(usage_events(&client.get_json("/v1/events?after=0").await).len(), intervals.len());
    client.send_commands(json!([{ "type": "ack_usage", "lease": "1.0.0", "to": 11 }])).await;
    assert_eq!(usage_events(&client.get_json("/v1/events?after=1000").await).len(), 0);
    assert_eq!(usage_events(&client.get_json("/v1/events?after=0").await).len(), 0);
}

/// Guards against a worker that runs more concurrent requests than it has slots, and against a
/// refusal that is not marked with `x-not-run`.
#[tokio::test(start_paused = true)]
async fn slots_limit_requests() {
    let (worker, client) = start_worker(|_| {}).await;
    assert_eq!(
        client.send_request("vans.book", "early", "1").await.header("x-not-run"),
        Some("true")
    );
    client.start("1.0.0", "work_ms=20", 60_000).await;
    let ids: Vec<String> = (0..20).map(|id| format!("r{id}")).collect();
    let responses = join_all(ids.iter().map(|id| client.send_request("vans.book", id, "50"))).await;
    for (id, response) in ids.iter().zip(&responses) {
        assert_eq!(response.header("x-request-id"), Some(id.as_str()));
        match response.status {
            StatusCode::OK => assert_eq!(response.body, format!("body of {id}")),
            StatusCode::SERVICE_UNAVAILABLE => {
                assert_eq!(response.header("x-not-run"), Some("true"));
            }
            other => panic!("unexpected status {other}"),
        }
    }
    let ran = responses.iter().filter(|response| response.status == StatusCode::OK).count();
    let audit = worker.audit();
    assert!(ran >= SLOTS);
    assert_eq!(audit.request_runs.len(), ran);
    assert_eq!(audit.keys["key-1"] as usize, ran);
    assert_eq!(audit.peak_slots, SLOTS);
}

/// Guards against a worker that keeps more connections open than its limit.
#[tokio::test(start_paused = true)]
async fn connections_are_limited() {
    let (worker, _client) = start_worker(|_| {}).await;
    let mut open = Vec::new();
    for _ in 0..70 {
        open.push(TcpStream::connect(worker.address()).await.unwrap());
        sleep(Duration::from_millis(1)).await;
    }
    let audit = worker.audit();
    assert_eq!((audit.peak_connections, audit.rejected_connections), (64, 6));
}

/// Guards against configured faults without an effect: stragglers, failing tasks and workers that
/// fail every task.
#[tokio::test(start_paused = true)]
async fn configured_faults_take_effect() {
    let (worker, client) = start_worker(|_| {}).await;
    worker.set_slowdown(1_000);
    client.start("1.0.0", "run_ms=100", 60_000).await;
    assert_eq!(client.wait_for_end("1.0.0").await, ("succeeded".to_owned(), 1_000));
    worker.set_slowdown(100);
    client.start("2.0.0", "run_ms=100 fail=1", 60_000).await;
    let (cause, run_ms) = client.wait_for_end("2.0.0").await;
    assert_eq!(cause, "failed");
    assert!(run_ms < 100);
    worker.set_bad(true);
    client.start("3.0.0", "run_ms=100", 60_000).await;
    assert_eq!(client.wait_for_end("3.0.0").await, ("failed".to_owned(), 5));
    worker.leave();
    assert_eq!(client.get_json("/v1/tasks").await["leaving"], true);
}

/// Guards against an audit that misses two concurrent runs of a task, or grants beyond the capacity
/// of a worker.
#[tokio::test(start_paused = true)]
async fn audit_finds_duplicates_and_overcommitment() {
    let (first, first_client) = start_worker(|_| {}).await;
    let (second, second_client) = start_worker(|config| config.capacity.millicores = 900).await;
    first_client.start("1.0.0", "run_ms=100", 60_000).await;
    first_client.wait_for_end("1.0.0").await;
    second_client.start("1.0.1", "run_ms=100", 60_000).await;
    let workers = [first, second];
    assert_eq!(audit::check(&workers).duplicated, 0);
    assert_eq!(audit::check(&workers).overcommitted, 0);
    first_client.start("1.0.2", "run_ms=100", 60_000).await;
    second_client.start("2.0.0", "run_ms=100", 60_000).await;
    second_client.wait_for_end("2.0.0").await;
    let report = audit::check(&workers);
    assert_eq!((report.runs, report.duplicated, report.overcommitted), (4, 1, 1));
    assert_eq!(report.core_ms, 200);
}

/// Guards against a crash after which the audit is lost, or still shows a task as running.
#[tokio::test(start_paused = true)]
async fn crash_drops_tasks_and_connections() {
    let (worker, client) = start_worker(|_| {}).await;
    client.start("1.0.0", "", 60_000).await;
    sleep(Duration::from_millis(300)).await;
    worker.crash().await;
    assert!(TcpStream::connect(worker.address()).await.is_err());
    sleep(Duration::from_secs(60)).await;
    assert_eq!(worker.used("1.0.0").core_ms, 150);
    worker.restart().await.unwrap();
    assert_eq!(client.get_json("/v1/tasks").await["running"], json!([]));
    assert!(worker.audit().runs[0].end.is_some());
}
