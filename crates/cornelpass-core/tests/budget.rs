//! Retry budgets: the routers together keep to the bound, each on its own.

mod common;

use std::time::{Duration, Instant};

use cornelpass_core::budget::{Budgets, Parameters};
use proptest::prelude::*;

const PARAMETERS: Parameters =
    Parameters { ratio: 0.2, slack: 52, window: Duration::from_secs(10) };

#[test]
fn a_lone_router_retries_within_the_share_and_the_slack() {
    let now = Instant::now();
    let mut budgets = Budgets::new(PARAMETERS);
    (0..100).for_each(|_| budgets.record_request(now, "s"));
    let spent = (0..200).filter(|_| budgets.try_withdraw(now, "s", 1)).count();
    assert!(spent <= 72, "{spent}");
    assert!(spent >= 60, "{spent}");
}

#[test]
fn services_have_budgets_of_their_own() {
    let now = Instant::now();
    let mut budgets = Budgets::new(PARAMETERS);
    while budgets.try_withdraw(now, "one", 1) {}
    assert!(budgets.try_withdraw(now, "two", 1));
}

#[test]
fn a_budget_recovers_as_the_window_passes() {
    let start = Instant::now();
    let mut budgets = Budgets::new(PARAMETERS);
    while budgets.try_withdraw(start, "s", 1) {}
    assert!(!budgets.try_withdraw(start + Duration::from_secs(9), "s", 1));
    assert!(budgets.try_withdraw(start + Duration::from_secs(11), "s", 1));
}

proptest! {
    #![proptest_config(common::config(14, 256))]

    /// Requests and wishes to retry of several routers, at any times, against the bound in every
    /// window that ends with a retry.
    #[test]
    fn routers_together_keep_to_the_bound(
        routers in 1_usize..6,
        steps in prop::collection::vec((0_usize..6, 0_u64..400, 0_u8..4), 0..600),
    ) {
        let mut now = Instant::now();
        let mut budgets: Vec<Budgets> = (0..routers).map(|_| Budgets::new(PARAMETERS)).collect();
        let (mut requests, mut retries): (Vec<Instant>, Vec<Instant>) = (Vec::new(), Vec::new());
        for (router, gap, wish) in steps {
            now += Duration::from_millis(gap);
            let router = &mut budgets[router % routers];
            if wish == 0 {
                router.record_request(now, "s");
                requests.push(now);
            } else if router.try_withdraw(now, "s", routers) {
                retries.push(now);
            }
            let recent = |times: &[Instant]| {
                times.iter().filter(|at| now.duration_since(**at) <= PARAMETERS.window).count() as f64
            };
            let bound = recent(&requests) * PARAMETERS.ratio + f64::from(PARAMETERS.slack);
            prop_assert!(recent(&retries) <= bound);
        }
    }
}
