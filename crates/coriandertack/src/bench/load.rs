//! Open-loop load.
//!
//! Requests are sent at times that are fixed in advance, whether earlier ones were answered or not, and
//! latency counts from the planned time. A slow system therefore cannot slow the load down and
//! hide its own delays (coordinated omission).

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

use super::cell::call;

/// Time that the HTTP interface keeps for the way back to the caller.
const WAY_BACK: Duration = Duration::from_millis(2);

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    /// Value of `x-class`.
    pub class: &'static str,
    /// Mean time that it takes at a worker, in microseconds.
    pub work_us: u64,
    /// Time after which its caller gives up, in milliseconds.
    pub deadline_ms: u64,
}

impl Kind {
    /// Returns the content of a request, which takes 75% to 125% of the mean.
    pub fn body(&self, random: &mut impl Rng) -> Arc<[u8]> {
        let us = random.random_range(self.work_us * 3 / 4..=self.work_us * 5 / 4);
        Arc::from(us.to_string().as_bytes())
    }
}

/// A request to send.
#[derive(Clone, Copy, Debug)]
pub struct Planned {
    /// When, after the start of the load, in microseconds.
    pub at_us: u64,
    /// What.
    pub kind: Kind,
}

/// How a request went.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// The plan.
    pub planned: Planned,
    /// Time from the planned start to the end, in microseconds.
    pub took_us: u64,
    /// The code, if it was not answered.
    pub code: Option<Code>,
}

impl Sample {
    /// Tells whether it was answered.
    pub fn is_answered(&self) -> bool {
        self.code.is_none()
    }

    /// Tells whether it was answered after its deadline.
    pub fn is_late(&self) -> bool {
        self.is_answered() && self.took_us > self.planned.kind.deadline_ms * 1_000
    }
}

/// Plans requests of one kind with exponential gaps, `rate` of them per second at each time.
pub fn plan(kind: Kind, seconds: f64, seed: u64, rate: impl Fn(f64) -> f64) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut at = 0.0;
    loop {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        at += -uniform.ln() / rate(at).max(0.1);
        if at >= seconds {
            return planned;
        }
        planned.push(Planned { at_us: (at * 1e6) as u64, kind });
    }
}

/// Sends the planned requests and waits for the end of all.
pub async fn send<F, A>(mut planned: Vec<Planned>, seed: u64, send: F) -> Vec<Sample>
where
    F: Fn(Call) -> A,
    A: Future<Output = Result<CallResponse, Code>> + Send + 'static,
{
    planned.sort_by_key(|planned| planned.at_us);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut tasks = Vec::with_capacity(planned.len());
    for planned in planned {
        let at = start + Duration::from_micros(planned.at_us);
        if at > Instant::now() {
            tokio::time::sleep_until(at).await;
        }
        let until = at + Duration::from_millis(planned.kind.deadline_ms) - WAY_BACK;
        let call = call(planned.kind.class, planned.kind.body(&mut random), until);
        let answer = send(call);
        tasks.push(tokio::spawn(async move {
            let result = answer.await;
            let took_us = u64::try_from(at.elapsed().as_micros()).unwrap_or(u64::MAX);
            Sample { planned, took_us, code: result.err() }
        }));
    }
    let mut samples = Vec::with_capacity(tasks.len());
    for task in tasks {
        samples.extend(task.await);
    }
    samples
}

/// Returns the 99th percentile of the latency of answered requests in milliseconds.
pub fn p99_ms<'a>(samples: impl Iterator<Item = &'a Sample>) -> f64 {
    let mut histogram: Histogram<u64> = Histogram::new(3).expect("3 digits are supported");
    for sample in samples.filter(|sample| sample.is_answered()) {
        // The histogram grows as needed, so recording does not fail.
        let _ = histogram.record(sample.took_us);
    }
    histogram.value_at_quantile(0.99) as f64 / 1_000.0
}
