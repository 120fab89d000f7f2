//! Client of the workers.
//!
//! [`control::run`] is the one task for each worker that this VM owns: it sends commands, renews
//! leases and forwards events. Decisions are in core; this package only checks, right before each
//! send, that they may still be carried out. See docs/notes/workers.md.

mod client;
pub mod clock;
pub mod control;
pub mod news;
pub mod upstream;
mod wire;
