//! A dispatch with a few instances.

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
pub fn dispatcher(workers: usize) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("a".into());
    dispatcher.shares.claim_all();
    let instances: Vec<Instance> =
        (0..workers).map(|at| instance(SERVICE, &format!("w{at}"), "a")).collect();
    dispatcher.update(&instances);
    dispatcher
}

/// Returns a duration of whole milliseconds.
pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Offers a request.
pub fn request_info(
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

/// Runs one request of a class that is answered after `took`.
pub fn teach(dispatcher: &mut Dispatcher, class: &str, took: Duration, now: Instant) {
    let request = request_info(dispatcher, class, now + ms(60_000), now).expect("admitted");
    let attempt = dispatcher.start_for(request, now).expect("a free slot");
    assert_eq!(
        dispatcher.end_attempt(attempt.request, AttemptOutcome::Answered, now + took),
        NextAction::Respond
    );
}
