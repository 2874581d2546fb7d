//! Tokens of a rate limit, which the accountant of the target grants to all routers.

use std::time::{Duration, Instant};

/// Time whose requests are saved for a burst.
const BURST_TIME: Duration = Duration::from_millis(500);

/// Tokens that are saved at least, so that some can be kept for more urgent requests.
const MIN_CAPACITY: f64 = 2.0;

/// Tokens that a router begins to count. The accountant before may have granted all that the target
/// can take.
const FIRST_TOKENS: f64 = 1.0;

/// Token bucket; each request uses one token.
#[derive(Clone, Debug, Default)]
pub struct Tokens {
    tokens: f64,
    last_refill: Option<Instant>,
}

impl Tokens {
    /// When tokens were last counted.
    #[must_use]
    pub const fn last_refill(&self) -> Option<Instant> {
        self.last_refill
    }

    /// Discards the tokens from before the time at which this router began to count the target.
    pub fn begin_count(&mut self, since: Instant) {
        if self.last_refill.is_none_or(|last_refill| last_refill < since) {
            *self = Self { tokens: FIRST_TOKENS, last_refill: Some(since) };
        }
    }

    /// Whether there is a token for a request.
    ///
    /// `rate` is in requests per second. `kept` is the fraction of the saved tokens that is kept for
    /// more urgent requests.
    pub fn is_available(&mut self, now: Instant, rate: f64, kept: f64) -> bool {
        let last_refill = self.last_refill.unwrap_or(now);
        let elapsed = now.saturating_duration_since(last_refill);
        let capacity = (rate * BURST_TIME.as_secs_f64()).max(MIN_CAPACITY);
        self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(capacity);
        self.last_refill = Some(now.max(last_refill));
        self.tokens >= 1.0 + kept.clamp(0.0, 1.0) * (capacity - 1.0)
    }

    /// Takes the token of a request.
    pub const fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
