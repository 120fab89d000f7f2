//! State and decisions of the coriandertack scheduler.
//!
//! This package holds plain types and functions: no message encoding and no I/O. The packages for
//! the peers convert at their borders and call what is here, so that another front end can use the
//! same decisions. Start with [`state::State::apply`], which replays the log, and with
//! docs/design.md.

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
