//! Attempts at a request: at most once, at no more targets than allowed, and always an end.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use cornelpass_core::course::{ATTEMPT_LIMIT, Claim, Course, Ended, Next, Terms};
use cornelpass_core::refusal::Execution;
use cornelpass_core::request::Repeat;
use proptest::prelude::*;

const LOST: Ended = Ended { run: Execution::Unknown, arrived: true, begun: false, answered: false };
const REFUSED: Ended =
    Ended { run: Execution::NotRun, arrived: true, begun: false, answered: false };
const UNSENT: Ended =
    Ended { run: Execution::NotRun, arrived: false, begun: false, answered: false };
const FAILED: Ended =
    Ended { run: Execution::Unknown, arrived: true, begun: false, answered: true };

fn course(repeat: Repeat, targets: u32) -> Course {
    Course::new(Terms { repeat, targets })
}

#[test]
fn what_may_not_be_repeated_ends_once_it_may_have_run() {
    let mut course = course(Repeat::Never, 1);
    assert_eq!(course.ended("a", UNSENT), Next::Again { paid: false });
    assert_eq!(course.ended("b", REFUSED), Next::Again { paid: true });
    assert_eq!(course.claim("a"), Claim::Barred);
    assert_eq!(course.claim("c"), Claim::Fresh);
    assert_eq!(course.ended("c", LOST), Next::GiveUp);
    assert_eq!(course.effect(), Execution::Unknown);
}

#[test]
fn a_request_goes_on_at_the_targets_that_have_run_it() {
    let mut course = course(Repeat::Whole, 2);
    assert_eq!(course.ended("a", LOST), Next::Again { paid: true });
    assert_eq!(course.claim("b"), Claim::Fresh);
    assert_eq!(course.ended("b", LOST), Next::Again { paid: true });
    assert_eq!(course.claim("a"), Claim::Tried(1));
    assert_eq!(course.claim("c"), Claim::Barred);
}

#[test]
fn a_target_that_failed_a_request_is_not_asked_again() {
    let mut course = course(Repeat::Whole, 2);
    assert_eq!(course.ended("a", FAILED), Next::Again { paid: true });
    assert_eq!(course.claim("a"), Claim::Barred);
    assert_eq!(course.claim("b"), Claim::Fresh);
}

#[test]
fn a_begun_answer_is_continued_only_from_its_events() {
    let begun = Ended { begun: true, ..LOST };
    assert_eq!(course(Repeat::Rest, 2).ended("a", begun), Next::Again { paid: true });
    assert_eq!(course(Repeat::Whole, 2).ended("a", begun), Next::GiveUp);
}

fn ends() -> impl Strategy<Value = Vec<(u8, Ended)>> {
    let end = prop_oneof![Just(LOST), Just(REFUSED), Just(UNSENT), Just(FAILED)];
    prop::collection::vec((0_u8..5, end), 0..12)
}

fn repeats() -> impl Strategy<Value = Repeat> {
    prop_oneof![Just(Repeat::Whole), Just(Repeat::Rest), Just(Repeat::Never)]
}

proptest! {
    #![proptest_config(common::config(12, 256))]

    /// Whatever the ends, against a record of what may have run where.
    #[test]
    fn a_course_keeps_its_terms(repeat in repeats(), targets in 1_u32..4, ends in ends()) {
        let mut course = course(repeat, targets);
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        let mut attempts = 0;
        for (target, ended) in ends {
            let target = format!("t-{target}");
            if course.claim(&target) == Claim::Barred {
                continue;
            }
            attempts += 1;
            if ended.run == Execution::Unknown {
                *runs.entry(target.clone()).or_default() += 1;
            }
            if course.ended(&target, ended) == Next::GiveUp {
                break;
            }
        }
        let total: u32 = runs.values().sum();
        let distinct: BTreeSet<_> = runs.keys().collect();
        prop_assert!(attempts <= ATTEMPT_LIMIT);
        prop_assert!(distinct.len() <= targets as usize);
        prop_assert!(repeat != Repeat::Never || total <= 1);
        prop_assert_eq!(course.effect() == Execution::Unknown, total > 0);
    }
}
