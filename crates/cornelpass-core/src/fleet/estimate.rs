//! Load of the other routers at a target, as accountants reported it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Age up to which a sampled load (`Estimate::sampled_at`) counts for the mean load of a service.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(2);

/// Weight of a new report in the moving average of a target's load.
const AVERAGE_WEIGHT: f64 = 0.3;

/// Load of the other routers at a target, as accountants reported it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Estimate {
    /// Last reported load, in requests.
    load: u32,
    reported_at: Option<Instant>,
    /// Moving average of the reported loads, in requests.
    average: f64,
    /// Router that last replied to a question about the target.
    pub(super) accountant: Option<SocketAddr>,
    /// When the load was last sampled: an accountant reported it without a question about the
    /// target.
    pub(super) sampled_at: Option<Instant>,
}

impl Estimate {
    pub(super) fn record(&mut self, now: Instant, load: u32) {
        let before = if self.reported_at.is_some() { self.average } else { f64::from(load) };
        self.average = before + (f64::from(load) - before) * AVERAGE_WEIGHT;
        (self.load, self.reported_at) = (load, Some(now));
    }

    /// Last reported load, in requests; 0 without a report.
    pub(super) const fn load(&self) -> u32 {
        self.load
    }

    /// Last reported load, if the load was recently sampled.
    pub(super) fn sample(&self, now: Instant) -> Option<u32> {
        let fresh = |at: Instant| now.saturating_duration_since(at) < SAMPLE_LIFETIME;
        self.sampled_at.is_some_and(fresh).then_some(self.load)
    }

    /// Last reported load, average load, and age of the last report; none without a report.
    pub(super) fn with_age(&self, now: Instant) -> Option<(f64, f64, Duration)> {
        let age = now.saturating_duration_since(self.reported_at?);
        Some((f64::from(self.load), self.average, age))
    }
}
