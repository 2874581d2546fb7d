//! Targets that are out of service, are listed as leaving, or whose sidecar stops get no new
//! requests, and a planned stop of a sidecar interrupts no request.
//!
//! The tests guard against routers that still send requests to a target after it was taken out of
//! service, was listed as leaving, or its sidecar was stopped. They also guard against requests
//! that are lost or run twice while the sidecars are replaced one after another.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use cornelpass_standin::engine::{self, Options};
use cornelpass_standin::fleet::{Fleet, Layout, MODEL, SERVICE, wait_until};
use cornelpass_standin::http::fetch;
use rustix::process::Signal;
use serde_json::{Value, json};

/// Time after which a leaving target must get no new requests.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Code of the log event that a process has stopped.
const STOPPED_EVENT: u64 = 102;

/// Concurrent callers that send chat requests. In a test with calls to the service, as many callers
/// again send calls.
const CALLERS_PER_KIND: usize = 6;

/// Tokens of each response to a chat.
const TOKENS: u32 = 20;

/// Callers that send one request after another, each in its own thread.
struct Callers {
    stop: Arc<AtomicBool>,
    completed: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<Vec<String>>>,
}

impl Callers {
    fn start(fleet: &Fleet, with_calls: bool) -> Self {
        let (stop, completed) = (Arc::default(), Arc::default());
        let mut callers = Self { stop, completed, threads: Vec::new() };
        for caller in 0..CALLERS_PER_KIND {
            let router = fleet.router_address(caller % fleet.routers.len()).unwrap();
            callers.spawn(move |number| send_chat(router, caller, number));
            if with_calls {
                callers.spawn(move |number| send_call(router, caller, number));
            }
        }
        callers
    }

    fn spawn(&mut self, send: impl Fn(usize) -> Result<(), String> + Send + 'static) {
        let (stop, completed) = (Arc::clone(&self.stop), Arc::clone(&self.completed));
        self.threads.push(thread::spawn(move || {
            let mut failures = Vec::new();
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                match send(number) {
                    Ok(()) => _ = completed.fetch_add(1, Ordering::SeqCst),
                    Err(text) => failures.push(text),
                }
            }
            failures
        }));
    }

    /// Waits until some more requests have got a complete response.
    fn wait_for_responses(&self, count: usize) {
        let wanted = self.completed.load(Ordering::SeqCst) + count;
        wait_until(|| self.completed.load(Ordering::SeqCst) >= wanted).unwrap();
    }

    /// Stops the callers, and returns the failures: responses that were not complete, and
    /// connection errors.
    fn finish(self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    }
}

fn send_chat(router: SocketAddr, caller: usize, number: usize) -> Result<(), String> {
    let content = format!("fitting {caller} {number}");
    let messages = json!([{"role": "user", "content": content}]);
    let body = json!({"model": MODEL, "messages": messages, "max_tokens": TOKENS}).to_string();
    let chat = format!("chat-{caller}-{}", number % 5);
    let headers = [("x-organisation", "org-1"), ("x-chat-id", chat.as_str())];
    let response = fetch(router, "POST", "/v1/chat/completions", &headers, &body);
    let (status, text) = response.map_err(|error| error.to_string())?;
    let value: Value = serde_json::from_str(&text).unwrap_or_default();
    let expected = engine::expected_text(&messages.to_string(), TOKENS);
    let is_complete = value["choices"][0]["message"]["content"] == expected;
    if status == 200 && is_complete { Ok(()) } else { Err(format!("{status} {text}")) }
}

fn send_call(router: SocketAddr, caller: usize, number: usize) -> Result<(), String> {
    let key = format!("deposit-{caller}-{number}");
    let headers = [("x-organisation", "org-1"), ("idempotency-key", key.as_str())];
    let path = format!("/v1/services/{SERVICE}/deposits");
    let (status, text) =
        fetch(router, "POST", &path, &headers, "{}").map_err(|error| error.to_string())?;
    if status == 201 { Ok(()) } else { Err(format!("{status} {text}")) }
}

