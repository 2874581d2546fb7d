//! Tests of the reports between routers: lost routers, changes of targets, pollers, and the
//! intervals between reports.
//!
//! The tests guard against reports of lost routers that still count, against changes of targets
//! that a router misses without polling the platform itself, and against too much control traffic.
//! Reports are applied directly; no datagrams are sent, and the platform is not simulated.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::cluster::row;
use cornelpass_core::fleet::polling::{self, ChangeLog, Next, POLLERS, Times};
use cornelpass_core::fleet::{Fleet, Listing, ListingChange, Requirements, Row};
use cornelpass_core::peers::{Effect, FORGET_TIMEOUT, MEMBER_TIMEOUT, Peers};
use cornelpass_core::report::{self, Change, Entry, MAX_CHANGES_SIZE, Report, Span};

/// Address of a router, by the last byte of its IP address.
fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7000))
}

/// Report without content.
fn report(incarnation: u32, sequence: u32) -> Report {
    Report { incarnation, sequence, ..Report::default() }
}

#[test]
fn a_report_shows_whether_a_router_joined_returned_or_restarted() {
    let mut now = Instant::now();
    let mut peers = Peers::new();
    let mut apply = |now, incarnation, sequence| {
        peers.apply_report(now, address(1), report(incarnation, sequence))
    };
    assert_eq!(apply(now, 1, 1), Effect::Joined);
    assert_eq!(apply(now, 1, 2), Effect::Unchanged);
    assert_eq!(apply(now, 1, 2), Effect::Stale);
    assert_eq!(apply(now, 2, 1), Effect::Joined);
    now += Duration::from_secs(5);
    assert_eq!(apply(now, 2, 2), Effect::Returned);
}

#[test]
fn reports_of_a_lost_router_do_not_count_but_it_stays_a_member() {
    let start = Instant::now();
    let mut peers = Peers::new();
    peers.apply_report(start, address(1), report(1, 1));
    peers.apply_report(start, address(2), report(1, 1));
    assert_eq!(peers.live_reports(start).count(), 2);
    let later = start + Duration::from_secs(2);
    peers.apply_report(later, address(2), report(1, 2));
    assert_eq!(peers.live_reports(later).map(|report| report.sequence).collect::<Vec<_>>(), [2]);
    assert_eq!(peers.take_lost(later), [address(1)]);
    assert_eq!(peers.take_lost(later), []);
    assert_eq!(peers.member_count(later), 3);
    assert_eq!(peers.member_count(start + MEMBER_TIMEOUT), 2);
}

#[test]
fn a_router_that_reports_rarely_is_not_lost_between_its_reports() {
    for period in [Duration::from_millis(900), Duration::from_millis(2_400), report::MAX_PERIOD] {
        let mut now = Instant::now();
        let mut peers = Peers::new();
        let mut lost = 0;
        for sequence in 1..30 {
            peers.apply_report(now, address(1), report(1, sequence));
            for _ in 0..10 {
                now += period / 10;
                lost += peers.take_lost(now).len();
            }
        }
        assert!(lost <= 1, "lost {lost} times at a period of {period:?}");
        for _ in 0..10 {
            now += period;
            lost += peers.take_lost(now).len();
        }
        assert!(lost >= 1, "not lost without reports at a period of {period:?}");
    }
}

#[test]
fn a_router_is_not_its_own_peer() {
    let now = Instant::now();
    let mut peers = Peers::with_own_address(address(1));
    peers.add(now, address(1));
    assert_eq!(peers.apply_report(now, address(1), report(1, 1)), Effect::Stale);
    assert_eq!((peers.member_count(now), peers.live_reports(now).count()), (1, 0));
}

#[test]
fn a_router_without_reports_or_listings_is_forgotten() {
    let start = Instant::now();
    let mut peers = Peers::new();
    peers.add(start, address(1));
    peers.take_lost(start + FORGET_TIMEOUT);
    assert_eq!(peers.addresses().count(), 0);
}

#[test]
fn reports_stay_within_the_permitted_bytes_per_second() {
    for (length, others) in [(40, 3), (120, 27), (200, 23), (90, 92)] {
        let period = report::period(length, others);
        // Each datagram has 28 bytes of IPv4 and UDP headers.
        let bytes = ((length + 28) * others) as f64 / period.as_secs_f64();
        let longest = period == report::MAX_PERIOD;
        assert!(
            bytes <= f64::from(report::MAX_BYTES_PER_SECOND) || longest,
            "{bytes} bytes per second"
        );
        assert!(period >= report::MIN_PERIOD);
    }
}

