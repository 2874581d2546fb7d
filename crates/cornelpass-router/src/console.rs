//! Content of the console of a router of the chat interface.

use std::collections::BTreeMap;
use std::sync::Arc;

use cornelpass_core::digest;
use cornelpass_core::table::Kind;
use cornelpass_core::target_report::Report;
use cornelpass_operator::console::Pages;
use serde::Serialize;
use serde_json::json;

use crate::state::State;

/// Content of the console's pages, read from the state of the router at each request.
pub struct Content {
    state: Arc<State>,
}

impl Content {
    /// Creates the content for a router.
    #[must_use]
    pub const fn new(state: Arc<State>) -> Self {
        Self { state }
    }
}

/// A target on the status page; the field names are the JSON keys.
#[derive(Serialize)]
struct Target<'a> {
    data_centre: &'a str,
    serves: &'a str,
    in_service: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    report: Option<Report>,
}

impl Pages for Content {
    fn unready_reason(&self) -> Option<String> {
        if self.state.is_draining() {
            return Some("draining".to_owned());
        }
        if self.state.replica().version() == 0 {
            return Some("no configuration".to_owned());
        }
        (!self.state.is_serving()).then(|| "configuration not shown to be current".to_owned())
    }

    fn status(&self) -> String {
        let snapshot = self.state.replica().current();
        let now = self.state.clock.now();
        let reports = self.state.target_reports();
        let target = |(name, row): (&String, &'_ cornelpass_core::table::Target)| {
            let target = json!(Target {
                data_centre: &row.data_centre,
                serves: &row.serves,
                in_service: snapshot.table.is_in_service(row),
                report: reports.report(name, now).cloned(),
            });
            (name.clone(), target)
        };
        let targets: BTreeMap<String, _> = snapshot.table.targets.iter().map(target).collect();
        let status = json!({
            "instance": self.state.name,
            "version": snapshot.version,
            "draining": self.state.is_draining(),
            "open": self.state.open_request_count(),
            "targets": targets,
        });
        status.to_string()
    }

    fn explain(&self, query: &str) -> String {
        let mut parameters = BTreeMap::new();
        parameters.extend(query.split('&').filter_map(|pair| pair.split_once('=')));
        let value = |name| parameters.get(name).copied().unwrap_or_default();
        let (organisation, chat, model) = (value("organisation"), value("chat"), value("model"));
        let snapshot = self.state.replica().current();
        let placement_key = digest::key(&format!("{organisation}/{chat}"));
        let candidates = self.state.candidates(&snapshot.table, Kind::Model, model);
        let ranked = self.state.placement.rank(placement_key, &candidates);
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
        self.state.metrics.render()
    }
}
