//! Attempts at a request: at most once, at no more targets than allowed, and always an end.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use cornelpass_core::history::{ATTEMPT_LIMIT, Eligibility, FailedAttempt, History, Next, Policy};
use cornelpass_core::refusal::Execution;
use cornelpass_core::request::RetrySafety;
use proptest::prelude::*;

const LOST: FailedAttempt = FailedAttempt {
    execution: Execution::Unknown,
    reached_target: true,
    answer_started: false,
    target_error: false,
};
const REFUSED: FailedAttempt = FailedAttempt {
    execution: Execution::NotRun,
    reached_target: true,
    answer_started: false,
    target_error: false,
};
const UNSENT: FailedAttempt = FailedAttempt {
    execution: Execution::NotRun,
    reached_target: false,
    answer_started: false,
    target_error: false,
};
const FAILED: FailedAttempt = FailedAttempt {
    execution: Execution::Unknown,
    reached_target: true,
    answer_started: false,
    target_error: true,
};

fn history(repeat: RetrySafety, targets: u32) -> History {
    History::new(Policy { retry_safety: repeat, max_targets: targets })
}

#[test]
fn what_may_not_be_repeated_ends_once_it_may_have_run() {
    let mut history = history(RetrySafety::AtMostOnce, 1);
    assert_eq!(history.record_failure("a", UNSENT), Next::Retry { charged: false });
    assert_eq!(history.record_failure("b", REFUSED), Next::Retry { charged: true });
    assert_eq!(history.eligibility("a"), Eligibility::Excluded);
    assert_eq!(history.eligibility("c"), Eligibility::Untried);
    assert_eq!(history.record_failure("c", LOST), Next::GiveUp);
    assert_eq!(history.execution(), Execution::Unknown);
}

#[test]
fn a_request_goes_on_at_the_targets_that_have_run_it() {
    let mut history = history(RetrySafety::Idempotent, 2);
    assert_eq!(history.record_failure("a", LOST), Next::Retry { charged: true });
    assert_eq!(history.eligibility("b"), Eligibility::Untried);
    assert_eq!(history.record_failure("b", LOST), Next::Retry { charged: true });
    assert_eq!(history.eligibility("a"), Eligibility::Tried(1));
    assert_eq!(history.eligibility("c"), Eligibility::Excluded);
}

#[test]
fn a_target_that_failed_a_request_is_not_asked_again() {
    let mut history = history(RetrySafety::Idempotent, 2);
    assert_eq!(history.record_failure("a", FAILED), Next::Retry { charged: true });
    assert_eq!(history.eligibility("a"), Eligibility::Excluded);
    assert_eq!(history.eligibility("b"), Eligibility::Untried);
}

#[test]
fn a_begun_answer_is_continued_only_from_its_events() {
    let begun = FailedAttempt { answer_started: true, ..LOST };
    assert_eq!(
        history(RetrySafety::Resumable, 2).record_failure("a", begun),
        Next::Retry { charged: true }
    );
    assert_eq!(history(RetrySafety::Idempotent, 2).record_failure("a", begun), Next::GiveUp);
}

fn ends() -> impl Strategy<Value = Vec<(u8, FailedAttempt)>> {
    let end = prop_oneof![Just(LOST), Just(REFUSED), Just(UNSENT), Just(FAILED)];
    prop::collection::vec((0_u8..5, end), 0..12)
}

fn repeats() -> impl Strategy<Value = RetrySafety> {
    prop_oneof![
        Just(RetrySafety::Idempotent),
        Just(RetrySafety::Resumable),
        Just(RetrySafety::AtMostOnce)
    ]
}

proptest! {
    #![proptest_config(common::config(12, 256))]

    /// Whatever the ends, against a record of what may have run where.
    #[test]
    fn a_course_keeps_its_terms(repeat in repeats(), targets in 1_u32..4, ends in ends()) {
        let mut history = history(repeat, targets);
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        let mut attempts = 0;
        for (target, ended) in ends {
            let target = format!("t-{target}");
            if history.eligibility(&target) == Eligibility::Excluded {
                continue;
            }
            attempts += 1;
            if ended.execution == Execution::Unknown {
                *runs.entry(target.clone()).or_default() += 1;
            }
            if history.record_failure(&target, ended) == Next::GiveUp {
                break;
            }
        }
        let total: u32 = runs.values().sum();
        let distinct: BTreeSet<_> = runs.keys().collect();
        prop_assert!(attempts <= ATTEMPT_LIMIT);
        prop_assert!(distinct.len() <= targets as usize);
        prop_assert!(repeat != RetrySafety::AtMostOnce || total <= 1);
        prop_assert_eq!(history.execution() == Execution::Unknown, total > 0);
    }
}
