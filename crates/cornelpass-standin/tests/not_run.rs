//! A call with an idempotency key that is lost between the caller and the service: the problem
//! report must state correctly whether the call ran, and no call may run twice.
//!
//! Each test loses the call or the response at a different place: by a silent connection, a killed
//! process, or a fault of the service or of the platform's table. The field `run` of the problem
//! report then has to be `not-run` only if the call cannot run any more, and `unknown` otherwise.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use cornelpass_standin::fleet::{Fleet, Layout, SERVICE, wait_until};
use cornelpass_standin::http::fetch;
use cornelpass_standin::platform::{self, Mode};
use cornelpass_standin::proxy::Proxy;
use cornelpass_standin::service;
use serde_json::Value;

/// Time within which the caller has to get a response, also if the router ends the call without a
/// response of the service.
const RESPONSE_LIMIT: Duration = Duration::from_secs(6);

fn fleet() -> Fleet {
    let layout = Layout { engines: 1, services: 1, routers: 2, ..Layout::default() };
    Fleet::start(layout).unwrap()
}

/// Inserts a proxy between the routers and the sidecar of the service. Waits until the proxy has
/// opened as many connections as there are routers, and all routers are ready.
fn insert_proxy(fleet: &Fleet) -> Proxy {
    let proxy = Proxy::start(fleet.sidecars[1].address("routers").unwrap()).unwrap();
    let mut rows = fleet.config_rows().unwrap();
    let row = rows.iter_mut().find(|(name, _)| name == "config/target/service-1").unwrap();
    row.1["address"] = proxy.address().to_string().into();
    fleet.write_rows(&rows).unwrap();
    wait_until(|| proxy.connections_opened() >= fleet.routers.len()).unwrap();
    fleet.wait_until_ready().unwrap();
    proxy
}

/// Sends a call with an idempotency key through a router on another thread.
fn spawn_call(fleet: &Fleet, router: usize) -> JoinHandle<(u16, Value)> {
    let address = fleet.router_address(router).unwrap();
    thread::spawn(move || {
        let headers = [("x-organisation", "org-1"), ("idempotency-key", "k")];
        let path = format!("/v1/services/{SERVICE}/deposits");
        let started_at = Instant::now();
        let (status, body) = fetch(address, "POST", &path, &headers, "{}").unwrap();
        assert!(started_at.elapsed() < RESPONSE_LIMIT, "{:?}: {body}", started_at.elapsed());
        (status, serde_json::from_str(&body).unwrap())
    })
}

fn call(fleet: &Fleet, router: usize) -> (u16, Value) {
    spawn_call(fleet, router).join().unwrap()
}

