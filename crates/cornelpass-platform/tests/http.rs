//! The platform's client, with the stand-in of the platform, and with peers that send truncated
//! responses or none.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use cornelpass_platform::Error;
use cornelpass_platform::http::Platform;
use cornelpass_platform::instances::{Instance, Instances, State};
use cornelpass_platform::objects::Objects;
use cornelpass_platform::table::{Commit, Table};
use cornelpass_standin::platform::{self, Faults, Mode};
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Starts the stand-in of the platform, and returns a client for it.
fn start() -> (platform::Platform, Platform) {
    let standin = platform::serve(TcpListener::bind("127.0.0.1:0").unwrap());
    let client = Platform::new(standin.address(), TIMEOUT);
    (standin, client)
}

/// Starts a peer that accepts `connections` connections, reads one request from each, writes the
/// bytes of `response` and closes the connection.
///
/// The thread returns the number of commit requests on each connection, and one more entry if
/// another connection is pending after the last one.
fn start_peer(response: &'static [u8], connections: usize) -> (SocketAddr, JoinHandle<Vec<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let thread = thread::spawn(move || {
        let mut request_counts = Vec::new();
        for _ in 0..connections {
            let (mut stream, _) = listener.accept().unwrap();
            let mut buffer = [0; 65536];
            let mut received = Vec::new();
            while !received.ends_with(b"}") && !received.ends_with(b"\r\n\r\n") {
                let count = stream.read(&mut buffer).unwrap();
                received.extend_from_slice(&buffer[..count]);
            }
            request_counts.push(received.windows(5).filter(|bytes| *bytes == b"POST ").count());
            stream.write_all(response).unwrap();
        }
        listener.set_nonblocking(true).unwrap();
        if listener.accept().is_ok() {
            request_counts.push(usize::MAX);
        }
        request_counts
    });
    (address, thread)
}

#[test]
fn rows_are_committed_conditionally() {
    let (_standin, table) = start();
    assert_eq!(table.read("a b/ç?&").unwrap(), None);
    let first = Commit::new().if_unchanged("a b/ç?&", None).put("a b/ç?&", json!({"n": 1}));
    let revision = table.commit(&first).unwrap();
    let row = table.read("a b/ç?&").unwrap().unwrap();
    assert_eq!((row.revision, row.value), (revision, json!({"n": 1})));
    let conflict = table.commit(&first).unwrap_err();
    assert_eq!(conflict, Error::Conflict { keys: vec!["a b/ç?&".to_owned()] });
}

#[test]
fn a_deletion_raises_the_revision_of_its_prefix() {
    let (_standin, table) = start();
    table.commit(&Commit::new().put("p/1", json!(1)).put("p/2", json!(2))).unwrap();
    let before = table.scan("p/").unwrap();
    assert_eq!(before.rows.len(), 2);
    table.commit(&Commit::new().delete("p/2")).unwrap();
    let after = table.scan("p/").unwrap();
    assert!(after.revision > before.revision);
    assert_eq!(after.rows.len(), 1);
    let stale = Commit::new().if_prefix_unchanged("p/", before.revision).put("q", json!(0));
    assert_eq!(table.commit(&stale).unwrap_err(), Error::Conflict { keys: vec!["p/".to_owned()] });
    assert_eq!(table.read("q").unwrap(), None);
}

#[test]
fn objects_and_instances_are_kept() {
    let (standin, client) = start();
    let bytes = vec![7_u8; 100_000];
    assert_eq!(Objects::get(&client, "answer/1").unwrap(), None);
    client.put("answer/1", &bytes).unwrap();
    assert_eq!(Objects::get(&client, "answer/1").unwrap(), Some(bytes));
    let instance = Instance {
        name: "router-1".to_owned(),
        address: "10.0.0.1:9000".parse().unwrap(),
        state: State::Leaving,
    };
    client.record(&instance).unwrap();
    assert_eq!(client.list().unwrap(), vec![instance]);
    standin.set_faults(Faults { instance_lag_ms: 3_600_000, ..Faults::default() });
    assert_eq!(client.list().unwrap(), vec![]);
}

#[test]
fn a_refused_connection_is_unreachable() {
    let refusing_address = "127.0.0.1:1".parse().unwrap();
    let error = Platform::new(refusing_address, TIMEOUT).commit(&Commit::new()).unwrap_err();
    assert!(matches!(error, Error::Unreachable { .. }), "{error}");
}

#[test]
fn a_connection_closed_without_a_response_is_a_lost_response_and_gets_one_request() {
    let (address, peer) = start_peer(b"", 1);
    let error = Platform::new(address, TIMEOUT).commit(&Commit::new()).unwrap_err();
    assert!(matches!(error, Error::Lost { .. }), "{error}");
    assert_eq!(peer.join().unwrap(), vec![1]);
}

#[test]
fn answers_that_are_cut_short_are_lost() {
    let truncated_responses: [&'static [u8]; 6] = [
        b"HTTP/1.1 409",
        b"HTTP/1.1 409 Conflict\r\n",
        b"HTTP/1.1 409 Conflict\r\nContent-Length: 16\r\n\r\n{\"conf",
        b"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"revision\":1",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\ne\r\n{\"revision\":",
        b"HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n",
    ];
    for response in truncated_responses {
        let (address, peer) = start_peer(response, 1);
        let error = Platform::new(address, TIMEOUT).commit(&Commit::new()).unwrap_err();
        assert!(matches!(error, Error::Lost { .. }), "{error} after {response:?}");
        assert_eq!(peer.join().unwrap(), vec![1]);
    }
}

#[test]
fn a_complete_response_with_status_429_is_rejected() {
    let (address, peer) = start_peer(b"HTTP/1.1 429 Too Many\r\nContent-Length: 0\r\n\r\n", 1);
    let error = Platform::new(address, TIMEOUT).commit(&Commit::new()).unwrap_err();
    assert_eq!(error, Error::Rejected { status: 429, message: String::new() });
    peer.join().unwrap();
}

#[test]
fn a_late_answer_is_lost_and_the_commit_may_take_effect_afterwards() {
    let (standin, _) = start();
    let table = Platform::new(standin.address(), Duration::from_millis(1));
    standin.set_faults(Faults { table: Mode::Slow, slow_ms: 900, ..Faults::default() });
    let error = table.commit(&Commit::new().put("late", json!(1))).unwrap_err();
    assert!(matches!(error, Error::Lost { .. }), "{error}");
    standin.set_faults(Faults::default());
    while standin.row("late").is_none() {
        thread::yield_now();
    }
}

#[test]
fn lost_requests_and_lost_responses_look_the_same() {
    let (standin, table) = start();
    let commit = Commit::new().if_unchanged("k", None).put("k", json!(1));
    standin.set_faults(Faults { lose_requests: 1, ..Faults::default() });
    assert!(table.commit(&commit).unwrap_err().may_have_taken_effect());
    assert_eq!(standin.row("k"), None);
    standin.set_faults(Faults { lose_answers: 1, ..Faults::default() });
    assert!(table.commit(&commit).unwrap_err().may_have_taken_effect());
    assert_eq!(standin.row("k"), Some(json!(1)));
    standin.set_faults(Faults { table: Mode::Down, ..Faults::default() });
    assert!(matches!(table.read("k").unwrap_err(), Error::Lost { .. }));
    assert_eq!(standin.counters().commits, 1);
}
