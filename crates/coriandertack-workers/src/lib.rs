//! Placeholder.

pub mod upstream;
