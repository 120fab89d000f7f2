//! Monotonic and wall clocks of the VM.

use std::time::{SystemTime, UNIX_EPOCH};

use {
    coriandertack_jobs::boot_time::{BootTime, WallTime},
    nix::time::{ClockId, clock_gettime},
};

/// Returns the time since boot, including time during which the VM was suspended.
///
/// # Panics
///
/// Panics if the system has no `CLOCK_BOOTTIME`, without which no deadline can be kept.
#[must_use]
pub fn now() -> BootTime {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the system has CLOCK_BOOTTIME");
    BootTime(time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000)
}

/// Returns the wall-clock time.
#[must_use]
pub fn wall() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WallTime(since.as_millis() as u64)
}
