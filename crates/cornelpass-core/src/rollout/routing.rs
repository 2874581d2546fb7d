//! Which version may receive a request.

use std::time::{Duration, Instant};

use super::exposure::{self, Situation};
use super::order::State;
use super::verdict::decision_time;
use super::{Requirements, Rollouts, Trial};
use crate::digest;

/// Time by which the exposure ends before the deadline: routers read an order some time after it
/// was written, and the deadline counts from then.
const MAX_ORDER_DELAY: Duration = Duration::from_millis(600);

/// Largest part of the duration of an order for [`MAX_ORDER_DELAY`].
const ORDER_DELAY_PART: f64 = 0.05;

/// Versions that may receive a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Side {
    /// Any version but the new one.
    Old,
    /// Preferably this number of targets of the new version, or else the old one.
    Trial(usize),
    /// Only the new version.
    New,
}

/// A request for which a version is chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Identifier of the request.
    pub id: &'a str,
    /// Whether this is the first attempt; further ones never go to a version on trial.
    pub first_attempt: bool,
    /// Targets of the old version that may get requests.
    pub old_targets: usize,
}

impl Rollouts {
    /// Version that the service is to move to; none without an order.
    #[must_use]
    pub fn new_version(&self, service: &str) -> Option<&str> {
        self.trials.get(service).map(|trial| trial.order.to.as_str())
    }

    /// Whether a version gets nothing because an earlier order did not end with it.
    #[must_use]
    pub fn is_barred(&self, service: &str, version: &str) -> bool {
        self.trials.get(service).is_some_and(|trial| trial.barred.contains(version))
    }

    /// Versions that may receive a request; none without an order.
    #[must_use]
    pub fn side(&self, now: Instant, candidate: &Candidate<'_>) -> Option<Side> {
        let trial = self.trials.get(candidate.service)?;
        let side = match trial.state {
            State::Succeeded => Side::New,
            State::Running if self.is_running(now) => {
                trial.side_on_trial(now, candidate, &self.requirements)
            }
            State::Running | State::Stopped | State::RolledBack => Side::Old,
        };
        Some(side)
    }

    /// Records that a request is about to be sent to a version; returns whether it may be.
    pub fn withdraw(
        &mut self,
        now: Instant,
        service: &str,
        version: &str,
        first_attempt: bool,
    ) -> bool {
        let running = self.is_running(now);
        let requirements = self.requirements;
        let Some(trial) = self.trials.get_mut(service) else { return true };
        if trial.state == State::Succeeded {
            return true;
        }
        if version != trial.order.to {
            if first_attempt {
                trial.budget.record_old();
            }
            return true;
        }
        if trial.unopposed {
            return true;
        }
        let step = trial.step(now);
        running && trial.may_expose(now) && trial.budget.withdraw(&requirements, step)
    }

    /// Records whether the service has, or had since the order, targets of another version.
    ///
    /// An order for the version that all targets already have holds nothing back.
    pub fn record_targets(
        &mut self,
        now: Instant,
        service: &str,
        old_targets: usize,
        new_targets: usize,
    ) {
        if let Some(trial) = self.trials.get_mut(service) {
            if new_targets > 0 {
                trial.new_since.get_or_insert(now);
            }
            trial.had_old |= old_targets > 0;
            trial.unopposed = !trial.had_old && new_targets > 0;
        }
    }

    /// Whether all targets of the service have had the new version since the order.
    #[must_use]
    pub fn is_unopposed(&self, service: &str) -> bool {
        self.trials.get(service).is_some_and(|trial| trial.unopposed)
    }
}

impl Trial {
    fn side_on_trial(
        &self,
        now: Instant,
        candidate: &Candidate<'_>,
        requirements: &Requirements,
    ) -> Side {
        let step = self.step(now);
        if !candidate.first_attempt
            || !self.may_expose(now)
            || !self.budget.allows_one(requirements, step)
        {
            return Side::Old;
        }
        let targets = exposure::trial_targets(requirements, candidate.old_targets);
        let situation = Situation {
            known_for: self.known_for(now),
            age: self.age(now),
            decision: decision_time(self.order.duration, requirements),
            old_targets: candidate.old_targets,
            new_targets: targets,
        };
        let fraction = self.budget.fraction(requirements, step, &situation);
        let hash = digest::pair(digest::key(candidate.id), &self.order.to);
        let draw = f64::from((hash >> 32) as u32) / f64::from(u32::MAX);
        if draw < fraction { Side::Trial(targets) } else { Side::Old }
    }

    /// Whether a version on trial may receive requests of this router now.
    pub(super) fn may_expose(&self, now: Instant) -> bool {
        let margin = MAX_ORDER_DELAY.min(self.order.duration.mul_f64(ORDER_DELAY_PART));
        let end = self.order.duration.saturating_sub(margin);
        self.state == State::Running && self.confirmed && self.age(now) < end
    }

    pub(super) fn step(&self, now: Instant) -> exposure::Step {
        let since = self.new_since.map(|since| now.saturating_duration_since(since));
        exposure::step(since.unwrap_or_default(), self.order.duration)
    }
}
