//! The operators' table for the chat interface: organisations, data centres, targets and the
//! policy. (The gateway interface has its own configuration: [`crate::gateway_config`].)
//!
//! The field names are the column names of the operators' rows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Kind of a target.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// An engine that streams responses of a model.
    Model,
    /// A plain HTTP service, some of whose calls must run at most once.
    Service,
}

/// An organisation whose callers may send requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Weight of the organisation's share of a contended target, relative to other organisations.
    pub weight: u32,
    /// Maximum load of the organisation at one target, in units of load.
    pub limit: u32,
    /// Whether new requests of the organisation are accepted.
    pub in_service: bool,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Region of the data centre.
    pub region: String,
    /// Whether new requests are sent to the targets of the data centre.
    pub in_service: bool,
}

/// A target: an engine or a plain HTTP service, with its sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Name of the data centre of the target.
    pub data_centre: String,
    /// Kind of the target.
    pub kind: Kind,
    /// Name of the model or service that the target serves.
    pub serves: String,
    /// Address of the sidecar of the target.
    pub address: SocketAddr,
    /// Capacity relative to the other targets that serve the same name.
    pub weight: u32,
    /// Maximum load at once, in units of load.
    pub limit: u32,
    /// Maximum number of concurrent requests while the target is cold.
    pub cold_limit: u32,
    /// Minimum time for which the target is cold after a start, in seconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_seconds: u32,
    /// Whether new requests are sent to the target.
    pub in_service: bool,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
const fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Policy of the whole fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Maximum load per weight of a target, in percent of the mean load per weight.
    pub load_multiple_percent: u32,
    /// Minimum load bound per unit of weight, in units of load; the `limit` of a target goes first.
    pub load_floor: u32,
    /// Retries allowed in addition to [`crate::retry::RETRY_BURST`], in percent of the requests.
    pub retry_percent: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self { load_multiple_percent: 150, load_floor: 4, retry_percent: 20 }
    }
}

/// The whole table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// Policy of the whole fleet.
    #[serde(default)]
    pub policy: Policy,
    /// Organisations by name.
    #[serde(default, rename = "organisation")]
    pub organisations: BTreeMap<String, Organisation>,
    /// Data centres by name.
    #[serde(default, rename = "data_centre")]
    pub data_centres: BTreeMap<String, DataCentre>,
    /// Targets by name.
    #[serde(default, rename = "target")]
    pub targets: BTreeMap<String, Target>,
}

impl Table {
    /// Whether a target and its data centre are both in service, so that new requests may be sent
    /// to the target.
    #[must_use]
    pub fn is_in_service(&self, target: &Target) -> bool {
        let data_centre = self.data_centres.get(&target.data_centre);
        target.in_service && data_centre.is_some_and(|data_centre| data_centre.in_service)
    }

    /// Targets of a kind that serve a model or service, with their names, in service or not.
    pub fn targets_serving<'a>(
        &'a self,
        kind: Kind,
        serves: &'a str,
    ) -> impl Iterator<Item = (&'a str, &'a Target)> {
        self.targets
            .iter()
            .filter(move |(_, target)| target.kind == kind && target.serves == serves)
            .map(|(name, target)| (name.as_str(), target))
    }
}
