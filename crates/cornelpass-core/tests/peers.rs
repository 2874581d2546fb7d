//! Reports between routers: who is there, what still counts, and how often they are sent.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::routers::row;
use cornelpass_core::fleet::polling::{self, ChangeLog, Next, POLLERS, Times};
use cornelpass_core::fleet::{Bounds, Fleet, Listing, ListingChange, Row};
use cornelpass_core::peers::{Effect, FORGET_TIMEOUT, MEMBER_TIMEOUT, Peers};
use cornelpass_core::report::{self, Change, Entry, MAX_CHANGES_SIZE, Report, Span};

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7000))
}

fn report(incarnation: u32, sequence: u32) -> Report {
    Report { incarnation, sequence, ..Report::default() }
}

#[test]
fn a_router_joins_returns_and_starts_again() {
    let mut now = Instant::now();
    let mut peers = Peers::new();
    let mut take = |now, incarnation, sequence| {
        peers.apply_report(now, address(1), report(incarnation, sequence))
    };
    assert_eq!(take(now, 1, 1), Effect::Joined);
    assert_eq!(take(now, 1, 2), Effect::Unchanged);
    assert_eq!(take(now, 1, 2), Effect::Stale);
    assert_eq!(take(now, 2, 1), Effect::Joined);
    now += Duration::from_secs(5);
    assert_eq!(take(now, 2, 2), Effect::Returned);
}

