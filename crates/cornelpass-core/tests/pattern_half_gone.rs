//! Half of a service gone: dark, silent or failing targets are left, and tried again.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::routers::{BOUNDS, Routers, fresh, name, prompt, request};
use cornelpass_core::fleet::health::{
    FAILURE_WINDOW, FIRST_BACKOFF, Health, MIN_FAILURES, Outcome, RESPONSE_TIMEOUT, Standing,
};
use cornelpass_core::fleet::load::{Loads, STALL_TIMEOUT};
use cornelpass_core::request::RetrySafety;
use std::time::Instant;

/// Ends a request at a target at once.
fn end(fleet: &mut Routers, target: &str, outcome: Outcome) {
    let now = fleet.now;
    let ticket = fleet.fleets[0].record_sent(now, target, 1);
    fleet.fleets[0].record_end(now, target, ticket, Some(outcome));
}

fn choice(fleet: &mut Routers, repeat: RetrySafety, leaf: u64) -> String {
    let request = request(fleet.now, repeat, Some(prompt(0, leaf, 0)));
    fleet.find(0, &request, &fresh(&request)).unwrap().0.target
}

fn used(fleet: &mut Routers, repeat: RetrySafety) -> BTreeSet<String> {
    (0..60).map(|leaf| choice(fleet, repeat, leaf)).collect()
}

#[test]
fn dark_targets_get_nothing_at_once_and_a_trial_later() {
    let mut fleet = Routers::new(1, 6);
    for number in 0..3 {
        end(&mut fleet, &name(number), Outcome::Unreachable);
    }
    let sound: BTreeSet<String> = (3..6).map(name).collect();
    assert_eq!(used(&mut fleet, RetrySafety::AtMostOnce), sound);
    fleet.advance(FIRST_BACKOFF);
    assert_eq!(used(&mut fleet, RetrySafety::AtMostOnce), sound);
    assert_eq!(used(&mut fleet, RetrySafety::Resumable).len(), 6);
}

#[test]
fn a_whole_service_that_is_dark_is_still_tried() {
    let mut fleet = Routers::new(1, 2);
    for number in 0..2 {
        end(&mut fleet, &name(number), Outcome::Unreachable);
    }
    choice(&mut fleet, RetrySafety::AtMostOnce, 0);
}

#[test]
fn a_single_failure_moves_nothing() {
    let mut fleet = Routers::new(1, 4);
    let home = choice(&mut fleet, RetrySafety::AtMostOnce, 0);
    end(&mut fleet, &home, Outcome::Failed);
    assert_eq!(choice(&mut fleet, RetrySafety::AtMostOnce, 0), home);
}

#[test]
fn a_target_that_fails_a_part_of_its_requests_is_avoided() {
    let mut fleet = Routers::new(1, 4);
    let home = choice(&mut fleet, RetrySafety::AtMostOnce, 0);
    for _ in 0..MIN_FAILURES {
        end(&mut fleet, &home, Outcome::Answered);
        end(&mut fleet, &home, Outcome::Failed);
    }
    assert_ne!(choice(&mut fleet, RetrySafety::AtMostOnce, 0), home);
}

#[test]
fn sound_targets_are_not_crushed_by_the_work_of_failing_ones() {
    let mut fleet = Routers::new(1, 9);
    for number in 0..6 {
        for _ in 0..MIN_FAILURES {
            end(&mut fleet, &name(number), Outcome::Failed);
        }
    }
    for leaf in 0..90 {
        let request = request(fleet.now, RetrySafety::AtMostOnce, Some(prompt(0, leaf, leaf)));
        let mean = fleet.mean(9);
        let choice = fleet.send(0, &request, Duration::from_secs(1)).unwrap();
        let before = f64::from(fleet.loads[&choice.target] - 1);
        let bound = BOUNDS.load_multiple * mean + f64::from(BOUNDS.load_slack);
        assert!(before <= bound, "{before} at {}, over {bound}", choice.target);
    }
}

