//! A line of the report.

use serde::{Deserialize, Serialize};

/// One measured figure with its bound and what it is compared with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Scenario of the bench.
    pub scenario: String,
    /// What was measured.
    pub metric: String,
    /// Unit of `target`, `measured` and `baseline`.
    pub unit: String,
    /// The bound of docs/design.md, if there is one.
    pub target: Option<f64>,
    /// The figure.
    pub measured: f64,
    /// The same figure of the baseline.
    pub baseline: Option<f64>,
    /// What the baseline is.
    pub baseline_name: Option<String>,
    /// Whether the bound is met.
    pub met: Option<bool>,
}
