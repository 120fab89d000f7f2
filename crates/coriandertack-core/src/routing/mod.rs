//! Routing of callers' requests to the instances of their services.
//!
//! A router calls [`dispatcher::Dispatcher`], which admits a request, starts it on an instance when a slot
//! is free, and decides what follows each attempt. The other modules hold the parts of these decisions. All
//! of them take the time as an argument and do no I/O. See docs/design.md, section 5.
//!
//! ```
//! use std::{sync::Arc, time::Duration};
//!
//! use {
//!     coriandertack_core::{
//!         message::Instance,
//!         routing::dispatcher::{AttemptOutcome, Dispatcher, NextAction, RequestInfo},
//!     },
//!     tokio::time::Instant,
//! };
//!
//! let now = Instant::now();
//! let mut dispatcher = Dispatcher::new("split".into());
//! dispatcher.shares.take_all();
//! dispatcher.update(&[Instance {
//!     service: "vukic.quotes".into(),
//!     worker: "w1".into(),
//!     address: "127.0.0.1:9000".parse().unwrap(),
//!     zone: "split".into(),
//!     open: true,
//! }]);
//! let until = now + Duration::from_millis(100);
//! let request_info = RequestInfo { service: "vukic.quotes", class: "", until, repeatable: true };
//! let request = dispatcher.admit(&request_info, now).unwrap();
//! let attempt = dispatcher.start_for(request, now).unwrap();
//! assert_eq!(attempt.request, request);
//! assert_eq!(dispatcher.end_attempt(attempt.request, AttemptOutcome::Answered, now), NextAction::Respond);
//! ```

pub mod admission;
pub mod dispatcher;
pub mod ejection;
pub mod endpoint_table;
pub mod estimate;
pub mod idempotency;
pub mod request_length;
pub mod retry_budget;
pub mod shares;

use slotmap::new_key_type;

new_key_type! {
    /// Handle of a worker that serves requests of callers.
    pub struct UpstreamKey;
    /// Handle of an instance: one service on one worker.
    pub struct EndpointKey;
    /// Handle of a service.
    pub struct ServiceKey;
    /// Handle of a class of requests of a service.
    pub struct ClassKey;
    /// Handle of a team, whose services together get one team's share of contended slots.
    pub struct AccountKey;
    /// Handle of a request that is queued or in flight.
    pub struct RequestKey;
}
