//! An entry VM process.

pub mod logging;
pub mod settings;
