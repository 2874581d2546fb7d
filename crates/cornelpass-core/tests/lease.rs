//! Tests of the acceptor lease.
//!
//! They guard against a lease that is acquired while its holder still renews it, and against a
//! lease that no router acquires after its holder has stopped.

use std::time::{Duration, Instant};

use cornelpass_core::lease::{LEASE_TIMEOUT, Lease, Next, Tracker};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Time between two polls; the lease timeout spans several of them.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

fn proptest_config() -> Config {
    Config { rng_seed: RngSeed::Fixed(61), failure_persistence: None, ..Config::default() }
}

#[test]
fn the_holder_renews_the_lease_and_another_router_acquires_it_after_the_timeout() {
    let now = Instant::now();
    let [mut one, mut two] = ["one", "two"].map(Tracker::new);
    assert_eq!(one.decide(now, None), Next::Acquire);
    let lease = one.lease();
    assert_eq!(one.decide(now + LEASE_TIMEOUT * 9, Some((&lease, 1))), Next::Renew);
    assert_eq!(two.decide(now, Some((&lease, 1))), Next::Wait);
    assert_eq!(two.decide(now + LEASE_TIMEOUT, Some((&lease, 2))), Next::Wait);
    assert_eq!(two.decide(now + LEASE_TIMEOUT * 2, Some((&lease, 2))), Next::Acquire);
}

proptest! {
    #![proptest_config(proptest_config())]

    /// A router never acquires the lease of a holder that renews it between any two of the router's
    /// polls. It acquires the lease at the first poll at which the revision has not changed for the
    /// timeout. The reference implementation finds this poll by a search of all revisions that the
    /// router has read.
    #[test]
    fn acquisition_equals_that_of_the_reference_implementation(
        renewals in prop::collection::vec(any::<bool>(), 1..60),
    ) {
        let start = Instant::now();
        let (mut tracker, lease) = (Tracker::new("own"), Lease { holder: "other".to_owned() });
        let mut revisions = Vec::new();
        let mut revision = 1;
        for (poll, renewed) in (0..).zip(renewals) {
            revision += u64::from(renewed);
            revisions.push(revision);
            let now = start + POLL_INTERVAL * poll;
            let unchanged_polls =
                revisions.iter().rev().take_while(|seen| **seen == revision).count() as u32;
            let is_free = POLL_INTERVAL * (unchanged_polls - 1) >= LEASE_TIMEOUT;
            let expected = if is_free { Next::Acquire } else { Next::Wait };
            prop_assert_eq!(tracker.decide(now, Some((&lease, revision))), expected);
        }
    }
}
