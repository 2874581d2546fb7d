//! Metrics of a router that serves the gateway interface.
//!
//! The names of routes and targets come from outside the process. To limit the number of series,
//! only the first [`MAX_NAMES`] names of each kind have series of their own; all further names
//! share the label value `other`.

mod groups;

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cornelpass_core::refusal::Reason;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};
use snafu::Whatever;

use self::groups::{Ages, Clients, Fresh, RateLimits, Rollouts, Times};
use super::capacity::Capacity;
use super::contention::Contention;
use super::instruments::Instruments;
use crate::process;

/// Maximum number of names of routes, and of names of targets, that have series of their own.
pub const MAX_NAMES: usize = 64;

/// Names that have series of their own.
#[derive(Debug, Default)]
struct Names {
    with_own_series: Mutex<BTreeSet<String>>,
}

impl Names {
    /// Label value for a name: the name, or `other` if there are too many names.
    fn label(&self, name: &str) -> String {
        let mut names = self.with_own_series.lock().unwrap_or_else(PoisonError::into_inner);
        if names.contains(name) {
            return name.to_owned();
        }
        if names.len() >= MAX_NAMES {
            return "other".to_owned();
        }
        names.insert(name.to_owned());
        name.to_owned()
    }
}

/// Outcome of a request for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Ending {
    /// The caller has the complete response.
    #[strum(serialize = "answered")]
    Complete,
    /// An error response of a target was forwarded.
    #[strum(serialize = "failure_passed")]
    ErrorForwarded,
    /// The request was refused, or failed before its response started.
    Refused,
    /// The response ended before it was complete.
    #[strum(serialize = "cut")]
    Aborted,
    /// The caller disconnected.
    #[strum(serialize = "caller_gone")]
    CallerDisconnected,
}

/// Metrics of a router with the gateway interface.
pub struct Metrics {
    instruments: Instruments,
    routes: Names,
    targets: Names,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
    crashes: Counter<u64>,
    platform_calls: Counter<u64>,
    restores: Counter<u64>,
    datagrams: Counter<u64>,
    datagram_bytes: Counter<u64>,
    times: Times,
    version: Gauge<u64>,
    retry_budget: Gauge<u64>,
    quarantined: Gauge<u64>,
    fresh: Fresh,
    rate_limits: RateLimits,
    rollouts: Rollouts,
    open_requests: Gauge<u64>,
    open_files: Gauge<u64>,
    memory: Gauge<u64>,
    clients: Clients,
    ages: Ages,
    contention: Contention,
    /// Metrics of the capacity of plain services.
    pub capacity: Capacity,
}

impl Metrics {
    /// Creates the metrics.
    ///
    /// # Errors
    ///
    /// If the exporter cannot be registered.
    pub fn new() -> Result<Self, Whatever> {
        let instruments = Instruments::new()?;
        Ok(Self {
            requests: instruments
                .counter("cornelpass_gateway_requests", "Requests ended, by route"),
            refusals: instruments
                .counter("cornelpass_gateway_refusals", "Requests refused, by reason"),
            attempts: instruments
                .counter("cornelpass_gateway_attempts", "Attempts ended, by target"),
            retries: instruments
                .counter("cornelpass_gateway_retries", "Further attempts, by reason"),
            crashes: instruments.counter(
                "cornelpass_gateway_crashed_requests",
                "Requests at targets that crashed, by target",
            ),
            platform_calls: instruments
                .counter("cornelpass_platform_calls", "Calls to the platform"),
            restores: instruments.counter(
                "cornelpass_platform_restores",
                "Restores of the platform from an older copy",
            ),
            datagrams: instruments.counter("cornelpass_datagrams", "Datagrams to other routers"),
            datagram_bytes: instruments.counter("cornelpass_datagram_bytes", "Bytes of them"),
            times: Times::new(&instruments),
            version: instruments
                .gauge("cornelpass_gateway_config_version", "Configuration in force"),
            retry_budget: instruments
                .gauge("cornelpass_gateway_retry_budget", "Retries that are left"),
            quarantined: instruments.gauge(
                "cornelpass_gateway_quarantined_groups",
                "Groups of features whose requests are refused",
            ),
            rollouts: Rollouts::new(&instruments),
            open_requests: instruments
                .gauge("cornelpass_gateway_open_requests", "Requests in progress"),
            open_files: instruments.gauge("cornelpass_open_files", "Open files and connections"),
            memory: instruments.gauge("cornelpass_memory_bytes", "Resident memory"),
            clients: Clients::new(&instruments),
            ages: Ages::new(&instruments),
            contention: Contention::new(&instruments),
            capacity: Capacity::new(&instruments),
            fresh: Fresh::new(&instruments),
            rate_limits: RateLimits::new(&instruments),
            routes: Names::default(),
            targets: Names::default(),
            instruments,
        })
    }

