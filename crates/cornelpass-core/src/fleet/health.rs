//! Passive health check of a target, by the outcomes of the requests that were sent to it.
//!
//! Neither an active health check nor the platform's list shows soon enough that a target is
//! unreachable, unresponsive or failing. Two kinds of evidence count:
//!
//! - A target that cannot be reached, or does not respond to requests of this router, at once gets
//!   only requests for which there is no better target. Each back-off in a row is longer.
//! - A target that loses or fails a part of its requests is avoided while other targets are better.
//!   Its share of failures is an estimate that needs several requests. The failures that
//!   accountants report for the other routers count as well.
//!
//! After the back-off, the target gets a single trial request, preferably one that may be repeated.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// First back-off of an unresponsive target, which could not be reached or did not respond.
pub const FIRST_UNRESPONSIVE_BACKOFF: Duration = Duration::from_millis(500);

/// Longest back-off of a target.
pub const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Time without a response, while a request waits, after which a target counts as unresponsive.
///
/// An engine that processes a long prompt for a single request may send nothing for half a second.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Sliding window in which failures are counted.
pub const FAILURE_WINDOW: Duration = Duration::from_secs(4);

/// Fewest failures within [`FAILURE_WINDOW`] at which a target counts as failing.
pub const MIN_FAILURES: u32 = 3;

/// Smallest share of failed requests at which a target counts as failing, from 0 to 1.
pub const MIN_FAILING_SHARE: f64 = 0.15;

/// First back-off of a failing target, after the failure that triggers it.
const FIRST_FAILING_BACKOFF: Duration = Duration::from_secs(3);

/// Successful requests after which the next back-off starts again at its first length.
const RESET_SUCCESSES: u32 = 8;

/// Maximum number of outcomes that are kept, and so the largest count of one router within
/// [`FAILURE_WINDOW`].
const MAX_OUTCOMES: usize = 64;

/// Standing of a target: its health as this router sees it, from the best to the worst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// No evidence of a failure.
    Good,
    /// The back-off is over, and one trial request may go to the target.
    Trial,
    /// The target fails a part of its requests.
    Failing,
    /// The target could not be reached, or does not respond.
    #[strum(serialize = "away")]
    Unresponsive,
}

/// Outcome of a request at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The target sent a complete response that is no error.
    Answered,
    /// The target returned an error, closed the connection early, or sent an invalid response.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// The target did not respond in time.
    #[strum(serialize = "silent")]
    TimedOut,
}

/// Number of ended and of failed requests within [`FAILURE_WINDOW`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests that failed.
    pub failed: u32,
    /// Requests that ended, failed ones included.
    pub ended: u32,
}

impl Count {
    /// Sum of two counts.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self { failed: self.failed + other.failed, ended: self.ended + other.ended }
    }

    /// Difference of two counts, at least zero.
    #[must_use]
    pub const fn minus(self, part: Self) -> Self {
        Self {
            failed: self.failed.saturating_sub(part.failed),
            ended: self.ended.saturating_sub(part.ended),
        }
    }

    fn is_failing(self) -> bool {
        let share = f64::from(self.failed) / f64::from(self.ended.max(1));
        self.failed >= MIN_FAILURES && share >= MIN_FAILING_SHARE
    }
}

/// Period in which a target gets only requests for which there is no better target.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    standing: Standing,
    until: Instant,
}

/// Health of one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Times of the ended requests of this router, and whether each failed.
    outcomes: VecDeque<(Instant, bool)>,
    /// Count of the other routers, and when it arrived.
    remote: Option<(Instant, Count)>,
    backoff: Option<Backoff>,
    /// Consecutive back-offs.
    backoffs: u32,
    /// Successful requests since the last back-off started.
    successes: u32,
    /// When the last trial request was sent, until it succeeds or the next back-off starts.
    trial: Option<Instant>,
    /// Requests of this router in progress.
    in_flight: u32,
    /// Since when requests have been in progress without interruption.
    busy_since: Option<Instant>,
    /// When the first request after the last response was sent.
    unanswered_since: Option<Instant>,
    last_response: Option<Instant>,
}

impl Health {
    /// Standing of the target.
    #[must_use]
    pub fn standing(&self, now: Instant) -> Standing {
        if let Some(since) = self.unresponsive_since(now) {
            // While requests stay unanswered, a trial request is allowed one back-off after the
            // first of them, or the last trial request, has timed out.
            let last_sent = self.trial.map_or(since, |at| at.max(since));
            let next_trial = last_sent + RESPONSE_TIMEOUT + FIRST_UNRESPONSIVE_BACKOFF;
            return if now < next_trial { Standing::Unresponsive } else { Standing::Trial };
        }
        match self.backoff {
            None => Standing::Good,
            Some(backoff) if now < backoff.until => backoff.standing,
            Some(backoff) if self.has_trial(now) => backoff.standing,
            Some(_) => Standing::Trial,
        }
    }

    /// When the target last responded.
    #[must_use]
    pub const fn last_response(&self) -> Option<Instant> {
        self.last_response
    }

    /// Number of requests in progress, and since when the target has not responded to them.
    ///
    /// None if no request is in progress.
    #[must_use]
    pub fn silence(&self) -> Option<(u32, Instant)> {
        let since = self.busy_since.max(self.last_response)?;
        (self.in_flight > 0).then_some((self.in_flight, since))
    }

