//! Rate limit in force at one target, as one router knows it.
//!
//! Responses on different connections overtake each other, and reports of other routers arrive late
//! and repeatedly. A lower rate therefore takes effect at once. A higher one, or the end of the
//! limit, takes effect only if the request was sent after the last response that named the rate in
//! force. What was received before the response that raised or ended the limit is outdated.

use std::time::{Duration, Instant};

use super::{MIN_GRANTED_RATE, Rate};

/// Time in which the granted rate doubles after a limit was raised or has ended.
const DOUBLING_TIME: Duration = Duration::from_millis(500);

/// Time after the end of a limit during which the granted rate still rises.
const RELEASE_TIME: Duration = Duration::from_secs(2);

/// Rate from which the granted rate rises at least, in requests per second.
const MIN_RELEASE_RATE: f64 = 1.0;

/// What one response says of the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Rate that the response names, if any.
    pub rate: Option<Rate>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the response arrived.
    pub received_at: Instant,
}

/// Change of the limit in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Change {
    /// The target names a limit.
    Began,
    /// The target names a higher limit than before.
    Raised,
    /// The target names a lower limit than before.
    Lowered,
    /// The target names no limit any more.
    Ended,
}

/// Rise of the granted rate after a limit was raised or has ended.
#[derive(Clone, Copy, Debug)]
struct Release {
    /// Rate at its start, in requests per second.
    from: f64,
    since: Instant,
}

impl Release {
    fn rate(self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.since);
        self.from * (elapsed.as_secs_f64() / DOUBLING_TIME.as_secs_f64()).exp2()
    }

    fn is_over(self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= RELEASE_TIME
    }
}

/// Rate limit in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    /// Last observation that agrees with the limit in force.
    last: Option<Observation>,
    /// When the request was sent whose response last raised or ended the limit, or confirmed its
    /// end.
    lifted_by: Option<Instant>,
    release: Option<Release>,
}

impl Limit {
    /// Rate in force; none if the target names none.
    #[must_use]
    pub fn rate(&self) -> Option<Rate> {
        self.last?.rate
    }

    /// Last observation that agrees with the limit in force.
    #[must_use]
    pub const fn last(&self) -> Option<Observation> {
        self.last
    }

    /// Rate to grant now, in requests per second; none if the requests are not limited.
    #[must_use]
    pub fn granted_rate(&self, now: Instant) -> Option<f64> {
        let rate = self.rate().map(|rate| rate.per_second().max(MIN_GRANTED_RATE));
        let release = self.release.filter(|release| !release.is_over(now));
        match (rate, release.map(|release| release.rate(now))) {
            (Some(rate), Some(release)) => Some(rate.min(release)),
            (rate, release) => rate.or(release),
        }
    }

    /// Applies an observation; returns the change of the limit in force.
    pub fn apply(&mut self, now: Instant, observation: Observation) -> Option<Change> {
        let Observation { rate, sent_at, received_at } = observation;
        let in_force = self.rate();
        if rate == in_force {
            self.confirm(observation);
            return None;
        }
        let is_lower = in_force.is_none_or(|known| rate.is_some_and(|rate| rate < known));
        if is_lower {
            if self.lifted_by.is_some_and(|lifted_by| received_at <= lifted_by) {
                return None;
            }
            (self.last, self.release) = (Some(observation), None);
            return Some(if in_force.is_none() { Change::Began } else { Change::Lowered });
        }
        if self.last.is_some_and(|last| sent_at <= last.received_at) {
            return None;
        }
        let from = self.granted_rate(now).unwrap_or_default().max(MIN_RELEASE_RATE);
        self.release = Some(Release { from, since: now });
        (self.last, self.lifted_by) = (Some(observation), Some(sent_at));
        Some(if rate.is_none() { Change::Ended } else { Change::Raised })
    }

    fn confirm(&mut self, observation: Observation) {
        let Observation { rate, sent_at, received_at } = observation;
        if rate.is_none() {
            self.lifted_by = self.lifted_by.max(Some(sent_at));
        }
        let last = self.last.get_or_insert(observation);
        last.sent_at = last.sent_at.max(sent_at);
        last.received_at = last.received_at.max(received_at);
    }
}
