//! An entry VM process.
//!
//! [`process::run`] assembles one process from its settings. The protocol of each peer is in a package of its own.
//! The modules here implement the roles of a VM on top of them: the home of teams ([`dispatch`], [`gang`],
//! [`recover`]), the owner of workers ([`capacity`]), the supervision of link and worker tasks ([`members`]), and the
//! handling of requests from other VMs ([`peers`]).

pub mod args;
pub mod capacity;
pub mod clock;
pub mod connections;
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
