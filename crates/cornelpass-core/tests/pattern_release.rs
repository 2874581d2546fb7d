//! Load pattern: a release replaces the targets one after the other.
//!
//! A prompt should move only if its target leaves, and then to a target that can fetch the cached
//! prefix. The tests guard against prompts that move without need, against prompts that move to
//! another data centre, and against requests to targets that leave. The routers report to each
//! other before each request.

#![allow(clippy::unwrap_used, reason = "test helpers")]

mod common;

use std::time::Duration;

use common::cluster::{Cluster, prompt, request, row, target_name};
use cornelpass_core::fleet::{Choice, State};
use cornelpass_core::request::RetrySafety;

/// Time that a request takes at its target.
const REQUEST_DURATION: Duration = Duration::from_millis(50);

/// Sends one request for each document of a range; returns the choices of targets.
fn send_documents(cluster: &mut Cluster, documents: std::ops::Range<u64>) -> Vec<Choice> {
    let mut choices = Vec::new();
    for document in documents {
        cluster.advance(Duration::from_millis(60));
        cluster.report_all();
        let request =
            request(cluster.now, RetrySafety::AtMostOnce, Some(prompt(0, document, document)));
        let router = document as usize % cluster.fleets.len();
        choices.push(cluster.send(router, &request, REQUEST_DURATION).unwrap());
    }
    choices
}

/// Number of requests that went to another target than before.
fn count_moved(before: &[Choice], after: &[Choice]) -> usize {
    before.iter().zip(after).filter(|(before, after)| before.target != after.target).count()
}

#[test]
fn prompts_stay_with_their_targets_when_a_target_is_added() {
    let mut cluster = Cluster::new(2, 9);
    let before = send_documents(&mut cluster, 0..20);
    let now = cluster.now;
    for router in &mut cluster.fleets {
        router.apply_row(now, "new", row(99, "a"), 100);
    }
    let after = send_documents(&mut cluster, 0..20);
    assert_eq!(count_moved(&before, &after), 0);
}

#[test]
fn prompts_of_a_leaving_target_move_within_its_data_centre_and_their_prefixes_are_fetched() {
    let mut cluster = Cluster::new(2, 9);
    let before = send_documents(&mut cluster, 0..40);
    let leaving = before[0].target.clone();
    let now = cluster.now;
    let number: u8 = leaving.trim_start_matches("t-").parse().unwrap();
    let data_centre = ["a", "b", "c"][usize::from(number) % 3];
    let listed = row(number, data_centre);
    for router in &mut cluster.fleets {
        router.apply_row(now, &leaving, common::cluster::leaving_row(listed.clone()), 100);
    }
    let after = send_documents(&mut cluster, 0..40);
    for (before, after) in before.iter().zip(&after) {
        if before.target != leaving {
            assert_eq!(before.target, after.target);
            continue;
        }
        let new_number: usize = after.target.trim_start_matches("t-").parse().unwrap();
        assert_eq!(["a", "b", "c"][new_number % 3], data_centre, "{after:?}");
        assert_eq!(after.fetch.as_ref().map(|fetch| fetch.address), Some(listed.address));
    }
}

#[test]
fn targets_that_leave_or_whose_data_centre_is_out_of_service_get_no_requests() {
    let mut cluster = Cluster::new(1, 3);
    let now = cluster.now;
    let router = &mut cluster.fleets[0];
    router.apply_row(now, &target_name(0), common::cluster::leaving_row(row(0, "a")), 100);
    assert!(router.set_closed_data_centres(["b".to_owned()].into()));
    assert!(!router.set_closed_data_centres(["b".to_owned()].into()), "the set has not changed");
    let choices = send_documents(&mut cluster, 0..20);
    assert!(choices.iter().all(|choice| choice.target == target_name(2)), "{choices:?}");
    assert_eq!(row(0, "a").state, State::Ready);
}
