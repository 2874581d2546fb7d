//! Tests of routes: the route that matches a host and a path, and the service that a key selects.
//!
//! They guard against a request that gets the settings or the service of another route, and against
//! a path with a dot segment, which a target could resolve to a path of another route.

mod common;

use std::time::Duration;

use cornelpass_core::request::{Framing, RetrySafety};
use cornelpass_core::route::{Match, Route, Routes, Share};
use proptest::prelude::*;

fn route(name: &str, host: &str, prefix: &str, shares: &[(&str, u32)]) -> Route {
    let share =
        |(service, weight): &(&str, u32)| Share { service: (*service).to_owned(), weight: *weight };
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        shares: shares.iter().map(share).collect(),
        retry_safety: RetrySafety::Idempotent,
        framing: Framing::Body,
        timeout: Duration::from_secs(1),
        desired_latency: Duration::from_millis(100),
        desired_event_gap: None,
        priority: 0,
        max_targets: 2,
        anonymous: false,
    }
}

fn routes() -> Routes {
    Routes::from(vec![
        route("short", "a.example", "/x/", &[("one", 1)]),
        route("long", "a.example", "/x/y/", &[("two", 1)]),
        route("other", "b.example", "/x/", &[("three", 1)]),
    ])
}

/// Name of the route that matches, or the other result in words.
fn find_route(host: &str, path: &str) -> String {
    match routes().find(host, path) {
        Match::Route(route) => route.name.clone(),
        Match::NotFound => "none".to_owned(),
        Match::Ambiguous => "ambiguous".to_owned(),
    }
}

#[test]
fn the_longest_matching_prefix_of_the_host_is_selected() {
    assert_eq!(find_route("a.example", "/x/y/1"), "long");
    assert_eq!(find_route("a.example", "/x/z/1"), "short");
    assert_eq!(find_route("a.example", "/x/y"), "short");
    assert_eq!(find_route("b.example", "/x/y/1"), "other");
    assert_eq!(find_route("c.example", "/x/y/1"), "none");
    assert_eq!(find_route("a.example", "/x"), "none");
}

#[test]
fn a_host_matches_in_any_case_and_with_a_port() {
    assert_eq!(find_route("A.Example:8080", "/x/y/1"), "long");
}

#[test]
fn a_path_with_a_dot_segment_matches_nothing() {
    for path in ["/x/y/../z", "/x/./y/", "/x/%2e%2E/", "/x/.%2e/z", "/x/y/%2e", "/x/y\\..\\z"] {
        assert_eq!(find_route("a.example", path), "ambiguous", "{path}");
    }
    for path in ["/x/y/..z", "/x/y/.z/", "/x/y/a%2eb", "/x/y/..."] {
        assert_eq!(find_route("a.example", path), "long", "{path}");
    }
}

proptest! {
    #![proptest_config(common::config(11, 256))]

    /// Successive keys, as many as the sum of the weights, select each service as often as its
    /// weight.
    #[test]
    fn keys_select_services_in_proportion_to_their_weights(
        weights in prop::collection::vec(0_u32..5, 1..4),
    ) {
        let names = ["one", "two", "three", "four"];
        let shares: Vec<(&str, u32)> = names.into_iter().zip(weights.iter().copied()).collect();
        let route = route("r", "a", "/", &shares);
        let total: u32 = weights.iter().sum();
        let mut counts = std::collections::BTreeMap::new();
        for key in 0..u64::from(total) {
            *counts.entry(route.select_service(key).unwrap().to_owned()).or_insert(0_u32) += 1;
        }
        for (name, weight) in shares {
            prop_assert_eq!(counts.get(name).copied().unwrap_or(0), weight);
        }
        prop_assert_eq!(route.select_service(0).is_none(), total == 0);
    }
}
