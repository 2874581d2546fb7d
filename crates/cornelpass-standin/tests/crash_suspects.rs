//! A request content that crashes each engine that runs it crashes only a few engines, and all
//! other requests complete.
//!
//! The test guards against retries and repeats that send such a content to one engine after
//! another. It also guards against wrong suspicions: a request that was in progress at a crashed
//! engine must not be refused because of the crash.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use cornelpass_standin::engine::{self, Faults, Options};
use cornelpass_standin::fleet::{Fleet, Layout, MODEL, wait_until};
use cornelpass_standin::http::fetch;
use serde_json::{Value, json};

/// Text that crashes an engine.
const CRASHING_TEXT: &str = "cursed fitting";

/// Crashes, over all engines, that one content may cause.
///
/// The number is below the crash count at which a content is blocked (`suspect::CRASH_LIMIT`),
/// since a content that crashes a target while it runs isolated is blocked at once. It assumes that
/// a crash count is reported immediately when an engine is lost.
const CRASHES_ALLOWED: u64 = 5;

/// Tokens of each response.
const TOKENS: u32 = 30;

/// Sends a chat request. Returns the status, the body, and whether the response is complete.
fn send_chat(router: SocketAddr, chat: &str, text: &str) -> (u16, Value, bool) {
    let messages = json!([{"role": "user", "content": text}]);
    let body = json!({"model": MODEL, "messages": messages, "max_tokens": TOKENS}).to_string();
    let headers = [("x-organisation", "org-1"), ("x-chat-id", chat)];
    let response = fetch(router, "POST", "/v1/chat/completions", &headers, &body);
    let (status, text) = response.unwrap();
    let value: Value = serde_json::from_str(&text).unwrap_or_default();
    let expected = engine::expected_text(&messages.to_string(), TOKENS);
    let is_complete = value["choices"][0]["message"]["content"] == expected;
    (status, value, is_complete)
}

/// Sends a chat request until it gets the complete response. Asserts that the content is never
/// suspected.
fn send_until_complete(router: SocketAddr, number: usize) {
    let (chat, text) = (format!("innocent-{number}"), format!("spruce {number}"));
    wait_until(|| {
        let (status, value, is_complete) = send_chat(router, &chat, &text);
        assert_ne!(value["reason"], "suspected-crash", "{number}: {value}");
        assert!(status != 200 || is_complete, "{number}: {value}");
        is_complete
    })
    .unwrap();
}

#[test]
fn one_content_crashes_few_engines_and_other_requests_complete() {
    let engine = Options { inter_token: Duration::from_millis(20), ..Options::default() };
    let layout = Layout { engines: 8, services: 0, routers: 3, ..Layout::default() };
    let fleet = Fleet::start(Layout { engine, cold_limit: 16, ..layout }).unwrap();
    let faults = Faults { crash_on: Some(CRASHING_TEXT.to_owned()), ..Faults::default() };
    fleet.engines.iter().for_each(|engine| engine.set_faults(faults.clone()));
    let routers = [0, 1, 2].map(|index| fleet.router_address(index).unwrap());
    let other_callers: Vec<_> = (0..24)
        .map(|number| thread::spawn(move || send_until_complete(routers[number % 3], number)))
        .collect();
    let running = || fleet.engines.iter().map(|engine| engine.counts().running).sum::<usize>();
    wait_until(|| running() >= 16).unwrap();
    let mut reasons = Vec::new();
    for round in 0..30 {
        let (status, value, _) =
            send_chat(routers[round % 3], &format!("chat-{round}"), CRASHING_TEXT);
        assert_ne!(status, 200, "{value}");
        reasons.push(value["reason"].as_str().unwrap_or_default().to_owned());
    }
    let crashed = || fleet.engines.iter().map(|engine| engine.counts().crashed).sum::<u64>();
    assert!(crashed() <= CRASHES_ALLOWED, "{} crashes, {reasons:?}", crashed());
    assert!(reasons.iter().rev().take(10).all(|reason| reason == "suspected-crash"), "{reasons:?}");
    other_callers.into_iter().for_each(|caller| caller.join().unwrap());
    assert!(crashed() > 0);
}
