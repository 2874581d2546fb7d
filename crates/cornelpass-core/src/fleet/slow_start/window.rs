//! Window of a fresh target, which its outcomes open and reduce.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::Counts;
use crate::accounting::message::Stamp;

/// Smallest first window, in requests. Smaller windows open by single requests and leave the target
/// idle between two responses.
const MIN_FIRST_WINDOW: f64 = 4.0;

/// First window as a fraction of the mean load: two response times to a neighbour's load.
const FIRST_FRACTION: f64 = 0.25;

/// Smallest window as a fraction of the mean load. A target that does not respond in time even then
/// is left to the health check.
const MIN_FRACTION: f64 = 0.125;

/// Shortest time between two reductions of a window: the bad outcomes of one burst reduce it once.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(500);

/// Requests by which a good response opens a window that has been reduced. A target that warms up
/// can soon carry more than at the reduction, so that growth by one request in a response time would
/// leave it idle.
const GROWTH_AFTER_REDUCTION: f64 = 0.5;

/// Weight of a question in the moving average of the limits.
const LIMIT_WEIGHT: f64 = 0.1;

/// What follows a report of outcomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// The window limits the load further on.
    Limit,
    /// The target carries a neighbour's load.
    Release,
}

/// What a window is measured by.
#[derive(Clone, Copy, Debug)]
pub(super) struct Neighbours {
    /// Mean load of the targets of the service, in requests.
    pub(super) mean: f64,
    /// Load that the last accountant reported, if this router has become the accountant since the
    /// target became fresh; that accountant had a window of at least this size.
    pub(super) inherited: u32,
}

/// Window of a fresh target.
#[derive(Clone, Debug)]
pub(super) struct Window {
    pub(super) since: Instant,
    /// Size in requests; none until the first question to this router as accountant.
    pub(super) size: Option<f64>,
    reduced_at: Option<Instant>,
    /// Moving average of the limits in the questions about the target, in requests.
    pub(super) limits: Option<f64>,
    /// Last report of each router.
    reports: BTreeMap<SocketAddr, (Stamp, Counts)>,
}

impl Window {
    pub(super) const fn new(since: Instant) -> Self {
        let (size, reduced_at, limits) = (None, None, None);
        Self { since, size, reduced_at, limits, reports: BTreeMap::new() }
    }

    /// Records the limit of a question.
    pub(super) fn record_limit(&mut self, limit: u32) {
        let limit = f64::from(limit);
        let before = self.limits.unwrap_or(limit);
        self.limits = Some(before + (limit - before) * LIMIT_WEIGHT);
    }

    /// Size of the window; opens it if it has no size yet.
    pub(super) fn open(&mut self, neighbours: Neighbours) -> f64 {
        let first = (neighbours.mean * FIRST_FRACTION).max(MIN_FIRST_WINDOW);
        *self.size.get_or_insert(first.max(f64::from(neighbours.inherited)))
    }

    /// Outcomes in a report that are new; none if a later report has arrived.
    pub(super) fn new_outcomes(
        &mut self,
        router: SocketAddr,
        stamp: Stamp,
        counts: Counts,
    ) -> (u32, u32) {
        let before = self.reports.get(&router).copied();
        let before = before.filter(|(before, _)| before.incarnation == stamp.incarnation);
        if before.is_some_and(|(before, _)| before.number >= stamp.number) {
            return (0, 0);
        }
        self.reports.insert(router, (stamp, counts));
        counts.since(before.map(|(_, counts)| counts).unwrap_or_default())
    }

    /// Applies new outcomes, when the load of the target is `load`.
    pub(super) fn apply(
        &mut self,
        now: Instant,
        outcomes: (u32, u32),
        load: u32,
        neighbours: Neighbours,
    ) -> Next {
        let (size, mean) = (self.open(neighbours), neighbours.mean);
        let (good, bad) = outcomes;
        if bad > 0 {
            let recently = |at: Instant| now.saturating_duration_since(at) < REDUCTION_INTERVAL;
            if !self.reduced_at.is_some_and(recently) {
                let reduced = (size / 2.0).max(mean * MIN_FRACTION).max(1.0);
                (self.size, self.reduced_at) = (Some(reduced), Some(now));
            }
            return Next::Limit;
        }
        // Responses at a low load do not show that the target can carry a higher one.
        let proven = 2.0 * f64::from(load) + 1.0;
        let growth = if self.reduced_at.is_some() { GROWTH_AFTER_REDUCTION } else { 1.0 };
        let grown = size.max((size + f64::from(good) * growth).min(proven));
        self.size = Some(grown);
        if good > 0 && grown >= mean { Next::Release } else { Next::Limit }
    }
}
