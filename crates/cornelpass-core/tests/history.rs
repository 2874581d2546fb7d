//! Tests of the history of the attempts at one request.
//!
//! They guard against a request that runs more than once although it must not, that runs on more
//! targets than its policy allows, or that is attempted without end.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use cornelpass_core::history::{ATTEMPT_LIMIT, Eligibility, FailedAttempt, History, Next, Policy};
use cornelpass_core::refusal::Execution;
use cornelpass_core::request::RetrySafety;
use proptest::prelude::*;

/// The target was lost, and may have run the request.
const LOST: FailedAttempt = FailedAttempt {
    execution: Execution::Unknown,
    reached_target: true,
    response_started: false,
    target_error: false,
};

/// The target refused the request.
const REFUSED: FailedAttempt = FailedAttempt {
    execution: Execution::NotRun,
    reached_target: true,
    response_started: false,
    target_error: false,
};

/// The request did not reach the target.
const UNSENT: FailedAttempt = FailedAttempt {
    execution: Execution::NotRun,
    reached_target: false,
    response_started: false,
    target_error: false,
};

/// The target responded with an error; it may have run the request.
const TARGET_ERROR: FailedAttempt = FailedAttempt {
    execution: Execution::Unknown,
    reached_target: true,
    response_started: false,
    target_error: true,
};

fn history(retry_safety: RetrySafety, max_targets: u32) -> History {
    History::new(Policy { retry_safety, max_targets })
}

#[test]
fn an_at_most_once_request_ends_after_an_attempt_that_may_have_run() {
    let mut history = history(RetrySafety::AtMostOnce, 1);
    assert_eq!(history.record_failure("a", UNSENT), Next::Retry { charged: false });
    assert_eq!(history.record_failure("b", REFUSED), Next::Retry { charged: true });
    assert_eq!(history.eligibility("a"), Eligibility::Excluded);
    assert_eq!(history.eligibility("c"), Eligibility::Untried);
    assert_eq!(history.record_failure("c", LOST), Next::GiveUp);
    assert_eq!(history.execution(), Execution::Unknown);
}

#[test]
fn a_request_at_its_target_limit_is_retried_only_on_targets_that_may_have_run_it() {
    let mut history = history(RetrySafety::Idempotent, 2);
    assert_eq!(history.record_failure("a", LOST), Next::Retry { charged: true });
    assert_eq!(history.eligibility("b"), Eligibility::Untried);
    assert_eq!(history.record_failure("b", LOST), Next::Retry { charged: true });
    assert_eq!(history.eligibility("a"), Eligibility::Tried(1));
    assert_eq!(history.eligibility("c"), Eligibility::Excluded);
}

#[test]
fn a_target_that_responded_with_an_error_is_excluded() {
    let mut history = history(RetrySafety::Idempotent, 2);
    assert_eq!(history.record_failure("a", TARGET_ERROR), Next::Retry { charged: true });
    assert_eq!(history.eligibility("a"), Eligibility::Excluded);
    assert_eq!(history.eligibility("b"), Eligibility::Untried);
}

#[test]
fn a_started_response_is_continued_only_if_it_is_resumable() {
    let interrupted = FailedAttempt { response_started: true, ..LOST };
    assert_eq!(
        history(RetrySafety::Resumable, 2).record_failure("a", interrupted),
        Next::Retry { charged: true }
    );
    assert_eq!(history(RetrySafety::Idempotent, 2).record_failure("a", interrupted), Next::GiveUp);
}

/// Failed attempts, each with the number of its target.
fn failures() -> impl Strategy<Value = Vec<(u8, FailedAttempt)>> {
    let attempt = prop_oneof![Just(LOST), Just(REFUSED), Just(UNSENT), Just(TARGET_ERROR)];
    prop::collection::vec((0_u8..5, attempt), 0..12)
}

fn retry_safeties() -> impl Strategy<Value = RetrySafety> {
    prop_oneof![
        Just(RetrySafety::Idempotent),
        Just(RetrySafety::Resumable),
        Just(RetrySafety::AtMostOnce)
    ]
}

proptest! {
    #![proptest_config(common::config(12, 256))]

    /// After any sequence of failed attempts, the possible executions, counted here by target, are
    /// within the policy.
    #[test]
    fn the_attempts_of_a_history_follow_its_policy(
        retry_safety in retry_safeties(),
        max_targets in 1_u32..4,
        failures in failures(),
    ) {
        let mut history = history(retry_safety, max_targets);
        let mut executions: BTreeMap<String, u32> = BTreeMap::new();
        let mut attempts = 0;
        for (target, attempt) in failures {
            let target = format!("t-{target}");
            if history.eligibility(&target) == Eligibility::Excluded {
                continue;
            }
            attempts += 1;
            if attempt.execution == Execution::Unknown {
                *executions.entry(target.clone()).or_default() += 1;
            }
            if history.record_failure(&target, attempt) == Next::GiveUp {
                break;
            }
        }
        let total_executions: u32 = executions.values().sum();
        let targets_with_executions: BTreeSet<_> = executions.keys().collect();
        prop_assert!(attempts <= ATTEMPT_LIMIT);
        prop_assert!(targets_with_executions.len() <= max_targets as usize);
        prop_assert!(retry_safety != RetrySafety::AtMostOnce || total_executions <= 1);
        prop_assert_eq!(history.execution() == Execution::Unknown, total_executions > 0);
    }
}
