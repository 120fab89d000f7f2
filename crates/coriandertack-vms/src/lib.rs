//! Client of the platform's VM list.
//!
//! [`poll::run`] is the one task that reads the list. It turns differences from the replicated state
//! into records; the records decide, not the list. See docs/design.md, sections 3.1 and 8.

pub mod client;
pub mod diff;
pub mod poll;
mod wire;
