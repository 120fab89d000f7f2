//! Tests of the worker stand-in: faults of the stand-in itself would hide faults of the product.

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

async fn worker(adjust: impl FnOnce(&mut WorkerConfig)) -> (Worker, Client) {
    let mut config = WorkerConfig::new("split-w1", "split", "r1");
    adjust(&mut config);
    let worker = Worker::start(config, 7).await.unwrap();
    let client = Client::new(&worker);
    (worker, client)
}

/// Guards against a start that runs after its owner has lost the right to it.
#[tokio::test(start_paused = true)]
async fn late_start_is_refused() {
    let (worker, client) = worker(|_| {}).await;
    let start = client.start_of("1.0.0", "", 1_000).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(client.command(json!([start])).await, ["refused"]);
    assert_eq!(worker.running(), 0);
    assert_eq!(worker.audit().late, 1);
}

/// Guards against a start that is carried out twice, also after its end was acknowledged.
#[tokio::test(start_paused = true)]
async fn repeated_start_runs_once() {
    let (worker, client) = worker(|_| {}).await;
    let start = client.start_of("1.0.0", "run_ms=100", 2_000).await;
    assert_eq!(client.command(json!([start, start])).await, ["done", "known"]);
    client.end_of("1.0.0").await;
    let ack = json!({ "type": "ack_end", "lease": "1.0.0" });
    assert_eq!(client.command(json!([start, ack, start])).await, ["known", "done", "known"]);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(client.command(json!([start])).await, ["refused"]);
    assert_eq!(worker.audit().stretches.len(), 1);
}

/// Guards against a former owner that still changes what runs.
#[tokio::test(start_paused = true)]
async fn lower_epoch_is_refused() {
    let (worker, client) = worker(|_| {}).await;
    client.start("1.0.0", "", 60_000).await;
    for (epoch, status) in [(5, StatusCode::OK), (4, StatusCode::CONFLICT), (5, StatusCode::OK)] {
        let body = json!({ "epoch": epoch, "commands": [] }).to_string();
        assert_eq!(client.ask(Method::POST, "/v1/commands", &[], body).await.status, status);
    }
    let body = json!({ "epoch": 4, "commands": [{ "type": "stop", "lease": "1.0.0" }] });
    client.ask(Method::POST, "/v1/commands", &[], body.to_string()).await;
    assert_eq!(worker.running(), 1);
    assert_eq!(worker.audit().stale, 2);
}

/// Guards against tasks that outlive their leases, and against a renewal that reaches an excepted one.
#[tokio::test(start_paused = true)]
async fn lease_ends_unless_renewed() {
    let (worker, client) = worker(|_| {}).await;
    client.start("1.0.0", "", 1_000).await;
    client.start("2.0.0", "", 1_000).await;
    let until_ms = client.now_ms().await + 5_000;
    let renew = json!({ "type": "renew", "until_ms": until_ms, "except": ["2.0.0"] });
    client.command(json!([renew])).await;
    assert_eq!(client.end_of("2.0.0").await, ("lease_expired".to_owned(), 1_000));
    assert_eq!(worker.running(), 1);
    assert_eq!(client.end_of("1.0.0").await.0, "lease_expired");
    assert!(client.now_ms().await >= until_ms);
}

/// Guards against a successor that does not learn what runs and what has ended.
#[tokio::test(start_paused = true)]
async fn list_shows_running_tasks_and_ends_until_acknowledged() {
    let (_worker, client) = worker(|_| {}).await;
    client.start("1.0.0", "", 60_000).await;
    client.start("2.0.0", "run_ms=10", 60_000).await;
    client.end_of("2.0.0").await;
    for _ in 0..2 {
        let tasks = client.get("/v1/tasks").await;
        assert_eq!(tasks["running"][0]["lease"], "1.0.0");
        assert_eq!(tasks["ended"][0]["lease"], "2.0.0");
    }
    client.command(json!([{ "type": "ack_end", "lease": "2.0.0" }])).await;
    let tasks = client.get("/v1/tasks").await;
    assert_eq!(tasks["ended"], json!([]));
    assert_eq!(tasks["running"].as_array().unwrap().len(), 1);
}

