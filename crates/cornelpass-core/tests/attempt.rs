//! What follows a failed attempt, and how many attempts a half-dead fleet gets.

use std::time::Duration;

use cornelpass_core::attempt::{Destination, FailedAttempt, Limits, Next, decide};
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::retry::{self, Budget, RETRY_BURST};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use strum::IntoEnumIterator;

const LIMITS: Limits = Limits {
    max_attempts: 4,
    repeatable: false,
    has_untried_target: true,
    time_left: Duration::from_secs(100),
};

const fn ended(reason: Reason, run: Execution) -> FailedAttempt {
    FailedAttempt { number: 1, reason, execution: run }
}

#[test]
fn a_call_that_may_have_run_is_not_repeated() {
    let mut budget = Budget::new(20);
    for reason in Reason::iter() {
        let step = decide(&ended(reason, Execution::Unknown), &LIMITS, &mut budget, 0.5);
        assert_eq!(step, Next::GiveUp(reason));
    }
}

#[test]
fn a_refusal_goes_elsewhere_and_a_configuration_may_stay() {
    let mut budget = Budget::new(20);
    let step = |reason, budget: &mut Budget| {
        decide(&ended(reason, Execution::NotRun), &LIMITS, budget, 0.0)
    };
    let retry = |reason, destination| Next::Retry { reason, destination, wait: Duration::ZERO };
    assert_eq!(
        step(Reason::OverBound, &mut budget),
        retry(retry::Reason::Refused, Destination::UntriedTarget)
    );
    assert_eq!(
        step(Reason::BehindConfig, &mut budget),
        retry(retry::Reason::Config, Destination::AnyTarget)
    );
    assert_eq!(step(Reason::KeyReused, &mut budget), Next::GiveUp(Reason::KeyReused));
}

#[test]
fn an_error_of_the_target_is_tried_elsewhere_unless_it_is_the_requests_own() {
    let mut budget = Budget::new(20);
    let limits = Limits { repeatable: true, ..LIMITS };
    let mut step = |run| decide(&ended(Reason::TargetError, run), &limits, &mut budget, 0.0);
    let (reason, destination, wait) =
        (retry::Reason::TargetLost, Destination::UntriedTarget, Duration::ZERO);
    assert_eq!(step(Execution::Unknown), Next::Retry { reason, destination, wait });
    assert_eq!(step(Execution::NotRun), Next::GiveUp(Reason::TargetError));
}

#[test]
fn nothing_is_spent_where_no_other_target_is_left() {
    let mut budget = Budget::new(20);
    let limits = Limits { has_untried_target: false, ..LIMITS };
    for _ in 0..2 * RETRY_BURST {
        let step = decide(&ended(Reason::OverBound, Execution::NotRun), &limits, &mut budget, 0.0);
        assert_eq!(step, Next::GiveUp(Reason::OverBound));
    }
    let step = decide(&ended(Reason::LinkLost, Execution::NotRun), &limits, &mut budget, 0.0);
    let wait = Duration::ZERO;
    let reason = retry::Reason::LinkLost;
    assert_eq!(step, Next::Retry { reason, destination: Destination::AnyTarget, wait });
}

#[test]
fn no_attempt_begins_without_time() {
    let mut budget = Budget::new(20);
    let limits = Limits { time_left: retry::MIN_ATTEMPT_TIME / 2, ..LIMITS };
    let step = decide(&ended(Reason::Draining, Execution::NotRun), &limits, &mut budget, 0.0);
    assert_eq!(step, Next::GiveUp(Reason::DeadlineExceeded));
}

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        cases: 300,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(0x0a77_e397))]

    /// Attempts stay within requests, the share of retries and the retry burst.
    #[test]
    fn attempts_stay_within_the_budget(
        percent in 0_u32..100,
        fails in prop::collection::vec(prop::collection::vec(any::<bool>(), 4), 1..400),
    ) {
        let mut budget = Budget::new(percent);
        let mut attempts = 0_u64;
        let requests = fails.len() as u64;
        for outcomes in &fails {
            budget.deposit();
            for (index, failed) in outcomes.iter().enumerate() {
                attempts += 1;
                let attempt = u32::try_from(index).unwrap() + 1;
                let ended = FailedAttempt {
                    number: attempt,
                    reason: Reason::OverBound,
                    execution: Execution::NotRun,
                };
                let step = decide(&ended, &LIMITS, &mut budget, 0.5);
                if !failed || matches!(step, Next::GiveUp(_)) {
                    break;
                }
            }
        }
        let retries = requests * u64::from(percent) / 100 + u64::from(RETRY_BURST);
        prop_assert!(attempts <= requests + retries, "{attempts} of {requests}");
    }
}
