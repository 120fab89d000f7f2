use {coriandertack_core::code::Code, tokio::time::Instant};

use crate::support::{dispatcher, ms, request_info, start_all, teach};

/// Guards against accepting requests that would start too late, and against refusing others.
#[test]
fn what_would_be_late_is_refused_at_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    for _ in 0..50 {
        teach(&mut dispatcher, "", ms(10), now);
    }
    // 8 slots of 10 ms serve 80 requests in 100 ms.
    let mut admitted = 0;
    for _ in 0..500 {
        match request_info(&mut dispatcher, "", now + ms(100), now) {
            Ok(_) => admitted += 1,
            Err(code) => assert_eq!(code, Code::Overloaded),
        }
        start_all(&mut dispatcher, now);
    }
    assert!((65..=85).contains(&admitted), "{admitted} admitted");
    // A longer deadline leaves more time.
    assert!(request_info(&mut dispatcher, "", now + ms(1_000), now).is_ok());
}

/// Guards against queued requests that are started after there is no time left for them.
#[test]
fn queued_requests_expire_in_time() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    for _ in 0..50 {
        teach(&mut dispatcher, "", ms(10), now);
    }
    let mut started = 0;
    for _ in 0..20 {
        request_info(&mut dispatcher, "", now + ms(60), now).expect("admitted");
        started += start_all(&mut dispatcher, now).len();
    }
    assert_eq!(started, 8);
    assert!(dispatcher.expire(now + ms(30)).is_empty());
    let expired = dispatcher.expire(now + ms(50));
    assert_eq!(expired.len(), 12);
    assert!(expired.iter().all(|&(_, code)| code == Code::Overloaded));
    assert_eq!(dispatcher.request_count(), 8);
}

/// Guards against a late deadline that is served before an earlier one.
#[test]
fn earliest_deadline_goes_first() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    for _ in 0..8 {
        request_info(&mut dispatcher, "", now + ms(500), now).expect("admitted");
    }
    let running = start_all(&mut dispatcher, now);
    let late = request_info(&mut dispatcher, "", now + ms(400), now).expect("admitted");
    let early = request_info(&mut dispatcher, "", now + ms(300), now).expect("admitted");
    dispatcher.abandon(running[0].request, Code::NoUpstream);
    dispatcher.abandon(running[1].request, Code::NoUpstream);
    let order: Vec<_> =
        start_all(&mut dispatcher, now).iter().map(|attempt| attempt.request).collect();
    assert_eq!(order, [early, late]);
}

/// Guards against a class whose burst keeps another class of its service waiting.
#[test]
fn classes_take_turns() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    for class in ["bulk", "single"] {
        for _ in 0..10 {
            teach(&mut dispatcher, class, ms(10), now);
        }
    }
    for _ in 0..100 {
        request_info(&mut dispatcher, "bulk", now + ms(2_000), now).expect("admitted");
    }
    let running = start_all(&mut dispatcher, now);
    // A later deadline does not put the other class behind the burst.
    let single: Vec<_> = (0..2)
        .map(|_| request_info(&mut dispatcher, "single", now + ms(3_000), now).expect("admitted"))
        .collect();
    for attempt in &running[..4] {
        dispatcher.abandon(attempt.request, Code::NoUpstream);
    }
    let started: Vec<_> =
        start_all(&mut dispatcher, now).iter().map(|attempt| attempt.request).collect();
    assert!(single.iter().all(|request| started.contains(request)));
}

/// Guards against a team whose services take all slots of a worker that another team shares.
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
    let mut of_herders = 0;
    let mut running: Vec<_> = std::iter::from_fn(|| dispatcher.start_any(now)).collect();
    for _ in 0..80 {
        let ended = running.remove(0);
        dispatcher.abandon(ended.request, Code::NoUpstream);
        let attempt = dispatcher.start_on(ended.upstream, now).expect("a queued request");
        let (_, service) = services.iter().find(|(key, _)| *key == attempt.request).expect("known");
        of_herders += u32::from(*service == "herders.questions");
        running.push(attempt);
    }
    assert!((36..=44).contains(&of_herders), "{of_herders} of 80 starts");
}
