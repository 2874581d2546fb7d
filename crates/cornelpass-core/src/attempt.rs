//! Decides what follows an attempt that ended without a complete response: a retry, or a failure
//! that is returned to the caller.
//!
//! The decision depends on the reason for the failure, on the limits of the request, and on the
//! retry budget. An attempt that may have run is only followed by a retry if the request is safe to
//! retry; any other request must run at most once. Each retry is charged to the retry budget and
//! must fit in the time that the request has left.
//!
//! This is the decision of the chat interface; that of the gateway interface is in
//! [`crate::history`].

use std::time::Duration;

use crate::refusal::{Execution, Reason};
use crate::retry::{self, Budget};

/// An attempt that ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Reason for the failure.
    pub reason: Reason,
    /// Whether the request may have run on the target.
    pub execution: Execution,
}

/// Limits on the retries of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of attempts, including the first one.
    pub max_attempts: u32,
    /// Whether the request may be retried after an attempt that may have run.
    pub is_retry_safe: bool,
    /// Whether there is a target that has not been tried.
    pub has_untried_target: bool,
    /// Time until the deadline of the request.
    pub time_left: Duration,
}

/// Targets that the next attempt may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// Any target, including those already tried.
    AnyTarget,
    /// Only a target that has not been tried.
    UntriedTarget,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Make another attempt.
    Retry {
        /// Reason under which the retry is counted in the metrics.
        reason: retry::Reason,
        /// Targets that the attempt may use.
        destination: Destination,
        /// Time to wait before the attempt.
        wait: Duration,
    },
    /// Fail the request for this reason.
    GiveUp(Reason),
}

/// Decides what follows a failed attempt.
///
/// `jitter` is a random number from 0 to 1; the wait is `jitter` times its upper limit. The budget
/// is charged only if the result is a retry.
#[must_use]
pub fn decide(attempt: &FailedAttempt, limits: &Limits, budget: &mut Budget, jitter: f64) -> Next {
    let Some(reason) = retry_reason(attempt) else { return Next::GiveUp(attempt.reason) };
    let may_retry = limits.is_retry_safe || attempt.execution == Execution::NotRun;
    if !may_retry || attempt.number >= limits.max_attempts {
        return Next::GiveUp(attempt.reason);
    }
    // A configuration mismatch ends when the process with the older configuration has received the
    // newer one, so any target may be used again. After a lost connection an untried target is
    // preferred; without one, the same target may be reached over a new connection. After any other
    // failure only an untried target may be used.
    let destination = match reason {
        retry::Reason::Config => Destination::AnyTarget,
        retry::Reason::LinkLost if !limits.has_untried_target => Destination::AnyTarget,
        _ if limits.has_untried_target => Destination::UntriedTarget,
        _ => return Next::GiveUp(attempt.reason),
    };
    let wait = match retry::backoff(attempt.number.saturating_sub(1), jitter, limits.time_left) {
        retry::Backoff::Wait(wait) => wait,
        retry::Backoff::GiveUp => return Next::GiveUp(Reason::DeadlineExceeded),
    };
    if !budget.try_withdraw() {
        return Next::GiveUp(Reason::RetryBudget);
    }
    Next::Retry { reason, destination, wait }
}

/// Reason under which a retry is counted, or none if a retry cannot help.
///
/// A target error after which the request may have run is counted as a lost target. A target error
/// for a request that did not run is caused by the request itself, and would recur on every target.
const fn retry_reason(attempt: &FailedAttempt) -> Option<retry::Reason> {
    match attempt.reason {
        Reason::TargetError if matches!(attempt.execution, Execution::Unknown) => {
            Some(retry::Reason::TargetLost)
        }
        Reason::BehindConfig | Reason::StaleConfig => Some(retry::Reason::Config),
        Reason::TargetLost | Reason::TargetSilent => Some(retry::Reason::TargetLost),
        Reason::LinkLost => Some(retry::Reason::LinkLost),
        reason if reason.allows_other_target() => Some(retry::Reason::Refused),
        _ => None,
    }
}
