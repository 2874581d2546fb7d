//! A data centre is taken out of service, and comes back.
//!
//! The witness is the count of requests that the engine there has received: it must not grow from
//! 3 s after the acceptance of the change on.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::time::{Duration, Instant};

use common::{Callers, accepted, chat, head, reason, served, take, until};
use cornelpass_standin::engine;
use cornelpass_standin::fleet::{Fleet, Layout, wait_until};
use cornelpass_standin::http::fetch;
use cornelpass_standin::platform::{Faults, Mode};
use cornelpass_standin::process::Process;
use cornelpass_standin::proxy::Proxy;
use rustix::process::Signal;
use serde_json::{Value, json};

/// Time after the acceptance from which on no new work may arrive.
const BOUND: Duration = Duration::from_secs(3);

/// Time for which the count is watched after the bound.
const WATCH: Duration = Duration::from_secs(2);

/// Most requests at once at a cold engine.
const COLD_LIMIT: u32 = 4;

/// Time of the engines' first token.
const FIRST_TOKEN: Duration = Duration::from_millis(200);

/// Place of the engine in the data centre that is taken out.
const OUT: usize = 1;

/// Data centre that is taken out.
const DATA_CENTRE: &str = "dc-2";

/// A fleet of warm engines, far below their bound.
fn fleet() -> Fleet {
    let policy = json!({"load_multiple_percent": 150, "load_floor": 64, "retry_percent": 20});
    Fleet::start(Layout { cold_limit: 64, policy, ..Layout::default() }).unwrap()
}

fn received(fleet: &Fleet) -> u64 {
    fleet.engines[OUT].counts().received
}

/// Takes the data centre out; returns when the change was accepted.
fn take_out(fleet: &Fleet) -> Instant {
    let before = head(fleet);
    take(fleet, DATA_CENTRE, false);
    accepted(fleet, before)
}

/// Asserts that nothing arrives from the bound on, while callers go on.
fn assert_nothing_arrives(fleet: &Fleet, accepted: Instant) {
    until(accepted + BOUND);
    let count = received(fleet);
    until(accepted + BOUND + WATCH);
    assert_eq!(received(fleet), count, "arrived after the bound");
}

/// Starts a router anew, with another way to the platform.
fn restart_router(fleet: &mut Fleet, index: usize, proxy: &Proxy) {
    fleet.routers[index].kill();
    let router = fleet.start_router_with(index, "127.0.0.1:0", proxy.address(), "").unwrap();
    fleet.routers[index] = router;
    fleet.wait_until_ready().unwrap();
}

/// Starts the process beside a target anew, with another way to the platform.
fn restart_sidecar(fleet: &mut Fleet, index: usize, proxy: &Proxy) {
    let listen = fleet.sidecars[index].address("routers").unwrap().to_string();
    fleet.sidecars[index].kill();
    let sidecar = fleet.start_sidecar_with(index, &listen, proxy.address()).unwrap();
    fleet.sidecars[index] = sidecar;
    fleet.sidecars[index].wait_for_event(200).unwrap();
    fleet.wait_until_ready().unwrap();
}

/// Through a router outside and one inside of it; what is in progress there ends whole.
#[test]
fn no_new_work_arrives_and_streams_in_progress_end_whole() {
    let fleet = fleet();
    let callers = Callers::start(&fleet, 3, 12);
    let long = Callers::once(&fleet, 6, 450);
    wait_until(|| fleet.engines[OUT].counts().running >= 2).unwrap();
    let accepted = take_out(&fleet);
    assert_nothing_arrives(&fleet, accepted);
    long.assert_whole();
    callers.assert_whole();
}

