//! What the console shows of the process.

use std::sync::Arc;

use cornelpass_operator::console::Pages;
use serde_json::json;

use crate::node::Node;

/// Console of the process.
pub struct Panel {
    node: Arc<Node>,
}

impl Panel {
    /// Console over the state of the process.
    #[must_use]
    pub const fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

impl Pages for Panel {
    fn unready_reason(&self) -> Option<String> {
        if self.node.leaving() {
            return Some("draining".to_owned());
        }
        if self.node.version() == 0 {
            return Some("no configuration".to_owned());
        }
        (!self.node.ready()).then(|| "configuration or load of the target not confirmed".to_owned())
    }

    fn status(&self) -> String {
        let report = self.node.report();
        let status = json!({
            "target": self.node.target,
            "draining": self.node.leaving(),
            "open": self.node.open(),
            "inherited": self.node.inherited().len(),
            "pending_records": self.node.recorder.pending(),
            "report": report,
        });
        status.to_string()
    }

    fn explain(&self, _query: &str) -> String {
        json!({"error": "a router explains placements"}).to_string()
    }

    fn metrics(&self) -> String {
        self.node.metrics.render()
    }
}
