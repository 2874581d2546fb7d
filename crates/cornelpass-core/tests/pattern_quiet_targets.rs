//! Busy targets that turn requests away and name a time for which they want nothing.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::time::Duration;

use common::routers::{Routers, fresh, name, request};
use cornelpass_core::fleet::health::Outcome;
use cornelpass_core::fleet::notice::{Change, MAX_PAUSE, Notice};
use cornelpass_core::history::{FailedAttempt, Next};
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::request::RetrySafety;

const LASTS: Duration = Duration::from_millis(50);

const fn rest(time: Duration) -> Notice {
    Notice { leaving: false, pause: Some(time) }
}

fn goes_to(fleet: &mut Routers, count: u64) -> Vec<String> {
    let mut targets = Vec::new();
    for number in 0..count {
        fleet.advance(Duration::from_millis(10));
        let mut request = request(fleet.now, RetrySafety::Idempotent, None);
        request.id = format!("r-{number}");
        targets.push(fleet.send(0, &request, LASTS).unwrap().target);
    }
    targets
}

#[test]
fn a_target_that_wants_nothing_gets_nothing_until_its_time_is_over() {
    let mut fleet = Routers::new(1, 3);
    let now = fleet.now;
    assert_eq!(fleet.fleets[0].apply_notice(now, &name(0), rest(LASTS * 20)), Change::Paused);
    assert!(!goes_to(&mut fleet, 99).contains(&name(0)));
    fleet.advance(Duration::from_millis(20));
    assert!(goes_to(&mut fleet, 30).contains(&name(0)));
}

#[test]
fn a_shorter_wish_does_not_end_a_longer_one() {
    let mut fleet = Routers::new(1, 3);
    let now = fleet.now;
    fleet.fleets[0].apply_notice(now, &name(0), rest(Duration::from_secs(2)));
    fleet.fleets[0].apply_notice(now, &name(0), rest(Duration::from_millis(100)));
    assert!(!goes_to(&mut fleet, 150).contains(&name(0)));
}

#[test]
fn a_trial_of_a_doubted_target_waits_for_its_time_as_well() {
    let mut fleet = Routers::new(1, 2);
    let now = fleet.now;
    let router = &mut fleet.fleets[0];
    for number in 0..2 {
        let ticket = router.record_sent(now, &name(number), 1);
        router.record_end(now, &name(number), ticket, Some(Outcome::Unreachable));
    }
    router.apply_notice(now, &name(0), rest(Duration::from_secs(3)));
    fleet.advance(Duration::from_millis(900));
    assert!(!goes_to(&mut fleet, 30).contains(&name(0)));
}

#[test]
fn where_all_want_nothing_the_caller_learns_at_once_when_the_first_one_is_free() {
    let mut fleet = Routers::new(1, 3);
    let now = fleet.now;
    for (number, seconds) in [(0, 4), (1, 2), (2, 7)] {
        fleet.fleets[0].apply_notice(now, &name(number), rest(Duration::from_secs(seconds)));
    }
    fleet.advance(Duration::from_millis(500));
    let request = request(fleet.now, RetrySafety::Idempotent, None);
    let refusal = fleet.send(0, &request, LASTS).unwrap_err();
    assert_eq!(
        (refusal.reason, refusal.retry_after),
        (Reason::Overloaded, Duration::from_millis(1_500))
    );
}

#[test]
fn a_wish_without_measure_is_bounded() {
    let mut fleet = Routers::new(1, 1);
    let now = fleet.now;
    fleet.fleets[0].apply_notice(now, &name(0), rest(Duration::MAX));
    let refusal = fleet.send(0, &request(now, RetrySafety::Idempotent, None), LASTS).unwrap_err();
    assert_eq!(refusal.retry_after, MAX_PAUSE);
}

#[test]
fn a_new_start_takes_the_wish_back() {
    let mut fleet = Routers::new(1, 2);
    let now = fleet.now;
    fleet.fleets[0].apply_notice(now, &name(0), rest(Duration::from_secs(60)));
    let row = common::routers::row(0, "a");
    let row = cornelpass_core::fleet::Row { started_ms: Some(2), ..row };
    fleet.fleets[0].apply_row(now, &name(0), row, 100);
    assert!(goes_to(&mut fleet, 30).contains(&name(0)));
}

#[test]
fn a_retry_goes_to_another_target() {
    let mut fleet = Routers::new(1, 2);
    let request = request(fleet.now, RetrySafety::Idempotent, None);
    let now = fleet.now;
    let first = fleet.find(0, &request, &fresh(&request)).unwrap().0.target;
    fleet.fleets[0].apply_notice(now, &first, rest(Duration::from_secs(1)));
    let mut history = fresh(&request);
    let ended = FailedAttempt {
        execution: Execution::NotRun,
        reached_target: true,
        answer_started: false,
        target_error: false,
    };
    assert_eq!(history.record_failure(&first, ended), Next::Retry { charged: true });
    let second = fleet.find(0, &request, &history).unwrap().0.target;
    assert_ne!(first, second);
}
