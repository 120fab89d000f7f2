//! The resource API for operators and teams.
//!
//! [`routes::routes`] gives the HTTP routes over an [`api::Api`]. Requests are checked and bounded in
//! [`call`], decided in the module of their resource, and answered as JSON with a numbered code
//! ([`reply`]). docs/openapi.json describes the routes; docs/RESULT-CODES.md lists the codes.

pub mod access;
pub mod api;
pub mod call;
mod changes;
mod explain;
mod export;
pub mod health;
mod jobs;
mod live;
mod members;
pub mod metrics;
pub mod preview;
pub mod rates;
mod records;
pub mod refusals;
pub mod reply;
pub mod routes;
pub mod settings_schema;
mod teams;
pub mod watch;

pub use self::{
    access::Operator,
    api::{Admit, Api, Submit},
    export::Export,
    metrics::Metrics,
    routes::routes,
};
