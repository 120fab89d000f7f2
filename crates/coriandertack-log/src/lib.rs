//! Client of the log service.
//!
//! The control stream carries the records that all entry VMs apply. [`commit::run`] appends what
//! this VM submits, and [`tail::run`] reads and applies what all VMs appended. Both are plain loops
//! around one [`client::Client`]. See docs/design.md, section 3, and docs/notes/log.md.

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
    // An include keeps rustfmt from the generated code, which is compared byte for byte.
    include!("generated/coriandertack.log.v1.rs");
}

mod jobs_proto {
    include!("generated/coriandertack.jobs.v1.rs");
}

pub use self::member::{join, leave};
