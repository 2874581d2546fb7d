//! What a router has to do about its rollouts, and what it tells others of them.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use super::evidence::Evidence;
use super::order::{Order, State, Status};
use super::verdict::{Finding, Verdict};

/// Routers as one of them knows them.
#[derive(Clone, Copy, Debug)]
pub struct Routers<'a> {
    /// Address of this router.
    pub own: SocketAddr,
    /// The other routers whose reports arrive.
    pub live: &'a [SocketAddr],
    /// All other known routers.
    pub all: &'a [SocketAddr],
    /// Number of routers among which budgets are divided, this one included.
    pub members: usize,
    /// Random number of this process.
    pub incarnation: u32,
    /// Wall-clock time in milliseconds since 1970.
    pub wall_ms: u64,
}

impl Routers<'_> {
    /// A router that needs no others, since no service has an order.
    #[must_use]
    pub const fn alone(incarnation: u32) -> Self {
        let own = SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0));
        Self { own, live: &[], all: &[], members: 0, incarnation, wall_ms: 0 }
    }
}

/// Message to other routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Counts of this router.
    Evidence(Evidence),
    /// State of a rollout.
    Verdict(Verdict),
}

/// What a router has to do next about a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send a message.
    Send {
        /// Receivers.
        to: Vec<SocketAddr>,
        /// Content.
        message: Message,
    },
    /// Read the status row of a service, and pass it to [`Rollouts::apply_status`](super::Rollouts::apply_status).
    Read {
        /// Service.
        service: String,
    },
    /// Write the status row of a service, and pass the result to [`Rollouts::record_write`](super::Rollouts::record_write).
    Write {
        /// Service.
        service: String,
        /// New content.
        status: Status,
        /// Revision that the row must still have; 0 if there must be none.
        expected: u64,
    },
}

/// Result of writing a status row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Written {
    /// The row has the new content.
    Done,
    /// The row has changed since it was read; nothing was written.
    Conflict,
    /// The store did not respond; the row may have the new content.
    Unknown,
}

/// A change that operators should see in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new order is followed.
    Ordered(Order),
    /// The order was removed.
    Removed,
    /// The state has changed.
    State(State),
    /// The deciding router has reached a decision.
    Decided {
        /// What the evidence says.
        finding: Finding,
        /// Answers of the new version.
        answers: u32,
        /// Failures among them.
        failures: u32,
    },
    /// This process did not run for a time, and asks the others for the state.
    Suspended,
}

/// Rollout as told to a router that starts.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Summary {
    /// The order.
    pub order: Order,
    /// Revision at which the order was first written.
    pub revision: u64,
    /// Time since the order, in milliseconds.
    pub age_ms: u32,
    /// State of the rollout.
    pub state: State,
    /// Versions that get nothing because an earlier order did not end with them.
    pub barred: BTreeSet<String>,
}

/// Numbers of a rollout for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    /// Service.
    pub service: String,
    /// State of the rollout.
    pub state: State,
    /// Requests that this router has sent to any version since it knows the order.
    pub requests: u32,
    /// Requests that this router has sent to the new version before a verdict.
    pub exposed: u32,
    /// Largest sum of the comparison relative to its threshold, as far as this router knows.
    pub suspicion: f64,
}
