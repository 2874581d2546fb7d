//! Load pattern: all prompts share the same system prompt, and groups of prompts share a document.
//!
//! Many targets have cached the system prompt, but only one has cached a given document. The test
//! guards against a document that is processed again, or fetched from a target that has only the
//! system prompt.

#![allow(clippy::unwrap_used, reason = "test helpers")]

mod common;

use std::time::Duration;

use common::cluster::{Cluster, prompt, request, row};
use cornelpass_core::fleet::Choice;
use cornelpass_core::request::RetrySafety;

/// Time that a request takes at its target.
const REQUEST_DURATION: Duration = Duration::from_millis(50);

/// Slightly longer than the time after which the targets count as likely holders of cached
/// prefixes.
const HOLDER_AGE: Duration = Duration::from_secs(11);

/// Sends one request for each document of a range through a router. The router sends no reports.
fn send_documents(
    cluster: &mut Cluster,
    router: usize,
    documents: std::ops::Range<u64>,
) -> Vec<Choice> {
    let mut choices = Vec::new();
    for document in documents {
        cluster.advance(Duration::from_millis(60));
        let request =
            request(cluster.now, RetrySafety::AtMostOnce, Some(prompt(0, document, document)));
        choices.push(cluster.send(router, &request, REQUEST_DURATION).unwrap());
    }
    choices
}

#[test]
fn a_document_is_fetched_from_its_former_target_though_other_targets_have_cached_its_system_prompt()
{
    let mut cluster = Cluster::new(2, 9);
    cluster.advance(HOLDER_AGE);
    let before = send_documents(&mut cluster, 0, 0..60);
    // The other router knows the system prompt at many targets, but none of these documents.
    send_documents(&mut cluster, 1, 100..160);
    let now = cluster.now;
    cluster.fleets[1].apply_row(now, "new", row(99, "a"), 100);
    let after = send_documents(&mut cluster, 1, 0..60);
    let moved: Vec<_> =
        before.iter().zip(&after).filter(|(_, after)| after.target == "new").collect();
    assert!(!moved.is_empty());
    for (before, after) in moved {
        let fetch = after.fetch.as_ref().unwrap();
        // 8,500 are the tokens of the system prompt and of the document.
        assert_eq!((&fetch.target, fetch.tokens), (&before.target, 8_500), "{after:?}");
    }
}
