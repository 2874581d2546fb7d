//! Tests of placement: the first choice, the chats that move when a target changes, the policies
//! and the explanation.
//!
//! They guard against chats that change their target without need, which loses the prefix cache of
//! their prompt, and against shares of the chats that do not follow the weights.

mod common;

use std::str::FromStr;

use common::config;
use cornelpass_core::digest;
use cornelpass_core::placement::{Bounded, Candidate, Placement, Policy, explain};
use proptest::prelude::*;

const NAMES: [&str; 9] = ["e-1", "e-2", "e-3", "e-4", "e-5", "e-6", "e-7", "e-8", "e-9"];

/// Number of chats whose first choices are compared.
const CHATS: u64 = 20_000;

/// Candidates of equal weight, without load.
fn fleet() -> Vec<Candidate<'static>> {
    NAMES.iter().map(|name| Candidate::new(name, 1)).collect()
}

/// First choice of each chat.
fn first_choices(policy: Policy, candidates: &[Candidate<'static>]) -> Vec<&'static str> {
    let placement = policy.build();
    let first_choice =
        |chat: u64| candidates[placement.rank(digest::key(&chat.to_string()), candidates)[0]].name;
    (0..CHATS).map(first_choice).collect()
}

fn count(choices: &[&str], name: &str) -> f64 {
    choices.iter().filter(|choice| **choice == name).count() as f64
}

/// Index of the best candidate, by a linear scan: candidates that are held back rank last, those
/// over their bound rank after those within it, and otherwise the highest score wins.
fn best_by_scan(key: u64, candidates: &[Candidate<'_>]) -> usize {
    let mut best = 0;
    for index in 1..candidates.len() {
        let rank = |index: usize| {
            let candidate = &candidates[index];
            let uniform =
                ((digest::pair(key, candidate.name) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
            let ramp = if candidate.ramp > 0.0 { candidate.ramp } else { 1.0 };
            (
                candidate.ramp > 0.0,
                candidate.load < candidate.bound,
                f64::from(candidate.weight) * ramp / -uniform.ln(),
            )
        };
        if rank(index).partial_cmp(&rank(best)) == Some(std::cmp::Ordering::Greater) {
            best = index;
        }
    }
    best
}

proptest! {
    #![proptest_config(config(6, 256))]

    /// A candidate is drawn as its weight, load, bound, and ramp in quarters.
    #[test]
    fn first_choice_equals_that_of_a_linear_scan(
        key in any::<u64>(),
        values in prop::collection::vec((1_u32..5, 0_u32..10, 0_u32..10, 0_u32..5), 1..9),
    ) {
        let candidate = |(name, value): (&&'static str, &(u32, u32, u32, u32))| {
            Candidate::new(name, value.0)
                .with_load(value.1, value.2)
                .with_ramp(f64::from(value.3) / 4.0)
        };
        let candidates: Vec<_> = NAMES.iter().zip(&values).map(candidate).collect();
        let ranked = Bounded.rank(key, &candidates);
        prop_assert_eq!(ranked[0], best_by_scan(key, &candidates));
        let mut indices = ranked;
        indices.sort_unstable();
        prop_assert_eq!(indices, (0..values.len()).collect::<Vec<_>>());
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
fn a_ramp_moves_part_of_a_targets_chats_and_a_reached_bound_moves_all() {
    let before = first_choices(Policy::Bounded, &fleet());
    let mut ramped = fleet();
    ramped[0].ramp = 0.25;
    let after = first_choices(Policy::Bounded, &ramped);
    assert!(before.iter().zip(&after).all(|(a, b)| a == b || *a == "e-1"));
    let share = count(&after, "e-1") / count(&before, "e-1");
    assert!((0.2..0.35).contains(&share), "{share}");
    let mut over_bound = fleet();
    over_bound[0] = over_bound[0].clone().with_load(4, 4);
    assert_eq!(count(&first_choices(Policy::Bounded, &over_bound), "e-1"), 0.0);
    assert_eq!(first_choices(Policy::Hash, &over_bound), before);
}

#[test]
fn chats_are_distributed_by_weight() {
    let mut candidates = fleet();
    candidates[0].weight = 4;
    for policy in [Policy::Bounded, Policy::Random, Policy::Hash] {
        // The target has 4 of the total weight of 12.
        let share = count(&first_choices(policy, &candidates), "e-1") / CHATS as f64;
        assert!((0.31..0.36).contains(&share), "{policy}: {share}");
    }
}

#[test]
fn policies_rank_targets_as_their_names_say() {
    assert!(Policy::from_str("worst").is_err());
    let policy = |name| Policy::from_str(name).unwrap_or_default();
    assert_eq!(policy("least-loaded"), Policy::LeastLoaded);
    let random = first_choices(policy("random"), &fleet());
    assert_eq!(
        random,
        first_choices(policy("random"), &fleet()),
        "the random order must depend on the key and the count alone"
    );
    let hash = first_choices(policy("hash"), &fleet());
    let equal_share =
        random.iter().zip(&hash).filter(|(a, b)| a == b).count() as f64 / CHATS as f64;
    assert!(equal_share < 0.15, "{equal_share}");
    let mut candidates: Vec<_> =
        fleet().into_iter().map(|candidate| candidate.with_load(5, 9)).collect();
    candidates[3] = Candidate::new("e-4", 2).with_load(8, 9);
    assert_eq!(count(&first_choices(policy("least-loaded"), &candidates), "e-4"), CHATS as f64);
}

#[test]
fn explanation_gives_the_order() {
    let mut candidates = fleet();
    candidates[4] = candidates[4].clone().with_load(7, 7);
    let explanations = explain(&Bounded, 42, &candidates);
    assert!(explanations[8].candidate.has_reached_bound());
    assert!(explanations[..8].windows(2).all(|pair| pair[0].score >= pair[1].score));
}
