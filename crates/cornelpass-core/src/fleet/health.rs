//! Health of a target by what became of the requests that were sent to it.
//!
//! Neither a health check nor the platform's list shows soon enough that a target is dark, silent or
//! failing. Two kinds of evidence count. A target that can not be reached, or gives no sign while
//! requests wait, is left alone at once, and for longer each time. One that loses or fails a part of
//! its requests is avoided while others are better, since its share of failures is an estimate that
//! needs some requests. Both are tried again with single requests, best with such as may be repeated.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which a target is left alone after it could not be reached.
pub const FIRST_HOLD: Duration = Duration::from_millis(500);

/// Longest time for which a target is left alone or avoided.
pub const MAX_HOLD: Duration = Duration::from_secs(8);

/// Time without any sign of a target, while a request waits, after which it counts as silent.
///
/// An engine that reads a long prompt for a single request may say nothing for half a second.
pub const SILENCE: Duration = Duration::from_millis(1_000);

/// Time over which failures are counted.
pub const WINDOW: Duration = Duration::from_secs(4);

/// Failures within it that make a target failing.
pub const LEAST_FAILURES: u32 = 3;

/// Share of failed requests from which a target counts as failing.
pub const FAILING_SHARE: f64 = 0.15;

/// Time for which a failing target is avoided after its last failure.
const FIRST_AVOID: Duration = Duration::from_secs(3);

/// Good answers after which earlier holds are forgotten.
const FORGIVE_ANSWERS: u32 = 8;

/// Most outcomes that are kept.
const OUTCOMES: usize = 64;

/// How a target stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Nothing speaks against it.
    Good,
    /// It was avoided or left alone, and may be tried with one request.
    Trial,
    /// It fails a part of its requests.
    Failing,
    /// It could not be reached, or gives no sign.
    Away,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The target answered.
    Answered,
    /// The target answered with a failure, broke off, or gave something that is no answer.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// It gave no sign in time.
    Silent,
}

/// Failures within the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests that failed.
    pub failed: u32,
    /// Requests that ended.
    pub ended: u32,
}

impl Count {
    /// Sum of two counts.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self { failed: self.failed + other.failed, ended: self.ended + other.ended }
    }

    /// What is left of a sum without one of its parts.
    #[must_use]
    pub const fn minus(self, part: Self) -> Self {
        Self {
            failed: self.failed.saturating_sub(part.failed),
            ended: self.ended.saturating_sub(part.ended),
        }
    }

    fn is_failing(self) -> bool {
        let share = f64::from(self.failed) / f64::from(self.ended.max(1));
        self.failed >= LEAST_FAILURES && share >= FAILING_SHARE
    }
}

/// A time for which a target gets nothing, or nothing that can go elsewhere.
#[derive(Clone, Copy, Debug)]
struct Hold {
    standing: Standing,
    until: Instant,
}

/// Evidence on one target.
#[derive(Clone, Debug, Default)]
pub struct Health {
    outcomes: VecDeque<(Instant, bool)>,
    /// What the other routers count, and when it was told.
    told: Option<(Instant, Count)>,
    hold: Option<Hold>,
    /// Holds in a row.
    holds: u32,
    /// Good answers since the last hold.
    good: u32,
    /// Since when a trial is on its way.
    trial: Option<Instant>,
    /// Requests in progress.
    waiting: u32,
    /// When the first of these was sent.
    busy: Option<Instant>,
    /// When the first request was sent after the last sign.
    unheard: Option<Instant>,
    heard: Option<Instant>,
}

impl Health {
    /// How the target stands.
    #[must_use]
    pub fn standing(&self, now: Instant) -> Standing {
        if let Some(since) = self.silent(now) {
            let tried = self.trial.map_or(since, |at| at.max(since));
            let due = tried + SILENCE + FIRST_HOLD;
            return if now < due { Standing::Away } else { Standing::Trial };
        }
        match self.hold {
            None => Standing::Good,
            Some(hold) if now < hold.until => hold.standing,
            Some(hold) if self.is_tried(now) => hold.standing,
            Some(_) => Standing::Trial,
        }
    }

    /// When the target was last heard.
    #[must_use]
    pub const fn heard(&self) -> Option<Instant> {
        self.heard
    }

