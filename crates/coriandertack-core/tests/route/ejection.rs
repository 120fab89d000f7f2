use std::collections::HashMap;

use {
    coriandertack_core::routing::{
        dispatcher::{AttemptOutcome, Dispatcher, NextAction},
        ejection::EjectionState,
    },
    tokio::time::Instant,
};

use crate::support::{admit, complete_request, dispatcher, ms, start_all};

/// Sends `count` requests one after the other, of which those to a worker in `failing` fail. Returns the
/// number of requests to each worker.
fn send_requests(
    dispatcher: &mut Dispatcher,
    failing: &[&str],
    count: usize,
    now: Instant,
) -> HashMap<String, usize> {
    let mut counts = HashMap::new();
    for _ in 0..count {
        let request = admit(dispatcher, "", now + ms(60_000), now).expect("admitted");
        let attempt = dispatcher.start_for(request, now).expect("a free slot");
        let name = dispatcher.table.upstreams[attempt.upstream].name.to_string();
        let failed = failing.contains(&&name[..]);
        let outcome = if failed { AttemptOutcome::MayHaveRun } else { AttemptOutcome::Answered };
        dispatcher.end_attempt(attempt.request, outcome, now + ms(5));
        *counts.entry(name).or_default() += 1;
    }
    counts
}

fn restricted_count(dispatcher: &Dispatcher) -> usize {
    dispatcher.table.endpoints.values().filter(|endpoint| endpoint.health.is_restricted()).count()
}

/// Guards against sending requests to an instance that fails all of them, and against never trying it again.
#[test]
fn failing_instance_is_ejected_and_recovers() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(4);
    send_requests(&mut dispatcher, &["w0"], 40, now);
    assert_eq!(restricted_count(&dispatcher), 1);
    assert_eq!(send_requests(&mut dispatcher, &["w0"], 40, now + ms(500)).get("w0"), None);
    // After the ejection it gets one request, fails it and is ejected for longer.
    let probed = send_requests(&mut dispatcher, &["w0"], 40, now + ms(1_100));
    assert_eq!(probed["w0"], 1);
    assert_eq!(send_requests(&mut dispatcher, &["w0"], 40, now + ms(2_500)).get("w0"), None);
    // It has recovered: after a few probes it is healthy again.
    send_requests(&mut dispatcher, &[], 40, now + ms(3_500));
    assert_eq!(restricted_count(&dispatcher), 0);
}

/// Guards against sending the full load to a probed instance, which may still fail.
#[test]
fn probed_instance_gets_one_request_at_a_time() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2);
    send_requests(&mut dispatcher, &["w0"], 40, now);
    let later = now + ms(1_500);
    for _ in 0..40 {
        admit(&mut dispatcher, "", later + ms(60_000), later).expect("admitted");
    }
    let started = start_all(&mut dispatcher, later);
    let probes = started.iter().filter(|attempt| {
        dispatcher.table.endpoints[attempt.endpoint].health.state(later) == EjectionState::Probing
    });
    assert_eq!(probes.count(), 1);
    assert_eq!(started.len(), 9);
}

/// Guards against ejecting so many instances of a service that the others cannot carry the load.
#[test]
fn at_most_half_is_ejected() {
    for workers in 1..=9 {
        let now = Instant::now();
        let mut dispatcher = dispatcher(workers);
        let names: Vec<String> = (0..workers).map(|at| format!("w{at}")).collect();
        let failing: Vec<&str> = names.iter().map(|name| &name[..]).collect();
        send_requests(&mut dispatcher, &failing, 200, now);
        assert_eq!(restricted_count(&dispatcher), workers / 2, "of {workers}");
    }
}

/// Guards against using an instance that responds correctly but far more slowly than the others.
#[test]
fn slow_instance_is_ejected() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(4);
    for _ in 0..60 {
        // Concurrent requests reach every instance.
        for _ in 0..32 {
            admit(&mut dispatcher, "", now + ms(60_000), now).expect("admitted");
        }
        for attempt in start_all(&mut dispatcher, now) {
            let slow = *dispatcher.table.upstreams[attempt.upstream].name == *"w0";
            let took = if slow { ms(100) } else { ms(5) };
            dispatcher.end_attempt(attempt.request, AttemptOutcome::Answered, now + took);
        }
        if restricted_count(&dispatcher) > 0 {
            break;
        }
    }
    let endpoint =
        dispatcher.table.endpoints.values().find(|endpoint| endpoint.health.is_restricted());
    let upstream = endpoint.expect("an ejected instance").upstream;
    assert_eq!(&*dispatcher.table.upstreams[upstream].name, "w0");
}

/// Guards against using an instance that accepts requests and never responds. Their attempts end only long
/// after the deadlines, so the missed deadlines have to eject it.
#[test]
fn hanging_instance_is_ejected_at_missed_deadlines() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2);
    for _ in 0..16 {
        admit(&mut dispatcher, "", now + ms(100), now).expect("admitted");
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
    assert_eq!(restricted_count(&dispatcher), 1);
    let counts = send_requests(&mut dispatcher, &[], 20, now + ms(200));
    assert_eq!(counts.get("w0"), None);
}

/// Guards against ejecting instances because of requests that spent their time in the queue of this VM.
#[test]
fn deadlines_missed_in_the_queue_eject_nothing() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2);
    for _ in 0..20 {
        complete_request(&mut dispatcher, "", ms(10), now);
    }
    // Three requests for each instance, which is the number of failures that ejects one.
    for _ in 0..6 {
        admit(&mut dispatcher, "", now + ms(100), now).expect("admitted");
    }
    // They start 5 ms before their deadline, which is half of the usual response time.
    for attempt in start_all(&mut dispatcher, now + ms(95)) {
        dispatcher.mark_overdue(attempt.request, now + ms(100));
    }
    assert_eq!(restricted_count(&dispatcher), 0);
}
