//! Metrics export in the Prometheus text format.
//!
//! ```
//! use coriandertack_operators::Export;
//!
//! let export = Export::new().unwrap();
//! export.seconds("append", "one append", &[0.01, 0.1]).record(0.02, &[]);
//! assert!(export.text().unwrap().contains("coriandertack_append_seconds_count 1"));
//! ```

use std::fmt;

use {
    opentelemetry::metrics::{Histogram, Meter, MeterProvider},
    opentelemetry_sdk::metrics::SdkMeterProvider,
    prometheus::{Encoder, Registry, TextEncoder},
};

/// Prefix of all metric names.
const NAMESPACE: &str = "coriandertack";

/// A metrics registry. Its instruments record only while it exists.
pub struct Export {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl fmt::Debug for Export {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Export").finish_non_exhaustive()
    }
}

impl Export {
    /// Returns an empty registry.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be registered.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace(NAMESPACE)
            .scope_info_enabled(false)
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that creates instruments.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter(NAMESPACE)
    }

    /// Returns a histogram in seconds; `text` is its description and `bounds` its bucket boundaries.
    #[must_use]
    pub fn seconds(
        &self,
        name: &'static str,
        text: &'static str,
        bounds: &[f64],
    ) -> Histogram<f64> {
        let meter = self.meter();
        let histogram = meter.f64_histogram(name).with_unit("s").with_description(text);
        histogram.with_boundaries(bounds.to_vec()).build()
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be encoded.
    pub fn text(&self) -> anyhow::Result<String> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(String::from_utf8(text)?)
    }
}
