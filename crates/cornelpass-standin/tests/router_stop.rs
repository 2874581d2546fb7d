//! A rolling stop of all routers under load cuts no request.

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

/// Number of the event that a process has stopped.
const STOPPED: u64 = 102;

const CALLERS: usize = 15;

/// Time between two looks of the balancer at a router's readiness.
const BALANCER_PERIOD: Duration = Duration::from_millis(100);

/// The platform's balancer: routers that it thinks ready, which lags.
#[derive(Default)]
struct Balancer {
    /// Addresses for callers and operators.
    routers: Mutex<Vec<(SocketAddr, SocketAddr)>>,
    ready: Mutex<Vec<SocketAddr>>,
}

impl Balancer {
    fn look(&self) {
        let routers = self.routers.lock().unwrap().clone();
        let ready = routers.into_iter().filter(|(_, operators)| is_ready(*operators));
        *self.ready.lock().unwrap() = ready.map(|(callers, _)| callers).collect();
    }

    fn pick(&self, number: usize) -> Option<SocketAddr> {
        let ready = self.ready.lock().unwrap();
        ready.get(number % ready.len().max(1)).copied()
    }
}

fn is_ready(operators: SocketAddr) -> bool {
    fetch(operators, "GET", "/readyz", &[], "").is_ok_and(|(status, _)| status == 200)
}

/// What the callers have seen.
#[derive(Default)]
struct Tally {
    whole: AtomicUsize,
    cut: Mutex<Vec<String>>,
}

/// Makes requests until told to stop; a refused connection alone is tried elsewhere.
fn drive(caller: usize, balancer: &Balancer, tally: &Tally, stop: &AtomicBool) {
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let text = format!("{caller}-{number}");
        let result = loop {
            let Some(router) = balancer.pick(caller + number) else {
                thread::sleep(Duration::from_millis(10));
                continue;
            };
            let result = {
                let organisation = format!("org-{}", caller % 3 + 1);
                let request = if (number + caller).is_multiple_of(4) { pay } else { chat };
                request(router, &organisation, &text)
            };
            match result {
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    thread::sleep(Duration::from_millis(10));
                }
                result => break result,
            }
        };
        match result {
            Ok(()) => drop(tally.whole.fetch_add(1, Ordering::SeqCst)),
            Err(error) => tally.cut.lock().unwrap().push(format!("{text}: {error}")),
        }
    }
}

fn chat(router: SocketAddr, organisation: &str, text: &str) -> io::Result<()> {
    let messages = json!([{"role": "user", "content": text}]);
    let tokens = 40;
    let body = json!({"model": MODEL, "messages": messages, "max_tokens": tokens, "stream": true});
    let mut stream = Stream::open(router, &[("x-organisation", organisation)], &body.to_string())?;
    if stream.status != 200 {
        return Err(io::Error::other(stream.read_body()?));
    }
    let events = stream.remaining_events()?;
    let answer: String = events.iter().map(Event::text).collect();
    let whole = events.last().is_some_and(Event::is_done);
    if whole && answer == engine::expected_text(&messages.to_string(), tokens) {
        return Ok(());
    }
    Err(io::Error::other(format!("{} {:?}", stream.status, events.last())))
}

fn pay(router: SocketAddr, organisation: &str, key: &str) -> io::Result<()> {
    let headers = [("x-organisation", organisation), ("idempotency-key", key)];
    let path = format!("/v1/services/{SERVICE}/deposits");
    let (status, body) = fetch(router, "POST", &path, &headers, "{}").map_err(|error| {
        let refused = error.to_string().contains("refused");
        if refused { io::Error::from(io::ErrorKind::ConnectionRefused) } else { error }
    })?;
    if status == 201 { Ok(()) } else { Err(io::Error::other(body)) }
}

#[test]
fn a_rolling_stop_of_all_routers_cuts_no_request() {
    let settings = "[drain]\nnotice = \"1s\"\nlimit = \"30s\"\n".to_owned();
    // Room enough that admission refuses nothing.
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
    balancer.look();
    let (tally, stop) = (Arc::new(Tally::default()), Arc::new(AtomicBool::new(false)));
    let mut threads = Vec::new();
    {
        let (balancer, stop) = (Arc::clone(&balancer), Arc::clone(&stop));
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                balancer.look();
                thread::sleep(BALANCER_PERIOD);
            }
        }));
    }
    for caller in 0..CALLERS {
        let (balancer, tally, stop) =
            (Arc::clone(&balancer), Arc::clone(&tally), Arc::clone(&stop));
        threads.push(thread::spawn(move || drive(caller, &balancer, &tally, &stop)));
    }
    for index in 0..routers {
        let old = fleet.start_router(index, "127.0.0.1:0").unwrap();
        let mut old = std::mem::replace(&mut fleet.routers[index], old);
        fleet.wait_until_ready().unwrap();
        balancer.routers.lock().unwrap().push(addresses(&fleet, index));
        let operators = old.address("operators").unwrap();
        let before = tally.whole.load(Ordering::SeqCst);
        old.signal(Signal::TERM).unwrap();
        let begun = Instant::now();
        while is_ready(operators) {
            assert!(begun.elapsed() < Duration::from_secs(1), "still ready");
        }
        old.wait_for_event(STOPPED).unwrap();
        assert!(old.wait_for_exit().unwrap());
        while tally.whole.load(Ordering::SeqCst) < before + CALLERS {
            assert!(begun.elapsed() < WAIT_TIMEOUT, "no requests: {:?}", tally.cut.lock().unwrap());
            thread::sleep(Duration::from_millis(10));
        }
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().unwrap();
    }
    let cut = tally.cut.lock().unwrap();
    eprintln!("{} whole, {} cut", tally.whole.load(Ordering::SeqCst), cut.len());
    assert!(cut.is_empty(), "{cut:#?}");
}
