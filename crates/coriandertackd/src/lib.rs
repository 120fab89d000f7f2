//! An entry VM process.
//!
//! [`process::run`] assembles one process from its settings. Each peer has its package; the modules here
//! are the roles that connect them: the home ([`dispatch`], [`gang`], [`recover`]), the owner
//! ([`capacity`]), the keeper of links and workers' tasks ([`members`]), and the requests of other VMs
//! ([`peers`]).

pub mod args;
pub mod capacity;
pub mod dispatch;
pub mod fleet;
pub mod gang;
pub mod http;
pub mod logging;
pub mod members;
pub mod owners;
pub mod peers;
pub mod process;
pub mod recover;
pub mod routes;
pub mod settings;
