//! Instruments of a router that serves the gateway interface.
//!
//! Names of routes and targets come from outside, so that the number of series is bounded: after
//! [`NAME_LIMIT`] names of a kind, further ones count together as `other`.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cornelpass_core::refusal::Reason;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use snafu::Whatever;

use super::sheet::Sheet;
use crate::process;

/// Most names of routes, and of targets, that have series of their own.
pub const NAME_LIMIT: usize = 64;

/// Upper edges of the time histograms, in seconds: the users' wanted latencies and time limits lie
/// between them.
const SECONDS: [f64; 12] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.6, 1.0, 2.0, 4.0, 12.0];

/// Names that have series of their own.
#[derive(Debug, Default)]
struct Names {
    known: Mutex<BTreeSet<String>>,
}

impl Names {
    /// The label of a name.
    fn label(&self, name: &str) -> String {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        if known.contains(name) {
            return name.to_owned();
        }
        if known.len() >= NAME_LIMIT {
            return "other".to_owned();
        }
        known.insert(name.to_owned());
        name.to_owned()
    }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Ending {
    /// It has its whole answer.
    Answered,
    /// A target's own failure was passed on.
    FailurePassed,
    /// It was refused, or given up before its answer began.
    Refused,
    /// Its answer was cut short.
    Cut,
    /// Its caller left.
    CallerGone,
}

/// Instruments of a gateway.
pub struct Metrics {
    sheet: Sheet,
    routes: Names,
    targets: Names,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
    platform_calls: Counter<u64>,
    datagrams: Counter<u64>,
    datagram_bytes: Counter<u64>,
    questions: Histogram<f64>,
    first_byte: Histogram<f64>,
    event_gap: Histogram<f64>,
    held: Histogram<f64>,
    lag: Histogram<f64>,
    version: Gauge<u64>,
    retry_budget: Gauge<u64>,
    open_requests: Gauge<u64>,
    open_files: Gauge<u64>,
    memory: Gauge<u64>,
    config_age: Gauge<f64>,
    list_age: Gauge<f64>,
    report_age: Gauge<f64>,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can not be registered.
    pub fn new() -> Result<Self, Whatever> {
        let sheet = Sheet::new()?;
        Ok(Self {
            requests: sheet.counter("cornelpass_gateway_requests", "Requests ended, by route"),
            refusals: sheet.counter("cornelpass_gateway_refusals", "Requests refused, by reason"),
            attempts: sheet.counter("cornelpass_gateway_attempts", "Attempts ended, by target"),
            retries: sheet.counter("cornelpass_gateway_retries", "Further attempts, by reason"),
            platform_calls: sheet.counter("cornelpass_platform_calls", "Calls to the platform"),
            datagrams: sheet.counter("cornelpass_datagrams", "Datagrams to other routers"),
            datagram_bytes: sheet.counter("cornelpass_datagram_bytes", "Bytes of them"),
            questions: sheet.times(
                "cornelpass_accountant_question",
                "Time for which an accountant was waited for",
                &SECONDS,
            ),
            first_byte: sheet.times(
                "cornelpass_gateway_first_byte",
                "Time from the arrival of a request to the head of its answer",
                &SECONDS,
            ),
            event_gap: sheet.times(
                "cornelpass_gateway_event_gap",
                "Time between two parts of a streamed answer",
                &SECONDS,
            ),
            held: sheet.times(
                "cornelpass_gateway_held",
                "Time for which a request waited for a configuration",
                &SECONDS,
            ),
            lag: sheet.times("cornelpass_lag", "Time by which a timer fired late", &SECONDS),
            version: sheet.gauge("cornelpass_gateway_config_version", "Configuration in force"),
            retry_budget: sheet.gauge("cornelpass_gateway_retry_budget", "Retries that are left"),
            open_requests: sheet.gauge("cornelpass_gateway_open_requests", "Requests in progress"),
            open_files: sheet.gauge("cornelpass_open_files", "Open files and connections"),
            memory: sheet.gauge("cornelpass_memory_bytes", "Resident memory"),
            config_age: sheet.age("cornelpass_gateway_config_age", "Age of the configuration"),
            list_age: sheet.age("cornelpass_gateway_list_age", "Age of the list of targets"),
            report_age: sheet.age("cornelpass_gateway_report_age", "Mean age of the reports"),
            routes: Names::default(),
            targets: Names::default(),
            sheet,
        })
    }

