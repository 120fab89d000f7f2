//! The routes of the resource API.
//!
//! The router is built from [`ENDPOINTS`], and a test checks that docs/openapi.json matches it.

use std::sync::Arc;

use {
    coriandertack_core::code::Code,
    futures::future::BoxFuture,
    viz::{Method, Request, Response, Result, Router},
};

use crate::{
    api::Api,
    call::{self, Call},
    explain, health, jobs, members, records,
    reply::{ApiError, ApiResult},
    settings, teams, watch,
};

/// Function that handles the requests to an endpoint.
pub type Handler = fn(Arc<Api>, Call) -> BoxFuture<'static, ApiResult>;

/// A route of the resource API.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// HTTP method.
    pub method: Method,
    /// Path in which `{name}` stands for a parameter.
    pub path: &'static str,
    /// Name of the operation in the audit trail and the OpenAPI description.
    pub operation: &'static str,
    /// Whether only operators may use the endpoint.
    pub operator_only: bool,
    /// Supported query parameters. Others are refused, so that a misspelt `dry_run` does not make the change.
    pub query: &'static [&'static str],
    /// Handler of the requests.
    pub handler: Handler,
}

/// Query parameters of a change that compares versions.
const VERSIONED_CHANGE_PARAMS: &[&str] = &["expect", "dry_run"];

/// Query parameters of a change that does not compare versions.
const CHANGE_PARAMS: &[&str] = &["dry_run"];

/// Query parameters of a list without filters.
const PAGE_PARAMS: &[&str] = &["limit", "after"];

const fn endpoint(
    method: Method,
    path: &'static str,
    operation: &'static str,
    query: &'static [&'static str],
    handler: Handler,
) -> Endpoint {
    Endpoint { method, path, operation, operator_only: false, query, handler }
}

const fn operator_endpoint(
    method: Method,
    path: &'static str,
    operation: &'static str,
    query: &'static [&'static str],
    handler: Handler,
) -> Endpoint {
    Endpoint { method, path, operation, operator_only: true, query, handler }
}

macro_rules! handler {
    ($handler:path) => {
        |api, call| Box::pin($handler(api, call))
    };
}

/// Every route under `/v1/`.
pub static ENDPOINTS: &[Endpoint] = &[
    endpoint(Method::GET, "/v1/teams", "listTeams", PAGE_PARAMS, handler!(teams::list)),
    endpoint(Method::GET, "/v1/teams/{team}", "getTeam", &[], handler!(teams::get)),
    operator_endpoint(
        Method::PUT,
        "/v1/teams/{team}",
        "putTeam",
        VERSIONED_CHANGE_PARAMS,
        handler!(teams::put),
    ),
    operator_endpoint(
        Method::DELETE,
        "/v1/teams/{team}",
        "deleteTeam",
        VERSIONED_CHANGE_PARAMS,
        handler!(teams::delete),
    ),
    operator_endpoint(Method::GET, "/v1/settings", "listSettings", &[], handler!(settings::list)),
    operator_endpoint(
        Method::GET,
        "/v1/settings/{setting}",
        "getSetting",
        &[],
        handler!(settings::get),
    ),
    operator_endpoint(
        Method::PUT,
        "/v1/settings/{setting}",
        "putSetting",
        VERSIONED_CHANGE_PARAMS,
        handler!(settings::put),
    ),
    operator_endpoint(
        Method::DELETE,
        "/v1/settings/{setting}",
        "deleteSetting",
        VERSIONED_CHANGE_PARAMS,
        handler!(settings::delete),
    ),
    endpoint(
        Method::GET,
        "/v1/jobs",
        "listJobs",
        &["limit", "after", "team", "name", "kind", "standing"],
        handler!(jobs::list),
    ),
    endpoint(Method::POST, "/v1/jobs", "submitJob", CHANGE_PARAMS, handler!(jobs::submit)),
    endpoint(Method::GET, "/v1/jobs/{job}", "getJob", &[], handler!(jobs::get)),
    endpoint(
        Method::POST,
        "/v1/jobs/{job}/cancel",
        "cancelJob",
        CHANGE_PARAMS,
        handler!(jobs::cancel),
    ),
    endpoint(Method::GET, "/v1/explain/{job}", "explainJob", &[], handler!(explain::explain)),
    operator_endpoint(
        Method::GET,
        "/v1/workers",
        "listWorkers",
        &["limit", "after", "zone", "owner"],
        handler!(members::list_workers),
    ),
    operator_endpoint(
        Method::GET,
        "/v1/workers/{worker}",
        "getWorker",
        &[],
        handler!(members::get_worker),
    ),
    operator_endpoint(
        Method::POST,
        "/v1/workers/{worker}/cordon",
        "cordonWorker",
        CHANGE_PARAMS,
        handler!(members::cordon),
    ),
    operator_endpoint(
        Method::POST,
        "/v1/workers/{worker}/uncordon",
        "uncordonWorker",
        CHANGE_PARAMS,
        handler!(members::uncordon),
    ),
    operator_endpoint(Method::GET, "/v1/vms", "listVms", &[], handler!(members::list_vms)),
    endpoint(
        Method::GET,
        "/v1/charges",
        "listCharges",
        &["limit", "after", "team", "kind", "from_ms", "to_ms", "format"],
        handler!(records::list_charges),
    ),
    operator_endpoint(
        Method::GET,
        "/v1/audit",
        "listAudit",
        &["limit", "after", "actor", "action", "result", "refused", "from_ms", "to_ms"],
        handler!(records::list_audit),
    ),
    endpoint(Method::GET, "/v1/watch", "watch", &["from", "wait_ms"], handler!(watch::watch)),
];

/// Returns the routes of the resource API and of the health and metrics endpoints.
#[must_use]
pub fn routes(api: Arc<Api>) -> Router {
    let mut router = Router::new();
    for endpoint in ENDPOINTS {
        let shared = Arc::clone(&api);
        let serve = move |request: Request| {
            let api = Arc::clone(&shared);
            async move { Ok::<_, viz::Error>(call::serve(api, endpoint, request).await) }
        };
        router = add_route(router, endpoint, serve);
    }
    let shared = Arc::clone(&api);
    let unknown = move |_: Request| {
        shared.metrics.record_response(Code::NotFound);
        async {
            Ok::<_, viz::Error>(
                ApiError::new(Code::NotFound, "no route matches this method and path")
                    .into_response(),
            )
        }
    };
    health::add_routes(router.any("/v1/*", unknown), api)
}

fn add_route<F, T>(router: Router, endpoint: &Endpoint, serve: F) -> Router
where
    F: Fn(Request) -> T + Clone + Send + Sync + 'static,
    T: Future<Output = Result<Response>> + Send,
{
    let path = router_path(endpoint.path);
    match endpoint.method {
        Method::PUT => router.put(path, serve),
        Method::POST => router.post(path, serve),
        Method::DELETE => router.delete(path, serve),
        _ => router.get(path, serve),
    }
}

/// Converts a path to the router's syntax, with `:name` in place of `{name}`.
fn router_path(path: &str) -> String {
    path.replace('{', ":").replace('}', "")
}
