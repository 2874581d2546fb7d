//! List of the instances, which the platform keeps and which may be out of date.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::error::Error;

/// State of an instance.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// The instance accepts new requests.
    Live,
    /// The instance is about to be stopped.
    Leaving,
}

/// Instance in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name, unique in the list.
    pub name: String,
    /// Address of the process on the instance.
    pub address: SocketAddr,
    /// State that was last recorded.
    pub state: State,
}

/// Interface of the list of instances.
pub trait Instances: Send + Sync {
    /// Lists the instances as they were some time ago: the platform's list lags behind the
    /// recorded states.
    ///
    /// # Errors
    ///
    /// If the platform gives no complete response, or rejects the request.
    fn list(&self) -> Result<Vec<Instance>, Error>;

    /// Records an instance and its state.
    ///
    /// # Errors
    ///
    /// If the platform gives no complete response, or rejects the request.
    fn record(&self, instance: &Instance) -> Result<(), Error>;
}
