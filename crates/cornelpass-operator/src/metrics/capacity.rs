//! Metrics of the capacity of plain services, and of the connections to targets.

use cornelpass_core::contention::capacity::Summary;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

use super::instruments::Instruments;

/// Metrics of the capacity of plain services, and of the connections to targets.
pub struct Capacity {
    full_refusals: Counter<u64>,
    shed: Counter<u64>,
    queue_percent: Gauge<u64>,
    service_time: Gauge<f64>,
    repeated_failures: Counter<u64>,
    resets: Counter<u64>,
    connections: Gauge<u64>,
}

impl Capacity {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            full_refusals: instruments.counter(
                "cornelpass_gateway_full_refusals",
                "Requests refused because all targets of a plain service were full",
            ),
            shed: instruments.counter(
                "cornelpass_gateway_shed",
                "Requests that targets of a plain service without a free slot refused",
            ),
            queue_percent: instruments.gauge(
                "cornelpass_gateway_queue_percent",
                "Useful queue of a target of a plain service, of its slots",
            ),
            service_time: instruments.time_gauge(
                "cornelpass_gateway_service_time",
                "Mean time that a request occupies a slot of a plain service",
            ),
            repeated_failures: instruments.counter(
                "cornelpass_gateway_repeated_failures",
                "Attempts that were spared because their request fails at every target",
            ),
            resets: instruments.counter(
                "cornelpass_gateway_connection_resets",
                "New connections that targets closed before a response",
            ),
            connections: instruments.gauge(
                "cornelpass_gateway_target_connections",
                "Open connections to targets, idle ones included",
            ),
        }
    }

    /// Counts a new connection that a target closed before a response.
    pub fn count_reset(&self) {
        self.resets.add(1, &[]);
    }

    /// Sets the number of open connections to targets.
    pub fn set_connections(&self, connections: u64) {
        self.connections.record(connections, &[]);
    }

    /// Counts an attempt that is not made because its request fails at every target.
    pub fn count_repeated_failure(&self) {
        self.repeated_failures.add(1, &[]);
    }

    /// Records the state of a plain service, and adds the counts since the last call.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small number")]
    pub fn record_service(&self, summary: &Summary) {
        let labels = [KeyValue::new("service", summary.service.clone())];
        self.full_refusals.add(summary.refused, &labels);
        self.shed.add(summary.shed, &labels);
        self.queue_percent.record((summary.queue * 100.0).round() as u64, &labels);
        self.service_time.record(summary.service_time.as_secs_f64(), &labels);
    }
}
