//! Streams between an engine that fails and routers that come and go.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{BOOT, LIMIT, fresh, node, probe, report, resume, settle, submission, unconfirmed};
use cornelpass_core::chat::{Finish, Usage};
use cornelpass_core::clock::Clock;
use cornelpass_core::config::{MAX_DECISION_GAP, STARTUP_HOLD};
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::target_report::State;
use cornelpass_sidecar::held::{ENDED_BYTES, Entry, Follower, STREAM_BYTES, Streams};
use cornelpass_sidecar::relay::{self, FOLLOW_GRACE};
use cornelpass_target::engine::Event;
use cornelpass_target::error::Error;
use cornelpass_wire::frame::{Body, Failure};

fn text(text: &str) -> Event {
    Event::Text(text.to_owned())
}

fn silent() -> Event {
    Event::Failed(Error::Lost { detail: "silent".to_owned() })
}

fn end() -> Event {
    Event::End { finish: Finish::Stop, usage: Usage::default() }
}

/// Reads to the end; returns the text and the last body.
async fn read(follower: &mut Follower) -> (String, Option<Body>) {
    let (mut all, mut last) = (String::new(), None);
    while let Some(body) = follower.next().await {
        match body {
            Body::Text { text, .. } => all.push_str(&text),
            body if body.is_last() => last = Some(body),
            _ => {}
        }
    }
    (all, last)
}

fn is_whole(last: Option<&Body>, pieces: u32) -> bool {
    matches!(last, Some(Body::End { total, .. }) if *total == pieces)
}

#[tokio::test(start_paused = true)]
async fn two_followers_get_the_whole_stream_each() {
    let (script, _clock, node) = node().await;
    let engine = script.connection();
    let mut first = relay::submit(&node, submission("a", "org-1")).unwrap();
    engine.send(text("x")).unwrap();
    assert!(matches!(first.next().await, Some(Body::Accepted)));
    let mut second = relay::resume(&node, &resume("a", "org-1", 0)).await.unwrap();
    engine.send(text("y")).unwrap();
    engine.send(end()).unwrap();
    for follower in [&mut first, &mut second] {
        let (all, last) = read(follower).await;
        assert_eq!(all, "xy");
        assert!(is_whole(last.as_ref(), 2), "{last:?}");
    }
    assert_eq!(script.asked(), ["generate a.1"]);
}

#[tokio::test(start_paused = true)]
async fn an_attempt_that_is_delivered_twice_is_generated_once() {
    let (script, _clock, node) = node().await;
    let engine = script.connection();
    let mut first = relay::submit(&node, submission("a", "org-1")).unwrap();
    let mut second = relay::submit(&node, submission("a", "org-1")).unwrap();
    engine.send(text("x")).unwrap();
    engine.send(end()).unwrap();
    assert_eq!(read(&mut first).await.0, "x");
    assert_eq!(read(&mut second).await.0, "x");
    assert_eq!(script.asked(), ["generate a.1"]);
}

#[tokio::test(start_paused = true)]
async fn a_stream_is_of_one_organisation() {
    let (script, _clock, node) = node().await;
    let _engine = script.connection();
    let _follower = relay::submit(&node, submission("a", "org-1")).unwrap();
    let gone = Failure::lost(Reason::StreamGone);
    assert_eq!(relay::resume(&node, &resume("a", "org-2", 0)).await.unwrap_err(), gone);
    assert_eq!(relay::submit(&node, submission("a", "org-2")).unwrap_err(), gone);
}

