//! Callers can detect incomplete responses, and a planned stop does not interrupt responses.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use common::{ABORTED, ENDLESS, Fixture, body, read, request};
use cornelpass_caller::server::{Limits, Stage};

const ORGANISATION: &str = "x-organisation: org-1\r\n";

#[test]
fn a_response_whose_events_stop_early_has_no_final_chunk() {
    let fixture = Fixture::new(Limits::default());
    let response = fixture.chat(ORGANISATION, &body(ABORTED, true));
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(!response.contains("[DONE]"), "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "the body has its final HTTP chunk: {response}");
    let complete = fixture.chat(ORGANISATION, &body("m", true));
    assert!(complete.ends_with("data: [DONE]\n\n\r\n0\r\n\r\n"), "{complete}");
}

#[test]
fn a_response_aborted_after_a_piece_contains_the_piece() {
    let fixture = Fixture::new(Limits::default());
    // Repeated, because without the flush before an error (see `flush`) it depends on the timing
    // whether the piece is lost.
    for _ in 0..500 {
        let response = fixture.chat(ORGANISATION, &body(ABORTED, true));
        assert!(response.contains(r#""content":"a""#), "{response}");
    }
}

#[test]
fn a_lost_response_without_streaming_is_a_problem_report() {
    let fixture = Fixture::new(Limits::default());
    let response = fixture.chat(ORGANISATION, &body(ABORTED, false));
    assert!(response.starts_with("HTTP/1.1 502"), "{response}");
    assert!(response.contains(r#""run":"unknown""#), "{response}");
}

/// Sends a request that keeps its connection open, and reads the whole response.
fn send_keep_alive(stream: &mut TcpStream) -> String {
    let message =
        request("POST", "/v1/chat/completions", ORGANISATION, body("m", false).as_bytes());
    let message = String::from_utf8(message).unwrap().replace("connection: close\r\n", "");
    stream.write_all(message.as_bytes()).unwrap();
    let mut response = String::new();
    let mut bytes = [0; 4096];
    while !response.ends_with('}') {
        let length = stream.read(&mut bytes).unwrap();
        assert!(length > 0, "closed early: {response}");
        response.push_str(&String::from_utf8_lossy(&bytes[..length]));
    }
    response
}

#[test]
fn a_planned_stop_closes_connections_between_requests() {
    let mut fixture = Fixture::new(Limits::default());
    let mut stream = fixture.connect();
    assert!(!send_keep_alive(&mut stream).contains("connection: close"));
    fixture.stage.send_replace(Stage::Closing);
    assert!(send_keep_alive(&mut stream).contains("connection: close"));
    assert_eq!(read(&mut stream), "");
    let mut idle = fixture.connect();
    assert!(send_keep_alive(&mut fixture.connect()).starts_with("HTTP/1.1 200"));
    let mut streaming = fixture.connect();
    let message =
        request("POST", "/v1/chat/completions", ORGANISATION, body(ENDLESS, true).as_bytes());
    streaming.write_all(&message).unwrap();
    let mut bytes = [0; 4096];
    assert!(streaming.read(&mut bytes).unwrap() > 0);
    fixture.stage.send_replace(Stage::Finishing);
    assert_eq!(read(&mut idle), "");
    for _ in 0..100 {
        streaming.read_exact(&mut bytes).unwrap();
    }
    assert!(!fixture.serving.is_finished());
    drop(streaming);
    let serving = &mut fixture.serving;
    fixture.runtime.block_on(async {
        tokio::time::timeout(Duration::from_secs(10), serving).await.unwrap().unwrap();
    });
    assert!(TcpStream::connect(fixture.address).is_err());
}
