//! Requests through the router, real connections and a serving stand-in.

mod support;

use std::time::Duration;

use support::{call, echo, start, text};

/// Guards against requests that do not reach a worker or answers that do not come back.
#[tokio::test]
async fn answer_comes_back() {
    let worker = echo(Duration::ZERO).await;
    let vms = start(1, &[&worker]).await;
    let answer = vms[0].router.call(call("price of cheese")).await;
    assert_eq!(text(answer).as_deref(), Ok("price of cheese"));
}
