//! Requests of this router in progress, by target.
//!
//! A response can be lost while its target keeps working: the request stays open in this router but
//! uses nothing at the target. A request that got no response for [`STALL_TIMEOUT`], while the
//! target responded to other requests, is treated as stalled. Stalled requests do not count as
//! load, since they would raise the mean load, and with it the load bound of every target.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::quarantine::feature::Feature;

/// Time without a response after which a request counts as stalled, if its target responded to
/// other requests meanwhile.
///
/// This is longer than an engine takes to process a long prompt queued behind others, and longer
/// than the pauses within streams.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time constant of the moving average of the load at a target: the length of several requests.
pub const AVERAGING_TIME: Duration = Duration::from_secs(2);

/// Average load below which a target without requests is removed, in requests.
const MIN_KEPT_AVERAGE: f64 = 0.01;

/// Identifier of a request in progress at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// A request in progress.
#[derive(Clone, Debug)]
struct InFlight {
    features: Box<[Feature]>,
    sent_at: Instant,
    /// When the request was sent, or last got a part of its response.
    last_progress: Instant,
}

/// Requests in progress at one target.
#[derive(Clone, Debug, Default)]
struct Target {
    requests: BTreeMap<Ticket, InFlight>,
    /// Last response to any request.
    last_response: Option<Instant>,
    /// Average load in requests, and the time up to which it is computed.
    average: Option<(f64, Instant)>,
}

impl Target {
    fn load(&self, now: Instant) -> u32 {
        let stalled = |request: &InFlight| {
            let overdue =
                |at: Instant| at.saturating_duration_since(request.last_progress) > STALL_TIMEOUT;
            overdue(now) && self.last_response.is_some_and(overdue)
        };
        let count = self.requests.values().filter(|request| !stalled(request)).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    fn average(&self, now: Instant) -> f64 {
        let load = f64::from(self.load(now));
        let Some((average, at)) = self.average else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64() / AVERAGING_TIME.as_secs_f64();
        load + (average - load) * (-age).exp()
    }

    /// Brings the average up to date; called before the load changes.
    fn update_average(&mut self, now: Instant) {
        self.average = Some((self.average(now), now));
    }
}

/// Requests of this router in progress, by target.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    targets: BTreeMap<String, Target>,
    last_ticket: u64,
}

impl Loads {
    /// Records a request that was sent to a target, with its features.
    pub fn record_sent(&mut self, now: Instant, target: &str, features: &[Feature]) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let target = self.targets.entry(target.to_owned()).or_default();
        target.update_average(now);
        let request = InFlight { features: features.into(), sent_at: now, last_progress: now };
        target.requests.insert(ticket, request);
        ticket
    }

    /// Records any part of a response to a request.
    pub fn record_response(&mut self, now: Instant, target: &str, ticket: Ticket) {
        let Some(target) = self.targets.get_mut(target) else { return };
        target.last_response = Some(now);
        if let Some(request) = target.requests.get_mut(&ticket) {
            request.last_progress = now;
        }
    }

    /// When a request in progress was sent.
    pub(super) fn sent_at(&self, target: &str, ticket: Ticket) -> Option<Instant> {
        Some(self.targets.get(target)?.requests.get(&ticket)?.sent_at)
    }

    /// Records the end of a request at a target.
    pub fn record_end(&mut self, now: Instant, target: &str, ticket: Ticket) {
        let Some(target) = self.targets.get_mut(target) else { return };
        target.update_average(now);
        target.requests.remove(&ticket);
    }

    /// Removes the targets that have had no requests for some time.
    pub fn remove_idle(&mut self, now: Instant) {
        self.targets.retain(|_, target| {
            !target.requests.is_empty() || target.average(now) >= MIN_KEPT_AVERAGE
        });
    }

    /// Average number of requests in progress at a target, over [`AVERAGING_TIME`].
    #[must_use]
    pub fn average(&self, target: &str, now: Instant) -> f64 {
        self.targets.get(target).map_or(0.0, |target| target.average(now))
    }

    /// Features of the requests in progress at a target, stalled ones included, each with the time
    /// at which its request was sent.
    pub fn features(&self, target: &str) -> impl Iterator<Item = (Feature, Instant)> {
        let requests =
            self.targets.get(target).into_iter().flat_map(|target| target.requests.values());
        requests
            .flat_map(|request| request.features.iter().map(|feature| (*feature, request.sent_at)))
    }

    /// Requests in progress at a target, without stalled ones.
    #[must_use]
    pub fn load(&self, target: &str, now: Instant) -> u32 {
        self.targets.get(target).map_or(0, |target| target.load(now))
    }
}
