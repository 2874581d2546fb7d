//! Failure pattern: the platform's store is unavailable for some seconds.
//!
//! The entries of all targets expire during the outage, and running targets rewrite them
//! afterwards. The tests guard against a router that refuses all requests until then, and against a
//! router that uses targets that are really gone: if the platform answered other routers meanwhile,
//! no entries expired. Outages and lists are applied directly to one router; the platform is not
//! simulated.

mod common;

use std::time::Duration;

use common::cluster::{Cluster, prompt, request, router_address, row, target_name};
use cornelpass_core::fleet::EXPIRED_ROW_GRACE;
use cornelpass_core::report::Report;
use cornelpass_core::request::RetrySafety;

/// Length of the outage.
const OUTAGE: Duration = Duration::from_secs(5);

/// A router at the end of an outage whose first complete list has no targets.
///
/// `others_answered` is whether the platform answered another router during the outage.
fn after_outage(others_answered: bool) -> Cluster {
    let mut cluster = Cluster::new(1, 3);
    cluster.advance(OUTAGE);
    let now = cluster.now;
    let router = &mut cluster.fleets[0];
    // Also after an outage for all routers, another router may get an answer just before this one.
    for (sequence, ago_ms) in [(1, 4_000), (2, 2_700), (3, 1_300), (4, 100)] {
        if others_answered || ago_ms == 100 {
            let at = now - Duration::from_millis(ago_ms);
            let report = Report { incarnation: 9, sequence, listed_ms: 50, ..Report::default() };
            router.apply_report(at, router_address(9), report);
        }
    }
    router.record_platform_return(now, OUTAGE);
    router.apply_complete_list(now, &[].into(), 100);
    cluster
}

/// Whether a request gets a target.
fn is_served(cluster: &mut Cluster) -> bool {
    let request = request(cluster.now, RetrySafety::AtMostOnce, Some(prompt(0, 0, 0)));
    cluster.send(0, &request, Duration::from_millis(1)).is_ok()
}

#[test]
fn targets_whose_entries_expired_are_used_until_the_entries_should_be_rewritten() {
    let mut cluster = after_outage(false);
    assert!(is_served(&mut cluster));
    cluster.advance(EXPIRED_ROW_GRACE);
    assert!(!is_served(&mut cluster));
}

#[test]
fn a_target_whose_entry_was_rewritten_stays_in_use() {
    let mut cluster = after_outage(false);
    let now = cluster.now;
    cluster.fleets[0].apply_row(now, &target_name(0), row(0, "a"), 101);
    cluster.advance(EXPIRED_ROW_GRACE);
    assert!(is_served(&mut cluster));
}

#[test]
fn missing_targets_are_not_used_if_the_platform_answered_other_routers() {
    let mut cluster = after_outage(true);
    assert!(!is_served(&mut cluster));
}

#[test]
fn a_target_removed_before_the_outage_is_not_used() {
    let mut cluster = Cluster::new(1, 1);
    let now = cluster.now;
    cluster.fleets[0].apply_removal(now, &target_name(0), 100);
    cluster.advance(OUTAGE);
    let now = cluster.now;
    cluster.fleets[0].record_platform_return(now, OUTAGE);
    assert!(!is_served(&mut cluster));
}

#[test]
fn an_entry_of_an_older_revision_does_not_restore_a_removed_target() {
    let mut cluster = Cluster::new(1, 1);
    let now = cluster.now;
    let router = &mut cluster.fleets[0];
    assert!(router.apply_removal(now, &target_name(0), 100));
    assert!(!router.apply_row(now, &target_name(0), row(0, "a"), 99));
    assert!(!is_served(&mut cluster));
}
