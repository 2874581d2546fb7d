//! Failure pattern: all routers restart at the same time and lose their cache entries.
//!
//! The routers' cache entries are written to the cache note on the platform, and new routers
//! restore the entries from it. The tests guard against new routers that send prompts to targets
//! without the cached prefix. The test restores the entries directly; the note is not written.

#![allow(clippy::unwrap_used, reason = "test helpers")]

mod common;

use std::time::Duration;

use common::cluster::{Cluster, prompt, request, row, target_name};
use cornelpass_core::fleet::{Row, State};
use cornelpass_core::request::RetrySafety;

/// Time that a request takes at its target.
const REQUEST_DURATION: Duration = Duration::from_millis(50);

/// Sends one request for each of 40 documents through the first router; returns their targets.
fn send_documents(cluster: &mut Cluster) -> Vec<String> {
    let mut targets = Vec::new();
    for document in 0..40 {
        cluster.advance(Duration::from_millis(60));
        let request =
            request(cluster.now, RetrySafety::AtMostOnce, Some(prompt(0, document, document)));
        targets.push(cluster.send(0, &request, REQUEST_DURATION).unwrap().target);
    }
    targets
}

/// Lists a target as leaving and a new one as ready, as in a release.
fn replace(cluster: &mut Cluster, old: u8, new: u8) {
    let now = cluster.now;
    for router in &mut cluster.fleets {
        let leaving = Row { state: State::Leaving, ..row(old, "a") };
        router.apply_row(now, &target_name(old), leaving, 100);
        router.apply_row(now, &target_name(new), row(new, "a"), 101);
    }
}

#[test]
fn new_routers_select_the_same_targets_by_the_restored_cache_entries() {
    let mut cluster = Cluster::new(1, 9);
    send_documents(&mut cluster);
    replace(&mut cluster, 0, 20);
    replace(&mut cluster, 3, 23);
    let before = send_documents(&mut cluster);
    let saved = cluster.fleets[0].cache_index().entries(4_096);

    let mut restarted = Cluster::new(1, 9);
    replace(&mut restarted, 0, 20);
    replace(&mut restarted, 3, 23);
    let now = restarted.now;
    restarted.fleets[0].cache_index().restore(now, &saved);
    assert_eq!(send_documents(&mut restarted), before);
}

#[test]
fn saved_cache_entries_are_limited_and_do_not_replace_known_ones() {
    let mut cluster = Cluster::new(1, 9);
    send_documents(&mut cluster);
    assert_eq!(cluster.fleets[0].cache_index().entries(10).len(), 10);
    let known = cluster.fleets[0].cache_index().entries(4_096);
    let now = cluster.now;
    cluster.fleets[0].cache_index().restore(now, &known);
    assert_eq!(cluster.fleets[0].cache_index().entries(4_096), known);
}
