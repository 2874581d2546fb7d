//! Rows of the operators as a gateway has applied them: their revisions, the restores of the
//! platform, and the data centres that are out of service.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cornelpass_core::clock;
use cornelpass_core::revision::Revision;
use cornelpass_operator::event::Code;
use cornelpass_operator::log;
use tokio::time::sleep;

use super::{State, lock};

impl State {
    /// Records the revision of a row of the operators that this router has applied.
    pub fn record_operator_revision(&self, revision: u64) {
        self.operator_revision.fetch_max(revision, Ordering::SeqCst);
    }

    /// Records the revision of the operators' rows that another router has reported.
    ///
    /// Makes a poll and a snapshot request due if any router has reported newer rows than this
    /// router has applied.
    pub fn record_peer_operator_revision(&self, revision: u64) {
        self.peer_operator_revision.fetch_max(revision, Ordering::SeqCst);
        if self.has_newer_peer_rows() {
            self.poll_due.notify_one();
            self.snapshot_due.notify_one();
        }
    }

    /// Highest revision of the operators' rows that this router has applied.
    #[must_use]
    pub fn operator_revision(&self) -> u64 {
        self.operator_revision.load(Ordering::SeqCst)
    }

    /// Version of the active configuration; 0 if there is none.
    #[must_use]
    pub fn config_version(&self) -> u64 {
        self.config().map_or(0, |config| config.version)
    }

    /// Whether another router has newer rows of the operators, or a newer configuration.
    ///
    /// After a restore, the platform may have an older configuration than the one that is active in
    /// other routers.
    #[must_use]
    pub fn has_newer_peer_rows(&self) -> bool {
        let (own_version, now) = (self.config_version(), self.clock.now());
        self.peer_operator_revision.load(Ordering::SeqCst) > self.operator_revision()
            || self.fleet().peers().live_reports(now).any(|report| report.version > own_version)
    }

    /// Number of restores of the platform that this router has detected.
    #[must_use]
    pub fn restore_count(&self) -> u64 {
        *self.restore_count.borrow()
    }

    /// Waits until this router has detected more than `count` restores of the platform.
    pub async fn wait_for_restore_after(&self, count: u64) {
        // The sender lives as long as this state, so `wait_for` does not fail.
        let _ = self.restore_count.subscribe().wait_for(|current| *current > count).await;
    }

    /// Records the revision of a response of the platform; detects restores.
    ///
    /// After a restore, the data centres that were out of service stay so for some seconds, because
    /// the operators' order may be missing from the restored copy until they repeat it.
    pub fn record_platform_revision(self: &Arc<Self>, packed: u64) {
        let revision = Revision::unpack(packed);
        let before = {
            let mut era = lock(&self.era);
            let before = *era;
            *era = before.max(Some(revision.era));
            before
        };
        // The first response shows the era, but not whether it has changed.
        let Some(before) = before.filter(|before| *before < revision.era) else { return };
        let closed = self.fleet().closed_data_centres().clone();
        self.fleet().rollouts().record_restore(self.clock.now(), self.restore_grace);
        self.metrics.count_restore();
        log!(Code::PlatformRestored, before, era = revision.era, revision = %revision);
        self.restore_count.send_modify(|count| *count += 1);
        self.keep_closed(closed.into_iter().map(|name| (name, self.restore_grace)).collect());
    }

    /// Era of the platform; none before its first response.
    #[must_use]
    pub fn era(&self) -> Option<u64> {
        *lock(&self.era)
    }

    /// Data centres that are out of service after a restore, until the operators repeat their order
    /// or the time that is left has passed.
    #[must_use]
    pub fn kept_closed(&self) -> BTreeMap<String, Duration> {
        self.closed.kept(self.clock.now())
    }

    /// Keeps data centres out of service, each for a time, even if the platform does not list them.
    pub fn keep_closed(self: &Arc<Self>, data_centres: BTreeMap<String, Duration>) {
        let now = self.clock.now();
        for (data_centre, left) in data_centres {
            let left = left.min(self.restore_grace);
            self.closed.keep(&data_centre, clock::after(now, left));
            let state = Arc::clone(self);
            tokio::spawn(async move {
                sleep(left).await;
                state.apply_closed_data_centres();
            });
        }
        self.apply_closed_data_centres();
    }

    /// Sets the data centres that the platform lists as out of service.
    pub fn set_closed_data_centres(&self, listed: BTreeSet<String>) {
        self.closed.set_listed(listed);
        self.apply_closed_data_centres();
    }

    /// Records that the operators have brought a data centre back into service.
    pub fn open_data_centre(&self, data_centre: &str) {
        self.closed.remove_kept(data_centre);
    }

    /// Applies the data centres that are out of service now, and logs a change.
    fn apply_closed_data_centres(&self) {
        let closed_data_centres = self.closed.all(self.clock.now());
        let names = closed_data_centres.iter().map(String::as_str).collect::<Vec<_>>().join(",");
        let mut fleet = self.fleet();
        fleet.begin_return(self.clock.now(), &closed_data_centres);
        if fleet.set_closed_data_centres(closed_data_centres) {
            log!(Code::DataCentresOut, out = names);
        }
    }
}
