//! Report of a target's rate limit to the accountant of the target.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::Rate;
use super::limit::Observation;

/// What a router knows of the rate limit of a target.
///
/// The report states the whole of it, so that a lost or repeated one does no harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Short hash of the target's name ([`crate::report::short_hash`]).
    pub target: u32,
    /// Start time of the target in milliseconds since 1970; 0 if it is unknown.
    pub started_ms: u64,
    /// Rate that the last response named; none if it named none.
    pub rate: Option<Rate>,
    /// Time since the request of that response was sent, in milliseconds.
    pub sent_age_ms: u32,
    /// Time since that response arrived, in milliseconds.
    pub received_age_ms: u32,
}

fn age_ms(now: Instant, at: Instant) -> u32 {
    u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
}

impl LimitReport {
    /// Report of an observation.
    #[must_use]
    pub fn new(now: Instant, target: u32, started_ms: u64, observation: Observation) -> Self {
        let Observation { rate, sent_at, received_at } = observation;
        let (sent_age_ms, received_age_ms) = (age_ms(now, sent_at), age_ms(now, received_at));
        Self { target, started_ms, rate, sent_age_ms, received_age_ms }
    }

    /// Observation that the report states; none if it is from before the start of the clock.
    #[must_use]
    pub fn observation(&self, now: Instant) -> Option<Observation> {
        let before = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        Some(Observation {
            rate: self.rate,
            sent_at: before(self.sent_age_ms)?,
            received_at: before(self.received_age_ms)?,
        })
    }
}
