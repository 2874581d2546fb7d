//! Where a process keeps its instruments, and shows them as text.

use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use snafu::{ResultExt, Whatever};

/// Instruments of a process.
pub(super) struct Sheet {
    registry: Registry,
    meter: Meter,
    _provider: SdkMeterProvider,
}

impl Sheet {
    /// A sheet without instruments.
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

    pub(super) fn counter(&self, name: &'static str, text: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).with_description(text).build()
    }

    pub(super) fn gauge(&self, name: &'static str, text: &'static str) -> Gauge<u64> {
        self.meter.u64_gauge(name).with_description(text).build()
    }

    /// A gauge of a time in seconds.
    pub(super) fn age(&self, name: &'static str, text: &'static str) -> Gauge<f64> {
        self.meter.f64_gauge(name).with_unit("s").with_description(text).build()
    }

    /// A histogram of times in seconds, with its upper edges.
    pub(super) fn times(
        &self,
        name: &'static str,
        text: &'static str,
        edges: &[f64],
    ) -> Histogram<f64> {
        let builder = self.meter.f64_histogram(name).with_unit("s").with_description(text);
        builder.with_boundaries(edges.to_vec()).build()
    }

    pub(super) fn render(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# the metrics can not be shown: {error}\n"),
        }
    }
}