    /// Counts a request that has ended; the reason is of a refusal or a cut.
    pub fn ended(&self, route: &str, ending: Ending, reason: Option<Reason>) {
        let ending: &'static str = ending.into();
        let labels = [
            KeyValue::new("route", self.routes.label(route)),
            KeyValue::new("outcome", ending),
            KeyValue::new("reason", reason.map_or("none", Reason::name)),
        ];
        self.requests.add(1, &labels);
    }

    /// Counts a request that was refused.
    pub fn refused(&self, reason: Reason) {
        self.refusals.add(1, &[KeyValue::new("reason", reason.name())]);
    }

    /// Counts an attempt at a target that has ended, in a word for how.
    pub fn attempted(&self, target: &str, outcome: &'static str) {
        let target = KeyValue::new("target", self.targets.label(target));
        self.attempts.add(1, &[target, KeyValue::new("outcome", outcome)]);
    }

    /// Counts a further attempt, for the reason why the one before did not do.
    pub fn retried(&self, reason: Reason) {
        self.retries.add(1, &[KeyValue::new("reason", reason.name())]);
    }

    /// Counts a call to the platform.
    pub fn called(&self, kind: &'static str, result: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("result", result)];
        self.platform_calls.add(1, &labels);
    }

    /// Counts a datagram to another router, with the bytes of its content.
    pub fn sent(&self, kind: &'static str, bytes: usize) {
        let labels = [KeyValue::new("kind", kind)];
        self.datagrams.add(1, &labels);
        self.datagram_bytes.add(bytes as u64, &labels);
    }

    /// Records for how long an accountant was waited for, and what it said.
    pub fn asked(&self, time: Duration, verdict: String) {
        self.questions.record(time.as_secs_f64(), &[KeyValue::new("verdict", verdict)]);
    }

    /// Records the time to the head of an answer.
    pub fn first_byte(&self, time: Duration) {
        self.first_byte.record(time.as_secs_f64(), &[]);
    }

    /// Records the time between two parts of a streamed answer.
    pub fn event_gap(&self, time: Duration) {
        self.event_gap.record(time.as_secs_f64(), &[]);
    }

    /// Records for how long a request waited for a configuration.
    pub fn held(&self, time: Duration) {
        self.held.record(time.as_secs_f64(), &[]);
    }

    /// Records by how much a timer fired late.
    pub fn lag(&self, time: Duration) {
        self.lag.record(time.as_secs_f64(), &[]);
    }

    /// Sets the version of the configuration in force.
    pub fn version(&self, version: u64) {
        self.version.record(version, &[]);
    }

    /// Sets the retries that are left at a service.
    pub fn retry_budget(&self, service: &str, left: u64) {
        self.retry_budget.record(left, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Sets the number of requests in progress.
    pub fn open(&self, requests: u64) {
        self.open_requests.record(requests, &[]);
    }

    /// Sets what the process holds, as far as the operating system says.
    pub fn process(&self) {
        if let Some(files) = process::open_files() {
            self.open_files.record(files, &[]);
        }
        if let Some(bytes) = process::memory() {
            self.memory.record(bytes, &[]);
        }
    }

    /// Sets the ages of the configuration, of the list of targets, and of the reports.
    pub fn ages(&self, config: Duration, list: Duration, reports: Duration) {
        self.config_age.record(config.as_secs_f64(), &[]);
        self.list_age.record(list.as_secs_f64(), &[]);
        self.report_age.record(reports.as_secs_f64(), &[]);
    }

    /// All instruments as text.
    #[must_use]
    pub fn render(&self) -> String {
        self.sheet.render()
    }
}