    /// Counts a request that has ended.
    ///
    /// `reason` is the reason of a refusal or of an incomplete response.
    pub fn count_ended_request(&self, route: &str, ending: Ending, reason: Option<Reason>) {
        let ending: &'static str = ending.into();
        let labels = [
            KeyValue::new("route", self.routes.label(route)),
            KeyValue::new("outcome", ending),
            KeyValue::new("reason", reason.map_or("none", Reason::name)),
        ];
        self.requests.add(1, &labels);
    }

    /// Counts a refused request, by its reason.
    pub fn count_refusal(&self, reason: Reason) {
        self.refusals.add(1, &[KeyValue::new("reason", reason.name())]);
    }

    /// Counts an attempt at a target that has ended, by its outcome.
    pub fn count_attempt(&self, target: &str, outcome: &'static str) {
        let target = KeyValue::new("target", self.targets.label(target));
        self.attempts.add(1, &[target, KeyValue::new("outcome", outcome)]);
    }

    /// Counts a retry, by the reason why the previous attempt failed.
    pub fn count_retry(&self, reason: Reason) {
        self.retries.add(1, &[KeyValue::new("reason", reason.name())]);
    }

    /// Metrics of the contention for targets.
    #[must_use]
    pub const fn contention(&self) -> &Contention {
        &self.contention
    }

    /// Counts a request that was in progress at a target when the target crashed.
    pub fn count_crash(&self, target: &str) {
        self.crashes.add(1, &[KeyValue::new("target", self.targets.label(target))]);
    }

    /// Counts a call to the platform, by its kind and result.
    pub fn count_platform_call(&self, kind: &'static str, result: &'static str) {
        let labels = [KeyValue::new("kind", kind), KeyValue::new("result", result)];
        self.platform_calls.add(1, &labels);
    }

    /// Counts a restore of the platform from an older copy.
    pub fn count_restore(&self) {
        self.restores.add(1, &[]);
    }

    /// Counts a datagram to another router and the bytes of its content.
    pub fn count_datagram(&self, kind: &'static str, bytes: usize) {
        let labels = [KeyValue::new("kind", kind)];
        self.datagrams.add(1, &labels);
        self.datagram_bytes.add(bytes as u64, &labels);
    }

    /// Records the time waited for the answer of an accountant, by the verdict of the answer; the
    /// verdict is `silent` after a time-out.
    pub fn record_question(&self, time: Duration, verdict: String) {
        self.times.question.record(time.as_secs_f64(), &[KeyValue::new("verdict", verdict)]);
    }

    /// Records the time from the arrival of a request to the head of its response.
    pub fn record_first_byte(&self, time: Duration) {
        self.times.first_byte.record(time.as_secs_f64(), &[]);
    }

    /// Records the time between two parts of a streamed response.
    pub fn record_event_gap(&self, time: Duration) {
        self.times.event_gap.record(time.as_secs_f64(), &[]);
    }

    /// Records the time for which a request waited for a configuration.
    pub fn record_config_wait(&self, time: Duration) {
        self.times.config_wait.record(time.as_secs_f64(), &[]);
    }

    /// Records the time by which a timer fired late.
    pub fn record_timer_lag(&self, time: Duration) {
        self.times.timer_lag.record(time.as_secs_f64(), &[]);
    }

    /// Sets the version of the active configuration.
    pub fn set_config_version(&self, version: u64) {
        self.version.record(version, &[]);
    }

