//! What the console shows of a router.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelpass_core::digest;
use cornelpass_core::table::Kind;
use cornelpass_core::target_report::Report;
use cornelpass_operator::console::Pages;
use serde::Serialize;
use serde_json::json;

use crate::node::Node;

/// A router's console.
pub struct Panel {
    node: Arc<Node>,
}

impl Panel {
    /// Console of a router.
    #[must_use]
    pub const fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

#[derive(Serialize)]
struct Target<'a> {
    data_centre: &'a str,
    serves: &'a str,
    in_service: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    report: Option<Report>,
}

impl Pages for Panel {
    fn unready_reason(&self) -> Option<String> {
        if self.node.draining() {
            return Some("draining".to_owned());
        }
        if self.node.replica().version() == 0 {
            return Some("no configuration".to_owned());
        }
        (!self.node.serving()).then(|| "configuration not shown to be current".to_owned())
    }

    fn status(&self) -> String {
        let snapshot = self.node.replica().current();
        let now = self.node.clock.now();
        let view = self.node.view();
        let target = |(name, row): (&String, &'_ cornelpass_core::table::Target)| {
            let shown = json!(Target {
                data_centre: &row.data_centre,
                serves: &row.serves,
                in_service: snapshot.table.is_in_service(row),
                report: view.report(name, now).cloned(),
            });
            (name.clone(), shown)
        };
        let targets: BTreeMap<String, _> = snapshot.table.targets.iter().map(target).collect();
        let status = json!({
            "instance": self.node.name,
            "version": snapshot.version,
            "draining": self.node.draining(),
            "open": self.node.open(),
            "targets": targets,
        });
        status.to_string()
    }

    fn explain(&self, query: &str) -> String {
        let mut parameters = BTreeMap::new();
        parameters.extend(query.split('&').filter_map(|pair| pair.split_once('=')));
        let value = |name| parameters.get(name).copied().unwrap_or_default();
        let (organisation, chat, model) = (value("organisation"), value("chat"), value("model"));
        let snapshot = self.node.replica().current();
        let key = digest::key(&format!("{organisation}/{chat}"));
        let candidates = self.node.candidates(&snapshot.table, Kind::Model, model);
        let ranked = self.node.placement.rank(key, &candidates);
        let order: Vec<_> = ranked
            .into_iter()
            .map(|index| {
                let candidate = &candidates[index];
                json!({
                    "target": candidate.name,
                    "weight": candidate.weight,
                    "ramp": candidate.ramp,
                    "load": candidate.load,
                    "bound": candidate.bound,
                })
            })
            .collect();
        json!({"version": snapshot.version, "order": order}).to_string()
    }

    fn metrics(&self) -> String {
        self.node.metrics.render()
    }
}
