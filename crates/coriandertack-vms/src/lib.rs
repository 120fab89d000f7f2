//! Client of the platform's VM list.
//!
//! [`poll::run`] is the only task that reads the list. It converts differences from the replicated state
//! into records; the records are authoritative, not the list. See docs/design.md, sections 3.1 and 8.

pub mod client;
pub mod diff;
pub mod poll;
mod wire;
