//! The acceptor lease.

use std::time::{Duration, Instant};

use cornelpass_core::lease::{LEASE_TIMEOUT, Lease, Next, Tracker};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Time between two polls, several of which go into the timeout.
const POLL: Duration = Duration::from_millis(250);

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(61), failure_persistence: None, ..Config::default() }
}

#[test]
fn the_holder_goes_on_and_another_takes_over_when_it_stops() {
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
    #![proptest_config(config())]

    /// A router never acquires the lease of a holder that renews it between any two of the router's
    /// polls. It acquires the lease at the first poll that comes late enough after it read the last
    /// renewal, as a naive search of all that it has read finds.
    #[test]
    fn turn_agrees_with_a_naive_search(renewals in prop::collection::vec(any::<bool>(), 1..60)) {
        let start = Instant::now();
        let (mut tracker, lease) = (Tracker::new("own"), Lease { holder: "other".to_owned() });
        let mut read = Vec::new();
        let mut revision = 1;
        for (poll, renewed) in (0..).zip(renewals) {
            revision += u64::from(renewed);
            read.push(revision);
            let now = start + POLL * poll;
            let same = read.iter().rev().take_while(|seen| **seen == revision).count() as u32;
            let free = POLL * (same - 1) >= LEASE_TIMEOUT;
            let expected = if free { Next::Acquire } else { Next::Wait };
            prop_assert_eq!(tracker.decide(now, Some((&lease, revision))), expected);
        }
    }
}
