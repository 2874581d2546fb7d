//! Tests of the retry budgets that bound the retries of the whole fleet.
//!
//! They guard against routers that each stay within their own budget but together exceed the limit
//! of the fleet, although no router knows the requests and retries of the other routers.

mod common;

use std::time::{Duration, Instant};

use cornelpass_core::budget::{Parameters, ServiceBudgets};
use proptest::prelude::*;

const PARAMETERS: Parameters =
    Parameters { ratio: 0.2, slack: 52, window: Duration::from_secs(10) };

#[test]
fn a_single_router_retries_within_the_ratio_and_the_slack() {
    let now = Instant::now();
    let mut budgets = ServiceBudgets::new(PARAMETERS);
    (0..100).for_each(|_| budgets.record_request(now, "s"));
    // The limit is 100 * 0.2 + 52 = 72 retries, of which the budget allows 85 %.
    let retries = (0..200).filter(|_| budgets.try_withdraw(now, "s", 1)).count();
    assert!(retries <= 72, "{retries}");
    assert!(retries >= 60, "{retries}");
}

#[test]
fn services_have_budgets_of_their_own() {
    let now = Instant::now();
    let mut budgets = ServiceBudgets::new(PARAMETERS);
    while budgets.try_withdraw(now, "one", 1) {}
    assert!(budgets.try_withdraw(now, "two", 1));
}

#[test]
fn a_budget_recovers_as_the_window_passes() {
    let start = Instant::now();
    let mut budgets = ServiceBudgets::new(PARAMETERS);
    while budgets.try_withdraw(start, "s", 1) {}
    assert!(!budgets.try_withdraw(start + Duration::from_secs(9), "s", 1));
    assert!(budgets.try_withdraw(start + Duration::from_secs(11), "s", 1));
}

proptest! {
    #![proptest_config(common::config(14, 256))]

    /// Several routers receive requests and try to retry, at any times. After each step, the
    /// retries of all routers within the window are at most the limit of the fleet.
    ///
    /// A step is the index of a router, the time since the previous step in milliseconds, and its
    /// kind: 0 for a request, otherwise a retry.
    #[test]
    fn routers_together_stay_within_the_limit(
        routers in 1_usize..6,
        steps in prop::collection::vec((0_usize..6, 0_u64..400, 0_u8..4), 0..600),
    ) {
        let mut now = Instant::now();
        let mut budgets: Vec<ServiceBudgets> = (0..routers).map(|_| ServiceBudgets::new(PARAMETERS)).collect();
        let (mut requests, mut retries): (Vec<Instant>, Vec<Instant>) = (Vec::new(), Vec::new());
        for (router_index, gap_ms, kind) in steps {
            now += Duration::from_millis(gap_ms);
            let router_budgets = &mut budgets[router_index % routers];
            if kind == 0 {
                router_budgets.record_request(now, "s");
                requests.push(now);
            } else if router_budgets.try_withdraw(now, "s", routers) {
                retries.push(now);
            }
            let count_recent = |times: &[Instant]| {
                times
                    .iter()
                    .filter(|time| now.duration_since(**time) <= PARAMETERS.window)
                    .count() as f64
            };
            let limit = count_recent(&requests) * PARAMETERS.ratio + f64::from(PARAMETERS.slack);
            prop_assert!(count_recent(&retries) <= limit);
        }
    }
}
