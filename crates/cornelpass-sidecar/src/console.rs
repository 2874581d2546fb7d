//! Pages of the sidecar's console.

use std::sync::Arc;

use cornelpass_operator::console::Pages;
use serde_json::json;

use crate::sidecar::Sidecar;

/// Pages with the state of a sidecar.
pub struct Panel {
    sidecar: Arc<Sidecar>,
}

impl Panel {
    /// Creates the pages of a sidecar.
    #[must_use]
    pub const fn new(sidecar: Arc<Sidecar>) -> Self {
        Self { sidecar }
    }
}

impl Pages for Panel {
    fn unready_reason(&self) -> Option<String> {
        if self.sidecar.is_leaving() {
            return Some("draining".to_owned());
        }
        if self.sidecar.version() == 0 {
            return Some("no configuration".to_owned());
        }
        (!self.sidecar.is_ready())
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
        json!({"error": "only routers explain placements"}).to_string()
    }

    fn metrics(&self) -> String {
        self.sidecar.metrics.render()
    }
}
