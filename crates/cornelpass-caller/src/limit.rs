//! Limits that callers have reached, counted by a listener.
//!
//! The counts only grow. Who logs them compares them with earlier ones, so that a crowd of clients
//! gives one log line per second and limit, not one per client.

use std::sync::atomic::{AtomicU64, Ordering};

use strum::{EnumCount, EnumIter, IntoStaticStr};

/// Limit on what callers may use.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumCount, EnumIter, IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Limit {
    /// Open connections in total: a new connection was refused.
    Connections,
    /// Open connections of one client address: a new connection was refused.
    AddressConnections,
    /// Open connections: one that was not needed was closed for a new one.
    UnneededConnection,
    /// Memory: a connection, a request or a body was refused.
    Memory,
    /// Time for the head of a request.
    HeadTime,
    /// Time for the body of a request.
    BodyTime,
    /// Time for which a caller reads nothing of its response.
    UnreadTime,
}

/// Number of times that each limit was reached.
#[derive(Debug, Default)]
pub struct Counts {
    counts: [AtomicU64; Limit::COUNT],
}

impl Counts {
    /// Counts a limit that was reached.
    pub fn add(&self, limit: Limit) {
        self.counts[limit as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Number of times that a limit was reached.
    #[must_use]
    pub fn get(&self, limit: Limit) -> u64 {
        self.counts[limit as usize].load(Ordering::Relaxed)
    }
}