#[test]
fn requests_whose_answers_are_lost_do_not_count_as_load() {
    let mut loads = Loads::default();
    let start = Instant::now();
    let lost = loads.record_sent(start, "t", 1);
    let waits = loads.record_sent(start, "u", 2);
    let later = start + STALL_TIMEOUT + Duration::from_millis(1);
    assert_eq!(loads.load("t", later), 1, "nothing was heard from the target");
    let other = loads.record_sent(later, "t", 3);
    loads.record_response(later, "t", other);
    assert_eq!((loads.load("t", later), loads.load("u", later)), (1, 1));
    loads.record_response(later, "t", lost);
    assert_eq!(loads.load("t", later), 2);
    loads.record_end(later, "t", lost);
    loads.record_end(later, "u", waits);
    assert_eq!((loads.load("t", later), loads.load("u", later)), (1, 0));
}

#[test]
fn failures_that_other_routers_see_count() {
    let mut fleet = Routers::new(3, 4);
    let home = choice(&mut fleet, RetrySafety::AtMostOnce, 0);
    let now = fleet.now;
    for router in [1, 2, 1] {
        for outcome in [Outcome::Answered, Outcome::Failed] {
            let ticket = fleet.fleets[router].record_sent(now, &home, 1);
            fleet.end(router, &home, ticket, outcome);
        }
    }
    assert_ne!(choice(&mut fleet, RetrySafety::AtMostOnce, 0), home);
}

#[test]
fn a_target_without_a_sign_is_silent_until_it_gives_one() {
    let start = Instant::now();
    let mut health = Health::default();
    health.record_sent(start);
    assert_eq!(health.standing(start + RESPONSE_TIMEOUT), Standing::Good);
    let late = start + RESPONSE_TIMEOUT + Duration::from_millis(1);
    assert_eq!(health.standing(late), Standing::Unresponsive);
    health.record_response(late);
    assert_eq!(health.standing(late), Standing::Good);
}

#[test]
fn a_lost_answer_does_not_make_a_target_silent_that_answers_others() {
    let start = Instant::now();
    let mut health = Health::default();
    health.record_sent(start);
    health.record_sent(start);
    health.record_response(start + Duration::from_millis(50));
    health.record_end(start + Duration::from_millis(60), Outcome::Answered);
    assert_eq!(health.standing(start + RESPONSE_TIMEOUT * 3), Standing::Good);
}

#[test]
fn a_silent_target_is_tried_now_and_then() {
    let start = Instant::now();
    let mut health = Health::default();
    health.record_sent(start);
    let silent = start + RESPONSE_TIMEOUT + Duration::from_millis(1);
    assert_eq!(health.standing(silent), Standing::Unresponsive);
    let trial = silent + FIRST_BACKOFF;
    assert_eq!(health.standing(trial), Standing::Trial);
    health.record_sent(trial);
    assert_eq!(health.standing(trial), Standing::Unresponsive);
    assert_eq!(health.standing(trial + RESPONSE_TIMEOUT + FIRST_BACKOFF), Standing::Trial);
    health.record_end(trial, Outcome::Answered);
    assert_eq!(health.standing(trial + RESPONSE_TIMEOUT * 3), Standing::Good);
}

#[test]
fn an_idle_target_is_not_silent() {
    let start = Instant::now();
    let mut health = Health::default();
    health.record_sent(start);
    health.record_end(start, Outcome::Answered);
    assert_eq!(health.standing(start + RESPONSE_TIMEOUT * 5), Standing::Good);
}

#[test]
fn holds_grow_while_trials_fail_and_end_with_an_answer() {
    let mut now = Instant::now();
    let mut health = Health::default();
    let mut holds = Vec::new();
    for _ in 0..4 {
        health.record_sent(now);
        health.record_end(now, Outcome::Unreachable);
        let begun = now;
        while health.standing(now) == Standing::Unresponsive {
            now += Duration::from_millis(50);
        }
        assert_eq!(health.standing(now), Standing::Trial);
        holds.push(now - begun);
    }
    assert!(holds.windows(2).all(|pair| pair[0] < pair[1]), "{holds:?}");
    health.record_sent(now);
    health.record_end(now, Outcome::Answered);
    assert_eq!(health.standing(now), Standing::Good);
}

#[test]
fn old_failures_do_not_count() {
    let start = Instant::now();
    let mut health = Health::default();
    for _ in 1..MIN_FAILURES {
        health.record_sent(start);
        health.record_end(start, Outcome::Failed);
    }
    let later = start + FAILURE_WINDOW + Duration::from_millis(1);
    health.record_sent(later);
    health.record_end(later, Outcome::Failed);
    assert_eq!(health.standing(later), Standing::Good);
}
