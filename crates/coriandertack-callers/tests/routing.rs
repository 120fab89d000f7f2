//! Requests through the router, real connections and a serving stand-in.

mod support;

use std::{
    collections::HashMap,
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use {
    coriandertack_core::{code::Code, message::Call, node::Stage},
    coriandertack_standins::serving::{Act, Reply, Serving},
    futures::{future::join_all, poll},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    support::{call, echo, instance, publish, scripted, start, text},
    tokio::{sync::Semaphore, time::Instant},
};

fn once(body: &str) -> Call {
    Call { repeatable: false, ..call(body) }
}

fn runs(workers: &[&Serving], body: &str) -> usize {
    workers.iter().filter_map(|worker| worker.tally().ran.get(body.as_bytes()).copied()).sum()
}

/// Guards against requests that do not reach a worker or answers that do not come back.
#[tokio::test]
async fn answer_comes_back() {
    let worker = echo(Duration::ZERO).await;
    let vms = start(1, &[&worker]).await;
    let answer = vms[0].router.call(call("price of cheese")).await;
    assert_eq!(text(answer).as_deref(), Ok("price of cheese"));
}

/// Guards against passing on an answer that carries another request's id.
#[tokio::test]
async fn answer_with_wrong_id_is_dropped() {
    let worker = scripted(|_| Act::reply(Reply::WrongId)).await;
    let vms = start(1, &[&worker]).await;
    let answer = vms[0].router.call(once("a")).await;
    assert_eq!(answer, Err(Code::OutcomeUnknown));
    assert_eq!(vms[0].router.counters().mismatched.load(Ordering::Relaxed), 1);
}

/// Guards against passing on the beginning of an answer as the whole.
#[tokio::test]
async fn cut_answer_is_dropped() {
    let worker = scripted(|_| Act::reply(Reply::Cut)).await;
    let vms = start(1, &[&worker]).await;
    let answer = vms[0].router.call(once("a long content")).await;
    assert_eq!(answer, Err(Code::OutcomeUnknown));
    assert_eq!(vms[0].router.counters().incomplete.load(Ordering::Relaxed), 1);
}

/// Guards against a late answer reaching the caller, or the next request on the connection.
#[tokio::test]
async fn late_answer_is_dropped() {
    let gate = Arc::new(Semaphore::new(0));
    let behind = Arc::clone(&gate);
    let worker = scripted(move |body| match body {
        b"late" => Act::behind(&behind),
        _ => Act::after(Duration::ZERO),
    });
    let worker = worker.await;
    let vms = start(1, &[&worker]).await;
    let until = Instant::now() + Duration::from_secs(1);
    let answer = vms[0].router.call(Call { until, ..once("late") }).await;
    assert_eq!(answer, Err(Code::OutcomeUnknown));
    gate.add_permits(1);
    vms[0].router.drained().await;
    assert_eq!(vms[0].router.counters().late.load(Ordering::Relaxed), 1);
    let answer = vms[0].router.call(once("next")).await;
    assert_eq!(text(answer).as_deref(), Ok("next"));
}

/// Guards against an answer past its deadline when the process is held up between the worker's answer
/// and the caller.
#[tokio::test]
async fn answer_held_up_past_the_deadline_is_dropped() {
    let worker = echo(Duration::ZERO).await;
    let vms = start(1, &[&worker]).await;
    let until = Instant::now() + Duration::from_millis(500);
    let mut call = pin!(vms[0].router.call(Call { until, ..once("a") }));
    assert!(poll!(&mut call).is_pending());
    let counters = vms[0].router.counters();
    while counters.answered.load(Ordering::Relaxed) + counters.late.load(Ordering::Relaxed) == 0 {
        tokio::task::yield_now().await;
    }
    // This blocks the only thread of the test.
    std::thread::sleep(until - Instant::now() + Duration::from_millis(1));
    assert_eq!(call.await, Err(Code::OutcomeUnknown));
}

/// Guards against failing a request because its worker closed the connection after the one before.
#[tokio::test]
async fn closed_connection_is_replaced() {
    let worker = scripted(|_| Act::reply(Reply::EchoAndClose)).await;
    let vms = start(1, &[&worker]).await;
    for body in ["a", "b", "c"] {
        assert_eq!(text(vms[0].router.call(once(body)).await).as_deref(), Ok(body));
    }
}

/// Guards against giving up a request that certainly did not run.
#[tokio::test]
async fn refused_request_is_tried_elsewhere() {
    let refusing = scripted(|_| Act::reply(Reply::NotRun)).await;
    let worker = echo(Duration::ZERO).await;
    let vms = start(1, &[&refusing, &worker]).await;
    for body in ["a", "b"] {
        assert_eq!(text(vms[0].router.call(once(body)).await).as_deref(), Ok(body));
    }
}

/// Returns an act that depends on the seed and the content only.
fn chaos(seed: u64, body: &[u8]) -> Act {
    let text = String::from_utf8_lossy(body);
    let number: u64 = text.rsplit('-').next().and_then(|end| end.parse().ok()).unwrap_or(0);
    let mut random = ChaCha8Rng::seed_from_u64(seed * 1_000_003 + number);
    let reply = match random.random_range(0..12) {
        0 => Reply::WrongId,
        1 => Reply::Cut,
        2 => Reply::NotRun,
        3 => Reply::Nothing,
        4 => Reply::Fail,
        5 => Reply::EchoAndClose,
        _ => Reply::Echo,
    };
    Act { delay: Duration::from_millis(random.random_range(0..4)), gate: None, reply }
}

/// Guards against an answer to another request, a request that ran although the caller was told that
/// it did not, and a second run of a request that is not repeatable, under mixed faults.
#[tokio::test]
async fn answers_and_refusals_are_true_under_faults() {
    for seed in 0..4 {
        let mut workers = Vec::new();
        for at in 0..4 {
            workers.push(scripted(move |body| chaos(seed * 4 + at, body)).await);
        }
        let workers: Vec<&Serving> = workers.iter().collect();
        let vms = start(2, &workers).await;
        let calls = (0..400).map(|number| {
            let body = format!("request-{number}");
            let call = if number % 2 == 0 { once(&body) } else { call(&body) };
            let router = &vms[number % 2].router;
            async move { (body, router.call(call).await) }
        });
        let mut seen: HashMap<&str, usize> = HashMap::new();
        for (number, (body, result)) in join_all(calls).await.into_iter().enumerate() {
            let runs = runs(&workers, &body);
            match result {
                Ok(answer) => {
                    assert_eq!(&answer.body[..], body.as_bytes(), "seed {seed}");
                    *seen.entry("answered").or_default() += 1;
                }
                Err(code) if code.guarantees_not_run() => {
                    assert_eq!(runs, 0, "seed {seed}: {body} ran in spite of {code}");
                }
                Err(_) => *seen.entry("unknown").or_default() += 1,
            }
            assert!(number % 2 == 1 || runs <= 1, "seed {seed}: {body} ran {runs} times");
        }
        assert_eq!(seen.len(), 2, "seed {seed}: the faults must reach both kinds of outcome");
    }
}

/// Guards against cutting requests in flight by a planned stop.
#[tokio::test]
async fn draining_finishes_what_is_in_flight() {
    let gate = Arc::new(Semaphore::new(0));
    let behind = Arc::clone(&gate);
    let worker = scripted(move |_| Act::behind(&behind)).await;
    let vms = start(1, &[&worker]).await;
    // 8 requests run and 4 wait for a slot.
    let calls: Vec<_> = (0..12)
        .map(|number| {
            let router = Arc::clone(&vms[0].router);
            tokio::spawn(async move { router.call(once(&number.to_string())).await })
        })
        .collect();
    while worker.tally().in_use < 8 || vms[0].router.in_progress() < 12 {
        tokio::task::yield_now().await;
    }
    vms[0].node.stage.send_replace(Stage::Draining);
    assert_eq!(vms[0].router.call(once("new")).await, Err(Code::Stopping));
    gate.add_permits(12);
    vms[0].router.drained().await;
    for (number, call) in calls.into_iter().enumerate() {
        let answer = text(call.await.expect("no panic"));
        assert_eq!(answer, Ok(number.to_string()));
    }
    assert_eq!(runs(&[&worker], "new"), 0);
}

/// Guards against new work for a worker that is leaving.
#[tokio::test]
async fn leaving_worker_gets_nothing_new() {
    let (leaving, staying) = (echo(Duration::ZERO).await, echo(Duration::ZERO).await);
    let vms = start(1, &[&leaving, &staying]).await;
    let mut instances = vec![instance(0, &leaving), instance(1, &staying)];
    instances[0].open = false;
    vms[0].node.instances.send_replace(Arc::new(instances));
    // The routing task takes the new table before or after this request, but before the next ones.
    let _ = vms[0].router.call(call("first")).await;
    let before = leaving.tally().ran.len();
    let calls = (0..40).map(|number| vms[0].router.call(call(&number.to_string())));
    assert!(join_all(calls).await.iter().all(Result::is_ok));
    assert_eq!(leaving.tally().ran.len(), before);
}

/// Guards against a promise to run a request that no worker serves.
#[tokio::test]
async fn unserved_request_is_refused() {
    let worker = echo(Duration::ZERO).await;
    let vms = start(1, &[&worker]).await;
    let other = Call { service: "vukic.other".into(), ..call("a") };
    assert_eq!(vms[0].router.call(other).await, Err(Code::NoUpstream));
    publish(&vms, &[]);
}
