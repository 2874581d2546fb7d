//! A caller that reads slowly while the connection to its target is replaced.

#![allow(clippy::unwrap_used, reason = "helpers of tests")]

mod common;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use common::{Fixture, ORGANISATION, TOTAL, until, word};
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
        max_tokens: TOTAL,
        streamed: true,
        timeout: Duration::from_secs(20),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_piece_on_its_way_to_the_caller_outlives_the_connection() {
    let fixture = Fixture::new().await;
    let now = || fixture.node.clock.now();
    until(|| fixture.node.view().report("t-2", now()).is_some()).await;
    let (sender, events) = flume::bounded(1);
    tokio::spawn(chats::run(Arc::clone(&fixture.node), "r".to_owned(), chat(), sender));
    let mut text = String::new();
    for round in 1..=3 {
        // The channel is full, so the next piece waits for the caller.
        until(|| events.is_full()).await;
        tokio::task::yield_now().await;
        let link = fixture.node.link("t-2").unwrap();
        let channel = link.channel().await.unwrap();
        link.abandon(channel.generation).await;
        // A router that let go of the piece would resume at once.
        let resumed = until(|| fixture.beside.resumed.load(Ordering::SeqCst) >= round);
        let _ = tokio::time::timeout(Duration::from_millis(50), resumed).await;
        while fixture.beside.resumed.load(Ordering::SeqCst) < round {
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
    let expected: String = (0..TOTAL).map(word).collect();
    assert_eq!(text, expected);
}
