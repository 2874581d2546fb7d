//! Error responses of targets, which are buffered because another target may respond without an error.

use super::{Delivery, Outcome, TargetResponse, WatchedConnection, buffer};
use crate::gateway::state::State;
use cornelpass_core::refusal::Reason;

/// Maximum size of the body of an error response to a request that may be repeated, in bytes.
///
/// These responses are buffered, because another target may respond without an error. A longer one
/// counts as invalid: a failing target may send bytes without end.
const ERROR_BODY_LIMIT_BYTES: usize = 256 * 1024;

impl Delivery<'_> {
    /// Reads an error response without forwarding it.
    pub(super) async fn collect_error(&self, state: &State, response: TargetResponse) -> Outcome {
        let TargetResponse { connection, metadata, status, headers, body, .. } = response;
        let WatchedConnection { pooled, mut watch } = connection;
        let collected = buffer::collect_charged(state, body, ERROR_BODY_LIMIT_BYTES);
        let body = match self.wait_for(state, &mut watch, self.time_left(state), collected).await {
            Ok(Some(body)) => body,
            Ok(None) => return Outcome::lost(Reason::TargetError),
            Err(outcome) => return outcome,
        };
        state.pool.release(state.clock.now(), pooled, metadata.reuse_timeout());
        match state.client_memory.try_charge_response(body) {
            Some(body) => Outcome::ErrorResponse(status, Box::new(headers), body),
            None => Outcome::lost(Reason::TargetError),
        }
    }
}
