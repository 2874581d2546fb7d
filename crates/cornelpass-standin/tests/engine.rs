//! The engine's stand-in: places by priority, cold start, and bounded memory of ended streams.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

use std::net::TcpListener;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use cornelpass_standin::engine::{Counts, Engine, Options};
use cornelpass_standin::fleet::wait_until;
use cornelpass_standin::http::fetch;
use serde_json::json;

fn start(options: Options) -> Engine {
    Engine::start(TcpListener::bind("127.0.0.1:0").unwrap(), options).unwrap()
}

fn ask(engine: &Engine, stream: &str, priority: i32, tokens: u32) -> JoinHandle<bool> {
    let address = engine.address();
    let body = json!({
        "messages": [], "max_tokens": tokens, "stream_id": stream, "priority": priority,
    });
    thread::spawn(move || {
        let answer = fetch(address, "POST", "/v1/chat/completions", &[], &body.to_string());
        answer.is_ok_and(|(status, text)| status == 200 && text.contains("[DONE]"))
    })
}

/// Asks and waits until the engine has the request.
fn queue(engine: &Engine, stream: &str, priority: i32, tokens: u32) -> JoinHandle<bool> {
    let before = engine.counts().received;
    let asked = ask(engine, stream, priority, tokens);
    wait_until(|| engine.counts().received > before).unwrap();
    asked
}

#[test]
fn requests_beyond_the_slots_wait_and_the_highest_priority_goes_first() {
    let inter_token = Duration::from_millis(50);
    let engine = start(Options { slots: 1, inter_token, ..Options::default() });
    let first = queue(&engine, "first", 0, 8);
    let low = queue(&engine, "low", 0, 8);
    let high = queue(&engine, "high", 1, 8);
    let Counts { running, waiting, .. } = engine.counts();
    assert_eq!((running, waiting), (3, 2));
    assert!(first.join().unwrap());
    assert!(high.join().unwrap());
    assert_eq!((engine.counts().running, engine.counts().generated < 24), (1, true));
    assert!(low.join().unwrap());
    assert_eq!((engine.counts().running, engine.counts().generated), (0, 24));
}

#[test]
fn a_cold_engine_falls_over_above_what_it_bears_and_warms_by_first_tokens() {
    let cold_time = Duration::from_secs(600);
    let options =
        Options { cold_time, cold_limit: 2, warm_after_first_tokens: 2, ..Options::default() };
    let engine = start(options);
    let boot = engine.counts().boot;
    let borne = [queue(&engine, "a", 0, 2), queue(&engine, "b", 0, 2)];
    assert!(borne.into_iter().all(|asked| asked.join().unwrap()));
    let warm: Vec<_> = (0..8).map(|number| queue(&engine, &number.to_string(), 0, 2)).collect();
    assert!(warm.into_iter().all(|asked| asked.join().unwrap()));
    assert_eq!((engine.counts().boot, engine.counts().cold_peak), (boot, 2));

    let engine = start(options);
    let boot = engine.counts().boot;
    let asked: Vec<_> = (0..3).map(|number| queue(&engine, &number.to_string(), 0, 200)).collect();
    assert!(asked.into_iter().all(|asked| !asked.join().unwrap()));
    assert_eq!((engine.counts().boot, engine.counts().fell_over), (boot + 1, 1));
}

#[test]
fn ended_streams_are_forgotten_in_their_order() {
    let fast = Duration::from_micros(100);
    let engine = start(Options { first_token: fast, inter_token: fast, ..Options::default() });
    let status = |stream: &str| {
        let path = format!("/v1/streams/{stream}?from=0");
        fetch(engine.address(), "GET", &path, &[], "").unwrap().0
    };
    assert!(ask(&engine, "oldest", 0, 1).join().unwrap());
    assert_eq!(status("oldest"), 200);
    for number in 0..1_024 {
        assert!(ask(&engine, &number.to_string(), 0, 1).join().unwrap());
    }
    assert_eq!((status("oldest"), status("1023")), (404, 200));
}
