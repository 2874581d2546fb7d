//! A paid call that is lost at each point of its way: what the caller is told, and what ran.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use cornelpass_standin::fleet::{Fleet, Layout, SERVICE, wait_until};
use cornelpass_standin::http::fetch;
use cornelpass_standin::platform::{self, Mode};
use cornelpass_standin::proxy::Proxy;
use cornelpass_standin::service;
use serde_json::Value;

/// Time within which a call that is given up on has its final answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(6);

fn fleet() -> Fleet {
    let layout = Layout { engines: 1, services: 1, routers: 2, ..Layout::default() };
    Fleet::start(layout).unwrap()
}

/// Puts a proxy between the routers and the process beside the service.
fn through_proxy(fleet: &Fleet) -> Proxy {
    let proxy = Proxy::start(fleet.sidecars[1].address("routers").unwrap()).unwrap();
    let mut rows = fleet.config_rows().unwrap();
    let row = rows.iter_mut().find(|(name, _)| name == "config/target/service-1").unwrap();
    row.1["address"] = proxy.address().to_string().into();
    fleet.write_rows(&rows).unwrap();
    wait_until(|| proxy.connections_opened() >= fleet.routers.len()).unwrap();
    fleet.wait_until_ready().unwrap();
    proxy
}

/// Starts a paid call through a router.
fn start(fleet: &Fleet, router: usize) -> JoinHandle<(u16, Value)> {
    let address = fleet.router_address(router).unwrap();
    thread::spawn(move || {
        let headers = [("x-organisation", "org-1"), ("idempotency-key", "k")];
        let path = format!("/v1/services/{SERVICE}/deposits");
        let begun = Instant::now();
        let (status, body) = fetch(address, "POST", &path, &headers, "{}").unwrap();
        assert!(begun.elapsed() < ANSWER_LIMIT, "{:?}: {body}", begun.elapsed());
        (status, serde_json::from_str(&body).unwrap())
    })
}

fn call(fleet: &Fleet, router: usize) -> (u16, Value) {
    start(fleet, router).join().unwrap()
}

/// Calls until the call has an answer of the service.
fn call_until_answered(fleet: &Fleet, router: usize) -> Value {
    let mut answer = Value::Null;
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        let (status, body) = call(fleet, router);
        answer = body;
        if status == 201 {
            return answer;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("no answer: {answer}");
}

fn ran(fleet: &Fleet) -> u64 {
    fleet.services[0].executions().total
}

fn claim(fleet: &Fleet) -> Option<Value> {
    fleet.platform.row("claim/org%2D1/k")
}

#[test]
fn sent_into_a_silent_connection_it_runs_once_on_a_new_one() {
    let fleet = fleet();
    let proxy = through_proxy(&fleet);
    proxy.silence_connections();
    let (status, answer) = call(&fleet, 0);
    assert_eq!(status, 201, "{answer}");
    assert_eq!(ran(&fleet), 1);
}

#[test]
fn lost_before_its_process_it_is_not_run_once_it_is_void() {
    let mut fleet = fleet();
    let proxy = through_proxy(&fleet);
    proxy.silence_connections();
    let address = fleet.sidecars[1].address("routers").unwrap().to_string();
    fleet.sidecars[1].kill();
    let (_, problem) = call(&fleet, 0);
    assert_eq!(problem["run"], "not-run", "{problem}");
    assert!(claim(&fleet).is_some_and(|row| row["void"].is_array()), "{:?}", claim(&fleet));
    fleet.sidecars[1] = fleet.start_sidecar(1, &address).unwrap();
    let again = call_until_answered(&fleet, 1);
    assert_eq!((again["confirmation"].as_u64(), ran(&fleet)), (Some(1), 1));
}

#[test]
fn lost_before_its_process_it_is_unknown_while_the_table_is_away() {
    let mut fleet = fleet();
    let proxy = through_proxy(&fleet);
    proxy.silence_connections();
    fleet.sidecars[1].kill();
    fleet.platform.set_faults(platform::Faults { table: Mode::Down, ..Default::default() });
    let (_, problem) = call(&fleet, 0);
    assert_eq!(problem["run"], "unknown", "{problem}");
}

#[test]
fn its_answer_lost_on_the_way_back_it_is_unknown_and_runs_once() {
    let fleet = fleet();
    let proxy = through_proxy(&fleet);
    let delay = service::Faults { delay_ms: 3_000, ..Default::default() };
    fleet.services[0].set_faults(delay);
    let running = start(&fleet, 0);
    wait_until(|| claim(&fleet).is_some()).unwrap();
    proxy.silence_connections();
    let (status, problem) = running.join().unwrap();
    assert_eq!((status, &problem["run"]), (409, &"unknown".into()), "{problem}");
    let again = call_until_answered(&fleet, 1);
    assert_eq!((again["confirmation"].as_u64(), ran(&fleet)), (Some(1), 1));
}

#[test]
fn its_process_killed_while_it_runs_it_stays_unknown_and_runs_once() {
    let mut fleet = fleet();
    let delay = service::Faults { delay_ms: 500, ..Default::default() };
    fleet.services[0].set_faults(delay);
    let address = fleet.sidecars[1].address("routers").unwrap().to_string();
    let running = start(&fleet, 0);
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
    assert!(ran(&fleet) <= 1);
}

#[test]
fn lost_at_the_service_it_is_unknown_whether_it_ran_or_not() {
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
        assert_eq!(ran(&fleet), u64::from(faults.lose_answers));
    }
}

#[test]
fn refused_before_it_is_claimed_it_is_not_run() {
    let mut fleet = fleet();
    fleet.platform.set_faults(platform::Faults { table: Mode::Down, ..Default::default() });
    let (status, problem) = call(&fleet, 0);
    assert_eq!((status, &problem["run"]), (503, &"not-run".into()), "{problem}");
    assert!(problem["retry_after_seconds"].is_u64(), "{problem}");
    fleet.platform.set_faults(platform::Faults::default());
    assert_eq!(ran(&fleet), 0);
    fleet.services.clear();
    let (_, problem) = call(&fleet, 0);
    assert_eq!(problem["run"], "not-run", "{problem}");
}

#[test]
fn its_answer_lost_behind_the_router_the_repeat_gets_the_first_answer() {
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
    let again = call_until_answered(&fleet, 1);
    assert_eq!((again["confirmation"].as_u64(), ran(&fleet)), (Some(1), 1));
}
