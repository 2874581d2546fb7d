//! Event streams: whole events, each once, however they are cut.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use cornelpass_core::events::{EVENT_LIMIT, Events};
use proptest::prelude::*;

fn stream(ids: std::ops::Range<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: piece {id}\n\n")).collect()
}

fn text(events: &mut Events, bytes: &str) -> String {
    String::from_utf8(events.push(bytes.as_bytes()).unwrap().to_vec()).unwrap()
}

#[test]
fn a_part_of_an_event_is_held_until_it_is_whole() {
    let mut events = Events::default();
    assert_eq!(text(&mut events, "id: 1\nda"), "");
    assert!(events.is_partial());
    assert_eq!(text(&mut events, "ta: a\n\nid: 2\n"), "id: 1\ndata: a\n\n");
    assert_eq!(events.last_id(), Some(1));
}

#[test]
fn another_target_continues_after_the_last_whole_event() {
    let mut events = Events::default();
    text(&mut events, &stream(1..4));
    text(&mut events, "id: 4\ndata: half");
    events.discard_incomplete();
    assert_eq!(text(&mut events, &stream(2..6)), stream(4..6));
    assert_eq!(events.last_id(), Some(5));
}

#[test]
fn a_caller_that_comes_back_gets_what_it_lacks() {
    let mut events = Events::resume_after(Some(2));
    assert_eq!(text(&mut events, &stream(1..5)), stream(3..5));
}

#[test]
fn events_without_a_number_and_with_other_line_ends_pass() {
    let mut events = Events::default();
    let mixed = ": comment\n\nid:7\r\ndata: a\r\n\r\nweight-versions: 3\nid: 8\ndata: b\n\n";
    assert_eq!(text(&mut events, mixed), mixed);
    assert_eq!(events.last_id(), Some(8));
}

#[test]
fn an_endless_event_is_refused() {
    let mut events = Events::default();
    assert!(events.push(&vec![b'x'; EVENT_LIMIT + 1]).is_err());
}

proptest! {
    #![proptest_config(common::config(13, 256))]

    #[test]
    fn any_cut_gives_the_same_events(
        count in 1_u64..20,
        cuts in prop::collection::vec(0_usize..600, 0..12),
    ) {
        let whole = stream(0..count);
        let mut cuts: Vec<usize> = cuts.into_iter().filter(|cut| *cut < whole.len()).collect();
        cuts.extend([0, whole.len()]);
        cuts.sort_unstable();
        let mut events = Events::default();
        let given: String =
            cuts.windows(2).map(|cut| text(&mut events, &whole[cut[0]..cut[1]])).collect();
        prop_assert_eq!(given, whole);
        prop_assert!(!events.is_partial());
    }
}
