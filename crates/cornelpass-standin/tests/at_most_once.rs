//! A call to a plain service with an idempotency key, such as a payment, runs at most once, and its
//! repeats get the response of the first call.
//!
//! The tests guard against a second execution when a repeat arrives while or after a sidecar, the
//! service or the platform's table fails. A failed sidecar is killed, or frozen (stopped by
//! SIGSTOP). The check is the number of executions that the service's stand-in counts.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::net::SocketAddr;
use std::thread;

use cornelpass_standin::fleet::{Fleet, Layout, SERVICE, wait_until};
use cornelpass_standin::http::fetch;
use cornelpass_standin::platform::{self, Mode};
use cornelpass_standin::service;
use rustix::process::Signal;
use serde_json::{Value, json};

/// Response to a call.
#[derive(Clone, Debug, PartialEq)]
struct Response {
    status: i32,
    replayed: bool,
    body: String,
}

impl Response {
    fn problem(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    fn reason(&self) -> String {
        self.problem()["reason"].as_str().unwrap_or_default().to_owned()
    }

    /// Field `run` of the problem report: `not-run` or `unknown`; empty for other responses.
    fn run_state(&self) -> String {
        self.problem()["run"].as_str().unwrap_or_default().to_owned()
    }

    /// Whether the problem report states that the call may have run or may still run.
    fn is_unknown(&self) -> bool {
        self.run_state() == "unknown"
    }
}

fn send_call_with_body(router: SocketAddr, key: &str, body: &str) -> Response {
    let response = minreq::post(format!("http://{router}/v1/services/{SERVICE}/deposits"))
        .with_header("x-organisation", "org-1")
        .with_header("idempotency-key", key)
        .with_body(body)
        .with_timeout(60)
        .send()
        .unwrap();
    let replayed = response.headers.iter().any(|(name, _)| name == "idempotency-replayed");
    let status = i32::from(response.status_code);
    Response { status, replayed, body: response.as_str().unwrap().to_owned() }
}

fn send_call(router: SocketAddr, key: &str) -> Response {
    send_call_with_body(router, key, "{\"deposit_eur\":450}")
}

fn fleet(services: usize) -> Fleet {
    // The load floor is high enough that admission refuses no duplicate before its claim does.
    let policy = json!({"load_multiple_percent": 150, "load_floor": 64, "retry_percent": 20});
    let layout = Layout { engines: 0, services, routers: 2, policy, ..Layout::default() };
    Fleet::start(layout).unwrap()
}

/// Sends a call on another thread.
fn spawn_call(fleet: &Fleet, router: usize, key: &str) -> thread::JoinHandle<Response> {
    let (router, key) = (fleet.router_address(router).unwrap(), key.to_owned());
    thread::spawn(move || send_call(router, &key))
}

/// Number of calls that the services executed.
fn executed(fleet: &Fleet) -> u64 {
    fleet.services.iter().map(|service| service.executions().total).sum()
}

/// Number of calls that the services received.
fn received(fleet: &Fleet) -> u64 {
    fleet.services.iter().map(|service| service.executions().received).sum()
}

/// Highest number of executions under one idempotency key.
fn most_executions_per_key(fleet: &Fleet) -> u64 {
    let mut counts = std::collections::BTreeMap::<String, u64>::new();
    for service in &fleet.services {
        for (key, count) in service.executions().by_key {
            *counts.entry(key).or_default() += count;
        }
    }
    counts.values().copied().max().unwrap_or(0)
}

/// Replaces the faults of all services with a delay of each call; 0 ends all faults.
fn set_service_delay(fleet: &Fleet, delay_ms: u64) {
    let faults = service::Faults { delay_ms, ..service::Faults::default() };
    fleet.services.iter().for_each(|service| service.set_faults(faults));
}

fn set_table_mode(fleet: &Fleet, table: Mode, slow_ms: u64) {
    fleet.platform.set_faults(platform::Faults { table, slow_ms, ..platform::Faults::default() });
}

/// Status page of a sidecar.
fn status(fleet: &Fleet, index: usize) -> Value {
    let operators = fleet.sidecars[index].address("operators").unwrap();
    let (_, body) = fetch(operators, "GET", "/status", &[], "").unwrap();
    serde_json::from_str(&body).unwrap()
}

/// Kills the only sidecar, and returns the address on which it listened for routers.
fn kill_sidecar(fleet: &mut Fleet) -> String {
    let address = fleet.sidecars[0].address("routers").unwrap().to_string();
    fleet.sidecars[0].kill();
    address
}

/// Starts another sidecar at the address of the killed one.
fn start_sidecar_again(fleet: &mut Fleet, address: &str) {
    fleet.sidecars[0] = fleet.start_sidecar(0, address).unwrap();
    // Event 100: the sidecar has started to serve.
    fleet.sidecars[0].wait_for_event(100).unwrap();
    fleet.wait_until_ready().unwrap();
}

/// Repeats a call twice through each router.
fn send_repeats(fleet: &Fleet, key: &str) -> Vec<Response> {
    let routers = [0, 1, 0, 1].map(|index| fleet.router_address(index).unwrap());
    routers.iter().map(|router| send_call(*router, key)).collect()
}

#[test]
fn a_repeat_gets_the_first_response_byte_for_byte() {
    let fleet = fleet(2);
    for (key, status) in [("created", 201), ("refused", 402), ("failed", 503)] {
        let faults = service::Faults { status: Some(status), ..service::Faults::default() };
        fleet.services.iter().for_each(|service| service.set_faults(faults));
        let first = send_call(fleet.router_address(0).unwrap(), key);
        assert_eq!((first.status, first.replayed), (i32::from(status), false), "{first:?}");
        set_service_delay(&fleet, 0);
        for repeat in send_repeats(&fleet, key) {
            assert_eq!(repeat, Response { replayed: true, ..first.clone() });
        }
    }
    assert_eq!((executed(&fleet), most_executions_per_key(&fleet)), (3, 1));
    let reused =
        send_call_with_body(fleet.router_address(1).unwrap(), "created", "{\"deposit_eur\":9}");
    assert_eq!((reused.reason().as_str(), reused.run_state().as_str()), ("key-reused", "not-run"));
    assert_eq!(executed(&fleet), 3);
}

#[test]
fn duplicates_in_flight_through_two_routers_run_once() {
    let fleet = fleet(2);
    set_service_delay(&fleet, 50);
    let keys: Vec<String> = (0..10).map(|number| format!("burst-{number}")).collect();
    let threads: Vec<_> = keys
        .iter()
        .flat_map(|key| {
            (0..4).map(|caller| spawn_call(&fleet, caller % 2, key)).collect::<Vec<_>>()
        })
        .collect();
    let responses: Vec<Response> =
        threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    for (key, responses) in keys.iter().zip(responses.chunks(4)) {
        let first =
            responses.iter().filter(|response| response.status == 201 && !response.replayed);
        assert_eq!(first.count(), 1, "{key}: {responses:?}");
        let others = responses.iter().filter(|response| response.status != 201);
        others.for_each(|response| assert_eq!(response.reason(), "in-progress", "{responses:?}"));
    }
    assert_eq!((executed(&fleet), most_executions_per_key(&fleet)), (10, 1));
}

#[test]
fn a_sidecar_killed_while_the_service_runs_a_call_leaves_the_outcome_unknown() {
    let mut fleet = fleet(1);
    set_service_delay(&fleet, 1_000);
    let first = spawn_call(&fleet, 0, "deposit");
    wait_until(|| received(&fleet) == 1).unwrap();
    let address = kill_sidecar(&mut fleet);
    let first = first.join().unwrap();
    start_sidecar_again(&mut fleet, &address);
    assert!(first.is_unknown(), "{first:?}");
    wait_until(|| executed(&fleet) == 1).unwrap();
    set_service_delay(&fleet, 0);
    for repeat in send_repeats(&fleet, "deposit") {
        assert_eq!((repeat.status, repeat.run_state().as_str()), (409, "unknown"), "{repeat:?}");
    }
    assert_eq!((received(&fleet), executed(&fleet)), (1, 1));
}

#[test]
fn a_sidecar_killed_while_it_claims_runs_a_call_at_most_once() {
    let mut fleet = fleet(1);
    set_table_mode(&fleet, Mode::Slow, 700);
    let first = spawn_call(&fleet, 0, "deposit");
    wait_until(|| status(&fleet, 0)["open"].as_u64() > Some(0)).unwrap();
    let address = kill_sidecar(&mut fleet);
    let first = first.join().unwrap();
    assert_eq!(executed(&fleet), 0);
    set_table_mode(&fleet, Mode::Up, 0);
    start_sidecar_again(&mut fleet, &address);
    let repeats = send_repeats(&fleet, "deposit");
    assert!(executed(&fleet) <= 1, "{first:?} {repeats:?}");
    let is_executed = repeats.iter().any(|repeat| repeat.status == 201);
    assert_eq!(executed(&fleet), u64::from(is_executed), "{first:?} {repeats:?}");
}

#[test]
fn a_sidecar_killed_before_it_recorded_a_response_leaves_the_outcome_unknown() {
    let mut fleet = fleet(1);
    set_service_delay(&fleet, 300);
    let first = spawn_call(&fleet, 0, "deposit");
    wait_until(|| received(&fleet) == 1).unwrap();
    set_table_mode(&fleet, Mode::Down, 0);
    let first = first.join().unwrap();
    assert_eq!((first.status, first.replayed), (201, false), "{first:?}");
    // Event 600: the outcome of the call could not be recorded yet.
    fleet.sidecars[0].wait_for_event(600).unwrap();
    assert_eq!(status(&fleet, 0)["pending_records"], 1);
    let address = kill_sidecar(&mut fleet);
    set_table_mode(&fleet, Mode::Up, 0);
    start_sidecar_again(&mut fleet, &address);
    for repeat in send_repeats(&fleet, "deposit") {
        assert_eq!((repeat.status, repeat.run_state().as_str()), (409, "unknown"), "{repeat:?}");
    }
    assert_eq!(executed(&fleet), 1);
}

#[test]
fn a_response_is_recorded_when_the_table_is_up_again() {
    let fleet = fleet(1);
    set_service_delay(&fleet, 300);
    let first = spawn_call(&fleet, 0, "deposit");
    wait_until(|| received(&fleet) == 1).unwrap();
    set_table_mode(&fleet, Mode::Down, 0);
    let first = first.join().unwrap();
    // Event 600: the outcome of the call could not be recorded yet.
    fleet.sidecars[0].wait_for_event(600).unwrap();
    set_table_mode(&fleet, Mode::Up, 0);
    wait_until(|| status(&fleet, 0)["pending_records"] == 0).unwrap();
    for repeat in send_repeats(&fleet, "deposit") {
        assert_eq!(repeat, Response { replayed: true, ..first.clone() });
    }
    assert_eq!(executed(&fleet), 1);
}

#[test]
fn a_sidecar_frozen_while_the_service_runs_a_call_finishes_it_afterwards() {
    let fleet = fleet(1);
    set_service_delay(&fleet, 200);
    let first = spawn_call(&fleet, 0, "deposit");
    wait_until(|| received(&fleet) == 1).unwrap();
    fleet.sidecars[0].signal(Signal::STOP).unwrap();
    let first = first.join().unwrap();
    assert!(first.is_unknown(), "{first:?}");
    fleet.sidecars[0].signal(Signal::CONT).unwrap();
    fleet.wait_until_ready().unwrap();
    wait_until(|| send_call(fleet.router_address(1).unwrap(), "deposit").status == 201).unwrap();
    assert!(send_repeats(&fleet, "deposit").iter().all(|repeat| repeat.replayed));
    assert_eq!((received(&fleet), executed(&fleet)), (1, 1));
}

#[test]
fn a_sidecar_frozen_before_it_claims_runs_a_call_at_most_once() {
    let fleet = fleet(1);
    fleet.sidecars[0].signal(Signal::STOP).unwrap();
    let first = spawn_call(&fleet, 0, "deposit").join().unwrap();
    assert_eq!(executed(&fleet), 0);
    fleet.sidecars[0].signal(Signal::CONT).unwrap();
    fleet.wait_until_ready().unwrap();
    if first.run_state() == "not-run" {
        assert_eq!(executed(&fleet), 0, "{first:?}");
    }
    wait_until(|| send_call(fleet.router_address(1).unwrap(), "deposit").status == 201).unwrap();
    send_repeats(&fleet, "deposit");
    assert_eq!((received(&fleet), executed(&fleet)), (1, 1), "{first:?}");
}

#[test]
fn lost_responses_and_lost_writes_of_the_table_cause_no_second_execution() {
    let fleet = fleet(2);
    // A call writes twice to the table: its claim and its outcome. Each write is repeated after a
    // loss. The router with the acceptor lease also writes, so a loss may hit one of its writes.
    for lost in 1..=4 {
        for lose_responses in [true, false] {
            let (lose_answers, lose_requests) = if lose_responses { (lost, 0) } else { (0, lost) };
            let faults = platform::Faults { lose_answers, lose_requests, ..Default::default() };
            fleet.platform.set_faults(faults);
            let key = format!("deposit-{lost}-{lose_responses}");
            let first = send_call(fleet.router_address(0).unwrap(), &key);
            assert_eq!((first.status, first.replayed), (201, false), "{key}: {first:?}");
            fleet.platform.set_faults(platform::Faults::default());
            wait_until(|| (0..2).all(|index| status(&fleet, index)["pending_records"] == 0))
                .unwrap();
            for repeat in send_repeats(&fleet, &key) {
                assert_eq!(repeat, Response { replayed: true, ..first.clone() });
            }
        }
    }
    assert_eq!((executed(&fleet), most_executions_per_key(&fleet)), (8, 1));
}

#[test]
fn without_the_table_a_call_does_not_run_and_its_repeat_runs_once() {
    let fleet = fleet(2);
    set_table_mode(&fleet, Mode::Down, 0);
    for refused in send_repeats(&fleet, "deposit") {
        assert_eq!(refused.reason(), "store-unavailable", "{refused:?}");
        assert_eq!(refused.run_state(), "not-run", "{refused:?}");
        assert!(refused.problem()["retry_after_seconds"].as_u64() > Some(0), "{refused:?}");
    }
    assert_eq!(received(&fleet), 0);
    set_table_mode(&fleet, Mode::Up, 0);
    wait_until(|| send_call(fleet.router_address(0).unwrap(), "deposit").status == 201).unwrap();
    assert!(send_repeats(&fleet, "deposit").iter().all(|repeat| repeat.replayed));
    assert_eq!((received(&fleet), executed(&fleet)), (1, 1));
}

#[test]
fn a_slow_table_causes_no_second_execution() {
    let fleet = fleet(2);
    set_table_mode(&fleet, Mode::Slow, 200);
    let first = send_call(fleet.router_address(0).unwrap(), "deposit");
    assert_eq!((first.status, first.replayed), (201, false), "{first:?}");
    wait_until(|| (0..2).all(|index| status(&fleet, index)["pending_records"] == 0)).unwrap();
    for repeat in send_repeats(&fleet, "deposit") {
        assert_eq!(repeat, Response { replayed: true, ..first.clone() });
    }
    assert_eq!((received(&fleet), executed(&fleet)), (1, 1));
}

#[test]
fn a_service_that_closes_the_connection_without_a_response_leaves_the_outcome_unknown() {
    let fleet = fleet(2);
    for (key, lose_answers, lose_requests) in [("ran", 1, 0), ("dropped", 0, 1)] {
        let faults = service::Faults { lose_answers, lose_requests, ..Default::default() };
        fleet.services.iter().for_each(|service| service.set_faults(faults));
        let first = send_call(fleet.router_address(0).unwrap(), key);
        assert!(first.is_unknown(), "{first:?}");
        set_service_delay(&fleet, 0);
        for repeat in send_repeats(&fleet, key) {
            assert_eq!(
                (repeat.status, repeat.run_state().as_str()),
                (409, "unknown"),
                "{repeat:?}"
            );
        }
    }
    assert_eq!((received(&fleet), executed(&fleet)), (2, 1));
}