#[tokio::test(start_paused = true)]
async fn a_silent_connection_is_replaced_and_the_target_is_not_lost() {
    let (script, _clock, node) = node().await;
    let (first, second) = (script.connection(), script.connection());
    let mut follower = relay::submit(&node, submission("a", "org-1")).unwrap();
    first.send(text("x")).unwrap();
    first.send(silent()).unwrap();
    second.send(text("y")).unwrap();
    second.send(end()).unwrap();
    let (all, last) = read(&mut follower).await;
    assert_eq!(all, "xy");
    assert!(is_whole(last.as_ref(), 2), "{last:?}");
    assert_eq!(script.asked(), ["generate a.1", "resume a.1 1"]);
    assert_ne!(report(&node).state, State::Down);
    assert!(report(&node).suspects.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_the_living_engine_dropped_is_cut_and_the_target_is_not_lost() {
    let (script, _clock, node) = node().await;
    let engine = script.connection();
    let mut follower = relay::submit(&node, submission("a", "org-1")).unwrap();
    engine.send(text("x")).unwrap();
    engine.send(silent()).unwrap();
    let (all, last) = read(&mut follower).await;
    assert_eq!(all, "x");
    assert_eq!(last, Some(Body::Failed(Failure::lost(Reason::TargetLost))));
    assert_ne!(report(&node).state, State::Down);
    assert!(report(&node).suspects.is_empty());
    assert_eq!(report(&node).load, 0);
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_is_gone_takes_its_streams_with_it() {
    let (script, _clock, node) = node().await;
    let engine = script.connection();
    let mut follower = relay::submit(&node, submission("a", "org-1")).unwrap();
    engine.send(text("x")).unwrap();
    *script.load.lock().unwrap() = None;
    engine.send(silent()).unwrap();
    let (_, last) = read(&mut follower).await;
    assert!(
        matches!(last, Some(Body::Failed(Failure { execution: Execution::Unknown, .. }))),
        "{last:?}"
    );
    assert_eq!(report(&node).state, State::Down);
    assert_eq!(report(&node).suspects, [3]);
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_restarted_is_cold_and_not_down() {
    let (script, _clock, node) = node().await;
    let engine = script.connection();
    let mut follower = relay::submit(&node, submission("a", "org-1")).unwrap();
    engine.send(text("x")).unwrap();
    script.report(BOOT + 1, 0);
    engine.send(silent()).unwrap();
    read(&mut follower).await;
    assert_eq!(report(&node).boot, BOOT + 1);
    assert_ne!(report(&node).state, State::Down);
    assert_eq!(report(&node).suspects, [3]);
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_nobody_follows_is_cancelled_after_the_grace_time() {
    let (script, _clock, node) = node().await;
    let engine = script.connection();
    let mut follower = relay::submit(&node, submission("a", "org-1")).unwrap();
    engine.send(text("x")).unwrap();
    while !matches!(follower.next().await, Some(Body::Text { .. })) {}
    drop(follower);
    tokio::time::sleep(FOLLOW_GRACE / 2).await;
    assert_eq!((script.asked().len(), node.streams.open()), (1, 1));
    tokio::time::sleep(FOLLOW_GRACE).await;
    assert_eq!(script.asked(), ["generate a.1", "cancel a.1"]);
    assert_eq!((report(&node).load, node.streams.open()), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn a_stream_is_cancelled_when_its_time_is_up() {
    let (script, _clock, node) = node().await;
    let _engine = script.connection();
    let mut follower = relay::submit(&node, submission("a", "org-1")).unwrap();
    let (_, last) = read(&mut follower).await;
    assert_eq!(last, Some(Body::Failed(Failure::lost(Reason::DeadlineExceeded))));
    assert_eq!(script.asked(), ["generate a.1", "cancel a.1"]);
    assert_eq!(report(&node).load, 0);
}

#[tokio::test(start_paused = true)]
async fn streams_of_an_earlier_process_count_until_they_end() {
    let (script, clock, node) = fresh();
    let not_ready = Failure::refused(Reason::NotReady);
    probe(&node).await;
    assert_eq!(relay::submit(&node, submission("early", "org-1")).unwrap_err(), not_ready);
    // The first report was older than the streams.
    script.report(BOOT, LIMIT);
    settle(&clock, &node).await;
    assert_eq!(report(&node).load, LIMIT);
    let refused = relay::submit(&node, submission("over", "org-1")).unwrap_err();
    assert_eq!(refused.execution, Execution::NotRun);

    let engine = script.connection();
    let mut follower = relay::resume(&node, &resume("old", "org-1", 4)).await.unwrap();
    assert_eq!((report(&node).load, node.inherited().len() as u32), (LIMIT, LIMIT - 1));
    engine.send(text("z")).unwrap();
    engine.send(end()).unwrap();
    let (all, last) = read(&mut follower).await;
    assert_eq!(all, "z");
    assert!(is_whole(last.as_ref(), 5), "{last:?}");
    assert_eq!(report(&node).load, LIMIT - 1);

    script.report(BOOT, 2);
    probe(&node).await;
    assert_eq!(report(&node).load, 2);
    script.report(BOOT + 1, 5);
    probe(&node).await;
    assert_eq!((report(&node).load, report(&node).boot), (0, BOOT + 1));
}

#[tokio::test(start_paused = true)]
async fn a_fresh_process_without_the_platform_listens_before_it_serves() {
    let (script, clock, node) = unconfirmed();
    settle(&clock, &node).await;
    let not_ready = Failure::refused(Reason::NotReady);
    let begun = clock.now();
    while clock.now() - begun < STARTUP_HOLD - MAX_DECISION_GAP {
        assert_eq!(relay::submit(&node, submission("a", "org-1")).unwrap_err(), not_ready);
        assert_eq!(report(&node).state, State::Starting);
        clock.advance(MAX_DECISION_GAP / 2);
    }
    // After a pause of the process it listens anew.
    clock.advance(STARTUP_HOLD);
    assert_eq!(relay::submit(&node, submission("a", "org-1")).unwrap_err(), not_ready);
    for _ in 0..6 {
        assert!(!node.ready());
        clock.advance(MAX_DECISION_GAP / 2);
    }
    let _engine = script.connection();
    let submitted = relay::submit(&node, submission("a", "org-1"));
    assert!(submitted.is_ok(), "{submitted:?}");
}

#[tokio::test(start_paused = true)]
async fn a_reader_of_a_piece_that_is_gone_is_told_so() {
    let streams = Streams::default();
    let Entry::New(held) = streams.insert("a.1", "org-1", 0) else { panic!("held before") };
    held.accept(std::time::Instant::now());
    let piece = "x".repeat(1024);
    for _ in 0..2 * STREAM_BYTES / piece.len() {
        held.push(piece.clone());
    }
    assert_eq!(streams.size(), (1, STREAM_BYTES));
    let mut late = Follower::new(Arc::clone(&held), 0, true);
    let gone = Body::Failed(Failure::lost(Reason::StreamGone));
    assert_eq!(late.next().await, Some(gone));
    assert_eq!(late.next().await, None);
    let mut near = Follower::new(Arc::clone(&held), held.end() - 1, true);
    assert!(matches!(near.next().await, Some(Body::Text { .. })));
}

#[test]
fn ended_streams_are_bounded_in_bytes() {
    let streams = Streams::default();
    let rounds = 2 * ENDED_BYTES / STREAM_BYTES;
    for number in 0..rounds {
        let name = format!("{number}.1");
        let Entry::New(held) = streams.insert(&name, "org-1", 0) else { panic!("held before") };
        held.push("x".repeat(STREAM_BYTES));
        streams.end(&name, &held, Body::Failed(Failure::lost(Reason::TargetLost)));
    }
    assert_eq!(streams.size(), (ENDED_BYTES / STREAM_BYTES, ENDED_BYTES));
    assert!(streams.get("0.1").is_none());
    streams.remove(&format!("{}.1", rounds - 1));
    assert_eq!(streams.size().1, ENDED_BYTES - STREAM_BYTES);
}

#[test]
fn a_process_that_leaves_reports_so_at_once_and_refuses_after_the_grace_time() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (script, clock, node) = node().await;
        let _engines = [script.connection(), script.connection()];
        let begun = clock.now();
        node.list(true);
        assert_eq!(report(&node).state, State::Leaving);
        let _follower = relay::submit(&node, submission("a", "org-1")).unwrap();
        clock.advance(cornelpass_sidecar::node::LEAVING_GRACE);
        let refused = relay::submit(&node, submission("b", "org-1")).unwrap_err();
        assert_eq!(refused, Failure::refused(Reason::Draining));
        node.list(false);
        assert!(relay::submit(&node, submission("b", "org-1")).is_ok());
        node.drain();
        node.list(false);
        clock.advance(Duration::from_secs(3));
        assert_eq!(report(&node).state, State::Leaving);
        assert!(clock.now() > begun);
    });
}
