//! Bulletins: what a router tells the other routers about crashes.
//!
//! Times are sent as ages, because the clocks of routers differ. A bulletin fits into one datagram;
//! the limits keep it below 1,400 bytes.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::feature::Feature;

/// Maximum number of features in the crashes of one bulletin.
pub const MAX_CRASH_FEATURES: usize = 48;

/// Maximum number of clearances in one bulletin.
pub const MAX_CLEARANCES: usize = 12;

/// Maximum number of features in the groups of one bulletin.
pub const MAX_GROUP_FEATURES: usize = 24;

/// Crash of a target, as one router observed it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Short hash of the target's name.
    pub target: u32,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
    /// Features of the router's requests in progress at the target, each with the time in
    /// milliseconds from when the last request with it was sent to the crash.
    pub features: Vec<(Feature, u32)>,
}

/// Notice that a request with a feature got a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clearance {
    /// The feature.
    pub feature: Feature,
    /// Time since the response, in milliseconds.
    pub age_ms: u32,
}

/// Quarantined features: requests with all of them are refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// The features, in ascending order.
    pub features: Vec<Feature>,
    /// Time since the first crash of the sequence, in milliseconds.
    pub age_ms: u32,
}

/// Content of one datagram.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bulletin {
    /// Crashes that the sender observed recently, the latest first.
    pub crashes: Vec<Crash>,
    /// Features that the sender cleared recently, the latest first.
    pub clearances: Vec<Clearance>,
    /// Groups in quarantine, whoever quarantined them.
    pub groups: Vec<Group>,
}

impl Bulletin {
    /// Whether there is nothing to tell.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.clearances.is_empty() && self.groups.is_empty()
    }
}

/// Time from `at` to `now`, in milliseconds.
#[must_use]
pub fn age_ms(now: Instant, at: Instant) -> u32 {
    u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
}

/// Time of an event with an age; `now` if the clock does not reach back that far.
#[must_use]
pub fn time_of(now: Instant, age_ms: u32) -> Instant {
    now.checked_sub(Duration::from_millis(u64::from(age_ms))).unwrap_or(now)
}