#[test]
fn the_first_routers_by_address_are_pollers() {
    let now = Instant::now();
    let span = Some(Span { from: 1, to: 1 });
    let listed = |listed_ms| Report { listed_ms, span, ..report(1, 1) };
    let is_poller = |own: u8, others: &[(u8, u16)]| {
        let mut peers = Peers::new();
        for (host, listed_ms) in others {
            peers.apply_report(now, address(*host), listed(*listed_ms));
        }
        polling::is_poller(now, address(own), &peers, Duration::from_secs(2))
    };
    assert_eq!(POLLERS, 2);
    assert!(is_poller(1, &[(2, 100), (3, 100), (4, 100)]));
    assert!(is_poller(2, &[(1, 100), (3, 100), (4, 100)]));
    assert!(!is_poller(3, &[(1, 100), (2, 100), (4, 100)]));
    assert!(is_poller(3, &[(1, 100), (2, 9_000), (4, 100)]));
    assert!(is_poller(9, &[]));
}

#[test]
fn changes_are_reported_in_turn_and_for_a_limited_time() {
    let start = Instant::now();
    let mut change_log = ChangeLog::default();
    change_log.record_sync(start, 0, true);
    let count = MAX_CHANGES_SIZE * 2 + 1;
    for number in 0..count {
        let name = format!("t-{number}");
        change_log.record_change(start, &name, number as u64, None);
    }
    let mut reported = std::collections::BTreeSet::new();
    for _ in 0..3 {
        let changes = change_log.changes_to_report(start);
        assert!(changes.len() <= MAX_CHANGES_SIZE);
        reported.extend(changes.into_iter().map(|change| change.name));
    }
    assert_eq!(reported.len(), count);
    assert!(change_log.changes_to_report(start + Duration::from_secs(3)).is_empty());
}

/// Report that announces changes with the given numbers; `last_change` is the last number so far.
fn report_with_changes(sequence: u32, last_change: u32, numbers: &[u32]) -> Report {
    let change = |number: &u32| Change {
        number: *number,
        name: String::new(),
        revision: 1,
        entry: Entry::Removed,
    };
    let changes = numbers.iter().map(change).collect();
    Report { incarnation: 1, sequence, last_change, changes, ..Report::default() }
}

#[test]
fn changes_that_did_not_arrive_are_missing_until_the_platform_lists_them() {
    let start = Instant::now();
    let limit = Duration::from_millis(800);
    let mut peers = Peers::new();
    peers.apply_report(start, address(1), report_with_changes(1, 4, &[4]));
    peers.apply_report(start, address(1), report_with_changes(2, 6, &[6]));
    assert!(
        !peers.has_missing_changes(start, limit),
        "the change has not been missing for long enough"
    );
    assert!(peers.has_missing_changes(start + limit, limit));
    peers.apply_report(start, address(1), report_with_changes(3, 6, &[5]));
    assert!(
        !peers.has_missing_changes(start + limit, limit),
        "all changes have arrived, though in another order"
    );
    peers.apply_report(start, address(1), report_with_changes(4, 9, &[]));
    assert!(peers.has_missing_changes(start + limit, limit));
    peers.record_platform_sync(start, 0);
    assert!(!peers.has_missing_changes(start + limit, limit));
}

#[test]
fn a_router_that_restarts_numbers_its_changes_from_the_start() {
    let start = Instant::now();
    let mut peers = Peers::new();
    peers.apply_report(start, address(1), report_with_changes(1, 40, &[]));
    peers.apply_report(
        start,
        address(1),
        Report { incarnation: 2, ..report_with_changes(1, 2, &[]) },
    );
    assert!(!peers.has_missing_changes(start + Duration::from_secs(9), Duration::ZERO));
}

/// Report of a router that has numbered all changes between two revisions.
fn report_with_span(sequence: u32, from: u64, to: u64) -> Report {
    Report { span: Some(Span { from, to }), ..report_with_changes(sequence, 0, &[]) }
}

