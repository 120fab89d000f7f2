//! A dispatcher with a few instances, and helpers to run requests through it.

use std::time::Duration;

use {
    coriandertack_core::{
        code::Code,
        message::Instance,
        routing::{
            RequestKey,
            dispatcher::{Attempt, AttemptOutcome, Dispatcher, NextAction, RequestInfo},
        },
    },
    tokio::time::Instant,
};

/// Name of the service that the tests use.
pub const SERVICE: &str = "vukic.quotes";

/// Returns an open instance of a service on a worker.
pub fn instance(service: &str, worker: &str, zone: &str) -> Instance {
    Instance {
        service: service.into(),
        worker: worker.into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: zone.into(),
        open: true,
    }
}

/// Returns the dispatcher of the only VM, in zone `a`, with `workers` workers in the same zone.
pub fn dispatcher(workers: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("a".into());
    dispatcher.shares.take_all();
    let instances: Vec<Instance> =
        (0..workers).map(|at| instance(SERVICE, &format!("w{at}"), "a")).collect();
    dispatcher.update(&instances);
    dispatcher
}

/// Returns a duration in milliseconds.
pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Admits a request that is not repeatable.
pub fn admit(
    dispatcher: &mut Dispatcher,
    class: &str,
    until: Instant,
    now: Instant,
) -> Result<RequestKey, Code> {
    dispatcher.admit(&RequestInfo { service: SERVICE, class, until, repeatable: false }, now)
}

/// Starts all requests that can be started.
pub fn start_all(dispatcher: &mut Dispatcher, now: Instant) -> Vec<Attempt> {
    std::iter::from_fn(|| dispatcher.start_any(now)).collect()
}

/// Runs one request of a class, which is answered after `took`.
pub fn complete_request(dispatcher: &mut Dispatcher, class: &str, took: Duration, now: Instant) {
    let request = admit(dispatcher, class, now + ms(60_000), now).expect("admitted");
    let attempt = dispatcher.start_for(request, now).expect("a free slot");
    assert_eq!(
        dispatcher.end_attempt(attempt.request, AttemptOutcome::Answered, now + took),
        NextAction::Respond
    );
}
