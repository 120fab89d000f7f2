//! Tests of the placement decisions.

mod kinds;
mod learning;
mod overcommit;
mod owners;
mod preempt;
mod quarantine;
mod support;
mod throttle;