#[test]
fn coverage_is_lacking_if_no_router_has_numbered_the_changes() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let mut peers = Peers::new();
    assert!(
        peers.lacks_coverage(start, second),
        "there is no report and no response of the platform"
    );
    peers.record_platform_sync(start, 10);
    assert!(!peers.lacks_coverage(start, second));
    let mut now = start + second;
    assert!(peers.lacks_coverage(now, second));
    peers.apply_report(now, address(1), report_with_span(1, 5, 20));
    assert!(!peers.lacks_coverage(now, second), "all changes up to 20 are known");
    now += second;
    peers.apply_report(now, address(2), report_with_span(1, 30, 30));
    assert!(peers.lacks_coverage(now, second), "no router has numbered the changes from 20 to 30");
    peers.apply_report(now, address(4), Report { last_change: 2, ..report_with_span(1, 5, 40) });
    assert!(
        peers.lacks_coverage(now, second),
        "router 4 announced two changes before its first report arrived"
    );
    peers.apply_report(now, address(1), report_with_span(2, 5, 32));
    assert!(!peers.lacks_coverage(now, second), "router 1 has numbered the changes from 20 to 32");
    now += second;
    peers.apply_report(now, address(2), report_with_span(2, 30, 50));
    assert!(!peers.lacks_coverage(now, second), "router 2 has numbered the changes from 32 to 50");
    let outdated = Report { listed_ms: 1_000, ..report_with_span(3, 30, 50) };
    now += second;
    peers.apply_report(now, address(2), outdated);
    assert!(peers.lacks_coverage(now, second), "the platform has not responded to router 2 again");
}

#[test]
fn a_poller_also_numbers_a_change_that_another_router_announced_first() {
    let now = Instant::now();
    let mut fleet = Fleet::new(Requirements::default()).with_address(address(1), 1);
    fleet.apply_row(now, "t", row(1, "a"), 1);
    fleet.record_platform_sync(now, 1);
    let change = Change { number: 1, name: "t".to_owned(), revision: 2, entry: Entry::Removed };
    fleet.apply_report(
        now,
        address(2),
        Report { last_change: 1, changes: vec![change], ..report(7, 1) },
    );
    fleet.apply_platform_row(now, "t", None, 2);
    fleet.record_platform_sync(now, 2);
    assert_eq!(fleet.change_log().span(), Some(Span { from: 1, to: 2 }));
    let changes = fleet.change_log().changes_to_report(now);
    assert_eq!(changes.iter().map(|change| change.name.as_str()).collect::<Vec<_>>(), ["t"]);
}

#[test]
fn the_first_list_is_not_announced_but_removals_in_a_later_list_are() {
    let now = Instant::now();
    let mut fleet = Fleet::new(Requirements::default()).with_address(address(1), 1);
    for number in 1..4 {
        fleet.apply_platform_row(now, &format!("t-{number}"), Some(row(number, "a")), 1);
    }
    fleet.record_platform_sync(now, 1);
    assert_eq!(fleet.change_log().last_number(), 0);
    assert_eq!(fleet.take_listing_changes(), []);
    fleet.apply_complete_list(now, &["t-1".to_owned(), "t-2".to_owned()].into(), 5);
    assert_eq!(fleet.change_log().changes_to_report(now)[0].name, "t-3");
    let missing = |target: &str, revision, reported_by| ListingChange {
        target: target.to_owned(),
        listing: Listing::Missing,
        revision,
        reported_by,
    };
    assert_eq!(fleet.take_listing_changes(), [missing("t-3", 5, None)]);
    let change = Change { number: 1, name: "t-2".to_owned(), revision: 6, entry: Entry::Removed };
    fleet.apply_report(
        now,
        address(2),
        Report { last_change: 1, changes: vec![change], ..report(7, 1) },
    );
    assert_eq!(
        fleet.take_listing_changes(),
        [missing("t-2", 6, Some(address(2)))],
        "changes announced by another router are included"
    );
}

#[test]
fn a_report_stays_within_its_size_and_includes_all_removals() {
    let now = Instant::now();
    let mut change_log = ChangeLog::default();
    change_log.record_sync(now, 1, true);
    for number in 0..20 {
        change_log.record_change(now, &format!("new-{number}"), 2, Some(row(number, "a")));
        change_log.record_change(now, &format!("gone-{number}"), 3, None);
    }
    let size = |changes: &[Change]| changes.iter().map(|change| change.entry.size()).sum::<usize>();
    let changes = change_log.changes_to_report(now);
    assert!(size(&changes) <= MAX_CHANGES_SIZE);
    assert_eq!(changes.iter().filter(|change| change.entry == Entry::Removed).count(), 20);
    let leaving = common::cluster::leaving_row(row(1, "a"));
    assert_eq!(Entry::from_row(Some(leaving)), Entry::Leaving);
}

