//! Half of a service gone: dark, silent or failing targets are left, and tried again.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::routers::{Routers, address, fresh, name, prompt, request};
use cornelpass_core::fleet::health::{
    FIRST_HOLD, Health, LEAST_FAILURES, Outcome, SILENCE, Standing, WINDOW,
};
use cornelpass_core::report::{Report, short};
use cornelpass_core::request::Repeat;
use std::time::Instant;

/// Ends a request at a target at once.
fn end(fleet: &mut Routers, target: &str, outcome: Outcome) {
    let now = fleet.now;
    fleet.fleets[0].sent(now, target, 1);
    fleet.fleets[0].ended(now, target, 1, Some(outcome));
}

fn choice(fleet: &mut Routers, repeat: Repeat, leaf: u64) -> String {
    let request = request(fleet.now, repeat, Some(prompt(0, leaf, 0)));
    let now = fleet.now;
    fleet.fleets[0].choose(now, &request, &fresh(&request)).unwrap().target
}

fn used(fleet: &mut Routers, repeat: Repeat) -> BTreeSet<String> {
    (0..60).map(|leaf| choice(fleet, repeat, leaf)).collect()
}

#[test]
fn dark_targets_get_nothing_at_once_and_a_trial_later() {
    let mut fleet = Routers::new(1, 6);
    for number in 0..3 {
        end(&mut fleet, &name(number), Outcome::Unreachable);
    }
    let sound: BTreeSet<String> = (3..6).map(name).collect();
    assert_eq!(used(&mut fleet, Repeat::Never), sound);
    fleet.advance(FIRST_HOLD);
    assert_eq!(used(&mut fleet, Repeat::Never), sound);
    assert_eq!(used(&mut fleet, Repeat::Rest).len(), 6);
}

#[test]
fn a_whole_service_that_is_dark_is_still_tried() {
    let mut fleet = Routers::new(1, 2);
    for number in 0..2 {
        end(&mut fleet, &name(number), Outcome::Unreachable);
    }
    choice(&mut fleet, Repeat::Never, 0);
}

#[test]
fn a_single_failure_moves_nothing() {
    let mut fleet = Routers::new(1, 4);
    let home = choice(&mut fleet, Repeat::Never, 0);
    end(&mut fleet, &home, Outcome::Failed);
    assert_eq!(choice(&mut fleet, Repeat::Never, 0), home);
}

#[test]
fn a_target_that_fails_a_part_of_its_requests_is_avoided() {
    let mut fleet = Routers::new(1, 4);
    let home = choice(&mut fleet, Repeat::Never, 0);
    for _ in 0..LEAST_FAILURES {
        end(&mut fleet, &home, Outcome::Answered);
        end(&mut fleet, &home, Outcome::Failed);
    }
    assert_ne!(choice(&mut fleet, Repeat::Never, 0), home);
}

#[test]
fn failures_that_other_routers_see_count() {
    let mut fleet = Routers::new(1, 4);
    let home = choice(&mut fleet, Repeat::Never, 0);
    let failures = vec![(short(&home), 3, 6)];
    let report = Report { incarnation: 1, sequence: 9, failures, ..Report::default() };
    let now = fleet.now;
    fleet.fleets[0].told(now, address(9), report);
    assert_ne!(choice(&mut fleet, Repeat::Never, 0), home);
}

#[test]
fn a_target_without_a_sign_is_silent_until_it_gives_one() {
    let start = Instant::now();
    let mut health = Health::default();
    health.sent(start);
    assert_eq!(health.standing(start + SILENCE), Standing::Good);
    let late = start + SILENCE + Duration::from_millis(1);
    assert_eq!(health.standing(late), Standing::Away);
    health.sign(late);
    assert_eq!(health.standing(late), Standing::Good);
}

#[test]
fn an_idle_target_is_not_silent() {
    let start = Instant::now();
    let mut health = Health::default();
    health.sent(start);
    health.ended(start, Outcome::Answered);
    assert_eq!(health.standing(start + SILENCE * 5), Standing::Good);
}

#[test]
fn holds_grow_while_trials_fail_and_end_with_an_answer() {
    let mut now = Instant::now();
    let mut health = Health::default();
    let mut holds = Vec::new();
    for _ in 0..4 {
        health.sent(now);
        health.ended(now, Outcome::Unreachable);
        let begun = now;
        while health.standing(now) == Standing::Away {
            now += Duration::from_millis(50);
        }
        assert_eq!(health.standing(now), Standing::Trial);
        holds.push(now - begun);
    }
    assert!(holds.windows(2).all(|pair| pair[0] < pair[1]), "{holds:?}");
    health.sent(now);
    health.ended(now, Outcome::Answered);
    assert_eq!(health.standing(now), Standing::Good);
}

#[test]
fn old_failures_do_not_count() {
    let start = Instant::now();
    let mut health = Health::default();
    for _ in 1..LEAST_FAILURES {
        health.sent(start);
        health.ended(start, Outcome::Failed);
    }
    let later = start + WINDOW + Duration::from_millis(1);
    health.sent(later);
    health.ended(later, Outcome::Failed);
    assert_eq!(health.standing(later), Standing::Good);
}
