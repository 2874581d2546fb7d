//! Targets that leave get no new work, and a planned stop of the process beside one cuts nothing.

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

/// Time within which a leaving target gets no new work any more.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);

/// Event of a process that has stopped.
const STOPPED: u64 = 102;

/// Callers at once, of chats and of calls each.
const CALLERS: usize = 6;

/// Tokens of an answer.
const TOKENS: u32 = 20;

/// Callers that ask one request after the other.
struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    callers: Vec<JoinHandle<Vec<String>>>,
}

impl Load {
    fn start(fleet: &Fleet, calls: bool) -> Self {
        let (stop, answered) = (Arc::default(), Arc::default());
        let mut load = Self { stop, answered, callers: Vec::new() };
        for caller in 0..CALLERS {
            let router = fleet.router_address(caller % fleet.routers.len()).unwrap();
            load.spawn(move |number| chat(router, caller, number));
            if calls {
                load.spawn(move |number| call(router, caller, number));
            }
        }
        load
    }

    fn spawn(&mut self, ask: impl Fn(usize) -> Result<(), String> + Send + 'static) {
        let (stop, answered) = (Arc::clone(&self.stop), Arc::clone(&self.answered));
        self.callers.push(thread::spawn(move || {
            let mut cut = Vec::new();
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                match ask(number) {
                    Ok(()) => _ = answered.fetch_add(1, Ordering::SeqCst),
                    Err(text) => cut.push(text),
                }
            }
            cut
        }));
    }

    /// Waits until some more requests have been answered.
    fn wait(&self, requests: usize) {
        let wanted = self.answered.load(Ordering::SeqCst) + requests;
        wait_until(|| self.answered.load(Ordering::SeqCst) >= wanted).unwrap();
    }

    /// Stops; returns the requests that got no whole answer.
    fn finish(self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        self.callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    }
}

fn chat(router: SocketAddr, caller: usize, number: usize) -> Result<(), String> {
    let content = format!("fitting {caller} {number}");
    let messages = json!([{"role": "user", "content": content}]);
    let body = json!({"model": MODEL, "messages": messages, "max_tokens": TOKENS}).to_string();
    let chat = format!("chat-{caller}-{}", number % 5);
    let headers = [("x-organisation", "org-1"), ("x-chat-id", chat.as_str())];
    let answer = fetch(router, "POST", "/v1/chat/completions", &headers, &body);
    let (status, text) = answer.map_err(|error| error.to_string())?;
    let value: Value = serde_json::from_str(&text).unwrap_or_default();
    let whole = engine::expected_text(&messages.to_string(), TOKENS);
    let is_whole = value["choices"][0]["message"]["content"] == whole;
    if status == 200 && is_whole { Ok(()) } else { Err(format!("{status} {text}")) }
}

fn call(router: SocketAddr, caller: usize, number: usize) -> Result<(), String> {
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

fn received(fleet: &Fleet, index: usize) -> u64 {
    fleet.engines[index].counts().received
}

fn row(fleet: &Fleet, key: &str) -> Value {
    fleet.config_rows().unwrap().into_iter().find(|(name, _)| name == key).unwrap().1
}

/// Takes a target out and checks that it gets nothing after the limit while others serve on.
fn assert_leaves(fleet: &Fleet, leave: impl Fn()) {
    let load = Load::start(fleet, false);
    wait_until(|| received(fleet, 0) >= 10).unwrap();
    let begun = Instant::now();
    leave();
    thread::sleep(LEAVING_LIMIT.saturating_sub(begun.elapsed()));
    let at_limit = received(fleet, 0);
    load.wait(100);
    assert_eq!(received(fleet, 0), at_limit);
    let cut = load.finish();
    assert!(cut.is_empty(), "{cut:#?}");
}

#[test]
fn a_target_out_of_service_in_the_table_gets_no_new_work() {
    let fleet = fleet(3, 0);
    let key = "config/target/engine-1";
    let mut target = row(&fleet, key);
    target["in_service"] = json!(false);
    assert_leaves(&fleet, || fleet.write_rows(&[(key.to_owned(), target.clone())]).unwrap());
}

#[test]
fn a_target_listed_as_leaving_gets_no_new_work_until_it_is_live_again() {
    let fleet = fleet(3, 0);
    let list = |state: &str| {
        let body = json!({"address": "127.0.0.1:1", "state": state}).to_string();
        let platform = fleet.platform.address();
        let path = "/v1/instances/beside-engine-1";
        assert_eq!(fetch(platform, "PUT", path, &[], &body).unwrap().0, 200);
    };
    list("live");
    assert_leaves(&fleet, || list("leaving"));
    let before = received(&fleet, 0);
    let load = Load::start(&fleet, false);
    list("live");
    wait_until(|| received(&fleet, 0) > before).unwrap();
    let cut = load.finish();
    assert!(cut.is_empty(), "{cut:#?}");
}

#[test]
fn a_target_whose_process_is_told_to_stop_gets_no_new_work() {
    let fleet = fleet(3, 0);
    assert_leaves(&fleet, || fleet.sidecars[0].signal(Signal::TERM).unwrap());
}

#[test]
fn rolling_stops_of_all_sidecars_under_load_cut_no_request() {
    let mut fleet = fleet(3, 2);
    let load = Load::start(&fleet, true);
    load.wait(50);
    for index in 0..fleet.sidecars.len() {
        let address = fleet.sidecars[index].address("routers").unwrap().to_string();
        fleet.sidecars[index].signal(Signal::TERM).unwrap();
        fleet.sidecars[index].wait_for_event(STOPPED).unwrap();
        assert!(fleet.sidecars[index].wait_for_exit().unwrap());
        fleet.sidecars[index] = fleet.start_sidecar(index, &address).unwrap();
        fleet.wait_until_serving(index).unwrap();
        load.wait(20);
    }
    let cut = load.finish();
    assert!(cut.is_empty(), "{cut:#?}");
    let doubled: Vec<_> =
        fleet.services.iter().flat_map(|service| service.executions().by_key).collect();
    assert!(doubled.iter().all(|(_, count)| *count == 1), "{doubled:?}");
}
