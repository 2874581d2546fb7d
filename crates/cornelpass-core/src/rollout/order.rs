//! Orders of the operators to move a service to another version, and the states of their rollouts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::digest;

/// Order to move the traffic of a service to the targets of a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Version to move to.
    pub to: String,
    /// Time from the order to its deadline.
    pub duration: Duration,
}

impl Order {
    /// Short hash of the content: the same order written twice has the same value.
    #[must_use]
    pub fn content(&self) -> u32 {
        let hash = digest::pair(digest::key(&self.to), &self.duration.as_millis().to_string());
        (hash >> 32) as u32
    }
}

/// State of a rollout, from the first to the final ones.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// Part of the traffic goes to the new version.
    #[default]
    Running,
    /// The new version gets nothing until the verdict is written.
    Stopped,
    /// The new version was rejected.
    RolledBack,
    /// The new version serves all of the traffic.
    Succeeded,
}

impl State {
    /// Whether the state is a verdict, which does not change for its order.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::RolledBack | Self::Succeeded)
    }
}

/// Row of the routers that states the result of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// State of the rollout; never [`State::Stopped`].
    pub state: State,
    /// Version of the order.
    pub to: String,
    /// Revision of the order, as the router that wrote the row knew it; 0 if the row does not state
    /// it.
    pub order: u64,
    /// Short hash of the content of the order; 0 if the row does not state it.
    pub content: u32,
    /// Wall-clock time of the order, in milliseconds since 1970; 0 if the row does not state it.
    pub ordered_ms: u64,
}

impl Status {
    /// Content of a row that cannot be decoded: it is about no order.
    #[must_use]
    pub const fn unknown() -> Self {
        Self { state: State::Running, to: String::new(), order: 0, content: 0, ordered_ms: 0 }
    }
}
