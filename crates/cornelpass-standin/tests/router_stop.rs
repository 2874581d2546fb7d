//! A rolling stop of all routers under load interrupts no request.
//!
//! The test guards against a router that stops while callers still send it new requests, because
//! the platform's load balancer notices the stop late, and against a router that exits before its
//! requests in progress are complete.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use cornelpass_standin::engine;
use cornelpass_standin::fleet::{Fleet, Layout, MODEL, SERVICE};
use cornelpass_standin::http::fetch;
use cornelpass_standin::process::WAIT_TIMEOUT;
use cornelpass_standin::sse::{Event, Stream};
use rustix::process::Signal;
use serde_json::json;

/// Code of the log event that a process has stopped.
const STOPPED_EVENT: u64 = 102;

/// Concurrent callers, each in its own thread.
const CALLERS: usize = 15;

/// Time between two readiness checks of the balancer.
const BALANCER_INTERVAL: Duration = Duration::from_millis(100);

/// Stand-in for the platform's load balancer. Its list of ready routers is as old as its last
/// readiness check.
#[derive(Default)]
struct Balancer {
    /// Addresses of all routers, for callers and for operators.
    routers: Mutex<Vec<(SocketAddr, SocketAddr)>>,
    /// Addresses for callers of the routers that were ready at the last check.
    ready: Mutex<Vec<SocketAddr>>,
}

impl Balancer {
    fn update(&self) {
        let routers = self.routers.lock().unwrap().clone();
        let ready = routers.into_iter().filter(|(_, operators)| is_ready(*operators));
        *self.ready.lock().unwrap() = ready.map(|(callers, _)| callers).collect();
    }

    /// Router for a request, in turn by the number of the request; none if no router was ready at
    /// the last check.
    fn choose(&self, number: usize) -> Option<SocketAddr> {
        let ready = self.ready.lock().unwrap();
        ready.get(number % ready.len().max(1)).copied()
    }
}

fn is_ready(operators: SocketAddr) -> bool {
    fetch(operators, "GET", "/readyz", &[], "").is_ok_and(|(status, _)| status == 200)
}

/// Results of all requests.
#[derive(Default)]
struct Results {
    /// Number of requests with a complete response.
    completed: AtomicUsize,
    /// Requests without a complete response, with the error.
    failures: Mutex<Vec<String>>,
}

/// Sends requests until `stop` is set. A caller repeats a request only if the connection was
/// refused, at the router that the balancer then chooses.
fn send_requests(caller: usize, balancer: &Balancer, results: &Results, stop: &AtomicBool) {
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let text = format!("{caller}-{number}");
        let result = loop {
            let Some(router) = balancer.choose(caller + number) else {
                thread::sleep(Duration::from_millis(10));
                continue;
            };
            let result = {
                let organisation = format!("org-{}", caller % 3 + 1);
                let send = if (number + caller).is_multiple_of(4) { send_call } else { send_chat };
                send(router, &organisation, &text)
            };
            match result {
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    thread::sleep(Duration::from_millis(10));
                }
                result => break result,
            }
        };
        match result {
            Ok(()) => drop(results.completed.fetch_add(1, Ordering::SeqCst)),
            Err(error) => results.failures.lock().unwrap().push(format!("{text}: {error}")),
        }
    }
}

fn send_chat(router: SocketAddr, organisation: &str, text: &str) -> io::Result<()> {
    let messages = json!([{"role": "user", "content": text}]);
    let tokens = 40;
    let body = json!({"model": MODEL, "messages": messages, "max_tokens": tokens, "stream": true});
    let mut stream = Stream::open(router, &[("x-organisation", organisation)], &body.to_string())?;
    if stream.status != 200 {
        return Err(io::Error::other(stream.read_body()?));
    }
    let events = stream.remaining_events()?;
    let text_received: String = events.iter().map(Event::text).collect();
    let is_done = events.last().is_some_and(Event::is_done);
    if is_done && text_received == engine::expected_text(&messages.to_string(), tokens) {
        return Ok(());
    }
    Err(io::Error::other(format!("{} {:?}", stream.status, events.last())))
}

