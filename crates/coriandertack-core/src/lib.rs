//! Replicated state and scheduling decisions of coriandertack.
//!
//! This crate contains plain types and functions, without message encoding or I/O. The crates for the
//! individual peers convert messages at their boundaries and call this crate, so that another front end
//! can use the same decisions. Good starting points are [`state::State::apply`], which replays the log,
//! and docs/design.md.

pub mod change;
pub mod class_profiles;
pub mod code;
pub mod feasibility;
pub mod home;
pub mod keys;
pub mod message;
pub mod node;
pub mod owner;
pub mod owner_selection;
pub mod peer_link;
pub mod pool;
pub mod record;
pub mod resources;
pub mod routing;
pub mod state;
pub mod stats;
pub mod usage_buffer;
pub mod usage_meter;
pub mod validity;
