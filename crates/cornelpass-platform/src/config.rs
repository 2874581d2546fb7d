//! Follows the accepted configuration, and accepts the operators' rows as the next version.
//!
//! Operators write rows under `config/`. A router with an [`Acceptor`] checks these rows and makes
//! the next version of them in one commit, on condition that neither the head row `accepted/head`
//! nor any of the operators' rows has changed since they were read. Therefore there is only one
//! latest version, and each version is a table that the platform stored at one moment. All other
//! processes follow the head row, which names the latest version.

mod acceptor;
mod edit;
mod lease;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use cornelpass_core::check::Finding;
use cornelpass_core::clock::Clock;
use cornelpass_core::config::{OfferOutcome, Replica, Snapshot, Version};
use cornelpass_core::digest;
use cornelpass_core::lease::{HOLDER_POLL_FACTOR, Tracker};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

pub use self::acceptor::{Acceptance, Acceptor, KEPT_VERSIONS};
pub use self::edit::{Base, EditOutcome, apply_edit, read_base};
pub use self::lease::LEASE_KEY;
use crate::error::Error;
use crate::table::{Revision, Row, Table};

/// Prefix of the keys of the operators' rows.
pub const ROWS_PREFIX: &str = "config/";

/// Key of the head row, which names the latest accepted version.
pub const HEAD_KEY: &str = "accepted/head";

/// Maximum number of rounds of one poll; a round is repeated if the head row changes during it.
const MAX_ROUNDS: usize = 4;

/// Key of the row with the snapshot of an accepted version.
#[must_use]
pub fn snapshot_key(version: Version) -> String {
    format!("accepted/snapshot/{version}")
}

/// Value of the head row: the latest accepted version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Number of the version; 0 if there is none.
    pub version: Version,
    /// Revision of the operators' rows that the version was made from.
    pub source: Revision,
    /// Hash of the snapshot's JSON, to detect a snapshot that does not belong to the head.
    pub digest: u64,
}

impl Head {
    /// Creates the head that names a snapshot.
    #[must_use]
    pub fn for_snapshot(snapshot: &Snapshot) -> Self {
        let bytes = serde_json::to_vec(snapshot).unwrap_or_default();
        let Snapshot { version, source, .. } = *snapshot;
        Self { version, source, digest: digest::content(&bytes) }
    }
}

/// Result of a poll.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// No change: the active version stays. If the head row names it, it is confirmed as the
    /// latest.
    Unchanged,
    /// A higher version is now active.
    Applied {
        /// Number of the new version.
        version: Version,
    },
    /// The operators' rows do not pass the checks; the active version stays. Reported once for
    /// each revision of the rows.
    Rejected {
        /// Revision of the rows.
        revision: Revision,
        /// All errors in the rows.
        findings: Vec<Finding>,
    },
    /// The head row names a lower version than the active one; the active version stays.
    Regressed {
        /// Version that the head row names.
        version: Version,
    },
    /// The poll failed: the platform did not respond or rejected a request, a row was malformed, or
    /// the head row or the operators' rows changed in every round. The active version stays.
    Unreachable {
        /// Cause.
        error: Error,
    },
}

/// Keeps the replica of this process up to date with the platform's table.
pub struct Follower {
    table: Arc<dyn Table>,
    clock: Arc<dyn Clock>,
    replica: Arc<Mutex<Replica>>,
    acceptor: Option<Acceptor>,
    /// This router's view of the acceptor lease; `None` if this process accepts without a lease, or
    /// does not accept at all.
    lease_tracker: Option<Tracker>,
    /// Whether this router held the lease after the last poll, as far as it knows.
    may_hold_lease: bool,
}

/// What follows one round of a poll.
enum Next {
    /// End the poll with this event.
    Report(Event),
    /// The head row has changed: start another round.
    Repeat,
}

