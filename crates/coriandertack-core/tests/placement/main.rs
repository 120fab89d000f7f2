//! Tests of placement: worker and owner selection, preemption, quarantine, throttling and learned sizes.

mod claims;
mod class_profiles;
mod overcommit;
mod owner_selection;
mod preempt;
mod quarantine;
mod support;
mod throttle;
mod worker_selection;
