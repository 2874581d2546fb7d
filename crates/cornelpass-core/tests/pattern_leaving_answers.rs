//! Targets that say in their answers that they leave, while the list still shows them as ready.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::time::Duration;

use common::routers::{Routers, name, prompt, request, row};
use cornelpass_core::fleet::notice::{Change, Notice};
use cornelpass_core::fleet::{Fleet, Row};
use cornelpass_core::refusal::Reason;
use cornelpass_core::request::RetrySafety;

const LASTS: Duration = Duration::from_millis(50);

const LEAVING: Notice = Notice { leaving: true, pause: None };

/// Where requests of a router go, for prompts that nobody has read.
fn sent(fleet: &mut Routers, router: usize, count: u64) -> Vec<String> {
    let mut targets = Vec::new();
    for _ in 0..count {
        fleet.advance(Duration::from_millis(60));
        let own = fleet.sent.len() as u64;
        let request = request(fleet.now, RetrySafety::AtMostOnce, Some(prompt(0, own, own)));
        targets.push(fleet.send(router, &request, LASTS).unwrap().target);
    }
    targets
}

fn list(fleet: &mut Fleet, now: std::time::Instant, row: Row, revision: u64) {
    fleet.apply_row(now, &name(0), row, revision);
}

#[test]
fn nothing_new_goes_to_a_target_whose_answer_says_that_it_leaves() {
    let mut fleet = Routers::new(1, 3);
    assert!(sent(&mut fleet, 0, 30).contains(&name(0)));
    let now = fleet.now;
    assert_eq!(fleet.fleets[0].apply_notice(now, &name(0), LEAVING), Change::Leaving);
    assert_eq!(fleet.fleets[0].apply_notice(now, &name(0), LEAVING), Change::Unchanged);
    assert!(!sent(&mut fleet, 0, 30).contains(&name(0)));
}

#[test]
fn an_entry_that_still_says_ready_does_not_take_it_back_and_a_new_start_does() {
    let mut fleet = Routers::new(1, 3);
    let now = fleet.now;
    fleet.fleets[0].apply_notice(now, &name(0), LEAVING);
    // A delayed write of the target shows it as ready once more.
    list(&mut fleet.fleets[0], now, row(0, "a"), 100);
    assert!(!sent(&mut fleet, 0, 30).contains(&name(0)));
    // It lapses and is written again.
    let now = fleet.now;
    fleet.fleets[0].apply_removal(now, &name(0), 101);
    list(&mut fleet.fleets[0], now, row(0, "a"), 102);
    assert!(!sent(&mut fleet, 0, 30).contains(&name(0)));
    let now = fleet.now;
    list(&mut fleet.fleets[0], now, Row { started_ms: Some(2), ..row(0, "a") }, 103);
    assert!(sent(&mut fleet, 0, 30).contains(&name(0)));
}

#[test]
fn a_request_that_only_leaving_targets_serve_is_refused_at_once() {
    let mut fleet = Routers::new(1, 2);
    let now = fleet.now;
    for number in 0..2 {
        fleet.fleets[0].apply_notice(now, &name(number), LEAVING);
    }
    let request = request(now, RetrySafety::AtMostOnce, None);
    let refusal = fleet.send(0, &request, LASTS).unwrap_err();
    assert_eq!(refusal.reason, Reason::NoTarget);
}

#[test]
fn the_other_routers_are_told_of_a_target_that_leaves() {
    let mut fleet = Routers::new(3, 3);
    let now = fleet.now;
    fleet.fleets[1].apply_notice(now, &name(0), LEAVING);
    fleet.report();
    for router in [0, 2] {
        assert!(!sent(&mut fleet, router, 30).contains(&name(0)), "router {router}");
    }
}

#[test]
fn what_is_told_of_an_earlier_start_is_no_word_about_the_next_one() {
    let mut fleet = Routers::new(2, 3);
    let now = fleet.now;
    list(&mut fleet.fleets[1], now, Row { started_ms: Some(2), ..row(0, "a") }, 100);
    fleet.fleets[0].apply_notice(now, &name(0), LEAVING);
    fleet.report();
    assert!(sent(&mut fleet, 1, 30).contains(&name(0)));
}
