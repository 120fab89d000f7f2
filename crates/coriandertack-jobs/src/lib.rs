//! Multi-step jobs and the decisions that place their tasks on workers.
//!
//! One entry VM at a time is the leader: it holds the fencing token of the progress records and
//! owns a [`sched::Scheduler`]. Every entry VM follows the records in a [`replica::Replica`], from
//! which it answers callers and from which the next leader starts. The package contains no message
//! encoding and no I/O; see docs/notes/platform.md.

pub mod access;
pub mod boot_time;
pub mod config;
pub mod config_age;
pub mod config_check;
pub mod fair;
pub mod hosts;
pub mod ids;
pub mod ledger;
pub mod maintenance;
pub mod occurrences;
pub mod progress;
pub mod replica;
pub mod report;
pub mod response_times;
pub mod return_time;
pub mod routes;
pub mod sched;
pub mod spec;
pub mod teams;
