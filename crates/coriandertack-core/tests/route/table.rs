use std::sync::Arc;

use {
    coriandertack_core::{code::Code, route::dispatch::Dispatch},
    tokio::time::Instant,
};

use crate::support::{SERVICE, dispatch, instance, ms, offer, start_all, teach};

/// Guards against requests to another zone while the own one has free slots, and against waiting for
/// the own zone while another one is free.
#[test]
fn own_zone_first_but_never_at_the_cost_of_waiting() {
    let now = Instant::now();
    let mut dispatch = Dispatch::new("a".into());
    dispatch.shares.join_alone();
    dispatch.update(&[instance(SERVICE, "far", "b"), instance(SERVICE, "near", "a")]);
    teach(&mut dispatch, "", ms(5), now);
    for _ in 0..16 {
        offer(&mut dispatch, "", now + ms(1_000), now).expect("admitted");
    }
    let started = start_all(&mut dispatch, now);
    let names: Vec<_> = started
        .iter()
        .map(|start| Arc::clone(&dispatch.table.upstreams[start.upstream].name))
        .collect();
    assert!(names[..8].iter().all(|name| **name == *"near"));
    assert!(names[8..].iter().all(|name| **name == *"far"));
    assert_eq!(names.len(), 16);
}

/// Guards against losing count of slots when a worker goes and comes back with requests in flight.
#[test]
fn slots_are_counted_across_updates() {
    let now = Instant::now();
    let mut dispatch = dispatch(1);
    for _ in 0..8 {
        offer(&mut dispatch, "", now + ms(60_000), now).expect("admitted");
    }
    let started = start_all(&mut dispatch, now);
    assert_eq!(started.len(), 8);
    dispatch.update(&[]);
    dispatch.update(&[instance(SERVICE, "w0", "a")]);
    offer(&mut dispatch, "", now + ms(60_000), now).expect("admitted");
    assert!(start_all(&mut dispatch, now).is_empty());
    for start in started {
        dispatch.abandon(start.request, Code::NoUpstream);
    }
    assert_eq!(start_all(&mut dispatch, now).len(), 1);
}

/// Guards against a table that grows with every service that ever ran.
#[test]
fn services_without_instances_are_forgotten() {
    let now = Instant::now();
    let mut dispatch = dispatch(1);
    teach(&mut dispatch, "", ms(5), now);
    dispatch.update(&[instance("vukic.other", "w0", "a")]);
    let names: Vec<_> =
        dispatch.table.services.values().map(|service| Arc::clone(&service.name)).collect();
    assert_eq!(names, ["vukic.other".into()]);
}
