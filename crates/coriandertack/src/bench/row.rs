//! Rows of a bench report.

use serde::{Deserialize, Serialize};

/// One measured figure beside its target and a baseline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Scenario that measured it.
    pub scenario: String,
    /// What was measured.
    pub metric: String,
    /// Unit of the figures.
    pub unit: String,
    /// Bound that the figure must keep to.
    pub target: f64,
    /// The figure.
    pub measured: f64,
    /// The same figure of the baseline, in the same run.
    pub baseline: Option<f64>,
    /// What the baseline is.
    pub baseline_name: Option<String>,
    /// Whether the figure keeps to the target.
    pub met: bool,
}
