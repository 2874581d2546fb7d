//! Chats go on as before while the platform's table is slow or down.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod chats;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use chats::{Chat, Seen, percentile, routers};
use cornelpass_standin::engine::Options;
use cornelpass_standin::fleet::{Fleet, Layout};
use cornelpass_standin::platform::{Faults, Mode};

/// Time of each request to the table while it is slow.
const SLOW_MS: u64 = 900;

/// Callers, each with one chat.
const CALLERS: usize = 6;

/// Turns of each chat in a phase.
const TURNS: usize = 15;

/// Most that the first-token time may grow, in percent of the one before.
const GROWTH_PERCENT: u128 = 150;

fn turns(routers: &[SocketAddr], phase: usize) -> Vec<Seen> {
    let caller = |index: usize| {
        let chat = Chat::new(1 + index % 3, &format!("chat-{index}"), 10);
        let turn = move |turn: usize| chat.ask(routers[(index + turn) % 3], phase * TURNS + turn);
        move || (0..TURNS).map(turn).collect::<Vec<_>>()
    };
    thread::scope(|scope| {
        let threads: Vec<_> = (0..CALLERS).map(|index| scope.spawn(caller(index))).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

fn p99(seen: &[Seen]) -> Duration {
    percentile(&seen.iter().map(|seen| seen.first).collect::<Vec<_>>(), 99)
}

/// Asserts that chats do not notice faults of the platform.
fn assert_unaffected(faults: Faults) {
    let engine = Options { first_token: Duration::from_millis(200), ..Options::default() };
    let layout = Layout { routers: 3, services: 0, engine, ..Layout::default() };
    let fleet = Fleet::start(layout).unwrap();
    let routers = routers(&fleet);
    let before = turns(&routers, 0);
    fleet.platform.set_faults(faults);
    let during = turns(&routers, 1);
    for seen in before.iter().chain(&during) {
        assert!(seen.whole, "{seen:?}");
    }
    let (before, during) = (p99(&before), p99(&during));
    println!("first token, 99th percentile: {before:?} before, {during:?} during");
    let growth = during.as_millis() * 100 / before.as_millis();
    assert!(growth <= GROWTH_PERCENT, "{growth} %");
}

#[test]
fn chats_do_not_notice_a_slow_table() {
    assert_unaffected(Faults { table: Mode::Slow, slow_ms: SLOW_MS, ..Faults::default() });
}

#[test]
fn chats_do_not_notice_a_table_that_is_down() {
    assert_unaffected(Faults { table: Mode::Down, ..Faults::default() });
}
