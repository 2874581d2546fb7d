//! Bodies of responses that are buffered until they are complete.
//!
//! A body is copied into one buffer as it arrives. The frames of the HTTP library would keep its
//! read buffers, so that a body in small parts would need many times its size.

use bytes::{Bytes, BytesMut};
use cornelpass_caller::budget::ArrivingResponse;
use cornelpass_caller::limit::Limit;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::gateway::client_limits::Listener;
use crate::gateway::state::State;

/// Reads a body of a limited size; none if it is larger or ends early.
pub(super) async fn collect(body: Incoming, limit_bytes: usize) -> Option<Bytes> {
    collect_while(body, limit_bytes, |_| true).await
}

/// Reads a body like [`collect`], charged to the memory for clients while it arrives; none also if
/// there is no room.
pub(super) async fn collect_charged(
    state: &State,
    body: Incoming,
    limit_bytes: usize,
) -> Option<Bytes> {
    let mut arriving = state.client_memory.start_response();
    collect_while(body, limit_bytes, |capacity| resize(state, &mut arriving, capacity)).await
}

/// Charges the buffer of a response, and counts the limit if there is no room for it.
#[must_use]
pub(super) fn resize(state: &State, arriving: &mut ArrivingResponse, capacity: usize) -> bool {
    let has_room = arriving.resize(capacity);
    if !has_room {
        state.clients.counts(Listener::Callers).add(Limit::Memory);
    }
    has_room
}

async fn collect_while(
    mut body: Incoming,
    limit_bytes: usize,
    mut has_room: impl FnMut(usize) -> bool,
) -> Option<Bytes> {
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        if bytes.len() + data.len() > limit_bytes {
            return None;
        }
        bytes.extend_from_slice(&data);
        if !has_room(bytes.capacity()) {
            return None;
        }
    }
    Some(bytes.freeze())
}