/// Guards against use beyond the grant that goes unnoticed: processors slow the task, memory ends it.
#[tokio::test(start_paused = true)]
async fn use_beyond_the_grant() {
    let (worker, client) = worker(|_| {}).await;
    client.start("1.0.0", "run_ms=100 use_millicores=1000", 60_000).await;
    assert_eq!(client.end_of("1.0.0").await, ("succeeded".to_owned(), 200));
    assert_eq!(worker.used("1.0.0").core_ms, 100);
    client.start("2.0.0", "run_ms=100 use_mib=2000", 60_000).await;
    assert_eq!(client.end_of("2.0.0").await, ("out_of_memory".to_owned(), 50));
    client.start("3.0.0", "run_ms=100", 60_000).await;
    let throttle = json!({ "type": "throttle", "lease": "3.0.0", "millicores": 100 });
    client.command(json!([throttle])).await;
    assert_eq!(client.end_of("3.0.0").await, ("succeeded".to_owned(), 500));
    assert_eq!(worker.used("3.0.0").core_ms, 50);
}

/// Guards against lost progress of a preempted task, on whatever worker it goes on.
#[tokio::test(start_paused = true)]
async fn next_attempt_resumes_from_checkpoint() {
    let checkpoints = Checkpoints::default();
    let (_first, one) = worker(|config| config.checkpoints = checkpoints.clone()).await;
    let (_second, two) = worker(|config| config.checkpoints = checkpoints).await;
    one.start("1.0.0", "run_ms=1000", 60_000).await;
    sleep(Duration::from_millis(700)).await;
    let commands = json!([
        { "type": "checkpoint", "lease": "1.0.0" },
        { "type": "stop", "lease": "1.0.0" },
    ]);
    assert_eq!(one.command(commands).await, ["done", "done"]);
    let (cause, before) = one.end_of("1.0.0").await;
    assert_eq!(cause, "stopped");
    two.start("1.0.1", "run_ms=1000", 60_000).await;
    let (cause, after) = two.end_of("1.0.1").await;
    assert_eq!(cause, "succeeded");
    assert_eq!(before + after, 1_000);
}

/// Guards against charges that differ from what was used: reports are doubled, late and out of
/// order, and each interval adds up once.
#[tokio::test(start_paused = true)]
async fn usage_adds_up_and_is_kept_until_acknowledged() {
    let (worker, client) = worker(|config| {
        config.interval_ms = 100;
        config.usage_jitter_ms = 500;
        config.doubled = 0.5;
    })
    .await;
    client.start("1.0.0", "run_ms=1030 use_millicores=77", 60_000).await;
    sleep(Duration::from_secs(5)).await;
    let usage = |events: &serde_json::Value| {
        let all = events["events"].as_array().unwrap().clone();
        all.into_iter().filter(|event| event["type"] == "usage").collect::<Vec<_>>()
    };
    let reports = usage(&client.get("/v1/events?after=0").await);
    let numbers: Vec<u64> =
        reports.iter().map(|report| report["interval"].as_u64().unwrap()).collect();
    let mut once = numbers.clone();
    once.sort_unstable();
    once.dedup();
    assert_eq!(once, (0..11).collect::<Vec<_>>());
    assert!(numbers.len() > once.len(), "no report was doubled");
    assert!(!numbers.is_sorted(), "no report was out of order");
    let core_ms: u64 = once
        .iter()
        .filter_map(|number| reports.iter().find(|report| report["interval"] == *number))
        .map(|report| report["usage"]["core_ms"].as_u64().unwrap())
        .sum();
    assert_eq!(core_ms, 1_030 * 77 / 1_000);
    assert_eq!(core_ms, worker.used("1.0.0").core_ms);
    assert_eq!(usage(&client.get("/v1/events?after=0").await).len(), numbers.len());
    client.command(json!([{ "type": "ack_usage", "lease": "1.0.0", "to": 11 }])).await;
    assert_eq!(usage(&client.get("/v1/events?after=1000").await).len(), 0);
    assert_eq!(usage(&client.get("/v1/events?after=0").await).len(), 0);
}