impl Follower {
    /// Creates a follower without an acceptor.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, clock: Arc<dyn Clock>, replica: Arc<Mutex<Replica>>) -> Self {
        Self { table, clock, replica, acceptor: None, lease_tracker: None, may_hold_lease: false }
    }

    /// Adds an acceptor: the follower also accepts the operators' rows.
    #[must_use]
    pub fn with_acceptor(mut self) -> Self {
        self.acceptor = Some(Acceptor::new());
        self
    }

    /// Makes the follower accept only while it holds the acceptor lease.
    ///
    /// `token` identifies this router in the lease and must be unique in the fleet.
    #[must_use]
    pub fn with_lease(mut self, token: &str) -> Self {
        self.lease_tracker = Some(Tracker::new(token));
        self
    }

    /// Time until the next poll; shorter than the usual `period` while this router may hold the
    /// lease.
    ///
    /// A holder at the usual pace would not renew the lease within its timeout.
    #[must_use]
    pub fn poll_interval(&self, period: Duration) -> Duration {
        if self.may_hold_lease { period / HOLDER_POLL_FACTOR } else { period }
    }

    /// Checks once for a new version; blocks until the platform responds.
    ///
    /// If nothing has changed, a poll makes one read, and one scan if this process also accepts.
    /// With the acceptor lease a poll makes one more read; only the holder makes the scan, and it
    /// also makes a commit. After rejected rows have been reported, the next poll follows the head
    /// row.
    pub fn poll(&mut self) -> Event {
        for _ in 0..MAX_ROUNDS {
            match self.round() {
                Ok(Next::Report(event)) => return event,
                Ok(Next::Repeat) => {}
                Err(error) => return Event::Unreachable { error },
            }
        }
        Event::Unreachable { error: Error::Conflict { keys: vec![HEAD_KEY.to_owned()] } }
    }

    fn round(&mut self) -> Result<Next, Error> {
        let (requested_at, active_version) = (self.clock.now(), self.replica().version());
        let head_row = self.table.read(HEAD_KEY)?;
        let acceptance = self.accept(head_row.as_ref(), active_version)?;
        match acceptance {
            Acceptance::Current => self.follow(head_row.as_ref(), active_version, requested_at),
            Acceptance::Rejected { revision, findings } => {
                Ok(Next::Report(Event::Rejected { revision, findings }))
            }
            Acceptance::Committed(snapshot) => {
                Ok(Next::Report(self.apply_snapshot(snapshot, requested_at)))
            }
            Acceptance::Superseded => Ok(Next::Repeat),
        }
    }

    /// Accepts the operators' rows if this process has an acceptor and, where a lease is used,
    /// holds the lease.
    fn accept(
        &mut self,
        head_row: Option<&Row>,
        active_version: Version,
    ) -> Result<Acceptance, Error> {
        let Some(acceptor) = &mut self.acceptor else { return Ok(Acceptance::Current) };
        let table = self.table.as_ref();
        let Some(tracker) = &mut self.lease_tracker else {
            return acceptor.accept(table, head_row, active_version);
        };
        let decision = lease::decide(tracker, table, self.clock.now())?;
        self.may_hold_lease = decision.next == lease::Next::Renew;
        match decision.next {
            lease::Next::Wait => Ok(Acceptance::Current),
            lease::Next::Acquire => {
                let outcome = lease::write(tracker, table, &decision)?;
                self.may_hold_lease = outcome != lease::Outcome::Conflict;
                if outcome == lease::Outcome::Written {
                    acceptor.accept(table, head_row, active_version)
                } else {
                    Ok(Acceptance::Current)
                }
            }
            lease::Next::Renew => {
                let acceptance = acceptor.accept(table, head_row, active_version)?;
                // A conflict with another router, or a lost response, does no harm: see
                // [`cornelpass_core::lease`].
                lease::write(tracker, table, &decision)?;
                Ok(acceptance)
            }
        }
    }

    /// Applies the version that the head row names.
    ///
    /// `active_version` is the version that was active before the head row was read.
    fn follow(
        &self,
        head_row: Option<&Row>,
        active_version: Version,
        requested_at: Instant,
    ) -> Result<Next, Error> {
        let head: Head = head_row.map(decode).transpose()?.unwrap_or_default();
        if head.version < active_version {
            return Ok(Next::Report(Event::Regressed { version: head.version }));
        }
        if head.version == 0 {
            return Ok(Next::Report(Event::Unchanged));
        }
        if head.version == active_version {
            self.replica().confirm_version(active_version, Duration::ZERO, requested_at);
            return Ok(Next::Report(Event::Unchanged));
        }
        let key = snapshot_key(head.version);
        // Acceptors never delete the snapshot that the head row names, so the head row has changed
        // meanwhile.
        let Some(row) = self.table.read(&key)? else { return Ok(Next::Repeat) };
        let snapshot: Snapshot = decode(&row)?;
        if Head::for_snapshot(&snapshot) != head {
            let message = "the digest of the snapshot is not the one in the head row".to_owned();
            return Err(Error::Malformed { key, message });
        }
        Ok(Next::Report(self.apply_snapshot(snapshot, requested_at)))
    }

    /// Offers a snapshot to the replica, and confirms it as the latest one.
    fn apply_snapshot(&self, snapshot: Snapshot, requested_at: Instant) -> Event {
        let version = snapshot.version;
        let mut replica = self.replica();
        match replica.offer(snapshot) {
            OfferOutcome::Applied => {
                replica.confirm(requested_at);
                Event::Applied { version }
            }
            OfferOutcome::Unchanged => {
                replica.confirm(requested_at);
                Event::Unchanged
            }
            OfferOutcome::Outdated => Event::Unchanged,
        }
    }

    fn replica(&self) -> std::sync::MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Deserializes the value of a row.
fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    T::deserialize(&row.value)
        .map_err(|error| Error::Malformed { key: row.key.clone(), message: error.to_string() })
}

/// Serializes a value for a row.
fn encode(key: &str, value: &impl Serialize) -> Result<serde_json::Value, Error> {
    serde_json::to_value(value)
        .map_err(|error| Error::Malformed { key: key.to_owned(), message: error.to_string() })
}
