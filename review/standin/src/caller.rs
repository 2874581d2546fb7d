//! Stand-in for a client that sends one request on a new connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::config::HOST;
use crate::http::Connection;
use crate::record::Record;

static SENT: AtomicU32 = AtomicU32::new(0);

/// A new request ID.
#[must_use]
pub fn new_id() -> String {
    format!("{:016x}", SENT.fetch_add(1, Ordering::SeqCst) + 1)
}

/// Head of a request, without the blank line at its end.
#[must_use]
pub fn head(method: &str, path: &str, id: &str, key: &str, deadline_ms: u32) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n"
    )
}

/// Sends a GET request; returns its ID and the status of the answer, 0 without an answer.
pub fn send(record: &Record, router: SocketAddr, path: &str, key: &str) -> (String, u16) {
    let id = new_id();
    let request = head("GET", path, &id, key, 600) + "\r\n";
    record.line(&format!("client sends GET {path} id {id} key {key} to {router}"));
    let answer = Connection::open(router, Duration::from_secs(2)).and_then(|mut connection| {
        connection.write(request.as_bytes())?;
        connection.read().map_err(|(error, _)| error)
    });
    let status = answer.map_or(0, |answer| answer.status());
    record.line(&format!("client gets {status} for id {id}"));
    (id, status)
}
