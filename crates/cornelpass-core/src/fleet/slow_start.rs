//! Slow start of a fresh target: a window for its load that opens with its good responses.
//!
//! A target is fresh after it has started, after it was failing or unresponsive, after it has come
//! back cold, and after its data centre is back in service. Its accountant then limits the load to
//! a window. All routers report the outcomes of their requests at fresh targets to the accountant
//! ([`Progress`]), in absolute numbers. A good response opens the window, which doubles the load in
//! one response time; a late, refused or failed one halves it. The target is released as soon as
//! the window reaches the mean load of its service, or after [`MAX_DURATION`].
//!
//! The load limit and the cold rate take precedence. While a target is cold, its tokens limit its
//! requests ([`super::cold`]) and the window only follows the outcomes, so that no request is
//! refused that the cold rate allows. After that, a target whose window is full counts as being at
//! its load bound: it gets a request only if the other targets are at their bounds as well.
//!
//! A router applies all of this once a target has reported a pace ([`super::pace`]), and not in
//! deployments whose targets report none.

mod window;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use self::window::{Neighbours, Next, Window};
use super::health::Standing;
use super::{Fleet, Record, Requirements};
use crate::accounting::accountant::Accountant;
use crate::accounting::message::Stamp;

/// Longest time for which a target is fresh, from its start or from the end of its cold time.
///
/// Without reports of outcomes, for example of routers of an earlier release, the window would not
/// open.
pub const MAX_DURATION: Duration = Duration::from_secs(10);

/// Shortest time between two reports of the outcomes at one target.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of a request at a fresh target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The response started in time.
    Good,
    /// The response started too late for its request.
    Late,
    /// The target did not run the request.
    Refused,
    /// The target returned an error, or sent no complete response.
    Failed,
}

/// Outcomes by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Responses that started in time.
    pub good: u32,
    /// Responses that started too late.
    pub late: u32,
    /// Requests that the target did not run.
    pub refused: u32,
    /// Requests that failed.
    pub failed: u32,
}

impl Counts {
    const fn record(&mut self, outcome: Outcome) {
        let count = match outcome {
            Outcome::Good => &mut self.good,
            Outcome::Late => &mut self.late,
            Outcome::Refused => &mut self.refused,
            Outcome::Failed => &mut self.failed,
        };
        *count = count.saturating_add(1);
    }

    const fn bad(self) -> u32 {
        self.late.saturating_add(self.refused).saturating_add(self.failed)
    }

    /// Good and bad outcomes since an earlier count of the same process.
    const fn since(self, before: Self) -> (u32, u32) {
        (self.good.saturating_sub(before.good), self.bad().saturating_sub(before.bad()))
    }
}

/// Report of the outcomes of a router's requests at a fresh target, to its accountant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Sequence stamp of the message.
    pub stamp: Stamp,
    /// Short hash of the target's name ([`crate::report::short_hash`]).
    pub target: u32,
    /// Start time of the target in milliseconds since 1970; 0 if it is unknown.
    pub started_ms: u64,
    /// Outcomes since the sender started, in absolute numbers.
    pub counts: Counts,
}

/// Start or end of a slow start at the accountant of a target.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Name of the target.
    pub target: String,
    /// New state of the window.
    pub state: State,
    /// Time since the target became fresh.
    pub age: Duration,
    /// Window, in requests.
    pub window: u32,
}

/// State of a window, as far as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// The accountant limits the load of the target.
    Limited,
    /// The window has reached the mean load of the service.
    Released,
    /// The target was fresh for [`MAX_DURATION`].
    Expired,
}

/// Slow start of one target as one router knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct SlowStart {
    window: Option<Window>,
    /// When the last window ended.
    ended_at: Option<Instant>,
    /// Outcomes of this router's requests while the target was fresh, and those last reported.
    counts: Counts,
    reported: Counts,
    reported_at: Option<Instant>,
}

impl SlowStart {
    /// Slow start of a target that was unknown, in progress if the target is fresh.
    pub(super) fn new(now: Instant, fresh: bool) -> Self {
        Self { window: fresh.then(|| Window::new(now)), ..Self::default() }
    }

    /// Begins a slow start, in place of one that is in progress.
    pub(super) fn begin(&mut self, now: Instant) {
        self.window = Some(Window::new(now));
    }

    /// Begins a slow start, or prolongs the one that is in progress.
    fn begin_or_prolong(&mut self, now: Instant) {
        self.window.get_or_insert_with(|| Window::new(now)).since = now;
    }

    /// Window, in requests, if the accountant limits the load to it.
    pub(super) fn size(&self) -> Option<f64> {
        self.window.as_ref()?.size
    }

