//! Tests of requests through the router and real connections to stand-in workers.

mod support;

use std::{
    collections::HashMap,
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use {
    coriandertack_core::{code::Code, message::Call, node::Stage},
    coriandertack_standins::serving::{Action, Reply, Serving},
    futures::{future::join_all, poll},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    support::{call, echo_worker, instance, publish, response_text, scripted_worker, start_vms},
    tokio::{sync::Semaphore, time::Instant},
};

fn non_repeatable_call(body: &str) -> Call {
    Call { repeatable: false, ..call(body) }
}

/// Returns how often the workers ran the request with this body.
fn run_count(workers: &[&Serving], body: &str) -> usize {
    workers.iter().filter_map(|worker| worker.tally().ran.get(body.as_bytes()).copied()).sum()
}

/// Guards against requests that do not reach a worker, and responses that do not reach the caller.
#[tokio::test]
async fn response_reaches_the_caller() {
    let worker = echo_worker(Duration::ZERO).await;
    let vms = start_vms(1, &[&worker]).await;
    let result = vms[0].router.call(call("price of cheese")).await;
    assert_eq!(response_text(result).as_deref(), Ok("price of cheese"));
}

/// Guards against passing on a response that carries the ID of another request.
#[tokio::test]
async fn response_with_wrong_id_is_dropped() {
    let worker = scripted_worker(|_| Action::reply(Reply::WrongId)).await;
    let vms = start_vms(1, &[&worker]).await;
    let result = vms[0].router.call(non_repeatable_call("a")).await;
    assert_eq!(result, Err(Code::OutcomeUnknown));
    assert_eq!(vms[0].router.counters().mismatched.load(Ordering::Relaxed), 1);
}

/// Guards against passing on a truncated response as a complete one.
#[tokio::test]
async fn truncated_response_is_dropped() {
    let worker = scripted_worker(|_| Action::reply(Reply::Truncated)).await;
    let vms = start_vms(1, &[&worker]).await;
    let result = vms[0].router.call(non_repeatable_call("a long content")).await;
    assert_eq!(result, Err(Code::OutcomeUnknown));
    assert_eq!(vms[0].router.counters().incomplete.load(Ordering::Relaxed), 1);
}

/// Guards against passing on a late response to its caller, or as the response to the next request
/// on the connection.
#[tokio::test]
async fn late_response_is_dropped() {
    let gate = Arc::new(Semaphore::new(0));
    let worker_gate = Arc::clone(&gate);
    let worker = scripted_worker(move |body| match body {
        b"late" => Action::behind(&worker_gate),
        _ => Action::after(Duration::ZERO),
    });
    let worker = worker.await;
    let vms = start_vms(1, &[&worker]).await;
    let until = Instant::now() + Duration::from_secs(1);
    let result = vms[0].router.call(Call { until, ..non_repeatable_call("late") }).await;
    assert_eq!(result, Err(Code::OutcomeUnknown));
    gate.add_permits(1);
    vms[0].router.wait_until_drained().await;
    assert_eq!(vms[0].router.counters().late.load(Ordering::Relaxed), 1);
    let result = vms[0].router.call(non_repeatable_call("next")).await;
    assert_eq!(response_text(result).as_deref(), Ok("next"));
}

/// Guards against passing on a response after its deadline when the process is delayed between the
/// worker's response and the caller.
#[tokio::test]
async fn response_delayed_in_the_process_is_dropped() {
    let worker = echo_worker(Duration::ZERO).await;
    let vms = start_vms(1, &[&worker]).await;
    let until = Instant::now() + Duration::from_millis(500);
    let mut call = pin!(vms[0].router.call(Call { until, ..non_repeatable_call("a") }));
    assert!(poll!(&mut call).is_pending());
    let counters = vms[0].router.counters();
    while counters.answered.load(Ordering::Relaxed) + counters.late.load(Ordering::Relaxed) == 0 {
        tokio::task::yield_now().await;
    }
    // Blocks the only thread of the test's runtime until the deadline has passed.
    std::thread::sleep(until - Instant::now() + Duration::from_millis(1));
    assert_eq!(call.await, Err(Code::OutcomeUnknown));
}

/// Guards against failing a request because the worker closed the connection after the previous
/// one.
#[tokio::test]
async fn closed_connection_is_replaced() {
    let worker = scripted_worker(|_| Action::reply(Reply::EchoAndClose)).await;
    let vms = start_vms(1, &[&worker]).await;
    for body in ["a", "b", "c"] {
        assert_eq!(
            response_text(vms[0].router.call(non_repeatable_call(body)).await).as_deref(),
            Ok(body)
        );
    }
}

/// Guards against failing a request that a worker has certainly not run, although another worker
/// could run it.
#[tokio::test]
async fn refused_request_is_retried_on_another_worker() {
    let refusing = scripted_worker(|_| Action::reply(Reply::NotRun)).await;
    let worker = echo_worker(Duration::ZERO).await;
    let vms = start_vms(1, &[&refusing, &worker]).await;
    for body in ["a", "b"] {
        assert_eq!(
            response_text(vms[0].router.call(non_repeatable_call(body)).await).as_deref(),
            Ok(body)
        );
    }
}

/// Returns a random act that depends only on the seed and the body.
fn random_act(seed: u64, body: &[u8]) -> Action {
    let text = String::from_utf8_lossy(body);
    let number: u64 = text.rsplit('-').next().and_then(|end| end.parse().ok()).unwrap_or(0);
    let mut rng = ChaCha8Rng::seed_from_u64(seed * 1_000_003 + number);
    let reply = match rng.random_range(0..12) {
        0 => Reply::WrongId,
        1 => Reply::Truncated,
        2 => Reply::NotRun,
        3 => Reply::NoResponse,
        4 => Reply::Fail,
        5 => Reply::EchoAndClose,
        _ => Reply::Echo,
    };
    Action { delay: Duration::from_millis(rng.random_range(0..4)), gate: None, reply }
}

/// Guards against wrong results under mixed faults: a response to another request, a request that
/// ran although its code guarantees that it did not, and a second run of a request that is not
/// repeatable.
#[tokio::test]
async fn responses_and_refusals_are_correct_under_faults() {
    for seed in 0..4 {
        let mut workers = Vec::new();
        for index in 0..4 {
            workers.push(scripted_worker(move |body| random_act(seed * 4 + index, body)).await);
        }
        let workers: Vec<&Serving> = workers.iter().collect();
        let vms = start_vms(2, &workers).await;
        let calls = (0..400).map(|number| {
            let body = format!("request-{number}");
            let call = if number % 2 == 0 { non_repeatable_call(&body) } else { call(&body) };
            let router = &vms[number % 2].router;
            async move { (body, router.call(call).await) }
        });
        let mut seen: HashMap<&str, usize> = HashMap::new();
        for (number, (body, result)) in join_all(calls).await.into_iter().enumerate() {
            let runs = run_count(&workers, &body);
            match result {
                Ok(response) => {
                    assert_eq!(&response.body[..], body.as_bytes(), "seed {seed}");
                    *seen.entry("answered").or_default() += 1;
                }
                Err(code) if code.guarantees_not_run() => {
                    assert_eq!(
                        runs, 0,
                        "seed {seed}: {body} ran although it was refused with {code}"
                    );
                }
                Err(_) => *seen.entry("unknown").or_default() += 1,
            }
            assert!(number % 2 == 1 || runs <= 1, "seed {seed}: {body} ran {runs} times");
        }
        assert_eq!(seen.len(), 2, "seed {seed}: the faults did not lead to both kinds of outcome");
    }
}

/// Guards against dropping queued requests and requests in flight during a planned stop.
#[tokio::test]
async fn draining_finishes_admitted_requests() {
    let gate = Arc::new(Semaphore::new(0));
    let worker_gate = Arc::clone(&gate);
    let worker = scripted_worker(move |_| Action::behind(&worker_gate)).await;
    let vms = start_vms(1, &[&worker]).await;
    // 8 requests run and 4 wait for a slot.
    let calls: Vec<_> = (0..12)
        .map(|number| {
            let router = Arc::clone(&vms[0].router);
            tokio::spawn(async move { router.call(non_repeatable_call(&number.to_string())).await })
        })
        .collect();
    while worker.tally().in_use < 8 || vms[0].router.calls_in_progress() < 12 {
        tokio::task::yield_now().await;
    }
    vms[0].node.stage.send_replace(Stage::Draining);
    assert_eq!(vms[0].router.call(non_repeatable_call("new")).await, Err(Code::Stopping));
    gate.add_permits(12);
    vms[0].router.wait_until_drained().await;
    for (number, call) in calls.into_iter().enumerate() {
        let result = response_text(call.await.expect("the call panicked"));
        assert_eq!(result, Ok(number.to_string()));
    }
    assert_eq!(run_count(&[&worker], "new"), 0);
}

/// Guards against sending new requests to a worker that is leaving.
#[tokio::test]
async fn leaving_worker_gets_no_new_requests() {
    let (leaving, staying) = (echo_worker(Duration::ZERO).await, echo_worker(Duration::ZERO).await);
    let vms = start_vms(1, &[&leaving, &staying]).await;
    let mut instances = vec![instance(0, &leaving), instance(1, &staying)];
    instances[0].open = false;
    vms[0].node.instances.send_replace(Arc::new(instances));
    // The routing task may apply the new instances before or after this request, but before the
    // next ones.
    let _ = vms[0].router.call(call("first")).await;
    let before = leaving.tally().ran.len();
    let calls = (0..40).map(|number| vms[0].router.call(call(&number.to_string())));
    assert!(join_all(calls).await.iter().all(Result::is_ok));
    assert_eq!(leaving.tally().ran.len(), before);
}

/// Guards against admitting a request for a service that no worker serves.
#[tokio::test]
async fn request_for_unknown_service_is_refused() {
    let worker = echo_worker(Duration::ZERO).await;
    let vms = start_vms(1, &[&worker]).await;
    let other = Call { service: "vukic.other".into(), ..call("a") };
    assert_eq!(vms[0].router.call(other).await, Err(Code::NoUpstream));
    publish(&vms, &[]);
}
