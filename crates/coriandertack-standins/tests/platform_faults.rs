//! Tests of the faults that the stand-ins for the platform inject: what their callers meet.

use std::{io::ErrorKind, net::SocketAddr, time::Duration};

use {
    anyhow::Result,
    coriandertack_standins::platform::{
        link::Link,
        machines::{self, Machines, RowFault},
        worker::{
            Acknowledgement, Worker,
            held_calls::{CallKind, Hold},
        },
    },
    serde_json::{Value, json},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Time after which a call counts as unanswered.
const PATIENCE: Duration = Duration::from_millis(300);

/// What a caller met.
#[derive(Debug, PartialEq)]
enum Met {
    Status(u16, Value),
    Refused,
    Reset,
    Closed,
    Unanswered,
    Unconnected,
}

/// Sends a request on an open connection.
async fn exchange(stream: &mut TcpStream, method: &str, path: &str, body: &Value) -> Met {
    let body = body.to_string();
    let length = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nhost: w\r\ncontent-length: {length}\r\n\r\n");
    let mut answer = Vec::new();
    let work = async {
        stream.write_all(format!("{head}{body}").as_bytes()).await?;
        loop {
            let read = stream.read_buf(&mut answer).await?;
            let text = String::from_utf8_lossy(&answer);
            let body = text.split_once("\r\n\r\n").map(|(_, body)| serde_json::from_str(body));
            let status = text.split(' ').nth(1).and_then(|status| status.parse().ok());
            if let (Some(Ok(body)), Some(status)) = (body, status) {
                return Ok(Met::Status(status, body));
            }
            if read == 0 {
                return Ok(Met::Closed);
            }
        }
    };
    match timeout(PATIENCE, work).await {
        Err(_) => Met::Unanswered,
        Ok(Ok(met)) => met,
        Ok(Err(error)) => broken(&error),
    }
}

fn broken(error: &std::io::Error) -> Met {
    match error.kind() {
        ErrorKind::ConnectionRefused => Met::Refused,
        ErrorKind::ConnectionReset => Met::Reset,
        ErrorKind::BrokenPipe => Met::Closed,
        kind => panic!("{kind}"),
    }
}

async fn call(address: SocketAddr, method: &str, path: &str, body: &Value) -> Met {
    match timeout(PATIENCE, TcpStream::connect(address)).await {
        Err(_) => Met::Unconnected,
        Ok(Err(error)) => broken(&error),
        Ok(Ok(mut stream)) => exchange(&mut stream, method, path, body).await,
    }
}

async fn start(worker: &Worker, task: &str, until_ms: u64) -> Met {
    let body = json!({
        "task": task, "attempt": 1, "task-spec": "run-ms=60000", "until-ms": until_ms,
        "fencing-token": 1,
    });
    call(worker.address(), "POST", "/api/run-start", &body).await
}

async fn hold(worker: &Worker) -> Met {
    call(worker.address(), "POST", "/api/hold", &json!({ "fencing-token": 1 })).await
}

fn is_status(met: &Met, expected: u16) -> bool {
    matches!(met, Met::Status(status, _) if *status == expected)
}

/// Changes what callers meet, and waits until the worker has noticed.
async fn set_link(worker: &Worker, link: Link) {
    worker.set_link(link);
    sleep(Duration::from_millis(100)).await;
}

#[tokio::test]
async fn a_worker_breaks_connections_as_its_link_says_and_runs_on() -> Result<()> {
    let worker = Worker::start("i-1", 60_000, 1).await?;
    for (n, (link, met)) in [
        (Link::Refuse, Met::Refused),
        (Link::Reset, Met::Reset),
        (Link::Close, Met::Closed),
        (Link::Silent, Met::Unanswered),
        (Link::Full, Met::Unconnected),
    ]
    .into_iter()
    .enumerate()
    {
        let task = format!("t.{n}");
        assert!(is_status(&start(&worker, &task, 100_000).await, 200));
        set_link(&worker, link).await;
        assert_eq!(hold(&worker).await, met, "{link:?}");
        assert_eq!(start(&worker, "t.lost", 100_000).await, met, "{link:?}");
        set_link(&worker, Link::Open).await;
        assert!(is_status(&hold(&worker).await, 200), "{link:?}");
        let runs = worker.recorded_runs();
        assert!(runs.iter().all(|run| run.ended.is_none() && run.task != "t.lost"), "{link:?}");
    }
    Ok(())
}

#[tokio::test]
async fn open_connections_meet_the_same_as_new_ones() -> Result<()> {
    for (link, met) in [
        (Link::Refuse, Met::Closed),
        (Link::Reset, Met::Reset),
        (Link::Close, Met::Closed),
        (Link::Silent, Met::Unanswered),
    ] {
        let worker = Worker::start("i-1", 60_000, 1).await?;
        let mut stream = TcpStream::connect(worker.address()).await?;
        let body = json!({ "fencing-token": 1 });
        assert!(is_status(&exchange(&mut stream, "POST", "/api/hold", &body).await, 200));
        set_link(&worker, link).await;
        assert_eq!(exchange(&mut stream, "POST", "/api/hold", &body).await, met, "{link:?}");
    }
    Ok(())
}

#[tokio::test]
async fn calls_whose_answers_are_lost_are_carried_out() -> Result<()> {
    let worker = Worker::start("i-1", 60_000, 1).await?;
    set_link(&worker, Link::LostAnswers).await;
    assert_eq!(start(&worker, "t.0", 100_000).await, Met::Unanswered);
    assert_eq!(worker.recorded_runs().len(), 1);
    Ok(())
}

#[tokio::test]
async fn half_of_the_connections_are_broken() -> Result<()> {
    for (link, met) in [(Link::HalfSilent, Met::Unanswered), (Link::HalfReset, Met::Reset)] {
        let worker = Worker::start("i-1", 60_000, 1).await?;
        set_link(&worker, link).await;
        for _ in 0..2 {
            assert_eq!(hold(&worker).await, met);
            assert!(is_status(&hold(&worker).await, 200));
        }
    }
    Ok(())
}

#[tokio::test]
async fn connections_from_before_a_loss_of_power_are_dead() -> Result<()> {
    let worker = Worker::start("i-1", 60_000, 1).await?;
    let (mut first, mut second) =
        (TcpStream::connect(worker.address()).await?, TcpStream::connect(worker.address()).await?);
    let waiting = json!({ "fencing-token": 1, "wait-ms": 150 });
    let restart = async {
        sleep(Duration::from_millis(50)).await;
        set_link(&worker, Link::Renewed).await;
        worker.restart(2);
    };
    let (held, ()) = tokio::join!(exchange(&mut first, "POST", "/api/hold", &waiting), restart);
    assert_eq!(held, Met::Unanswered);
    assert_eq!(exchange(&mut second, "POST", "/api/hold", &waiting).await, Met::Reset);
    assert!(is_status(&hold(&worker).await, 200));
    Ok(())
}

#[tokio::test]
async fn a_worker_that_starts_again_knows_nothing_of_before() -> Result<()> {
    let worker = Worker::start("i-1", 60_000, 1).await?;
    assert!(is_status(&start(&worker, "t.0", 100_000).await, 200));
    worker.restart(2);
    let Met::Status(200, list) = hold(&worker).await else { panic!("no list") };
    assert_eq!((&list["born"], &list["running"]), (&json!(2), &json!([])));
    assert!(list["clock-ms"].as_u64().is_some_and(|clock_ms| clock_ms < 1_000), "{list}");
    assert_eq!(worker.recorded_runs()[0].cause, "crashed");
    Ok(())
}

#[tokio::test]
async fn a_crash_breaks_connections_and_keeps_the_address() -> Result<()> {
    let worker = Worker::start("i-1", 60_000, 1).await?;
    assert!(is_status(&start(&worker, "t.0", 100_000).await, 200));
    let mut stream = TcpStream::connect(worker.address()).await?;
    let waiting = json!({ "fencing-token": 1, "wait-ms": 2_000 });
    let crash = async {
        sleep(Duration::from_millis(50)).await;
        worker.go_down().await;
    };
    let (met, ()) = tokio::join!(exchange(&mut stream, "POST", "/api/hold", &waiting), crash);
    assert_eq!(met, Met::Closed);
    assert_eq!(hold(&worker).await, Met::Refused);
    worker.start_incarnation(2);
    worker.come_back();
    let met = timeout(PATIENCE, async {
        loop {
            let met = hold(&worker).await;
            if met != Met::Refused {
                return met;
            }
        }
    });
    let Met::Status(200, list) = met.await? else { panic!("no list") };
    assert_eq!((&list["born"], &list["running"]), (&json!(2), &json!([])));
    assert_eq!(worker.recorded_runs()[0].cause, "crashed");
    worker.crash_and_return(3, 50).await;
    sleep(Duration::from_millis(50)).await;
    let Met::Status(200, list) = hold(&worker).await else { panic!("no list") };
    assert_eq!(list["born"], json!(3));
    Ok(())
}

#[tokio::test]
async fn held_calls_are_carried_out_by_the_incarnation_that_they_reach() -> Result<()> {
    let worker = Worker::start("i-1", 60_000, 1).await?;
    worker.hold_calls(Hold { limit: 2, ..Hold::all(CallKind::Start) });
    for task in ["t.0", "t.1"] {
        assert_eq!(start(&worker, task, 100_000).await, Met::Unanswered);
    }
    assert!(is_status(&start(&worker, "t.2", 100_000).await, 200));
    worker.go_down().await;
    worker.start_incarnation(2);
    assert_eq!(worker.deliver(0), Some(200));
    assert_eq!(worker.deliver(0), None);
    worker.come_back();
    sleep(Duration::from_millis(50)).await;
    let list = call(worker.address(), "POST", "/api/hold", &json!({ "fencing-token": 2 })).await;
    let Met::Status(200, list) = list else { panic!("no list") };
    assert_eq!(list["running"][0][0], json!("t.0"));
    assert_eq!(worker.deliver(1), Some(409), "a lower fencing token");
    let held = worker.held_calls();
    let deliveries = held.iter().map(|held| (held.sent_to, held.delivery.map(|done| done.born)));
    assert_eq!(deliveries.collect::<Vec<_>>(), [(1, Some(2)), (1, Some(2))]);
    let runs = worker.recorded_runs();
    let born = runs.iter().map(|run| (&*run.task, run.born));
    assert_eq!(born.collect::<Vec<_>>(), [("t.2", 1), ("t.0", 2)]);
    Ok(())
}

#[tokio::test]
async fn held_calls_arrive_after_their_time_and_are_lost_while_the_worker_is_down() -> Result<()> {
    let worker = Worker::start("i-1", 60_000, 1).await?;
    worker.hold_calls(Hold { limit: 1, late_ms: Some(350), ..Hold::all(CallKind::Start) });
    assert_eq!(start(&worker, "t.0", 100_000).await, Met::Unanswered);
    assert!(worker.recorded_runs().is_empty());
    sleep(Duration::from_millis(150)).await;
    assert_eq!(worker.recorded_runs()[0].task, "t.0");
    worker.hold_calls(Hold::all(CallKind::Stop));
    let stop = json!({ "task": "t.0", "attempt": 1, "fencing-token": 1 });
    assert_eq!(call(worker.address(), "POST", "/api/run-stop", &stop).await, Met::Unanswered);
    assert_eq!(worker.recorded_runs()[0].ended, None);
    worker.go_down().await;
    assert_eq!(worker.deliver(1), None);
    worker.start_incarnation(2);
    worker.come_back();
    assert_eq!(worker.deliver(1), None);
    Ok(())
}

#[tokio::test]
async fn the_history_tells_which_acknowledgement_forgot_an_end_that_no_list_contained() -> Result<()>
{
    let worker = Worker::start("i-1", 60_000, 1).await?;
    worker.hold_calls(Hold { min_acked: 5, limit: 1, ..Hold::all(CallKind::List) });
    assert!(is_status(&hold(&worker).await, 200));
    let acknowledging = json!({ "fencing-token": 1, "acked-through": 5 });
    let met = call(worker.address(), "POST", "/api/hold", &acknowledging).await;
    assert_eq!(met, Met::Unanswered);
    worker.crash_and_return(2, 0).await;
    sleep(Duration::from_millis(50)).await;
    for task in ["t.0", "t.1"] {
        assert!(is_status(&start(&worker, task, 100_000).await, 200));
    }
    let stop = |task| json!({ "task": task, "attempt": 1, "fencing-token": 1 });
    call(worker.address(), "POST", "/api/run-stop", &stop("t.0")).await;
    assert!(is_status(&hold(&worker).await, 200));
    call(worker.address(), "POST", "/api/run-stop", &stop("t.1")).await;
    assert_eq!(worker.deliver(0), Some(200));
    let runs = worker.recorded_runs();
    assert_eq!(runs.iter().map(|run| run.listed).collect::<Vec<_>>(), [true, false]);
    let by = Acknowledgement { acked_through: 5, token: 1, sent_to: 1, born: 2 };
    assert_eq!(runs.iter().map(|run| run.forgotten_by).collect::<Vec<_>>(), [None, Some(by)]);
    Ok(())
}

#[tokio::test]
async fn a_lease_is_cut_to_the_longest_hold_and_taken_from_refused_starts() -> Result<()> {
    let worker = Worker::start("i-1", 60_000, 1).await?;
    let Met::Status(200, list) = hold(&worker).await else { panic!("no list") };
    let clock_ms = list["clock-ms"].as_u64().unwrap_or_default();
    let stop = json!({ "task": "t.0", "attempt": 1, "fencing-token": 1 });
    call(worker.address(), "POST", "/api/run-stop", &stop).await;
    assert!(is_status(&start(&worker, "t.1", clock_ms + 800).await, 200));
    assert!(is_status(&start(&worker, "t.0", clock_ms + 900_000).await, 409));
    // Neither lease ends after 0.8 s: the refused start has extended both, to 10 s at most.
    sleep(Duration::from_millis(1_200)).await;
    assert_eq!(worker.recorded_runs()[0].ended, None);
    sleep(Duration::from_millis(9_600)).await;
    assert_eq!(worker.recorded_runs()[0].cause, "lapsed");
    Ok(())
}

async fn listed(machines: &Machines) -> Option<Value> {
    match call(machines.address(), "GET", "/api/machines", &json!({})).await {
        Met::Status(200, listing) => Some(listing["machines"].clone()),
        _ => None,
    }
}

#[tokio::test]
async fn listings_have_the_injected_faults() -> Result<()> {
    let machines = Machines::start().await?;
    machines.host_worker("m-1", "i-1");
    machines.host_worker("m-2", "i-2");
    machines.distort("m-2");
    let faults = machines::Faults::default;
    for fault in
        [machines::Faults { down: true, ..faults() }, machines::Faults { silent: true, ..faults() }]
    {
        machines.fail(fault);
        assert_eq!(listed(&machines).await, None);
    }
    machines.fail(machines::Faults { empty: true, ..faults() });
    assert_eq!(listed(&machines).await, Some(json!([])));
    for (fault, state, ids) in [
        (RowFault::Missing, "up", vec![]),
        (RowFault::UnknownState, "asleep", vec![json!("i-2")]),
        (RowFault::NullId, "up", vec![json!(null)]),
        (RowFault::NumberId, "up", vec![json!(7)]),
        (RowFault::EmptyId, "up", vec![json!("")]),
        (RowFault::FormerId, "up", vec![json!("i-former")]),
        (RowFault::Doubled, "up", vec![json!("i-2"), json!("i-other")]),
    ] {
        machines.fail(machines::Faults { row: Some(fault), ..faults() });
        let listing = listed(&machines).await.unwrap_or_default();
        let rows = listing.as_array().cloned().unwrap_or_default();
        assert_eq!(rows[0]["id"], "i-1");
        assert!(rows[1..].iter().all(|row| row["state"] == state), "{fault:?}");
        assert_eq!(rows[1..].iter().map(|row| row["id"].clone()).collect::<Vec<_>>(), ids);
    }
    Ok(())
}

#[tokio::test]
async fn a_listing_that_lags_shows_what_was() -> Result<()> {
    let machines = Machines::start().await?;
    machines.host_worker("m-1", "i-former");
    machines.break_down("m-2");
    sleep(Duration::from_millis(400)).await;
    machines.fail(machines::Faults { lag_ms: 300, ..Default::default() });
    machines.host_worker("m-1", "i-1");
    machines.host_worker("m-2", "i-2");
    let listing = listed(&machines).await.unwrap_or_default();
    assert_eq!((&listing[0]["id"], &listing[1]["state"]), (&json!("i-former"), &json!("down")));
    sleep(Duration::from_millis(350)).await;
    let listing = listed(&machines).await.unwrap_or_default();
    assert_eq!((&listing[0]["id"], &listing[1]["id"]), (&json!("i-1"), &json!("i-2")));
    Ok(())
}
