//! Failure pattern: many targets of a service are unreachable, unresponsive or failing.
//!
//! The tests guard against requests that keep going to such targets, against targets that are
//! avoided too long or after a single failure, and against healthy targets that are overloaded by
//! the requests that moved to them. The tests set the outcomes of requests at the targets directly;
//! the network is not simulated.

#![allow(clippy::unwrap_used, reason = "test helpers")]

mod common;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use common::cluster::{Cluster, REQUIREMENTS, empty_history, prompt, request, target_name};
use cornelpass_core::fleet::health::{
    FAILURE_WINDOW, FIRST_UNRESPONSIVE_BACKOFF, Health, MIN_FAILURES, Outcome, RESPONSE_TIMEOUT,
    Standing,
};
use cornelpass_core::fleet::load::{Loads, STALL_TIMEOUT};
use cornelpass_core::request::RetrySafety;

/// Sends a request to a target, and ends it immediately with an outcome.
fn record_outcome(cluster: &mut Cluster, target: &str, outcome: Outcome) {
    let now = cluster.now;
    let ticket = cluster.fleets[0].record_sent(now, target, &[]);
    cluster.fleets[0].record_end(now, target, ticket, Some(outcome));
}

/// Target that the router selects for a prompt with a document.
fn selected_target(cluster: &mut Cluster, safety: RetrySafety, document: u64) -> String {
    let request = request(cluster.now, safety, Some(prompt(0, document, 0)));
    cluster.select_target(0, &request, &empty_history(&request)).unwrap().0.target
}

/// Targets that the router selects for prompts with many different documents.
fn selected_targets(cluster: &mut Cluster, safety: RetrySafety) -> BTreeSet<String> {
    (0..60).map(|document| selected_target(cluster, safety, document)).collect()
}

#[test]
fn unreachable_targets_get_no_requests_at_first_and_a_trial_request_later() {
    let mut cluster = Cluster::new(1, 6);
    for number in 0..3 {
        record_outcome(&mut cluster, &target_name(number), Outcome::Unreachable);
    }
    let healthy: BTreeSet<String> = (3..6).map(target_name).collect();
    assert_eq!(selected_targets(&mut cluster, RetrySafety::AtMostOnce), healthy);
    cluster.advance(FIRST_UNRESPONSIVE_BACKOFF);
    // A request that must run at most once is not used as a trial request.
    assert_eq!(selected_targets(&mut cluster, RetrySafety::AtMostOnce), healthy);
    assert_eq!(selected_targets(&mut cluster, RetrySafety::Resumable).len(), 6);
}

#[test]
fn a_target_is_selected_even_if_all_targets_of_a_service_are_unreachable() {
    let mut cluster = Cluster::new(1, 2);
    for number in 0..2 {
        record_outcome(&mut cluster, &target_name(number), Outcome::Unreachable);
    }
    selected_target(&mut cluster, RetrySafety::AtMostOnce, 0);
}

#[test]
fn a_single_failure_does_not_move_requests() {
    let mut cluster = Cluster::new(1, 4);
    let preferred = selected_target(&mut cluster, RetrySafety::AtMostOnce, 0);
    record_outcome(&mut cluster, &preferred, Outcome::Failed);
    assert_eq!(selected_target(&mut cluster, RetrySafety::AtMostOnce, 0), preferred);
}

#[test]
fn a_target_that_fails_some_of_its_requests_is_avoided() {
    let mut cluster = Cluster::new(1, 4);
    let preferred = selected_target(&mut cluster, RetrySafety::AtMostOnce, 0);
    for _ in 0..MIN_FAILURES {
        record_outcome(&mut cluster, &preferred, Outcome::Answered);
        record_outcome(&mut cluster, &preferred, Outcome::Failed);
    }
    assert_ne!(selected_target(&mut cluster, RetrySafety::AtMostOnce, 0), preferred);
}

#[test]
fn healthy_targets_stay_within_the_bound_when_they_get_the_requests_of_failing_ones() {
    let mut cluster = Cluster::new(1, 9);
    for number in 0..6 {
        for _ in 0..MIN_FAILURES {
            record_outcome(&mut cluster, &target_name(number), Outcome::Failed);
        }
    }
    for document in 0..90 {
        let request =
            request(cluster.now, RetrySafety::AtMostOnce, Some(prompt(0, document, document)));
        let mean = cluster.mean_load(9);
        let choice = cluster.send(0, &request, Duration::from_secs(1)).unwrap();
        let before = f64::from(cluster.loads[&choice.target] - 1);
        let bound = REQUIREMENTS.load_multiple * mean + f64::from(REQUIREMENTS.load_slack);
        assert!(before <= bound, "load {before} of {} is over the bound of {bound}", choice.target);
    }
}

