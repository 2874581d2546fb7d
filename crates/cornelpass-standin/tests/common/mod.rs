//! Callers and steps that the tests of the configuration share.

#![allow(dead_code)]
#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use cornelpass_standin::engine;
use cornelpass_standin::fleet::{Fleet, MODEL, wait_until};
use cornelpass_standin::http::fetch;
use cornelpass_standin::process::Process;
use serde_json::{Value, json};

/// Version of the head in the table, 0 if there is none.
pub(crate) fn head(fleet: &Fleet) -> u64 {
    let head = fleet.platform.row("accepted/head");
    head.and_then(|head| head["version"].as_u64()).unwrap_or(0)
}

/// Waits until a version after another is accepted; returns when that was.
pub(crate) fn accepted(fleet: &Fleet, before: u64) -> Instant {
    wait_until(|| head(fleet) > before).unwrap();
    Instant::now()
}

/// Waits until a moment of the stated bound.
pub(crate) fn until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Takes a data centre out of service or back.
pub(crate) fn take(fleet: &Fleet, data_centre: &str, in_service: bool) {
    let key = format!("config/data_centre/{data_centre}");
    fleet.write_rows(&[(key, json!({"region": "norte", "in_service": in_service}))]).unwrap();
}

/// Version that a process last said to be in force.
pub(crate) fn served(process: &Process) -> u64 {
    versions(process).last().copied().unwrap_or(0)
}

/// Versions that a process said to be in force, in order.
pub(crate) fn versions(process: &Process) -> Vec<u64> {
    let lines = process.log_lines();
    let applied = lines.iter().filter(|line| line["event"] == 200);
    applied.filter_map(|line| line["version"].as_u64()).collect()
}

fn messages(chat: &str) -> Value {
    json!([{"role": "user", "content": format!("brief of {chat}")}])
}

/// Sends a chat request; returns status and body.
pub(crate) fn chat(router: SocketAddr, chat: &str, tokens: u32) -> (u16, String) {
    let body = json!({"model": MODEL, "messages": messages(chat), "max_tokens": tokens});
    let headers = [("x-organisation", "org-1"), ("x-chat-id", chat)];
    fetch(router, "POST", "/v1/chat/completions", &headers, &body.to_string())
        .unwrap_or_else(|error| (0, error.to_string()))
}

/// Reason of a problem.
pub(crate) fn reason(body: &str) -> String {
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    body["reason"].as_str().unwrap_or_default().to_owned()
}

/// Time after which a refused caller is told to try again.
fn retry_after(body: &str) -> Duration {
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    Duration::from_secs(body["retry_after_seconds"].as_u64().unwrap_or(0))
}

/// Whether an answer is the whole one.
fn is_whole(name: &str, tokens: u32, status: u16, body: &str) -> bool {
    let body: Value = serde_json::from_str(body).unwrap_or_default();
    let whole = engine::expected_text(&messages(name).to_string(), tokens);
    status == 200 && body["choices"][0]["message"]["content"] == whole
}

/// A chat that was not answered whole.
#[derive(Debug)]
struct Lost {
    name: String,
    status: u16,
    body: String,
}

impl Lost {
    /// Whether it was refused for a reason, and is said not to have run.
    fn is_refusal(&self, wanted: &str) -> bool {
        reason(&self.body) == wanted && self.body.contains("\"run\":\"not-run\"")
    }
}

/// Callers, some at each router.
pub(crate) struct Callers {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    times: Arc<Mutex<Vec<(Instant, Duration)>>>,
    threads: Vec<JoinHandle<Vec<Lost>>>,
}

impl Callers {
    /// Callers that send one chat after the other, until they are asked for the result.
    pub(crate) fn start(fleet: &Fleet, each: usize, tokens: u32) -> Self {
        Self::run(fleet, each, tokens, usize::MAX)
    }

    /// Callers that send one chat each.
    pub(crate) fn once(fleet: &Fleet, each: usize, tokens: u32) -> Self {
        Self::run(fleet, each, tokens, 1)
    }

    /// Callers at one router that send one long chat each.
    pub(crate) fn at(fleet: &Fleet, index: usize, count: usize) -> Self {
        let mut callers = Self::none();
        let router = fleet.router_address(index).unwrap();
        (0..count).for_each(|caller| callers.spawn(router, format!("{index}-{caller}"), 100, 1));
        callers
    }

    fn none() -> Self {
        Self {
            stop: Arc::default(),
            answered: Arc::default(),
            times: Arc::default(),
            threads: Vec::new(),
        }
    }

    fn run(fleet: &Fleet, each: usize, tokens: u32, rounds: usize) -> Self {
        let mut callers = Self::none();
        for index in 0..fleet.routers.len() {
            let router = fleet.router_address(index).unwrap();
            for caller in 0..each {
                let name = format!("{index}-{caller}-{tokens}");
                callers.spawn(router, name, tokens, rounds);
            }
        }
        callers
    }

    fn spawn(&mut self, router: SocketAddr, name: String, tokens: u32, rounds: usize) {
        let (stop, answered) = (Arc::clone(&self.stop), Arc::clone(&self.answered));
        let times = Arc::clone(&self.times);
        self.threads.push(thread::spawn(move || {
            let mut lost = Vec::new();
            for round in 0..rounds {
                let name = format!("{name}-{round}");
                let begun = Instant::now();
                let (status, body) = chat(router, &name, tokens);
                times.lock().unwrap().push((begun, begun.elapsed()));
                if is_whole(&name, tokens, status, &body) {
                    answered.fetch_add(1, Ordering::SeqCst);
                } else {
                    thread::sleep(retry_after(&body));
                    lost.push(Lost { name, status, body });
                }
                if stop.load(Ordering::SeqCst) {
                    break;
                }
            }
            lost
        }));
    }

    /// Time that 99 percent of the chats begun in a span took at most.
    pub(crate) fn p99(&self, from: Instant, to: Instant) -> Duration {
        let times = self.times.lock().unwrap();
        let within = times.iter().filter(|(begun, _)| (from..to).contains(begun));
        let mut within: Vec<Duration> = within.map(|(_, time)| *time).collect();
        within.sort_unstable();
        within[within.len() * 99 / 100]
    }

    /// Chats answered so far.
    pub(crate) fn answered(&self) -> usize {
        self.answered.load(Ordering::SeqCst)
    }

    /// Ends the callers, and asserts that each had the whole answers to its own requests.
    pub(crate) fn assert_whole(self) {
        self.assert_whole_or_refused("");
    }

    /// The same, but for truthful refusals for one reason.
    pub(crate) fn assert_whole_or_refused(self, reason: &str) {
        self.stop.store(true, Ordering::SeqCst);
        let threads = self.threads.into_iter();
        let mut lost: Vec<Lost> = threads.flat_map(|thread| thread.join().unwrap()).collect();
        let answered = self.answered.load(Ordering::SeqCst);
        let failed = lost.len();
        lost.retain(|lost| !lost.is_refusal(reason));
        println!("{answered} answered, {} refused, {} lost", failed - lost.len(), lost.len());
        assert!(lost.is_empty(), "lost {} of {}: {lost:#?}", lost.len(), failed + answered);
        assert!(answered > 0);
    }
}
