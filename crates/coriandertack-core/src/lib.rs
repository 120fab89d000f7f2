//! State and decisions of the coriandertack scheduler.
//!
//! This package holds plain types and functions: no message encoding and no I/O. The packages for
//! the peers convert at their borders and call what is here, so that another front end can use the
//! same decisions. Start with [`state::State::apply`], which replays the log, and with
//! docs/design.md.

pub mod cell;
pub mod change;
pub mod code;
pub mod feasible;
pub mod home;
pub mod home_choice;
pub mod keys;
pub mod learn;
pub mod link;
pub mod message;
pub mod meter;
pub mod node;
pub mod owner;
pub mod record;
pub mod resources;
pub mod route;
pub mod state;
pub mod stats;
pub mod usage;
pub mod validity;
