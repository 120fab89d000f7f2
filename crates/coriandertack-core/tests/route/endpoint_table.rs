use std::sync::Arc;

use {
    coriandertack_core::{code::Code, routing::dispatcher::Dispatcher},
    tokio::time::Instant,
};

use crate::support::{SERVICE, dispatcher, instance, ms, request_info, start_all, teach};

/// Guards against requests to another zone while the own one has free slots, and against waiting for
/// the own zone while another one is free.
#[test]
fn own_zone_first_but_never_at_the_cost_of_waiting() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new("a".into());
    dispatcher.shares.claim_all();
    dispatcher.update(&[instance(SERVICE, "far", "b"), instance(SERVICE, "near", "a")]);
    teach(&mut dispatcher, "", ms(5), now);
    for _ in 0..16 {
        request_info(&mut dispatcher, "", now + ms(1_000), now).expect("admitted");
    }
    let started = start_all(&mut dispatcher, now);
    let names: Vec<_> = started
        .iter()
        .map(|attempt| Arc::clone(&dispatcher.table.upstreams[attempt.upstream].name))
        .collect();
    assert!(names[..8].iter().all(|name| **name == *"near"));
    assert!(names[8..].iter().all(|name| **name == *"far"));
    assert_eq!(names.len(), 16);
}

/// Guards against losing count of slots when a worker goes and comes back with requests in flight.
#[test]
fn slots_are_counted_across_updates() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    for _ in 0..8 {
        request_info(&mut dispatcher, "", now + ms(60_000), now).expect("admitted");
    }
    let started = start_all(&mut dispatcher, now);
    assert_eq!(started.len(), 8);
    dispatcher.update(&[]);
    dispatcher.update(&[instance(SERVICE, "w0", "a")]);
    request_info(&mut dispatcher, "", now + ms(60_000), now).expect("admitted");
    assert!(start_all(&mut dispatcher, now).is_empty());
    for attempt in started {
        dispatcher.abandon(attempt.request, Code::NoUpstream);
    }
    assert_eq!(start_all(&mut dispatcher, now).len(), 1);
}

/// Guards against a table that grows with every service that ever ran.
#[test]
fn services_without_instances_are_forgotten() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    teach(&mut dispatcher, "", ms(5), now);
    dispatcher.update(&[instance("vukic.other", "w0", "a")]);
    let names: Vec<_> =
        dispatcher.table.services.values().map(|service| Arc::clone(&service.name)).collect();
    assert_eq!(names, ["vukic.other".into()]);
}
