//! A caller that sends invalid, slow or excessive input gets a problem report or is disconnected
//! within a time limit, and other callers are still served.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::io::{Read, Write};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::{ENDLESS, Fixture, body, read, request};
use cornelpass_caller::request::MAX_TOKENS;
use cornelpass_caller::server::Limits;

const ORGANISATION: &str = "x-organisation: org-1\r\n";

/// Limits that are shorter than the defaults, so that tests end quickly.
fn limits() -> Limits {
    Limits {
        body_bytes: 64 * 1024,
        head_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        write_timeout: Duration::from_millis(500),
        ..Limits::default()
    }
}

/// Status line, `retry-after` header and body of a response.
fn summary(response: &str) -> String {
    let (head, body) = response.split_once("\r\n\r\n").unwrap_or((response, ""));
    let retry = head.lines().find(|line| line.starts_with("retry-after")).unwrap_or("");
    let status = head.lines().next().unwrap_or_default();
    [status, retry, body].join("\n")
}

fn is_served(fixture: &Fixture) -> bool {
    fixture.chat(ORGANISATION, &body("m", false)).starts_with("HTTP/1.1 200")
}

#[test]
fn each_bad_request_gets_a_problem_report() {
    let fixture = Fixture::new(limits());
    let chat = |headers: &str, body: &str| summary(&fixture.chat(headers, body));
    let valid = body("m", true);
    let tokens = |count: u64| valid.replacen('{', &format!("{{\"max_tokens\":{count},"), 1);
    let service = |headers: &str, body: &[u8]| {
        summary(&fixture.send(&request("POST", "/v1/services/orders/deposits", headers, body)))
    };
    let with_key = format!("{ORGANISATION}idempotency-key: k\r\n");
    let resume = |last: &str| format!("{ORGANISATION}last-event-id: {last}\r\n");
    let deep_array = format!("{}{}", "[".repeat(1000), "]".repeat(1000));
    let cases = [
        ("no organisation", chat("", &valid)),
        ("two organisations", chat(&format!("{ORGANISATION}{ORGANISATION}"), &valid)),
        ("organisation not text", chat("x-organisation: \u{e9}\r\n", &valid)),
        ("empty chat", chat(&format!("{ORGANISATION}x-chat-id:\r\n"), &valid)),
        ("empty chat in body", chat(ORGANISATION, &valid.replacen('{', r#"{"chat_id":"","#, 1))),
        ("long chat", chat(&format!("{ORGANISATION}x-chat-id: {}\r\n", "c".repeat(300)), &valid)),
        ("broken JSON", chat(ORGANISATION, "{\"model\":")),
        ("deep JSON", chat(ORGANISATION, &valid.replace(r#""hi""#, &deep_array))),
        ("no messages", chat(ORGANISATION, r#"{"model":"m","messages":[]}"#)),
        ("no tokens", chat(ORGANISATION, &tokens(0))),
        ("too many tokens", chat(ORGANISATION, &tokens(u64::from(MAX_TOKENS) + 1))),
        ("absurd tokens", chat(ORGANISATION, &tokens(u64::MAX))),
        ("no key", service(ORGANISATION, b"{}")),
        ("empty key", service(&format!("{ORGANISATION}idempotency-key:\r\n"), b"{}")),
        ("body not UTF-8", service(&with_key, b"\xff\xfe")),
        ("garbage to resume", chat(&resume("garbage"), "")),
        ("offset too large", chat(&resume("t/s/4294967296"), "")),
        ("unknown stream", chat(&resume("t/s/4294967295"), "")),
        ("unknown path", summary(&fixture.send(&request("GET", "/v2", "", b"")))),
        ("large body", chat(ORGANISATION, &" ".repeat(64 * 1024 + 1))),
    ];
    let text: String =
        cases.iter().map(|(name, summary)| format!("# {name}\n{summary}\n\n")).collect();
    insta::assert_snapshot!(text);
    assert_eq!(fixture.counters.handled.load(Ordering::SeqCst), 0);
    assert!(is_served(&fixture));
}

#[test]
fn a_large_body_without_a_length_is_refused() {
    let fixture = Fixture::new(limits());
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: h\r\n{ORGANISATION}transfer-encoding: chunked\r\n\r\n"
    );
    let mut stream = fixture.connect();
    stream.write_all(head.as_bytes()).unwrap();
    for _ in 0..65 {
        let _ = stream.write_all(format!("400\r\n{}\r\n", " ".repeat(1024)).as_bytes());
    }
    assert!(read(&mut stream).starts_with("HTTP/1.1 413"));
}

#[test]
fn a_slow_body_ends_within_its_limit() {
    let fixture = Fixture::new(limits());
    let mut stream = fixture.connect();
    let message = request("POST", "/v1/chat/completions", ORGANISATION, body("m", true).as_bytes());
    stream.write_all(&message[..message.len() - 1]).unwrap();
    let start = Instant::now();
    let response = read(&mut stream);
    assert!(response.starts_with("HTTP/1.1 408"), "{response}");
    assert!(response.contains(r#""reason":"too-slow","run":"not-run""#));
    assert!(start.elapsed() < Duration::from_secs(10));
    assert!(is_served(&fixture));
}

#[test]
fn too_many_headers_are_refused() {
    let fixture = Fixture::new(limits());
    let many: String = (0..100).map(|index| format!("x-{index}: 1\r\n")).collect();
    assert!(fixture.chat(&many, "").starts_with("HTTP/1.1 431"));
    let large = format!("x-large: {}\r\n", "1".repeat(64 * 1024));
    let mut stream = fixture.connect();
    let _ = stream.write_all(&request("POST", "/v1/chat/completions", &large, b""));
    let response = read(&mut stream);
    assert!(response.is_empty() || response.starts_with("HTTP/1.1 431"), "{response}");
    assert_eq!(fixture.counters.handled.load(Ordering::SeqCst), 0);
    assert!(is_served(&fixture));
}

#[test]
fn half_open_requests_hold_no_thread_and_end() {
    let fixture = Fixture::new(Limits { head_timeout: Duration::from_secs(3), ..limits() });
    let threads = || std::fs::read_dir("/proc/self/task").unwrap().count();
    assert!(is_served(&fixture));
    let before = threads();
    let mut half_open: Vec<_> = (0..300)
        .map(|_| {
            let mut stream = fixture.connect();
            stream.write_all(b"POST /v1/chat/completions HTTP/1.1\r\nhost:").unwrap();
            stream
        })
        .collect();
    assert!(is_served(&fixture));
    // Other tests of this binary run in the same process, each with one or two threads per core.
    let cores = std::thread::available_parallelism().unwrap().get();
    assert!(threads() < before + 100 + 10 * cores, "{} threads", threads());
    for stream in &mut half_open {
        read(stream);
    }
    assert!(is_served(&fixture));
}

#[test]
fn connections_over_the_limit_are_refused() {
    let limits = Limits { connections: 4, head_timeout: Duration::from_secs(2), ..limits() };
    let fixture = Fixture::new(limits);
    let mut open_connections: Vec<_> = (0..4).map(|_| fixture.connect()).collect();
    let response = fixture.chat(ORGANISATION, &body("m", false));
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains(r#""reason":"overloaded","run":"not-run""#));
    assert!(response.contains("retry-after: 1"));
    for stream in &mut open_connections {
        assert_eq!(read(stream), "");
    }
    assert!(is_served(&fixture));
}

#[test]
fn bodies_over_the_memory_budget_are_refused() {
    let limits =
        Limits { buffered_bytes: 8 * 1024, body_timeout: Duration::from_secs(2), ..limits() };
    let fixture = Fixture::new(limits);
    let headers = format!("{ORGANISATION}expect: 100-continue\r\n");
    let message = request("POST", "/v1/chat/completions", &headers, &[b' '; 8 * 1024]);
    let mut first = fixture.connect();
    first.write_all(&message[..message.len() - 1]).unwrap();
    // The server has reserved memory for the body when it asks the caller to continue.
    let mut continue_response = [0; "HTTP/1.1 100 Continue\r\n\r\n".len()];
    first.read_exact(&mut continue_response).unwrap();
    let response = fixture.chat(ORGANISATION, &body("m", false));
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains(r#""reason":"overloaded","run":"not-run""#), "{response}");
    assert!(read(&mut first).starts_with("HTTP/1.1 408"));
    assert!(is_served(&fixture));
}

#[test]
fn a_caller_that_reads_nothing_is_disconnected() {
    let fixture = Fixture::new(limits());
    let mut stream = fixture.connect();
    let message =
        request("POST", "/v1/chat/completions", ORGANISATION, body(ENDLESS, true).as_bytes());
    stream.write_all(&message).unwrap();
    let deadline = Instant::now() + Duration::from_secs(10);
    while fixture.counters.cancelled.load(Ordering::SeqCst) == 0 {
        assert!(Instant::now() < deadline, "the stream was not cancelled in time");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_caller_that_disconnects_cancels_its_stream() {
    let fixture = Fixture::new(Limits::default());
    let mut stream = fixture.connect();
    let message =
        request("POST", "/v1/chat/completions", ORGANISATION, body(ENDLESS, true).as_bytes());
    stream.write_all(&message).unwrap();
    stream.read_exact(&mut [0; 1024]).unwrap();
    drop(stream);
    let deadline = Instant::now() + Duration::from_secs(10);
    while fixture.counters.cancelled.load(Ordering::SeqCst) == 0 {
        assert!(Instant::now() < deadline, "the stream was not cancelled in time");
        std::thread::sleep(Duration::from_millis(20));
    }
}
