//! The resource API for operators and teams.
//!
//! [`routes::routes`] builds the HTTP routes of an [`api::Api`]. [`call`] authenticates and validates
//! requests, the module of each resource handles them, and [`reply`] encodes the result as JSON with a
//! numbered code. docs/openapi.json describes the routes; docs/RESULT-CODES.md lists the codes.

pub mod access;
pub mod api;
pub mod call;
mod changes;
mod explain;
mod export;
pub mod health;
mod jobs;
mod members;
pub mod metrics;
pub mod preview;
pub mod rate_limiter;
mod records;
pub mod refusals;
pub mod reply;
pub mod routes;
mod settings;
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
