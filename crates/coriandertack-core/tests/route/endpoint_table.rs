use std::sync::Arc;

use {
    coriandertack_core::{code::Code, routing::dispatcher::Dispatcher},
    tokio::time::Instant,
};

use crate::support::{SERVICE, admit, complete_request, dispatcher, instance, ms, start_all};

/// Guards against sending requests to another zone while this VM's zone has free slots, and against waiting
/// for a slot in this VM's zone while another zone has free ones.
#[test]
fn own_zone_is_preferred_but_not_waited_for() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new("a".into());
    dispatcher.shares.take_all();
    dispatcher.update(&[instance(SERVICE, "far", "b"), instance(SERVICE, "near", "a")]);
    complete_request(&mut dispatcher, "", ms(5), now);
    for _ in 0..16 {
        admit(&mut dispatcher, "", now + ms(1_000), now).expect("admitted");
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

/// Guards against miscounting slots when a worker leaves the list and returns with requests in flight.
#[test]
fn slots_are_counted_across_updates() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    for _ in 0..8 {
        admit(&mut dispatcher, "", now + ms(60_000), now).expect("admitted");
    }
    let started = start_all(&mut dispatcher, now);
    assert_eq!(started.len(), 8);
    dispatcher.update(&[]);
    dispatcher.update(&[instance(SERVICE, "w0", "a")]);
    admit(&mut dispatcher, "", now + ms(60_000), now).expect("admitted");
    assert!(start_all(&mut dispatcher, now).is_empty());
    for attempt in started {
        dispatcher.abandon(attempt.request, Code::NoUpstream);
    }
    assert_eq!(start_all(&mut dispatcher, now).len(), 1);
}

/// Guards against a table that grows with every service that was ever listed.
#[test]
fn services_without_instances_are_removed() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1);
    complete_request(&mut dispatcher, "", ms(5), now);
    dispatcher.update(&[instance("vukic.other", "w0", "a")]);
    let names: Vec<_> =
        dispatcher.table.services.values().map(|service| Arc::clone(&service.name)).collect();
    assert_eq!(names, ["vukic.other".into()]);
}
