//! Health and metrics, without a token: they show no team's work.

use std::sync::Arc;

use {
    coriandertack_core::{
        code::Code,
        node::{Node, Stage},
    },
    viz::{Request, Response, Router},
};

use crate::{
    api::Api,
    reply::{Fault, Reply, respond},
};

/// Adds `/healthz`, `/readyz` and `/metrics`.
pub(crate) fn add(router: Router, api: Arc<Api>) -> Router {
    let ready = Arc::clone(&api);
    router
        .get("/healthz", |_: Request| async {
            Ok::<_, viz::Error>(Reply::new(Code::Done).response())
        })
        .get("/readyz", move |_: Request| {
            let answer = readiness(&ready.node);
            async { Ok::<_, viz::Error>(answer.map_or_else(Fault::response, Reply::response)) }
        })
        .get("/metrics", move |_: Request| {
            let response = metrics(&api);
            async { Ok::<_, viz::Error>(response) }
        })
}

/// Tells whether the load balancer may send work here.
///
/// # Errors
///
/// Fails with the code and the reason for which it may not.
pub fn readiness(node: &Node) -> Result<Reply, Fault> {
    let stage = *node.stage.borrow();
    match stage {
        Stage::Serving => {}
        Stage::Starting => {
            return Err(Fault::new(Code::NotReady, "reads the log and has not joined yet"));
        }
        Stage::Draining | Stage::Stopped => {
            return Err(Fault::new(Code::Stopping, format!("the process is {stage}")));
        }
    }
    if node.own_key().is_none() {
        return Err(Fault::new(Code::Fenced, "the session has ended"));
    }
    if !node.is_valid() {
        return Err(Fault::new(Code::LogUnavailable, "the tail of the log was not read for 3 s"));
    }
    Ok(Reply::new(Code::Done).with("stage", stage.to_string()))
}

fn metrics(api: &Api) -> Response {
    api.metrics.observe(&api.node);
    api.metrics.dropped(api.refusals.take_dropped());
    match api.metrics.text() {
        Ok(text) => respond(Code::Done, "text/plain; version=0.0.4", text.into_bytes()),
        Err(error) => Fault::new(Code::Internal, error.to_string()).response(),
    }
}
