//! Keeps the last report of each target at a router, and derives placement candidates from the
//! reports.
//!
//! A report counts for [`REPORT_LIFETIME`] and while its connection is open. A target that returns
//! repeatedly (flaps) is held back for a time that doubles with each return, so that its chats do
//! not move back and forth between targets.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::admission::Mean;
use crate::admission::suspect::REPORTING_PERIOD;
use crate::placement::Candidate;
use crate::table::Target;

/// Time for which a report of a target counts.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Time without a return after which the earlier returns of a target no longer count.
pub const FLAP_WINDOW: Duration = Duration::from_secs(300);

/// Time for which a target is held back after its second return; it doubles with each further
/// return.
pub const FIRST_HOLD: Duration = Duration::from_secs(2);

/// Longest time for which a target is held back.
pub const MAX_HOLD: Duration = Duration::from_secs(60);

/// State of a target, as determined by its sidecar.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// No active configuration permits new requests.
    #[default]
    Starting,
    /// Cold, with a window of requests that grows with each first token that arrives in
    /// time ([`crate::admission::warmup`]).
    Warming,
    /// Warm, with its full weight.
    Steady,
    /// The target does not respond.
    Down,
    /// The target accepts no new requests, since a stop is planned or it is out of service.
    Leaving,
}

impl State {
    /// Whether a target in this state accepts new requests.
    #[must_use]
    pub const fn accepts_requests(self) -> bool {
        matches!(self, Self::Warming | Self::Steady)
    }
}

/// Report of the sidecar of a target.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Version of the active configuration of the sidecar.
    pub version: u64,
    /// State of the target.
    pub state: State,
    /// Load, in units of load.
    pub load: u32,
    /// Highest load that the target accepts at present, in units of load.
    pub bound: u32,
    /// Boot number of the target, 0 if it is not known; a new one shows a restart.
    pub boot: u64,
    /// Part of its weight that a warming target can handle at present, in percent.
    #[serde(default)]
    pub ramp_percent: u32,
    /// Digests of contents suspected of crashing targets, one element for each crash.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<u64>,
}

/// Last report of one target, and its returns.
#[derive(Clone, Debug)]
struct Record {
    received: Instant,
    report: Report,
    /// Units of load sent since the report that have not ended; at least the headroom after a
    /// refusal.
    unreported: u32,
    /// Whether the connection of the report is still open.
    connected: bool,
    /// Whether the target accepted new requests by its last report.
    up: bool,
    /// Number of returns, each within [`FLAP_WINDOW`] after the one before.
    returns: u32,
    last_return: Option<Instant>,
}

impl Record {
    fn is_live(&self, now: Instant) -> bool {
        self.connected && now.saturating_duration_since(self.received) <= REPORT_LIFETIME
    }

    /// Part of the target's weight that counts at present, in percent.
    fn ramp_percent(&self, now: Instant) -> u32 {
        match self.report.state {
            State::Steady if !self.is_held(now) => 100,
            State::Warming if !self.is_held(now) => self.report.ramp_percent.clamp(1, 100),
            _ => 0,
        }
    }

    fn is_held(&self, now: Instant) -> bool {
        self.last_return
            .is_some_and(|at| now.saturating_duration_since(at) < hold_time(self.returns))
    }

    /// Applies a report, and counts a return if the target was unavailable or has restarted.
    fn update(&mut self, now: Instant, report: Report) {
        let up = report.state.accepts_requests();
        let unavailable = !self.up || !self.is_live(now);
        let restarted =
            self.report.boot != 0 && report.boot != 0 && report.boot != self.report.boot;
        if up && (unavailable || restarted) {
            let expired = |at| now.saturating_duration_since(at) >= FLAP_WINDOW;
            self.returns = if self.last_return.is_none_or(expired) { 1 } else { self.returns + 1 };
            self.last_return = Some(now);
        }
        let boot = if report.boot == 0 { self.report.boot } else { report.boot };
        self.report = Report { boot, ..report };
        self.received = now;
        self.unreported = 0;
        self.connected = true;
        self.up = up;
    }
}

/// Time for which a target is held back after its last return, by the number of returns.
fn hold_time(returns: u32) -> Duration {
    match returns.checked_sub(2) {
        None => Duration::ZERO,
        Some(further) => FIRST_HOLD.saturating_mul(2_u32.saturating_pow(further)).min(MAX_HOLD),
    }
}

