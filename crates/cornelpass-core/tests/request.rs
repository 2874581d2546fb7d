//! Tests of the hashes of prompts.
//!
//! They guard against prompts with the same shared parts that are placed on different targets, and
//! against equal hashes for prompts that share nothing.

use cornelpass_core::request::{Part, Prompt};

fn prompt(parts: &[u64]) -> Prompt {
    let parts = parts.iter().map(|id| Part { id: *id, tokens: 100 }).collect();
    Prompt { model: "m".to_owned(), tokens: 0, max_response_tokens: 0, parts }
}

#[test]
fn the_last_part_does_not_affect_the_placement_key() {
    assert_eq!(prompt(&[1, 2, 3]).placement_key(), prompt(&[1, 2, 4]).placement_key());
    assert_ne!(prompt(&[1, 2, 3]).placement_key(), prompt(&[1, 5, 3]).placement_key());
}

#[test]
fn the_only_part_of_a_prompt_affects_the_placement_key() {
    assert_ne!(prompt(&[1]).placement_key(), prompt(&[2]).placement_key());
}

#[test]
fn prompts_for_different_models_have_different_keys() {
    let other = Prompt { model: "n".to_owned(), ..prompt(&[1, 2, 3]) };
    assert_ne!(other.placement_key(), prompt(&[1, 2, 3]).placement_key());
    assert_ne!(other.root_key(), prompt(&[1, 2, 3]).root_key());
}

#[test]
fn the_hash_of_a_prefix_depends_on_all_its_parts() {
    let one: Vec<_> = prompt(&[1, 2, 3]).prefixes().collect();
    let other: Vec<_> = prompt(&[1, 9, 3]).prefixes().collect();
    assert_eq!(one[0], other[0]);
    assert_ne!(one[1].0, other[1].0);
    assert_ne!(one[2].0, other[2].0);
    assert_eq!(one.iter().map(|(_, tokens)| *tokens).collect::<Vec<_>>(), [100, 200, 300]);
}

#[test]
fn a_prompt_without_parts_has_a_key() {
    let empty = prompt(&[]);
    assert_eq!(empty.placement_key(), empty.root_key());
    assert_eq!(empty.shared_parts(), []);
    assert_eq!(empty.shared_tokens(), 0);
}
