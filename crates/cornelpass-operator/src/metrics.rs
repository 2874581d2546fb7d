//! Metrics of a router with the chat interface and of a sidecar: counters, gauges and histograms,
//! in the text format of Prometheus.

pub mod capacity;
pub mod contention;
pub mod gateway;
mod instruments;

use std::time::Duration;

use cornelpass_core::refusal::Reason;
use cornelpass_core::retry;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use snafu::Whatever;

use self::instruments::Instruments;

/// Upper bounds of the buckets of the time histograms, in seconds.
const BUCKETS_S: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.04, 0.068, 0.1, 0.2, 0.5, 1.0, 1.8, 5.0, 20.0];

/// Metrics of a process.
pub struct Metrics {
    instruments: Instruments,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    control_bytes: Counter<u64>,
    control_messages: Counter<u64>,
    version: Gauge<u64>,
    load: Gauge<u64>,
    bound: Gauge<u64>,
    first_token: Histogram<f64>,
    inter_token: Histogram<f64>,
}

impl Metrics {
    /// Creates the metrics.
    ///
    /// # Errors
    ///
    /// If the exporter cannot be registered.
    pub fn new() -> Result<Self, Whatever> {
        let instruments = Instruments::new()?;
        let times = |name, help| instruments.time_histogram(name, help, &BUCKETS_S);
        let counter = |name, help| instruments.counter(name, help);
        let gauge = |name, help| instruments.gauge(name, help);
        Ok(Self {
            requests: counter("cornelpass_requests", "Requests taken, by kind"),
            refusals: counter("cornelpass_refusals", "Requests refused or lost, by reason"),
            retries: counter("cornelpass_retries", "Retries, by reason"),
            control_bytes: counter("cornelpass_control_bytes", "Control traffic, by kind"),
            control_messages: counter("cornelpass_control_messages", "Control messages, by kind"),
            version: gauge("cornelpass_config_version", "Configuration in force"),
            load: gauge("cornelpass_load", "Load of a target, in units of load"),
            bound: gauge("cornelpass_bound", "Bound on the load of a target, in units of load"),
            first_token: times("cornelpass_first_token", "Time to the first token"),
            inter_token: times("cornelpass_inter_token", "Time between tokens"),
            instruments,
        })
    }

    /// Counts a received request of a kind.
    pub fn count_request(&self, kind: &'static str) {
        self.requests.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Counts a request that was refused or lost, by its reason.
    pub fn count_refusal(&self, reason: Reason) {
        self.refusals.add(1, &[KeyValue::new("reason", reason.name())]);
    }

    /// Counts a retry, by its reason.
    pub fn count_retry(&self, reason: retry::Reason) {
        let name: &'static str = reason.into();
        self.retries.add(1, &[KeyValue::new("reason", name)]);
    }

    /// Counts a control message of a kind, with its size in bytes.
    pub fn count_control_message(&self, kind: &'static str, bytes: usize) {
        let labels = [KeyValue::new("kind", kind)];
        self.control_bytes.add(bytes as u64, &labels);
        self.control_messages.add(1, &labels);
    }

    /// Sets the version of the active configuration.
    pub fn set_config_version(&self, version: u64) {
        self.version.record(version, &[]);
    }

    /// Sets the load of a target and the bound on it, in units of load.
    pub fn set_load(&self, target: &str, load: u32, bound: u32) {
        let labels = [KeyValue::new("target", target.to_owned())];
        self.load.record(u64::from(load), &labels);
        self.bound.record(u64::from(bound), &labels);
    }

    /// Records the time from a request to its first token.
    pub fn record_first_token(&self, time: Duration) {
        self.first_token.record(time.as_secs_f64(), &[]);
    }

    /// Records the time between two tokens of a response.
    pub fn record_inter_token(&self, time: Duration) {
        self.inter_token.record(time.as_secs_f64(), &[]);
    }

    /// Formats all metrics as text.
    #[must_use]
    pub fn render(&self) -> String {
        self.instruments.render()
    }
}
