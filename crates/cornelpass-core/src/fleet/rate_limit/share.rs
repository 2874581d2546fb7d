//! Share of a rate limit that a router uses while no accountant answers its questions.
//!
//! The shares of all routers together, and what the accountant may grant to others meanwhile, must
//! not exceed what the limit allows, so half of the rate is divided between the routers. A share is often far below one
//! request per second, so that tokens which accumulate at each router would add up to a burst as
//! large as the number of routers. The tokens of a router therefore come at fixed moments, which
//! differ between the routers, and lapse soon.

use std::time::{Duration, Instant};

/// Time after which an unused token lapses.
const TOKEN_LIFETIME: Duration = Duration::from_millis(500);

/// Share of one router.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    schedule: Option<Schedule>,
    /// Number of the last token that was used.
    used: u64,
}

/// Moments at which tokens come.
#[derive(Clone, Copy, Debug)]
struct Schedule {
    since: Instant,
    /// Fraction of the first interval that had passed at `since`.
    phase: f64,
    /// Time between two tokens, in seconds.
    interval: f64,
}

impl Schedule {
    fn position(&self, at: Instant) -> f64 {
        self.phase + at.saturating_duration_since(self.since).as_secs_f64() / self.interval
    }

    /// Number of the last token that came until `at`; 0 if there is none.
    fn last_token(&self, at: Instant) -> u64 {
        self.position(at).floor() as u64
    }
}

impl Share {
    /// Number of a token for a request of this router, to be used by [`Self::take`]; none if there
    /// is no token.
    ///
    /// `rate` is the share, in requests per second. `phase` is the fraction of the time between two
    /// tokens that has passed when the first one is asked for; it differs between the routers.
    pub fn available(&mut self, now: Instant, rate: f64, phase: f64) -> Option<u64> {
        let interval = rate.recip();
        let schedule = match self.schedule {
            Some(schedule) if schedule.interval.total_cmp(&interval).is_eq() => schedule,
            Some(schedule) => {
                self.used = 0;
                Schedule { since: now, phase: schedule.position(now).fract(), interval }
            }
            None => Schedule { since: now, phase, interval },
        };
        self.schedule = Some(schedule);
        let lapsed = now.checked_sub(TOKEN_LIFETIME).map_or(0, |at| schedule.last_token(at));
        let next = self.used.max(lapsed) + 1;
        (next <= schedule.last_token(now)).then_some(next)
    }

    /// Uses a token.
    pub const fn take(&mut self, token: u64) {
        self.used = token;
    }
}
