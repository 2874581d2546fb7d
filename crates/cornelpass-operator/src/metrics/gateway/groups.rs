//! Instruments of a gateway, in groups.

use opentelemetry::metrics::{Counter, Gauge, Histogram};

use crate::metrics::instruments::Instruments;

/// Upper bounds of the buckets of the time histograms, in seconds.
///
/// The users' desired latencies and time limits lie between these bounds.
const BUCKETS_S: [f64; 12] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 12.0];

/// Rollouts of the services with an order.
pub(super) struct Rollouts {
    pub(super) state: Gauge<u64>,
    pub(super) requests: Gauge<u64>,
    pub(super) suspicion: Gauge<u64>,
}

impl Rollouts {
    pub(super) fn new(instruments: &Instruments) -> Self {
        let gauge = |name, description| instruments.gauge(name, description);
        Self {
            state: gauge("cornelpass_gateway_rollout_state", "State of the rollout of a service"),
            requests: gauge(
                "cornelpass_gateway_rollout_requests",
                "Requests sent to each version of a service before the verdict",
            ),
            suspicion: gauge(
                "cornelpass_gateway_rollout_suspicion",
                "Evidence against a new version, in percent of the threshold",
            ),
        }
    }
}

/// What clients use, and limits that they have reached.
pub(super) struct Clients {
    pub(super) limits: Counter<u64>,
    pub(super) memory: Gauge<u64>,
}

impl Clients {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            limits: instruments.counter(
                "cornelpass_client_limits",
                "Limits that clients reached, by listener and limit",
            ),
            memory: instruments
                .gauge("cornelpass_client_memory_bytes", "Memory held for clients, by owner"),
        }
    }
}

/// Ages of what a router knows.
pub(super) struct Ages {
    pub(super) config: Gauge<f64>,
    pub(super) list: Gauge<f64>,
    pub(super) reports: Gauge<f64>,
}

impl Ages {
    pub(super) fn new(instruments: &Instruments) -> Self {
        let gauge = |name: &'static str, description: &'static str| {
            instruments.time_gauge(name, description)
        };
        Self {
            config: gauge("cornelpass_gateway_config_age", "Age of the configuration"),
            list: gauge("cornelpass_gateway_list_age", "Age of the list of targets"),
            reports: gauge("cornelpass_gateway_report_age", "Mean age of the reports"),
        }
    }
}

/// Lost, cold and fresh targets, and the paces of targets.
pub(super) struct Fresh {
    pub(super) lost_contacts: Counter<u64>,
    pub(super) cold: Counter<u64>,
    pub(super) slow_starts: Counter<u64>,
    pub(super) targets: Gauge<u64>,
    pub(super) window: Gauge<u64>,
    pub(super) pace: Gauge<u64>,
}

impl Fresh {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            lost_contacts: instruments.counter(
                "cornelpass_gateway_lost_contacts",
                "Losses of contact with targets, by their evidence",
            ),
            cold: instruments.counter(
                "cornelpass_gateway_cold_targets",
                "Targets that began to count as cold at this router, by the source",
            ),
            slow_starts: instruments.counter(
                "cornelpass_gateway_slow_starts",
                "Slow starts that began or ended at this router as accountant, by state",
            ),
            targets: instruments.gauge(
                "cornelpass_gateway_fresh_targets",
                "Fresh targets that this router limits as accountant",
            ),
            window: instruments.gauge(
                "cornelpass_gateway_window",
                "Window of a fresh target, in requests; 0 once it is released",
            ),
            pace: instruments.gauge(
                "cornelpass_gateway_target_pace",
                "Average time that work takes at a target, in percent of the usual time",
            ),
        }
    }
}

/// Rate limits that targets name.
pub(super) struct RateLimits {
    pub(super) targets: Gauge<u64>,
    pub(super) rate: Gauge<f64>,
}

impl RateLimits {
    pub(super) fn new(instruments: &Instruments) -> Self {
        Self {
            targets: instruments.gauge(
                "cornelpass_gateway_rate_limited_targets",
                "Targets that name a rate limit, as far as this router knows",
            ),
            rate: instruments.float_gauge(
                "cornelpass_gateway_rate_limit",
                "Rate limit that a target names, in requests per second; -1 once it names none",
            ),
        }
    }
}

/// Times that a router measures.
pub(super) struct Times {
    pub(super) question: Histogram<f64>,
    pub(super) first_byte: Histogram<f64>,
    pub(super) event_gap: Histogram<f64>,
    pub(super) config_wait: Histogram<f64>,
    pub(super) timer_lag: Histogram<f64>,
}

impl Times {
    pub(super) fn new(instruments: &Instruments) -> Self {
        let histogram = |name: &'static str, description: &'static str| {
            instruments.time_histogram(name, description, &BUCKETS_S)
        };
        Self {
            question: histogram(
                "cornelpass_accountant_question",
                "Time for which an accountant was waited for",
            ),
            first_byte: histogram(
                "cornelpass_gateway_first_byte",
                "Time from the arrival of a request to the head of its answer",
            ),
            event_gap: histogram(
                "cornelpass_gateway_event_gap",
                "Time between two parts of a streamed answer",
            ),
            config_wait: histogram(
                "cornelpass_gateway_held",
                "Time for which a request waited for a configuration",
            ),
            timer_lag: histogram("cornelpass_lag", "Time by which a timer fired late"),
        }
    }
}
