//! Delivery of a chat response to a slow caller while the connection to the sidecar is replaced.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{Fixture, MODEL_TARGET, ORGANISATION, PIECE_COUNT, piece_text, wait_until};
use cornelpass_caller::event::Event;
use cornelpass_caller::request::Chat;
use cornelpass_router::chats;

fn chat() -> Chat {
    Chat {
        organisation: ORGANISATION.to_owned(),
        placement_key: 1,
        digest: 2,
        model: "m".to_owned(),
        messages: "[]".to_owned(),
        prompt_tokens: 1,
        max_tokens: PIECE_COUNT,
        streamed: true,
        timeout: Duration::from_secs(20),
    }
}

/// Guards against a lost piece: the router waits for the caller to read a piece, the connection to
/// the sidecar is replaced, and the router drops the piece although it has counted it as delivered.
#[tokio::test(flavor = "multi_thread")]
async fn a_piece_that_waits_for_a_slow_caller_is_delivered_after_the_connection_is_replaced() {
    let fixture = Fixture::new().await;
    let now = || fixture.state.clock.now();
    wait_until(|| fixture.state.target_reports().report(MODEL_TARGET, now()).is_some()).await;
    let (sender, events) = flume::bounded(1);
    tokio::spawn(chats::run(Arc::clone(&fixture.state), "r".to_owned(), chat(), sender));
    let mut text = String::new();
    for round in 1..=3 {
        // The event channel is full, so the next piece waits in the router until the caller reads.
        wait_until(|| events.is_full()).await;
        tokio::task::yield_now().await;
        let link = fixture.state.link(MODEL_TARGET).unwrap();
        let connection = link.connection().await.unwrap();
        link.discard(connection.generation).await;
        // A router that dropped the piece would resume the stream at once, with the channel full.
        let resumed = wait_until(|| fixture.sidecar.resume_count.load(Ordering::SeqCst) >= round);
        let _ = tokio::time::timeout(Duration::from_millis(50), resumed).await;
        while fixture.sidecar.resume_count.load(Ordering::SeqCst) < round {
            if let Ok(Event::Piece { text: piece, .. }) =
                events.recv_timeout(Duration::from_millis(20))
            {
                text.push_str(&piece);
            }
            tokio::task::yield_now().await;
        }
    }
    while let Ok(Event::Piece { text: piece, .. }) = events.recv_async().await {
        text.push_str(&piece);
    }
    let expected: String = (0..PIECE_COUNT).map(piece_text).collect();
    assert_eq!(text, expected);
}
