//! Decisions on the path of a caller's request.
//!
//! [`dispatch::Dispatch`] is what a router calls: it admits a request, starts it on an instance of
//! its service when a slot is free, and judges how an attempt ended. The other modules are its parts,
//! one decision each. All of them take the time as an argument and do no I/O. See docs/design.md,
//! section 5.
//!
//! ```
//! use std::{sync::Arc, time::Duration};
//!
//! use {
//!     coriandertack_core::{
//!         message::Instance,
//!         route::dispatch::{Dispatch, Ending, Offer, Step},
//!     },
//!     tokio::time::Instant,
//! };
//!
//! let now = Instant::now();
//! let mut dispatch = Dispatch::new("split".into());
//! dispatch.shares.join_alone();
//! dispatch.update(&[Instance {
//!     service: "vukic.quotes".into(),
//!     worker: "w1".into(),
//!     address: "127.0.0.1:9000".parse().unwrap(),
//!     zone: "split".into(),
//!     open: true,
//! }]);
//! let until = now + Duration::from_millis(100);
//! let offer = Offer { service: "vukic.quotes", class: "", until, repeatable: true };
//! let request = dispatch.offer(&offer, now).unwrap();
//! let start = dispatch.start_for(request, now).unwrap();
//! assert_eq!(start.request, request);
//! assert_eq!(dispatch.end(start.request, Ending::Answered, now), Step::Answer);
//! ```

pub mod admission;
pub mod budget;
pub mod dispatch;
pub mod eject;
pub mod estimate;
pub mod keys;
pub mod lanes;
pub mod shares;
pub mod table;

use slotmap::new_key_type;

new_key_type! {
    /// Handle of a worker that answers callers.
    pub struct UpstreamKey;
    /// Handle of an instance: one service on one worker.
    pub struct SiteKey;
    /// Handle of a service.
    pub struct ServiceKey;
    /// Handle of a class of requests of a service.
    pub struct ClassKey;
    /// Handle of a team, whose services share its part of contended slots.
    pub struct AccountKey;
    /// Handle of a request that is queued or in flight.
    pub struct RequestKey;
}
