//! In-process stand-ins for the systems that the scheduler talks to, used by the demo, the bench and
//! tests.

pub mod audit;
pub mod log;
pub mod platform;
pub mod serving;
pub mod traffic;
pub mod vmlist;
pub mod worker;