#[test]
fn what_a_silent_router_told_does_not_count_but_it_stays_a_member() {
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
fn a_router_that_tells_seldom_is_not_lost_between_its_reports() {
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
        assert!(lost <= 1, "lost {lost} times at {period:?}");
        for _ in 0..10 {
            now += period;
            lost += peers.take_lost(now).len();
        }
        assert!(lost >= 1, "its silence goes unnoticed at {period:?}");
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
fn a_router_that_is_not_heard_of_is_forgotten() {
    let start = Instant::now();
    let mut peers = Peers::new();
    peers.add(start, address(1));
    peers.take_lost(start + FORGET_TIMEOUT);
    assert_eq!(peers.addresses().count(), 0);
}

#[test]
fn what_a_router_sends_stays_within_its_bytes() {
    for (length, others) in [(40, 3), (120, 27), (200, 23), (90, 92)] {
        let period = report::period(length, others);
        let bytes = ((length + 28) * others) as f64 / period.as_secs_f64();
        let slowest = period == report::MAX_PERIOD;
        assert!(bytes <= f64::from(report::MAX_BYTES_PER_SECOND) || slowest, "{bytes}");
        assert!(period >= report::MIN_PERIOD);
    }
}

#[test]
fn the_first_routers_by_address_ask_often() {
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
fn changes_are_told_in_turn_and_for_a_while() {
    let start = Instant::now();
    let mut change_log = ChangeLog::default();
    change_log.record_sync(start, 0, true);
    let count = MAX_CHANGES_SIZE * 2 + 1;
    for number in 0..count {
        let name = format!("t-{number}");
        change_log.record_change(start, &name, number as u64, None);
    }
    let mut told = std::collections::BTreeSet::new();
    for _ in 0..3 {
        let changes = change_log.changes_to_report(start);
        assert!(changes.len() <= MAX_CHANGES_SIZE);
        told.extend(changes.into_iter().map(|change| change.name));
    }
    assert_eq!(told.len(), count);
    assert!(change_log.changes_to_report(start + Duration::from_secs(3)).is_empty());
}

fn told(sequence: u32, last_change: u32, numbers: &[u32]) -> Report {
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
fn changes_that_did_not_arrive_are_missed_until_the_platform_tells_them() {
    let start = Instant::now();
    let limit = Duration::from_millis(800);
    let mut peers = Peers::new();
    peers.apply_report(start, address(1), told(1, 4, &[4]));
    peers.apply_report(start, address(1), told(2, 6, &[6]));
    assert!(!peers.has_missing_changes(start, limit), "it has not been missing for long");
    assert!(peers.has_missing_changes(start + limit, limit));
    peers.apply_report(start, address(1), told(3, 6, &[5]));
    assert!(!peers.has_missing_changes(start + limit, limit), "all have arrived, in another order");
    peers.apply_report(start, address(1), told(4, 9, &[]));
    assert!(peers.has_missing_changes(start + limit, limit));
    peers.record_platform_sync(start, 0);
    assert!(!peers.has_missing_changes(start + limit, limit));
}

#[test]
fn a_router_that_starts_again_counts_its_changes_anew() {
    let start = Instant::now();
    let mut peers = Peers::new();
    peers.apply_report(start, address(1), told(1, 40, &[]));
    peers.apply_report(start, address(1), Report { incarnation: 2, ..told(1, 2, &[]) });
    assert!(!peers.has_missing_changes(start + Duration::from_secs(9), Duration::ZERO));
}

/// A report of a router that has numbered all changes between two revisions, and told them.
fn spanning(sequence: u32, from: u64, to: u64) -> Report {
    Report { span: Some(Span { from, to }), ..told(sequence, 0, &[]) }
}

#[test]
fn changes_that_nobody_numbered_are_missed() {
    let start = Instant::now();
    let second = Duration::from_secs(1);
    let mut peers = Peers::new();
    assert!(peers.lacks_coverage(start, second), "nobody has told anything");
    peers.record_platform_sync(start, 10);
    assert!(!peers.lacks_coverage(start, second));
    let mut now = start + second;
    assert!(peers.lacks_coverage(now, second));
    peers.apply_report(now, address(1), spanning(1, 5, 20));
    assert!(!peers.lacks_coverage(now, second), "all up to 20 are known");
    now += second;
    peers.apply_report(now, address(2), spanning(1, 30, 30));
    assert!(peers.lacks_coverage(now, second), "nobody told what changed from 20 to 30");
    peers.apply_report(now, address(4), Report { last_change: 2, ..spanning(1, 5, 40) });
    assert!(peers.lacks_coverage(now, second), "it told two changes before it was heard");
    peers.apply_report(now, address(1), spanning(2, 5, 32));
    assert!(!peers.lacks_coverage(now, second), "the first router had numbered them");
    now += second;
    peers.apply_report(now, address(2), spanning(2, 30, 50));
    assert!(!peers.lacks_coverage(now, second), "the second one goes on from there");
    let old = Report { listed_ms: 1_000, ..spanning(3, 30, 50) };
    now += second;
    peers.apply_report(now, address(2), old);
    assert!(peers.lacks_coverage(now, second), "the platform told it no more");
}

#[test]
fn a_router_numbers_what_another_one_told_it_before_the_platform_did() {
    let now = Instant::now();
    let mut fleet = Fleet::new(Bounds::default()).with_address(address(1), 1);
    fleet.apply_row(now, "t", row(1, "a"), 1);
    fleet.record_platform_sync(now, 1);
    let change = Change { number: 1, name: "t".to_owned(), revision: 2, entry: Entry::Removed };
    fleet.apply_report(
        now,
        address(2),
        Report { last_change: 1, changes: vec![change], ..report(7, 1) },
    );
    fleet.apply_platform_entry(now, "t", None, 2);
    fleet.record_platform_sync(now, 2);
    assert_eq!(fleet.change_log().span(), Some(Span { from: 1, to: 2 }));
    let changes = fleet.change_log().changes_to_report(now);
    assert_eq!(changes.iter().map(|change| change.name.as_str()).collect::<Vec<_>>(), ["t"]);
}

#[test]
fn the_first_list_is_no_change_but_what_a_later_one_lacks_is() {
    let now = Instant::now();
    let mut fleet = Fleet::new(Bounds::default()).with_address(address(1), 1);
    for host in 1..4 {
        fleet.apply_platform_entry(now, &format!("t-{host}"), Some(row(host, "a")), 1);
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
        "also where another router tells it"
    );
}

#[test]
fn whole_entries_take_the_place_of_several_that_end() {
    let now = Instant::now();
    let mut change_log = ChangeLog::default();
    change_log.record_sync(now, 1, true);
    for host in 0..20 {
        change_log.record_change(now, &format!("new-{host}"), 2, Some(row(host, "a")));
        change_log.record_change(now, &format!("gone-{host}"), 3, None);
    }
    let length =
        |changes: &[Change]| changes.iter().map(|change| change.entry.size()).sum::<usize>();
    let changes = change_log.changes_to_report(now);
    assert!(length(&changes) <= MAX_CHANGES_SIZE);
    assert_eq!(changes.iter().filter(|change| change.entry == Entry::Removed).count(), 20);
    let leaving = common::routers::leaving(row(1, "a"));
    assert_eq!(Entry::from_row(Some(leaving)), Entry::Leaving);
}

#[test]
fn a_target_that_another_router_says_is_leaving_keeps_the_rest_of_its_entry() {
    let now = Instant::now();
    let mut fleet = Fleet::new(Bounds::default()).with_address(address(1), 1);
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
    assert_eq!(listed, [common::routers::leaving(row(1, "a"))]);
}

#[test]
fn a_target_that_leaves_is_told_at_once_and_again() {
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
fn routers_take_the_place_of_lost_ones_in_turn() {
    let start = Instant::now();
    let mut now = start;
    let max_answer_age = Times::new(Bounds::default().drain, 1).max_answer_age;
    let mut fleets: Vec<Fleet> =
        (1..30).map(|host| Fleet::new(Bounds::default()).with_address(address(host), 1)).collect();
    for (own, fleet) in (1..).zip(&mut fleets) {
        fleet.record_platform_sync(now, 1);
        for host in (1..30).filter(|host| *host != own) {
            let span = (host < 3).then_some(Span { from: 1, to: 1 });
            fleet.apply_report(now, address(host), Report { span, ..report(1, 1) });
        }
    }
    // The first two are silent from now on; the others tell something, but ask seldom.
    let asking = |fleets: &[Fleet], now: Instant| {
        let asks = |fleet: &&Fleet| fleet.next_poll(now, now - start) == Next::Poll;
        fleets[2..].iter().filter(asks).count()
    };
    assert_eq!(asking(&fleets, now), 0);
    now += max_answer_age + Duration::from_millis(100);
    for (own, fleet) in (1..).zip(&mut fleets) {
        for host in (3..30).filter(|host| *host != own) {
            fleet.apply_report(now, address(host), report(1, 2));
        }
    }
    let first = asking(&fleets, now);
    assert!((1..=4).contains(&first), "{first} routers ask at once");
    now += Duration::from_millis(300);
    assert_eq!(asking(&fleets, now), 27, "nobody has told them that it asks");
}

#[test]
fn who_asks_often_reports_in_time_for_the_others_whatever_their_number() {
    let now = Instant::now();
    let mut fleet = Fleet::new(Bounds::default()).with_address(address(1), 1);
    let others = 299;
    assert_eq!(fleet.report_pause(now, 100, others), report::MAX_PERIOD);
    fleet.record_platform_sync(now, 1);
    let pause = fleet.report_pause(now, 100, others);
    assert!(pause <= Bounds::default().drain.mul_f64(0.15), "{pause:?}");
    fleet.apply_report(
        now,
        address(0),
        Report { span: Some(Span { from: 1, to: 1 }), ..report(1, 1) },
    );
    assert_eq!(fleet.report_pause(now, 100, others), pause, "one before it is not enough");
}

#[test]
fn few_bytes_are_read_where_others_tell_of_changes() {
    let drain = Duration::from_secs(3);
    for targets in [3, 120, 600, 3_000] {
        let idle_pause = Times::new(drain, targets).idle_pause;
        assert!(targets as f64 * 300.0 / idle_pause.as_secs_f64() <= 4096.0 / 4.0, "{targets}");
    }
}

#[test]
fn targets_that_leave_are_told_first() {
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
        "others have their turn"
    );
}
