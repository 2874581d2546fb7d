//! What became of the target after a request to it got no answer.
//!
//! A connection that broke or fell silent says little about the target, so it is asked on a new
//! connection. Admission hears that the target is gone only if it is.

use cornelpass_core::admission::warmup::PROBE_TIMEOUT;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_target::engine::Load;
use cornelpass_target::error::Error;
use tokio::time::timeout;

use crate::node::Node;

/// Times that a target is asked.
const TRIES: u32 = 2;

/// What became of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It runs under the same boot number.
    Alive,
    /// It has restarted, and knows nothing of the request.
    Restarted,
    /// It does not answer.
    Gone,
}

/// Asks the engine, given the boot number that the request was sent under.
///
/// Admission is told of a boot number, but not of a loss; that is up to whoever releases the
/// request.
pub async fn ask(node: &Node, boot: u64) -> Fate {
    for _ in 0..TRIES {
        match probe(node).await {
            Ok(load) if load.boot == boot => return Fate::Alive,
            Ok(_) => return Fate::Restarted,
            Err(Error::Unsent { .. }) => return Fate::Gone,
            Err(_) => {}
        }
    }
    Fate::Gone
}

/// Asks the engine once for its load, and tells admission its boot number.
///
/// # Errors
///
/// If the report did not come within [`PROBE_TIMEOUT`].
pub async fn probe(node: &Node) -> Result<Load, Error> {
    let late = || Error::Lost { detail: "no load report in time".to_owned() };
    let asked = node.clock.now();
    let load = timeout(PROBE_TIMEOUT, node.peers.engine.load()).await.map_err(|_| late())??;
    let now = node.clock.now();
    if now.saturating_duration_since(asked) > PROBE_TIMEOUT {
        return Err(late());
    }
    let before = node.boot();
    node.gate().record_probe(now, load.boot);
    if before != 0 && before != load.boot {
        log!(Code::TargetRestarted, boot = load.boot);
    }
    Ok(load)
}
