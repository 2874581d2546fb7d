//! The platform's store away: entries lapse, and come back, or a router was cut off alone.

mod common;

use std::time::Duration;

use common::routers::{Routers, address, name, prompt, request, row};
use cornelpass_core::fleet::EXPIRED_ENTRY_GRACE;
use cornelpass_core::report::Report;
use cornelpass_core::request::RetrySafety;

const AWAY: Duration = Duration::from_secs(5);

/// A router whose targets are all missing, some time after the store came back.
fn missing(told_others: bool) -> Routers {
    let mut fleet = Routers::new(1, 3);
    fleet.advance(AWAY);
    let now = fleet.now;
    let router = &mut fleet.fleets[0];
    // Where others were told as well, one of them heard the platform a moment before this router did.
    for (sequence, ago_ms) in [(1, 4_000), (2, 2_700), (3, 1_300), (4, 100)] {
        if told_others || ago_ms == 100 {
            let at = now - Duration::from_millis(ago_ms);
            let report = Report { incarnation: 9, sequence, listed_ms: 50, ..Report::default() };
            router.apply_report(at, address(9), report);
        }
    }
    router.record_platform_return(now, AWAY);
    router.apply_complete_list(now, &[].into(), 100);
    fleet
}

fn serves(fleet: &mut Routers) -> bool {
    let request = request(fleet.now, RetrySafety::AtMostOnce, Some(prompt(0, 0, 0)));
    fleet.send(0, &request, Duration::from_millis(1)).is_ok()
}

#[test]
fn entries_that_lapsed_are_used_until_they_should_be_back() {
    let mut fleet = missing(false);
    assert!(serves(&mut fleet));
    fleet.advance(EXPIRED_ENTRY_GRACE);
    assert!(!serves(&mut fleet));
}

#[test]
fn an_entry_that_is_back_stays() {
    let mut fleet = missing(false);
    let now = fleet.now;
    fleet.fleets[0].apply_row(now, &name(0), row(0, "a"), 101);
    fleet.advance(EXPIRED_ENTRY_GRACE);
    assert!(serves(&mut fleet));
}

#[test]
fn entries_do_not_lapse_while_the_store_tells_other_routers() {
    let mut fleet = missing(true);
    assert!(!serves(&mut fleet));
}

#[test]
fn an_entry_that_went_before_the_store_did_is_gone() {
    let mut fleet = Routers::new(1, 1);
    let now = fleet.now;
    fleet.fleets[0].apply_removal(now, &name(0), 100);
    fleet.advance(AWAY);
    let now = fleet.now;
    fleet.fleets[0].record_platform_return(now, AWAY);
    assert!(!serves(&mut fleet));
}

#[test]
fn an_older_entry_does_not_bring_a_target_back() {
    let mut fleet = Routers::new(1, 1);
    let now = fleet.now;
    let router = &mut fleet.fleets[0];
    assert!(router.apply_removal(now, &name(0), 100));
    assert!(!router.apply_row(now, &name(0), row(0, "a"), 99));
    assert!(!serves(&mut fleet));
}