#[test]
fn a_target_announced_as_leaving_keeps_the_rest_of_its_row() {
    let now = Instant::now();
    let mut fleet = Fleet::new(Requirements::default()).with_address(address(1), 1);
    fleet.apply_row(now, "t", row(1, "a"), 1);
    let change = |name: &str| Change {
        number: 1,
        name: name.to_owned(),
        revision: 2,
        entry: Entry::Leaving,
    };
    let changes = vec![change("t"), change("unknown")];
    fleet.apply_report(now, address(2), Report { last_change: 2, changes, ..report(7, 1) });
    let listed: Vec<Row> = fleet.listed_targets().map(|(_, row, _)| row.clone()).collect();
    assert_eq!(listed, [common::cluster::leaving_row(row(1, "a"))]);
}

#[test]
fn a_change_that_takes_a_target_out_of_use_is_reported_immediately_and_once_more() {
    let now = Instant::now();
    let mut change_log = ChangeLog::default();
    change_log.record_sync(now, 1, true);
    change_log.record_change(now, "new", 2, Some(row(1, "a")));
    assert!(!change_log.is_report_due());
    change_log.record_change(now, "gone", 3, None);
    for _ in 0..2 {
        assert!(change_log.is_report_due());
        change_log.changes_to_report(now);
    }
    assert!(!change_log.is_report_due());
}

#[test]
fn routers_replace_lost_pollers_one_after_the_other() {
    let start = Instant::now();
    let mut now = start;
    let max_response_age = Times::new(Requirements::default().drain, 1).max_response_age;
    let mut fleets: Vec<Fleet> = (1..30)
        .map(|host| Fleet::new(Requirements::default()).with_address(address(host), 1))
        .collect();
    for (own, fleet) in (1..).zip(&mut fleets) {
        fleet.record_platform_sync(now, 1);
        for host in (1..30).filter(|host| *host != own) {
            let span = (host < 3).then_some(Span { from: 1, to: 1 });
            fleet.apply_report(now, address(host), Report { span, ..report(1, 1) });
        }
    }
    // The first two routers, the pollers, send no reports from now on. The others report, but are
    // no pollers.
    let count_polling = |fleets: &[Fleet], now: Instant| {
        let polls = |fleet: &&Fleet| fleet.next_poll(now, now - start) == Next::Poll;
        fleets[2..].iter().filter(polls).count()
    };
    assert_eq!(count_polling(&fleets, now), 0);
    now += max_response_age + Duration::from_millis(100);
    for (own, fleet) in (1..).zip(&mut fleets) {
        for host in (3..30).filter(|host| *host != own) {
            fleet.apply_report(now, address(host), report(1, 2));
        }
    }
    let first = count_polling(&fleets, now);
    assert!((1..=4).contains(&first), "{first} routers poll at the same time");
    now += Duration::from_millis(300);
    assert_eq!(count_polling(&fleets, now), 27, "no router has reported that it polls");
}

#[test]
fn a_poller_reports_in_time_whatever_the_number_of_routers() {
    let now = Instant::now();
    let mut fleet = Fleet::new(Requirements::default()).with_address(address(1), 1);
    let others = 299;
    assert_eq!(fleet.report_pause(now, 100, others), report::MAX_PERIOD);
    fleet.record_platform_sync(now, 1);
    let pause = fleet.report_pause(now, 100, others);
    assert!(pause <= Requirements::default().drain.mul_f64(0.15), "{pause:?}");
    fleet.apply_report(
        now,
        address(0),
        Report { span: Some(Span { from: 1, to: 1 }), ..report(1, 1) },
    );
    assert_eq!(
        fleet.report_pause(now, 100, others),
        pause,
        "a router after one other poller is a poller as well"
    );
}

#[test]
fn idle_polls_read_few_bytes() {
    let drain = Duration::from_secs(3);
    for targets in [3, 120, 600, 3_000] {
        let idle_pause = Times::new(drain, targets).idle_pause;
        // A row has about 300 bytes. Idle polls may read a quarter of the 4,096 bytes per second
        // that are the users' goal for control traffic.
        assert!(
            targets as f64 * 300.0 / idle_pause.as_secs_f64() <= 4096.0 / 4.0,
            "{targets} targets"
        );
    }
}

#[test]
fn changes_that_take_a_target_out_of_use_are_reported_first() {
    let start = Instant::now();
    let mut change_log = ChangeLog::default();
    change_log.record_sync(start, 1, true);
    for number in 0..MAX_CHANGES_SIZE * 2 {
        change_log.record_change(start, &format!("new-{number}"), 1, Some(row(1, "a")));
    }
    change_log.record_change(start, "gone", 2, None);
    assert_eq!(change_log.changes_to_report(start)[0].name, "gone");
    assert!(
        change_log.changes_to_report(start).iter().all(|change| change.name != "gone"),
        "the next report has other changes"
    );
}
