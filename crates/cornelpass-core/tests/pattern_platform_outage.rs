//! Failure pattern: the platform does not respond for some seconds.
//!
//! The rows of all targets expire during the outage, and running targets rewrite them afterwards.
//! The tests guard against a router that refuses all requests until then, and against a router that
//! keeps using targets that no longer run. If the platform responded to other routers during the
//! outage, no rows expired, so a target without a row has stopped. Outages and lists are applied
//! directly to one router; the platform is not simulated.

mod common;

use std::time::{Duration, Instant};

use common::cluster::{Cluster, prompt, request, router_address, row, target_name};
use cornelpass_core::fleet::EXPIRED_ROW_GRACE;
use cornelpass_core::fleet::outage::{Failure, Streak};
use cornelpass_core::report::Report;
use cornelpass_core::request::RetrySafety;

/// Length of the outage.
const OUTAGE: Duration = Duration::from_secs(5);

/// Returns a router after an outage. The first complete list that the router received then has no
/// targets.
///
/// `responded_to_others` is whether the platform responded to another router during the outage.
fn after_outage(responded_to_others: bool) -> Cluster {
    let mut cluster = Cluster::new(1, 3);
    cluster.advance(OUTAGE);
    let now = cluster.now;
    let router = &mut cluster.fleets[0];
    // Also after an outage for all routers, another router may get a response just before this one.
    for (sequence, ago_ms) in [(1, 4_000), (2, 2_700), (3, 1_300), (4, 100)] {
        if responded_to_others || ago_ms == 100 {
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
fn targets_whose_rows_expired_are_used_for_the_grace_time() {
    let mut cluster = after_outage(false);
    assert!(is_served(&mut cluster));
    cluster.advance(EXPIRED_ROW_GRACE);
    assert!(!is_served(&mut cluster));
}

#[test]
fn a_target_whose_row_was_rewritten_stays_in_use() {
    let mut cluster = after_outage(false);
    let now = cluster.now;
    cluster.fleets[0].apply_row(now, &target_name(0), row(0, "a"), 101);
    cluster.advance(EXPIRED_ROW_GRACE);
    assert!(is_served(&mut cluster));
}

#[test]
fn missing_targets_are_not_used_if_the_platform_responded_to_other_routers() {
    let mut cluster = after_outage(true);
    assert!(!is_served(&mut cluster));
}

// Guards against an outage that is assumed from failed calls of one kind, although this router has
// read the targets all the while.
#[test]
fn missing_targets_are_not_used_if_the_router_read_the_targets_meanwhile() {
    let mut cluster = Cluster::new(1, 3);
    cluster.advance(OUTAGE / 2);
    let now = cluster.now;
    cluster.fleets[0].record_platform_sync(now, 99);
    cluster.advance(OUTAGE / 2);
    let now = cluster.now;
    assert!(!cluster.fleets[0].record_platform_return(now, OUTAGE));
    cluster.fleets[0].apply_complete_list(now, &[].into(), 100);
    assert!(!is_served(&mut cluster));
}

/// Outage that failed calls show, one in each second, the last one a second before the response.
fn outage_after(failures: &[Failure]) -> Option<Duration> {
    let (mut streak, mut now) = (Streak::default(), Instant::now());
    for failure in failures {
        streak.record_failure(now, *failure);
        now += Duration::from_secs(1);
    }
    let outage = streak.record_response(now);
    assert_eq!(streak.record_response(now), None, "the streak has ended");
    outage
}

// Guards against an outage that is assumed from one call whose connection was lost silently.
#[test]
fn only_failures_of_the_platform_itself_show_an_outage() {
    use Failure::{NoResponse, Rejected, Unavailable};
    assert_eq!(outage_after(&[]), None);
    assert_eq!(outage_after(&[NoResponse]), None);
    assert_eq!(outage_after(&[Rejected; 5]), None);
    assert_eq!(outage_after(&[Rejected, NoResponse, Rejected]), None);
    assert_eq!(outage_after(&[Unavailable]), Some(Duration::from_secs(1)));
    assert_eq!(outage_after(&[NoResponse; 2]), Some(Duration::from_secs(2)));
    assert_eq!(outage_after(&[NoResponse, Unavailable, Rejected]), Some(Duration::from_secs(3)));
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
fn a_row_of_an_older_revision_does_not_restore_a_removed_target() {
    let mut cluster = Cluster::new(1, 1);
    let now = cluster.now;
    let router = &mut cluster.fleets[0];
    assert!(router.apply_removal(now, &target_name(0), 100));
    assert!(!router.apply_row(now, &target_name(0), row(0, "a"), 99));
    assert!(!is_served(&mut cluster));
}
