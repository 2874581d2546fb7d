//! Stand-in for a plain service that counts the calls that it executes, by idempotency key.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::http::{self, Body, Server};

/// Faults of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Time that each call takes, in milliseconds.
    pub delay_ms: u64,
    /// Calls still to come that the service executes, and whose connection it closes without a
    /// response.
    pub lose_answers: u32,
    /// Calls still to come that the service drops before their execution.
    pub lose_requests: u32,
    /// Status of the responses; none for 201. The service executes the calls all the same.
    pub status: Option<u16>,
}

/// Calls that a service received and executed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Executions {
    /// Calls received, with those that were not executed.
    pub received: u64,
    /// Calls executed.
    pub total: u64,
    /// Calls executed for each idempotency key; `-` stands for calls without a key.
    pub by_key: BTreeMap<String, u64>,
}

#[derive(Default)]
struct State {
    faults: Faults,
    executions: Executions,
}

/// A running service; it stops when it is dropped.
pub struct Service {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl Service {
    /// Starts a service on a listener.
    ///
    /// # Errors
    ///
    /// If the listener can not be used.
    pub fn start(listener: TcpListener) -> io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        let server = Server::start(listener, move |request| handle(Arc::clone(&shared), request))?;
        Ok(Self { server, state })
    }

    /// Address that the service listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Calls received and executed so far.
    #[must_use]
    pub fn executions(&self) -> Executions {
        lock(&self.state).executions.clone()
    }

    /// Replaces the faults of the service.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle(state: Arc<Mutex<State>>, request: Request<Bytes>) -> Option<Response<Body>> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/count") => {
            let executions = lock(&state).executions.clone();
            Some(http::json_response(200, &json!(executions)))
        }
        (&Method::POST, "/faults") => {
            let faults = serde_json::from_slice(request.body()).unwrap_or_default();
            lock(&state).faults = faults;
            Some(http::json_response(200, &json!(faults)))
        }
        (method, _) if method.is_safe() => Some(http::json_response(200, &json!({"status": "ok"}))),
        _ => {
            let key = request.headers().get("idempotency-key");
            let key = key.and_then(|value| value.to_str().ok()).unwrap_or("-").to_owned();
            // The execution continues when the connection is lost, so it runs in its own task.
            tokio::spawn(async move { execute(&state, key).await }).await.ok()?
        }
    }
}

async fn execute(state: &Mutex<State>, key: String) -> Option<Response<Body>> {
    let delay = {
        let mut state = lock(state);
        state.executions.received += 1;
        if state.faults.lose_requests > 0 {
            state.faults.lose_requests -= 1;
            return None;
        }
        state.faults.delay_ms
    };
    tokio::time::sleep(Duration::from_millis(delay)).await;
    let (confirmation, status, response_lost) = {
        let mut state = lock(state);
        state.executions.total += 1;
        *state.executions.by_key.entry(key.clone()).or_default() += 1;
        let response_lost = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        (state.executions.total, state.faults.status.unwrap_or(201), response_lost)
    };
    if response_lost {
        return None;
    }
    Some(http::json_response(status, &json!({"confirmation": confirmation, "key": key})))
}
