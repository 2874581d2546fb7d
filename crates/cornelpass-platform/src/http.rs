//! HTTP client of the platform.
//!
//! Each request uses a new connection: a kept connection may have broken while it was idle, and the
//! client would then have to send the request again. A response counts only if it has a status line
//! and as many bytes in its body as its `Content-Length` header states, because `minreq` reports a
//! connection that was closed without a response as status 503, and a truncated body as a complete
//! one.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::Error;
use crate::instances::{Instance, Instances};
use crate::objects::Objects;
use crate::table::{Commit, Listing, Revision, Row, Table};

/// Characters that are percent-encoded in a path or query value.
const ESCAPED: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~').remove(b'/');

/// Client of the platform at one address.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    address: SocketAddr,
    timeout: Duration,
}

/// A complete response.
#[derive(Debug)]
struct Response {
    status: u16,
    body: Vec<u8>,
}

/// Body of the response to a commit that took effect.
#[derive(Deserialize)]
struct Committed {
    revision: Revision,
}

/// Body of the response to a commit with a condition that did not hold.
#[derive(Deserialize)]
struct Conflicts {
    conflicts: Vec<String>,
}

impl Platform {
    /// Creates a client with a time-out for one exchange, from the connection to the end of the
    /// response.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { address, timeout }
    }

    /// Sends a request once, and returns the response if it is complete.
    fn send(
        &self,
        method: minreq::Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Response, Error> {
        let mut request = minreq::Request::new(method, format!("http://{}{path}", self.address))
            .with_follow_redirects(false)
            .with_max_headers_size(None)
            .with_header("Connection", "close");
        if let Some(body) = body {
            request = request.with_body(body);
        }
        complete(self.exchange(request)?)
    }

    /// Sends a request, and waits for its response until the time-out.
    ///
    /// `minreq` supports time-outs in whole seconds only. With any other time-out the exchange runs
    /// on a separate thread, which may continue for less than a second after the time-out.
    fn exchange(&self, request: minreq::Request) -> Result<minreq::Response, Error> {
        let is_fractional = self.timeout.subsec_nanos() > 0;
        let request = request.with_timeout(self.timeout.as_secs() + u64::from(is_fractional));
        if !is_fractional {
            return request.send().map_err(|error| classify(&error));
        }
        let (sender, receiver) = flume::bounded(1);
        thread::spawn(move || sender.send(request.send()));
        match receiver.recv_timeout(self.timeout) {
            Ok(result) => result.map_err(|error| classify(&error)),
            Err(_) => Err(lost("no response within the time-out")),
        }
    }

    fn fetch(&self, path: &str) -> Result<Response, Error> {
        self.send(minreq::Method::Get, path, None)
    }
}

impl Table for Platform {
    fn read(&self, key: &str) -> Result<Option<Row>, Error> {
        let response = self.fetch(&format!("/v1/table/row?key={}", escape(key)))?;
        if response.status == 404 { Ok(None) } else { decode_success(&response).map(Some) }
    }

    fn scan(&self, prefix: &str) -> Result<Listing, Error> {
        decode_success(&self.fetch(&format!("/v1/table/rows?prefix={}", escape(prefix)))?)
    }

    fn commit(&self, commit: &Commit) -> Result<Revision, Error> {
        let response =
            self.send(minreq::Method::Post, "/v1/table/commit", Some(encode(commit)?))?;
        if response.status == 409 {
            let Conflicts { conflicts: keys } = decode(&response)?;
            return Err(Error::Conflict { keys });
        }
        decode_success(&response).map(|committed: Committed| committed.revision)
    }
}

impl Objects for Platform {
    fn get(&self, key: &str) -> Result<Option<Vec<u8>>, Error> {
        let response = self.fetch(&format!("/v1/objects/{}", escape(key)))?;
        if response.status == 404 {
            return Ok(None);
        }
        check_success(&response)?;
        Ok(Some(response.body))
    }

    fn put(&self, key: &str, bytes: &[u8]) -> Result<(), Error> {
        let path = format!("/v1/objects/{}", escape(key));
        check_success(&self.send(minreq::Method::Put, &path, Some(bytes.to_vec()))?)
    }
}

impl Instances for Platform {
    fn list(&self) -> Result<Vec<Instance>, Error> {
        decode_success(&self.fetch("/v1/instances")?)
    }

    fn record(&self, instance: &Instance) -> Result<(), Error> {
        let path = format!("/v1/instances/{}", escape(&instance.name));
        check_success(&self.send(minreq::Method::Put, &path, Some(encode(instance)?))?)
    }
}

fn escape(text: &str) -> String {
    utf8_percent_encode(text, ESCAPED).to_string()
}

fn lost(message: impl ToString) -> Error {
    Error::Lost { message: message.to_string() }
}

/// Converts the error of a failed exchange, by whether the request may have been sent.
///
/// Only a refused connection shows that nothing was sent. After a time-out the exchange may still
/// continue in the background.
fn classify(error: &minreq::Error) -> Error {
    match error {
        minreq::Error::IoError(cause) if cause.kind() == ErrorKind::ConnectionRefused => {
            Error::Unreachable { message: cause.to_string() }
        }
        _ => lost(error),
    }
}

/// Returns a response if its body has the length that its `Content-Length` header states.
fn complete(response: minreq::Response) -> Result<Response, Error> {
    let content_length =
        response.header("content-length").and_then(|text| text.trim().parse::<usize>().ok());
    let status = response.status_code;
    let body = response.into_bytes();
    match content_length {
        Some(length) if body.len() == length => Ok(Response { status, body }),
        Some(length) => {
            Err(lost(format!("response body truncated: got {} of {length} bytes", body.len())))
        }
        None => Err(lost("connection closed without a response of known length")),
    }
}

/// Checks that the status of a response reports success.
///
/// A server error (status 500 or more) does not show whether the request took effect.
fn check_success(response: &Response) -> Result<(), Error> {
    let message = || String::from_utf8_lossy(&response.body).into_owned();
    match response.status {
        200..=299 => Ok(()),
        status @ 400..=499 => Err(Error::Rejected { status, message: message() }),
        status => Err(lost(format!("status {status}: {}", message()))),
    }
}

fn decode_success<T: DeserializeOwned>(response: &Response) -> Result<T, Error> {
    check_success(response)?;
    decode(response)
}

/// Decodes the body of a response.
///
/// A malformed body does not show whether the request took effect, so it is a lost response.
fn decode<T: DeserializeOwned>(response: &Response) -> Result<T, Error> {
    serde_json::from_slice(&response.body).map_err(lost)
}

/// Encodes the body of a request.
///
/// A value that cannot be encoded is reported as rejected, as nothing is sent.
fn encode(value: &impl Serialize) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(value)
        .map_err(|error| Error::Rejected { status: 400, message: error.to_string() })
}
