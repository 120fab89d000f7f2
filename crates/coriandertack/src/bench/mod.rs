//! Scenarios that measure the system beside baselines.

pub mod blocking;
mod cell;
mod load;
pub mod row;
pub mod surge;
