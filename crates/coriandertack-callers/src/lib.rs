//! Request API for callers.
//!
//! A caller sends `POST /call/{service}`; [`routes`] decodes it and [`Router::call`] carries it out.
//! One task decides for all services, because the slots of a worker are shared between its services
//! (see [`router`]). Requests under an idempotency key go through the key's primary (see [`keyed`]).
//! docs/design.md, section 5, describes the whole path.

pub mod http;
pub mod keyed;
pub mod router;
mod task;

pub use self::{
    http::routes,
    router::{Config, Router},
};
