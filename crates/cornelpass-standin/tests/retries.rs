//! Retries while half of the engines fail, and requests of callers that disconnect.
//!
//! The tests guard against retry storms: without a limit on retries, failing engines would multiply
//! the load on the working ones. They also guard against engines that continue to generate
//! responses for callers that have disconnected.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::thread;

use cornelpass_standin::engine::Faults;
use cornelpass_standin::fleet::{Fleet, Layout, MODEL, wait_until};
use cornelpass_standin::http::fetch;
use cornelpass_standin::sse::Stream;
use serde_json::{Value, json};

/// Retries that a router may make for each organisation before any request has added credit to the
/// budget. All requests here are of one organisation.
const RETRY_BURST: u64 = cornelpass_core::retry::RETRY_BURST as u64;

/// Retries that the budget allows, in percent of the requests.
const RETRY_PERCENT: u64 = 20;

const ORGANISATION: (&str, &str) = ("x-organisation", "org-1");

fn body(text: &str, tokens: u32, stream: bool) -> String {
    let messages = json!([{"role": "user", "content": text}]);
    json!({"model": MODEL, "messages": messages, "max_tokens": tokens, "stream": stream})
        .to_string()
}

/// Sum of all metrics lines that start with a name, such as those of one counter with different
/// labels.
fn counter(metrics: &str, name: &str) -> u64 {
    let lines = metrics.lines().filter(|line| line.starts_with(name));
    lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<u64>().ok()).sum()
}

#[test]
fn engines_that_close_the_connection_of_each_request_cause_no_storm_of_retries() {
    assert_no_retry_storm(&Faults { drop_requests: u32::MAX, ..Faults::default() });
}

#[test]
fn engines_that_refuse_each_request_cause_no_storm_of_retries() {
    assert_no_retry_storm(&Faults { refuse: Some(503), ..Faults::default() });
}

/// Sends requests to a fleet in which half of the engines have faults, and asserts that retries and
/// attempts stay within the budget and that refusals state when to try again.
fn assert_no_retry_storm(faults: &Faults) {
    let policy = json!({
        "load_multiple_percent": 150, "load_floor": 64, "retry_percent": RETRY_PERCENT,
    });
    let layout = Layout { engines: 4, services: 0, cold_limit: 64, policy, ..Layout::default() };
    let fleet = Fleet::start(layout).unwrap();
    for engine in &fleet.engines[..2] {
        engine.set_faults(faults.clone());
    }
    let requests = 200;
    let callers: Vec<_> = (0..4)
        .map(|caller| {
            let router = fleet.router_address(caller % fleet.routers.len()).unwrap();
            thread::spawn(move || {
                let request_body = |number: usize| body(&format!("{caller}-{number}"), 1, false);
                let send = |number: usize| {
                    let path = "/v1/chat/completions";
                    fetch(router, "POST", path, &[ORGANISATION], &request_body(number)).unwrap()
                };
                (0..requests / 4).map(send).collect::<Vec<_>>()
            })
        })
        .collect();
    let responses: Vec<_> = callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect();
    let requests = requests as u64;
    let metrics = |index: usize| {
        let operators = fleet.routers[index].address("operators").unwrap();
        fetch(operators, "GET", "/metrics", &[], "").unwrap().1
    };
    let routers = fleet.routers.len();
    let retried: u64 =
        (0..routers).map(|index| counter(&metrics(index), "cornelpass_retries")).sum();
    let completed = responses.iter().filter(|(status, _)| *status == 200).count();
    let received: u64 = fleet.engines.iter().map(|engine| engine.counts().received).sum();
    eprintln!("{requests} requests, {retried} retries, {received} received, {completed} complete");
    let retry_limit = requests * RETRY_PERCENT / 100 + routers as u64 * RETRY_BURST;
    assert!((1..=retry_limit).contains(&retried), "{retried} retries of {requests} requests");
    assert!(received <= requests + retry_limit, "{received} attempts at {requests} requests");
    for (status, text) in responses.iter().filter(|(status, _)| *status != 200) {
        let problem: Value = serde_json::from_str(text).unwrap();
        assert!(problem["retry_after_seconds"].is_u64(), "{status} {text}");
    }
}

#[test]
fn requests_of_disconnected_callers_are_cancelled_at_the_engine() {
    let fleet = Fleet::start(Layout { routers: 1, ..Layout::default() }).unwrap();
    let cancelled = || fleet.engines.iter().map(|engine| engine.counts().cancelled).sum::<u64>();
    let open_stream = |tokens, stream| {
        Stream::open(
            fleet.router_address(0).unwrap(),
            &[ORGANISATION],
            &body("gone", tokens, stream),
        )
    };
    let mut stream = open_stream(100_000, true).unwrap();
    stream.next_event().unwrap().unwrap();
    drop(stream);
    wait_until(|| cancelled() == 1).unwrap();

    // A caller of a response that is not streamed disconnects before any part of the response has
    // arrived.
    let received = || fleet.engines.iter().map(|engine| engine.counts().received).sum::<u64>();
    let mut connection = std::net::TcpStream::connect(fleet.router_address(0).unwrap()).unwrap();
    let text = body("gone too", 100_000, false);
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\nx-organisation: org-1\r\n\
         content-length: {}\r\n\r\n{text}",
        text.len(),
    );
    std::io::Write::write_all(&mut connection, request.as_bytes()).unwrap();
    wait_until(|| received() == 2).unwrap();
    drop(connection);
    wait_until(|| cancelled() == 2).unwrap();
}
