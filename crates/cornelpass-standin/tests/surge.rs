//! During a surge of requests of one organisation, all chats of the other organisations complete.
//! The 99th percentile of their first-token times is at most 1.5 times the one before the surge.
//!
//! The tests guard against requests of the surge that fill the slots of the engines, so that the
//! requests of the other organisations are refused or have to wait for a slot.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod chats;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use chats::{Chat, Outcome, percentile, router_addresses, running_requests};
use cornelpass_standin::engine::Options;
use cornelpass_standin::fleet::{Fleet, Layout, wait_until};
use serde_json::json;

/// Requests that an engine runs at the same time. More requests wait.
const SLOTS: usize = 8;

/// Callers of each of the two other organisations.
const CALLERS_PER_ORGANISATION: usize = 3;

/// Callers of the organisation that surges: ten times as many as those of the other organisations
/// together.
const SURGING_CALLERS: usize = 10 * 2 * CALLERS_PER_ORGANISATION;

/// Turns of each caller in a phase.
const TURNS: usize = 15;

/// Limit of the 99th percentile of the first-token times of the other organisations during the
/// surge, in percent of that before the surge.
const FIRST_TOKEN_LIMIT_PERCENT: u128 = 150;

/// Tokens of each response.
const TOKENS: u32 = 10;

/// Starts a fleet whose targets and organisations have the given limit, in units of load. The load
/// floor and the cold limit are the same, so that they do not limit a target further.
fn fleet(limit: u32) -> Fleet {
    let engine =
        Options { slots: SLOTS, first_token: Duration::from_millis(200), ..Options::default() };
    let policy = json!({
        "load_multiple_percent": 150, "load_floor": limit, "retry_percent": 20,
    });
    let layout = Layout { engines: 3, services: 0, routers: 3, ..Layout::default() };
    Fleet::start(Layout { engine, limit, cold_limit: limit, policy, ..layout }).unwrap()
}

/// Sends all turns of a phase for the callers of the other organisations: the callers at the same
/// time, the turns of a caller one after another.
fn send_turns(routers: &[SocketAddr], phase: usize) -> Vec<Outcome> {
    let caller = |index: usize| {
        // There are two other organisations and three routers.
        let chat = Chat::new(2 + index % 2, &format!("chat-{index}"), TOKENS);
        let turn = move |turn: usize| chat.send(routers[(index + turn) % 3], phase * TURNS + turn);
        move || (0..TURNS).map(turn).collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let threads: Vec<_> =
            (0..2 * CALLERS_PER_ORGANISATION).map(|index| scope.spawn(caller(index))).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

/// Runs a surge; returns the outcomes of the other organisations before and during the surge.
fn run_surge(fleet: &Fleet) -> (Vec<Outcome>, Vec<Outcome>) {
    let routers = &router_addresses(fleet);
    let before = send_turns(routers, 0);
    let stop = &AtomicBool::new(false);
    let during = thread::scope(|scope| {
        for index in 0..SURGING_CALLERS {
            let chat = Chat::new(1, &format!("chat-{index}"), TOKENS);
            scope.spawn(move || {
                let mut turns = 0..;
                while !stop.load(Ordering::SeqCst) {
                    chat.send_with_retries(routers[index % 3], turns.next().unwrap());
                }
            });
        }
        // Half of the slots of the three engines.
        let surge_started = wait_until(|| running_requests(fleet) >= 3 * SLOTS / 2);
        let during = surge_started.map(|()| send_turns(routers, 1));
        stop.store(true, Ordering::SeqCst);
        during
    });
    (before, during.unwrap())
}

/// 99th percentile of the first-token times of complete responses.
fn p99(outcomes: &[Outcome]) -> Duration {
    let first_token_times = outcomes
        .iter()
        .filter(|outcome| outcome.is_complete)
        .map(|outcome| outcome.first_token_time);
    percentile(&first_token_times.collect::<Vec<_>>(), 99)
}

/// 99th percentile of the first-token times of the other organisations during the surge, in percent
/// of that before the surge.
fn first_token_percent((before, during): &(Vec<Outcome>, Vec<Outcome>)) -> u128 {
    let (time_before, time_during) = (p99(before), p99(during));
    println!("first token, 99th percentile: {time_before:?} before, {time_during:?} in the surge");
    time_during.as_millis() * 100 / time_before.as_millis()
}

#[test]
fn chats_of_other_organisations_complete_in_time_during_a_surge() {
    let outcomes = run_surge(&fleet(u32::try_from(SLOTS).unwrap()));
    let first_token_percent = first_token_percent(&outcomes);
    let incomplete: Vec<_> =
        outcomes.0.iter().chain(&outcomes.1).filter(|outcome| !outcome.is_complete).collect();
    assert!(
        incomplete.is_empty(),
        "{} of {}: {incomplete:?}",
        incomplete.len(),
        4 * CALLERS_PER_ORGANISATION * TURNS
    );
    assert!(first_token_percent <= FIRST_TOKEN_LIMIT_PERCENT, "{first_token_percent} %");
}

/// Shows that the surge delays the other organisations when the limit of the targets is far above
/// the slots of the engines.
#[test]
fn chats_of_other_organisations_are_slow_during_a_surge_without_an_effective_limit() {
    let first_token_percent = first_token_percent(&run_surge(&fleet(256)));
    assert!(first_token_percent > FIRST_TOKEN_LIMIT_PERCENT, "{first_token_percent} %");
}
