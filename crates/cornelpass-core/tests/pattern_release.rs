//! A release: targets are replaced one after the other, and their prompts move once each.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::time::Duration;

use common::routers::{Routers, name, prompt, request, row};
use cornelpass_core::fleet::{Choice, State};
use cornelpass_core::request::RetrySafety;

const LASTS: Duration = Duration::from_millis(50);

/// Sends one request for each of some dossiers.
fn round(fleet: &mut Routers, leaves: std::ops::Range<u64>) -> Vec<Choice> {
    let mut choices = Vec::new();
    for leaf in leaves {
        fleet.advance(Duration::from_millis(60));
        fleet.report();
        let request = request(fleet.now, RetrySafety::AtMostOnce, Some(prompt(0, leaf, leaf)));
        let router = leaf as usize % fleet.fleets.len();
        choices.push(fleet.send(router, &request, LASTS).unwrap());
    }
    choices
}

fn moved(before: &[Choice], after: &[Choice]) -> usize {
    before.iter().zip(after).filter(|(before, after)| before.target != after.target).count()
}

#[test]
fn a_target_that_is_added_takes_no_prompt_from_its_home() {
    let mut fleet = Routers::new(2, 9);
    let before = round(&mut fleet, 0..20);
    let now = fleet.now;
    for router in &mut fleet.fleets {
        router.apply_row(now, "new", row(99, "a"), 100);
    }
    let after = round(&mut fleet, 0..20);
    assert_eq!(moved(&before, &after), 0);
}

#[test]
fn prompts_of_a_leaving_target_move_inside_its_data_centre_and_are_fetched() {
    let mut fleet = Routers::new(2, 9);
    let before = round(&mut fleet, 0..40);
    let leaving = before[0].target.clone();
    let now = fleet.now;
    let number: u8 = leaving.trim_start_matches("t-").parse().unwrap();
    let data_centre = ["a", "b", "c"][usize::from(number) % 3];
    let entry = row(number, data_centre);
    for router in &mut fleet.fleets {
        router.apply_row(now, &leaving, common::routers::leaving(entry.clone()), 100);
    }
    let after = round(&mut fleet, 0..40);
    for (before, after) in before.iter().zip(&after) {
        if before.target != leaving {
            assert_eq!(before.target, after.target);
            continue;
        }
        let to: usize = after.target.trim_start_matches("t-").parse().unwrap();
        assert_eq!(["a", "b", "c"][to % 3], data_centre, "{after:?}");
        assert_eq!(after.fetch.as_ref().map(|fetch| fetch.address), Some(entry.address));
    }
}

#[test]
fn nothing_goes_to_a_target_that_leaves_or_whose_data_centre_is_out() {
    let mut fleet = Routers::new(1, 3);
    let now = fleet.now;
    let router = &mut fleet.fleets[0];
    router.apply_row(now, &name(0), common::routers::leaving(row(0, "a")), 100);
    assert!(router.set_closed_data_centres(["b".to_owned()].into()));
    assert!(!router.set_closed_data_centres(["b".to_owned()].into()), "the same as before");
    let choices = round(&mut fleet, 0..20);
    assert!(choices.iter().all(|choice| choice.target == name(2)), "{choices:?}");
    assert_eq!(row(0, "a").state, State::Ready);
}
