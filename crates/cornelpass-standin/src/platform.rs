//! Stand-in for the platform: transactional table, object store and instance list, in memory over
//! HTTP.
//!
//! One counter numbers all commits: each commit that takes effect has the next revision. Faults are
//! set with [`Platform::set_faults`] or `POST /faults` while the stand-in runs.
//!
//! When the stand-in drops a request, it closes the connection if the request has the header
//! `Connection: close`. Otherwise the connection stays open without a response, and the client
//! times out.

mod state;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Instant;

use percent_encoding::percent_decode_str;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tiny_http::{Method, Request, Response, Server};

use self::state::{Reply, State};

/// Threads that serve requests.
const WORKER_THREADS: usize = 32;

/// Largest body of a request, in bytes.
const BODY_LIMIT_BYTES: u64 = 64 * 1024 * 1024;

/// How the table, the object store and the instance list respond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Respond immediately.
    #[default]
    Up,
    /// Drop all requests, without a response.
    Down,
    /// Respond after [`Faults::slow_ms`].
    Slow,
}

/// Faults of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How the table, the object store and the instance list respond.
    pub table: Mode,
    /// Delay of each response in [`Mode::Slow`], in milliseconds.
    pub slow_ms: u64,
    /// Writes still to come that take effect and whose response is lost.
    pub lose_answers: u32,
    /// Writes still to come that are lost before they take effect.
    pub lose_requests: u32,
    /// Age of the instance list that the platform shows, in milliseconds.
    pub instance_lag_ms: u64,
}

/// Requests served so far, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Rows read.
    pub reads: u64,
    /// Prefixes scanned.
    pub scans: u64,
    /// Commits that took effect.
    pub commits: u64,
    /// Commits rejected because a condition did not hold.
    pub conflicts: u64,
    /// Objects read.
    pub object_reads: u64,
    /// Objects written.
    pub object_writes: u64,
    /// Instance lists read.
    pub instance_reads: u64,
}

/// A running platform. Dropping it stops the server.
pub struct Platform {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    server: Arc<Server>,
    workers: Vec<JoinHandle<()>>,
}

impl Platform {
    /// Address that the platform listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults of the platform.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Requests served so far, by kind.
    #[must_use]
    pub fn counters(&self) -> Counters {
        lock(&self.state).counters
    }

    /// Current value of a row.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<Value> {
        lock(&self.state).rows.get(key).map(|row| row.value.clone())
    }

    /// Writes a row without a condition, as an operator's tool does.
    pub fn put_row(&self, key: &str, value: Value) {
        lock(&self.state).write_unconditionally(vec![(key.to_owned(), value)], Vec::new());
    }

    /// Deletes a row without a condition, as an operator's tool does.
    pub fn delete_row(&self, key: &str) {
        lock(&self.state).write_unconditionally(Vec::new(), vec![key.to_owned()]);
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        for _ in &self.workers {
            self.server.unblock();
        }
        for worker in self.workers.drain(..) {
            let _ = worker.join();
        }
    }
}

/// Starts a platform on a listener.
///
/// # Panics
///
/// If the listener has no address, or the server can not start on the listener.
#[must_use]
pub fn serve(listener: TcpListener) -> Platform {
    let Ok(address) = listener.local_addr() else { panic!("listener without an address") };
    let Ok(server) = Server::from_listener(listener, None) else { panic!("server not started") };
    let (server, state) = (Arc::new(server), Arc::new(Mutex::new(State::default())));
    let workers = (0..WORKER_THREADS)
        .map(|_| {
            let (server, state) = (Arc::clone(&server), Arc::clone(&state));
            thread::spawn(move || {
                while let Ok(request) = server.recv() {
                    handle(request, &state);
                }
            })
        })
        .collect();
    Platform { address, state, server, workers }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn handle(mut request: Request, state: &Mutex<State>) {
    let mut body = Vec::new();
    if request.as_reader().take(BODY_LIMIT_BYTES).read_to_end(&mut body).is_err() {
        return;
    }
    let reply = route(request.method(), request.url(), body, state);
    let response = match reply {
        Reply::Json(status, value) => {
            Response::from_data(value.to_string().into_bytes()).with_status_code(status)
        }
        Reply::Bytes(bytes) => Response::from_data(bytes),
        Reply::NoResponse => {
            drop(request.into_writer());
            return;
        }
    };
    let _ = request.respond(response.with_chunked_threshold(usize::MAX));
}

fn route(method: &Method, url: &str, body: Vec<u8>, state: &Mutex<State>) -> Reply {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    if path == "/faults" {
        return parse_body(&body, |faults| {
            lock(state).faults = faults;
            Reply::Json(200, json!({}))
        });
    }
    if path == "/v1/counters" {
        return Reply::Json(200, json!(lock(state).counters));
    }
    let Some(delay) = lock(state).response_delay() else { return Reply::NoResponse };
    if !delay.is_zero() {
        thread::sleep(delay);
    }
    match (method, path) {
        (Method::Get, "/v1/table/row") => lock(state).read_row(&query_parameter(query, "key")),
        (Method::Get, "/v1/table/rows") => lock(state).scan_rows(&query_parameter(query, "prefix")),
        (Method::Post, "/v1/table/commit") => {
            parse_body(&body, |commit| lock(state).write_with_faults(|state| state.commit(commit)))
        }
        (Method::Get, "/v1/instances") => lock(state).list_instances(Instant::now()),
        _ => route_named_resource(method, path, body, state),
    }
}

fn route_named_resource(method: &Method, path: &str, body: Vec<u8>, state: &Mutex<State>) -> Reply {
    let not_found = || Reply::Json(404, json!({"error": "not found"}));
    if let Some(key) = path.strip_prefix("/v1/objects/") {
        let (key, mut state) = (percent_decode(key), lock(state));
        return match method {
            Method::Get => {
                state.counters.object_reads += 1;
                state.objects.get(&key).cloned().map_or_else(not_found, Reply::Bytes)
            }
            Method::Put => state.write_with_faults(|state| {
                state.counters.object_writes += 1;
                state.objects.insert(key, body);
                Reply::Json(200, json!({}))
            }),
            _ => not_found(),
        };
    }
    match (method, path.strip_prefix("/v1/instances/")) {
        (Method::Put, Some(name)) => parse_body(&body, |instance| {
            lock(state).set_instance(Instant::now(), &percent_decode(name), instance)
        }),
        _ => not_found(),
    }
}

fn parse_body<T: for<'de> Deserialize<'de>>(
    body: &[u8],
    respond: impl FnOnce(T) -> Reply,
) -> Reply {
    match serde_json::from_slice(body) {
        Ok(value) => respond(value),
        Err(error) => Reply::Json(400, json!({"error": error.to_string()})),
    }
}

fn percent_decode(text: &str) -> String {
    percent_decode_str(text).decode_utf8_lossy().into_owned()
}

fn query_parameter(query: &str, name: &str) -> String {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| percent_decode(value))
        .unwrap_or_default()
}
