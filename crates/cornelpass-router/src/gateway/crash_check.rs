//! Checks whether a target crashed during a request.
//!
//! A failed connection alone does not prove a crash, because the response may also be lost in the
//! network. The target counts as crashed only if it accepts no new connection immediately
//! afterwards. Only then are the contents that it was running suspected of crashing targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelpass_operator::event::Code;
use cornelpass_operator::log;

use super::state::State;

/// Limits the time for a running target to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Connects to a target after a failed attempt, and records a crash if the target does not accept
/// the connection.
///
/// `content` is the digest of the request of the failed attempt.
pub async fn check_target(state: Arc<State>, target: String, address: SocketAddr, content: u64) {
    if state.pool.open(address, CONNECT_TIMEOUT).await.is_ok() {
        return;
    }
    let contents = state.fleet().record_crash(state.clock.now(), &target, content);
    for content in contents {
        log!(Code::Suspected, target, content = format_args!("{content:016x}"));
    }
}
