//! Acceptor lease: one router at a time reads all of the operators' rows and accepts new versions.
//!
//! The input is the lease row of the platform's table, which each router reads when it polls. The
//! result is whether to wait, acquire the lease or renew it.
//!
//! The lease only saves reads. Two holders at once do no harm, because a version is accepted by a
//! conditional write, and a period of [`LEASE_TIMEOUT`] without a holder only delays the next
//! version. Therefore the routers need no shared clock: a router acquires the lease when the
//! revision of the lease row has not changed for [`LEASE_TIMEOUT`] by the router's own clock.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Time without a renewal after which the lease is free; the holder renews it twice in this time.
pub const LEASE_TIMEOUT: Duration = Duration::from_millis(900);

/// Polls of the lease holder in the time in which another router polls once.
pub const HOLDER_POLL_FACTOR: u32 = 2;

/// Lease row in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Token of the holder, unique in the fleet.
    pub holder: String,
}

/// What a router does in a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Another router holds the lease: do not accept new versions.
    Wait,
    /// The lease is free: write it, on condition that its row still has the revision that was
    /// read, and accept new versions if the write succeeds.
    Acquire,
    /// This router holds the lease: accept new versions, then renew the lease by a write on the
    /// same condition.
    Renew,
}

/// View that one router has of the lease.
#[derive(Clone, Debug)]
pub struct Tracker {
    token: String,
    /// Last revision of another router's lease, and the time at which it was first read.
    last_seen: Option<(u64, Instant)>,
}

impl Tracker {
    /// Creates the view of a router that has not read the lease yet.
    #[must_use]
    pub fn new(token: &str) -> Self {
        Self { token: token.to_owned(), last_seen: None }
    }

    /// Lease row that this router writes.
    #[must_use]
    pub fn lease(&self) -> Lease {
        Lease { holder: self.token.clone() }
    }

    /// Decides what to do, given the lease that was read and the revision of its row; `None` if
    /// the row does not exist.
    pub fn decide(&mut self, now: Instant, lease: Option<(&Lease, u64)>) -> Next {
        let Some((lease, revision)) = lease else { return Next::Acquire };
        if lease.holder == self.token {
            return Next::Renew;
        }
        match self.last_seen {
            Some((seen_revision, seen_at)) if seen_revision == revision => {
                let is_free = now.saturating_duration_since(seen_at) >= LEASE_TIMEOUT;
                if is_free { Next::Acquire } else { Next::Wait }
            }
            _ => {
                self.last_seen = Some((revision, now));
                Next::Wait
            }
        }
    }
}
