//! Requirements of a deployment for the requests that its targets get.

use std::time::Duration;

/// Requirements of the deployment for the requests that one target gets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Requirements {
    /// Maximum load of a target, as a multiple of the mean load of its service.
    pub load_multiple: f64,
    /// Requests allowed on top of that multiple.
    pub load_slack: u32,
    /// Requests that a cold target may get in one second, as a multiple of its service's cold rate.
    pub cold_over: f64,
    /// Requests that a cold target may get in one second on top of that multiple.
    pub cold_slack: u32,
    /// Longest time for which requests may still be sent to a target after it has started to leave.
    pub drain: Duration,
}

impl Default for Requirements {
    fn default() -> Self {
        Self {
            load_multiple: 2.0,
            load_slack: 3,
            cold_over: 1.5,
            cold_slack: 5,
            drain: Duration::from_secs(3),
        }
    }
}