    /// Whether the target has been fresh for too long, given the end of its cold time.
    fn is_overdue(&self, now: Instant, cold_until: Option<Instant>) -> bool {
        self.window.as_ref().is_some_and(|window| {
            let since = cold_until.map_or(window.since, |until| until.max(window.since));
            now.saturating_duration_since(since) >= MAX_DURATION
        })
    }

    /// Ends the slow start; returns its age and its window.
    fn end(&mut self, now: Instant) -> Option<(Duration, f64)> {
        let window = self.window.take()?;
        self.ended_at = Some(now);
        Some((now.saturating_duration_since(window.since), window.size?))
    }

    /// Whether a report of another router may begin a slow start, which that router has seen a
    /// reason for.
    fn may_begin_by_report(&self, now: Instant) -> bool {
        let ended_before = |at: Instant| now.saturating_duration_since(at) >= MAX_DURATION;
        self.window.is_none() && self.ended_at.is_none_or(ended_before)
    }

    /// Whether outcomes have to be reported now.
    fn is_due(&self, now: Instant) -> bool {
        let waited = |at: Instant| now.saturating_duration_since(at) >= REPORT_INTERVAL;
        self.window.is_some() && self.counts != self.reported && self.reported_at.is_none_or(waited)
    }
}

impl Fleet {
    /// Disables slow starts until a target reports a pace ([`Self::record_pace`]), which leaves cold
    /// targets to the cold rate alone.
    #[must_use]
    pub fn without_slow_start(self) -> Self {
        Self { slow_start_disabled: true, ..self }
    }

    /// Window of each fresh target that this router limits as accountant, in requests.
    pub fn windows(&self) -> impl Iterator<Item = (&str, f64)> {
        let records = self.records.iter();
        records.filter_map(|(name, record)| Some((name.as_str(), record.slow_start.size()?)))
    }

    /// Whether the accountant of a target limits its load to a window, as far as this router knows.
    pub(super) fn is_limited(&self, now: Instant, record: &Record) -> bool {
        !self.slow_start_disabled
            && record.slow_start.window.is_some()
            && !self.is_cold(record, now)
    }

