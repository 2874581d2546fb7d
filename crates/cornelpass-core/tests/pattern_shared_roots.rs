//! Prompts that share their first part: many targets hold it, and each dossier after it has one home.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::time::Duration;

use common::routers::{Routers, prompt, request, row};
use cornelpass_core::fleet::Choice;
use cornelpass_core::request::RetrySafety;

const LASTS: Duration = Duration::from_millis(50);

/// Time after which a target counts as a home that prompts have had, and some more.
const SETTLED: Duration = Duration::from_secs(11);

/// Sends a request for each of some dossiers through a router, which tells nobody.
fn round(fleet: &mut Routers, router: usize, leaves: std::ops::Range<u64>) -> Vec<Choice> {
    let mut choices = Vec::new();
    for leaf in leaves {
        fleet.advance(Duration::from_millis(60));
        let request = request(fleet.now, RetrySafety::AtMostOnce, Some(prompt(0, leaf, leaf)));
        choices.push(fleet.send(router, &request, LASTS).unwrap());
    }
    choices
}

#[test]
fn a_dossier_is_fetched_from_its_former_home_though_others_are_known_to_hold_its_first_part() {
    let mut fleet = Routers::new(2, 9);
    fleet.advance(SETTLED);
    let homes = round(&mut fleet, 0, 0..60);
    // The other router has seen the first part at many targets, but none of these dossiers.
    round(&mut fleet, 1, 100..160);
    let now = fleet.now;
    fleet.fleets[1].apply_row(now, "new", row(99, "a"), 100);
    let after = round(&mut fleet, 1, 0..60);
    let moved: Vec<_> = homes.iter().zip(&after).filter(|(_, now)| now.target == "new").collect();
    assert!(!moved.is_empty());
    for (home, now) in moved {
        let fetch = now.fetch.as_ref().unwrap();
        assert_eq!((&fetch.target, fetch.tokens), (&home.target, 8_500), "{now:?}");
    }
}
