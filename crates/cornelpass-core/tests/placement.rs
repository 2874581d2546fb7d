//! Placement: against a naive choice, movement of chats, the baselines and the explanation.

mod common;

use std::str::FromStr;

use common::config;
use cornelpass_core::digest;
use cornelpass_core::placement::{Bounded, Candidate, Placement, Policy, explain};
use proptest::prelude::*;

const NAMES: [&str; 9] = ["e-1", "e-2", "e-3", "e-4", "e-5", "e-6", "e-7", "e-8", "e-9"];
const CHATS: u64 = 20_000;

fn fleet() -> Vec<Candidate<'static>> {
    NAMES.iter().map(|name| Candidate::new(name, 1)).collect()
}

/// First choice of each chat.
fn choices(policy: Policy, candidates: &[Candidate<'static>]) -> Vec<&'static str> {
    let placement = policy.build();
    let first =
        |chat: u64| candidates[placement.rank(digest::key(&chat.to_string()), candidates)[0]].name;
    (0..CHATS).map(first).collect()
}

fn count(choices: &[&str], name: &str) -> f64 {
    choices.iter().filter(|choice| **choice == name).count() as f64
}

/// The best candidate by a scan: within its bound before over it, held back last.
fn naive(key: u64, candidates: &[Candidate<'_>]) -> usize {
    let mut best = 0;
    for index in 1..candidates.len() {
        let value = |index: usize| {
            let c = &candidates[index];
            let unit = ((digest::pair(key, c.name) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
            let ramp = if c.ramp > 0.0 { c.ramp } else { 1.0 };
            (c.ramp > 0.0, c.load < c.bound, f64::from(c.weight) * ramp / -unit.ln())
        };
        if value(index).partial_cmp(&value(best)) == Some(std::cmp::Ordering::Greater) {
            best = index;
        }
    }
    best
}

proptest! {
    #![proptest_config(config(6, 256))]

    #[test]
    fn first_choice_equals_naive(
        key in any::<u64>(),
        rows in prop::collection::vec((1_u32..5, 0_u32..10, 0_u32..10, 0_u32..5), 1..9),
    ) {
        let candidate = |(name, row): (&&'static str, &(u32, u32, u32, u32))| {
            Candidate::new(name, row.0).with_load(row.1, row.2).with_ramp(f64::from(row.3) / 4.0)
        };
        let candidates: Vec<_> = NAMES.iter().zip(&rows).map(candidate).collect();
        let ranked = Bounded.rank(key, &candidates);
        prop_assert_eq!(ranked[0], naive(key, &candidates));
        let mut all = ranked;
        all.sort_unstable();
        prop_assert_eq!(all, (0..rows.len()).collect::<Vec<_>>());
    }

    #[test]
    fn only_the_chats_of_a_lost_target_move(key in any::<u64>(), lost in 0_usize..9) {
        let mut candidates = fleet();
        let before = Bounded.rank(key, &candidates);
        candidates.remove(lost);
        let after = candidates[Bounded.rank(key, &candidates)[0]].name;
        let expected = if before[0] == lost { before[1] } else { before[0] };
        prop_assert_eq!(after, NAMES[expected]);
    }
}

#[test]
fn ramp_and_bound_move_only_a_part() {
    let full = choices(Policy::Bounded, &fleet());
    let mut ramped = fleet();
    ramped[0].ramp = 0.25;
    let ramped = choices(Policy::Bounded, &ramped);
    assert!(full.iter().zip(&ramped).all(|(a, b)| a == b || *a == "e-1"));
    let part = count(&ramped, "e-1") / count(&full, "e-1");
    assert!((0.2..0.35).contains(&part), "{part}");
    let mut over = fleet();
    over[0] = over[0].clone().with_load(4, 4);
    assert_eq!(count(&choices(Policy::Bounded, &over), "e-1"), 0.0);
    assert_eq!(choices(Policy::Hash, &over), full);
}

#[test]
fn weights_set_the_parts() {
    let mut candidates = fleet();
    candidates[0].weight = 4;
    for policy in [Policy::Bounded, Policy::Random, Policy::Hash] {
        let part = count(&choices(policy, &candidates), "e-1") / CHATS as f64;
        assert!((0.31..0.36).contains(&part), "{policy} {part}");
    }
}

#[test]
fn baselines_differ_as_named() {
    assert!(Policy::from_str("worst").is_err());
    let policy = |name| Policy::from_str(name).unwrap_or_default();
    assert_eq!(policy("least-loaded"), Policy::LeastLoaded);
    let random = choices(policy("random"), &fleet());
    assert_eq!(random, choices(policy("random"), &fleet()), "seeded by key and count");
    let hash = choices(policy("hash"), &fleet());
    let same = random.iter().zip(&hash).filter(|(a, b)| a == b).count() as f64 / CHATS as f64;
    assert!(same < 0.15, "{same}");
    let mut candidates: Vec<_> = fleet().into_iter().map(|c| c.with_load(5, 9)).collect();
    candidates[3] = Candidate::new("e-4", 2).with_load(8, 9);
    assert_eq!(count(&choices(policy("least-loaded"), &candidates), "e-4"), CHATS as f64);
}

#[test]
fn explanation_gives_the_order() {
    let mut candidates = fleet();
    candidates[4] = candidates[4].clone().with_load(7, 7);
    let lines = explain(&Bounded, 42, &candidates);
    assert!(lines[8].candidate.is_over_bound());
    assert!(lines[..8].windows(2).all(|pair| pair[0].score >= pair[1].score));
}
