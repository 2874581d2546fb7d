//! While the platform's table is slow or down, chats complete, and the 99th percentile of their
//! first-token times is at most 1.5 times the one before.
//!
//! The tests guard against requests that wait for the platform's table before they reach an engine.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod chats;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use chats::{Chat, Outcome, percentile, router_addresses};
use cornelpass_standin::engine::Options;
use cornelpass_standin::fleet::{Fleet, Layout};
use cornelpass_standin::platform::{Faults, Mode};

/// Delay of each response of the platform's table while the table is slow, in milliseconds.
const SLOW_MS: u64 = 900;

/// Callers, each with one chat.
const CALLERS: usize = 6;

/// Turns of each chat in a phase.
const TURNS: usize = 15;

/// Limit of the 99th percentile of the first-token times under a fault, in percent of that before
/// the fault.
const FIRST_TOKEN_LIMIT_PERCENT: u128 = 150;

/// Sends all turns of a phase: the chats at the same time, the turns of a chat one after another.
fn send_turns(routers: &[SocketAddr], phase: usize) -> Vec<Outcome> {
    let caller = |index: usize| {
        // There are three organisations and three routers.
        let chat = Chat::new(1 + index % 3, &format!("chat-{index}"), 10);
        let turn = move |turn: usize| chat.send(routers[(index + turn) % 3], phase * TURNS + turn);
        move || (0..TURNS).map(turn).collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..CALLERS).map(|index| scope.spawn(caller(index))).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

/// 99th percentile of the first-token times.
fn p99(outcomes: &[Outcome]) -> Duration {
    percentile(&outcomes.iter().map(|outcome| outcome.first_token_time).collect::<Vec<_>>(), 99)
}

/// Asserts that all chats complete, and that the 99th percentile of their first-token times stays
/// within the limit, while the platform has faults.
fn assert_chats_unaffected(faults: Faults) {
    let engine = Options { first_token: Duration::from_millis(200), ..Options::default() };
    let layout = Layout { routers: 3, services: 0, engine, ..Layout::default() };
    let fleet = Fleet::start(layout).unwrap();
    let routers = router_addresses(&fleet);
    let before = send_turns(&routers, 0);
    fleet.platform.set_faults(faults);
    let during = send_turns(&routers, 1);
    for outcome in before.iter().chain(&during) {
        assert!(outcome.is_complete, "{outcome:?}");
    }
    let (before, during) = (p99(&before), p99(&during));
    println!("first token, 99th percentile: {before:?} before, {during:?} during");
    let first_token_percent = during.as_millis() * 100 / before.as_millis();
    assert!(first_token_percent <= FIRST_TOKEN_LIMIT_PERCENT, "{first_token_percent} %");
}

#[test]
fn a_slow_table_does_not_delay_chats() {
    assert_chats_unaffected(Faults { table: Mode::Slow, slow_ms: SLOW_MS, ..Faults::default() });
}

#[test]
fn a_table_that_is_down_does_not_delay_chats() {
    assert_chats_unaffected(Faults { table: Mode::Down, ..Faults::default() });
}
