//! Streams while the engine fails, and while the connections of routers are lost.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{
    BOOT, LIMIT, confirmed_sidecar, probe, probe_until_load_known, ready_sidecar, report, resume,
    submission, unconfirmed_sidecar,
};
use cornelpass_core::chat::{Finish, TokenUsage};
use cornelpass_core::clock::Clock;
use cornelpass_core::config::{MAX_DECISION_GAP, STARTUP_HOLD};
use cornelpass_core::refusal::{Execution, Reason};
use cornelpass_core::target_report::State;
use cornelpass_sidecar::relay::{self, UNREAD_TIMEOUT};
use cornelpass_sidecar::streams::{
    ENDED_LIMIT_BYTES, Insertion, Reader, STREAM_LIMIT_BYTES, Streams,
};
use cornelpass_target::engine::Event;
use cornelpass_target::error::Error;
use cornelpass_wire::frame::{Body, Failure};

fn text(text: &str) -> Event {
    Event::Text(text.to_owned())
}

fn lost_connection() -> Event {
    Event::Failed(Error::Lost { detail: "silent".to_owned() })
}

fn end() -> Event {
    Event::End { finish: Finish::Stop, usage: TokenUsage::default() }
}

/// Reads a stream to its end; returns the text and the last body.
async fn read_to_end(reader: &mut Reader) -> (String, Option<Body>) {
    let (mut text_read, mut last_body) = (String::new(), None);
    while let Some(body) = reader.next().await {
        match body {
            Body::Text { text, .. } => text_read.push_str(&text),
            body if body.is_last() => last_body = Some(body),
            _ => {}
        }
    }
    (text_read, last_body)
}

fn is_complete(last_body: Option<&Body>, pieces: u32) -> bool {
    matches!(last_body, Some(Body::End { total, .. }) if *total == pieces)
}

#[tokio::test(start_paused = true)]
async fn two_readers_get_the_whole_stream_each() {
    let (engine, _clock, sidecar) = ready_sidecar().await;
    let events = engine.prepare_connection();
    let mut first = relay::submit(&sidecar, submission("a", "org-1")).unwrap();
    events.send(text("x")).unwrap();
    assert!(matches!(first.next().await, Some(Body::Accepted)));
    let mut second = relay::resume(&sidecar, &resume("a", "org-1", 0)).await.unwrap();
    events.send(text("y")).unwrap();
    events.send(end()).unwrap();
    for reader in [&mut first, &mut second] {
        let (text_read, last_body) = read_to_end(reader).await;
        assert_eq!(text_read, "xy");
        assert!(is_complete(last_body.as_ref(), 2), "{last_body:?}");
    }
    assert_eq!(engine.requests(), ["generate a.1"]);
}

#[tokio::test(start_paused = true)]
async fn an_attempt_that_is_delivered_twice_is_generated_once() {
    let (engine, _clock, sidecar) = ready_sidecar().await;
    let events = engine.prepare_connection();
    let mut first = relay::submit(&sidecar, submission("a", "org-1")).unwrap();
    let mut second = relay::submit(&sidecar, submission("a", "org-1")).unwrap();
    events.send(text("x")).unwrap();
    events.send(end()).unwrap();
    assert_eq!(read_to_end(&mut first).await.0, "x");
    assert_eq!(read_to_end(&mut second).await.0, "x");
    assert_eq!(engine.requests(), ["generate a.1"]);
}

#[tokio::test(start_paused = true)]
async fn a_stream_is_accessible_only_to_its_organisation() {
    let (engine, _clock, sidecar) = ready_sidecar().await;
    let _events = engine.prepare_connection();
    let _reader = relay::submit(&sidecar, submission("a", "org-1")).unwrap();
    let stream_gone = Failure::lost(Reason::StreamGone);
    assert_eq!(relay::resume(&sidecar, &resume("a", "org-2", 0)).await.unwrap_err(), stream_gone);
    assert_eq!(relay::submit(&sidecar, submission("a", "org-2")).unwrap_err(), stream_gone);
}

