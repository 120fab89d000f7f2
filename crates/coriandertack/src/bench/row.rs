//! Row of the report.

use serde::{Deserialize, Serialize};

/// Measured value of a metric with its target and its baseline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Scenario that measured the metric.
    pub scenario: String,
    /// Name of the metric. Reports are compared by scenario and metric.
    pub metric: String,
    /// Unit of `target`, `measured` and `baseline`.
    pub unit: String,
    /// Target in docs/design.md, or `None` if the metric has none.
    pub target: Option<f64>,
    /// Value measured for the scheduler.
    pub measured: f64,
    /// Value of the baseline, or `None` if the metric has none.
    pub baseline: Option<f64>,
    /// Description of the baseline.
    pub baseline_name: Option<String>,
    /// Whether the target is met, or `None` if there is no target.
    pub met: Option<bool>,
}

/// Description and value of a baseline, if there is one.
pub type Baseline<'a> = Option<(&'a str, f64)>;

impl Row {
    /// Returns a row whose target is an upper bound.
    pub fn at_most(
        scenario: &str,
        metric: &str,
        unit: &str,
        target: f64,
        measured: f64,
        baseline: Baseline<'_>,
    ) -> Self {
        Self::with_verdict(scenario, metric, unit, target, measured, baseline, measured <= target)
    }

    /// Returns a row with a target and whether it is met.
    pub fn with_verdict(
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
    /// Returns a row without a target.
    pub fn without_target(
        scenario: &str,
        metric: &str,
        unit: &str,
        measured: f64,
        baseline: Baseline<'_>,
    ) -> Self {
        let row = Self::with_verdict(scenario, metric, unit, 0.0, measured, baseline, true);
        Self { target: None, met: None, ..row }
    }
}
