//! Connections of one router to targets that accept a stated number of connections.
//!
//! A target accepts a number of connections from all routers together and resets those beyond. Each
//! router keeps to an equal part of that number, idle connections included, so that no message is
//! needed. A part of less than one connection is rounded up at some of the routers and down at the
//! others, by a hash. A target that has reset a new connection is near its cap: the routers keep
//! fewer idle connections there for a while, and prefer an idle connection to a new one.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Fraction of the accepted connections that the routers divide among themselves.
///
/// The rest is for checks by connecting, for connections that are being closed, and for routers
/// that have just started.
const USED_FRACTION: f64 = 0.8;

/// Fraction of its part that a router uses at a target near its cap.
const NEAR_CAP_FRACTION: f64 = 0.5;

/// Time after a reset for which a target counts as near its cap: longer than idle connections are
/// kept, so that the surplus ones of other routers are closed meanwhile.
const NEAR_CAP_TIME: Duration = Duration::from_secs(5);

/// Maximum time since the last response of a target without recent failures for which a request
/// that may not be repeated is sent on an idle connection.
///
/// After a longer time the request is sent on a new connection, because its opening shows that the
/// target is running.
const RECENT_RESPONSE_AGE: Duration = Duration::from_millis(100);

/// The same for a target near its cap, where a new connection is likely to be reset after the
/// request is sent. It is below the time after which a silent target is passed over (1 s).
const NEAR_CAP_RESPONSE_AGE: Duration = Duration::from_millis(500);

/// Connections to one target that this router may keep open, if the target accepts
/// `max_connections` from `routers` routers.
///
/// `draw` is a number from 0 to 1 that differs by router and target, and rounds the part.
#[must_use]
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small number")]
pub fn part(max_connections: u32, routers: usize, near_cap: bool, draw: f64) -> usize {
    let fraction = if near_cap { USED_FRACTION * NEAR_CAP_FRACTION } else { USED_FRACTION };
    (f64::from(max_connections) * fraction / routers.max(1) as f64 + draw).floor() as usize
}

/// Targets that have reset new connections.
#[derive(Clone, Debug, Default)]
pub struct Resets {
    /// When a target last reset a new connection, by the name of the target.
    last: BTreeMap<String, Instant>,
}

impl Resets {
    /// Records that a target reset a new connection; returns whether it was not near its cap before.
    pub fn record(&mut self, now: Instant, target: &str) -> bool {
        self.last.retain(|_, at| is_recent(now, *at));
        self.last.insert(target.to_owned(), now).is_none()
    }

    /// Whether a target is near its cap.
    #[must_use]
    pub fn is_near_cap(&self, now: Instant, target: &str) -> bool {
        self.last.get(target).is_some_and(|at| is_recent(now, *at))
    }

    /// Time since the last response of a target within which a request that may not be repeated is
    /// sent on an idle connection.
    #[must_use]
    pub fn response_age(&self, now: Instant, target: &str) -> Duration {
        if self.is_near_cap(now, target) { NEAR_CAP_RESPONSE_AGE } else { RECENT_RESPONSE_AGE }
    }
}

fn is_recent(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) < NEAR_CAP_TIME
}
