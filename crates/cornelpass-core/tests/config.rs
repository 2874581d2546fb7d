//! The replica of the configuration, and the start of a fresh process.

use std::time::{Duration, Instant};

use cornelpass_core::config::{
    MAX_DECISION_GAP, OfferOutcome, Readiness, Replica, STARTUP_HOLD, Snapshot, Startup,
};
use cornelpass_core::table::Table;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(49), failure_persistence: None, ..Config::default() }
}

fn snapshot(version: u64) -> Snapshot {
    Snapshot { version, source: version * 10, table: Table::default() }
}

#[test]
fn a_peer_vouches_only_for_the_version_in_force() {
    let start = Instant::now();
    let now = start + Duration::from_secs(60);
    let mut replica = Replica::new();
    replica.offer(snapshot(4));
    assert_eq!(replica.confirmation_age(now), None);
    replica.confirm_version(3, Duration::ZERO, now);
    replica.confirm_version(5, Duration::ZERO, now);
    assert_eq!(replica.confirmation_age(now), None);
    replica.confirm_version(4, Duration::from_secs(7), now);
    assert_eq!(replica.confirmation_age(now), Some(Duration::from_secs(7)));
    replica.confirm(start);
    assert_eq!(replica.confirmation_age(now), Some(Duration::from_secs(7)));
    replica.offer(snapshot(5));
    assert_eq!(replica.confirmation_age(now), None);
}

#[test]
fn a_fresh_process_with_the_platform_serves_at_once() {
    let now = Instant::now();
    let (mut startup, mut replica) = (Startup::new(), Replica::new());
    assert_eq!(startup.decide(now, &replica), Readiness::Unconfigured);
    replica.offer(snapshot(1));
    replica.confirm(now);
    assert_eq!(startup.decide(now, &replica), Readiness::Ready);
}

#[test]
fn a_fresh_process_with_an_old_peer_only_listens_first() {
    let start = Instant::now() + Duration::from_secs(3_600);
    let (mut startup, mut replica) = (Startup::new(), Replica::new());
    replica.offer(snapshot(1));
    replica.confirm_version(1, Duration::from_secs(600), start);
    assert_eq!(startup.decide(start, &replica), Readiness::Unconfirmed { remaining: STARTUP_HOLD });
    let now = start + MAX_DECISION_GAP;
    assert_eq!(
        startup.decide(now, &replica),
        Readiness::Unconfirmed { remaining: STARTUP_HOLD - MAX_DECISION_GAP }
    );
    replica.offer(snapshot(2));
    let now = now + MAX_DECISION_GAP;
    assert_eq!(
        startup.decide(now, &replica),
        Readiness::Unconfirmed { remaining: STARTUP_HOLD - MAX_DECISION_GAP * 2 }
    );
    assert_eq!(startup.decide(now + MAX_DECISION_GAP, &replica), Readiness::Ready);
    assert_eq!(replica.version(), 2);
}

#[test]
fn a_pause_does_not_count_as_listening() {
    let start = Instant::now();
    let (mut startup, mut replica) = (Startup::new(), Replica::new());
    replica.offer(snapshot(1));
    assert_eq!(startup.decide(start, &replica), Readiness::Unconfirmed { remaining: STARTUP_HOLD });
    let woken = start + Duration::from_secs(600);
    assert_eq!(startup.decide(woken, &replica), Readiness::Unconfirmed { remaining: STARTUP_HOLD });
}

#[test]
fn a_process_that_was_paused_listens_again_unless_its_version_was_confirmed() {
    let start = Instant::now();
    let (mut startup, mut replica) = (Startup::new(), Replica::new());
    replica.offer(snapshot(1));
    replica.confirm(start);
    assert_eq!(startup.decide(start, &replica), Readiness::Ready);
    let woken = start + STARTUP_HOLD + MAX_DECISION_GAP;
    assert_eq!(startup.decide(woken, &replica), Readiness::Unconfirmed { remaining: STARTUP_HOLD });
    let listened = woken + MAX_DECISION_GAP;
    assert_eq!(
        startup.decide(listened, &replica),
        Readiness::Unconfirmed { remaining: STARTUP_HOLD - MAX_DECISION_GAP }
    );
    replica.confirm(listened);
    assert_eq!(startup.decide(listened, &replica), Readiness::Ready);
}

