//! HTTP interface of the platform's stand-in: commits, faults and the instance list.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::net::TcpListener;

use cornelpass_standin::platform::{self, Platform};
use serde_json::{Value, json};

fn start() -> Platform {
    platform::serve(TcpListener::bind("127.0.0.1:0").unwrap())
}

fn send(platform: &Platform, method: minreq::Method, path: &str, body: &Value) -> (u16, Value) {
    let url = format!("http://{}{path}", platform.address());
    let request = minreq::Request::new(method, url).with_body(body.to_string());
    let request = request.with_timeout(5).with_header("Connection", "close");
    let response = request.send().unwrap();
    (response.status_code, serde_json::from_slice(response.as_bytes()).unwrap_or_default())
}

fn get(platform: &Platform, path: &str) -> (u16, Value) {
    send(platform, minreq::Method::Get, path, &Value::Null)
}

fn post(platform: &Platform, path: &str, body: &Value) -> (u16, Value) {
    send(platform, minreq::Method::Post, path, body)
}

#[test]
fn commits_are_atomic_and_conditional() {
    let platform = start();
    let commit = json!({
        "conditions": [{"key": "a", "revision": null}],
        "puts": [{"key": "a", "value": 1}, {"key": "b", "value": [2]}],
    });
    assert_eq!(post(&platform, "/v1/table/commit", &commit), (200, json!({"revision": 1})));
    let conflict = json!({
        "conditions": [{"key": "a", "revision": 1}, {"key": "b", "revision": 7}],
        "prefix_conditions": [{"prefix": "", "revision": 0}],
        "puts": [{"key": "a", "value": 3}],
        "deletes": ["b"],
    });
    let rejected = (409, json!({"conflicts": ["b", ""]}));
    assert_eq!(post(&platform, "/v1/table/commit", &conflict), rejected);
    let row = json!({"key": "a", "revision": 1, "value": 1});
    assert_eq!(get(&platform, "/v1/table/row?key=a"), (200, row.clone()));
    let rows = json!({"revision": 1, "rows": [row]});
    assert_eq!(get(&platform, "/v1/table/rows?prefix=a"), (200, rows));
    assert_eq!(get(&platform, "/v1/table/row?key=c").0, 404);
    assert_eq!(post(&platform, "/v1/table/commit", &json!({"writes": []})).0, 400);
}

#[test]
fn faults_can_be_set_over_http() {
    let platform = start();
    let put = json!({"puts": [{"key": "a", "value": 1}]});
    assert_eq!(post(&platform, "/faults", &json!({"lose_answers": 1})).0, 200);
    // The client minreq reports status 503 if the server closes the connection without a response.
    assert_eq!(post(&platform, "/v1/table/commit", &put), (503, Value::Null));
    assert_eq!(platform.row("a"), Some(json!(1)));
    assert_eq!(post(&platform, "/faults", &json!({"table": "down"})).0, 200);
    // Here, too, the stand-in closes the connection without a response.
    assert_eq!(get(&platform, "/v1/table/row?key=a"), (503, Value::Null));
    let counters = get(&platform, "/v1/counters").1;
    assert_eq!((&counters["commits"], &counters["reads"]), (&json!(1), &json!(0)));
    assert_eq!(post(&platform, "/faults", &json!({})).0, 200);
    assert_eq!(get(&platform, "/v1/table/row?key=a").0, 200);
    assert_eq!(post(&platform, "/faults", &json!({"table": "sideways"})).0, 400);
}

#[test]
fn the_instance_list_lags() {
    let platform = start();
    let instance = json!({"address": "10.0.0.1:7400", "state": "leaving"});
    let put = send(&platform, minreq::Method::Put, "/v1/instances/router-1", &instance);
    assert_eq!(put.0, 200);
    let listed = json!([{"name": "router-1", "address": "10.0.0.1:7400", "state": "leaving"}]);
    assert_eq!(get(&platform, "/v1/instances"), (200, listed));
    post(&platform, "/faults", &json!({"instance_lag_ms": 3_600_000}));
    assert_eq!(get(&platform, "/v1/instances"), (200, json!([])));
}
