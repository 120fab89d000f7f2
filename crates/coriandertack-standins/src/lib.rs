//! Small stand-ins for the systems that the platform provides, for the demo, the bench and tests.

pub mod log;
