//! A sidecar replaces connections to its engine that become silent for good.
//!
//! The test guards against streams that hang or fail when nothing more arrives on their
//! connections, which stay open, while the engine itself works. It also guards against a sidecar
//! that treats the engine as lost, or runs a request twice.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::thread;

use cornelpass_standin::engine::{self, Faults};
use cornelpass_standin::fleet::{Fleet, Layout, MODEL, wait_until};
use cornelpass_standin::http::fetch;
use serde_json::{Value, json};

/// Tokens of each response.
const TOKENS: u32 = 60;

/// Code of the log event that a target does not respond.
const TARGET_LOST_EVENT: u64 = 501;

#[test]
fn silent_connections_are_replaced_and_the_streams_continue() {
    let layout = Layout { engines: 1, services: 0, organisations: 1, ..Layout::default() };
    let fleet = Fleet::start(layout).unwrap();
    let router = fleet.router_address(0).unwrap();
    let callers: Vec<_> = (0..4)
        .map(|number| {
            thread::spawn(move || {
                let messages = json!([{"role": "user", "content": format!("spruce {number}")}]);
                let body = json!({"model": MODEL, "messages": messages, "max_tokens": TOKENS});
                let headers = [("x-organisation", "org-1")];
                let path = "/v1/chat/completions";
                let (status, text) =
                    fetch(router, "POST", path, &headers, &body.to_string()).unwrap();
                let completion: Value = serde_json::from_str(&text).unwrap();
                assert_eq!(status, 200, "{text}");
                let content = &completion["choices"][0]["message"]["content"];
                assert_eq!(content, &engine::expected_text(&messages.to_string(), TOKENS));
            })
        })
        .collect();
    let engine = &fleet.engines[0];
    wait_until(|| engine.counts().received == 4 && engine.counts().generated >= 20).unwrap();
    engine.set_faults(Faults { silence_open: true, ..Faults::default() });
    callers.into_iter().for_each(|caller| caller.join().unwrap());
    let counts = engine.counts();
    assert_eq!((counts.received, counts.cancelled), (4, 0), "{counts:?}");
    assert_eq!(counts.generated, 4 * u64::from(TOKENS), "{counts:?}");
    let is_target_lost = |line: &Value| line["event"] == TARGET_LOST_EVENT;
    assert!(
        !fleet.sidecars[0].log_lines().iter().any(is_target_lost),
        "{:#?}",
        fleet.sidecars[0].log_lines()
    );
}
