//! What a router knows from the platform, as it tells it to one that gets no answer there.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use cornelpass_core::fleet::Row;
use cornelpass_core::gateway_config::Config;
use serde::{Deserialize, Serialize};

use super::state::State;

/// What a router knows.
#[derive(Serialize, Deserialize)]
pub struct Known {
    /// Highest revision of what the operators have written.
    orders: u64,
    #[serde(rename = "plan")]
    config: Config,
    /// Data centres that are out of service.
    closed: BTreeSet<String>,
    /// Targets with the revisions of their entries.
    targets: BTreeMap<String, (Row, u64)>,
    /// Addresses for reports of the other routers.
    routers: Vec<SocketAddr>,
}

impl Known {
    /// What a gateway knows; nothing before it has a configuration.
    #[must_use]
    pub fn of(state: &State) -> Option<Self> {
        let orders = state.orders();
        let config = Config::clone(&*state.config()?);
        let mut fleet = state.fleet();
        let targets = fleet
            .listed_targets()
            .map(|(name, row, revision)| (name.to_owned(), (row.clone(), revision)))
            .collect();
        let closed = fleet.closed_data_centres().clone();
        let routers = fleet.peers().addresses().collect();
        Some(Self { orders, config, closed, targets, routers })
    }

    /// Version of the configuration.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.config.version
    }

    /// Puts it into force where it is newer than what is known.
    pub fn apply(self, state: &State) {
        let now = state.clock.now();
        let listed = !self.targets.is_empty();
        {
            let mut fleet = state.fleet();
            for (name, (row, revision)) in self.targets {
                fleet.apply_row(now, &name, row, revision);
            }
            for address in self.routers {
                fleet.add_router(now, address);
            }
        }
        if self.orders > state.orders() {
            state.close(self.closed);
        }
        if listed {
            state.listed();
        }
        state.offer(self.config);
        state.ordered(self.orders);
    }
}