/// Last reports of the targets, by name.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    records: BTreeMap<String, Record>,
}

impl Reports {
    /// No reports.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a report.
    pub fn record(&mut self, target: &str, now: Instant, report: Report) {
        if let Some(record) = self.records.get_mut(target) {
            record.update(now, report);
            return;
        }
        let up = report.state.accepts_requests();
        let record = Record {
            received: now,
            report,
            unreported: 0,
            connected: true,
            up,
            returns: 0,
            last_return: None,
        };
        self.records.insert(target.to_owned(), record);
    }

    /// Adds units of load that were sent to a target, until its next report or until they end.
    pub fn record_sent(&mut self, target: &str, cost: u32) {
        if let Some(record) = self.records.get_mut(target) {
            record.unreported = record.unreported.saturating_add(cost);
        }
    }

    /// Treats a target that refused a request as loaded up to its bound, until its next report.
    pub fn record_refusal(&mut self, target: &str) {
        if let Some(record) = self.records.get_mut(target) {
            let headroom = record.report.bound.saturating_sub(record.report.load);
            record.unreported = record.unreported.max(headroom);
        }
    }

    /// Subtracts units of load that were sent to a target and have ended.
    ///
    /// The load never falls below the last report.
    pub fn record_end(&mut self, target: &str, cost: u32) {
        if let Some(record) = self.records.get_mut(target) {
            record.unreported = record.unreported.saturating_sub(cost);
        }
    }

    /// Invalidates the report of a target whose connection was lost.
    pub fn invalidate(&mut self, target: &str) {
        if let Some(record) = self.records.get_mut(target) {
            record.connected = false;
        }
    }

    /// Removes the targets that `keep` rejects, as they are not in the configuration table any
    /// more.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.records.retain(|name, _| keep(name));
    }

    /// Last report of a target, if it is not expired and its connection is open.
    #[must_use]
    pub fn report(&self, target: &str, now: Instant) -> Option<&Report> {
        self.live_record(target, now).map(|record| &record.report)
    }

    /// Whether a target is held back because of repeated returns.
    #[must_use]
    pub fn is_held(&self, target: &str, now: Instant) -> bool {
        self.records.get(target).is_some_and(|record| record.is_held(now))
    }

    /// Digests of suspected contents in the last reports, one element for each crash.
    ///
    /// The list of a target that was lost counts for as long as the target itself would have
    /// reported it.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<u64> {
        let recent =
            |record: &&Record| now.saturating_duration_since(record.received) < REPORTING_PERIOD;
        let records = self.records.values().filter(recent);
        records.flat_map(|record| record.report.suspects.iter().copied()).collect()
    }

    /// Mean load per weight of the targets that accept new requests; `targets` gives names and
    /// weights.
    ///
    /// A warming target counts with the part of its weight that it can handle. None if no target
    /// counts.
    #[must_use]
    pub fn mean<'a>(
        &self,
        targets: impl IntoIterator<Item = (&'a str, u32)>,
        now: Instant,
    ) -> Option<Mean> {
        let (mut load, mut weight, mut age) = (0_u64, 0_u64, Duration::ZERO);
        for (name, full_weight) in targets {
            let Some(record) = self.live_record(name, now) else { continue };
            let percent = match record.report.state {
                State::Steady => 100,
                State::Warming => record.report.ramp_percent.clamp(1, 100),
                State::Starting | State::Down | State::Leaving => continue,
            };
            load += u64::from(record.report.load);
            weight += u64::from(full_weight) * u64::from(percent);
            age = age.max(now.saturating_duration_since(record.received));
        }
        let milli = (load * 100_000).checked_div(weight)?;
        Some(Mean { milli, age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX) })
    }

    /// A target as a candidate for a chat. A target without a valid report is held back.
    #[must_use]
    pub fn candidate<'a>(&self, name: &'a str, target: &Target, now: Instant) -> Candidate<'a> {
        let candidate = Candidate::new(name, target.weight);
        let Some(record) = self.live_record(name, now) else {
            return candidate.with_load(0, target.limit).with_ramp(0.0);
        };
        let load = record.report.load.saturating_add(record.unreported);
        let ramp = f64::from(record.ramp_percent(now)) / 100.0;
        candidate.with_load(load, record.report.bound).with_ramp(ramp)
    }

    fn live_record(&self, target: &str, now: Instant) -> Option<&Record> {
        self.records.get(target).filter(|record| record.is_live(now))
    }
}