    /// Takes the starts and ends of slow starts since the last call.
    pub fn take_slow_start_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.slow_start_changes)
    }

    /// Begins the slow starts of the targets in data centres that are out of service now and are
    /// not in `closed`; called before [`Self::set_closed_data_centres`].
    pub fn begin_return(&mut self, now: Instant, closed: &BTreeSet<String>) {
        for record in self.records.values_mut() {
            let data_centre = &record.row.data_centre;
            if self.closed_data_centres.contains(data_centre) && !closed.contains(data_centre) {
                record.slow_start.begin(now);
            }
        }
    }

    /// Load up to which the accountant of a target grants requests: the lower one of the load limit
    /// and the window of a fresh target that is not cold.
    pub(super) fn limit_fresh(
        &mut self,
        now: Instant,
        name: Option<&str>,
        limit: u32,
        cold: bool,
    ) -> u32 {
        let Some(name) = name else { return limit };
        if let Some(window) = self.window_mut(name) {
            window.record_limit(limit);
        }
        let Some(neighbours) = self.neighbours(now, name) else { return limit };
        let Some(record) = self.records.get_mut(name) else { return limit };
        let Some(window) = &mut record.slow_start.window else { return limit };
        let begins = window.size.is_none();
        let size = window.open(neighbours) as u32;
        if begins {
            let age = now.saturating_duration_since(window.since);
            let (target, state) = (name.to_owned(), State::Limited);
            self.slow_start_changes.push(Change { target, state, age, window: size });
        }
        if cold { limit } else { limit.min(size) }
    }

    fn window_mut(&mut self, name: &str) -> Option<&mut Window> {
        self.records.get_mut(name)?.slow_start.window.as_mut()
    }

    /// What the window of a target is measured by; none if the target is not fresh.
    ///
    /// Ends a slow start that is overdue.
    fn neighbours(&mut self, now: Instant, name: &str) -> Option<Neighbours> {
        if self.slow_start_disabled {
            return None;
        }
        let record = self.records.get(name)?;
        if record.slow_start.is_overdue(now, record.cold_until) {
            self.end_slow_start(now, name, State::Expired);
            return None;
        }
        let window = record.slow_start.window.as_ref()?;
        let (since, limits) = (window.since, window.limits);
        let service = record.row.service.clone();
        // An earlier report is about the load before the target became fresh.
        let is_current = |age: &Duration| now.checked_sub(*age).is_some_and(|at| at > since);
        let last_reported = record.remote_load.with_age(now).filter(|(.., age)| is_current(age));
        let counted_before = self.owned_since(&service, name).is_some_and(|owned| owned <= since);
        let last_reported = last_reported.filter(|_| !counted_before);
        let inherited = last_reported.map_or(0, |_| record.remote_load.load());
        // One of hundreds of routers knows few loads. The limits of the questions contain the means
        // that all routers know.
        let Requirements { load_multiple, load_slack, .. } = self.requirements;
        let mean = limits.map(|limit| (limit - f64::from(load_slack)) / load_multiple.max(1.0));
        let mean = mean.unwrap_or_else(|| self.mean_load(now, &service));
        Some(Neighbours { mean, inherited })
    }

    fn end_slow_start(&mut self, now: Instant, name: &str, state: State) {
        let Some(record) = self.records.get_mut(name) else { return };
        if let Some((age, window)) = record.slow_start.end(now) {
            let (target, window) = (name.to_owned(), window as u32);
            self.slow_start_changes.push(Change { target, state, age, window });
        }
    }

    /// Records an outcome of a request of this router at a target.
    ///
    /// A target that is failing or unresponsive is fresh from then on.
    pub fn record_outcome(&mut self, now: Instant, target: &str, outcome: Outcome) {
        let Some(record) = self.records.get_mut(target).filter(|_| !self.slow_start_disabled)
        else {
            return;
        };
        if record.health.standing(now) != Standing::Good {
            record.slow_start.begin_or_prolong(now);
        }
        if record.slow_start.window.is_none() {
            return;
        }
        record.slow_start.counts.record(outcome);
        let (short_hash, counts) = (record.short_hash, record.slow_start.counts);
        if self.accountants.accountant_of(now, short_hash) == Accountant::Own {
            let (own, stamp) = (self.own_address(), self.next_stamp());
            self.apply_counts(now, target, own, stamp, counts);
        }
    }

    /// Report of the outcomes at a fresh target, with its receiver, if one is due.
    pub fn due_progress(&mut self, now: Instant, target: &str) -> Option<(SocketAddr, Progress)> {
        let record = self.records.get(target)?;
        let Accountant::Other(accountant) = self.accountant(now, record) else { return None };
        if !record.slow_start.is_due(now) {
            return None;
        }
        let stamp = self.next_stamp();
        let record = self.records.get_mut(target)?;
        let counts = record.slow_start.counts;
        (record.slow_start.reported, record.slow_start.reported_at) = (counts, Some(now));
        let started_ms = record.row.started_ms.unwrap_or_default();
        Some((accountant, Progress { stamp, target: record.short_hash, started_ms, counts }))
    }

    /// Reports of the outcomes at all fresh targets that are due.
    pub fn all_due_progress(&mut self, now: Instant) -> Vec<(SocketAddr, Progress)> {
        let due = self.records.iter().filter(|(_, record)| record.slow_start.is_due(now));
        let names: Vec<String> = due.map(|(name, _)| name.clone()).collect();
        self.end_overdue(now);
        names.iter().filter_map(|name| self.due_progress(now, name)).collect()
    }

    /// Ends the slow starts that are overdue, also those of targets that get no requests.
    fn end_overdue(&mut self, now: Instant) {
        let overdue = self
            .records
            .iter()
            .filter(|(_, record)| record.slow_start.is_overdue(now, record.cold_until));
        let names: Vec<String> = overdue.map(|(name, _)| name.clone()).collect();
        names.iter().for_each(|name| self.end_slow_start(now, name, State::Expired));
    }

    /// Applies another router's report of outcomes at a target.
    ///
    /// Ignores a report about another process of the target. A report begins a slow start that this
    /// router has seen no reason for, such as an outage between other routers and the target.
    pub fn apply_progress(&mut self, now: Instant, router: SocketAddr, progress: &Progress) {
        let Some(name) = self.names_by_hash.get(&progress.target).cloned() else { return };
        let Some(record) = self.records.get_mut(&name) else { return };
        if record.row.started_ms.unwrap_or_default() != progress.started_ms {
            return;
        }
        if record.slow_start.may_begin_by_report(now) && progress.counts.bad() > 0 {
            record.slow_start.begin(now);
        }
        self.apply_counts(now, &name, router, progress.stamp, progress.counts);
    }

    fn apply_counts(
        &mut self,
        now: Instant,
        name: &str,
        router: SocketAddr,
        stamp: Stamp,
        counts: Counts,
    ) {
        let Some(neighbours) = self.neighbours(now, name) else { return };
        let own = self.own_address();
        let Some(record) = self.records.get(name) else { return };
        let cold = self.is_cold(record, now);
        let load = self.aggregator.sum_excluding(now, record.short_hash, own).load
            + self.loads.load(name, now);
        let Some(record) = self.records.get_mut(name) else { return };
        let Some(window) = &mut record.slow_start.window else { return };
        let outcomes = window.new_outcomes(router, stamp, counts);
        let next = window.apply(now, outcomes, load, neighbours);
        if next == Next::Release && !cold {
            self.end_slow_start(now, name, State::Released);
        }
    }
}
