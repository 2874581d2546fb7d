//! Tests of the decision that follows a failed attempt.
//!
//! They guard against a second run of a request that must run at most once, and against retry
//! amplification: if many targets refuse requests, unlimited retries multiply the load on the
//! fleet.

use std::time::Duration;

use cornelpass_core::attempt::{Destination, FailedAttempt, Limits, Next, decide};
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::retry::{self, Budget, RETRY_BURST};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use strum::IntoEnumIterator;

/// Limits of a request that must not be repeated after it may have run.
const LIMITS: Limits = Limits {
    max_attempts: 4,
    is_retry_safe: false,
    has_untried_target: true,
    time_left: Duration::from_secs(100),
};

/// First attempt at a request, failed for the given reason.
const fn failed_attempt(reason: Reason, execution: Execution) -> FailedAttempt {
    FailedAttempt { number: 1, reason, execution }
}

#[test]
fn a_call_that_may_have_run_is_not_repeated() {
    let mut budget = Budget::new(20);
    for reason in Reason::iter() {
        let next = decide(&failed_attempt(reason, Execution::Unknown), &LIMITS, &mut budget, 0.5);
        assert_eq!(next, Next::GiveUp(reason));
    }
}

#[test]
fn a_refused_request_is_retried_on_an_untried_target_and_a_configuration_mismatch_on_any() {
    let mut budget = Budget::new(20);
    let decide_after = |reason, budget: &mut Budget| {
        decide(&failed_attempt(reason, Execution::NotRun), &LIMITS, budget, 0.0)
    };
    let retry = |reason, destination| Next::Retry { reason, destination, wait: Duration::ZERO };
    assert_eq!(
        decide_after(Reason::OverBound, &mut budget),
        retry(retry::Reason::Refused, Destination::UntriedTarget)
    );
    assert_eq!(
        decide_after(Reason::BehindConfig, &mut budget),
        retry(retry::Reason::Config, Destination::AnyTarget)
    );
    assert_eq!(decide_after(Reason::KeyReused, &mut budget), Next::GiveUp(Reason::KeyReused));
}

#[test]
fn a_target_error_is_retried_on_an_untried_target_unless_the_request_caused_it() {
    let mut budget = Budget::new(20);
    let limits = Limits { is_retry_safe: true, ..LIMITS };
    let mut decide_after = |execution| {
        decide(&failed_attempt(Reason::TargetError, execution), &limits, &mut budget, 0.0)
    };
    let (reason, destination, wait) =
        (retry::Reason::TargetLost, Destination::UntriedTarget, Duration::ZERO);
    assert_eq!(decide_after(Execution::Unknown), Next::Retry { reason, destination, wait });
    assert_eq!(decide_after(Execution::NotRun), Next::GiveUp(Reason::TargetError));
}

#[test]
fn a_refused_request_without_an_untried_target_is_not_charged() {
    let mut budget = Budget::new(20);
    let limits = Limits { has_untried_target: false, ..LIMITS };
    for _ in 0..2 * RETRY_BURST {
        let next = decide(
            &failed_attempt(Reason::OverBound, Execution::NotRun),
            &limits,
            &mut budget,
            0.0,
        );
        assert_eq!(next, Next::GiveUp(Reason::OverBound));
    }
    let next =
        decide(&failed_attempt(Reason::LinkLost, Execution::NotRun), &limits, &mut budget, 0.0);
    let wait = Duration::ZERO;
    let reason = retry::Reason::LinkLost;
    assert_eq!(next, Next::Retry { reason, destination: Destination::AnyTarget, wait });
}

#[test]
fn no_attempt_starts_without_enough_time_left() {
    let mut budget = Budget::new(20);
    let limits = Limits { time_left: retry::MIN_ATTEMPT_TIME / 2, ..LIMITS };
    let next =
        decide(&failed_attempt(Reason::Draining, Execution::NotRun), &limits, &mut budget, 0.0);
    assert_eq!(next, Next::GiveUp(Reason::DeadlineExceeded));
}

fn proptest_config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        cases: 300,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(proptest_config(0x0a77_e397))]

    /// The number of attempts is at most the number of requests, plus the allowed percentage of
    /// retries, plus the retry burst.
    #[test]
    fn attempts_stay_within_the_budget(
        retry_percent in 0_u32..100,
        failures in prop::collection::vec(prop::collection::vec(any::<bool>(), 4), 1..400),
    ) {
        let mut budget = Budget::new(retry_percent);
        let mut attempts = 0_u64;
        let requests = failures.len() as u64;
        for failures_of_request in &failures {
            budget.deposit();
            for (index, failed) in failures_of_request.iter().enumerate() {
                attempts += 1;
                let attempt_number = u32::try_from(index).unwrap() + 1;
                let attempt = FailedAttempt {
                    number: attempt_number,
                    reason: Reason::OverBound,
                    execution: Execution::NotRun,
                };
                let next = decide(&attempt, &LIMITS, &mut budget, 0.5);
                if !failed || matches!(next, Next::GiveUp(_)) {
                    break;
                }
            }
        }
        let max_retries = requests * u64::from(retry_percent) / 100 + u64::from(RETRY_BURST);
        prop_assert!(
            attempts <= requests + max_retries,
            "{attempts} attempts at {requests} requests"
        );
    }
}