    /// Records that a request was sent to the target.
    pub fn record_sent(&mut self, now: Instant) {
        if self.standing(now) == Standing::Trial {
            self.trial = Some(now);
        }
        if self.in_flight == 0 {
            self.unanswered_since = None;
            self.busy_since = Some(now);
        }
        self.unanswered_since.get_or_insert(now);
        self.in_flight += 1;
    }

    /// Records that any part of a response has arrived from the target.
    pub fn record_response(&mut self, now: Instant) {
        self.last_response = Some(now);
        self.unanswered_since = None;
    }

    /// Records the outcome of a request that has ended.
    pub fn record_end(&mut self, now: Instant, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Answered => self.record_success(now),
            Outcome::Failed => self.record_failure(now),
            Outcome::Unreachable | Outcome::TimedOut => {
                self.back_off(now, Standing::Unresponsive, FIRST_UNRESPONSIVE_BACKOFF)
            }
        }
    }

    /// Records the end of a request that is no evidence about the target, for example because the
    /// caller disconnected.
    pub const fn record_end_without_evidence(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Applies the count of the other routers.
    pub fn apply_remote_count(&mut self, now: Instant, count: Count) {
        self.remote = Some((now, count));
        self.back_off_if_failing(now);
    }

    /// Count of this router's requests within [`FAILURE_WINDOW`].
    #[must_use]
    pub fn recent_count(&self, now: Instant) -> Count {
        let recent =
            |(at, _): &&(Instant, bool)| now.saturating_duration_since(*at) <= FAILURE_WINDOW;
        let recent = self.outcomes.iter().filter(recent);
        recent.fold(Count::default(), |count, (_, failed)| Count {
            failed: count.failed + u32::from(*failed),
            ended: count.ended + 1,
        })
    }

    /// Whether the target answers at least as many of the recent requests of all routers as it fails.
    #[must_use]
    pub fn is_mostly_answering(&self, now: Instant) -> bool {
        let recent =
            self.remote.filter(|(at, _)| now.saturating_duration_since(*at) <= FAILURE_WINDOW);
        let remote = recent.map(|(_, count)| count).unwrap_or_default();
        let Count { failed, ended } = self.recent_count(now).plus(remote);
        ended > failed && ended - failed >= failed
    }

    fn record_success(&mut self, now: Instant) {
        self.record_response(now);
        self.record_outcome(now, false);
        let expired = self.backoff.is_some_and(|backoff| now >= backoff.until);
        if expired || self.backoff.is_some_and(|backoff| backoff.standing == Standing::Unresponsive)
        {
            self.backoff = None;
            self.trial = None;
        }
        self.successes += 1;
        if self.successes >= RESET_SUCCESSES {
            self.backoffs = 0;
        }
    }

    fn record_failure(&mut self, now: Instant) {
        self.record_outcome(now, true);
        if self.backoff.is_some_and(|backoff| now >= backoff.until) {
            // The trial request failed.
            self.back_off(now, Standing::Failing, FIRST_FAILING_BACKOFF);
            return;
        }
        self.back_off_if_failing(now);
    }

    fn record_outcome(&mut self, now: Instant, failed: bool) {
        self.outcomes.push_back((now, failed));
        let surplus = self.outcomes.len().saturating_sub(MAX_OUTCOMES);
        self.outcomes.drain(..surplus);
    }

    /// Starts a back-off if the target fails too many requests of all routers.
    fn back_off_if_failing(&mut self, now: Instant) {
        let recent =
            self.remote.filter(|(at, _)| now.saturating_duration_since(*at) <= FAILURE_WINDOW);
        let remote = recent.map(|(_, count)| count).unwrap_or_default();
        if self.backoff.is_none() && self.recent_count(now).plus(remote).is_failing() {
            self.back_off(now, Standing::Failing, FIRST_FAILING_BACKOFF);
        }
    }

    /// Starts a back-off, unless the target is in one with the same standing or a worse one.
    ///
    /// The length doubles with each consecutive back-off, up to [`MAX_BACKOFF`].
    fn back_off(&mut self, now: Instant, standing: Standing, first: Duration) {
        let active =
            self.backoff.is_some_and(|backoff| now < backoff.until && backoff.standing >= standing);
        if active {
            return;
        }
        let length = first.saturating_mul(1 << self.backoffs.min(4)).min(MAX_BACKOFF);
        self.backoff = Some(Backoff { standing, until: now + length });
        self.backoffs += 1;
        self.successes = 0;
        self.trial = None;
    }

    /// Whether a trial request was sent less than [`RESPONSE_TIMEOUT`] ago.
    fn has_trial(&self, now: Instant) -> bool {
        self.trial.is_some_and(|at| now.saturating_duration_since(at) < RESPONSE_TIMEOUT)
    }

    /// Since when requests have waited for a response, if that is longer than [`RESPONSE_TIMEOUT`].
    fn unresponsive_since(&self, now: Instant) -> Option<Instant> {
        let overdue = |at: &Instant| now.saturating_duration_since(*at) > RESPONSE_TIMEOUT;
        self.unanswered_since.filter(|at| self.in_flight > 0 && overdue(at))
    }
}