/// Guards against a worker that runs more requests at a time than it has slots, and against a
/// refusal that is not marked as not run.
#[tokio::test(start_paused = true)]
async fn slots_limit_requests() {
    let (worker, client) = worker(|_| {}).await;
    assert_eq!(client.serve("vans.book", "early", "1").await.header("x-not-run"), Some("true"));
    client.start("1.0.0", "work_ms=20", 60_000).await;
    let ids: Vec<String> = (0..20).map(|id| format!("r{id}")).collect();
    let answers = join_all(ids.iter().map(|id| client.serve("vans.book", id, "50"))).await;
    for (id, answer) in ids.iter().zip(&answers) {
        assert_eq!(answer.header("x-request-id"), Some(id.as_str()));
        match answer.status {
            StatusCode::OK => assert_eq!(answer.body, format!("body of {id}")),
            StatusCode::SERVICE_UNAVAILABLE => {
                assert_eq!(answer.header("x-not-run"), Some("true"));
            }
            other => panic!("unexpected status {other}"),
        }
    }
    let ran = answers.iter().filter(|answer| answer.status == StatusCode::OK).count();
    let audit = worker.audit();
    assert!(ran >= SLOTS);
    assert_eq!(audit.request_runs.len(), ran);
    assert_eq!(audit.keys["key-1"] as usize, ran);
    assert_eq!(audit.peak_slots, SLOTS);
}

/// Guards against more connections than a worker keeps.
#[tokio::test(start_paused = true)]
async fn connections_are_limited() {
    let (worker, _client) = worker(|_| {}).await;
    let mut open = Vec::new();
    for _ in 0..70 {
        open.push(TcpStream::connect(worker.address()).await.unwrap());
        sleep(Duration::from_millis(1)).await;
    }
    let audit = worker.audit();
    assert_eq!((audit.peak_connections, audit.rejected_connections), (64, 6));
}

/// Guards against faults that cannot be provoked: bad workers, stragglers and failing tasks.
#[tokio::test(start_paused = true)]
async fn configured_faults() {
    let (worker, client) = worker(|_| {}).await;
    worker.set_slowdown(1_000);
    client.start("1.0.0", "run_ms=100", 60_000).await;
    assert_eq!(client.end_of("1.0.0").await, ("succeeded".to_owned(), 1_000));
    worker.set_slowdown(100);
    client.start("2.0.0", "run_ms=100 fail=1", 60_000).await;
    let (cause, run_ms) = client.end_of("2.0.0").await;
    assert_eq!(cause, "failed");
    assert!(run_ms < 100);
    worker.set_bad(true);
    client.start("3.0.0", "run_ms=100", 60_000).await;
    assert_eq!(client.end_of("3.0.0").await, ("failed".to_owned(), 5));
    worker.leave();
    assert_eq!(client.get("/v1/tasks").await["leaving"], true);
}

/// Guards against an audit that overlooks two running copies or too many grants.
#[tokio::test(start_paused = true)]
async fn audit_finds_duplicates_and_overcommitment() {
    let (first, one) = worker(|_| {}).await;
    let (second, two) = worker(|config| config.capacity.millicores = 900).await;
    one.start("1.0.0", "run_ms=100", 60_000).await;
    one.end_of("1.0.0").await;
    two.start("1.0.1", "run_ms=100", 60_000).await;
    let workers = [first, second];
    assert_eq!(audit::check(&workers).duplicated, 0);
    assert_eq!(audit::check(&workers).overcommitted, 0);
    one.start("1.0.2", "run_ms=100", 60_000).await;
    two.start("2.0.0", "run_ms=100", 60_000).await;
    two.end_of("2.0.0").await;
    let report = audit::check(&workers);
    assert_eq!((report.runs, report.duplicated, report.overcommitted), (4, 1, 1));
    assert_eq!(report.core_ms, 200);
}

/// Guards against a crash that leaves a task running in the record, or loses the record.
#[tokio::test(start_paused = true)]
async fn crash_drops_tasks_and_connections() {
    let (worker, client) = worker(|_| {}).await;
    client.start("1.0.0", "", 60_000).await;
    sleep(Duration::from_millis(300)).await;
    worker.crash().await;
    assert!(TcpStream::connect(worker.address()).await.is_err());
    sleep(Duration::from_secs(60)).await;
    assert_eq!(worker.used("1.0.0").core_ms, 150);
    worker.restart().await.unwrap();
    assert_eq!(client.get("/v1/tasks").await["running"], json!([]));
    assert!(worker.audit().stretches[0].end.is_some());
}
