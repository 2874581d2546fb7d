//! Handles failed attempts and failed requests: decides on retries, and creates the problem that
//! the caller receives, with the delay after which the caller may retry.

use std::time::Duration;

use cornelpass_caller::problem::Problem;
use cornelpass_core::attempt::{self, FailedAttempt, Limits, Next};
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_wire::frame::Failure;

use crate::state::State;

/// Minimum delay after which a caller may retry, unless the sidecar sent one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Upper limit of the random time that is added to the retry delay, whether that is
/// [`MIN_RETRY_DELAY`] or the sidecar's, so that callers do not all retry at the same time.
const RETRY_DELAY_JITTER: Duration = Duration::from_millis(2_500);

/// Decides what follows a failed attempt; charges a retry to the budget of the organisation and
/// counts it.
pub fn decide_next(
    state: &State,
    organisation: &str,
    failed_attempt: &FailedAttempt,
    limits: &Limits,
) -> Next {
    let jitter = rand::random();
    let next = attempt::decide(
        failed_attempt,
        limits,
        state.budgets().for_organisation(organisation),
        jitter,
    );
    if let Next::Retry { reason, .. } = next {
        state.metrics.count_retry(reason);
        log!(Code::Retried, reason = failed_attempt.reason.name(), attempt = failed_attempt.number);
    }
    next
}

/// Creates the problem that the caller receives for a failure, and counts and logs the refusal.
pub fn refuse(state: &State, failure: &Failure) -> Problem {
    state.metrics.count_refusal(failure.reason);
    log!(Code::Refused, reason = failure.reason.name(), run = %failure.execution);
    let sent_delay = failure.retry_after_ms.map(|ms| Duration::from_millis(u64::from(ms)));
    let may_retry = sent_delay.is_some() || is_temporary(failure);
    let delay = sent_delay.unwrap_or(MIN_RETRY_DELAY) + RETRY_DELAY_JITTER.mul_f64(rand::random());
    Problem::new(failure.reason, failure.execution).with_retry_after(may_retry.then_some(delay))
}

/// Whether the same request may succeed a little later.
const fn is_temporary(failure: &Failure) -> bool {
    let is_unavailable = matches!(
        failure.reason,
        Reason::NoTarget
            | Reason::RetryBudget
            | Reason::StoreUnavailable
            | Reason::InProgress
            | Reason::StaleConfig
            | Reason::BehindConfig
    );
    let is_target_failure =
        matches!((failure.reason, failure.execution), (Reason::TargetError, Execution::Unknown));
    is_unavailable || is_target_failure || failure.reason.allows_other_target()
}
