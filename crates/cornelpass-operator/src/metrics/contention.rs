//! Metrics of the contention for targets: how often room was withheld, and whether it is short.

use cornelpass_core::contention::Cause;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

use super::instruments::Instruments;

/// Metrics of the contention for targets.
pub struct Contention {
    withheld: Counter<u64>,
    services: Gauge<u64>,
    organisations: Gauge<u64>,
}

impl Contention {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            withheld: instruments.counter(
                "cornelpass_gateway_withheld",
                "Questions about busy targets whose room was withheld, by service and cause",
            ),
            services: instruments.gauge(
                "cornelpass_gateway_contended_services",
                "Services that are short of room at the targets counted here",
            ),
            organisations: instruments.gauge(
                "cornelpass_gateway_tracked_organisations",
                "Organisations with counts of their recent requests",
            ),
        }
    }

    /// Counts questions about busy targets whose room this router withheld as accountant.
    pub fn count_withheld(&self, service: &str, cause: Cause, count: u32) {
        let cause: &'static str = cause.into();
        let labels = [KeyValue::new("service", service.to_owned()), KeyValue::new("cause", cause)];
        self.withheld.add(u64::from(count), &labels);
    }

    /// Sets the number of services that are short of room at the targets that this router counts.
    pub fn set_services(&self, services: usize) {
        self.services.record(services as u64, &[]);
    }

    /// Sets the number of organisations with counts of their recent requests.
    pub fn set_organisations(&self, organisations: usize) {
        self.organisations.record(organisations as u64, &[]);
    }
}
