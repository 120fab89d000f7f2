//! The permission to act, on a VM that was suspended.

use std::time::Duration;

use {
    coriandertack_core::validity::{Began, VALIDITY, Validity},
    tokio::time::Instant,
};

/// Guards against a VM that wakes after a suspension and acts on a state that another VM has taken over: the steady
/// clock stood still, so the deadline seemed to lie ahead.
#[test]
fn a_suspension_uses_up_the_permission() {
    let now = Instant::now() + Duration::from_secs(60);
    let before = Duration::from_secs(5);
    let mut validity = Validity::lapsed(now);
    validity.extend(Began { at: now, asleep: before });
    assert!(now < validity.until_after(before));
    assert!(now >= validity.until_after(before + VALIDITY));
    assert!(now < validity.until_after(before + VALIDITY / 2));
}

/// Guards against a read that began before a suspension and extends the permission as if it began after.
#[test]
fn a_read_that_slept_counts_from_its_beginning() {
    let now = Instant::now() + Duration::from_secs(60);
    let mut validity = Validity::lapsed(now);
    validity.extend(Began { at: now, asleep: Duration::ZERO });
    let woken = Duration::from_secs(10);
    assert!(now >= validity.until_after(woken));
    validity.extend(Began { at: now, asleep: woken });
    assert!(now < validity.until_after(woken));
}