fn send_call(router: SocketAddr, organisation: &str, key: &str) -> io::Result<()> {
    let headers = [("x-organisation", organisation), ("idempotency-key", key)];
    let path = format!("/v1/services/{SERVICE}/deposits");
    let (status, body) = fetch(router, "POST", &path, &headers, "{}").map_err(|error| {
        // `fetch` wraps the error of its HTTP client, so its kind is lost.
        let refused = error.to_string().contains("refused");
        if refused { io::Error::from(io::ErrorKind::ConnectionRefused) } else { error }
    })?;
    if status == 201 { Ok(()) } else { Err(io::Error::other(body)) }
}

#[test]
fn a_rolling_stop_of_all_routers_interrupts_no_request() {
    // The notice is longer than `BALANCER_INTERVAL`, so that the balancer sees that a router stops
    // before the router refuses connections.
    let settings = "[drain]\nnotice = \"1s\"\nlimit = \"30s\"\n".to_owned();
    // The load floor is high enough that admission refuses nothing.
    let policy = json!({"load_multiple_percent": 150, "load_floor": 64, "retry_percent": 20});
    let layout = Layout { router_settings: settings, cold_limit: 64, policy, ..Layout::default() };
    let mut fleet = Fleet::start(layout).unwrap();
    let addresses = |fleet: &Fleet, index: usize| {
        let router = &fleet.routers[index];
        (router.address("callers").unwrap(), router.address("operators").unwrap())
    };
    let balancer = Arc::new(Balancer::default());
    let routers = fleet.routers.len();
    *balancer.routers.lock().unwrap() =
        (0..routers).map(|index| addresses(&fleet, index)).collect();
    balancer.update();
    let (results, stop) = (Arc::new(Results::default()), Arc::new(AtomicBool::new(false)));
    let mut threads = Vec::new();
    {
        let (balancer, stop) = (Arc::clone(&balancer), Arc::clone(&stop));
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                balancer.update();
                thread::sleep(BALANCER_INTERVAL);
            }
        }));
    }
    for caller in 0..CALLERS {
        let (balancer, results, stop) =
            (Arc::clone(&balancer), Arc::clone(&results), Arc::clone(&stop));
        threads.push(thread::spawn(move || send_requests(caller, &balancer, &results, &stop)));
    }
    for index in 0..routers {
        let replacement = fleet.start_router(index, "127.0.0.1:0").unwrap();
        let mut stopping = std::mem::replace(&mut fleet.routers[index], replacement);
        fleet.wait_until_ready().unwrap();
        balancer.routers.lock().unwrap().push(addresses(&fleet, index));
        let operators = stopping.address("operators").unwrap();
        let before = results.completed.load(Ordering::SeqCst);
        stopping.signal(Signal::TERM).unwrap();
        let signalled_at = Instant::now();
        while is_ready(operators) {
            assert!(signalled_at.elapsed() < Duration::from_secs(1), "still ready after 1 s");
        }
        stopping.wait_for_event(STOPPED_EVENT).unwrap();
        assert!(stopping.wait_for_exit().unwrap());
        while results.completed.load(Ordering::SeqCst) < before + CALLERS {
            assert!(
                signalled_at.elapsed() < WAIT_TIMEOUT,
                "fewer than {CALLERS} further complete responses within {WAIT_TIMEOUT:?}: {:?}",
                results.failures.lock().unwrap()
            );
            thread::sleep(Duration::from_millis(10));
        }
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().unwrap();
    }
    let failures = results.failures.lock().unwrap();
    eprintln!("{} complete, {} failed", results.completed.load(Ordering::SeqCst), failures.len());
    assert!(failures.is_empty(), "{failures:#?}");
}
