//! A data centre that comes back cold: its targets bear little, whoever sends it.

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::routers::{BOUNDS, Routers, SERVICE, name, prompt, request, row};
use cornelpass_core::fleet::Row;
use cornelpass_core::request::RetrySafety;

/// Requests a second that a cold target bears.
const COLD_RATE: f64 = 13.0;

fn cold(row: Row) -> Row {
    Row { cold_left: Duration::from_secs(3), ..row }
}

/// Most requests to one target in any second.
fn most_in_a_second(sent: &BTreeMap<String, Vec<Instant>>) -> usize {
    let busiest = |times: &Vec<Instant>| {
        let within = |at: &Instant| {
            let second = |other: &&Instant| {
                **other >= *at && other.duration_since(*at) < Duration::from_secs(1)
            };
            times.iter().filter(second).count()
        };
        times.iter().map(within).max().unwrap_or(0)
    };
    sent.values().map(busiest).max().unwrap_or(0)
}

fn play(routers: usize) -> usize {
    let mut fleet = Routers::new(routers, 3);
    let now = fleet.now;
    for router in &mut fleet.fleets {
        router.set_cold_rates([(SERVICE.to_owned(), COLD_RATE)].into());
        for number in 0..3 {
            router.apply_row(now, &name(number), cold(row(number, "a")), 100);
        }
    }
    let mut sent: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
    for number in 0..600 {
        fleet.advance(Duration::from_millis(4));
        if number % 25 == 0 {
            fleet.report();
        }
        let request =
            request(fleet.now, RetrySafety::AtMostOnce, Some(prompt(0, number % 7, number)));
        let router = number as usize % routers;
        if let Ok(choice) = fleet.send(router, &request, Duration::from_millis(100)) {
            sent.entry(choice.target).or_default().push(fleet.now);
        }
    }
    most_in_a_second(&sent)
}

#[test]
fn a_cold_target_gets_no_more_than_it_bears() {
    let bound = COLD_RATE * BOUNDS.cold_over + f64::from(BOUNDS.cold_slack);
    for routers in [1, 4, 7] {
        let most = play(routers);
        assert!(most as f64 <= bound, "{most} from {routers} routers");
        assert!(most >= 4, "{most} from {routers} routers");
    }
}

#[test]
fn many_routers_use_what_a_cold_target_bears() {
    // The part of each router is one request in seven seconds; together they send what it bears.
    let most = play(68);
    let bound = COLD_RATE * BOUNDS.cold_over + f64::from(BOUNDS.cold_slack);
    assert!(most as f64 <= bound, "{most}");
    assert!(most as f64 >= COLD_RATE / 2.0, "{most}");
}

#[test]
fn a_warm_target_has_no_such_limit() {
    let mut fleet = Routers::new(1, 1);
    fleet.fleets[0].set_cold_rates([(SERVICE.to_owned(), COLD_RATE)].into());
    for number in 0..100 {
        fleet.advance(Duration::from_millis(4));
        let request = request(fleet.now, RetrySafety::AtMostOnce, Some(prompt(0, 0, number)));
        assert!(fleet.send(0, &request, Duration::from_millis(1)).is_ok());
    }
}
