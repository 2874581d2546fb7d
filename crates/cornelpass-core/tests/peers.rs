//! Reports between routers: who is there, what still counts, and how often they are sent.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::routers::row;
use cornelpass_core::fleet::lookout::{self, LOOKOUTS, Lookout};
use cornelpass_core::peers::{FORGET_TIMEOUT, MEMBER_TIMEOUT, News, Peers};
use cornelpass_core::report::{self, CHANGE_LIMIT, Change, Report};

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
    let mut take =
        |now, incarnation, sequence| peers.take(now, address(1), report(incarnation, sequence));
    assert_eq!(take(now, 1, 1), News::Joined);
    assert_eq!(take(now, 1, 2), News::Usual);
    assert_eq!(take(now, 1, 2), News::Stale);
    assert_eq!(take(now, 2, 1), News::Joined);
    now += Duration::from_secs(5);
    assert_eq!(take(now, 2, 2), News::Returned);
}

#[test]
fn what_a_silent_router_told_does_not_count_but_it_stays_a_member() {
    let start = Instant::now();
    let mut peers = Peers::new();
    peers.take(start, address(1), report(1, 1));
    peers.take(start, address(2), report(1, 1));
    assert_eq!(peers.reports(start).count(), 2);
    let later = start + Duration::from_secs(2);
    peers.take(later, address(2), report(1, 2));
    assert_eq!(peers.reports(later).map(|report| report.sequence).collect::<Vec<_>>(), [2]);
    assert_eq!(peers.lost(later), [address(1)]);
    assert_eq!(peers.lost(later), []);
    assert_eq!(peers.members(later), 3);
    assert_eq!(peers.members(start + MEMBER_TIMEOUT), 2);
}

#[test]
fn a_router_is_not_its_own_peer() {
    let now = Instant::now();
    let mut peers = Peers::of(address(1));
    peers.name(now, address(1));
    assert_eq!(peers.take(now, address(1), report(1, 1)), News::Stale);
    assert_eq!((peers.members(now), peers.reports(now).count()), (1, 0));
}

#[test]
fn a_router_that_is_not_heard_of_is_forgotten() {
    let start = Instant::now();
    let mut peers = Peers::new();
    peers.name(start, address(1));
    peers.lost(start + FORGET_TIMEOUT);
    assert_eq!(peers.addresses().count(), 0);
}

#[test]
fn what_a_router_sends_stays_within_its_bytes() {
    for (length, others) in [(40, 3), (120, 27), (200, 23), (90, 92)] {
        let period = report::period(length, others);
        let bytes = ((length + 28) * others) as f64 / period.as_secs_f64();
        let slowest = period == report::MAX_PERIOD;
        assert!(bytes <= f64::from(report::BYTES_PER_SECOND) || slowest, "{bytes}");
        assert!(period >= report::MIN_PERIOD);
    }
}

#[test]
fn the_first_routers_by_address_ask_often() {
    let now = Instant::now();
    let listed = |listed_ms| Report { listed_ms, ..report(1, 1) };
    let often = |own: u8, others: &[(u8, u16)]| {
        let mut peers = Peers::new();
        for (host, listed_ms) in others {
            peers.take(now, address(*host), listed(*listed_ms));
        }
        lookout::asks_often(now, address(own), &peers)
    };
    assert_eq!(LOOKOUTS, 2);
    assert!(often(1, &[(2, 100), (3, 100), (4, 100)]));
    assert!(often(2, &[(1, 100), (3, 100), (4, 100)]));
    assert!(!often(3, &[(1, 100), (2, 100), (4, 100)]));
    assert!(often(3, &[(1, 100), (2, 9_000), (4, 100)]));
    assert!(often(9, &[]));
}

#[test]
fn changes_are_told_in_turn_and_for_a_while() {
    let start = Instant::now();
    let mut lookout = Lookout::default();
    let count = CHANGE_LIMIT * 2 + 1;
    for number in 0..count {
        let name = format!("t-{number}");
        lookout.changed(start, &name, number as u64, None);
    }
    let mut told = std::collections::BTreeSet::new();
    for _ in 0..3 {
        let news = lookout.news(start);
        assert!(news.len() <= CHANGE_LIMIT);
        told.extend(news.into_iter().map(|change| change.name));
    }
    assert_eq!(told.len(), count);
    assert!(lookout.news(start + Duration::from_secs(3)).is_empty());
}

fn told(sequence: u32, changed: u32, numbers: &[u32]) -> Report {
    let change =
        |number: &u32| Change { number: *number, name: String::new(), revision: 1, row: None };
    let changes = numbers.iter().map(change).collect();
    Report { incarnation: 1, sequence, changed, changes, ..Report::default() }
}

#[test]
fn changes_that_did_not_arrive_are_missed_until_the_platform_tells_them() {
    let start = Instant::now();
    let limit = Duration::from_millis(800);
    let mut peers = Peers::new();
    peers.take(start, address(1), told(1, 4, &[4]));
    peers.take(start, address(1), told(2, 6, &[6]));
    assert!(!peers.miss_changes(start, limit), "it has not been missing for long");
    assert!(peers.miss_changes(start + limit, limit));
    peers.take(start, address(1), told(3, 6, &[5]));
    assert!(!peers.miss_changes(start + limit, limit), "all have arrived, in another order");
    peers.take(start, address(1), told(4, 9, &[]));
    assert!(peers.miss_changes(start + limit, limit));
    peers.caught_up();
    assert!(!peers.miss_changes(start + limit, limit));
}

#[test]
fn a_router_that_starts_again_counts_its_changes_anew() {
    let start = Instant::now();
    let mut peers = Peers::new();
    peers.take(start, address(1), told(1, 40, &[]));
    peers.take(start, address(1), Report { incarnation: 2, ..told(1, 2, &[]) });
    assert!(!peers.miss_changes(start + Duration::from_secs(9), Duration::ZERO));
}

#[test]
fn targets_that_leave_are_told_first() {
    let start = Instant::now();
    let mut lookout = Lookout::default();
    for number in 0..CHANGE_LIMIT * 2 {
        lookout.changed(start, &format!("new-{number}"), 1, Some(row(1, "a")));
    }
    lookout.changed(start, "gone", 2, None);
    assert_eq!(lookout.news(start)[0].name, "gone");
    assert!(
        lookout.news(start).iter().all(|change| change.name != "gone"),
        "others have their turn"
    );
}