fn fleet(engines: usize, services: usize) -> Fleet {
    let engine = Options { inter_token: Duration::from_millis(20), ..Options::default() };
    Fleet::start(Layout { engines, services, engine, cold_limit: 64, ..Layout::default() }).unwrap()
}

/// Number of requests that an engine received.
fn received(fleet: &Fleet, index: usize) -> u64 {
    fleet.engines[index].counts().received
}

/// Row of the configuration, by its key.
fn row(fleet: &Fleet, key: &str) -> Value {
    fleet.config_rows().unwrap().into_iter().find(|(name, _)| name == key).unwrap().1
}

/// Makes the first target leave, and asserts that it gets no new requests after the time limit,
/// while other targets respond to all requests.
fn assert_no_new_requests(fleet: &Fleet, leave: impl Fn()) {
    let callers = Callers::start(fleet, false);
    wait_until(|| received(fleet, 0) >= 10).unwrap();
    let started_at = Instant::now();
    leave();
    thread::sleep(LEAVING_LIMIT.saturating_sub(started_at.elapsed()));
    let at_limit = received(fleet, 0);
    callers.wait_for_responses(100);
    assert_eq!(received(fleet, 0), at_limit);
    let failures = callers.finish();
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn a_target_out_of_service_in_the_table_gets_no_new_requests() {
    let fleet = fleet(3, 0);
    let key = "config/target/engine-1";
    let mut target = row(&fleet, key);
    target["in_service"] = json!(false);
    assert_no_new_requests(&fleet, || {
        fleet.write_rows(&[(key.to_owned(), target.clone())]).unwrap()
    });
}

#[test]
fn a_target_listed_as_leaving_gets_no_new_requests_until_it_is_live_again() {
    let fleet = fleet(3, 0);
    let put_instance = |state: &str| {
        // The platform requires an address. Sidecars use only the name and the state.
        let body = json!({"address": "127.0.0.1:1", "state": state}).to_string();
        let platform = fleet.platform.address();
        let path = "/v1/instances/beside-engine-1";
        assert_eq!(fetch(platform, "PUT", path, &[], &body).unwrap().0, 200);
    };
    put_instance("live");
    assert_no_new_requests(&fleet, || put_instance("leaving"));
    let before = received(&fleet, 0);
    let callers = Callers::start(&fleet, false);
    put_instance("live");
    wait_until(|| received(&fleet, 0) > before).unwrap();
    let failures = callers.finish();
    assert!(failures.is_empty(), "{failures:#?}");
}

#[test]
fn a_target_whose_sidecar_is_stopping_gets_no_new_requests() {
    let fleet = fleet(3, 0);
    assert_no_new_requests(&fleet, || fleet.sidecars[0].signal(Signal::TERM).unwrap());
}

#[test]
fn rolling_stops_of_all_sidecars_under_load_interrupt_no_request() {
    let mut fleet = fleet(3, 2);
    let callers = Callers::start(&fleet, true);
    callers.wait_for_responses(50);
    for index in 0..fleet.sidecars.len() {
        let address = fleet.sidecars[index].address("routers").unwrap().to_string();
        fleet.sidecars[index].signal(Signal::TERM).unwrap();
        fleet.sidecars[index].wait_for_event(STOPPED_EVENT).unwrap();
        assert!(fleet.sidecars[index].wait_for_exit().unwrap());
        fleet.sidecars[index] = fleet.start_sidecar(index, &address).unwrap();
        fleet.wait_until_serving(index).unwrap();
        callers.wait_for_responses(20);
    }
    let failures = callers.finish();
    assert!(failures.is_empty(), "{failures:#?}");
    let executions: Vec<_> =
        fleet.services.iter().flat_map(|service| service.executions().by_key).collect();
    assert!(executions.iter().all(|(_, count)| *count == 1), "{executions:?}");
}
