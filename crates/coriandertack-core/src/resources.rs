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

/// Amounts of processors, memory and accelerators that a worker has or a task needs.
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
    /// More than any machine has. A worker that reports more is not believed.
    pub const LARGEST_MACHINE: Self = Self::new(10_000_000, 1 << 28, 65_536);

    /// No resources at all.
    pub const ZERO: Self = Self::new(0, 0, 0);

    /// Creates amounts from their parts.
    #[must_use]
    pub const fn new(millicores: u32, memory_mib: u32, accelerators: u32) -> Self {
        Self { millicores, memory_mib, accelerators }
    }

    /// Returns whether these amounts fit into `available`.
    #[must_use]
    pub const fn fits(self, available: Self) -> bool {
        self.millicores <= available.millicores
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Subtracts each part, saturating at zero.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Adds each part, saturating at the largest representable value.
    ///
    /// Sums over many workers can exceed 32 bits, for example the memory of 4,096 workers with 1 TiB each.
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the maximum of each part.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the minimum of each part.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            millicores: self.millicores.min(other.millicores),
            memory_mib: self.memory_mib.min(other.memory_mib),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Adds each part, or returns `None` on overflow.
    #[must_use]
    pub fn checked_add(self, other: Self) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_add(other.millicores)?,
            memory_mib: self.memory_mib.checked_add(other.memory_mib)?,
            accelerators: self.accelerators.checked_add(other.accelerators)?,
        })
    }

    /// Multiplies each part by `count`, or returns `None` on overflow.
    #[must_use]
    pub fn checked_mul(self, count: u32) -> Option<Self> {
        Some(Self {
            millicores: self.millicores.checked_mul(count)?,
            memory_mib: self.memory_mib.checked_mul(count)?,
            accelerators: self.accelerators.checked_mul(count)?,
        })
    }

    /// Returns how many times these amounts fit into `available`.
    ///
    /// [`Resources::ZERO`] fits `u32::MAX` times.
    #[must_use]
    pub fn count_in(self, available: Self) -> u32 {
        let count_of = |amount: u32, limit: u32| limit.checked_div(amount).unwrap_or(u32::MAX);
        count_of(self.millicores, available.millicores)
            .min(count_of(self.memory_mib, available.memory_mib))
            .min(count_of(self.accelerators, available.accelerators))
    }

    /// Returns the largest fraction of a part of `total` that these amounts take, from 0 to 1.
    ///
    /// For a part that `total` lacks, the fraction is 1 if these amounts need it and 0 otherwise.
    #[must_use]
    pub fn dominant_share(self, total: Self) -> f64 {
        let share_of = |amount: u32, limit: u32| match (amount, limit) {
            (0, _) => 0.0,
            (_, 0) => 1.0,
            (amount, limit) => f64::from(amount) / f64::from(limit),
        };
        share_of(self.millicores, total.millicores)
            .max(share_of(self.memory_mib, total.memory_mib))
            .max(share_of(self.accelerators, total.accelerators))
    }
}
