//! Content of the sidecar's console, the read-only HTTP interface for operators.

use std::sync::Arc;

use cornelpass_operator::console::Pages;
use serde_json::json;

use crate::sidecar::Sidecar;

/// Content of the console's pages, read from the state of the sidecar at each request.
pub struct Content {
    sidecar: Arc<Sidecar>,
}

impl Content {
    /// Creates the content for a sidecar.
    #[must_use]
    pub const fn new(sidecar: Arc<Sidecar>) -> Self {
        Self { sidecar }
    }
}

impl Pages for Content {
    fn unready_reason(&self) -> Option<String> {
        if self.sidecar.is_leaving() {
            return Some("draining".to_owned());
        }
        if self.sidecar.version() == 0 {
            return Some("no configuration".to_owned());
        }
        (!self.sidecar.decide_readiness())
            .then(|| "configuration or load of the target not confirmed".to_owned())
    }

    fn status(&self) -> String {
        let report = self.sidecar.report();
        let status = json!({
            "target": self.sidecar.target,
            "draining": self.sidecar.is_leaving(),
            "open": self.sidecar.open_count(),
            "inherited": self.sidecar.untracked().len(),
            "pending_records": self.sidecar.outcomes.pending_count(),
            "report": report,
        });
        status.to_string()
    }

    fn explain(&self, _query: &str) -> String {
        json!({"error": "a router explains placements"}).to_string()
    }

    fn metrics(&self) -> String {
        self.sidecar.metrics.render()
    }
}
