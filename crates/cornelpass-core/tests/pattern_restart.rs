//! All routers are lost at once: their successors place prompts where their parts are.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::time::Duration;

use common::routers::{Routers, name, prompt, request, row};
use cornelpass_core::fleet::Row;
use cornelpass_core::fleet::State;
use cornelpass_core::request::RetrySafety;

const LASTS: Duration = Duration::from_millis(50);

/// Sends one request for each of some dossiers to the first router; returns where they went.
fn homes(fleet: &mut Routers) -> Vec<String> {
    let mut homes = Vec::new();
    for leaf in 0..40 {
        fleet.advance(Duration::from_millis(60));
        let request = request(fleet.now, RetrySafety::AtMostOnce, Some(prompt(0, leaf, leaf)));
        homes.push(fleet.send(0, &request, LASTS).unwrap().target);
    }
    homes
}

/// Replaces a target by a new one, as a release does.
fn replace(fleet: &mut Routers, old: u8, new: u8) {
    let now = fleet.now;
    for router in &mut fleet.fleets {
        let leaving = Row { state: State::Leaving, ..row(old, "a") };
        router.apply_row(now, &name(old), leaving, 100);
        router.apply_row(now, &name(new), row(new, "a"), 101);
    }
}

#[test]
fn fresh_routers_use_the_homes_that_were_kept() {
    let mut fleet = Routers::new(1, 9);
    homes(&mut fleet);
    replace(&mut fleet, 0, 20);
    replace(&mut fleet, 3, 23);
    let before = homes(&mut fleet);
    let kept = fleet.fleets[0].cache_index().entries(4_096);

    let mut fresh = Routers::new(1, 9);
    replace(&mut fresh, 0, 20);
    replace(&mut fresh, 3, 23);
    let now = fresh.now;
    fresh.fleets[0].cache_index().restore(now, &kept);
    assert_eq!(homes(&mut fresh), before);
}

#[test]
fn the_list_is_bounded_and_does_not_replace_what_is_known() {
    let mut fleet = Routers::new(1, 9);
    homes(&mut fleet);
    assert_eq!(fleet.fleets[0].cache_index().entries(10).len(), 10);
    let known = fleet.fleets[0].cache_index().entries(4_096);
    let now = fleet.now;
    fleet.fleets[0].cache_index().restore(now, &known);
    assert_eq!(fleet.fleets[0].cache_index().entries(4_096), known);
}