#[test]
fn requests_whose_responses_were_lost_do_not_count_as_load() {
    let mut loads = Loads::default();
    let start = Instant::now();
    let lost = loads.record_sent(start, "t", &[]);
    let waiting = loads.record_sent(start, "u", &[]);
    let later = start + STALL_TIMEOUT + Duration::from_millis(1);
    assert_eq!(loads.load("t", later), 1, "the target has sent no response");
    let other = loads.record_sent(later, "t", &[]);
    loads.record_response(later, "t", other);
    assert_eq!((loads.load("t", later), loads.load("u", later)), (1, 1));
    loads.record_response(later, "t", lost);
    assert_eq!(loads.load("t", later), 2);
    loads.record_end(later, "t", lost);
    loads.record_end(later, "u", waiting);
    assert_eq!((loads.load("t", later), loads.load("u", later)), (1, 0));
}

#[test]
fn failures_that_other_routers_observe_count() {
    let mut cluster = Cluster::new(3, 4);
    let preferred = selected_target(&mut cluster, RetrySafety::AtMostOnce, 0);
    let now = cluster.now;
    for router in [1, 2, 1] {
        for outcome in [Outcome::Answered, Outcome::Failed] {
            let ticket = cluster.fleets[router].record_sent(now, &preferred, &[]);
            cluster.record_end(router, &preferred, ticket, outcome);
        }
    }
    assert_ne!(selected_target(&mut cluster, RetrySafety::AtMostOnce, 0), preferred);
}

#[test]
fn a_target_without_a_response_is_unresponsive_until_it_responds() {
    let start = Instant::now();
    let mut health = Health::default();
    health.record_sent(start);
    assert_eq!(health.standing(start + RESPONSE_TIMEOUT), Standing::Good);
    let late = start + RESPONSE_TIMEOUT + Duration::from_millis(1);
    assert_eq!(health.standing(late), Standing::Unresponsive);
    health.record_response(late);
    assert_eq!(health.standing(late), Standing::Good);
}

#[test]
fn a_lost_response_does_not_make_a_target_that_responds_to_other_requests_unresponsive() {
    let start = Instant::now();
    let mut health = Health::default();
    health.record_sent(start);
    health.record_sent(start);
    health.record_response(start + Duration::from_millis(50));
    health.record_end(start + Duration::from_millis(60), Outcome::Answered);
    assert_eq!(health.standing(start + RESPONSE_TIMEOUT * 3), Standing::Good);
}

#[test]
fn an_unresponsive_target_gets_a_trial_request_after_each_back_off() {
    let start = Instant::now();
    let mut health = Health::default();
    health.record_sent(start);
    let unresponsive_at = start + RESPONSE_TIMEOUT + Duration::from_millis(1);
    assert_eq!(health.standing(unresponsive_at), Standing::Unresponsive);
    let trial_at = unresponsive_at + FIRST_UNRESPONSIVE_BACKOFF;
    assert_eq!(health.standing(trial_at), Standing::Trial);
    health.record_sent(trial_at);
    assert_eq!(health.standing(trial_at), Standing::Unresponsive);
    assert_eq!(
        health.standing(trial_at + RESPONSE_TIMEOUT + FIRST_UNRESPONSIVE_BACKOFF),
        Standing::Trial
    );
    health.record_end(trial_at, Outcome::Answered);
    assert_eq!(health.standing(trial_at + RESPONSE_TIMEOUT * 3), Standing::Good);
}

#[test]
fn an_idle_target_is_not_unresponsive() {
    let start = Instant::now();
    let mut health = Health::default();
    health.record_sent(start);
    health.record_end(start, Outcome::Answered);
    assert_eq!(health.standing(start + RESPONSE_TIMEOUT * 5), Standing::Good);
}

#[test]
fn back_offs_grow_while_trials_fail_and_end_with_a_response() {
    let mut now = Instant::now();
    let mut health = Health::default();
    let mut backoffs = Vec::new();
    for _ in 0..4 {
        health.record_sent(now);
        health.record_end(now, Outcome::Unreachable);
        let started = now;
        while health.standing(now) == Standing::Unresponsive {
            now += Duration::from_millis(50);
        }
        assert_eq!(health.standing(now), Standing::Trial);
        backoffs.push(now - started);
    }
    assert!(backoffs.windows(2).all(|pair| pair[0] < pair[1]), "{backoffs:?}");
    health.record_sent(now);
    health.record_end(now, Outcome::Answered);
    assert_eq!(health.standing(now), Standing::Good);
}

#[test]
fn old_failures_do_not_count() {
    let start = Instant::now();
    let mut health = Health::default();
    for _ in 1..MIN_FAILURES {
        health.record_sent(start);
        health.record_end(start, Outcome::Failed);
    }
    let later = start + FAILURE_WINDOW + Duration::from_millis(1);
    health.record_sent(later);
    health.record_end(later, Outcome::Failed);
    assert_eq!(health.standing(later), Standing::Good);
}
