//! Amounts of processors, memory and accelerators.
//!
//! ```
//! use coriandertack_core::resources::Resources;
//!
//! let worker = Resources::new(16_000, 32_768, 0);
//! let need = Resources::new(500, 1_024, 0);
//! assert!(need.fits(worker));
//! assert_eq!(worker - need, Resources::new(15_500, 31_744, 0));
//! ```

use {
    derive_more::{Add, AddAssign, Display, Sub, SubAssign, Sum},
    serde::{Deserialize, Serialize},
};

/// An amount of each resource that a worker has or a task needs.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Add,
    AddAssign,
    Sub,
    SubAssign,
    Sum,
    Display,
    Serialize,
    Deserialize,
)]
#[display("{millicores}m/{memory_mib}MiB/{accelerators}acc")]
#[serde(deny_unknown_fields)]
pub struct Resources {
    /// Thousandths of a core.
    pub millicores: u32,
    /// Memory in MiB.
    pub memory_mib: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl Resources {
    /// No resources at all.
    pub const ZERO: Self = Self::new(0, 0, 0);

    /// Returns an amount from its parts.
    #[must_use]
    pub const fn new(millicores: u32, memory_mib: u32, accelerators: u32) -> Self {
        Self { millicores, memory_mib, accelerators }
    }

    /// Tells whether this amount can be taken from `room`.
    #[must_use]
    pub const fn fits(self, room: Self) -> bool {
        self.millicores <= room.millicores
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// Subtracts, with zero as the least value of each part.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Adds, with the largest representable value as the most of each part.
    ///
    /// Sums over many workers can exceed 32 bits, for example 4,096 workers of 1 TiB.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the larger value of each part.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller value of each part.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.min(other.millicores),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Adds, and returns nothing on overflow.
    #[must_use]
    pub fn checked_add(self, other: Self) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_add(other.millicores)?,
            memory_mib: self.memory_mib.checked_add(other.memory_mib)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Returns the amount `count` times, or nothing on overflow.
    #[must_use]
    pub fn checked_mul(self, count: u32) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_mul(count)?,
            memory_mib: self.memory_mib.checked_mul(count)?,
            accelerators: self.accelerators.checked_mul(count)?,
        })
    }

    /// Returns how many times this amount can be taken from `room`.
    ///
    /// An amount of zero can be taken `u32::MAX` times.
    #[must_use]
    pub fn count_in(self, room: Self) -> u32 {
        let times = |part: u32, all: u32| all.checked_div(part).unwrap_or(u32::MAX);
        times(self.millicores, room.millicores)
            .min(times(self.memory_mib, room.memory_mib))
            .min(times(self.accelerators, room.accelerators))
    }

    /// Returns the largest part of `whole` that this amount takes, from 0 to 1.
    ///
    /// A part that `whole` lacks counts as 0 unless this amount needs it.
    #[must_use]
    pub fn dominant_share(self, whole: Self) -> f64 {
        let share = |part: u32, all: u32| match (part, all) {
            (0, _) => 0.0,
            (_, 0) => 1.0,
            (part, all) => f64::from(part) / f64::from(all),
        };
        share(self.millicores, whole.millicores)
            .max(share(self.memory_mib, whole.memory_mib))
            .max(share(self.accelerators, whole.accelerators))
    }
}
