//! Row of a target in the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a listed target accepts new requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// The target accepts new requests.
    #[default]
    Ready,
    /// The target is about to stop.
    Leaving,
}

/// Row of a target in the platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Model or service that the target serves.
    pub service: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: String,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub state: State,
    /// Remaining cold-start time when the row was written.
    pub cold_left: Duration,
    /// Version of the model weights; none if the target serves no model.
    pub weights: Option<u64>,
    /// Start time of the target in milliseconds since 1970; none if the row does not state it.
    #[serde(rename = "born")]
    pub started_ms: Option<u64>,
    /// Version of the target's software; empty if it is not known.
    ///
    /// Not encoded: routers of the previous release decode rows in reports by position. A router
    /// reads the version from the platform or from a snapshot.
    #[serde(skip)]
    pub version: String,
}

impl Row {
    /// Whether two rows are equal, apart from the remaining length of a cold start.
    pub(super) fn is_equivalent(&self, other: &Self) -> bool {
        let cold = self.cold_left.is_zero() == other.cold_left.is_zero();
        cold && *self == Self { cold_left: self.cold_left, ..other.clone() }
    }
}