    /// Sets the number of retries that remain in the budget of a service.
    pub fn set_retry_budget(&self, service: &str, left: u64) {
        self.retry_budget.record(left, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Sets the number of groups of features whose requests are refused.
    pub fn set_quarantined_groups(&self, groups: u64) {
        self.quarantined.record(groups, &[]);
    }

    /// Counts a slow start that has begun or ended, by its new state.
    pub fn count_slow_start(&self, state: &str) {
        self.fresh.slow_starts.add(1, &[KeyValue::new("state", state.to_owned())]);
    }

    /// Sets the number of fresh targets that this router limits as accountant.
    pub fn set_fresh_targets(&self, targets: u64) {
        self.fresh.targets.record(targets, &[]);
    }

    /// Counts a loss of contact with a target, by its evidence.
    pub fn count_lost_contact(&self, how: &str) {
        self.fresh.lost_contacts.add(1, &[KeyValue::new("how", how.to_owned())]);
    }

    /// Counts a target that begins to count as cold, by the source.
    pub fn count_cold(&self, source: &str) {
        self.fresh.cold.add(1, &[KeyValue::new("source", source.to_owned())]);
    }

    /// Sets the window of a fresh target, in requests; 0 once it is released.
    pub fn set_window(&self, target: &str, window: u64) {
        let target = KeyValue::new("target", self.targets.label(target));
        self.fresh.window.record(window, &[target]);
    }

    /// Sets the average pace that a target has reported, in percent.
    pub fn set_pace(&self, target: &str, percent: u64) {
        let target = KeyValue::new("target", self.targets.label(target));
        self.fresh.pace.record(percent, &[target]);
    }

    /// Sets the number of targets that name a rate limit.
    pub fn set_rate_limited_targets(&self, targets: u64) {
        self.rate_limits.targets.record(targets, &[]);
    }

    /// Sets the rate limit of a target, in requests per second; none once it names none.
    pub fn set_rate_limit(&self, target: &str, rate: Option<f64>) {
        let target = KeyValue::new("target", self.targets.label(target));
        self.rate_limits.rate.record(rate.unwrap_or(-1.0), &[target]);
    }

    /// Sets the state of the rollout of a service, the requests that this router has sent to the
    /// old and the new version, and the evidence against the new one in percent of the threshold.
    pub fn set_rollout(&self, service: &str, state: u64, (old, new): (u64, u64), suspicion: u64) {
        let label = KeyValue::new("service", service.to_owned());
        self.rollouts.state.record(state, std::slice::from_ref(&label));
        self.rollouts.suspicion.record(suspicion, std::slice::from_ref(&label));
        for (version, requests) in [("old", old), ("new", new)] {
            let labels = [label.clone(), KeyValue::new("version", version)];
            self.rollouts.requests.record(requests, &labels);
        }
    }

    /// Counts limits that the clients of a listener have reached.
    pub fn count_client_limits(&self, listener: &'static str, limit: &'static str, count: u64) {
        let labels = [KeyValue::new("listener", listener), KeyValue::new("limit", limit)];
        self.clients.limits.add(count, &labels);
    }

    /// Sets the memory that is held for clients, by its owner.
    pub fn set_client_memory(&self, owner: &'static str, bytes: u64) {
        self.clients.memory.record(bytes, &[KeyValue::new("owner", owner)]);
    }

    /// Sets the number of requests in progress.
    pub fn set_open_requests(&self, requests: u64) {
        self.open_requests.record(requests, &[]);
    }

    /// Sets the open files and the resident memory of the process, if the operating system reports
    /// them.
    pub fn update_process_metrics(&self) {
        if let Some(files) = process::open_file_count() {
            self.open_files.record(files, &[]);
        }
        if let Some(bytes) = process::resident_memory_bytes() {
            self.memory.record(bytes, &[]);
        }
    }

    /// Sets the ages of the configuration and of the list of targets, and the mean age of the
    /// reports of other routers.
    pub fn set_ages(&self, config: Duration, list: Duration, reports: Duration) {
        self.ages.config.record(config.as_secs_f64(), &[]);
        self.ages.list.record(list.as_secs_f64(), &[]);
        self.ages.reports.record(reports.as_secs_f64(), &[]);
    }

    /// Formats all metrics as text.
    #[must_use]
    pub fn render(&self) -> String {
        self.instruments.render()
    }
}
