//! An entry VM process.

pub mod args;
pub mod logging;
pub mod settings;
