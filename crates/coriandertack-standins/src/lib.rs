//! Small stand-ins for the platform, for the demo, the bench and tests.

pub mod audit;
pub mod log;
pub mod platform;
pub mod serving;
pub mod traffic;
pub mod vmlist;
pub mod worker;