/// Sends the call until the response has status 201, and returns its body.
fn call_until_created(fleet: &Fleet, router: usize) -> Value {
    let mut response = Value::Null;
    let deadline = Instant::now() + Duration::from_secs(20);
    while Instant::now() < deadline {
        let (status, body) = call(fleet, router);
        response = body;
        if status == 201 {
            return response;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("no response with status 201 within 20 s: {response}");
}

/// Number of calls that the service executed.
fn executed(fleet: &Fleet) -> u64 {
    fleet.services[0].executions().total
}

/// Claim row of the call in the platform's table.
fn claim(fleet: &Fleet) -> Option<Value> {
    // The key has the organisation `org-1`, percent-encoded, and the idempotency key.
    fleet.platform.row("claim/org%2D1/k")
}

#[test]
fn a_call_sent_on_a_silent_connection_runs_once_on_a_new_connection() {
    let fleet = fleet();
    let proxy = insert_proxy(&fleet);
    proxy.silence_connections();
    let (status, response) = call(&fleet, 0);
    assert_eq!(status, 201, "{response}");
    assert_eq!(executed(&fleet), 1);
}

#[test]
fn a_call_lost_on_the_way_to_its_sidecar_is_not_run_after_its_claim_is_void() {
    let mut fleet = fleet();
    let proxy = insert_proxy(&fleet);
    proxy.silence_connections();
    let address = fleet.sidecars[1].address("routers").unwrap().to_string();
    fleet.sidecars[1].kill();
    let (_, problem) = call(&fleet, 0);
    assert_eq!(problem["run"], "not-run", "{problem}");
    assert!(claim(&fleet).is_some_and(|row| row["void"].is_array()), "{:?}", claim(&fleet));
    fleet.sidecars[1] = fleet.start_sidecar(1, &address).unwrap();
    let repeat = call_until_created(&fleet, 1);
    assert_eq!((repeat["confirmation"].as_u64(), executed(&fleet)), (Some(1), 1));
}

#[test]
fn a_call_lost_on_the_way_to_its_sidecar_has_an_unknown_outcome_while_the_table_is_down() {
    let mut fleet = fleet();
    let proxy = insert_proxy(&fleet);
    proxy.silence_connections();
    fleet.sidecars[1].kill();
    fleet.platform.set_faults(platform::Faults { table: Mode::Down, ..Default::default() });
    let (_, problem) = call(&fleet, 0);
    assert_eq!(problem["run"], "unknown", "{problem}");
}

#[test]
fn a_call_whose_response_is_lost_on_the_way_to_the_router_has_an_unknown_outcome_and_runs_once() {
    let fleet = fleet();
    let proxy = insert_proxy(&fleet);
    let delay = service::Faults { delay_ms: 3_000, ..Default::default() };
    fleet.services[0].set_faults(delay);
    let running = spawn_call(&fleet, 0);
    wait_until(|| claim(&fleet).is_some()).unwrap();
    proxy.silence_connections();
    let (status, problem) = running.join().unwrap();
    assert_eq!((status, &problem["run"]), (409, &"unknown".into()), "{problem}");
    let repeat = call_until_created(&fleet, 1);
    assert_eq!((repeat["confirmation"].as_u64(), executed(&fleet)), (Some(1), 1));
}

#[test]
fn a_call_whose_sidecar_is_killed_keeps_an_unknown_outcome_and_runs_at_most_once() {
    let mut fleet = fleet();
    let delay = service::Faults { delay_ms: 500, ..Default::default() };
    fleet.services[0].set_faults(delay);
    let address = fleet.sidecars[1].address("routers").unwrap().to_string();
    let running = spawn_call(&fleet, 0);
    wait_until(|| claim(&fleet).is_some()).unwrap();
    fleet.sidecars[1].kill();
    let (_, problem) = running.join().unwrap();
    assert_eq!(problem["run"], "unknown", "{problem}");
    fleet.sidecars[1] = fleet.start_sidecar(1, &address).unwrap();
    fleet.wait_until_ready().unwrap();
    for router in [0, 1] {
        let (status, problem) = call(&fleet, router);
        assert_ne!(status, 201, "{problem}");
        assert_eq!(problem["run"], "unknown", "{problem}");
    }
    assert!(executed(&fleet) <= 1);
}

#[test]
fn a_call_lost_at_the_service_has_an_unknown_outcome_whether_it_ran_or_not() {
    for faults in [
        service::Faults { lose_answers: 1, ..Default::default() },
        service::Faults { lose_requests: 1, ..Default::default() },
    ] {
        let fleet = fleet();
        fleet.services[0].set_faults(faults);
        let (_, problem) = call(&fleet, 0);
        assert_eq!(problem["run"], "unknown", "{problem}");
        let (status, problem) = call(&fleet, 1);
        assert_eq!((status, &problem["run"]), (409, &"unknown".into()), "{problem}");
        assert_eq!(executed(&fleet), u64::from(faults.lose_answers));
    }
}

#[test]
fn a_call_refused_before_its_claim_is_not_run() {
    let mut fleet = fleet();
    fleet.platform.set_faults(platform::Faults { table: Mode::Down, ..Default::default() });
    let (status, problem) = call(&fleet, 0);
    assert_eq!((status, &problem["run"]), (503, &"not-run".into()), "{problem}");
    assert!(problem["retry_after_seconds"].is_u64(), "{problem}");
    fleet.platform.set_faults(platform::Faults::default());
    assert_eq!(executed(&fleet), 0);
    // Stops the service, so that the sidecar cannot open a connection to it.
    fleet.services.clear();
    let (_, problem) = call(&fleet, 0);
    assert_eq!(problem["run"], "not-run", "{problem}");
}

#[test]
fn a_repeat_gets_the_first_response_after_the_router_is_killed() {
    let mut fleet = fleet();
    let delay = service::Faults { delay_ms: 500, ..Default::default() };
    fleet.services[0].set_faults(delay);
    let address = fleet.router_address(0).unwrap();
    let running = thread::spawn(move || {
        let headers = [("x-organisation", "org-1"), ("idempotency-key", "k")];
        fetch(address, "POST", &format!("/v1/services/{SERVICE}/deposits"), &headers, "{}")
    });
    wait_until(|| claim(&fleet).is_some()).unwrap();
    fleet.routers[0].kill();
    let _ = running.join().unwrap();
    let repeat = call_until_created(&fleet, 1);
    assert_eq!((repeat["confirmation"].as_u64(), executed(&fleet)), (Some(1), 1));
}
