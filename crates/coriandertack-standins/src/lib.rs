//! Placeholder.

pub mod serving;
