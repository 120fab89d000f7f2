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
    /// Parameters of the query. Others are refused, so that a misspelt `dry_run` changes nothing.
    pub query: &'static [&'static str],
    /// What it does.
    pub handler: Handler,
}

/// Parameters of a change that compares versions.
const VERSIONED: &[&str] = &["expect", "dry_run"];

/// Parameters of other changes.
const CHANGE: &[&str] = &["dry_run"];

/// Parameters of a list without filters.
const PAGE: &[&str] = &["limit", "after"];

const fn endpoint(
    method: Method,
    path: &'static str,
    operation: &'static str,
    query: &'static [&'static str],
    handler: Handler,
) -> Endpoint {
    Endpoint { method, path, operation, operator_only: false, query, handler }
}

const fn operators(
    method: Method,
    path: &'static str,
    operation: &'static str,
    query: &'static [&'static str],
    handler: Handler,
) -> Endpoint {
    Endpoint { method, path, operation, operator_only: true, query, handler }
}

macro_rules! run {
    ($handler:path) => {
        |api, call| Box::pin($handler(api, call))
    };
}

/// Every route under `/v1/`.
pub static ENDPOINTS: &[Endpoint] = &[
    endpoint(Method::GET, "/v1/teams", "listTeams", PAGE, run!(teams::list)),
    endpoint(Method::GET, "/v1/teams/{team}", "getTeam", &[], run!(teams::get)),
    operators(Method::PUT, "/v1/teams/{team}", "putTeam", VERSIONED, run!(teams::put)),
    operators(Method::DELETE, "/v1/teams/{team}", "deleteTeam", VERSIONED, run!(teams::delete)),
    operators(Method::GET, "/v1/settings", "listSettings", &[], run!(live::list)),
    operators(Method::GET, "/v1/settings/{setting}", "getSetting", &[], run!(live::get)),
    operators(Method::PUT, "/v1/settings/{setting}", "putSetting", VERSIONED, run!(live::put)),
    operators(
        Method::DELETE,
        "/v1/settings/{setting}",
        "deleteSetting",
        VERSIONED,
        run!(live::delete),
    ),
    endpoint(
        Method::GET,
        "/v1/jobs",
        "listJobs",
        &["limit", "after", "team", "name", "kind", "standing"],
        run!(jobs::list),
    ),
    endpoint(Method::POST, "/v1/jobs", "submitJob", CHANGE, run!(jobs::submit)),
    endpoint(Method::GET, "/v1/jobs/{job}", "getJob", &[], run!(jobs::get)),
    endpoint(Method::POST, "/v1/jobs/{job}/cancel", "cancelJob", CHANGE, run!(jobs::cancel)),
    endpoint(Method::GET, "/v1/explain/{job}", "explainJob", &[], run!(explain::explain)),
    operators(
        Method::GET,
        "/v1/workers",
        "listWorkers",
        &["limit", "after", "zone", "owner"],
        run!(members::workers),
    ),
    operators(Method::GET, "/v1/workers/{worker}", "getWorker", &[], run!(members::worker)),
    operators(
        Method::POST,
        "/v1/workers/{worker}/cordon",
        "cordonWorker",
        CHANGE,
        run!(members::cordon),
    ),
    operators(
        Method::POST,
        "/v1/workers/{worker}/uncordon",
        "uncordonWorker",
        CHANGE,
        run!(members::uncordon),
    ),
    operators(Method::GET, "/v1/vms", "listVms", &[], run!(members::vms)),
    endpoint(
        Method::GET,
        "/v1/charges",
        "listCharges",
        &["limit", "after", "team", "kind", "from_ms", "to_ms", "format"],
        run!(records::charges),
    ),
    operators(
        Method::GET,
        "/v1/audit",
        "listAudit",
        &["limit", "after", "actor", "action", "result", "refused", "from_ms", "to_ms"],
        run!(records::audit),
    ),
    endpoint(Method::GET, "/v1/watch", "watch", &["from", "wait_ms"], run!(watch::watch)),
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
