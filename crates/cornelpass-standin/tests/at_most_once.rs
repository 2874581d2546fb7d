//! A paid call runs at most once, whatever fails between the caller and the service.
//!
//! The service's own count is the witness.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::net::SocketAddr;
use std::thread;

use cornelpass_standin::fleet::{Fleet, Layout, SERVICE, wait_until};
use cornelpass_standin::http::fetch;
use cornelpass_standin::platform::{self, Mode};
use cornelpass_standin::service;
use rustix::process::Signal;
use serde_json::{Value, json};

/// What a caller received.
#[derive(Clone, Debug, PartialEq)]
struct Answer {
    status: i32,
    replayed: bool,
    body: String,
}

impl Answer {
    fn problem(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    fn reason(&self) -> String {
        self.problem()["reason"].as_str().unwrap_or_default().to_owned()
    }

    fn run(&self) -> String {
        self.problem()["run"].as_str().unwrap_or_default().to_owned()
    }

    /// Whether the call is said to be under way, or its outcome not to be known.
    fn is_unknown(&self) -> bool {
        self.run() == "unknown"
    }
}

fn post_body(router: SocketAddr, key: &str, body: &str) -> Answer {
    let response = minreq::post(format!("http://{router}/v1/services/{SERVICE}/deposits"))
        .with_header("x-organisation", "org-1")
        .with_header("idempotency-key", key)
        .with_body(body)
        .with_timeout(60)
        .send()
        .unwrap();
    let replayed = response.headers.iter().any(|(name, _)| name == "idempotency-replayed");
    let status = i32::from(response.status_code);
    Answer { status, replayed, body: response.as_str().unwrap().to_owned() }
}

fn post(router: SocketAddr, key: &str) -> Answer {
    post_body(router, key, "{\"deposit_eur\":450}")
}

fn fleet(services: usize) -> Fleet {
    // Room enough that admission refuses no duplicate before its claim does.
    let policy = json!({"load_multiple_percent": 150, "load_floor": 64, "retry_percent": 20});
    let layout = Layout { engines: 0, services, routers: 2, policy, ..Layout::default() };
    Fleet::start(layout).unwrap()
}

/// Posts on another thread.
fn posting(fleet: &Fleet, router: usize, key: &str) -> thread::JoinHandle<Answer> {
    let (router, key) = (fleet.router_address(router).unwrap(), key.to_owned());
    thread::spawn(move || post(router, &key))
}

fn total(fleet: &Fleet) -> u64 {
    fleet.services.iter().map(|service| service.executions().total).sum()
}

fn received(fleet: &Fleet) -> u64 {
    fleet.services.iter().map(|service| service.executions().received).sum()
}

fn most_by_key(fleet: &Fleet) -> u64 {
    let mut counts = std::collections::BTreeMap::<String, u64>::new();
    for service in &fleet.services {
        for (key, count) in service.executions().by_key {
            *counts.entry(key).or_default() += count;
        }
    }
    counts.values().copied().max().unwrap_or(0)
}

fn delay(fleet: &Fleet, delay_ms: u64) {
    let faults = service::Faults { delay_ms, ..service::Faults::default() };
    fleet.services.iter().for_each(|service| service.set_faults(faults));
}

fn table(fleet: &Fleet, table: Mode, slow_ms: u64) {
    fleet.platform.set_faults(platform::Faults { table, slow_ms, ..platform::Faults::default() });
}

fn status(fleet: &Fleet, index: usize) -> Value {
    let console = fleet.sidecars[index].address("operators").unwrap();
    let (_, body) = fetch(console, "GET", "/status", &[], "").unwrap();
    serde_json::from_str(&body).unwrap()
}

/// Kills the only process beside a service; returns its address.
fn kill(fleet: &mut Fleet) -> String {
    let address = fleet.sidecars[0].address("routers").unwrap().to_string();
    fleet.sidecars[0].kill();
    address
}

/// Starts another process at the address of one that was killed.
fn replace(fleet: &mut Fleet, address: &str) {
    fleet.sidecars[0] = fleet.start_sidecar(0, address).unwrap();
    fleet.sidecars[0].wait_for_event(100).unwrap();
    fleet.wait_until_ready().unwrap();
}

/// Repeats a call through both routers, twice each.
fn repeats(fleet: &Fleet, key: &str) -> Vec<Answer> {
    let routers = [0, 1, 0, 1].map(|index| fleet.router_address(index).unwrap());
    routers.iter().map(|router| post(*router, key)).collect()
}

#[test]
fn a_repeat_gets_the_first_answer_byte_for_byte() {
    let fleet = fleet(2);
    for (key, status) in [("created", 201), ("refused", 402), ("failed", 503)] {
        let faults = service::Faults { status: Some(status), ..service::Faults::default() };
        fleet.services.iter().for_each(|service| service.set_faults(faults));
        let first = post(fleet.router_address(0).unwrap(), key);
        assert_eq!((first.status, first.replayed), (i32::from(status), false), "{first:?}");
        delay(&fleet, 0);
        for repeat in repeats(&fleet, key) {
            assert_eq!(repeat, Answer { replayed: true, ..first.clone() });
        }
    }
    assert_eq!((total(&fleet), most_by_key(&fleet)), (3, 1));
    let reused = post_body(fleet.router_address(1).unwrap(), "created", "{\"deposit_eur\":9}");
    assert_eq!((reused.reason().as_str(), reused.run().as_str()), ("key-reused", "not-run"));
    assert_eq!(total(&fleet), 3);
}

#[test]
fn duplicates_in_flight_through_two_routers_run_once() {
    let fleet = fleet(2);
    delay(&fleet, 50);
    let keys: Vec<String> = (0..10).map(|number| format!("burst-{number}")).collect();
    let threads: Vec<_> = keys
        .iter()
        .flat_map(|key| (0..4).map(|caller| posting(&fleet, caller % 2, key)).collect::<Vec<_>>())
        .collect();
    let answers: Vec<Answer> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    for (key, answers) in keys.iter().zip(answers.chunks(4)) {
        let first = answers.iter().filter(|answer| answer.status == 201 && !answer.replayed);
        assert_eq!(first.count(), 1, "{key}: {answers:?}");
        let others = answers.iter().filter(|answer| answer.status != 201);
        others.for_each(|answer| assert_eq!(answer.reason(), "in-progress", "{answers:?}"));
    }
    assert_eq!((total(&fleet), most_by_key(&fleet)), (10, 1));
}

#[test]
fn a_sidecar_killed_while_the_service_runs_a_call_leaves_it_unknown() {
    let mut fleet = fleet(1);
    delay(&fleet, 1_000);
    let first = posting(&fleet, 0, "deposit");
    wait_until(|| received(&fleet) == 1).unwrap();
    let address = kill(&mut fleet);
    let first = first.join().unwrap();
    replace(&mut fleet, &address);
    assert!(first.is_unknown(), "{first:?}");
    wait_until(|| total(&fleet) == 1).unwrap();
    delay(&fleet, 0);
    for repeat in repeats(&fleet, "deposit") {
        assert_eq!((repeat.status, repeat.run().as_str()), (409, "unknown"), "{repeat:?}");
    }
    assert_eq!((received(&fleet), total(&fleet)), (1, 1));
}

#[test]
fn a_sidecar_killed_while_it_claims_runs_a_call_at_most_once() {
    let mut fleet = fleet(1);
    table(&fleet, Mode::Slow, 700);
    let first = posting(&fleet, 0, "deposit");
    wait_until(|| status(&fleet, 0)["open"].as_u64() > Some(0)).unwrap();
    let address = kill(&mut fleet);
    let first = first.join().unwrap();
    assert_eq!(total(&fleet), 0);
    table(&fleet, Mode::Up, 0);
    replace(&mut fleet, &address);
    let repeats = repeats(&fleet, "deposit");
    assert!(total(&fleet) <= 1, "{first:?} {repeats:?}");
    let ran = repeats.iter().any(|repeat| repeat.status == 201);
    assert_eq!(total(&fleet), u64::from(ran), "{first:?} {repeats:?}");
}

#[test]
fn a_sidecar_killed_before_it_recorded_an_answer_leaves_it_unknown() {
    let mut fleet = fleet(1);
    delay(&fleet, 300);
    let first = posting(&fleet, 0, "deposit");
    wait_until(|| received(&fleet) == 1).unwrap();
    table(&fleet, Mode::Down, 0);
    let first = first.join().unwrap();
    assert_eq!((first.status, first.replayed), (201, false), "{first:?}");
    fleet.sidecars[0].wait_for_event(600).unwrap();
    assert_eq!(status(&fleet, 0)["pending_records"], 1);
    let address = kill(&mut fleet);
    table(&fleet, Mode::Up, 0);
    replace(&mut fleet, &address);
    for repeat in repeats(&fleet, "deposit") {
        assert_eq!((repeat.status, repeat.run().as_str()), (409, "unknown"), "{repeat:?}");
    }
    assert_eq!(total(&fleet), 1);
}

#[test]
fn an_answer_is_recorded_when_the_table_comes_back() {
    let fleet = fleet(1);
    delay(&fleet, 300);
    let first = posting(&fleet, 0, "deposit");
    wait_until(|| received(&fleet) == 1).unwrap();
    table(&fleet, Mode::Down, 0);
    let first = first.join().unwrap();
    fleet.sidecars[0].wait_for_event(600).unwrap();
    table(&fleet, Mode::Up, 0);
    wait_until(|| status(&fleet, 0)["pending_records"] == 0).unwrap();
    for repeat in repeats(&fleet, "deposit") {
        assert_eq!(repeat, Answer { replayed: true, ..first.clone() });
    }
    assert_eq!(total(&fleet), 1);
}

#[test]
fn a_sidecar_frozen_while_the_service_runs_a_call_finishes_it_afterwards() {
    let fleet = fleet(1);
    delay(&fleet, 200);
    let first = posting(&fleet, 0, "deposit");
    wait_until(|| received(&fleet) == 1).unwrap();
    fleet.sidecars[0].signal(Signal::STOP).unwrap();
    let first = first.join().unwrap();
    assert!(first.is_unknown(), "{first:?}");
    fleet.sidecars[0].signal(Signal::CONT).unwrap();
    fleet.wait_until_ready().unwrap();
    wait_until(|| post(fleet.router_address(1).unwrap(), "deposit").status == 201).unwrap();
    assert!(repeats(&fleet, "deposit").iter().all(|repeat| repeat.replayed));
    assert_eq!((received(&fleet), total(&fleet)), (1, 1));
}

#[test]
fn a_sidecar_frozen_before_it_claims_runs_a_call_at_most_once() {
    let fleet = fleet(1);
    fleet.sidecars[0].signal(Signal::STOP).unwrap();
    let first = posting(&fleet, 0, "deposit").join().unwrap();
    assert_eq!(total(&fleet), 0);
    fleet.sidecars[0].signal(Signal::CONT).unwrap();
    fleet.wait_until_ready().unwrap();
    if first.run() == "not-run" {
        assert_eq!(total(&fleet), 0, "{first:?}");
    }
    wait_until(|| post(fleet.router_address(1).unwrap(), "deposit").status == 201).unwrap();
    repeats(&fleet, "deposit");
    assert_eq!((received(&fleet), total(&fleet)), (1, 1), "{first:?}");
}

#[test]
fn lost_answers_and_lost_writes_of_the_table_change_nothing() {
    let fleet = fleet(2);
    for lost in 1..=4 {
        for answers in [true, false] {
            let (lose_answers, lose_requests) = if answers { (lost, 0) } else { (0, lost) };
            let faults = platform::Faults { lose_answers, lose_requests, ..Default::default() };
            fleet.platform.set_faults(faults);
            let key = format!("deposit-{lost}-{answers}");
            let first = post(fleet.router_address(0).unwrap(), &key);
            assert_eq!((first.status, first.replayed), (201, false), "{key}: {first:?}");
            fleet.platform.set_faults(platform::Faults::default());
            wait_until(|| (0..2).all(|index| status(&fleet, index)["pending_records"] == 0))
                .unwrap();
            for repeat in repeats(&fleet, &key) {
                assert_eq!(repeat, Answer { replayed: true, ..first.clone() });
            }
        }
    }
    assert_eq!((total(&fleet), most_by_key(&fleet)), (8, 1));
}

#[test]
fn without_the_table_a_call_does_not_run_and_its_repeat_runs_once() {
    let fleet = fleet(2);
    table(&fleet, Mode::Down, 0);
    for refused in repeats(&fleet, "deposit") {
        assert_eq!(refused.reason(), "store-unavailable", "{refused:?}");
        assert_eq!(refused.run(), "not-run", "{refused:?}");
        assert!(refused.problem()["retry_after_seconds"].as_u64() > Some(0), "{refused:?}");
    }
    assert_eq!(received(&fleet), 0);
    table(&fleet, Mode::Up, 0);
    wait_until(|| post(fleet.router_address(0).unwrap(), "deposit").status == 201).unwrap();
    assert!(repeats(&fleet, "deposit").iter().all(|repeat| repeat.replayed));
    assert_eq!((received(&fleet), total(&fleet)), (1, 1));
}

#[test]
fn a_slow_table_slows_a_call_and_does_not_double_it() {
    let fleet = fleet(2);
    table(&fleet, Mode::Slow, 200);
    let first = post(fleet.router_address(0).unwrap(), "deposit");
    assert_eq!((first.status, first.replayed), (201, false), "{first:?}");
    wait_until(|| (0..2).all(|index| status(&fleet, index)["pending_records"] == 0)).unwrap();
    for repeat in repeats(&fleet, "deposit") {
        assert_eq!(repeat, Answer { replayed: true, ..first.clone() });
    }
    assert_eq!((received(&fleet), total(&fleet)), (1, 1));
}

#[test]
fn a_service_that_closes_without_an_answer_leaves_the_call_unknown() {
    let fleet = fleet(2);
    for (key, lose_answers, lose_requests) in [("ran", 1, 0), ("dropped", 0, 1)] {
        let faults = service::Faults { lose_answers, lose_requests, ..Default::default() };
        fleet.services.iter().for_each(|service| service.set_faults(faults));
        let first = post(fleet.router_address(0).unwrap(), key);
        assert!(first.is_unknown(), "{first:?}");
        delay(&fleet, 0);
        for repeat in repeats(&fleet, key) {
            assert_eq!((repeat.status, repeat.run().as_str()), (409, "unknown"), "{repeat:?}");
        }
    }
    assert_eq!((received(&fleet), total(&fleet)), (2, 1));
}
