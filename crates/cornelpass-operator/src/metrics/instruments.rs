//! Creates the instruments of a process with `OpenTelemetry`, and formats them for Prometheus.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Whatever};

/// Registry of the instruments of a process.
pub(super) struct Instruments {
    registry: Registry,
    meter: Meter,
    /// Kept because the instruments stop when the last handle of the provider is dropped.
    _provider: SdkMeterProvider,
}

impl Instruments {
    /// Creates an empty registry.
    pub(super) fn new() -> Result<Self, Whatever> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .whatever_context("metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("cornelpass");
        Ok(Self { registry, meter, _provider: provider })
    }

    /// Creates a counter.
    pub(super) fn counter(&self, name: &'static str, help: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(help).build()
    }

    /// Creates a gauge of a whole number.
    pub(super) fn gauge(&self, name: &'static str, help: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).with_description(help).build()
    }

    /// Creates a gauge of a number that need not be whole.
    pub(super) fn float_gauge(&self, name: &'static str, help: &'static str) -> Gauge<f64> {
        self.meter.f64_gauge(name).with_description(help).build()
    }

    /// Creates a gauge of a time in seconds.
    pub(super) fn time_gauge(&self, name: &'static str, help: &'static str) -> Gauge<f64> {
        self.meter.f64_gauge(name).with_unit("s").with_description(help).build()
    }

    /// Creates a histogram of times in seconds, with the upper bounds of its buckets.
    pub(super) fn time_histogram(
        &self,
        name: &'static str,
        help: &'static str,
        buckets_s: &[f64],
    ) -> Histogram<f64> {
        let builder = self.meter.f64_histogram(name).with_unit("s").with_description(help);
        builder.with_boundaries(buckets_s.to_vec()).build()
    }

    /// Formats all instruments in the text format of Prometheus.
    pub(super) fn render(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# the metrics can not be shown: {error}\n"),
        }
    }
}
