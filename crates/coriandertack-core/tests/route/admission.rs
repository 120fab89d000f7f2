use {coriandertack_core::code::Code, tokio::time::Instant};

use crate::support::{admit, complete_request, dispatcher, ms, start_all};

/// Guards against admitting requests that would miss their deadline, and against refusing others.
#[test]
fn requests_that_would_be_late_are_refused() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    for _ in 0..50 {
        complete_request(&mut dispatcher, "", ms(10), now);
    }
    // With requests of 10 ms, 8 slots serve 80 requests in 100 ms.
    let mut admitted = 0;
    for _ in 0..500 {
        match admit(&mut dispatcher, "", now + ms(100), now) {
            Ok(_) => admitted += 1,
            Err(code) => assert_eq!(code, Code::Overloaded),
        }
        start_all(&mut dispatcher, now);
    }
    assert!((65..=85).contains(&admitted), "{admitted} admitted");
    // A request with a later deadline can wait for longer.
    assert!(admit(&mut dispatcher, "", now + ms(1_000), now).is_ok());
}

/// Guards against starting queued requests that can no longer be answered before their deadline.
#[test]
fn queued_requests_expire_before_they_are_late() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    for _ in 0..50 {
        complete_request(&mut dispatcher, "", ms(10), now);
    }
    let mut started = 0;
    for _ in 0..20 {
        admit(&mut dispatcher, "", now + ms(60), now).expect("admitted");
        started += start_all(&mut dispatcher, now).len();
    }
    assert_eq!(started, 8);
    assert!(dispatcher.expire(now + ms(30)).is_empty());
    let expired = dispatcher.expire(now + ms(50));
    assert_eq!(expired.len(), 12);
    assert!(expired.iter().all(|&(_, code)| code == Code::Overloaded));
    assert_eq!(dispatcher.request_count(), 8);
}

/// Guards against starting a request before one with an earlier deadline.
#[test]
fn earliest_deadline_starts_first() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    for _ in 0..8 {
        admit(&mut dispatcher, "", now + ms(500), now).expect("admitted");
    }
    let running = start_all(&mut dispatcher, now);
    let late = admit(&mut dispatcher, "", now + ms(400), now).expect("admitted");
    let early = admit(&mut dispatcher, "", now + ms(300), now).expect("admitted");
    dispatcher.abandon(running[0].request, Code::NoUpstream);
    dispatcher.abandon(running[1].request, Code::NoUpstream);
    let order: Vec<_> =
        start_all(&mut dispatcher, now).iter().map(|attempt| attempt.request).collect();
    assert_eq!(order, [early, late]);
}

/// Guards against a burst of one class that delays another class of the service.
#[test]
fn classes_take_turns() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    for class in ["bulk", "single"] {
        for _ in 0..10 {
            complete_request(&mut dispatcher, class, ms(10), now);
        }
    }
    for _ in 0..100 {
        admit(&mut dispatcher, "bulk", now + ms(2_000), now).expect("admitted");
    }
    let running = start_all(&mut dispatcher, now);
    // The other class has later deadlines but still must not wait for the burst.
    let single: Vec<_> = (0..2)
        .map(|_| admit(&mut dispatcher, "single", now + ms(3_000), now).expect("admitted"))
        .collect();
    for attempt in &running[..4] {
        dispatcher.abandon(attempt.request, Code::NoUpstream);
    }
    let started: Vec<_> =
        start_all(&mut dispatcher, now).iter().map(|attempt| attempt.request).collect();
    assert!(single.iter().all(|request| started.contains(request)));
}

/// Guards against a team whose services take all slots of a worker that runs services of another team.
#[test]
fn teams_take_turns_on_a_shared_worker() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    let shared: Vec<_> = ["vukic.quotes", "vukic.plans", "herders.questions"]
        .iter()
        .map(|service| crate::support::instance(service, "w0", "a"))
        .collect();
    dispatcher.update(&shared);
    let mut services = Vec::new();
    for _ in 0..60 {
        for service in ["vukic.quotes", "vukic.plans", "herders.questions"] {
            let request_info = coriandertack_core::routing::dispatcher::RequestInfo {
                service,
                class: "",
                until: now + ms(5_000),
                repeatable: false,
            };
            services.push((dispatcher.admit(&request_info, now).expect("admitted"), service));
        }
    }
    let mut herders_starts = 0;
    let mut running: Vec<_> = std::iter::from_fn(|| dispatcher.start_any(now)).collect();
    for _ in 0..80 {
        let finished = running.remove(0);
        dispatcher.abandon(finished.request, Code::NoUpstream);
        let attempt = dispatcher.start_on(finished.upstream, now).expect("a queued request");
        let (_, service) = services.iter().find(|(key, _)| *key == attempt.request).expect("known");
        herders_starts += u32::from(*service == "herders.questions");
        running.push(attempt);
    }
    assert!((36..=44).contains(&herders_starts), "{herders_starts} of 80 starts");
}
