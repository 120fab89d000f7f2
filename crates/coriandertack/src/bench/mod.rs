//! Measurements against the bounds of docs/design.md, section 1.3.

pub mod packing;
pub mod row;
