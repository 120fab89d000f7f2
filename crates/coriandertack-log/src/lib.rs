//! Client of the log service.
//!
//! The control stream is the replicated log of all entry VMs. [`commit::run`] appends the records
//! that this VM submits, and [`tail::run`] reads and applies the records of all VMs. Each is a
//! single loop around its own [`client::Client`]. See docs/design.md, section 3, and
//! docs/notes/log.md.

mod backoff;
pub mod client;
pub mod codec;
pub mod commit;
pub mod jobs;
pub mod member;
mod queue;
mod restore;
pub mod snapshot;
pub mod tail;

mod proto {
    // `include!` keeps rustfmt from reformatting the generated code, which a test compares byte for
    // byte.
    include!("generated/coriandertack.log.v1.rs");
}

mod jobs_proto {
    include!("generated/coriandertack.jobs.v1.rs");
}

pub use self::member::{join, leave};
