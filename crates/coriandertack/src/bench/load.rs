//! Open-loop load generator.
//!
//! Requests are sent at planned times, whether or not earlier ones were answered, and latency is measured from the
//! planned time. A slow system therefore cannot reduce the load and hide its own delays (coordinated omission).

use std::{future::Future, sync::Arc, time::Duration};

use {
    coriandertack_core::{
        code::Code,
        message::{Call, CallResponse},
    },
    hdrhistogram::Histogram,
    rand::{Rng, RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    tokio::time::Instant,
};

use super::cell::new_call;

/// Part of the deadline that the HTTP interface reserves for the response to reach the caller.
const RESPONSE_MARGIN: Duration = Duration::from_millis(2);

/// Kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Request class, as in the header `x-class`.
    pub class: &'static str,
    /// Mean processing time at a worker, in microseconds.
    pub work_us: u64,
    /// Deadline of the caller after the planned time, in milliseconds.
    pub deadline_ms: u64,
}

impl RequestKind {
    /// Returns the body of a request with a random processing time of 75% to 125% of the mean.
    pub fn body(&self, rng: &mut impl Rng) -> Arc<[u8]> {
        let us = rng.random_range(self.work_us * 3 / 4..=self.work_us * 5 / 4);
        Arc::from(us.to_string().as_bytes())
    }
}

/// Request with its planned send time.
#[derive(Clone, Copy, Debug)]
pub struct PlannedRequest {
    /// Planned send time after the start of the load, in microseconds.
    pub at_us: u64,
    /// Kind of the request.
    pub kind: RequestKind,
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug)]
pub struct RequestOutcome {
    /// Request as it was planned.
    pub planned: PlannedRequest,
    /// Time from the planned send time to the end, in microseconds.
    pub took_us: u64,
    /// Result code of a failure, or `None` if the request was answered.
    pub code: Option<Code>,
}

impl RequestOutcome {
    /// Returns whether the request was answered.
    pub fn is_answered(&self) -> bool {
        self.code.is_none()
    }

    /// Returns whether the request was answered after its deadline.
    pub fn is_late(&self) -> bool {
        self.is_answered() && self.took_us > self.planned.kind.deadline_ms * 1_000
    }
}

/// Plans requests of one kind with exponential gaps. `rate` maps a time in seconds to requests per second.
pub fn plan_requests(
    kind: RequestKind,
    seconds: f64,
    seed: u64,
    rate: impl Fn(f64) -> f64,
) -> Vec<PlannedRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut at = 0.0;
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        at += -uniform.ln() / rate(at).max(0.1);
        if at >= seconds {
            return planned;
        }
        planned.push(PlannedRequest { at_us: (at * 1e6) as u64, kind });
    }
}

/// Sends the planned requests, waits until all of them end, and returns their outcomes.
pub async fn send<F, A>(mut planned: Vec<PlannedRequest>, seed: u64, send: F) -> Vec<RequestOutcome>
where
    F: Fn(Call) -> A,
    A: Future<Output = Result<CallResponse, Code>> + Send + 'static,
{
    planned.sort_by_key(|planned| planned.at_us);
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut tasks = Vec::with_capacity(planned.len());
    for planned in planned {
        let at = start + Duration::from_micros(planned.at_us);
        if at > Instant::now() {
            tokio::time::sleep_until(at).await;
        }
        let until = at + Duration::from_millis(planned.kind.deadline_ms) - RESPONSE_MARGIN;
        let call = new_call(planned.kind.class, planned.kind.body(&mut rng), until);
        let answer = send(call);
        tasks.push(tokio::spawn(async move {
            let result = answer.await;
            let took_us = u64::try_from(at.elapsed().as_micros()).unwrap_or(u64::MAX);
            RequestOutcome { planned, took_us, code: result.err() }
        }));
    }
    let mut outcomes = Vec::with_capacity(tasks.len());
    for task in tasks {
        outcomes.extend(task.await);
    }
    outcomes
}

/// Returns the 99th percentile of the latency of answered requests in milliseconds.
pub fn p99_ms<'a>(outcomes: impl Iterator<Item = &'a RequestOutcome>) -> f64 {
    let mut histogram: Histogram<u64> =
        Histogram::new(3).expect("the histogram supports 3 significant digits");
    for outcome in outcomes.filter(|outcome| outcome.is_answered()) {
        // The histogram resizes itself, so recording does not fail.
        let _ = histogram.record(outcome.took_us);
    }
    histogram.value_at_quantile(0.99) as f64 / 1_000.0
}
