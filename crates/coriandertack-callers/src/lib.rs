//! Request API for callers.
//!
//! A caller sends `POST /call/{service}`; [`routes`] decodes the request and [`Router::call`] runs
//! it. One routing task decides for all services, because the services of a worker share its slots
//! (see [`router`]). Requests with an idempotency key go through the key's primary (see [`keyed`]).
//!
//! Bodies are received within a [budget] of bytes by [`bodies`], which the interface for operators and the
//! interface on the platform use as well.
//!
//! docs/design.md, section 5, describes the whole path of a request.

pub mod bodies;
pub mod budget;
pub mod http;
pub mod keyed;
pub mod router;
mod task;

pub use self::{
    http::routes,
    router::{Config, Router},
};
