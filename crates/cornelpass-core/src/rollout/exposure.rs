//! Share of the requests of a service that goes to a version on trial.
//!
//! Each router keeps its own part of the permitted number and stops by itself, without a message.
//! The parts add up to less than the permitted number: a fraction of each router's own requests,
//! and an equal part of the slack. A part below one request is rounded up or down by a random
//! number of the process, so that hundreds of routers with few requests each still use the sum of
//! their parts. The slack keeps four standard deviations of that rounding in reserve.
//!
//! Within a small share a target of the new version should still carry what one of the old version
//! carries, because some versions are bad only under load. So the share goes to few of the new
//! targets, and if it is too small even for one target, it is spent in pulses.

use std::time::Duration;

use super::Requirements;

/// Fraction of the permitted share that routers use.
///
/// The rest is for requests that a router counts and that never reach a target.
const SHARE_FRACTION: f64 = 0.9;

/// Fraction of the slack that routers use, after the reserve for rounding.
///
/// The rest is for routers that restart and use their part again.
const SLACK_FRACTION: f64 = 0.7;

/// Standard deviations of the rounding that the slack keeps in reserve.
const ROUNDING_DEVIATIONS: f64 = 4.0;

/// Largest standard deviation of rounding one number up or down.
const MAX_DEVIATION: f64 = 0.5;

/// Fraction of the exposure in the first step.
const FIRST_STEP_FRACTION: f64 = 0.4;

/// Longest time of the first step.
const MAX_FIRST_STEP: Duration = Duration::from_secs(3);

/// Length of the first step, as a fraction of the duration of the order.
const FIRST_STEP_PART: f64 = 0.125;

/// Period of the pulses.
///
/// Several pulses fit into a rollout of some seconds, and a pulse is longer than a short request.
const PULSE_PERIOD: Duration = Duration::from_secs(2);

/// Largest fraction of a router's requests that goes to the new version.
///
/// The rest goes to the old version, for comparison over the same seconds.
const MAX_FRACTION: f64 = 0.7;

/// Factor by which a router may spend its share faster than planned, so that it is used up.
const HASTE: f64 = 1.5;

/// Step of the exposure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// Few requests, to find versions that are bad from the start.
    First,
    /// The whole safe part of the permitted number.
    Full,
}

/// One router's part of the requests that may reach a version on trial.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    /// Requests of the service that this router has sent to any version.
    requests: u32,
    /// Requests that this router has sent to the new version.
    sent: u32,
    /// Random number from 0 to 1 by which the allowance is rounded.
    rounding: f64,
    /// Largest number of routers known so far.
    members: usize,
}

/// Time and targets on which the exposure depends.
#[derive(Clone, Copy, Debug)]
pub struct Situation {
    /// Time since this router knows the order.
    pub known_for: Duration,
    /// Time since the order.
    pub age: Duration,
    /// Time from the order to the decision.
    pub decision: Duration,
    /// Targets of the old version that may get requests.
    pub old_targets: usize,
    /// Targets of the new version that get requests in the trial.
    pub new_targets: usize,
}

impl Budget {
    /// An unused part; `random` rounds the allowance.
    #[must_use]
    pub fn new(random: u32) -> Self {
        Self { rounding: f64::from(random) / f64::from(u32::MAX), ..Self::default() }
    }

    /// Records the number of routers; the part only shrinks.
    pub fn record_members(&mut self, members: usize) {
        self.members = self.members.max(members);
    }

    /// Requests sent so far, to any version and to the new one.
    #[must_use]
    pub const fn counts(&self) -> (u32, u32) {
        (self.requests, self.sent)
    }

    /// Records a request that is sent to the old version.
    pub const fn record_old(&mut self) {
        self.requests += 1;
    }

    /// Records a request that is sent to the new version, if the part allows it.
    pub fn withdraw(&mut self, requirements: &Requirements, step: Step) -> bool {
        let allowed = self.allows_one(requirements, step);
        if allowed {
            self.requests += 1;
            self.sent += 1;
        }
        allowed
    }

    /// Whether the part has one more request.
    #[must_use]
    pub fn allows_one(&self, requirements: &Requirements, step: Step) -> bool {
        let allowance = self.allowance(requirements, step, f64::from(self.requests));
        f64::from(self.sent) + 1.0 <= allowance + self.rounding
    }

    /// Fraction of the requests that should go to the new version now, if the part has one more.
    #[must_use]
    pub fn fraction(&self, requirements: &Requirements, step: Step, situation: &Situation) -> f64 {
        let Situation { known_for, age, decision, old_targets, new_targets } = *situation;
        let rate = f64::from(self.requests + 1) / known_for.as_secs_f64().max(0.5);
        let coming = rate * decision.saturating_sub(age).as_secs_f64().max(0.5);
        let allowance =
            self.allowance(requirements, step, f64::from(self.requests) + coming) + self.rounding;
        // With a part of a few requests, a router that may send one now should send it.
        let planned = HASTE * (allowance - f64::from(self.sent)).max(1.0) / coming;
        #[expect(clippy::cast_precision_loss, reason = "some hundreds of targets")]
        let full_load = (new_targets as f64 / old_targets.max(1) as f64).min(MAX_FRACTION);
        if planned >= full_load {
            return planned.min(MAX_FRACTION);
        }
        let phase = age.as_secs_f64() % PULSE_PERIOD.as_secs_f64() / PULSE_PERIOD.as_secs_f64();
        if phase < planned / full_load { full_load } else { 0.0 }
    }

    /// Requests to the new version that this router may have sent after a number of requests.
    #[expect(clippy::cast_precision_loss, reason = "some hundreds of routers")]
    fn allowance(&self, requirements: &Requirements, step: Step, requests: f64) -> f64 {
        // Without any other router known, a router cannot tell its part of the slack.
        let members = self.members as f64;
        let reserve = ROUNDING_DEVIATIONS * MAX_DEVIATION * members.sqrt();
        let slack = f64::from(requirements.expose_slack);
        let usable = (slack - reserve - self.rounding).max(0.0) * SLACK_FRACTION;
        let part = if self.members == 0 { 0.0 } else { usable / members };
        let fraction = match step {
            Step::First => FIRST_STEP_FRACTION,
            Step::Full => 1.0,
        };
        fraction * (requirements.expose_share * SHARE_FRACTION * requests + part)
    }
}

/// Step at a time since this router knows the order.
#[must_use]
pub fn step(known_for: Duration, duration: Duration) -> Step {
    let first = duration.mul_f64(FIRST_STEP_PART).min(MAX_FIRST_STEP);
    if known_for < first { Step::First } else { Step::Full }
}

/// Number of new targets that get requests in a trial with this number of old targets.
#[must_use]
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "few targets")]
#[expect(clippy::cast_precision_loss, reason = "some hundreds of targets")]
pub fn trial_targets(requirements: &Requirements, old_targets: usize) -> usize {
    ((requirements.expose_share * SHARE_FRACTION * old_targets as f64) as usize).max(1)
}
