//! The permission to act, on a VM that was suspended.

use std::time::Duration;

use {
    coriandertack_core::validity::{ReadStart, VALIDITY_PERIOD, Validity},
    tokio::time::Instant,
};

/// Guards against a VM that wakes after a suspension and acts on a state that another VM has taken over: the steady
/// clock stood still, so the deadline seemed to lie ahead.
#[test]
fn a_suspension_uses_up_the_permission() {
    let now = Instant::now() + Duration::from_secs(60);
    let before = Duration::from_secs(5);
    let mut validity = Validity::expired(now);
    validity.extend(ReadStart { at: now, suspended: before });
    assert!(now < validity.deadline_after_suspension(before));
    assert!(now >= validity.deadline_after_suspension(before + VALIDITY_PERIOD));
    assert!(now < validity.deadline_after_suspension(before + VALIDITY_PERIOD / 2));
}

/// Guards against a read that began before a suspension and extends the permission as if it began after.
#[test]
fn a_read_that_slept_counts_from_its_beginning() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut validity = Validity::expired(now);
    validity.extend(ReadStart { at: now, suspended: Duration::ZERO });
    let woken = Duration::from_secs(10);
    assert!(now >= validity.deadline_after_suspension(woken));
    validity.extend(ReadStart { at: now, suspended: woken });
    assert!(now < validity.deadline_after_suspension(woken));
}
