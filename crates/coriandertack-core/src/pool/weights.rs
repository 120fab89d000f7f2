//! Weights of the placement goals, which rank the workers that have room for a task.

use serde::{Deserialize, Serialize};

/// Weights of the placement goals. Only their ratios matter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Full workers and little stranded capacity (bin packing).
    pub packing: f64,
    /// Even load across the workers that run services.
    pub spread: f64,
    /// Free processors on each worker, so that short and urgent tasks start without waiting. Where processors
    /// are not the scarce resource, this goal competes with `packing` and spreads work over more workers.
    pub headroom: f64,
}

impl Weights {
    /// Weights for Vukic: a late confirmation leaves a client without a van, so waiting time matters most.
    pub const VUKIC: Self = Self { packing: 1.0, spread: 2.0, headroom: 0.1 };

    /// Weights for the Agency: its budget is charged by use, so packing matters most.
    pub const AGENCY: Self = Self { packing: 2.0, spread: 1.0, headroom: 0.0 };

    /// Returns the preset for a deployment name as written in the settings.
    #[must_use]
    pub fn preset(name: &str) -> Option<Self> {
        match name {
            "vukic" => Some(Self::VUKIC),
            "agency" => Some(Self::AGENCY),
            _ => None,
        }
    }
}

impl Default for Weights {
    fn default() -> Self {
        Self::AGENCY
    }
}
