//! Tests of the configuration replica, and of the decision when a process may serve after a start
//! or a suspension.
//!
//! They guard against a process that serves with an outdated configuration: its replica reverts to
//! an earlier version, or the process missed a version before its start or while it was suspended.

use std::time::{Duration, Instant};

use cornelpass_core::config::{
    MAX_DECISION_GAP, OfferOutcome, Readiness, Replica, STARTUP_HOLD, Snapshot, Startup,
};
use cornelpass_core::table::Table;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn proptest_config() -> Config {
    Config { rng_seed: RngSeed::Fixed(49), failure_persistence: None, ..Config::default() }
}

fn snapshot(version: u64) -> Snapshot {
    Snapshot { version, source: version * 10, table: Table::default() }
}

#[test]
fn a_peer_confirms_only_the_active_version() {
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
fn a_new_process_with_a_confirmed_version_serves_at_once() {
    let now = Instant::now();
    let (mut startup, mut replica) = (Startup::new(), Replica::new());
    assert_eq!(startup.decide(now, &replica), Readiness::Unconfigured);
    replica.offer(snapshot(1));
    replica.confirm(now);
    assert_eq!(startup.decide(now, &replica), Readiness::Ready);
}

#[test]
fn a_new_process_with_only_an_old_confirmation_collects_versions_first() {
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
fn a_suspension_does_not_count_as_collecting_versions() {
    let start = Instant::now();
    let (mut startup, mut replica) = (Startup::new(), Replica::new());
    replica.offer(snapshot(1));
    assert_eq!(startup.decide(start, &replica), Readiness::Unconfirmed { remaining: STARTUP_HOLD });
    let resumed_at = start + Duration::from_secs(600);
    assert_eq!(
        startup.decide(resumed_at, &replica),
        Readiness::Unconfirmed { remaining: STARTUP_HOLD }
    );
}

#[test]
fn a_resumed_process_collects_versions_again_unless_its_version_is_confirmed() {
    let start = Instant::now();
    let (mut startup, mut replica) = (Startup::new(), Replica::new());
    replica.offer(snapshot(1));
    replica.confirm(start);
    assert_eq!(startup.decide(start, &replica), Readiness::Ready);
    let resumed_at = start + STARTUP_HOLD + MAX_DECISION_GAP;
    assert_eq!(
        startup.decide(resumed_at, &replica),
        Readiness::Unconfirmed { remaining: STARTUP_HOLD }
    );
    let later = resumed_at + MAX_DECISION_GAP;
    assert_eq!(
        startup.decide(later, &replica),
        Readiness::Unconfirmed { remaining: STARTUP_HOLD - MAX_DECISION_GAP }
    );
    replica.confirm(later);
    assert_eq!(startup.decide(later, &replica), Readiness::Ready);
}

/// Decisions of a process, each with the time since the previous decision in milliseconds, and
/// whether the platform confirms the version just before the decision.
fn decision_steps() -> impl Strategy<Value = Vec<(u64, bool)>> {
    let gap = prop_oneof![4 => 0..1_001_u64, 1 => 1_001..9_000_u64];
    prop::collection::vec((gap, prop::bool::weighted(0.2)), 1..80)
}

/// Whether a process may serve at the last of the given decisions; reference implementation that
/// searches all of them.
///
/// A decision is given by its time and by the time of the last confirmation before it. Only the
/// decisions since the start or the last suspension count. The process may serve if, at one of
/// these decisions, the last confirmation was at most [`STARTUP_HOLD`] old, or at least
/// [`STARTUP_HOLD`] had passed since the first of them.
fn may_serve(decisions: &[(Duration, Option<Duration>)]) -> bool {
    let gap_before = |index: usize| decisions[index].0 - decisions[index - 1].0;
    let first =
        (1..decisions.len()).rev().find(|&index| gap_before(index) > MAX_DECISION_GAP).unwrap_or(0);
    decisions[first..].iter().any(|(decided_at, confirmed_at)| {
        confirmed_at.is_some_and(|confirmed_at| *decided_at - confirmed_at <= STARTUP_HOLD)
            || *decided_at - decisions[first].0 >= STARTUP_HOLD
    })
}

proptest! {
    #![proptest_config(proptest_config())]

    /// After any sequence of suspensions and confirmations, the decision equals that of the
    /// reference implementation.
    #[test]
    fn readiness_equals_that_of_the_reference_implementation(steps in decision_steps()) {
        let start = Instant::now();
        let (mut startup, mut replica) = (Startup::new(), Replica::new());
        replica.offer(snapshot(1));
        let (mut now, mut confirmed_at, mut decisions) = (Duration::ZERO, None, Vec::new());
        for (gap_ms, is_confirmed) in steps {
            now += Duration::from_millis(gap_ms);
            if is_confirmed {
                replica.confirm(start + now);
                confirmed_at = Some(now);
            }
            decisions.push((now, confirmed_at));
            let is_ready = startup.decide(start + now, &replica) == Readiness::Ready;
            prop_assert_eq!(is_ready, may_serve(&decisions));
        }
    }

    /// The active version is always the highest of all versions offered so far, and never
    /// decreases.
    #[test]
    fn replica_never_reverts(versions in prop::collection::vec(1..20_u64, 1..60)) {
        let mut replica = Replica::new();
        let mut offered: Vec<u64> = vec![0];
        for version in versions {
            let before = replica.version();
            let highest = *offered.iter().max().unwrap();
            let expected = match version {
                _ if version > highest => OfferOutcome::Applied,
                _ if version == highest => OfferOutcome::Unchanged,
                _ => OfferOutcome::Outdated,
            };
            prop_assert_eq!(replica.offer(snapshot(version)), expected);
            offered.push(version);
            prop_assert!(replica.version() >= before);
            prop_assert_eq!(replica.version(), *offered.iter().max().unwrap());
            prop_assert_eq!(replica.current().source, replica.version() * 10);
        }
    }

    /// The confirmation age is the time since the latest reported confirmation of the active
    /// version, and therefore never less than reported.
    ///
    /// A report is a version and the age of its confirmation in seconds.
    #[test]
    fn confirmation_age_is_never_less_than_reported(
        reports in prop::collection::vec((0..3_u64, 0..100_u64), 1..20),
    ) {
        let start = Instant::now();
        let mut replica = Replica::new();
        replica.offer(snapshot(1));
        let mut latest_secs: Option<u64> = None;
        for (now_secs, (version, age_secs)) in (100_u64..).zip(reports) {
            replica.confirm_version(
                version,
                Duration::from_secs(age_secs),
                start + Duration::from_secs(now_secs),
            );
            if version == 1 {
                latest_secs = latest_secs.max(Some(now_secs - age_secs));
            }
            let now = start + Duration::from_secs(now_secs);
            let expected =
                latest_secs.map(|confirmed_secs| Duration::from_secs(now_secs - confirmed_secs));
            prop_assert_eq!(replica.confirmation_age(now), expected);
        }
    }
}
