//! Tests of the permission to act on a VM that has been suspended.

use std::time::Duration;

use {
    coriandertack_core::validity::{ReadStart, VALIDITY_PERIOD, Validity},
    tokio::time::Instant,
};

/// Guards against a VM that wakes up after a suspension and acts on state that another VM has taken over: its
/// monotonic clock stopped meanwhile, so the deadline seems to be in the future.
#[test]
fn suspension_counts_against_validity() {
    let now = Instant::now() + Duration::from_secs(60);
    let suspended_before = Duration::from_secs(5);
    let mut validity = Validity::expired(now);
    validity.extend(ReadStart { at: now, suspended: suspended_before });
    assert!(now < validity.deadline_after_suspension(suspended_before));
    assert!(now >= validity.deadline_after_suspension(suspended_before + VALIDITY_PERIOD));
    assert!(now < validity.deadline_after_suspension(suspended_before + VALIDITY_PERIOD / 2));
}

/// Guards against a read that began before a suspension and extends the permission as if it had begun afterwards.
#[test]
fn read_before_suspension_counts_from_its_start() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut validity = Validity::expired(now);
    validity.extend(ReadStart { at: now, suspended: Duration::ZERO });
    let suspended_after = Duration::from_secs(10);
    assert!(now >= validity.deadline_after_suspension(suspended_after));
    validity.extend(ReadStart { at: now, suspended: suspended_after });
    assert!(now < validity.deadline_after_suspension(suspended_after));
}
