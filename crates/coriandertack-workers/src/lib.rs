//! Client of the control and serving interfaces of workers.
//!
//! [`control::run`] is the task that runs for each worker that this VM owns: it sends commands,
//! renews leases and forwards events. [`upstream::run`] is the task of one connection on which a
//! worker answers callers' requests.
//!
//! Decisions are made in `coriandertack-core`. This package only checks, right before each request
//! to a worker's control interface, that they may still be carried out. See docs/notes/workers.md.

mod client;
pub mod clock;
pub mod control;
pub mod update;
pub mod upstream;
mod wire;
