//! Decides from failed calls whether the platform itself was away.
//!
//! The rows of targets expire while the platform is away, and targets rewrite them afterwards. A
//! failed call alone does not show such an outage: its connection may have been lost silently,
//! long before the call failed.

use std::time::{Duration, Instant};

/// What a failed call to the platform shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No complete response: the connection was lost, or the platform is away.
    NoResponse,
    /// The platform cannot be reached, or responds that it cannot serve.
    Unavailable,
    /// The platform serves, but rejects this call.
    Rejected,
}

/// Failed calls for one topic since the last response.
#[derive(Clone, Copy, Debug, Default)]
pub struct Streak {
    /// When the first of the calls failed.
    since: Option<Instant>,
    /// Number of calls without a response.
    missing_responses: u32,
    /// Whether a failure shows that the platform was away.
    shows_outage: bool,
}

/// Calls in a row without a response that show an outage. Each call has a connection of its own,
/// and the second one starts after the first one has failed.
const OUTAGE_CALLS: u32 = 2;

impl Streak {
    /// Records a failed call.
    pub fn record_failure(&mut self, now: Instant, failure: Failure) {
        self.since.get_or_insert(now);
        match failure {
            Failure::NoResponse => self.missing_responses += 1,
            Failure::Unavailable => self.shows_outage = true,
            Failure::Rejected => {}
        }
        self.shows_outage |= self.missing_responses >= OUTAGE_CALLS;
    }

    /// Records a response, which ends the streak.
    ///
    /// Returns how long the platform was away; none if the failed calls do not show that it was.
    pub fn record_response(&mut self, now: Instant) -> Option<Duration> {
        let streak = std::mem::take(self);
        let since = streak.since.filter(|_| streak.shows_outage)?;
        Some(now.saturating_duration_since(since))
    }
}
