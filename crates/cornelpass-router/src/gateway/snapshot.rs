//! Snapshot of the state of a router, for other routers, which request it when they start or when
//! the platform has not yet returned newer rows to them.
//!
//! Routers request snapshots from each other over HTTP, encoded as JSON ([`super::peers`]).

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cornelpass_core::fleet::Row;
use cornelpass_core::gateway_config::Config;
use cornelpass_core::quarantine::bulletin::Group;
use cornelpass_core::rollout::Summary;
use serde::{Deserialize, Serialize};

use super::rollout;
use super::state::State;

/// Configuration, targets and routers as one router knows them.
#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    /// Highest revision of the operators' rows that the router has applied.
    #[serde(rename = "orders")]
    operator_revision: u64,
    #[serde(rename = "plan")]
    config: Config,
    /// Data centres that are out of service.
    #[serde(rename = "closed")]
    closed_data_centres: BTreeSet<String>,
    /// All targets, with the revisions of their rows; empty until the router knows all of them.
    targets: BTreeMap<String, (Row, u64)>,
    /// Addresses of the other routers for datagrams.
    routers: Vec<SocketAddr>,
    /// Groups of features whose requests are refused.
    #[serde(default)]
    quarantined: Vec<Group>,
    /// Versions of the targets, where they are known.
    #[serde(default)]
    versions: BTreeMap<String, String>,
    /// Rollouts of the services; none if the router is of a release without them.
    #[serde(default)]
    rollouts: Option<BTreeMap<String, Summary>>,
}

impl Snapshot {
    /// Creates a snapshot of the state of a gateway; none if the gateway has no configuration.
    #[must_use]
    pub fn capture(state: &State) -> Option<Self> {
        let operator_revision = state.operator_revision();
        let config = Config::clone(&*state.config()?);
        // A router that gets targets starts to serve with them, so a part of them is not sent.
        let has_all_targets = state.has_listed_targets();
        let mut fleet = state.fleet();
        let targets = fleet
            .listed_targets()
            .filter(|_| has_all_targets)
            .map(|(name, row, revision)| (name.to_owned(), (row.clone(), revision)))
            .collect();
        let closed_data_centres = fleet.closed_data_centres().clone();
        let routers = fleet.peers().addresses().collect();
        let now = state.clock.now();
        let quarantined = fleet.quarantine().groups(now);
        let known = fleet.listed_targets().filter(|(_, row, _)| !row.version.is_empty());
        let versions = known.map(|(name, row, _)| (name.to_owned(), row.version.clone())).collect();
        let rollouts = Some(fleet.rollouts().summaries(now));
        Some(Self {
            operator_revision,
            config,
            closed_data_centres,
            targets,
            routers,
            quarantined,
            versions,
            rollouts,
        })
    }

    /// Version of the configuration.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.config.version
    }

    /// Applies the rows, the closed data centres and the configuration that are newer than those of
    /// the state, and adds the routers.
    pub fn apply(mut self, state: &State) {
        let now = state.clock.now();
        let has_targets = !self.targets.is_empty();
        {
            let mut fleet = state.fleet();
            for (name, (row, revision)) in self.targets {
                let version = self.versions.remove(&name).unwrap_or_default();
                fleet.apply_peer_row(now, &name, Row { version, ..row }, revision);
            }
            for address in self.routers {
                fleet.add_router(now, address);
            }
            fleet.quarantine().apply_groups(now, &self.quarantined);
        }
        state.process_quarantine_changes();
        let is_newer = self.operator_revision > state.operator_revision();
        if let Some(rollouts) = self.rollouts {
            let revision = is_newer.then_some(self.operator_revision);
            rollout::apply_summaries(state, rollouts, revision);
        }
        if is_newer {
            state.set_closed_data_centres(self.closed_data_centres);
        }
        if has_targets {
            state.mark_targets_listed();
        }
        state.offer(self.config);
        state.record_operator_revision(self.operator_revision);
    }
}
