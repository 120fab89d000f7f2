use std::collections::HashMap;

use {
    coriandertack_core::routing::{
        dispatcher::{AttemptOutcome, Dispatcher, NextAction},
        ejection::EjectionState,
    },
    tokio::time::Instant,
};

use crate::support::{dispatcher, ms, request_info, start_all, teach};

/// Sends `count` requests one after the other; those to a worker in `bad` fail. Returns how many each
/// worker got.
fn run(
    dispatcher: &mut Dispatcher,
    bad: &[&str],
    count: usize,
    now: Instant,
) -> HashMap<String, usize> {
    let mut got = HashMap::new();
    for _ in 0..count {
        let request = request_info(dispatcher, "", now + ms(60_000), now).expect("admitted");
        let attempt = dispatcher.start_for(request, now).expect("a free slot");
        let name = dispatcher.table.upstreams[attempt.upstream].name.to_string();
        let failed = bad.contains(&&name[..]);
        let outcome = if failed { AttemptOutcome::MayHaveRun } else { AttemptOutcome::Answered };
        dispatcher.end_attempt(attempt.request, outcome, now + ms(5));
        *got.entry(name).or_default() += 1;
    }
    got
}

fn out(dispatcher: &Dispatcher) -> usize {
    dispatcher.table.endpoints.values().filter(|endpoint| endpoint.health.is_restricted()).count()
}

/// Guards against work for an instance that fails every request, and against giving up on it.
#[test]
fn failing_instance_is_ejected_and_comes_back() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(4);
    run(&mut dispatcher, &["w0"], 40, now);
    assert_eq!(out(&dispatcher), 1);
    assert_eq!(run(&mut dispatcher, &["w0"], 40, now + ms(500)).get("w0"), None);
    // After the pause it gets a request, fails and is ejected for longer.
    let probed = run(&mut dispatcher, &["w0"], 40, now + ms(1_100));
    assert_eq!(probed["w0"], 1);
    assert_eq!(run(&mut dispatcher, &["w0"], 40, now + ms(2_500)).get("w0"), None);
    // It works again: after a few probes it gets its part.
    run(&mut dispatcher, &[], 40, now + ms(3_500));
    assert_eq!(out(&dispatcher), 0);
}

/// Guards against a probe that lets a full load onto an instance that still fails.
#[test]
fn probed_instance_gets_one_request_at_a_time() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2);
    run(&mut dispatcher, &["w0"], 40, now);
    let later = now + ms(1_500);
    for _ in 0..40 {
        request_info(&mut dispatcher, "", later + ms(60_000), later).expect("admitted");
    }
    let started = start_all(&mut dispatcher, later);
    let probes = started.iter().filter(|attempt| {
        dispatcher.table.endpoints[attempt.endpoint].health.state(later) == EjectionState::Probing
    });
    assert_eq!(probes.count(), 1);
    assert_eq!(started.len(), 9);
}

/// Guards against ejecting so much of a service that the rest cannot carry its load.
#[test]
fn at_most_half_is_ejected() {
    for workers in 1..=9 {
        let now = Instant::now();
        let mut dispatcher = dispatcher(workers);
        let names: Vec<String> = (0..workers).map(|at| format!("w{at}")).collect();
        let bad: Vec<&str> = names.iter().map(|name| &name[..]).collect();
        run(&mut dispatcher, &bad, 200, now);
        assert_eq!(out(&dispatcher), workers / 2, "of {workers}");
    }
}

/// Guards against an instance that answers correctly, but far more slowly than the others.
#[test]
fn slow_instance_is_ejected() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(4);
    for _ in 0..60 {
        // Requests that overlap reach every instance.
        for _ in 0..32 {
            request_info(&mut dispatcher, "", now + ms(60_000), now).expect("admitted");
        }
        for attempt in start_all(&mut dispatcher, now) {
            let slow = *dispatcher.table.upstreams[attempt.upstream].name == *"w0";
            let took = if slow { ms(100) } else { ms(5) };
            dispatcher.end_attempt(attempt.request, AttemptOutcome::Answered, now + took);
        }
        if out(&dispatcher) > 0 {
            break;
        }
    }
    let endpoint =
        dispatcher.table.endpoints.values().find(|endpoint| endpoint.health.is_restricted());
    let upstream = endpoint.expect("one is ejected").upstream;
    assert_eq!(&*dispatcher.table.upstreams[upstream].name, "w0");
}

/// Guards against an instance that accepts requests and never answers, and that would hold each of
/// them until long after its deadline.
#[test]
fn hanging_instance_is_ejected_at_the_deadlines() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2);
    for _ in 0..16 {
        request_info(&mut dispatcher, "", now + ms(100), now).expect("admitted");
    }
    for attempt in start_all(&mut dispatcher, now) {
        match &*dispatcher.table.upstreams[attempt.upstream].name {
            "w0" => dispatcher.mark_overdue(attempt.request, now + ms(100)),
            _ => assert_eq!(
                dispatcher.end_attempt(attempt.request, AttemptOutcome::Answered, now),
                NextAction::Respond
            ),
        }
    }
    assert_eq!(out(&dispatcher), 1);
    let got = run(&mut dispatcher, &[], 20, now + ms(200));
    assert_eq!(got.get("w0"), None);
}

/// Guards against ejecting instances for requests that spent their time in the queue of this VM.
#[test]
fn passed_deadlines_of_queued_requests_eject_nothing() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2);
    for _ in 0..20 {
        teach(&mut dispatcher, "", ms(10), now);
    }
    // Three for each instance, as many as it takes to eject one.
    for _ in 0..6 {
        request_info(&mut dispatcher, "", now + ms(100), now).expect("admitted");
    }
    // They start 5 ms before their deadline, half of the usual response time.
    for attempt in start_all(&mut dispatcher, now + ms(95)) {
        dispatcher.mark_overdue(attempt.request, now + ms(100));
    }
    assert_eq!(out(&dispatcher), 0);
}
