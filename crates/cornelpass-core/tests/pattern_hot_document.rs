//! Load pattern: a large part of the prompts share one document, the hot document.
//!
//! Prompts with the same document prefer the same target. The tests guard against that target being
//! loaded above its bound, even if the routers' reports of cached prefixes are old. Requests arrive
//! at regular intervals and all take the same time. Each router reports at its own times, without
//! delay or loss.

#![allow(clippy::unwrap_used, reason = "test helpers")]

mod common;

use std::time::Duration;

use common::cluster::{Cluster, REQUIREMENTS, distinct, prompt, request};
use cornelpass_core::request::RetrySafety;

/// Time from the start after which requests count: the users assess the load only in calm periods.
const SETTLED_SECONDS: u64 = 5;

/// Time that a request takes at its target.
const REQUEST_DURATION: Duration = Duration::from_millis(400);

/// A load with a hot document.
struct Load {
    routers: usize,
    targets: u8,
    requests_per_second: u32,
    /// Number of requests of which one has the hot document.
    hot_interval: u64,
    report_interval: Duration,
}

/// Simulates ten seconds of a load.
///
/// Returns the share of requests that reached a target over its bound, and the number of targets
/// that got requests with the hot document.
fn run(load: &Load) -> (f64, usize) {
    let mut cluster = Cluster::new(load.routers, load.targets);
    let interval = Duration::from_secs(1) / load.requests_per_second;
    // The routers send their reports one after the other, evenly spread over the interval.
    let routers = u32::try_from(load.routers).unwrap();
    let mut next_reports: Vec<_> =
        (0..routers).map(|router| cluster.now + load.report_interval * router / routers).collect();
    let (mut over, mut counted, mut hot) = (0, 0, Vec::new());
    for number in 0..u64::from(load.requests_per_second) * 10 {
        cluster.advance(interval);
        for (router, due) in next_reports.iter_mut().enumerate() {
            if cluster.now >= *due {
                *due += load.report_interval;
                cluster.report_from(router);
            }
        }
        let document = if number % load.hot_interval == 0 { 0 } else { 1 + number % 240 };
        let request = request(
            cluster.now,
            RetrySafety::AtMostOnce,
            Some(prompt(document % 4, document, number)),
        );
        // A hash of the number of the request selects the router. It stands for a hash of the
        // caller, which the simulation does not have.
        let router = (number * 7 % 31) as usize % load.routers;
        let bound = REQUIREMENTS.load_multiple * cluster.mean_load(usize::from(load.targets))
            + f64::from(REQUIREMENTS.load_slack);
        let choice = cluster.send(router, &request, REQUEST_DURATION).unwrap();
        let before = cluster.loads[&choice.target] - 1;
        if number > u64::from(load.requests_per_second) * SETTLED_SECONDS {
            over += u32::from(f64::from(before) > bound);
            counted += 1;
        }
        if document == 0 {
            hot.push(choice.target);
        }
    }
    (f64::from(over) / f64::from(counted), distinct(&hot).len())
}

/// Largest permitted share of requests at a target over its bound: the users allow 3 in 100.
const MAX_SHARE_OVER: f64 = 0.03;

#[test]
fn few_routers_keep_a_hot_document_within_the_bound_on_few_targets() {
    let report_interval = Duration::from_millis(100);
    let load =
        Load { routers: 4, targets: 9, requests_per_second: 80, hot_interval: 3, report_interval };
    let (over, targets) = run(&load);
    assert!(over <= MAX_SHARE_OVER, "{over} of the requests over the bound");
    assert!(targets <= 4, "hot document on {targets} targets");
}

#[test]
fn many_routers_with_old_reports_keep_within_the_bound() {
    let report_interval = Duration::from_millis(700);
    let load = Load {
        routers: 28,
        targets: 52,
        requests_per_second: 330,
        hot_interval: 16,
        report_interval,
    };
    let (over, _) = run(&load);
    assert!(over <= MAX_SHARE_OVER, "{over} of the requests over the bound");
}

#[test]
fn many_routers_with_old_reports_keep_a_hot_document_on_few_targets() {
    let report_interval = Duration::from_millis(700);
    for hot_interval in 11..14 {
        let load = Load {
            routers: 28,
            targets: 52,
            requests_per_second: 330,
            hot_interval,
            report_interval,
        };
        let (over, targets) = run(&load);
        assert!(
            over <= MAX_SHARE_OVER,
            "one in {hot_interval} hot: {over} of the requests over the bound"
        );
        assert!(targets <= 8, "one in {hot_interval} hot: on {targets} targets");
    }
}
