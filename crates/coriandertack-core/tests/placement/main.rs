//! Tests of the placement decisions.

mod claims;
mod kinds;
mod learning;
mod overcommit;
mod owners;
mod preempt;
mod quarantine;
mod support;
mod throttle;
