//! A chat and a call with an idempotency key through all processes: router, sidecar and target.

use cornelpass_standin::engine;
use cornelpass_standin::fleet::{Fleet, Layout, MODEL, SERVICE};
use cornelpass_standin::http::fetch;
use serde_json::{Value, json};

#[test]
fn a_chat_gets_the_complete_response() {
    let fleet = Fleet::start(Layout::default()).unwrap();
    let messages = json!([{"role": "user", "content": "spruce"}]);
    let body = json!({"model": MODEL, "messages": messages, "max_tokens": 12});
    let headers = [("x-organisation", "org-1"), ("x-chat-id", "a")];
    let router = fleet.router_address(0).unwrap();
    let (status, text) =
        fetch(router, "POST", "/v1/chat/completions", &headers, &body.to_string()).unwrap();
    assert_eq!(status, 200, "{text}");
    let completion: Value = serde_json::from_str(&text).unwrap();
    let expected = engine::expected_text(&messages.to_string(), 12);
    assert_eq!(completion["choices"][0]["message"]["content"], expected);
}

#[test]
fn a_repeated_call_with_an_idempotency_key_runs_once() {
    let fleet = Fleet::start(Layout::default()).unwrap();
    let headers = [("x-organisation", "org-1"), ("idempotency-key", "deposit-1")];
    let path = format!("/v1/services/{SERVICE}/deposits");
    let mut statuses = Vec::new();
    for index in 0..fleet.routers.len() {
        let router = fleet.router_address(index).unwrap();
        statuses.push(fetch(router, "POST", &path, &headers, "{}").unwrap().0);
    }
    assert_eq!(statuses[0], 201);
    assert_eq!(fleet.services[0].executions().total, 1);
}
