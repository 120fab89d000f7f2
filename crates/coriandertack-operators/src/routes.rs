//! The routes of the resource API.
//!
//! [`ENDPOINTS`] is the one list of them: the router is built from it, and a test holds
//! docs/openapi.json to it.

use std::sync::Arc;

use {
    coriandertack_core::code::Code,
    futures::future::BoxFuture,
    viz::{Method, Request, Response, Result, Router},
};

use crate::{
    api::Api,
    call::{self, Call},
    explain, health, jobs, live, members, records,
    reply::{Answer, Fault},
    teams, watch,
};

/// Runs the request at an endpoint.
pub type Handler = fn(Arc<Api>, Call) -> BoxFuture<'static, Answer>;

/// A route of the resource API.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// HTTP method.
    pub method: Method,
    /// Path, with a parameter as `{name}`.
    pub path: &'static str,
    /// Name of the operation, as the audit trail and the OpenAPI description show it.
    pub operation: &'static str,
    /// Whether a team's token is refused.
    pub operator_only: bool,
    /// What it does.
    pub handler: Handler,
}

const fn endpoint(
    method: Method,
    path: &'static str,
    operation: &'static str,
    handler: Handler,
) -> Endpoint {
    Endpoint { method, path, operation, operator_only: false, handler }
}

const fn operators(
    method: Method,
    path: &'static str,
    operation: &'static str,
    handler: Handler,
) -> Endpoint {
    Endpoint { method, path, operation, operator_only: true, handler }
}

macro_rules! run {
    ($handler:path) => {
        |api, call| Box::pin($handler(api, call))
    };
}

/// Every route under `/v1/`.
pub static ENDPOINTS: &[Endpoint] = &[
    endpoint(Method::GET, "/v1/teams", "listTeams", run!(teams::list)),
    endpoint(Method::GET, "/v1/teams/{team}", "getTeam", run!(teams::get)),
    operators(Method::PUT, "/v1/teams/{team}", "putTeam", run!(teams::put)),
    operators(Method::DELETE, "/v1/teams/{team}", "deleteTeam", run!(teams::delete)),
    operators(Method::GET, "/v1/settings", "listSettings", run!(live::list)),
    operators(Method::GET, "/v1/settings/{setting}", "getSetting", run!(live::get)),
    operators(Method::PUT, "/v1/settings/{setting}", "putSetting", run!(live::put)),
    operators(Method::DELETE, "/v1/settings/{setting}", "deleteSetting", run!(live::delete)),
    endpoint(Method::GET, "/v1/jobs", "listJobs", run!(jobs::list)),
    endpoint(Method::POST, "/v1/jobs", "submitJob", run!(jobs::submit)),
    endpoint(Method::GET, "/v1/jobs/{job}", "getJob", run!(jobs::get)),
    endpoint(Method::POST, "/v1/jobs/{job}/cancel", "cancelJob", run!(jobs::cancel)),
    endpoint(Method::GET, "/v1/explain/{job}", "explainJob", run!(explain::explain)),
    operators(Method::GET, "/v1/workers", "listWorkers", run!(members::workers)),
    operators(Method::GET, "/v1/workers/{worker}", "getWorker", run!(members::worker)),
    operators(Method::POST, "/v1/workers/{worker}/cordon", "cordonWorker", run!(members::cordon)),
    operators(
        Method::POST,
        "/v1/workers/{worker}/uncordon",
        "uncordonWorker",
        run!(members::uncordon),
    ),
    operators(Method::GET, "/v1/vms", "listVms", run!(members::vms)),
    endpoint(Method::GET, "/v1/charges", "listCharges", run!(records::charges)),
    operators(Method::GET, "/v1/audit", "listAudit", run!(records::audit)),
    endpoint(Method::GET, "/v1/watch", "watch", run!(watch::watch)),
];

/// Returns the routes of the resource API, of health and of metrics.
#[must_use]
pub fn routes(api: Arc<Api>) -> Router {
    let mut router = Router::new();
    for endpoint in ENDPOINTS {
        let shared = Arc::clone(&api);
        let serve = move |request: Request| {
            let api = Arc::clone(&shared);
            async move { Ok::<_, viz::Error>(call::serve(api, endpoint, request).await) }
        };
        router = add(router, endpoint, serve);
    }
    let shared = Arc::clone(&api);
    let unknown = move |_: Request| {
        shared.metrics.answered(Code::NotFound);
        async { Ok::<_, viz::Error>(Fault::new(Code::NotFound, "no such route").response()) }
    };
    health::add(router.any("/v1/*", unknown), api)
}

fn add<F, T>(router: Router, endpoint: &Endpoint, serve: F) -> Router
where
    F: Fn(Request) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = Result<Response>> + Send,
{
    let path = pattern(endpoint.path);
    match endpoint.method {
        Method::PUT => router.put(path, serve),
        Method::POST => router.post(path, serve),
        Method::DELETE => router.delete(path, serve),
        _ => router.get(path, serve),
    }
}

/// Returns a path in the form of the router, `:name` for `{name}`.
fn pattern(path: &str) -> String {
    path.replace('{', ":").replace('}', "")
}
