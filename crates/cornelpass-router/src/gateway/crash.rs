//! Looks whether a target has crashed under a request.
//!
//! An answer can be lost on its way as well. Only a target that takes no connection right after it
//! broke one has crashed, and only then the contents that it ran are suspected.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelpass_operator::event::Code;
use cornelpass_operator::log;

use super::state::State;

/// Time for a connection to open at a target that lives.
const LOOK_TIMEOUT: Duration = Duration::from_millis(150);

/// Looks at a target that broke a connection, and suspects its contents if it is not there.
pub async fn look(state: Arc<State>, target: String, address: SocketAddr, content: u64) {
    if state.pool.open(address, LOOK_TIMEOUT).await.is_ok() {
        return;
    }
    let contents = state.fleet().record_crash(state.clock.now(), &target, content);
    for content in contents {
        log!(Code::Suspected, target, content = format_args!("{content:016x}"));
    }
}
