//! Requests of this router that were refused because of rate limits, and when they may return.

use std::time::{Duration, Instant};

use super::MIN_GRANTED_RATE;
use crate::contention::decay::Count;

/// Time constant of the count of refused requests.
const MEMORY: Duration = Duration::from_secs(2);

/// Shortest retry delay.
pub const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time in which the requests that are refused together return at least.
const MIN_RETURN_TIME: Duration = Duration::from_millis(400);

/// Longest retry delay. Callers follow a delay of at most a third of their remaining time.
pub const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// Count below which nothing was refused lately.
const MIN_COUNT: f64 = 0.05;

/// Refused requests of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Refusals {
    recent: Count,
    unreported: u32,
}

impl Refusals {
    /// Records a refused request; returns its retry delay.
    ///
    /// `rate` is this router's part of what the limits allow, in requests per second. Requests that
    /// are refused together return within the time in which the limits allow them; `draw`, from 0 to
    /// 1, is the place of the request in that time.
    pub fn record(&mut self, now: Instant, rate: f64, draw: f64) -> Duration {
        self.recent.add(now, MEMORY);
        self.unreported = self.unreported.saturating_add(1);
        let recent = self.recent.value(now, MEMORY);
        let longest = (MAX_RETRY_DELAY - MIN_RETRY_DELAY).as_secs_f64();
        let return_time =
            (recent / rate.max(MIN_GRANTED_RATE)).clamp(MIN_RETURN_TIME.as_secs_f64(), longest);
        MIN_RETRY_DELAY + Duration::from_secs_f64(return_time * draw.clamp(0.0, 1.0))
    }

    /// Takes the number of requests that were refused since the last call.
    pub const fn take_unreported(&mut self) -> u32 {
        std::mem::replace(&mut self.unreported, 0)
    }

    /// Whether nothing was refused lately.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        self.unreported == 0 && self.recent.value(now, MEMORY) < MIN_COUNT
    }
}
