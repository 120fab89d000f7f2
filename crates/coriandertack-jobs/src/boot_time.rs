//! Points in time on this VM.
//!
//! A [`BootTime`] counts from the boot of the VM and includes time during which the VM was
//! suspended. Deadlines that permit an action must use it: [`std::time::Instant`] does not advance
//! during a suspension, so a VM that resumes would take an expired permission for a valid one.
//!
//! ```
//! use coriandertack_jobs::boot_time::BootTime;
//!
//! let now = BootTime(1_000);
//! assert_eq!(now.plus_ms(500), BootTime(1_500));
//! assert_eq!(now.plus_ms(500).ms_since(now), 500);
//! ```

use derive_more::Display;

/// Milliseconds since the boot of this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{_0}")]
pub struct BootTime(pub u64);

impl BootTime {
    /// Returns the time `ms` milliseconds later, saturating at the maximum.
    #[must_use]
    pub const fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds from `earlier` to this time, or 0 if `earlier` is later.
    #[must_use]
    pub const fn ms_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Wall-clock time in milliseconds since 1970. It can jump in either direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{_0}")]
pub struct WallTime(pub u64);
