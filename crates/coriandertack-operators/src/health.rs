//! Health and metrics endpoints. They need no token because they reveal nothing about a team's work.

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
    reply::{ApiError, Reply, build_response},
};

/// Adds the routes `/healthz`, `/readyz` and `/metrics`.
pub(crate) fn add_routes(router: Router, api: Arc<Api>) -> Router {
    let ready = Arc::clone(&api);
    router
        .get("/healthz", |_: Request| async {
            Ok::<_, viz::Error>(Reply::new(Code::Done).into_response())
        })
        .get("/readyz", move |_: Request| {
            let result = readiness(&ready.node);
            async {
                Ok::<_, viz::Error>(
                    result.map_or_else(ApiError::into_response, Reply::into_response),
                )
            }
        })
        .get("/metrics", move |_: Request| {
            let response = metrics(&api);
            async { Ok::<_, viz::Error>(response) }
        })
}

/// Returns whether the load balancer may route requests to this VM.
///
/// # Errors
///
/// Fails with the code and the reason why the VM is not ready.
pub fn readiness(node: &Node) -> Result<Reply, ApiError> {
    let stage = *node.stage.borrow();
    match stage {
        Stage::Serving => {}
        Stage::Starting => {
            return Err(ApiError::new(
                Code::NotReady,
                "the VM is reading the log and has not joined yet",
            ));
        }
        Stage::Draining | Stage::Stopped => {
            return Err(ApiError::new(
                Code::Stopping,
                format!("the VM is {stage} and accepts no work"),
            ));
        }
    }
    if node.own_key().is_none() {
        return Err(ApiError::new(Code::Fenced, "the session of the VM has ended"));
    }
    if !node.is_valid() {
        return Err(ApiError::new(
            Code::LogUnavailable,
            "the tail of the log has not been read for 3 s",
        ));
    }
    Ok(Reply::new(Code::Done).with("stage", stage.to_string()))
}

fn metrics(api: &Api) -> Response {
    api.metrics.update_gauges(&api.node);
    api.metrics.record_dropped_refusals(api.refusals.take_dropped());
    match api.metrics.text() {
        Ok(text) => build_response(Code::Done, "text/plain; version=0.0.4", text.into_bytes()),
        Err(error) => ApiError::new(Code::Internal, error.to_string()).into_response(),
    }
}
