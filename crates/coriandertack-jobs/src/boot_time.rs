//! Points in time of this VM.
//!
//! A [`BootTime`] counts from the boot of the VM and includes the time in which the VM was suspended. A deadline
//! that permits an action must be one: the steady clock of the language stands still during a suspension, so a VM
//! that wakes up would believe that its permission still holds.
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
    /// Returns the moment `ms` milliseconds later.
    #[must_use]
    pub const fn plus_ms(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds from `earlier` to this moment, or 0 if it is not earlier.
    #[must_use]
    pub const fn ms_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Time of day in milliseconds since 1970. It can jump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{_0}")]
pub struct WallTime(pub u64);