#[tokio::test(start_paused = true)]
async fn a_silent_connection_is_replaced_and_the_target_is_not_lost() {
    let (engine, _clock, sidecar) = ready_sidecar().await;
    let (first, second) = (engine.prepare_connection(), engine.prepare_connection());
    let mut reader = relay::submit(&sidecar, submission("a", "org-1")).unwrap();
    first.send(text("x")).unwrap();
    first.send(lost_connection()).unwrap();
    second.send(text("y")).unwrap();
    second.send(end()).unwrap();
    let (text_read, last_body) = read_to_end(&mut reader).await;
    assert_eq!(text_read, "xy");
    assert!(is_complete(last_body.as_ref(), 2), "{last_body:?}");
    assert_eq!(engine.requests(), ["generate a.1", "resume a.1 1"]);
    assert_ne!(report(&sidecar).state, State::Down);
    assert!(report(&sidecar).suspects.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_a_running_engine_dropped_is_aborted_and_the_target_is_not_lost() {
    let (engine, _clock, sidecar) = ready_sidecar().await;
    let events = engine.prepare_connection();
    let mut reader = relay::submit(&sidecar, submission("a", "org-1")).unwrap();
    events.send(text("x")).unwrap();
    events.send(lost_connection()).unwrap();
    let (text_read, last_body) = read_to_end(&mut reader).await;
    assert_eq!(text_read, "x");
    assert_eq!(last_body, Some(Body::Failed(Failure::lost(Reason::TargetLost))));
    assert_ne!(report(&sidecar).state, State::Down);
    assert!(report(&sidecar).suspects.is_empty());
    assert_eq!(report(&sidecar).load, 0);
}

#[tokio::test(start_paused = true)]
async fn the_streams_of_a_lost_engine_fail() {
    let (engine, _clock, sidecar) = ready_sidecar().await;
    let events = engine.prepare_connection();
    let mut reader = relay::submit(&sidecar, submission("a", "org-1")).unwrap();
    events.send(text("x")).unwrap();
    *engine.load.lock().unwrap() = None;
    events.send(lost_connection()).unwrap();
    let (_, last_body) = read_to_end(&mut reader).await;
    assert!(
        matches!(last_body, Some(Body::Failed(Failure { execution: Execution::Unknown, .. }))),
        "{last_body:?}"
    );
    assert_eq!(report(&sidecar).state, State::Down);
    assert_eq!(report(&sidecar).suspects, [3]);
}

#[tokio::test(start_paused = true)]
async fn an_engine_that_restarted_is_cold_and_not_down() {
    let (engine, _clock, sidecar) = ready_sidecar().await;
    let events = engine.prepare_connection();
    let mut reader = relay::submit(&sidecar, submission("a", "org-1")).unwrap();
    events.send(text("x")).unwrap();
    engine.set_load_report(BOOT + 1, 0);
    events.send(lost_connection()).unwrap();
    read_to_end(&mut reader).await;
    assert_eq!(report(&sidecar).boot, BOOT + 1);
    assert_ne!(report(&sidecar).state, State::Down);
    assert_eq!(report(&sidecar).suspects, [3]);
}

#[tokio::test(start_paused = true)]
async fn a_stream_without_readers_is_cancelled_after_the_timeout() {
    let (engine, _clock, sidecar) = ready_sidecar().await;
    let events = engine.prepare_connection();
    let mut reader = relay::submit(&sidecar, submission("a", "org-1")).unwrap();
    events.send(text("x")).unwrap();
    while !matches!(reader.next().await, Some(Body::Text { .. })) {}
    drop(reader);
    tokio::time::sleep(UNREAD_TIMEOUT / 2).await;
    assert_eq!((engine.requests().len(), sidecar.streams.open_count()), (1, 1));
    tokio::time::sleep(UNREAD_TIMEOUT).await;
    assert_eq!(engine.requests(), ["generate a.1", "cancel a.1"]);
    assert_eq!((report(&sidecar).load, sidecar.streams.open_count()), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn a_stream_is_cancelled_at_its_deadline() {
    let (engine, _clock, sidecar) = ready_sidecar().await;
    let _events = engine.prepare_connection();
    let mut reader = relay::submit(&sidecar, submission("a", "org-1")).unwrap();
    let (_, last_body) = read_to_end(&mut reader).await;
    assert_eq!(last_body, Some(Body::Failed(Failure::lost(Reason::DeadlineExceeded))));
    assert_eq!(engine.requests(), ["generate a.1", "cancel a.1"]);
    assert_eq!(report(&sidecar).load, 0);
}

#[tokio::test(start_paused = true)]
async fn streams_of_an_earlier_process_count_until_they_end() {
    let (engine, clock, sidecar) = confirmed_sidecar();
    let not_ready = Failure::refused(Reason::NotReady);
    probe(&sidecar).await;
    assert_eq!(relay::submit(&sidecar, submission("early", "org-1")).unwrap_err(), not_ready);
    // The first report was made before the streams started.
    engine.set_load_report(BOOT, LIMIT);
    probe_until_load_known(&clock, &sidecar).await;
    assert_eq!(report(&sidecar).load, LIMIT);
    let refused = relay::submit(&sidecar, submission("over", "org-1")).unwrap_err();
    assert_eq!(refused.execution, Execution::NotRun);

    let events = engine.prepare_connection();
    let mut reader = relay::resume(&sidecar, &resume("old", "org-1", 4)).await.unwrap();
    assert_eq!((report(&sidecar).load, sidecar.untracked().len() as u32), (LIMIT, LIMIT - 1));
    events.send(text("z")).unwrap();
    events.send(end()).unwrap();
    let (text_read, last_body) = read_to_end(&mut reader).await;
    assert_eq!(text_read, "z");
    assert!(is_complete(last_body.as_ref(), 5), "{last_body:?}");
    assert_eq!(report(&sidecar).load, LIMIT - 1);

    engine.set_load_report(BOOT, 2);
    probe(&sidecar).await;
    assert_eq!(report(&sidecar).load, 2);
    engine.set_load_report(BOOT + 1, 5);
    probe(&sidecar).await;
    assert_eq!((report(&sidecar).load, report(&sidecar).boot), (0, BOOT + 1));
}

#[tokio::test(start_paused = true)]
async fn a_new_process_without_the_platform_collects_versions_before_it_serves() {
    let (engine, clock, sidecar) = unconfirmed_sidecar();
    probe_until_load_known(&clock, &sidecar).await;
    let not_ready = Failure::refused(Reason::NotReady);
    let started_at = clock.now();
    while clock.now() - started_at < STARTUP_HOLD - MAX_DECISION_GAP {
        assert_eq!(relay::submit(&sidecar, submission("a", "org-1")).unwrap_err(), not_ready);
        assert_eq!(report(&sidecar).state, State::Starting);
        clock.advance(MAX_DECISION_GAP / 2);
    }
    // After a pause, the process collects versions from the start again.
    clock.advance(STARTUP_HOLD);
    assert_eq!(relay::submit(&sidecar, submission("a", "org-1")).unwrap_err(), not_ready);
    for _ in 0..6 {
        assert!(!sidecar.decide_readiness());
        clock.advance(MAX_DECISION_GAP / 2);
    }
    let _events = engine.prepare_connection();
    let submitted = relay::submit(&sidecar, submission("a", "org-1"));
    assert!(submitted.is_ok(), "{submitted:?}");
}

#[tokio::test(start_paused = true)]
async fn a_reader_of_a_dropped_piece_gets_a_failure() {
    let streams = Streams::default();
    let Insertion::New(buffer) = streams.insert("a.1", "org-1", 0) else {
        panic!("exists already")
    };
    buffer.record_accepted(std::time::Instant::now());
    let piece = "x".repeat(1024);
    for _ in 0..2 * STREAM_LIMIT_BYTES / piece.len() {
        buffer.push(piece.clone());
    }
    assert_eq!(streams.size(), (1, STREAM_LIMIT_BYTES));
    let mut late_reader = Reader::new(Arc::clone(&buffer), 0, true);
    let stream_gone = Body::Failed(Failure::lost(Reason::StreamGone));
    assert_eq!(late_reader.next().await, Some(stream_gone));
    assert_eq!(late_reader.next().await, None);
    let mut near_reader = Reader::new(Arc::clone(&buffer), buffer.end_offset() - 1, true);
    assert!(matches!(near_reader.next().await, Some(Body::Text { .. })));
}

#[test]
fn ended_streams_are_bounded_in_bytes() {
    let streams = Streams::default();
    let stream_count = 2 * ENDED_LIMIT_BYTES / STREAM_LIMIT_BYTES;
    for index in 0..stream_count {
        let stream_id = format!("{index}.1");
        let Insertion::New(buffer) = streams.insert(&stream_id, "org-1", 0) else {
            panic!("exists already")
        };
        buffer.push("x".repeat(STREAM_LIMIT_BYTES));
        streams.end(&stream_id, &buffer, Body::Failed(Failure::lost(Reason::TargetLost)));
    }
    assert_eq!(streams.size(), (ENDED_LIMIT_BYTES / STREAM_LIMIT_BYTES, ENDED_LIMIT_BYTES));
    assert!(streams.get("0.1").is_none());
    streams.remove(&format!("{}.1", stream_count - 1));
    assert_eq!(streams.size().1, ENDED_LIMIT_BYTES - STREAM_LIMIT_BYTES);
}

#[test]
fn a_leaving_sidecar_reports_that_it_leaves_at_once_and_refuses_requests_after_the_grace_time() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (engine, clock, sidecar) = ready_sidecar().await;
        let _events = [engine.prepare_connection(), engine.prepare_connection()];
        let started_at = clock.now();
        sidecar.set_listed_leaving(true);
        assert_eq!(report(&sidecar).state, State::Leaving);
        let _reader = relay::submit(&sidecar, submission("a", "org-1")).unwrap();
        clock.advance(cornelpass_sidecar::sidecar::LEAVING_GRACE);
        let refused = relay::submit(&sidecar, submission("b", "org-1")).unwrap_err();
        assert_eq!(refused, Failure::refused(Reason::Draining));
        sidecar.set_listed_leaving(false);
        assert!(relay::submit(&sidecar, submission("b", "org-1")).is_ok());
        sidecar.drain();
        sidecar.set_listed_leaving(false);
        clock.advance(Duration::from_secs(3));
        assert_eq!(report(&sidecar).state, State::Leaving);
        assert!(clock.now() > started_at);
    });
}
