//! Watches the target from beside it: its boot number, and whether it answers.

use std::sync::Arc;
use std::time::Duration;

use cornelpass_core::table::Kind;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use cornelpass_target::error::Error;

use crate::fate;
use crate::node::Node;

/// Time between two probes.
const PERIOD: Duration = Duration::from_millis(500);

/// Time between two probes before the first load report.
const FIRST_PERIOD: Duration = Duration::from_millis(50);

/// Probes without an answer after which the target counts as gone; a refused connection is enough
/// by itself.
const MISSES: u32 = 2;

/// Probes the engine for as long as the process runs.
pub async fn run(node: Arc<Node>) {
    let mut misses = 0;
    loop {
        let period = if node.inherited().is_known() { PERIOD } else { FIRST_PERIOD };
        tokio::time::sleep(period).await;
        if node.kind() != Some(Kind::Model) {
            continue;
        }
        match fate::probe(&node).await {
            Ok(load) => {
                misses = 0;
                node.inherit(&load);
            }
            Err(error) => {
                let before = misses;
                let refused = matches!(error, Error::Unsent { .. });
                misses = if refused { misses.max(MISSES) } else { misses + 1 };
                if misses >= MISSES {
                    node.gate().record_disconnect(node.clock.now());
                    if before < MISSES {
                        log!(Code::TargetLost, %error);
                    }
                }
            }
        }
    }
}
