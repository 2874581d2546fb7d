//! A content that crashes each engine that runs it takes down few, and the innocent are answered.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use cornelpass_standin::engine::{self, Faults, Options};
use cornelpass_standin::fleet::{Fleet, Layout, MODEL, wait_until};
use cornelpass_standin::http::fetch;
use serde_json::{Value, json};

/// Text on which engines crash.
const KILLER: &str = "cursed fitting";

/// Engines that one content may take down, when its strikes are told at once on a loss.
const CEILING: u64 = 5;

/// Tokens of an answer.
const TOKENS: u32 = 30;

fn ask(router: SocketAddr, chat: &str, text: &str) -> (u16, Value, bool) {
    let messages = json!([{"role": "user", "content": text}]);
    let body = json!({"model": MODEL, "messages": messages, "max_tokens": TOKENS}).to_string();
    let headers = [("x-organisation", "org-1"), ("x-chat-id", chat)];
    let answer = fetch(router, "POST", "/v1/chat/completions", &headers, &body);
    let (status, text) = answer.unwrap();
    let value: Value = serde_json::from_str(&text).unwrap_or_default();
    let whole = engine::expected_text(&messages.to_string(), TOKENS);
    let is_whole = value["choices"][0]["message"]["content"] == whole;
    (status, value, is_whole)
}

/// Asks until the whole answer has come.
fn persist(router: SocketAddr, number: usize) {
    let (chat, text) = (format!("innocent-{number}"), format!("spruce {number}"));
    wait_until(|| {
        let (status, value, whole) = ask(router, &chat, &text);
        assert_ne!(value["reason"], "suspected-crash", "{number}: {value}");
        assert!(status != 200 || whole, "{number}: {value}");
        whole
    })
    .unwrap();
}

#[test]
fn one_content_takes_down_few_engines_and_the_innocent_are_answered() {
    let engine = Options { inter_token: Duration::from_millis(20), ..Options::default() };
    let layout = Layout { engines: 8, services: 0, routers: 3, ..Layout::default() };
    let fleet = Fleet::start(Layout { engine, cold_limit: 16, ..layout }).unwrap();
    let crash = Faults { crash_on: Some(KILLER.to_owned()), ..Faults::default() };
    fleet.engines.iter().for_each(|engine| engine.set_faults(crash.clone()));
    let routers = [0, 1, 2].map(|index| fleet.router_address(index).unwrap());
    let innocent: Vec<_> =
        (0..24).map(|number| thread::spawn(move || persist(routers[number % 3], number))).collect();
    let running = || fleet.engines.iter().map(|engine| engine.counts().running).sum::<usize>();
    wait_until(|| running() >= 16).unwrap();
    let mut reasons = Vec::new();
    for round in 0..30 {
        let (status, value, _) = ask(routers[round % 3], &format!("chat-{round}"), KILLER);
        assert_ne!(status, 200, "{value}");
        reasons.push(value["reason"].as_str().unwrap_or_default().to_owned());
    }
    let crashed = || fleet.engines.iter().map(|engine| engine.counts().crashed).sum::<u64>();
    assert!(crashed() <= CEILING, "{} engines, {reasons:?}", crashed());
    assert!(reasons.iter().rev().take(10).all(|reason| reason == "suspected-crash"), "{reasons:?}");
    innocent.into_iter().for_each(|caller| caller.join().unwrap());
    assert!(crashed() > 0);
}
