//! Console of a gateway: liveness, readiness, status and metrics, over HTTP on a separate address.

use std::sync::Arc;

use async_trait::async_trait;
use cornelpass_caller::budget::Budget;
use cornelpass_caller::gateway::full_response;
use cornelpass_caller::responder::Responder;
use cornelpass_caller::response::Body;
use cornelpass_caller::tracked_body::RequestBody;
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};

use super::state::State;

/// Responds to operators and collectors of metrics.
pub struct Console {
    state: Arc<State>,
    memory: Budget,
}

impl Console {
    /// Creates the console of a gateway; `memory` is for pages in progress.
    #[must_use]
    pub const fn new(state: Arc<State>, memory: Budget) -> Self {
        Self { state, memory }
    }

    fn status(&self) -> Value {
        let state = &self.state;
        let now = state.clock.now();
        let version = state.config().map(|config| config.version);
        let (sync_age_ms, report_age_ms) = state.ages_ms();
        let mut fleet = state.fleet();
        let targets: Vec<Value> = fleet
            .summaries(now)
            .map(|summary| {
                json!({
                    "target": summary.name, "service": summary.row.service,
                    "data_centre": summary.row.data_centre, "state": summary.row.state,
                    "listed": summary.listed, "standing": summary.standing.to_string(),
                    "load": summary.load,
                })
            })
            .collect();
        json!({
            "instance": state.name, "ready": state.is_ready(), "version": version,
            "orders": state.operator_revision(), "open": state.open_request_count(),
            "closed": fleet.closed_data_centres(),
            "list_age_ms": sync_age_ms, "report_age_ms": report_age_ms,
            "routers": fleet.peers().member_count(now), "targets": targets,
        })
    }

    /// Response with a page, unless too many pages wait to be read.
    fn page(&self, text: String) -> Response<Body> {
        match self.memory.try_charge_response(text.into()) {
            Some(text) => full_response(StatusCode::OK, text),
            None => full_response(StatusCode::SERVICE_UNAVAILABLE, "too many requests\n"),
        }
    }

    fn metrics(&self) -> String {
        self.state.update_metrics();
        self.state.metrics.render()
    }
}

#[async_trait]
impl Responder for Console {
    async fn respond(&self, request: Request<RequestBody>) -> Response<Body> {
        match request.uri().path() {
            "/healthz" => full_response(StatusCode::OK, "running\n"),
            "/readyz" if self.state.is_ready() => full_response(StatusCode::OK, "ready\n"),
            "/readyz" => full_response(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/status" => self.page(self.status().to_string()),
            "/metrics" => self.page(self.metrics()),
            _ => full_response(StatusCode::NOT_FOUND, "no such page\n"),
        }
    }
}
