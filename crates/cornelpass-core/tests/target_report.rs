//! Tests of the reports of targets at a router: mean load, candidates, and flapping targets.
//!
//! The tests guard against loads that count requests twice or not at all, against chats that move
//! back and forth because a target returns repeatedly, and against a wrong mean. Reports are
//! recorded directly; nothing is sent.

mod common;

use std::time::{Duration, Instant};

use common::{config, target};
use cornelpass_core::target_report::{FIRST_HOLD, FLAP_WINDOW, MAX_HOLD, Report, Reports, State};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);

fn report(state: State, load: u32, ramp_percent: u32) -> Report {
    Report { state, load, ramp_percent, bound: 10, boot: 1, ..Report::default() }
}

fn state() -> impl Strategy<Value = State> {
    use State::{Down, Leaving, Starting, Steady, Warming};
    prop::sample::select(vec![Starting, Warming, Steady, Down, Leaving])
}

proptest! {
    #![proptest_config(config(7, 256))]

    #[test]
    fn mean_load_equals_a_plain_sum_over_the_reports(
        rows in prop::collection::vec((state(), 0_u32..50, 1_u32..101, 1_u32..4, 0_u64..5), 0..9),
    ) {
        let (start, mut reports) = (Instant::now(), Reports::new());
        let now = start + 5 * SECOND;
        let (mut load, mut weight, mut age) = (0.0, 0.0, None);
        let names: Vec<String> = (0..rows.len()).map(|index| index.to_string()).collect();
        for (name, (state, units, percent, full_weight, age_seconds)) in names.iter().zip(&rows) {
            reports.record(name, now - *age_seconds as u32 * SECOND, report(*state, *units, *percent));
            let share = match state {
                State::Steady => 1.0,
                State::Warming => f64::from(*percent) / 100.0,
                _ => 0.0,
            };
            if share > 0.0 && *age_seconds <= 3 {
                load += f64::from(*units);
                weight += share * f64::from(*full_weight);
                age = age.max(Some(age_seconds * 1000));
            }
        }
        let mean =
            reports.mean(names.iter().map(String::as_str).zip(rows.iter().map(|row| row.3)), now);
        prop_assert_eq!(mean.map(|mean| u64::from(mean.age_ms)), age);
        if let Some(mean) = mean {
            prop_assert!((mean.milli as f64 - load / weight * 1000.0).abs() <= 1.0);
        }
    }
}

#[test]
fn load_of_a_candidate_includes_the_requests_sent_since_its_report() {
    let (now, mut reports, row) = (Instant::now(), Reports::new(), target(2, 64, 4));
    assert!(reports.candidate("e-1", &row, now).is_held_back());
    reports.record("e-1", now, report(State::Warming, 3, 25));
    reports.record_sent("e-1", 7);
    let candidate = reports.candidate("e-1", &row, now);
    assert_eq!((candidate.load, candidate.ramp, candidate.has_reached_bound()), (10, 0.25, true));
    reports.record("e-1", now, report(State::Steady, 9, 100));
    assert!(!reports.candidate("e-1", &row, now).has_reached_bound());
    reports.invalidate("e-1");
    assert!(reports.candidate("e-1", &row, now).is_held_back());
    reports.record("e-1", now, report(State::Down, 0, 0));
    assert!(reports.candidate("e-1", &row, now).is_held_back());
}

#[test]
fn flapping_target_is_held_back_longer_each_time() {
    let (mut now, mut reports) = (Instant::now(), Reports::new());
    reports.record("e-1", now, report(State::Steady, 0, 100));
    let mut holds = Vec::new();
    for _ in 0..8 {
        reports.record("e-1", now, report(State::Down, 0, 0));
        reports.record("e-1", now, report(State::Steady, 0, 100));
        let start = now;
        while reports.is_held("e-1", now) {
            now += SECOND;
        }
        holds.push((now - start).as_secs());
    }
    assert_eq!(holds, [0, FIRST_HOLD.as_secs(), 4, 8, 16, 32, MAX_HOLD.as_secs(), 60]);
    now += FLAP_WINDOW;
    reports.record("e-1", now, report(State::Steady, 0, 100));
    assert!(!reports.is_held("e-1", now), "earlier returns no longer count");
}

#[test]
fn a_target_that_refused_is_full_until_its_next_report() {
    let (now, mut reports) = (Instant::now(), Reports::new());
    let row = target(1, 64, 4);
    let report = |load| Report { state: State::Steady, load, bound: 10, ..Report::default() };
    reports.record("engine-1", now, report(3));
    reports.record_refusal("engine-1");
    let candidate = reports.candidate("engine-1", &row, now);
    assert_eq!((candidate.load, candidate.bound), (10, 10));
    reports.record("engine-1", now, report(3));
    assert_eq!(reports.candidate("engine-1", &row, now).load, 3);
}

#[test]
fn requests_that_have_ended_do_not_count_as_load_of_a_target() {
    let (now, mut reports) = (Instant::now(), Reports::new());
    reports.record("t", now, report(State::Steady, 3, 100));
    let load = |reports: &Reports| reports.candidate("t", &target(1, 10, 4), now).load;
    for _ in 0..50 {
        reports.record_sent("t", 2);
        assert_eq!(load(&reports), 5);
        reports.record_end("t", 2);
    }
    assert_eq!(load(&reports), 3);
    reports.record_end("t", 2);
    assert_eq!(load(&reports), 3, "the load never falls below the last report");
}