/// The process beside the target is cut off as well, so that both learn it by heartbeat.
#[test]
fn processes_cut_from_the_platform_learn_it_from_the_others() {
    let mut fleet = fleet();
    let proxy = Proxy::start(fleet.platform.address()).unwrap();
    restart_sidecar(&mut fleet, OUT, &proxy);
    restart_router(&mut fleet, 0, &proxy);
    let callers = Callers::start(&fleet, 3, 12);
    wait_until(|| received(&fleet) > 0).unwrap();
    proxy.set_partitioned(true);
    fleet.routers[0].wait_for_event(202).unwrap();
    let accepted = take_out(&fleet);
    assert_nothing_arrives(&fleet, accepted);
    fleet.routers[0].wait_for_event(204).unwrap();
    fleet.sidecars[OUT].wait_for_event(204).unwrap();
    callers.assert_whole();
}

/// Its callers wait, and are answered elsewhere once it wakes, or refused while it has no report of
/// any target yet.
#[test]
fn a_router_frozen_through_the_change_sends_nothing_there() {
    let mut fleet = fleet();
    let proxy = Proxy::start(fleet.platform.address()).unwrap();
    restart_router(&mut fleet, 0, &proxy);
    fleet.routers[0].signal(Signal::STOP).unwrap();
    let callers = Callers::start(&fleet, 8, 12);
    let accepted = take_out(&fleet);
    until(accepted + BOUND);
    let count = received(&fleet);
    proxy.set_partitioned(true);
    fleet.routers[0].signal(Signal::CONT).unwrap();
    fleet.routers[0].wait_for_event(204).unwrap();
    until(Instant::now() + WATCH);
    assert_eq!(received(&fleet), count, "arrived after the bound");
    callers.assert_whole_or_refused("no-target");
}

/// Requests of a router that is frozen as well wait in its socket; they are refused as not run.
#[test]
fn a_process_beside_a_target_frozen_through_the_change_admits_nothing() {
    let fleet = fleet();
    fleet.sidecars[OUT].signal(Signal::STOP).unwrap();
    let callers = Callers::at(&fleet, 0, 24);
    wait_until(|| open(&fleet.routers[0]) == 24).unwrap();
    fleet.routers[0].signal(Signal::STOP).unwrap();
    let accepted = take_out(&fleet);
    until(accepted + BOUND);
    let count = received(&fleet);
    fleet.platform.set_faults(Faults { table: Mode::Down, ..Faults::default() });
    fleet.sidecars[OUT].signal(Signal::CONT).unwrap();
    fleet.sidecars[OUT].wait_for_event(204).unwrap();
    until(Instant::now() + WATCH);
    assert_eq!(received(&fleet), count, "arrived after the bound");
    fleet.routers[0].signal(Signal::CONT).unwrap();
    callers.assert_whole_or_refused("not-ready");
}

/// Requests in progress in a router.
fn open(router: &Process) -> u64 {
    let operators = router.address("operators").unwrap();
    let (_, body) = fetch(operators, "GET", "/status", &[], "").unwrap();
    let status: Value = serde_json::from_str(&body).unwrap();
    status["open"].as_u64().unwrap()
}

/// It asks two peers, one of which was frozen through the change; the one beside the target that
/// is out was frozen too, and nobody has told either of them.
#[test]
fn a_fresh_router_in_a_store_outage_serves_from_the_latest_of_its_peers() {
    let mut fleet = fleet();
    for index in [OUT, 2] {
        fleet.sidecars[index].signal(Signal::STOP).unwrap();
    }
    let _ = take_out(&fleet);
    fleet.sidecars[0].wait_for_line(|line| line["event"] == 200 && line["version"] == 2).unwrap();
    fleet.routers.iter_mut().for_each(Process::kill);
    fleet.platform.set_faults(Faults { table: Mode::Down, ..Faults::default() });
    let count = received(&fleet);
    for index in [OUT, 2] {
        fleet.sidecars[index].signal(Signal::CONT).unwrap();
    }
    let old = fleet.sidecars[2].address("routers").unwrap();
    let more = format!("peers = [\"{old}\"]");
    let platform = fleet.platform.address();
    fleet.routers[0] = fleet.start_router_with(0, "127.0.0.1:0", platform, &more).unwrap();
    let router = fleet.router_address(0).unwrap();
    let begun = Instant::now();
    let mut answered = 0;
    for number in 0.. {
        let (status, body) = chat(router, &format!("fresh-{number}"), 2);
        answered += u32::from(status == 200);
        if status != 200 {
            assert_eq!(reason(&body), "not-ready", "{body}");
        }
        if answered == 40 {
            break;
        }
        assert!(begun.elapsed() < Duration::from_secs(30), "not ready: {body}");
    }
    assert_eq!(served(&fleet.routers[0]), 2);
    assert_eq!(received(&fleet), count, "arrived after the bound");
}

