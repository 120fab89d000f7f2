//! A dispatch with a few instances.

use std::time::Duration;

use {
    coriandertack_core::{
        code::Code,
        message::Instance,
        route::{
            RequestKey,
            dispatch::{Dispatch, Ending, Offer, Start, Step},
        },
    },
    tokio::time::Instant,
};

/// Service of the tests.
pub const SERVICE: &str = "vukic.quotes";

/// Returns an instance of a service on a worker.
pub fn instance(service: &str, worker: &str, zone: &str) -> Instance {
    Instance {
        service: service.into(),
        worker: worker.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: zone.into(),
        open: true,
    }
}

/// Returns a dispatch alone in zone `a`, with `workers` workers there.
pub fn dispatch(workers: usize) -> Dispatch {
    let mut dispatch = Dispatch::new("a".into());
    dispatch.shares.join_alone();
    let instances: Vec<Instance> =
        (0..workers).map(|at| instance(SERVICE, &format!("w{at}"), "a")).collect();
    dispatch.update(&instances);
    dispatch
}

/// Returns a duration of whole milliseconds.
pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Offers a request.
pub fn offer(
    dispatch: &mut Dispatch,
    class: &str,
    until: Instant,
    now: Instant,
) -> Result<RequestKey, Code> {
    dispatch.offer(&Offer { service: SERVICE, class, until, repeatable: false }, now)
}

/// Starts all requests that can be started.
pub fn start_all(dispatch: &mut Dispatch, now: Instant) -> Vec<Start> {
    std::iter::from_fn(|| dispatch.start_any(now)).collect()
}

/// Runs one request of a class that is answered after `took`.
pub fn teach(dispatch: &mut Dispatch, class: &str, took: Duration, now: Instant) {
    let request = offer(dispatch, class, now + ms(60_000), now).expect("admitted");
    let start = dispatch.start_for(request, now).expect("a free slot");
    assert_eq!(dispatch.end(start.request, Ending::Answered, now + took), Step::Answer);
}
