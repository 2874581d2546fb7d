//! Rate limit that a target names in its responses.
//!
//! A target in need names the requests per second that it takes from all routers together. The
//! limit belongs to one process of the target and holds as long as its responses name it. This is
//! not the load bound, which limits the requests in progress ([`super::choice`]).
//!
//! [`limit`] derives the limit in force from what responses say. The accountant of the target
//! ([`crate::accounting`]) grants [`tokens`] to all routers; it learns the limit from the
//! [`report`]s of the routers that hear of it. A router whose questions are not answered keeps to
//! its own [`share`].

mod exchange;
mod grant;
pub mod limit;
pub mod refusals;
pub mod report;
pub mod share;
pub mod tokens;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use self::limit::Limit;
use self::refusals::Refusals;
use self::report::LimitReport;
use self::share::Share;
use self::tokens::Tokens;

/// Highest rate that is taken for a rate limit, in requests per second.
pub const MAX_RATE: f64 = 1_000_000.0;

/// Lowest rate that is granted, in requests per second.
///
/// A target that gets nothing cannot say that its limit has ended.
pub const MIN_GRANTED_RATE: f64 = 0.05;

/// Requests that a target takes per second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rate(u32);

impl Rate {
    /// Rate of a number of requests per second; none if it is negative, not finite, or above
    /// [`MAX_RATE`].
    #[must_use]
    pub fn from_per_second(requests: f64) -> Option<Self> {
        (0.0..=MAX_RATE).contains(&requests).then(|| Self((requests * 1_000.0).floor() as u32))
    }

    /// Requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }
}

/// From where a router knows a limit or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A response of the target to this router.
    Response,
    /// Report of another router.
    Router(SocketAddr),
    /// The target has started again.
    Restart,
}

/// Change of the limit of a target, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Name of the target.
    pub target: String,
    /// Kind of the change.
    pub kind: limit::Change,
    /// Rate that was in force before.
    pub before: Option<Rate>,
    /// Rate in force from now on.
    pub rate: Option<Rate>,
    /// From where this router knows it.
    pub source: Source,
}

/// Rate limit of one target as one router knows it.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimit {
    limit: Limit,
    tokens: Tokens,
    share: Share,
    /// Routers that know the state in force from this router, with the incarnation of their process
    /// if it is known.
    informed: BTreeMap<SocketAddr, Option<u32>>,
    /// Collections at which the state in force is still reported.
    repeats: u8,
    /// When an accountant last turned a request away, and the urgency of that request.
    turned_away: Option<(Instant, u8)>,
}

/// Rate limits of all targets: what the caller has to send and to log.
#[derive(Clone, Debug, Default)]
pub(super) struct RateLimits {
    reports: Vec<(SocketAddr, LimitReport)>,
    changes: Vec<Change>,
    /// Refused requests by service.
    refusals: BTreeMap<String, Refusals>,
}

impl RateLimits {
    /// Records that a target has started again, which ends the limit of the process before.
    pub(super) fn record_restart(&mut self, target: &str, before: &RateLimit) {
        let Some(rate) = before.limit.rate() else { return };
        self.changes.push(Change {
            target: target.to_owned(),
            kind: limit::Change::Ended,
            before: Some(rate),
            rate: None,
            source: Source::Restart,
        });
    }
}