/// Steps of a process: the time since the last decision in milliseconds, and whether the platform
/// confirmed the version meanwhile.
fn steps() -> impl Strategy<Value = Vec<(u64, bool)>> {
    let gap = prop_oneof![4 => 0..1_001_u64, 1 => 1_001..9_000_u64];
    prop::collection::vec((gap, prop::bool::weighted(0.2)), 1..80)
}

/// Whether a naive process, which keeps all decisions and looks back, serves at the last one: it
/// serves if some decision since its last pause had a confirmation of the last 3 s or came 3 s
/// after the first decision since then.
fn naive_serves(decisions: &[(Duration, Option<Duration>)]) -> bool {
    let gap = |index: usize| decisions[index].0 - decisions[index - 1].0;
    let since =
        (1..decisions.len()).rev().find(|&index| gap(index) > MAX_DECISION_GAP).unwrap_or(0);
    decisions[since..].iter().any(|(at, confirmed)| {
        confirmed.is_some_and(|confirmed| *at - confirmed <= STARTUP_HOLD)
            || *at - decisions[since].0 >= STARTUP_HOLD
    })
}

proptest! {
    #![proptest_config(config())]

    /// Pauses, confirmations and listening lead to the verdict of the naive process.
    #[test]
    fn startup_agrees_with_a_naive_process(steps in steps()) {
        let start = Instant::now();
        let (mut startup, mut replica) = (Startup::new(), Replica::new());
        replica.offer(snapshot(1));
        let (mut now, mut confirmed, mut decisions) = (Duration::ZERO, None, Vec::new());
        for (gap, confirms) in steps {
            now += Duration::from_millis(gap);
            if confirms {
                replica.confirm(start + now);
                confirmed = Some(now);
            }
            decisions.push((now, confirmed));
            let serves = startup.decide(start + now, &replica) == Readiness::Ready;
            prop_assert_eq!(serves, naive_serves(&decisions));
        }
    }

    /// The replica holds the highest version ever offered, as a naive replica that keeps all of
    /// them finds by searching, and never goes back.
    #[test]
    fn replica_never_reverts(versions in prop::collection::vec(1..20_u64, 1..60)) {
        let mut replica = Replica::new();
        let mut all: Vec<u64> = vec![0];
        for version in versions {
            let before = replica.version();
            let naive = *all.iter().max().unwrap();
            let expected = match version {
                _ if version > naive => OfferOutcome::Applied,
                _ if version == naive => OfferOutcome::Unchanged,
                _ => OfferOutcome::Outdated,
            };
            prop_assert_eq!(replica.offer(snapshot(version)), expected);
            all.push(version);
            prop_assert!(replica.version() >= before);
            prop_assert_eq!(replica.version(), *all.iter().max().unwrap());
            prop_assert_eq!(replica.current().source, replica.version() * 10);
        }
    }

    /// The age of a confirmation is never less than what the platform or a peer showed.
    #[test]
    fn confirmation_is_never_younger_than_shown(
        shown in prop::collection::vec((0..3_u64, 0..100_u64), 1..20),
    ) {
        let start = Instant::now();
        let mut replica = Replica::new();
        replica.offer(snapshot(1));
        let mut latest: Option<u64> = None;
        for (at, (version, age)) in (100_u64..).zip(shown) {
            replica.confirm_version(
                version,
                Duration::from_secs(age),
                start + Duration::from_secs(at),
            );
            if version == 1 {
                latest = latest.max(Some(at - age));
            }
            let now = start + Duration::from_secs(at);
            let expected = latest.map(|confirmed| Duration::from_secs(at - confirmed));
            prop_assert_eq!(replica.confirmation_age(now), expected);
        }
    }
}
