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

/// What is measured beside it, with its name.
pub type Baseline<'a> = Option<(&'a str, f64)>;

impl Row {
    /// Returns a figure that must not be above `target`.
    pub fn at_most(
        scenario: &str,
        metric: &str,
        unit: &str,
        target: f64,
        measured: f64,
        baseline: Baseline<'_>,
    ) -> Self {
        Self::new(scenario, metric, unit, target, measured, baseline, measured <= target)
    }

    /// Returns a figure without a bound.
    pub fn figure(scenario: &str, metric: &str, unit: &str, measured: f64) -> Self {
        Self {
            scenario: scenario.into(),
            metric: metric.into(),
            unit: unit.into(),
            target: None,
            measured,
            baseline: None,
            baseline_name: None,
            met: None,
        }
    }

    fn new(
        scenario: &str,
        metric: &str,
        unit: &str,
        target: f64,
        measured: f64,
        baseline: Baseline<'_>,
        met: bool,
    ) -> Self {
        Self {
            scenario: scenario.into(),
            metric: metric.into(),
            unit: unit.into(),
            target: Some(target),
            measured,
            baseline: baseline.map(|(_, measured)| measured),
            baseline_name: baseline.map(|(name, _)| name.into()),
            met: Some(met),
        }
    }
}
