//! Retries of this router: the budget, the counters and the time that callers are told to wait.

use std::time::Duration;

use cornelpass_caller::problem::Problem;
use cornelpass_core::attempt::{self, FailedAttempt, Limits, Next};
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_wire::frame::Failure;

use crate::node::Node;

/// Shortest time after which a caller is asked to try again.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Random time added to it, so that callers do not come back in step.
const RETRY_SPREAD: Duration = Duration::from_millis(2_500);

/// Decides what follows an attempt, and counts the retry.
pub fn next(node: &Node, organisation: &str, ended: &FailedAttempt, limits: &Limits) -> Next {
    let jitter = rand::random();
    let next =
        attempt::decide(ended, limits, node.budgets().for_organisation(organisation), jitter);
    if let Next::Retry { reason, .. } = next {
        node.metrics.count_retry(reason);
        log!(Code::Retried, reason = ended.reason.name(), attempt = ended.number);
    }
    next
}

/// What the caller is told of a failure, counted as a refusal.
pub fn refuse(node: &Node, failure: &Failure) -> Problem {
    node.metrics.count_refusal(failure.reason);
    log!(Code::Refused, reason = failure.reason.name(), run = %failure.execution);
    let least = failure.retry_after_ms.map(|wait| Duration::from_millis(u64::from(wait)));
    let helps = least.is_some() || passes(failure);
    let wait = least.unwrap_or(RETRY_AFTER) + RETRY_SPREAD.mul_f64(rand::random());
    Problem::new(failure.reason, failure.execution).with_retry_after(helps.then_some(wait))
}

/// Whether the same request may be taken a little later.
const fn passes(failure: &Failure) -> bool {
    let busy = matches!(
        failure.reason,
        Reason::NoTarget
            | Reason::RetryBudget
            | Reason::StoreUnavailable
            | Reason::InProgress
            | Reason::StaleConfig
            | Reason::BehindConfig
    );
    let failing =
        matches!((failure.reason, failure.execution), (Reason::TargetError, Execution::Unknown));
    busy || failing || failure.reason.allows_other_target()
}
