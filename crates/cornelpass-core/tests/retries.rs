//! Retries: amplification against a naive count, and waits within the time left.

mod common;

use std::time::Duration;

use common::config;
use cornelpass_core::retry::{Backoff, Budget, Budgets, MIN_ATTEMPT_TIME, RETRY_BURST, backoff};
use proptest::prelude::*;

proptest! {
    #![proptest_config(config(8, 256))]

    #[test]
    fn budget_equals_naive(
        percent in 0_u32..60, steps in prop::collection::vec(any::<bool>(), 0..400),
    ) {
        let mut budget = Budget::new(percent);
        let mut credit = f64::from(RETRY_BURST);
        for is_request in steps {
            if is_request {
                budget.deposit();
                credit = (credit + f64::from(percent) / 100.0).min(f64::from(RETRY_BURST));
            } else {
                let fits = credit > 1.0 - 1e-6;
                prop_assert_eq!(budget.try_withdraw(), fits);
                credit -= f64::from(u8::from(fits));
            }
        }
    }

    #[test]
    fn fleet_that_refuses_everything_sees_bounded_attempts(
        percent in 0_u32..60, routers in 1_usize..8, requests in 1_u32..500,
    ) {
        let mut budgets = vec![Budget::new(percent); routers];
        let attempts = attempts(&mut budgets, requests);
        let most = requests + requests * percent / 100 + RETRY_BURST * routers as u32;
        prop_assert!(attempts <= most, "{} of at most {}", attempts, most);
    }

    #[test]
    fn wait_leaves_time_for_an_attempt(
        retries in 0_u32..40, jitter in 0.0_f64..=1.0, left in 0_u64..3000,
    ) {
        let left = Duration::from_millis(left);
        match backoff(retries, jitter, left) {
            Backoff::Wait(wait) => prop_assert!(
                wait + MIN_ATTEMPT_TIME <= left && wait <= Duration::from_secs(1)
            ),
            Backoff::GiveUp => prop_assert!(left < MIN_ATTEMPT_TIME + Duration::from_secs(1)),
        }
    }
}

#[test]
fn unbounded_retries_multiply() {
    let mut budgets = [Budget::new(100 * 100)];
    assert!(attempts(&mut budgets, 500) > 4 * 500);
}

#[test]
fn share_can_be_changed() {
    let mut budget = Budget::new(0);
    assert_eq!(
        (0..2 * RETRY_BURST).filter(|_| budget.try_withdraw()).count(),
        RETRY_BURST as usize
    );
    budget.set_percent(100);
    budget.deposit();
    assert!(budget.try_withdraw() && !budget.try_withdraw());
}

/// A router at the designed size has 47,000 / 370 streams, and a data centre of four cuts a quarter
/// of them at once.
#[test]
fn reserve_carries_the_loss_of_a_data_centre() {
    let (streams, data_centres) = (47_000_usize.div_ceil(370), 4);
    let mut budget = Budget::new(20);
    let retried = (0..streams.div_ceil(data_centres)).filter(|_| budget.try_withdraw()).count();
    assert_eq!(retried, 32);
}

/// Attempts made for requests that every target refuses, each retried up to seven times.
fn attempts(budgets: &mut [Budget], requests: u32) -> u32 {
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
    let mut budgets = Budgets::new();
    budgets.configure(20, ["a", "b"]);
    let surged = (0..1_000).filter(|_| budgets.for_organisation("a").try_withdraw()).count();
    assert_eq!(surged, RETRY_BURST as usize);
    assert!(budgets.for_organisation("b").try_withdraw());
    budgets.configure(20, ["a", "b"]);
    assert!(
        !budgets.for_organisation("a").try_withdraw(),
        "a new configuration gives nothing back"
    );
    let strangers = (0..100).map(|number| format!("x-{number}"));
    let spent = strangers.filter(|name| budgets.for_organisation(name).try_withdraw()).count();
    assert_eq!(spent, RETRY_BURST as usize, "the unknown have one budget together");
}