    /// Requests in progress, and since when nothing was heard of the target while there were any.
    #[must_use]
    pub fn quiet(&self) -> Option<(u32, Instant)> {
        let since = self.busy.max(self.heard)?;
        (self.waiting > 0).then_some((self.waiting, since))
    }

    /// A request is on its way to the target.
    pub fn sent(&mut self, now: Instant) {
        if self.standing(now) == Standing::Trial {
            self.trial = Some(now);
        }
        if self.waiting == 0 {
            self.unheard = None;
            self.busy = Some(now);
        }
        self.unheard.get_or_insert(now);
        self.waiting += 1;
    }

    /// Any sign came from the target.
    pub fn sign(&mut self, now: Instant) {
        self.heard = Some(now);
        self.unheard = None;
    }

    /// A request has ended.
    pub fn ended(&mut self, now: Instant, outcome: Outcome) {
        self.waiting = self.waiting.saturating_sub(1);
        match outcome {
            Outcome::Answered => self.answered(now),
            Outcome::Failed => self.failed(now),
            Outcome::Unreachable | Outcome::Silent => self.hold(now, Standing::Away, FIRST_HOLD),
        }
    }

    /// A request was given up by its caller, which says nothing of the target.
    pub const fn dropped(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Takes what the other routers count.
    pub fn told(&mut self, now: Instant, count: Count) {
        self.told = Some((now, count));
        self.judge(now);
    }

    /// Failures of this router's requests within the window.
    #[must_use]
    pub fn count(&self, now: Instant) -> Count {
        let recent = |(at, _): &&(Instant, bool)| now.saturating_duration_since(*at) <= WINDOW;
        let recent = self.outcomes.iter().filter(recent);
        recent.fold(Count::default(), |count, (_, failed)| Count {
            failed: count.failed + u32::from(*failed),
            ended: count.ended + 1,
        })
    }

    fn answered(&mut self, now: Instant) {
        self.sign(now);
        self.note(now, false);
        let over = self.hold.is_some_and(|hold| now >= hold.until);
        if over || self.hold.is_some_and(|hold| hold.standing == Standing::Away) {
            self.hold = None;
            self.trial = None;
        }
        self.good += 1;
        if self.good >= FORGIVE_ANSWERS {
            self.holds = 0;
        }
    }

    fn failed(&mut self, now: Instant) {
        self.note(now, true);
        if self.hold.is_some_and(|hold| now >= hold.until) {
            // The trial failed.
            self.hold(now, Standing::Failing, FIRST_AVOID);
            return;
        }
        self.judge(now);
    }

    fn note(&mut self, now: Instant, failed: bool) {
        self.outcomes.push_back((now, failed));
        let surplus = self.outcomes.len().saturating_sub(OUTCOMES);
        self.outcomes.drain(..surplus);
    }

    /// Avoids the target if it fails too many requests.
    fn judge(&mut self, now: Instant) {
        let recent = self.told.filter(|(at, _)| now.saturating_duration_since(*at) <= WINDOW);
        let told = recent.map(|(_, count)| count).unwrap_or_default();
        if self.hold.is_none() && self.count(now).plus(told).is_failing() {
            self.hold(now, Standing::Failing, FIRST_AVOID);
        }
    }

    fn hold(&mut self, now: Instant, standing: Standing, first: Duration) {
        let held = self.hold.is_some_and(|hold| now < hold.until && hold.standing >= standing);
        if held {
            return;
        }
        let time = first.saturating_mul(1 << self.holds.min(4)).min(MAX_HOLD);
        self.hold = Some(Hold { standing, until: now + time });
        self.holds += 1;
        self.good = 0;
        self.trial = None;
    }

    fn is_tried(&self, now: Instant) -> bool {
        self.trial.is_some_and(|at| now.saturating_duration_since(at) < SILENCE)
    }

    /// Since when requests wait, if nothing was heard for too long.
    fn silent(&self, now: Instant) -> Option<Instant> {
        let waits = |at: &Instant| now.saturating_duration_since(*at) > SILENCE;
        self.unheard.filter(|at| self.waiting > 0 && waits(at))
    }
}
