//! Tests of the retry budgets and of the wait before a retry.
//!
//! They guard against retry amplification: if targets refuse requests, unlimited retries multiply
//! the load on the fleet. They also guard against a wait that leaves no time for the attempt.

mod common;

use std::time::Duration;

use common::config;
use cornelpass_core::retry::{
    Backoff, Budget, MIN_ATTEMPT_TIME, OrganisationBudgets, RETRY_BURST, backoff,
};
use proptest::prelude::*;

proptest! {
    #![proptest_config(config(8, 256))]

    /// A budget allows the same retries as a plain floating-point count of its credit.
    ///
    /// A step is a request if true, otherwise a retry.
    #[test]
    fn budget_equals_a_plain_count_of_the_credit(
        percent in 0_u32..60, steps in prop::collection::vec(any::<bool>(), 0..400),
    ) {
        let mut budget = Budget::new(percent);
        let mut credit = f64::from(RETRY_BURST);
        for is_request in steps {
            if is_request {
                budget.deposit();
                credit = (credit + f64::from(percent) / 100.0).min(f64::from(RETRY_BURST));
            } else {
                let is_allowed = credit > 1.0 - 1e-6;
                prop_assert_eq!(budget.try_withdraw(), is_allowed);
                credit -= f64::from(u8::from(is_allowed));
            }
        }
    }

    #[test]
    fn attempts_at_a_fleet_that_refuses_everything_are_bounded(
        percent in 0_u32..60, routers in 1_usize..8, requests in 1_u32..500,
    ) {
        let mut budgets = vec![Budget::new(percent); routers];
        let attempts = count_attempts(&mut budgets, requests);
        let max_attempts = requests + requests * percent / 100 + RETRY_BURST * routers as u32;
        prop_assert!(attempts <= max_attempts, "{} attempts, limit {}", attempts, max_attempts);
    }

    #[test]
    fn wait_leaves_time_for_an_attempt(
        retries in 0_u32..40, jitter in 0.0_f64..=1.0, time_left_ms in 0_u64..3000,
    ) {
        let time_left = Duration::from_millis(time_left_ms);
        match backoff(retries, jitter, time_left) {
            Backoff::Wait(wait) => prop_assert!(
                wait + MIN_ATTEMPT_TIME <= time_left && wait <= Duration::from_secs(1)
            ),
            Backoff::GiveUp => prop_assert!(time_left < MIN_ATTEMPT_TIME + Duration::from_secs(1)),
        }
    }
}

/// A budget that adds 100 retries for each request does not limit the attempts.
#[test]
fn unbounded_retries_multiply() {
    let mut budgets = [Budget::new(100 * 100)];
    assert!(count_attempts(&mut budgets, 500) > 4 * 500);
}

#[test]
fn the_percentage_of_retries_can_be_changed() {
    let mut budget = Budget::new(0);
    assert_eq!(
        (0..2 * RETRY_BURST).filter(|_| budget.try_withdraw()).count(),
        RETRY_BURST as usize
    );
    budget.set_percent(100);
    budget.deposit();
    assert!(budget.try_withdraw() && !budget.try_withdraw());
}

/// At the designed size, a router has 47,000 / 370 streams, and the loss of one of four data
/// centres interrupts a quarter of them at once.
#[test]
fn the_retry_burst_covers_the_loss_of_a_data_centre() {
    let (streams, data_centres) = (47_000_usize.div_ceil(370), 4);
    let mut budget = Budget::new(20);
    let retries = (0..streams.div_ceil(data_centres)).filter(|_| budget.try_withdraw()).count();
    assert_eq!(retries, 32);
}

/// Attempts made for requests that every target refuses, each retried up to seven times.
fn count_attempts(budgets: &mut [Budget], requests: u32) -> u32 {
    let mut attempts = 0;
    for request in 0..requests as usize {
        let budget = &mut budgets[request % budgets.len()];
        budget.deposit();
        attempts += 1 + (0..7).take_while(|_| budget.try_withdraw()).count() as u32;
    }
    attempts
}

#[test]
fn one_organisation_does_not_use_up_the_retries_of_another() {
    let mut budgets = OrganisationBudgets::new();
    budgets.configure(20, ["a", "b"]);
    let retries = (0..1_000).filter(|_| budgets.for_organisation("a").try_withdraw()).count();
    assert_eq!(retries, RETRY_BURST as usize);
    assert!(budgets.for_organisation("b").try_withdraw());
    budgets.configure(20, ["a", "b"]);
    assert!(
        !budgets.for_organisation("a").try_withdraw(),
        "a new configuration must not add credit"
    );
    let unconfigured = (0..100).map(|number| format!("x-{number}"));
    let retries = unconfigured.filter(|name| budgets.for_organisation(name).try_withdraw()).count();
    assert_eq!(
        retries, RETRY_BURST as usize,
        "organisations outside the configuration must share one budget"
    );
}