/// Engines whose first token takes long enough to see how much arrives before it.
fn slow_engines() -> Layout {
    let engine = engine::Options { first_token: FIRST_TOKEN, ..engine::Options::default() };
    let policy = json!({"load_multiple_percent": 150, "load_floor": 32, "retry_percent": 20});
    Layout { engine, limit: 32, cold_limit: COLD_LIMIT, policy, ..Layout::default() }
}

/// Waits until each router has heard that all engines are warm.
fn wait_until_warm(fleet: &Fleet) {
    let steady = |router: &Process| {
        let operators = router.address("operators").unwrap();
        let (_, body) = fetch(operators, "GET", "/status", &[], "").unwrap();
        let status: Value = serde_json::from_str(&body).unwrap();
        let state =
            |engine| status["targets"][fleet.target_name(engine)]["report"]["state"].clone();
        (0..fleet.engines.len()).all(|engine| state(engine) == "steady")
    };
    wait_until(|| fleet.routers.iter().all(steady)).unwrap();
}

/// Most requests at once from the first arrival on, until its first token may be seen.
fn first_burst(fleet: &Fleet, before: u64) -> usize {
    wait_until(|| received(fleet) > before).unwrap();
    let seen = Instant::now() + FIRST_TOKEN - Duration::from_millis(50);
    let mut peak = 0;
    while Instant::now() < seen {
        peak = peak.max(fleet.engines[OUT].counts().running);
        std::thread::sleep(Duration::from_millis(2));
    }
    peak
}

/// Received by the engine that came back and by one of the others, in a span.
fn shares(fleet: &Fleet, span: Duration) -> (u64, u64) {
    let counts = || [OUT, 0].map(|engine| fleet.engines[engine].counts().received);
    let before = counts();
    until(Instant::now() + span);
    let after = counts();
    (after[0] - before[0], after[1] - before[1])
}

/// The first burst is no larger than the cold limit; then the window opens by first tokens.
#[test]
fn weight_returns_by_degrees() {
    let fleet = Fleet::start(slow_engines()).unwrap();
    let few = Callers::start(&fleet, 4, 1);
    wait_until_warm(&fleet);
    few.assert_whole();
    let callers = Callers::start(&fleet, 15, 1);
    let steady = Instant::now();
    until(steady + WATCH);
    let out = take_out(&fleet);
    until(out + BOUND);
    let (before, head) = (received(&fleet), head(&fleet));
    take(&fleet, DATA_CENTRE, true);
    let back = accepted(&fleet, head);
    let burst = first_burst(&fleet, before);
    assert!(burst <= COLD_LIMIT as usize, "{burst} at once at first");
    let half = Duration::from_millis(500);
    wait_until(|| matches!(shares(&fleet, half), (back, other) if back * 5 >= other * 4)).unwrap();
    let returned = back.elapsed();
    let (calm, during) = (callers.p99(steady, out), callers.p99(out, Instant::now()));
    println!(
        "first burst {burst}, weight back after {returned:?}, first token at the 99th \
              percentile {calm:?} before and {during:?} during the leave and the return"
    );
    assert!(during * 2 <= calm * 3, "first tokens come late");
    callers.assert_whole();
}
