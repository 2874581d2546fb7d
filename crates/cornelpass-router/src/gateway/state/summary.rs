//! What a gateway tells collectors and other routers about its state.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use cornelpass_caller::budget::Owner;
use cornelpass_core::report::{self, Report};
use strum::IntoEnumIterator;

use super::{State, lock};

impl State {
    /// Time since the platform last returned all changes of the targets, and mean age of the other
    /// routers' reports, in milliseconds.
    #[must_use]
    pub fn ages_ms(&self) -> (u16, u64) {
        let now = self.clock.now();
        let mut fleet = self.fleet();
        let reports_ms =
            u64::try_from(fleet.peers().mean_report_age(now).as_millis()).unwrap_or(u64::MAX);
        (fleet.change_log().response_age_ms(now), reports_ms)
    }

    /// Updates the metrics that are computed only when they are collected: ages, requests in
    /// progress, retry budgets, and metrics of the process.
    pub fn update_metrics(&self) {
        let now = self.clock.now();
        let age = |updated_at: Option<Instant>| {
            updated_at
                .map(|updated_at| now.saturating_duration_since(updated_at))
                .unwrap_or_default()
        };
        let config = age(*lock(&self.config_applied_at));
        let (sync_age, reports, members, quarantined) = {
            let mut fleet = self.fleet();
            let quarantined = fleet.quarantine().groups(now).len() as u64;
            let sync_age =
                Duration::from_millis(u64::from(fleet.change_log().response_age_ms(now)));
            let reports = fleet.peers().mean_report_age(now);
            let windows = fleet.windows().inspect(|(target, window)| {
                self.metrics.set_window(target, *window as u64);
            });
            self.metrics.set_fresh_targets(windows.count() as u64);
            for (target, percent) in fleet.paces(now) {
                self.metrics.set_pace(target, percent as u64);
            }
            (sync_age, reports, fleet.peers().member_count(now), quarantined)
        };
        self.metrics.set_quarantined_groups(quarantined);
        super::super::rollout::update_metrics(self);
        self.metrics.set_ages(config, sync_age, reports);
        self.metrics.set_open_requests(self.open_request_count() as u64);
        self.metrics.update_process_metrics();
        for owner in Owner::iter() {
            self.metrics.set_client_memory(owner.into(), self.client_memory.used(owner) as u64);
        }
        let services = self.config().map(|config| config.services.clone()).unwrap_or_default();
        for service in services.keys() {
            let remaining = self.budgets().remaining(now, service, members).max(0.0);
            self.metrics.set_retry_budget(service, remaining as u64);
        }
    }

    /// Builds the next report to the other routers.
    ///
    /// Takes the new cache entries from the index. Counts the report for each change that the
    /// report contains, because the changes with the fewest reports come first.
    #[must_use]
    pub fn build_report(&self) -> Report {
        let sequence = self.report_sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let version = self.config().map_or(0, |config| config.version);
        let leaving = self.is_draining();
        let now = self.clock.now();
        let mut fleet = self.fleet();
        let others = fleet.peers().addresses().count();
        Report {
            incarnation: self.incarnation,
            sequence,
            version,
            operator_revision: self.operator_revision(),
            leaving,
            suspects: Vec::new(),
            cache_entries: fleet.cache_index().take_new_entries(report::max_cache_entries(others)),
            listed_ms: fleet.change_log().response_age_ms(now),
            last_change: fleet.change_log().last_number(),
            changes: fleet.change_log().changes_to_report(now),
            span: fleet.change_log().span(),
            departures: fleet.departures_to_report(now),
        }
    }
}
