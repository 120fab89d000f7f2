//! What placement prefers when several workers have room.

use serde::{Deserialize, Serialize};

/// Weights of the goals of placement. Only their ratios matter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Weights {
    /// Full workers and little stranded capacity.
    pub packing: f64,
    /// Even load of the workers that run services.
    pub spread: f64,
    /// Free processors on each worker, so that short and urgent work starts without waiting. It competes with
    /// `packing` where processors are not scarce, and then opens more workers.
    pub headroom: f64,
}

impl Weights {
    /// Weights of Vukic: a late confirmation leaves a client without a van, so waiting counts most.
    pub const VUKIC: Self = Self { packing: 1.0, spread: 2.0, headroom: 0.1 };

    /// Weights of the Agency: its budget is charged by use, so packing counts most.
    pub const AGENCY: Self = Self { packing: 2.0, spread: 1.0, headroom: 0.0 };

    /// Returns the preset of a deployment by its name in the settings.
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
