//! Checks whether the target is alive after a request to it received no complete response.
//!
//! A connection that failed, or on which no data arrives, does not show that the target has failed.
//! The target is therefore queried on a new connection. Admission counts the target as lost only if
//! this query shows that the target does not respond or has restarted.

use cornelpass_core::admission::warmup::PROBE_TIMEOUT;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_target::engine::Load;
use cornelpass_target::error::Error;
use tokio::time::timeout;

use crate::sidecar::Sidecar;

/// Maximum number of load queries of one check.
const MAX_TRIES: u32 = 2;

/// Result of a check; the names of the variants are values of the log field `fate`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The target runs under the same boot number.
    Alive,
    /// The target has restarted and has lost the request.
    Restarted,
    /// The target does not respond.
    Gone,
}

/// Checks the engine after a request that was sent under the boot number `boot`.
///
/// Records the boot number in the admission controller, but not a loss of the target: the function
/// that releases the request records the loss.
pub async fn check(sidecar: &Sidecar, boot: u64) -> Liveness {
    for _ in 0..MAX_TRIES {
        match probe(sidecar).await {
            Ok(load) if load.boot == boot => return Liveness::Alive,
            Ok(_) => return Liveness::Restarted,
            Err(Error::Unsent { .. }) => return Liveness::Gone,
            Err(_) => {}
        }
    }
    Liveness::Gone
}

/// Queries the engine's load once, and records its boot number in the admission controller.
///
/// # Errors
///
/// [`Error::Lost`] if the report did not arrive within [`PROBE_TIMEOUT`], and the errors of the
/// query.
pub async fn probe(sidecar: &Sidecar) -> Result<Load, Error> {
    let timed_out = || Error::Lost { detail: format!("no load report within {PROBE_TIMEOUT:?}") };
    let started_at = sidecar.clock.now();
    let load =
        timeout(PROBE_TIMEOUT, sidecar.clients.engine.load()).await.map_err(|_| timed_out())??;
    let now = sidecar.clock.now();
    if now.saturating_duration_since(started_at) > PROBE_TIMEOUT {
        return Err(timed_out());
    }
    let previous_boot = sidecar.boot();
    sidecar.controller().record_probe(now, load.boot);
    if previous_boot != 0 && previous_boot != load.boot {
        log!(Code::TargetRestarted, boot = load.boot);
    }
    Ok(load)
}
