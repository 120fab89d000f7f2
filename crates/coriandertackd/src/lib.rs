//! An entry VM process.

pub mod args;
pub mod http;
pub mod logging;
pub mod settings;
