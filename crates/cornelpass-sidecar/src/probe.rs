//! Probes the engine periodically, to follow its load, its boot number and whether it responds.

use std::sync::Arc;
use std::time::Duration;

use cornelpass_core::table::Kind;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_target::error::Error;

use crate::liveness;
use crate::sidecar::Sidecar;

/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two probes until the engine's load is known.
///
/// It is short because the load is known only after the reports of the first
/// [`MAX_REPORT_LAG`](crate::untracked::MAX_REPORT_LAG), of which the highest counts, and no
/// request is admitted until then.
const INITIAL_PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Number of consecutive probes without a response after which the target counts as lost.
///
/// A single probe is enough if it could not be sent, for example because the connection was
/// refused.
const MISS_LIMIT: u32 = 2;

/// Probes the target as long as the process runs, unless the target is a plain service.
pub async fn run(sidecar: Arc<Sidecar>) {
    let mut misses = 0;
    loop {
        let interval = if sidecar.untracked().is_load_known() {
            PROBE_INTERVAL
        } else {
            INITIAL_PROBE_INTERVAL
        };
        tokio::time::sleep(interval).await;
        if sidecar.target_kind() != Some(Kind::Model) {
            continue;
        }
        match liveness::probe(&sidecar).await {
            Ok(load) => {
                misses = 0;
                sidecar.apply_load_report(&load);
            }
            Err(error) => {
                let previous_misses = misses;
                let refused = matches!(error, Error::Unsent { .. });
                misses = if refused { misses.max(MISS_LIMIT) } else { misses + 1 };
                if misses >= MISS_LIMIT {
                    sidecar.controller().record_disconnect(sidecar.clock.now());
                    if previous_misses < MISS_LIMIT {
                        log!(Code::TargetLost, %error);
                    }
                }
            }
        }
    }
}
