//! Retry budgets of one router for the gateway interface, by service. They bound the retries of the
//! whole fleet without communication. The budgets of the chat interface are in [`crate::retry`].
//!
//! For each service, the retries of the whole fleet within any time window may be at most a given
//! ratio of its requests in that window plus a fixed allowance. Each router limits itself to the
//! ratio of its own requests plus an equal part of the allowance, so the routers together stay
//! within the limit.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Parameters of the retry budgets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Parameters {
    /// Allowed retries for each request; 0.1 allows one retry for ten requests.
    pub ratio: f64,
    /// Retries of all routers together that are allowed in addition.
    pub slack: u32,
    /// Length of the time window within which requests and retries are counted.
    pub window: Duration,
}

/// Fraction of the limit that is used.
///
/// The limit applies to the arrivals at the targets, which occur a little later than the events
/// counted here. A window at the targets can therefore contain retries from an earlier window here;
/// the unused part leaves a margin for them.
const USED_FRACTION: f64 = 0.85;

/// Counter of the events within a sliding time window.
#[derive(Clone, Debug, Default)]
struct Counter {
    /// Times of the events, in ascending order.
    events: VecDeque<Instant>,
}

impl Counter {
    fn add(&mut self, now: Instant) {
        self.events.push_back(now);
    }

    /// Drops the events before the window and counts the remaining ones.
    fn count(&mut self, now: Instant, window: Duration) -> usize {
        let expired = |at: &Instant| now.saturating_duration_since(*at) > window;
        while self.events.front().is_some_and(expired) {
            self.events.pop_front();
        }
        self.events.len()
    }
}

/// Requests and retries of one service within the window.
#[derive(Clone, Debug, Default)]
struct Usage {
    requests: Counter,
    retries: Counter,
}

/// Retry budgets of one router, by service.
#[derive(Clone, Debug)]
pub struct ServiceBudgets {
    parameters: Parameters,
    usages: BTreeMap<String, Usage>,
}

impl ServiceBudgets {
    /// Creates budgets with the given parameters.
    #[must_use]
    pub const fn new(parameters: Parameters) -> Self {
        Self { parameters, usages: BTreeMap::new() }
    }

    /// Counts a request to a service.
    pub fn record_request(&mut self, now: Instant, service: &str) {
        self.usage(service).requests.add(now);
    }

    /// Charges one retry to the budget of a service, given the number of routers in the fleet.
    ///
    /// Returns false, and charges nothing, if less than one retry is left.
    #[must_use]
    pub fn try_withdraw(&mut self, now: Instant, service: &str, routers: usize) -> bool {
        let remaining = self.remaining(now, service, routers);
        if remaining >= 1.0 {
            self.usage(service).retries.add(now);
        }
        remaining >= 1.0
    }

    /// Retries that are left in the budget of a service, given the number of routers in the fleet.
    ///
    /// The result may be fractional or negative.
    #[expect(clippy::cast_precision_loss, reason = "counts are small")]
    pub fn remaining(&mut self, now: Instant, service: &str, routers: usize) -> f64 {
        let parameters = self.parameters;
        let usage = self.usage(service);
        let requests = usage.requests.count(now, parameters.window) as f64;
        let retries = usage.retries.count(now, parameters.window) as f64;
        let slack = f64::from(parameters.slack) / routers.max(1) as f64;
        (requests * parameters.ratio + slack) * USED_FRACTION - retries
    }

    fn usage(&mut self, service: &str) -> &mut Usage {
        self.usages.entry(service.to_owned()).or_default()
    }
}
